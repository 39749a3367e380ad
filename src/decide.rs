//! All decisions of one door. `Door::start` takes what the door is told at its start; then each batch of
//! events goes through `Door::decide`, which gives the actions to carry out, in order. Ids, events and
//! actions are in `interface.rs`, the data kept between batches in `state.rs`.
//!
//! Each backend is an actor with an inbox; so are the till (the design: what each customer may spend) and
//! the desk (the txns). They talk only by notes, and the loop in `settle_mail` empties all inboxes.
//!
//! Beside the design stand five mechanisms:
//! 1. ceiling: a second, even-split bucket that knows nothing but this instance's own time (`Till`)
//! 2. room: one backend drawn at random in step with its room; declines what cannot be in time (`Desk`)
//! 3. set aside: a backend that is silent or fails rests for a while (`Backend`)
//! 4. cold: a backend that has just started gets this door's part of its budget (`Backend`)
//! 5. resubmission: second tries, one after the other, out of a budget that first submissions fill (`Desk`)

use crate::interface::*;
use crate::state::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

// Figures without a site of their own; docs/results.md and the journal have what else was tried.
/// Seconds over a few meter readings, so that one reading moves a slice little.
const SLICE_SPAN: f64 = 2.0;
/// Seconds that readings come late; longer than most, as an early share sums past the quota.
const METER_LAG: f64 = 1.5;
/// A share out of fewer txns than this is mostly chance.
const PRIOR_TXNS: f64 = 12.0;
/// A door must be able to learn that traffic has come back to it.
const SLICE_FLOOR: f64 = 0.25;
/// The part of a slice's burst that lets in a txn of any size.
const ENOUGH: f64 = 0.5;
/// The part of a whole burst that lending leaves, for each part of its worth that use beyond the quota costs.
const KEPT: f64 = 0.25;
/// Seconds of asking that show a surge.
const SURGE_SPAN: f64 = 0.5;
/// Of the largest txn: a customer whose slice holds less is counted whole; so much more where all calls fit.
const SLIM: (f64, f64) = (0.15, 0.45);
/// Doors that keep a customer's store between them where a slice holds less than a txn.
const KEEPERS: u32 = 2;
/// Above all asks' timers.
const BEAT_TIMER: TimerId = TimerId(1 << 32);
/// Seconds between a door's beats, and what each leaves of the longest stall that they showed.
const BEAT: (f64, f64) = (0.25, 0.99);
/// The part refused of what a customer lately asked that its doors are told of, and seconds they go by it.
const FULL: (f64, f64) = (0.5, 10.0);
/// A client that stays no longer than so many such stalls, or shortest SLA times, is not made to wait.
const STAYS: (f64, f64) = (1.3, 2.25);
/// The part of the SLA time that a keeper's answer may take: longer than messages do, shorter than a stall.
const ASK_PART: f64 = 0.1;
/// The part of the SLA time that the cheapest may be expected to take; the dearest up to half of it more.
const PATIENCE: f64 = 0.1;
/// A client that leaves sooner than so many usual answer times is seldom served, and its repeat counts anew.
const IN_TIME: f64 = 3.0;
/// The part of an answer's time that is held for waiting where too few are out to see a line.
const QUEUED: f64 = 0.5;
/// Usual answer times over which what is out is averaged: chance fills a door with few out in one or two.
const CROWD_ANSWERS: f64 = 5.0;
/// Seconds of settling that tell the pace of the fleet.
const SETTLE_SPAN: f64 = 2.0;
/// A kept connection is so much more room, as a new one costs work and time; a cold backend keeps its budget.
const KEPT_ODDS: f64 = 8.0;
/// The way to another place costs a little.
const NEAR_ODDS: f64 = 5.0;
/// Long against an answer, short against a failure.
const REST: Tenths = Tenths(80_000);
/// One failure is chance, three with nothing settled between are not.
const STRIKES: f64 = 3.0;
/// Further submissions for each first one, and the most saved up: enough for one silent backend's txns.
const COPIES: (f64, f64) = (0.1, 12.0);
/// Seconds of a counter window: longer than a call takes; two and a spare inside a name's 60 s of life.
const COUNT_SPAN: (f64, f64) = (1.0, 25.0);
/// Of a call's wait: an answer later than that tells of a line at the counter.
const COUNT_LINE: f64 = 0.5;
/// Seconds in which calls held back come back, and customers of wider slices: long, lest these come and go.
const COUNT_BACK: (f64, f64) = (4.0, 600.0);
/// What one counted first try weighs in the part of a plan's that fit.
const COUNT_WEIGHT: f64 = 0.1;

pub struct Door {
    told: Start,
    now: Tenths,
    chance: SmallRng,
    desk: Desk,
    till: Till,
    yard: BTreeMap<BackendId, Backend>,
    /// Those with notes in their inboxes, and those to whom time alone may matter.
    posted: VecDeque<BackendId>,
    stirring: BTreeSet<BackendId>,
    actions: Vec<Action>,
    heard: Tenths,
}

impl Door {
    pub fn start(told: Start) -> Door {
        let guess = |mean| Norm { mean, spread: mean, seen: 0.0 };
        let norms = told.products.iter().map(|product| guess(product.sla_time.seconds() / 4.0)).collect();
        let desk = Desk { norms, rated_at: told.at, spare: COPIES.1, ..Desk::default() };
        let fits = vec![0.5; told.plans.len()];
        let till = Till { calling: 1.0, reach: 1.0, answered: 1.0, fits, ..Till::default() };
        let (now, yard) = (told.at, BTreeMap::new());
        let (posted, stirring, actions) = (VecDeque::new(), BTreeSet::new(), Vec::new());
        let chance = SmallRng::seed_from_u64(told.seed);
        let mut door = Door { now, told, desk, till, yard, posted, stirring, chance, actions, heard: now };
        door.beat();
        door
    }

