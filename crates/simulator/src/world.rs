//! The fleet in simulated time: one queue of what happens next, played in order of time and, at one time, of
//! coming. Same experiment, seed and policy: same figures.

use crate::arrivals::{Arrivals, First};
use crate::backends::{Backend, Reached, State};
use crate::draw::{Draw, Stream, millis, seconds};
use crate::experiment::{By, Experiment, Kind, Repeat as Repeats};
use crate::policy::{Policy, Seen};
use crate::rules::{Broken, Rule};
use crate::score::{Ledger, Record};
use crate::stores::Books;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use vanewharf_policy::codec;
use vanewharf_policy::interface::*;

/// What happens at a moment.
#[derive(Debug)]
enum Happening {
    FirstTry(usize),
    Try(usize),
    Turn { door: usize, life: u32 },
    Deliver { door: usize, life: u32, event: Event },
    Reach { attempt: usize },
    Done { attempt: usize, life: u32 },
    Answer { attempt: usize, outcome: Outcome },
    Stop { attempt: usize },
    CapOver { attempt: usize },
    Deadline { one: usize },
    Lost { one: usize },
    Fault { no: usize, step: usize, begins: bool },
    Told { backend: usize, version: u64 },
    DoorBack { door: usize },
    Call { door: usize, life: u32, name: CounterKey, step: f64, forget: Ticks, asked: Ticks },
    Look,
}

struct Next {
    at: Ticks,
    no: u64,
    what: Happening,
}

impl PartialEq for Next {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.no) == (other.at, other.no)
    }
}

impl Eq for Next {}

impl PartialOrd for Next {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Next {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.no).cmp(&(other.at, other.no))
    }
}

struct DoorAt {
    up: bool,
    life: u32,
    place: usize,
    stalled_until: Ticks,
    down_since: Ticks,
    inbox: Vec<Event>,
    turn_set: bool,
    /// What it was last told of each backend: standing, start, and when it was told that it stops.
    told: Vec<Entry>,
    intake: (Ticks, f64),
    began: Ticks,
}

#[derive(Clone, Debug)]
struct Entry {
    listed: bool,
    standing: BackendStatus,
    booted: Option<Ticks>,
    stops_at: Option<Ticks>,
}

/// One try of a client.
struct Try {
    first: usize,
    no: u32,
    door: usize,
    life: u32,
    deadline: Ticks,
    answered: bool,
    attempts: Vec<usize>,
    inside: Option<bool>,
    ran: u32,
}

struct Attempt {
    one: usize,
    no: u32,
    backend: usize,
    sent: Ticks,
    /// When the door has heard of its end.
    ended: bool,
    may_have_run: bool,
    life: u32,
    begun: bool,
    ran: bool,
    answered: bool,
}

#[derive(Default)]
struct Part {
    busy_until: Ticks,
    totals: HashMap<u64, (f64, Ticks)>,
}

pub struct World<'a, P: Policy> {
    experiment: &'a Experiment,
    arrivals: &'a Arrivals,
    policy: P,
    now: Ticks,
    queue: BinaryHeap<Reverse<Next>>,
    happened: u64,
    doors: Vec<DoorAt>,
    backends: Vec<Backend>,
    /// What discovery holds of each backend, and its version.
    published: Vec<(BackendStatus, Option<Ticks>, u64)>,
    books: Vec<Books>,
    tries: Vec<Try>,
    attempts: Vec<Attempt>,
    /// Idle connections of a door to a backend: how many, and until when they are kept.
    idle: HashMap<(usize, usize), (u32, Ticks)>,
    counter: Vec<Part>,
    counter_down: bool,
    list_late_s: f64,
    cut_place: Option<usize>,
    struck: BTreeMap<(usize, usize), Vec<usize>>,
    seen: Seen,
    net: Draw,
    clients: Draw,
    faults: Draw,
    discovery: Draw,
    services: Draw,
    seeds: Draw,
    ledger: Ledger,
}

const START: Ticks = Ticks(10_000_000);
/// How late the one that sees sees.
const LOOK: f64 = 0.1;