    pub fn decide(&mut self, now: Tenths, events: Vec<Event>) -> Vec<Action> {
        self.now = self.now.max(now);
        // Against holding txns that no stall leaves time for: the next one may come at any moment.
        self.till.stall = self.till.stall.max(self.now - self.heard);
        self.heard = self.now;
        for event in events {
            match event {
                Event::Listing(entries) => {
                    let named = |id: &BackendId| entries.iter().any(|entry| entry.backend == *id);
                    let missing: Vec<_> = self.yard.keys().copied().filter(|id| !named(id)).collect();
                    self.list(entries);
                    missing.into_iter().for_each(|id| self.post(id, ToBackend::Unlisted));
                }
                Event::Changes(entries) => self.list(entries),
                Event::Arrived(arrival) => self.desk.inbox.push_back(ToDesk::Arrived(arrival)),
                Event::Ended(ending) => self.desk.inbox.push_back(ToDesk::Ended(ending)),
                Event::Left(txn) => self.desk.inbox.push_back(ToDesk::Left(txn)),
                Event::Due(BEAT_TIMER) => self.beat(),
                Event::Due(TimerId(ask)) => self.till.inbox.push_back(ToTill::Overdue(AskNo(ask as u32))),
                Event::Heard { from, word } => self.till.inbox.push_back(ToTill::Heard(from, word)),
                Event::Counted { name, counted } => self.till.inbox.push_back(ToTill::Counted(name, counted)),
            }
        }
        self.settle_mail();
        // Judged after the events: a door held up itself must not take its own backlog for silence.
        self.tick();
        self.settle_mail();
        std::mem::take(&mut self.actions)
    }

    /// Where txns are held for other doors' words, a door must know when it stood still itself.
    fn beat(&mut self) {
        if self.told.peers {
            self.till.stall = self.till.stall.times(BEAT.1);
            self.actions.push(Action::Wake { after: Tenths::SECOND.times(BEAT.0), timer: BEAT_TIMER });
        }
    }

    fn list(&mut self, entries: Vec<Listed>) {
        for entry in entries {
            self.yard.entry(entry.backend).or_insert_with(|| Backend::new(self.now));
            self.post(entry.backend, ToBackend::Listed(entry));
        }
    }

    fn post(&mut self, id: BackendId, note: ToBackend) {
        if let Some(actor) = self.yard.get_mut(&id) {
            actor.inbox.push_back(note);
            self.posted.push_back(id);
        }
    }

    /// Time is told to those alone that have something out, rest or warm up: in a wide fleet few of all.
    fn tick(&mut self) {
        let warm = self.desk.board.values().filter(|offer| !offer.cold && !offer.bad);
        let (rate, size) = warm.fold((0.0, 1e-6), |(rate, size), offer| {
            (rate + offer.sent_rate * faded(offer.rated_at, self.now), size + offer.size)
        });
        let (warm_rate, patience) = (rate / size, self.desk.patience());
        // The random part keeps doors that rested a backend together from returning to it together.
        let rest = REST.times(1.0 + 0.5 * self.chance.random::<f64>());
        for id in std::mem::take(&mut self.stirring) {
            self.post(id, ToBackend::Tick { patience, warm_rate, rest });
        }
    }

    /// Backends first, then the till, so that the desk never acts on a board that is behind.
    fn settle_mail(&mut self) {
        loop {
            while let Some(id) = self.posted.pop_front() {
                let Some(actor) = self.yard.get_mut(&id).filter(|actor| !actor.inbox.is_empty()) else {
                    continue;
                };
                while let Some(note) = actor.inbox.pop_front() {
                    actor.hear(note, self.now, &self.told.cold);
                }
                if actor.stirs(self.now, &self.told.cold) {
                    self.stirring.insert(id);
                }
                let offer = actor.listed.then(|| actor.offer(self.now, &self.told.cold));
                if !actor.listed && actor.out.is_empty() {
                    self.yard.remove(&id);
                }
                self.desk.board.remove(&id);
                self.desk.board.extend(offer.map(|offer| (id, offer)));
            }
            if let Some(note) = self.till.inbox.pop_front() {
                if let Some(answer) = self.till.hear(note, self.now, &self.told) {
                    self.desk.inbox.push_front(answer);
                }
                self.actions.append(&mut self.till.calls);
            } else if let Some(note) = self.desk.inbox.pop_front() {
                self.hear(note);
            } else {
                return;
            }
        }
    }

    fn hear(&mut self, note: ToDesk) {
        match note {
            ToDesk::Arrived(arrival) => self.arrived(arrival),
            ToDesk::Granted(id) if self.submit(id).is_some() => {}
            ToDesk::Granted(id) => {
                let want = self.desk.txns.get(&id).map(|txn| txn.asked.want);
                let back = want.map(|want| ToTill::Closed { want, metered: None, owed: -want.cost });
                self.till.inbox.extend(back);
                self.give_up(id, None);
            }
            ToDesk::Refused(id, wait) => self.give_up(id, wait),
            ToDesk::Ended(ending) => self.ended(ending),
            ToDesk::Left(id) => self.conclude(id),
        }
    }

    fn arrived(&mut self, arrival: Arrival) {
        let Arrival { txn: id, product, mut want, expiry } = arrival;
        want.width = if want.width == 0 { self.told.doors.max(1) } else { want.width };
        let (norm, stays) = (self.desk.norms[product.0], expiry - self.now);
        let plan = &self.told.plans[want.plan.0];
        // By the time it takes: a dear txn that keeps a server long stands in the way of several cheap ones.
        let value = self.told.products[product.0].value * plan.value_factor / norm.mean;
        let leaves = norm.seen >= 8.0 && stays.seconds() < IN_TIME * norm.mean;
        self.desk.crowd(value, self.now, &self.told);
        let pressed = self.desk.pressed(value) || leaves;
        let spared = !self.desk.pressed(value * plan.beyond_worth);
        self.desk
            .txns
            .insert(id, Txn { asked: Arrival { want, ..arrival }, arrived: self.now, ..Txn::default() });
        if pressed || self.desk.board.is_empty() {
            self.give_up(id, None);
        } else {
            let chance = self.chance.random::<f64>();
            let patience = self.told.products[product.0].sla_time.min(stays).times(ASK_PART);
            let ask = Ask { txn: id, want, chance, patience, stays, spared, turn: 0, refused: false };
            self.till.inbox.push_back(ToTill::Ask(ask));
        }
    }

    /// A decline says that another try is harmless, so it is kept from what may have run and must not again.
    fn give_up(&mut self, id: TxnId, wait: Option<Tenths>) {
        let Some(txn) = self.desk.txns.get(&id) else {
            return;
        };
        let may_have_run = txn.submissions.iter().any(|submission| submission.may_have_run);
        let harmless = !may_have_run || self.told.products[txn.asked.product.0].repeat != Repeat::OnceOnly;
        let told = &self.told.allowances;
        let retry_after = wait.filter(|_| told.retry_after).map(|span| span.min(told.max_retry_after));
        let decline = Action::Decline { txn: id, retry_after };
        self.actions.push(if harmless { decline } else { Action::Void { txn: id } });
        self.conclude(id);
    }

    fn conclude(&mut self, id: TxnId) {
        let Some(txn) = self.desk.txns.get_mut(&id) else {
            return;
        };
        let first = !std::mem::replace(&mut txn.answered, true);
        if !txn.submissions.last().is_some_and(|last| last.out) {
            self.desk.txns.remove(&id);
        } else if first && self.told.allowances.cancel {
            let no = SubmissionNo(txn.submissions.len() as u32 - 1);
            self.actions.push(Action::Cancel { txn: id, no });
        }
    }

    fn ended(&mut self, ending: Ending) {
        let (id, no) = (ending.txn, ending.no);
        let Some(txn) = self.desk.txns.get_mut(&id) else {
            return;
        };
        let Some(submission) = txn.submissions.get_mut(no.0 as usize).filter(|submission| submission.out)
        else {
            return;
        };
        submission.out = false;
        submission.may_have_run = !ending.outcome.never_ran();
        let settled = ending.outcome == Outcome::Settled;
        let owed = ending.true_cost.filter(|_| settled).map_or(0.0, |cost| cost - txn.asked.want.cost);
        let (want, product, backend) = (txn.asked.want, txn.asked.product, submission.backend);
        // What did not get through fed no overload, so sending it again is not charged.
        self.desk.spare += f64::from(u8::from(ending.outcome == Outcome::NoConnection));
        let answered = txn.answered;
        self.till.inbox.push_back(ToTill::Closed { want, metered: ending.metered, owed });
        let took = ending.took.seconds();
        let (relative, kept) = (took / self.desk.norms[product.0].mean.max(1e-4), self.told.kept);
        if settled {
            self.desk.learn(product, took, self.now);
        }
        self.post(backend, ToBackend::Ended { txn: id, no, outcome: ending.outcome, relative, kept });
        if answered || ending.complete {
            self.conclude(id);
        } else if !(self.may_resubmit(id) && self.submit(id).is_some()) {
            self.give_up(id, None);
        }
    }

    /// Against effects twice, and against retries that feed an overload or come too late to be of worth.
    fn may_resubmit(&mut self, id: TxnId) -> bool {
        let Some(txn) = self.desk.txns.get(&id) else {
            return false;
        };
        let product = &self.told.products[txn.asked.product.0];
        let may_have_run = txn.submissions.iter().any(|submission| submission.may_have_run);
        let in_time = txn.arrived + product.sla_time;
        let answer = self.now + Tenths::SECOND.times(self.desk.norms[txn.asked.product.0].mean);
        let allowed = !(may_have_run && product.repeat == Repeat::OnceOnly)
            && txn.submissions.len() < self.told.allowances.most_submissions
            && answer <= in_time.min(txn.asked.expiry)
            && self.desk.spare >= 1.0;
        self.desk.spare -= f64::from(u8::from(allowed));
        allowed
    }