impl<'a, P: Policy> World<'a, P> {
    pub fn new(experiment: &'a Experiment, arrivals: &'a Arrivals, seed: u64, policy: P) -> World<'a, P> {
        let fleet = &experiment.fleet;
        let mut made = Draw::new(seed, Stream::Fleet);
        let places = fleet.places.len();
        let backends: Vec<_> = (0..fleet.backends)
            .map(|no| Backend::new(no % places, no / fleet.cell, made.span(fleet.speed)))
            .collect();
        let entry = Entry { listed: true, standing: BackendStatus::Ready, booted: None, stops_at: None };
        let door = |no: usize| DoorAt {
            up: true,
            life: 0,
            place: no % places,
            stalled_until: START,
            down_since: START,
            inbox: Vec::new(),
            turn_set: false,
            told: vec![entry.clone(); fleet.backends],
            intake: (START, 0.0),
            began: START,
        };
        let doors = (0..fleet.doors).map(door).collect();
        let books = arrivals.customers.iter();
        let books =
            books.map(|customer| Books::new(&experiment.plan[customer.plan.0], experiment, START)).collect();
        let parts = experiment.counter.as_ref().map_or(0, |counter| counter.parts);
        let stream = |stream| Draw::new(seed, stream);
        let mut world = World {
            experiment,
            arrivals,
            policy,
            now: START,
            queue: BinaryHeap::new(),
            happened: 0,
            doors,
            published: vec![(BackendStatus::Ready, None, 0); fleet.backends],
            backends,
            books,
            tries: Vec::new(),
            attempts: Vec::new(),
            idle: HashMap::new(),
            counter: (0..parts).map(|_| Part::default()).collect(),
            counter_down: false,
            list_late_s: 0.0,
            cut_place: None,
            struck: BTreeMap::new(),
            seen: Seen { waits: Vec::new(), paces: Vec::new() },
            net: stream(Stream::Net),
            clients: stream(Stream::Clients),
            faults: stream(Stream::Faults),
            discovery: stream(Stream::Discovery),
            services: stream(Stream::Services),
            seeds: stream(Stream::Policy),
            ledger: Ledger::new(experiment, arrivals),
        };
        for door in 0..fleet.doors {
            world.start(door);
        }
        world.look();
        for (no, first) in arrivals.firsts.iter().enumerate() {
            world.post(START + first.at, Happening::FirstTry(no));
        }
        for (no, fault) in experiment.fault.iter().enumerate() {
            world.post(START + seconds(fault.at_s), Happening::Fault { no, step: 0, begins: true });
        }
        world
    }

    fn post(&mut self, at: Ticks, what: Happening) {
        self.happened += 1;
        self.queue.push(Reverse(Next { at: at.max(self.now), no: self.happened, what }));
    }

    /// Until nothing more happens, or long after the last client has given up.
    pub fn run(mut self) -> Record {
        let longest = self.experiment.product.iter().map(|product| product.expiry_ms).fold(0.0, f64::max);
        let end = START + seconds(self.experiment.length_s + longest / 1_000.0 * 3.0 + 5.0);
        while let Some(Reverse(next)) = self.queue.pop() {
            if next.at > end {
                break;
            }
            self.now = next.at;
            self.happens(next.what);
        }
        let waste: f64 = self.backends.iter().map(|backend| backend.worked_ms).sum();
        self.ledger.close(waste)
    }

    fn happens(&mut self, what: Happening) {
        match what {
            Happening::FirstTry(no) => self.first_try(no),
            Happening::Try(one) => self.comes(one),
            Happening::Turn { door, life } => self.turn(door, life),
            Happening::Deliver { door, life, event } => self.deliver(door, life, event),
            Happening::Reach { attempt } => self.reach(attempt),
            Happening::Done { attempt, life } => self.done(attempt, life),
            Happening::Answer { attempt, outcome } => self.answer(attempt, outcome),
            Happening::Stop { attempt } => self.stop(attempt),
            Happening::CapOver { attempt } => self.cap_over(attempt),
            Happening::Deadline { one } => self.deadline(one),
            Happening::Lost { one } => self.lost(one),
            Happening::Fault { no, step, begins } => self.fault(no, step, begins),
            Happening::Told { backend, version } => self.tell(backend, version),
            Happening::DoorBack { door } => self.door_back(door),
            Happening::Call { door, life, name, step, forget, asked } => {
                self.call(door, life, name, step, forget, asked)
            }
            Happening::Look => self.look(),
        }
    }

    fn one_way(&mut self, cross: bool) -> Ticks {
        let net = &self.experiment.net;
        let mean = if cross { net.cross_ms } else { net.same_ms };
        millis(mean * (1.0 + net.jitter * (2.0 * self.net.unit() - 1.0))).max(Ticks(1))
    }

    fn client_way(&self) -> Ticks {
        millis(self.experiment.net.client_ms)
    }

    // Doors.

    fn start(&mut self, door: usize) {
        let told = self.told(door);
        let at = &mut self.doors[door];
        (at.up, at.began, at.inbox, at.turn_set) = (true, self.now, Vec::new(), false);
        // What it is told before it has asked counts as told at its start.
        let entries: Vec<_> = at.told.iter().enumerate().filter(|(_, entry)| entry.listed).collect();
        let listing = entries.into_iter().map(|(no, entry)| (no, entry.clone())).collect::<Vec<_>>();
        let listing = listing.into_iter().map(|(no, entry)| self.listed(door, no, &entry)).collect();
        self.policy.starts(door, told);
        let life = self.doors[door].life;
        self.deliver(door, life, Event::BackendList(listing));
        // What has changed since is told a moment later, as to one that was away.
        for backend in 0..self.backends.len() {
            let (standing, booted, version) = self.published[backend];
            let entry = &self.doors[door].told[backend];
            if (entry.standing, entry.booted) != (standing, booted) {
                let late = seconds(self.discovery.span(self.experiment.discovery.late_s));
                self.post(self.now + late, Happening::Told { backend, version });
            }
        }
    }

    fn listed(&self, door: usize, no: usize, entry: &Entry) -> BackendInfo {
        BackendInfo {
            backend: BackendId(no as u32),
            status: entry.standing,
            capacity: 1.0,
            local: self.doors[door].place == self.backends[no].place,
            started_at: entry.booted,
        }
    }

    fn told(&mut self, door: usize) -> BalancerConfig {
        let experiment = self.experiment;
        let products = experiment.product.iter().map(|product| Product {
            sla_time: millis(product.sla_ms),
            value: product.value,
            idempotency: match product.repeat {
                Repeats::InquiryLike => Idempotency::Idempotent,
                Repeats::OnceOnly => Idempotency::NonIdempotent,
                Repeats::Referenced => Idempotency::Deduplicated { window: millis(product.window_ms) },
            },
        });
        let plans = experiment.plan.iter().map(|plan| Plan {
            rate: plan.rate,
            burst: plan.burst,
            value_factor: plan.value_factor,
            excess_value: plan.beyond_worth,
            excess_cost: plan.beyond_cost,
            hard_limit_rate: plan.ceiling * plan.rate,
            hard_limit_burst: plan.ceiling * plan.burst,
        });
        let allow = &experiment.allow;
        let most_cost = experiment.product.iter().map(|product| product.units * (1.0 + product.guess));
        BalancerConfig {
            seed: self.seeds.seed(),
            started_at: self.now,
            gateway: GatewayId(door as u32),
            gateway_count: experiment.fleet.doors as u32,
            products: products.collect(),
            plans: plans.collect(),
            allowed: AllowedActions {
                cancel: allow.cancel,
                hedging: allow.second_copies,
                retry_after: allow.retry_after,
                max_retry_after: millis(allow.max_retry_after_ms),
                max_attempts: allow.most_submissions,
            },
            warm_up: WarmUp {
                initial_capacity: experiment.fleet.cold_from,
                ramp_time: seconds(experiment.fleet.ramp_s),
            },
            idle_timeout: seconds(experiment.fleet.idle_s * 0.25),
            meter_period: experiment.meter.as_ref().map_or(Ticks(0), |meter| seconds(meter.period_s)),
            counter_timeout: experiment.counter.as_ref().map(|counter| millis(counter.wait_ms)),
            peer_messages: experiment.peers.is_some(),
            max_cost: most_cost.fold(0.0, f64::max).ceil(),
        }
    }

    fn deliver(&mut self, door: usize, life: u32, event: Event) {
        let at = &mut self.doors[door];
        if !at.up || at.life != life {
            return;
        }
        at.inbox.push(event);
        if at.turn_set {
            return;
        }
        at.turn_set = true;
        let tick = millis(self.experiment.tick_ms).0.max(1);
        // Doors do not turn in step.
        let phase = (door as i64 * 7919) % tick;
        let due = Ticks((self.now.0 - phase).div_euclid(tick) * tick + tick + phase);
        let due = due.max(at.stalled_until);
        self.post(due, Happening::Turn { door, life });
    }

    fn turn(&mut self, door: usize, life: u32) {
        let at = &mut self.doors[door];
        if !at.up || at.life != life {
            return;
        }
        if at.stalled_until > self.now {
            let until = at.stalled_until;
            return self.post(until, Happening::Turn { door, life });
        }
        at.turn_set = false;
        let mut events = std::mem::take(&mut at.inbox);
        for event in &mut events {
            self.read(door, event);
        }
        let World { policy, seen, books, arrivals, now, experiment, .. } = self;
        let by_id: &HashMap<u64, usize> = &self.ledger.by_id;
        let mut inside = |arrival: &Arrival| {
            let customer = by_id.get(&arrival.claim.customer.0).copied();
            debug_assert!(customer.is_none_or(|no| no < arrivals.customers.len()));
            let plan = &experiment.plan[arrival.claim.plan.0];
            customer.is_some_and(|no| books[no].lets_in(arrival.claim.cost, plan, *now))
        };
        let actions = policy.decide(door, *now, events, seen, &mut inside);
        for action in actions {
            self.carry_out(door, action);
        }
    }

    /// What a door reads counts as told, and the first good answer goes to the client as it is read.
    fn read(&mut self, door: usize, event: &mut Event) {
        match event {
            Event::BackendChanges(entries) | Event::BackendList(entries) => {
                for listed in entries.iter() {
                    let entry = &mut self.doors[door].told[listed.backend.0 as usize];
                    let stops = listed.status != BackendStatus::Ready;
                    entry.stops_at = if stops { entry.stops_at.or(Some(self.now)) } else { None };
                    (entry.standing, entry.booted) = (listed.status, listed.started_at);
                    entry.listed = listed.status != BackendStatus::Gone;
                }
            }
            Event::AttemptEnded(ending) => {
                let one = ending.txn.0 as usize;
                let attempt = self.tries[one].attempts[ending.attempt.0 as usize];
                self.attempts[attempt].ended = true;
                self.attempts[attempt].may_have_run = !ending.outcome.never_ran();
                if ending.outcome == Outcome::Succeeded && !self.tries[one].answered {
                    self.conclude(one, Some(attempt));
                }
                ending.complete = self.tries[one].answered;
            }
            _ => {}
        }
    }

    fn carry_out(&mut self, door: usize, action: Action) {
        match action {
            Action::SendAttempt { txn, backend, timeout: time_out } => {
                self.submit(door, txn, backend, time_out)
            }
            Action::CancelAttempt { txn, attempt: no } => {
                let one = txn.0 as usize;
                if let Some(&attempt) = self.tries.get(one).and_then(|one| one.attempts.get(no.0 as usize)) {
                    self.end_at_door(attempt, Outcome::Cancelled);
                }
            }
            Action::Reject { txn, retry_after } => self.final_answer(door, txn, true, retry_after),
            Action::Fail { txn } => self.final_answer(door, txn, false, None),
            Action::SetTimer { after, timer } => {
                let life = self.doors[door].life;
                let event = Event::TimerFired(timer);
                self.post(self.now + after, Happening::Deliver { door, life, event });
            }
            Action::IncrementCounter { key: name, amount: step, expire_after: forget_after } => {
                self.counts(door, name, step, forget_after)
            }
            Action::SendPeerMessage { to, message: word } => self.says(door, to, word),
        }
    }

    // Clients.

    fn first_try(&mut self, no: usize) {
        let first = self.arrivals.firsts[no];
        self.ledger.offers(no, &first, &mut self.books[first.customer], self.now);
        self.tries.push(Try {
            first: no,
            no: 0,
            door: 0,
            life: 0,
            deadline: Ticks(0),
            answered: false,
            attempts: Vec::new(),
            inside: None,
            ran: 0,
        });
        let one = self.tries.len() - 1;
        self.comes(one);
    }

    /// The front passes a client's try on to one of its customer's doors.
    fn comes(&mut self, one: usize) {
        let first = self.arrivals.firsts[self.tries[one].first];
        let customer = &self.arrivals.customers[first.customer];
        let doors = self.doors.len();
        let mut draw = first.door;
        if self.tries[one].no > 0 {
            draw = self.clients.unit();
        }
        let at = self.now - START;
        let mut door = customer.door(at, draw, doors);
        let front = seconds(self.experiment.clients.front_late_s);
        for step in 0..customer.width {
            let known_down = !self.doors[door].up && self.now - self.doors[door].down_since > front;
            if !known_down {
                break;
            }
            door = (customer.first + (door + doors - customer.first + 1 + step) % customer.width) % doors;
        }
        let product = &self.experiment.product[first.product.0];
        let deadline = self.now + millis(product.expiry_ms * first.stays);
        let again = self.tries[one].no > 0;
        (self.tries[one].door, self.tries[one].deadline) = (door, deadline);
        self.tries[one].life = self.doors[door].life;
        if !self.doors[door].up {
            self.ledger.bill.unreached += 1;
            self.tries[one].answered = true;
            return self.tries_again(one, None);
        }
        let arrival = Arrival {
            txn: TxnId(one as u64),
            product: first.product,
            claim: QuotaClaim {
                customer: customer.id,
                plan: customer.plan,
                subset_start: customer.first as u32,
                subset_size: customer.width as u32,
                cost: first.units,
                retry: again && self.experiment.clients.marks_retry,
            },
            deadline,
        };
        let life = self.doors[door].life;
        let way = self.client_way();
        let event = Event::RequestArrived(arrival);
        self.post(self.now + way, Happening::Deliver { door, life, event });
        self.post(deadline, Happening::Deadline { one });
        let slack = millis(self.experiment.rules.answer_slack_ms);
        self.post(deadline + slack, Happening::Lost { one });
    }

    fn tries_again(&mut self, one: usize, advice: Option<Ticks>) {
        let clients = &self.experiment.clients;
        let (first_no, no) = (self.tries[one].first, self.tries[one].no);
        if no >= clients.retries || self.ledger.earned(first_no) {
            return;
        }
        let first = self.arrivals.firsts[first_no];
        let backoff = millis(self.clients.span(clients.backoff_ms) * f64::from(1 << no.min(8)));
        let wait = advice.filter(|_| first.honours).map_or(backoff, |advice| advice.max(backoff));
        self.tries.push(Try {
            first: first_no,
            no: no + 1,
            door: 0,
            life: 0,
            deadline: Ticks(0),
            answered: false,
            attempts: Vec::new(),
            inside: None,
            ran: 0,
        });
        let next = self.tries.len() - 1;
        self.post(self.now + wait, Happening::Try(next));
    }

    fn deadline(&mut self, one: usize) {
        if self.tries[one].answered {
            return;
        }
        let out = self.tries[one].attempts.clone();
        for attempt in out {
            self.end_at_door(attempt, Outcome::TimedOut);
        }
    }

    /// Past its time and its slack: rule 1, unless its door is dead or stands still.
    fn lost(&mut self, one: usize) {
        if self.tries[one].answered {
            return;
        }
        self.tries[one].answered = true;
        let door = &self.doors[self.tries[one].door];
        let running = door.up && door.life == self.tries[one].life;
        let slack = millis(self.experiment.rules.answer_slack_ms);
        let stood_still = door.stalled_until + slack + millis(2.0 * self.experiment.tick_ms) > self.now;
        if running && !stood_still {
            self.breaks(Rule::OneAnswer, format!("txn {one} got no final answer in its time"));
        }
        self.ledger.failed(self.tries[one].first, self.now);
        self.tries_again(one, None);
    }

    fn breaks(&mut self, rule: Rule, what: String) {
        self.ledger.broken.push(Broken { rule, at: self.now - START, what });
    }

    fn final_answer(&mut self, door: usize, txn: TxnId, decline: bool, advice: Option<Ticks>) {
        let one = txn.0 as usize;
        let Some(found) = self.tries.get(one) else {
            return self
                .breaks(Rule::OneAnswer, format!("door {door} answers a txn never given to it: {one}"));
        };
        if found.answered || found.door != door {
            return;
        }
        if self.now > found.deadline + millis(self.experiment.rules.answer_slack_ms) {
            return;
        }
        let first = self.arrivals.firsts[found.first];
        let once_only = self.experiment.product[first.product.0].repeat == Repeats::OnceOnly;
        let may_have_run = found.attempts.iter().any(|&attempt| self.attempts[attempt].may_have_run);
        if decline && once_only && may_have_run {
            self.breaks(Rule::NoEffectTwice, format!("txn {one} is declined though it may have run"));
        }
        self.tries[one].answered = true;
        let of = self.tries[one].first;
        self.ledger.declined(of, decline, self.now);
        let repeatable = decline || !once_only;
        if repeatable {
            self.tries_again(one, advice);
        }
    }

    /// The first good answer.
    fn conclude(&mut self, one: usize, attempt: Option<usize>) {
        self.tries[one].answered = true;
        let no = self.tries[one].first;
        let first = self.arrivals.firsts[no];
        if let Some(attempt) = attempt {
            self.attempts[attempt].answered = true;
            let took = self.now + self.client_way() - (START + first.at);
            let inside = self.tries[one].inside.unwrap_or(true);
            self.ledger.settled(no, &first, inside, took, self.now);
            self.ledger.served_ms += first.work_ms;
            if inside && first.true_units != first.units {
                self.books[first.customer].settles(first.units - first.true_units, self.now);
            }
        }
    }

    // Submissions.

    fn submit(&mut self, door: usize, txn: TxnId, backend: BackendId, time_out: Option<Ticks>) {
        let (one, to) = (txn.0 as usize, backend.0 as usize);
        if self.tries.get(one).is_none_or(|found| found.door != door) || to >= self.backends.len() {
            return self.breaks(Rule::OneAnswer, format!("door {door} submits what it was not given: {one}"));
        }
        let first = self.arrivals.firsts[self.tries[one].first];
        let product = &self.experiment.product[first.product.0];
        if self.tries[one].answered {
            // It may not have heard yet; what it ended itself it knows.
            self.breaks(Rule::OneAnswer, format!("txn {one} is submitted after its final answer"));
            return;
        }
        let no = self.tries[one].attempts.len() as u32;
        let most = self.experiment.allow.most_submissions as u32;
        let moot = no >= most || self.now >= self.tries[one].deadline;
        let attempt = self.attempts.len();
        self.attempts.push(Attempt {
            one,
            no,
            backend: to,
            sent: self.now,
            ended: false,
            may_have_run: !moot,
            life: 0,
            begun: false,
            ran: false,
            answered: false,
        });
        let earlier = self.tries[one].attempts.clone();
        self.tries[one].attempts.push(attempt);
        if moot {
            return self.end_at_door(attempt, Outcome::NotSent);
        }
        let out = earlier.iter().any(|&other| !self.attempts[other].ended);
        if out && !self.experiment.allow.second_copies {
            self.breaks(Rule::NoEffectTwice, format!("txn {one} has two submissions out"));
        }
        let ran = earlier.iter().find(|&&other| self.attempts[other].may_have_run);
        match (product.repeat, ran) {
            (Repeats::OnceOnly, Some(_)) => {
                self.breaks(Rule::NoEffectTwice, format!("once-only txn {one} is submitted again"));
            }
            (Repeats::Referenced, Some(&other))
                if self.now - self.attempts[other].sent > millis(product.window_ms) =>
            {
                self.breaks(Rule::NoEffectTwice, format!("txn {one} is repeated past its window"));
            }
            _ => {}
        }
        let entry = &self.doors[door].told[to];
        let grace = millis(self.experiment.rules.drain_grace_ms);
        if let Some(told) = entry.stops_at.filter(|told| self.now - *told > grace) {
            let late = (self.now - told).seconds();
            self.breaks(
                Rule::Drains,
                format!("door {door} sends to backend {to} {late:.1} s after it was told"),
            );
        }
        if no == 0 {
            self.takes_units(one, &first);
        }
        let cross = self.doors[door].place != self.backends[to].place;
        self.ledger.bill.submissions += 1;
        self.ledger.bill.crossing += u64::from(cross);
        let way = self.one_way(cross);
        let cut = self.cuts(door, to);
        let kept = self.idle.get_mut(&(door, to)).filter(|(count, until)| *count > 0 && *until > self.now);
        let mut reach = way;
        match kept {
            Some((count, _)) => *count -= 1,
            None => {
                self.ledger.bill.handshakes += 1;
                let backend = &self.backends[to];
                let dial = millis(self.experiment.net.dial_ms);
                if cut || backend.state == State::Silent {
                    self.post(
                        self.now + dial,
                        Happening::Answer { attempt, outcome: Outcome::ConnectFailed },
                    );
                    return;
                }
                if backend.state == State::Down {
                    let back = way.times(2.0);
                    self.post(
                        self.now + back,
                        Happening::Answer { attempt, outcome: Outcome::ConnectFailed },
                    );
                    return;
                }
                reach = way.times(3.0);
                let work = self.experiment.fleet.handshake_ms;
                self.bears(door, to, work);
            }
        }
        if let Some(span) = time_out {
            self.post(self.now + span, Happening::CapOver { attempt });
        }
        if !cut {
            self.post(self.now + reach, Happening::Reach { attempt });
        }
    }

    fn cuts(&self, door: usize, backend: usize) -> bool {
        let places = (self.doors[door].place, self.backends[backend].place);
        self.cut_place.is_some_and(|cut| places.0 != places.1 && (places.0 == cut || places.1 == cut))
    }

    fn takes_units(&mut self, one: usize, first: &First) {
        let (now, meter) = (self.now, self.experiment.meter.as_ref());
        let books = &mut self.books[first.customer];
        let inside = books.sent.takes(first.units, now);
        books.uses(first.units, now, meter);
        let over = books.ceiling.as_mut().map_or(f64::MIN, |ceiling| ceiling.draws(first.units, now));
        let (slack, depth) = (books.slack, books.depth);
        self.tries[one].inside = Some(inside);
        self.ledger.sends(first, inside);
        // What of the store and its slack is drawn.
        self.ledger.nears_ceiling(first, (over + depth) / (depth + slack).max(1e-9));
        if over > slack + 1e-6 {
            let who = first.customer;
            self.breaks(Rule::Ceilings, format!("customer {who} is {over:.1} units beyond its ceiling"));
        }
    }

    /// Work that reaches a backend, cold or not; whether it has fallen by it.
    fn bears(&mut self, door: usize, to: usize, work_ms: f64) {
        let knew = self.doors[door].told[to].booted == self.backends[to].booted;
        let (fleet, rules) = (&self.experiment.fleet, &self.experiment.rules);
        self.ledger.pushes(self.now, self.backends[to].pushed(self.now, fleet, rules));
        if let Some(part) = self.backends[to].bears(work_ms, knew, self.now, fleet, rules) {
            self.ledger.bill.fallen += 1;
            if part >= 2.0 / 3.0 {
                self.breaks(Rule::ColdBackends, format!("backend {to} is pushed over while cold"));
            }
            self.changes(to, BackendStatus::Gone, self.experiment.discovery.silent_late_s);
            self.reset_all(to);
        }
    }

    fn reach(&mut self, attempt: usize) {
        let (one, to) = (self.attempts[attempt].one, self.attempts[attempt].backend);
        if self.attempts[attempt].ended {
            return;
        }
        let door = self.tries[one].door;
        let work = self.arrivals.firsts[self.tries[one].first].work_ms;
        self.bears(door, to, work);
        let life = self.backends[to].life;
        self.attempts[attempt].life = life;
        let reached = self.backends[to].reached(attempt, &self.experiment.fleet);
        let back = self.one_way(self.doors[door].place != self.backends[to].place);
        match reached {
            Reached::Begins => self.begins(attempt),
            Reached::Waits | Reached::Unheard => {}
            Reached::TurnedAway => {
                self.post(self.now + back, Happening::Answer { attempt, outcome: Outcome::Rejected });
            }
            Reached::Refused => {
                self.post(self.now + back, Happening::Answer { attempt, outcome: Outcome::ConnectionLost });
            }
        }
    }

    fn begins(&mut self, attempt: usize) {
        let at = &mut self.attempts[attempt];
        (at.begun, at.ran) = (true, true);
        let (one, to) = (at.one, at.backend);
        let work = self.arrivals.firsts[self.tries[one].first].work_ms;
        let takes = self.backends[to].takes(work, self.now, &self.experiment.fleet);
        self.backends[to].worked_ms += work;
        self.ledger.works(self.now, work);
        let once_only = self.arrivals.firsts[self.tries[one].first].product;
        let once_only = self.experiment.product[once_only.0].repeat == Repeats::OnceOnly;
        self.tries[one].ran += 1;
        if once_only && self.tries[one].ran > 1 {
            self.breaks(Rule::NoEffectTwice, format!("once-only txn {one} runs twice"));
        }
        let life = self.backends[to].life;
        self.post(self.now + seconds(takes).max(Ticks(1)), Happening::Done { attempt, life });
    }

    fn done(&mut self, attempt: usize, life: u32) {
        let to = self.attempts[attempt].backend;
        if self.backends[to].life != life || self.backends[to].state == State::Silent {
            return;
        }
        // Stopped in its work: its core is free already.
        if !self.attempts[attempt].begun {
            return;
        }
        self.attempts[attempt].begun = false;
        if let Some(next) = self.backends[to].frees() {
            self.begins(next);
        }
        let door = self.tries[self.attempts[attempt].one].door;
        let back = self.one_way(self.doors[door].place != self.backends[to].place);
        if self.cuts(door, to) {
            return;
        }
        let cut_off = self.backends[to].cut_off;
        let outcome = if cut_off > 0.0 && self.net.unit() < cut_off {
            Outcome::ConnectionLost
        } else {
            Outcome::Succeeded
        };
        self.post(self.now + back, Happening::Answer { attempt, outcome });
    }

    fn answer(&mut self, attempt: usize, outcome: Outcome) {
        if outcome == Outcome::Succeeded && !self.attempts[attempt].ended {
            let (to, door) = (self.attempts[attempt].backend, self.tries[self.attempts[attempt].one].door);
            let until = self.now + seconds(self.experiment.fleet.idle_s * 0.25);
            let kept = self.idle.entry((door, to)).or_insert((0, until));
            *kept = (if kept.1 > self.now { kept.0 + 1 } else { 1 }, until);
        }
        self.end_at_door(attempt, outcome);
    }

    /// A submission ends for its door, once; a call off reaches the backend a moment later.
    fn end_at_door(&mut self, attempt: usize, outcome: Outcome) {
        let at = &mut self.attempts[attempt];
        if at.ended {
            return;
        }
        at.ended = true;
        let (one, to, no, sent) = (at.one, at.backend, at.no, at.sent);
        // Until the door has read its end it may have run, for all that the door knows.
        let door = self.tries[one].door;
        if matches!(outcome, Outcome::Cancelled | Outcome::TimedOut) {
            let way = self.one_way(self.doors[door].place != self.backends[to].place);
            self.post(self.now + way, Happening::Stop { attempt });
        }
        let from_backend = matches!(outcome, Outcome::Succeeded | Outcome::Error | Outcome::Rejected);
        let first = self.arrivals.firsts[self.tries[one].first];
        let meter = self.experiment.meter.as_ref().filter(|_| from_backend);
        let metered = meter.and_then(|meter| {
            let late = seconds(self.services.span(meter.late_s) + self.list_late_s);
            self.books[first.customer].metered(self.now, late, meter)
        });
        let guessed = self.experiment.product[first.product.0].guess > 0.0;
        let ending = AttemptReport {
            txn: TxnId(one as u64),
            attempt: AttemptNumber(no),
            outcome,
            latency: self.now - sent,
            complete: false,
            metered_usage: metered,
            actual_cost: (guessed && outcome == Outcome::Succeeded).then_some(first.true_units),
        };
        let life = self.tries[one].life;
        self.deliver(door, life, Event::AttemptEnded(ending));
    }

    fn stop(&mut self, attempt: usize) {
        let to = self.attempts[attempt].backend;
        if self.attempts[attempt].life != self.backends[to].life {
            return;
        }
        let begun = self.attempts[attempt].begun;
        let stops = self.experiment.fleet.stops;
        if self.backends[to].calls_off(attempt, begun, stops) == Some(true) {
            self.attempts[attempt].begun = false;
            if let Some(next) = self.backends[to].frees() {
                self.begins(next);
            }
        }
    }

    fn cap_over(&mut self, attempt: usize) {
        self.end_at_door(attempt, Outcome::TimedOut);
    }

    /// A dead process's connections break at once.
    fn reset_all(&mut self, to: usize) {
        self.idle.retain(|(_, backend), _| *backend != to);
        let out: Vec<_> = (0..self.attempts.len())
            .rev()
            .take_while(|&attempt| self.now - self.attempts[attempt].sent < seconds(60.0))
            .filter(|&attempt| self.attempts[attempt].backend == to && !self.attempts[attempt].ended)
            .collect();
        for attempt in out {
            let back = self.one_way(false);
            self.post(self.now + back, Happening::Answer { attempt, outcome: Outcome::ConnectionLost });
        }
    }

    // Discovery.

    fn changes(&mut self, backend: usize, standing: BackendStatus, late: crate::experiment::Span) {
        let booted = self.backends[backend].booted;
        self.published[backend].2 += 1;
        let version = self.published[backend].2;
        (self.published[backend].0, self.published[backend].1) = (standing, booted);
        let late = self.discovery.span(late) + self.list_late_s;
        self.post(self.now + seconds(late), Happening::Told { backend, version });
    }

    fn tell(&mut self, backend: usize, version: u64) {
        let (standing, booted, newest) = self.published[backend];
        if version != newest {
            return;
        }
        for door in 0..self.doors.len() {
            let entry = &self.doors[door].told[backend];
            if !self.doors[door].up || (entry.standing, entry.booted) == (standing, booted) {
                continue;
            }
            let entry = Entry { listed: true, standing, booted, stops_at: None };
            let event = Event::BackendChanges(vec![self.listed(door, backend, &entry)]);
            let spread = seconds(self.discovery.unit() * self.experiment.discovery.spread_s);
            let life = self.doors[door].life;
            self.post(self.now + spread, Happening::Deliver { door, life, event });
        }
    }

    // Counter and words.

    fn counts(&mut self, door: usize, name: CounterKey, step: f64, forget: Ticks) {
        self.ledger.bill.calls += 1;
        let life = self.doors[door].life;
        let way = self.one_way(self.doors[door].place != 0);
        let asked = self.now;
        self.post(self.now + way, Happening::Call { door, life, name, step, forget, asked });
    }

    fn call(&mut self, door: usize, life: u32, name: CounterKey, step: f64, forget: Ticks, asked: Ticks) {
        let Some(told) = &self.experiment.counter else {
            return;
        };
        let wait = millis(told.wait_ms);
        let way = self.now - asked;
        let count = self.counter.len();
        let part = &mut self.counter[(name.0 % count.max(1) as u64) as usize];
        let (counted, at) = if self.counter_down {
            (CounterReply::Unknown, asked + wait)
        } else if part.busy_until - self.now > wait.times(2.0) {
            (CounterReply::NotAdded, self.now + way)
        } else {
            part.busy_until = part.busy_until.max(self.now) + seconds(1.0 / told.per_s);
            let now = self.now;
            let total = part.totals.entry(name.0).or_insert((0.0, now + forget));
            if total.1 <= now {
                *total = (0.0, now + forget);
            }
            total.0 += step;
            let back = part.busy_until + way;
            if back - asked > wait {
                (CounterReply::Unknown, asked + wait)
            } else {
                (CounterReply::Total(total.0), back)
            }
        };
        self.ledger.bill.calls_unanswered += u64::from(!matches!(counted, CounterReply::Total(_)));
        self.post(
            at,
            Happening::Deliver { door, life, event: Event::CounterReplied { key: name, reply: counted } },
        );
    }

    fn says(&mut self, door: usize, to: GatewayId, word: PeerMessage) {
        let (Some(peers), true) = (&self.experiment.peers, (to.0 as usize) < self.doors.len()) else {
            return;
        };
        self.ledger.bill.words += 1;
        self.ledger.bill.word_bytes += codec::encode(&word).len() as u64;
        if self.services.unit() < peers.loss {
            return;
        }
        let takes = millis(self.services.span(peers.takes_ms));
        let to = to.0 as usize;
        let arrives = self.now + takes;
        let most = peers.in_per_s;
        let at = &mut self.doors[to];
        let gap = (arrives - at.intake.0).seconds().max(0.0);
        let room = (at.intake.1 + gap * most).min(most);
        at.intake = (arrives.max(at.intake.0), room - 1.0);
        if room < 1.0 {
            at.intake.1 = room;
            self.ledger.bill.words_dropped += 1;
            return;
        }
        let life = at.life;
        let event = Event::PeerMessageReceived { from: GatewayId(door as u32), message: word };
        self.post(arrives, Happening::Deliver { door: to, life, event });
    }

    // What goes wrong.

    fn struck(&mut self, no: usize) -> Vec<usize> {
        if let Some(struck) = self.struck.get(&(no, 0)) {
            return struck.clone();
        }
        let fault = &self.experiment.fault[no];
        let of_doors = matches!(fault.kind, Kind::DoorCrash | Kind::DoorStall);
        let all = if of_doors { self.doors.len() } else { self.backends.len() };
        let count = ((fault.part * all as f64).round() as usize).clamp(1, all);
        let struck = match fault.by {
            By::Any => self.faults.some_of(count, all),
            By::Place | By::Cell => {
                let group = |one: usize| match (of_doors, fault.by) {
                    (true, _) => self.doors[one].place,
                    (false, By::Cell) => self.backends[one].cell,
                    (false, _) => self.backends[one].place,
                };
                let groups = (0..all).map(group).max().unwrap_or(0) + 1;
                let mut struck = Vec::new();
                for chosen in self.faults.some_of(groups, groups) {
                    if struck.len() < count {
                        struck.extend((0..all).filter(|&one| group(one) == chosen));
                    }
                }
                struck.truncate(count);
                struck
            }
        };
        self.struck.insert((no, 0), struck.clone());
        struck
    }

    fn fault(&mut self, no: usize, step: usize, begins: bool) {
        let fault = self.experiment.fault[no].clone();
        let struck = self.struck(no);
        let (now, for_s) = (self.now, seconds(fault.for_s));
        let ends = |world: &mut Self| world.post(now + for_s, Happening::Fault { no, step, begins: false });
        let silent = self.experiment.discovery.silent_late_s;
        let late = self.experiment.discovery.late_s;
        match (fault.kind, begins) {
            (Kind::Crash, true) => {
                for &to in &struck {
                    self.backends[to].dies();
                    self.reset_all(to);
                    self.changes(to, BackendStatus::Gone, silent);
                }
                ends(self);
            }
            (Kind::Silent, true) => {
                for &to in &struck {
                    self.backends[to].state = State::Silent;
                    self.changes(to, BackendStatus::Gone, silent);
                }
                ends(self);
            }
            (Kind::Crash | Kind::Silent, false) => {
                for &to in &struck {
                    self.backends[to].dies();
                    self.reset_all(to);
                    self.boot(to, late);
                }
            }
            (Kind::Flap, true) => {
                let every = seconds(fault.every_s);
                for &to in &struck {
                    self.backends[to].dies();
                    self.reset_all(to);
                    self.changes(to, BackendStatus::Gone, silent);
                }
                self.post(now + every.times(0.5), Happening::Fault { no, step, begins: false });
                let begun = self.experiment.fault[no].at_s;
                if (now - START).seconds() + fault.every_s < begun + fault.for_s {
                    self.post(now + every, Happening::Fault { no, step: step + 1, begins: true });
                }
            }
            (Kind::Flap, false) => struck.iter().for_each(|&to| self.boot(to, late)),
            (Kind::Slow, _) => {
                for &to in &struck {
                    self.backends[to].slow = if begins { fault.size.max(1e-3) } else { 1.0 };
                }
                if begins {
                    ends(self);
                }
            }
            (Kind::AnswersLost, _) => {
                for &to in &struck {
                    self.backends[to].cut_off = if begins { fault.size.min(1.0) } else { 0.0 };
                }
                if begins {
                    ends(self);
                }
            }
            (Kind::Drain, true) => {
                // One after the other over the span: told, then gone, then back cold.
                let Some(&to) = struck.get(step) else {
                    return;
                };
                self.backends[to].draining = true;
                self.changes(to, BackendStatus::Draining, late);
                let notice = seconds(fault.every_s);
                self.post(now + notice, Happening::Fault { no, step, begins: false });
                let gap = for_s.times(1.0 / struck.len() as f64);
                self.post(now + gap, Happening::Fault { no, step: step + 1, begins: true });
            }
            (Kind::Drain, false) => {
                let Some(&to) = struck.get(step) else {
                    return;
                };
                if self.backends[to].draining {
                    self.backends[to].dies();
                    self.reset_all(to);
                    self.boot(to, late);
                }
            }
            (Kind::PlaceCut, true) => {
                self.cut_place = Some(self.faults.below(self.experiment.fleet.places.len()));
                ends(self);
            }
            (Kind::PlaceCut, false) => self.cut_place = None,
            (Kind::DoorCrash, true) => {
                for &door in &struck {
                    self.door_dies(door);
                    self.post(now + for_s, Happening::DoorBack { door });
                }
            }
            (Kind::DoorStall, true) => {
                let until = START + seconds(self.experiment.fault[no].at_s) + for_s;
                for &door in &struck {
                    // Each at times of its own: drawn ahead for the whole span.
                    let mut at = now + seconds(self.faults.unit() * fault.every_s);
                    while at < until {
                        self.post(at, Happening::Fault { no, step: door + 1, begins: false });
                        at = at + seconds(fault.every_s * (0.7 + 0.6 * self.faults.unit()));
                    }
                }
            }
            (Kind::DoorStall, false) => {
                let door = step - 1;
                let until = now + seconds(fault.size);
                self.doors[door].stalled_until = self.doors[door].stalled_until.max(until);
            }
            (Kind::CounterDown, _) => {
                self.counter_down = begins;
                if begins {
                    self.counter.iter_mut().for_each(|part| *part = Part::default());
                    ends(self);
                }
            }
            (Kind::ListLate, _) => {
                self.list_late_s = if begins { fault.size } else { 0.0 };
                if begins {
                    ends(self);
                }
            }
            (Kind::DoorCrash | Kind::Flood, _) => {}
        }
    }

    fn boot(&mut self, to: usize, late: crate::experiment::Span) {
        self.backends[to].boots(self.now);
        if !self.backends[to].fallen {
            self.changes(to, BackendStatus::Ready, late);
        }
    }

    fn door_dies(&mut self, door: usize) {
        if !self.doors[door].up {
            return;
        }
        self.policy.stops(door);
        let at = &mut self.doors[door];
        (at.up, at.down_since, at.turn_set) = (false, self.now, false);
        at.life += 1;
        at.inbox.clear();
        self.idle.retain(|(of, _), _| *of != door);
        let open: Vec<_> = (0..self.tries.len())
            .rev()
            .take_while(|&one| {
                self.now - (START + self.arrivals.firsts[self.tries[one].first].at) < seconds(60.0)
            })
            .filter(|&one| {
                self.tries[one].door == door
                    && !self.tries[one].answered
                    && self.tries[one].deadline > self.now
            })
            .collect();
        for one in open {
            self.tries[one].answered = true;
            let out = self.tries[one].attempts.clone();
            for attempt in out {
                if !self.attempts[attempt].ended {
                    self.attempts[attempt].ended = true;
                    let way = self.one_way(false);
                    self.post(self.now + way, Happening::Stop { attempt });
                }
            }
            self.ledger.failed(self.tries[one].first, self.now);
            // A client may repeat only what may run twice, or what never was sent.
            let first = self.arrivals.firsts[self.tries[one].first];
            let once_only = self.experiment.product[first.product.0].repeat == Repeats::OnceOnly;
            if !once_only || self.tries[one].attempts.is_empty() {
                self.tries_again(one, None);
            }
        }
    }

    fn door_back(&mut self, door: usize) {
        if !self.doors[door].up {
            self.doors[door].stalled_until = self.now;
            self.start(door);
        }
    }

    fn look(&mut self) {
        let fleet = &self.experiment.fleet;
        let shares: f64 = self.experiment.product.iter().map(|product| product.share).sum();
        let work = self.experiment.product.iter().map(|product| product.share * product.work_ms).sum::<f64>()
            / shares;
        let pace = |backend: &Backend| work / backend.capacity(self.now, fleet).max(1e-6);
        let wait = |backend: &Backend| {
            let open = backend.state == State::Up && !backend.draining;
            let ahead = backend.outstanding() as f64 + 1.0 - fleet.cores as f64 * 0.5;
            open.then(|| ahead.max(0.0) * pace(backend) + work / 1_000.0)
        };
        self.seen.waits = self.backends.iter().map(wait).collect();
        self.seen.paces = self.backends.iter().map(pace).collect();
        self.policy.looks(self.now, self.backends.len());
        let up = |backend: &&Backend| backend.state == State::Up;
        let capacity: f64 =
            self.backends.iter().filter(up).map(|backend| backend.capacity(self.now, fleet)).sum();
        let lines = self.backends.iter().map(|backend| backend.outstanding());
        self.ledger.looks(self.now, capacity, lines);
        if self.now < START + seconds(self.experiment.length_s) {
            self.post(self.now + seconds(LOOK), Happening::Look);
        }
    }
}