    /// One draw at random, odds in step with room; none where no backend may take the txn.
    fn submit(&mut self, id: TxnId) -> Option<()> {
        let chance = self.chance.random::<f64>();
        let txn = self.desk.txns.get_mut(&id)?;
        let product = &self.told.products[txn.asked.product.0];
        let backend = draw(&self.desk.board, txn, product.repeat, self.now, chance)?;
        let no = SubmissionNo(txn.submissions.len() as u32);
        // Until its outcome says otherwise a submission may run at any moment.
        txn.submissions.push(Submission { backend, sent: self.now, out: true, may_have_run: true });
        // Without second copies only a time-out frees a txn from a silent backend.
        let norm = self.desk.norms[txn.asked.product.0];
        let wait = Tenths::SECOND.times(2.0 * norm.mean + 5.0 * norm.spread);
        let waits = product.repeat == Repeat::OnceOnly || self.told.allowances.second_copies;
        let time_out = (!waits).then_some(wait.max(Tenths(10)));
        self.actions.push(Action::Submit { txn: id, backend, time_out });
        if no.0 == 0 {
            self.desk.spare = (self.desk.spare + COPIES.0).min(COPIES.1);
        }
        self.post(backend, ToBackend::Sent { txn: id, no, work: norm.mean });
        Some(())
    }
}

fn faded(since: Tenths, now: Tenths) -> f64 {
    (-(now - since).seconds() / SETTLE_SPAN).exp()
}

fn draw(board: &Board, txn: &Txn, repeat: Repeat, now: Tenths, chance: f64) -> Option<BackendId> {
    let ran = txn.submissions.iter().find(|submission| submission.may_have_run);
    if matches!((repeat, ran), (Repeat::Referenced { window }, Some(first)) if now - first.sent >= window) {
        return None;
    }
    // When most look bad the cause is shared, and sparing them would only crowd the rest.
    let bad = board.values().filter(|offer| offer.bad).count();
    let spare_bad = 2 * bad <= board.len();
    let tried = |id: &BackendId| txn.submissions.iter().any(|submission| submission.backend == *id);
    let open: Vec<_> =
        board.iter().filter(|(id, offer)| !(offer.shut || offer.bad && spare_bad || tried(id))).collect();
    let out: f64 = open.iter().map(|(_, offer)| offer.out).sum();
    let strength: f64 = open.iter().map(|(_, offer)| offer.strength).sum();
    let kept = |offer: &Offer| !offer.cold && offer.out < 1.0 && offer.kept_until > now;
    let room = |offer: &Offer| (offer.strength / strength * (out + open.len() as f64) - offer.out).max(0.0);
    let room = |offer: &Offer| room(offer) * if kept(offer) { KEPT_ODDS } else { 1.0 };
    let room = |offer: &Offer| room(offer) * if offer.near { NEAR_ODDS } else { 1.0 };
    let mut left = chance * open.iter().map(|(_, offer)| room(offer)).sum::<f64>();
    for (id, offer) in &open {
        left -= room(offer);
        if left < 0.0 {
            return Some(**id);
        }
    }
    open.last().map(|(id, _)| **id)
}

impl Desk {
    fn learn(&mut self, product: ProductId, took: f64, now: Tenths) {
        let norm = &mut self.norms[product.0];
        norm.seen += 1.0;
        let weight = (1.0 / norm.seen).max(0.03);
        norm.spread += weight * ((took - norm.mean).abs() - norm.spread);
        norm.mean += weight * (took - norm.mean);
        self.settle_rate = self.settle_rate * faded(self.rated_at, now) + 1.0 / SETTLE_SPAN;
        self.rated_at = now;
    }

    /// Longer than nearly all answers take, so that silence is not mistaken for a long txn.
    fn patience(&self) -> Tenths {
        let longest = self.norms.iter().map(|norm| norm.mean + 3.0 * norm.spread);
        Tenths::SECOND.times(longest.fold(0.1, f64::max))
    }

    /// What is out over what settles is how long a newcomer would wait. All products wait in the same lines,
    /// so the one tightest on time says when; the cheaper give way first.
    fn crowd(&mut self, value: f64, now: Tenths, told: &Start) {
        let mean = self.norms.iter().map(|norm| norm.mean).sum::<f64>() / self.norms.len() as f64;
        self.mean_value += 0.02 * (value - self.mean_value);
        // What is stuck at a silent backend stands in nobody's way; a jammed one looks silent too.
        let out: f64 = self.board.values().map(|offer| offer.out - offer.stuck).sum();
        let weight = 1.0 - (-(now - self.counted_at).seconds() / (CROWD_ANSWERS * mean)).exp();
        self.out_mean += weight * (out - self.out_mean);
        self.counted_at = now;
        let out = out.min(self.out_mean);
        // Against taking a door's first seconds, when little can have settled yet, for a crowd.
        let seen: f64 = self.norms.iter().map(|norm| norm.seen).sum();
        let rate = self.settle_rate / (1.0 - faded(told.at, self.rated_at)).max(0.05);
        let crowding = out / rate.max(1.0) / mean;
        // One door of many has too few out to tell; there the answer times speak for themselves.
        let crowding = QUEUED + (crowding - QUEUED) * (out / 8.0).min(1.0);
        let times = told.products.iter().zip(&self.norms);
        let times = times.map(|(product, norm)| norm.mean / product.sla_time.seconds());
        self.crowding = if seen >= 8.0 { crowding * times.fold(0.0, f64::max) } else { 0.0 };
    }

    fn pressed(&self, value: f64) -> bool {
        self.crowding > PATIENCE + 0.5 * value / (value + self.mean_value)
    }
}

impl Backend {
    fn new(now: Tenths) -> Self {
        let (heard, since, rated_at, ticked) = (now, now, now, now);
        Backend { size: 1.0, pace: 1.0, heard, since, rated_at, ticked, ..Backend::default() }
    }

    fn warmth(&self, now: Tenths, cold: &ColdFigures) -> f64 {
        let age = self.booted.map_or(f64::MAX, |booted| (now - booted).seconds().max(0.0));
        (cold.from + (1.0 - cold.from) * age / cold.ramp_time.seconds().max(1e-4)).min(1.0)
    }

    fn hear(&mut self, note: ToBackend, now: Tenths, cold: &ColdFigures) {
        match note {
            ToBackend::Listed(entry) => {
                if entry.booted != self.booted && entry.booted.is_some() {
                    let (inbox, out) = (std::mem::take(&mut self.inbox), std::mem::take(&mut self.out));
                    *self = Backend { inbox, out, ..Backend::new(now) };
                }
                self.listed = entry.standing == Standing::Ready;
                self.size = if entry.size > 0.0 { entry.size } else { 1.0 };
                (self.booted, self.near) = (entry.booted, entry.near);
            }
            ToBackend::Unlisted => self.listed = false,
            ToBackend::Sent { txn, no, work } => {
                self.out.insert((txn, no), now);
                self.sent_rate = self.sent_rate * faded(self.rated_at, now) + work / SETTLE_SPAN;
                self.rated_at = now;
                self.cold_credit -= work;
            }
            ToBackend::Ended { txn, no, outcome, relative, kept } => {
                let Some(sent) = self.out.remove(&(txn, no)) else {
                    return;
                };
                match outcome {
                    Outcome::Settled => {
                        self.heard = now;
                        self.kept_until = now + kept;
                        self.strikes *= 0.5;
                        self.pace += 0.1 * (relative.min(20.0) - self.pace);
                    }
                    Outcome::Cancelled | Outcome::Moot => {}
                    // A server that turns all away at once has nothing out and would look the emptiest.
                    _ if sent >= self.since => self.strikes += 1.0,
                    _ => {}
                }
            }
            ToBackend::Tick { patience, warm_rate, rest } => {
                let stuck = self.out.values().filter(|&&sent| now - sent > patience.times(2.0));
                self.stuck = stuck.count() as f64;
                let gap = (now - self.ticked).seconds();
                self.ticked = now;
                let budget = warm_rate * self.size * self.warmth(now, cold);
                self.cold_credit = (self.cold_credit + budget * gap).min(budget * 0.5);
                // Against a whole fleet started anew: nobody to go by, so one at a time shows what it can do.
                if warm_rate == 0.0 && self.out.is_empty() {
                    self.cold_credit = self.cold_credit.max(1e-6);
                }
                if self.aside_until.is_some_and(|until| now >= until) {
                    self.aside_until = None;
                    self.strikes = STRIKES - 1.0;
                    self.since = now;
                }
                if self.aside_until.is_none() && self.ails(now, patience) {
                    self.aside_until = Some(now + rest);
                }
            }
        }
    }

    fn stirs(&self, now: Tenths, cold: &ColdFigures) -> bool {
        let (idle, struck) = (self.out.is_empty(), self.strikes >= STRIKES);
        !idle || struck || self.aside_until.is_some() || self.warmth(now, cold) < 1.0
    }

    fn ails(&self, now: Tenths, patience: Tenths) -> bool {
        // One txn long overdue tells as much as several a little: in a wide fleet a door has only one there.
        let ages = self.out.values().filter(|&&sent| sent >= self.since).map(|&sent| now - sent);
        let overdue = ages.filter(|&age| age > patience).map(|age| age.seconds() / patience.seconds());
        let silent = now - self.heard > patience && overdue.sum::<f64>() >= 2.0;
        silent || self.strikes >= STRIKES
    }

    fn offer(&self, now: Tenths, cold: &ColdFigures) -> Offer {
        let warmth = self.warmth(now, cold);
        let out = self.out.len() as f64;
        Offer {
            near: self.near,
            size: self.size,
            strength: self.size * warmth / self.pace.max(0.1),
            out,
            stuck: self.stuck.min(out),
            cold: warmth < 1.0,
            bad: self.aside_until.is_some(),
            shut: warmth < 1.0 && self.cold_credit <= 0.0,
            sent_rate: self.sent_rate,
            rated_at: self.rated_at,
            kept_until: self.kept_until,
        }
    }
}

impl Till {
    fn hear(&mut self, note: ToTill, now: Tenths, told: &Start) -> Option<ToDesk> {
        match note {
            ToTill::Ask(ask) => {
                let Ask { txn, want, .. } = ask;
                let (figures, width, cost) = (&told.plans[want.plan.0], f64::from(want.width), want.cost);
                self.sweep(now, told);
                let slim = (SLIM.0 + SLIM.1 * self.reach) * told.most_cost;
                let account = self.account(&want, now, told);
                // A width that grows must not leave this door with more than its part of a ceiling.
                account.width = width;
                let binds = figures.rate > 0.0 && figures.beyond_cost >= figures.beyond_worth;
                let passes = account.passes_ceiling(cost, figures);
                // Over many doors a slice's burst is less than a txn: what all doors let in together decides.
                let (slice, asks) = (figures.burst / width, binds && !passes);
                if asks && told.peers && slice < told.most_cost {
                    return self.seek(ask, now, told);
                }
                let counts = asks && told.counter.is_some() && slice < slim;
                if let Some(span) = count_span(figures).filter(|_| counts) {
                    return self.count(ask, span, now, told);
                }
                // Where use beyond the quota earns more than it costs, only the ceiling and a crowd bar it.
                let inside = account.ask(cost, want.again, figures);
                if inside.is_err() && !(binds || passes) && ask.spared {
                    account.take(cost, account.tokens);
                    return Some(ToDesk::Granted(txn));
                }
                let refused = |wait| ToDesk::Refused(txn, wait);
                return Some(inside.map_or_else(refused, |()| ToDesk::Granted(txn)));
            }
            ToTill::Counted(name, counted) => {
                let held = self.held.get_mut(&name).and_then(VecDeque::pop_front)?;
                if self.held.get(&name).is_some_and(VecDeque::is_empty) {
                    self.held.remove(&name);
                }
                let Held { ask, window, asked } = held;
                let span = count_span(&told.plans[ask.want.plan.0])?;
                let line = told.counter.unwrap_or_default().times(COUNT_LINE);
                if counted == Counted::NotAdded || now - asked > line {
                    (self.calling, self.reach) = (0.5 * self.calling, 0.1 * self.reach);
                }
                let allowed = told.plans[ask.want.plan.0].rate * span.seconds();
                self.answered -= COUNT_WEIGHT * self.answered;
                let mut room = self.doubtful(&ask, now, told);
                if let Counted::Total(total) = counted {
                    self.answered += COUNT_WEIGHT;
                    let account = self.account(&ask.want, now, told);
                    (account.window, account.window_total) = (window, total);
                    // Where many go uncounted, a total is that much less than what was asked for.
                    self.fitted(ask.want.plan, total <= allowed * self.answered + 1e-9);
                    room = total <= allowed + 1e-9;
                }
                return Some(self.sought(&ask, room, Some(held.turns(span) - now), now, told));
            }
            ToTill::Heard(_, Word::Ask { want, .. } | Word::Told { want, .. } | Word::Back { want })
                if want.plan.0 >= told.plans.len()
                    || !(1..=told.doors).contains(&want.width)
                    || !(0.0..=told.most_cost).contains(&want.cost) => {}
            ToTill::Heard(from, Word::Ask { no, want }) => {
                let word = Word::Told { no, want, verdict: self.keep(&want, now, told) };
                self.calls.push(Action::Tell { to: from, word });
            }
            ToTill::Heard(from, Word::Told { no, want, verdict }) => {
                let known = self.asked.get(&no).is_some_and(|(keeper, _)| *keeper == from);
                let Some((_, ask)) = known.then(|| self.asked.remove(&no)).flatten() else {
                    // Too late to be used.
                    let back = Action::Tell { to: from, word: Word::Back { want } };
                    self.calls.extend(verdict.is_ok().then_some(back));
                    return None;
                };
                return self.heard(ask, verdict, now, told);
            }
            ToTill::Heard(_, Word::Full { customer }) => drop(self.full.insert(customer, now)),
            ToTill::Heard(_, Word::Back { want }) => self.kept.get_mut(&want.customer)?.spend(-want.cost),
            ToTill::Overdue(no) => {
                return self.asked.remove(&no).and_then(|(_, ask)| self.seek(ask, now, told));
            }
            ToTill::Closed { want, metered, owed } => {
                let account = self.account(&want, now, told);
                account.spend(owed);
                if let Some(reading) = metered {
                    (account.reading, account.read_at) = (reading, Some(now));
                }
            }
        }
        None
    }

    /// By the counter, which is asked once, and not for repeats.
    fn count(&mut self, ask: Ask, span: Tenths, now: Tenths, told: &Start) -> Option<ToDesk> {
        let held = Held { ask, window: now.0.div_euclid(span.0), asked: now };
        let allowed = told.plans[ask.want.plan.0].rate * span.seconds();
        let account = self.account(&ask.want, now, told);
        let full = account.window == held.window && account.window_total + ask.want.cost > allowed;
        let open = !(ask.want.again || full);
        let gap = (now - std::mem::replace(&mut self.paced, now)).seconds();
        self.calling = 1.0 - (1.0 - self.calling) * (-gap / COUNT_BACK.0).exp();
        self.reach = 1.0 - (1.0 - self.reach) * (-gap / COUNT_BACK.1).exp();
        self.usual += COUNT_WEIGHT * (ask.want.cost - self.usual);
        if open && ask.chance < 1.0 - (1.0 - self.calling).powf(ask.want.cost / self.usual) {
            let name = CountName((ask.want.customer.0 << 12) | (held.window as u64 & 0xfff));
            let forget_after = span.times(2.0) + Tenths::SECOND;
            self.calls.push(Action::Count { name, step: ask.want.cost, forget_after });
            self.held.entry(name).or_default().push_back(held);
            return None;
        }
        self.answered -= COUNT_WEIGHT * f64::from(u8::from(open)) * self.answered;
        let room = open && self.doubtful(&ask, now, told);
        Some(self.sought(&ask, room, Some(held.turns(span) - now), now, told))
    }

    /// Asks the next of the customer's keepers, from one drawn by chance on, so that their parts drain alike.
    fn seek(&mut self, mut ask: Ask, now: Tenths, told: &Start) -> Option<ToDesk> {
        let Want { customer, width, .. } = ask.want;
        let keepers = KEEPERS.min(width);
        if ask.turn >= keepers {
            let room = !ask.refused && self.doubtful(&ask, now, told);
            return Some(self.sought(&ask, room, Some(ask.patience), now, told));
        }
        let part = ((ask.chance * f64::from(keepers)) as u32 + ask.turn) % keepers;
        let place = customer.0.wrapping_add(u64::from(part * width / keepers)) % u64::from(width);
        let keeper = DoorId(((u64::from(ask.want.first) + place) % u64::from(told.doors)) as u32);
        ask.turn += 1;
        if keeper == told.me {
            let verdict = self.keep(&ask.want, now, told);
            return self.heard(ask, verdict, now, told);
        }
        let tightest = told.products.iter().map(|product| product.sla_time).min().unwrap_or_default();
        if ask.stays < tightest.times(STAYS.1).max(self.stall.times(STAYS.0)) {
            return self.seek(ask, now, told);
        }
        let no = AskNo(self.asks);
        self.asks = self.asks.wrapping_add(1);
        self.asked.insert(no, (keeper, ask));
        let wake = Action::Wake { after: ask.patience, timer: TimerId(u64::from(no.0)) };
        self.calls.extend([Action::Tell { to: keeper, word: Word::Ask { no, want: ask.want } }, wake]);
        None
    }

    /// A keeper's refusal sends the ask on, and is the answer where none is left that gives another.
    fn heard(&mut self, mut ask: Ask, verdict: Verdict, now: Tenths, told: &Start) -> Option<ToDesk> {
        ask.refused |= verdict.is_err();
        if verdict.is_err() && ask.turn < KEEPERS.min(ask.want.width) {
            return self.seek(ask, now, told);
        }
        if !self.knows_full(ask.want.customer, now) {
            self.fitted(ask.want.plan, verdict.is_ok());
        }
        Some(self.sought(&ask, verdict.is_ok(), verdict.err().flatten(), now, told))
    }

    /// By this door's part of a store that a few doors keep; its ceiling is held by the doors that send.
    fn keep(&mut self, want: &Want, now: Tenths, told: &Start) -> Verdict {
        let quota = Plan { ceiling_rate: 0.0, ..told.plans[want.plan.0].clone() };
        let new = || Account::new(want.plan, f64::from(KEEPERS.min(want.width)), now, told);
        let account = self.kept.entry(want.customer).or_insert_with(new);
        account.refill(now, &quota, told);
        let verdict = account.ask(want.cost, want.again, &quota);
        account.refused += COUNT_WEIGHT * (f64::from(u8::from(verdict.is_err())) - account.refused);
        if account.refused > FULL.0 && (now - account.told_full).seconds() > 0.5 * FULL.1 {
            account.told_full = now;
            let word = Word::Full { customer: want.customer };
            let set = (0..want.width).map(|at| DoorId((want.first + at) % told.doors));
            self.calls.extend(set.map(|to| Action::Tell { to, word }));
        }
        verdict
    }

    /// With nobody's word, nor a current reading: whether the plan's txns fit often enough lately for one in
    /// doubt to be worth more than it costs.
    fn doubtful(&mut self, ask: &Ask, now: Tenths, told: &Start) -> bool {
        let plan = &told.plans[ask.want.plan.0];
        let beyond = (plan.beyond_cost - plan.beyond_worth).max(0.0);
        let full = self.knows_full(ask.want.customer, now) || self.account(&ask.want, now, told).current(now);
        !full && self.fits[ask.want.plan.0] > beyond / (1.0 + beyond)
    }

    fn knows_full(&self, customer: CustomerId, now: Tenths) -> bool {
        self.full.get(&customer).is_some_and(|&told| (now - told).seconds() < FULL.1)
    }

    fn fitted(&mut self, plan: PlanId, fit: bool) {
        self.fits[plan.0] += COUNT_WEIGHT * (f64::from(u8::from(fit)) - self.fits[plan.0]);
    }

    /// What was decided elsewhere is held to the customer's ceiling here.
    fn sought(&mut self, ask: &Ask, room: bool, wait: Option<Tenths>, now: Tenths, told: &Start) -> ToDesk {
        let account = self.account(&ask.want, now, told);
        if !room || account.passes_ceiling(ask.want.cost, &told.plans[ask.want.plan.0]) {
            return ToDesk::Refused(ask.txn, wait);
        }
        // The slice is left in no more debt than it had.
        account.take(ask.want.cost, account.tokens.min(0.0));
        ToDesk::Granted(ask.txn)
    }

    fn account(&mut self, want: &Want, now: Tenths, told: &Start) -> &mut Account {
        let new = || Account::new(want.plan, f64::from(want.width), now, told);
        let account = self.accounts.entry(want.customer).or_insert_with(new);
        account.refill(now, &told.plans[want.plan.0], told);
        account
    }

    /// Idle full buckets are what a customer not yet seen gets anyway.
    fn sweep(&mut self, now: Tenths, told: &Start) {
        if now - self.swept < Tenths::SECOND {
            return;
        }
        self.swept = now;
        self.full.retain(|_, told| (now - *told).seconds() < FULL.1);
        for accounts in [&mut self.accounts, &mut self.kept] {
            accounts.retain(|_, account| {
                let plan = &told.plans[account.plan.0];
                account.refill(now, plan, told);
                // Nearly, as a slice on its way back to even grows past its tokens at each review.
                let full = account.tokens >= 0.95 * plan.burst * account.slice;
                let even = (account.slice * account.width - 1.0).abs() < 0.05;
                !(full && even && account.ceiling >= account.ceiling_most(plan))
            });
        }
    }
}

impl Account {
    fn new(plan: PlanId, width: f64, now: Tenths, told: &Start) -> Account {
        let figures = &told.plans[plan.0];
        let (slice, tokens, filled, reviewed) = (1.0 / width, figures.burst / width, now, now);
        let mut account = Account { plan, width, slice, tokens, filled, reviewed, ..Account::default() };
        // What was spent before this instance began is unknown, so only time since then counts as refilled.
        let since = (now - told.at).seconds();
        // What others spent before is unknown too: of what may be lent, the even part.
        account.unclaimed = figures.burst * (KEPT + (1.0 - KEPT) / width);
        account.ceiling = (since * figures.ceiling_rate / width).min(account.ceiling_most(figures));
        account
    }

    fn ceiling_most(&self, plan: &Plan) -> f64 {
        plan.ceiling_depth / self.width
    }

    fn refill(&mut self, now: Tenths, plan: &Plan, told: &Start) {
        let gap = (now - self.filled).seconds();
        self.filled = now;
        self.tokens = (self.tokens + plan.rate * self.slice * gap).min(plan.burst * self.slice);
        // The meter tells of a surge late: others are taken to have half of it as soon as this door does.
        // With no reading they may take all that is theirs.
        self.asked *= (-gap / SURGE_SPAN).exp();
        let surging = 0.5 * self.asked * (1.0 / self.slice - 1.0);
        let others = surging.max(self.metered * plan.rate - self.let_aligned);
        let others = if self.current(now) { others } else { plan.rate * (1.0 - 1.0 / self.width) };
        self.unclaimed = (self.unclaimed + (plan.rate - others) * gap).min(plan.burst);
        let ceiling = self.ceiling + plan.ceiling_rate / self.width * gap;
        self.ceiling = ceiling.min(self.ceiling_most(plan));
        let period = told.meter_period.max(Tenths::SECOND.times(0.5));
        if now - self.reviewed >= period {
            self.review(now, plan);
        }
    }

    fn current(&self, now: Tenths) -> bool {
        self.read_at.is_some_and(|at| (now - at).seconds() < SLICE_SPAN)
    }

    /// The design's slice: this door's share of what all doors let through.
    fn review(&mut self, now: Tenths, plan: &Plan) {
        let gap = (now - self.reviewed).seconds();
        self.reviewed = now;
        let weight = 1.0 - (-gap / SLICE_SPAN).exp();
        self.let_through += weight * (self.let_since / gap - self.let_through);
        self.let_since = 0.0;
        // Readings come late: what is compared with them is held back as long.
        let lag = 1.0 - (-gap / METER_LAG).exp();
        self.let_aligned += lag * (self.let_through - self.let_aligned);
        let current = self.current(now);
        if current {
            self.metered += weight * (self.reading - self.metered);
        }
        let even = 1.0 / self.width;
        if current && plan.rate > 0.0 {
            // Few txns tell little of a share: the even one counts as so many more of them.
            let prior = PRIOR_TXNS * self.mean_cost / SLICE_SPAN;
            let share = (self.let_aligned + prior * even) / (self.metered * plan.rate + prior);
            self.slice = share.clamp(SLICE_FLOOR * even, (2.0 * self.slice).min(1.0));
        } else {
            self.slice += weight * (even - self.slice);
        }
    }

    fn ask(&mut self, cost: f64, again: bool, plan: &Plan) -> Verdict {
        // The next try may come through any of the customer's doors: some other one has refilled sooner.
        self.asked += cost / SURGE_SPAN;
        // A repeat counts from its first try and often comes past the SLA time, so it must find more left.
        let again = f64::from(u8::from(again));
        let others = (self.width - 1.0).max(1.0);
        let wait = |missing: f64, rate: f64| Some(Tenths::SECOND.times(missing / rate.max(1e-6) / others));
        if self.passes_ceiling(cost, plan) {
            return Err(wait(cost - self.ceiling, plan.ceiling_rate / self.width));
        }
        // A slice below one txn's cost would never admit it, and one little above it seldom: a fair part of a
        // full one is enough, the rest is debt.
        let needed = cost.min(ENOUGH * plan.burst * self.slice) * (1.0 + again);
        // Against declining what fits: a quota mostly unclaimed is lent from, down to what is kept against
        // the cost of being wrong. It leaves the slice in no debt.
        let beyond = plan.beyond_cost - plan.beyond_worth;
        let kept = KEPT * (beyond.max(0.0) + again);
        let lent = self.unclaimed - cost.min(ENOUGH * plan.burst) >= kept * plan.burst;
        if plan.rate > 0.0 && !lent && self.tokens < needed - 1e-9 {
            return Err(wait(needed - self.tokens, plan.rate * self.slice));
        }
        let weight = if self.mean_cost > 0.0 { 0.1 } else { 1.0 };
        self.mean_cost += weight * (cost - self.mean_cost);
        let least = if self.tokens < needed - 1e-9 { self.tokens.min(0.0) } else { f64::MIN };
        self.take(cost, least);
        Ok(())
    }

    /// A first submission's units, from the ceiling too; the slice is left with `least` at least.
    fn take(&mut self, cost: f64, least: f64) {
        self.ceiling -= cost;
        self.spend(cost);
        self.tokens = self.tokens.max(least);
    }

    fn passes_ceiling(&self, cost: f64, plan: &Plan) -> bool {
        plan.ceiling_rate > 0.0 && self.ceiling < cost
    }

    fn spend(&mut self, cost: f64) {
        self.tokens -= cost;
        self.unclaimed -= cost;
        self.let_since += cost;
    }
}

/// A customer's bucket drains in burst over rate: over a window as long, the rate alone bounds the total.
fn count_span(plan: &Plan) -> Option<Tenths> {
    let span = (plan.burst / plan.rate).clamp(COUNT_SPAN.0, COUNT_SPAN.1);
    (plan.rate > 0.0 && plan.burst > 0.0).then(|| Tenths::SECOND.times(span))
}
