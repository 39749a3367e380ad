//! Many gateways in one process around a stand-in for the shared quota counter: one customer asks three times
//! its quota, spread evenly over all its gateways, and what all gateways admit together is compared with what a
//! bucket of the plan's burst and rate admits. Without the counter each gateway's share is below one request, and
//! the gateways together admit far more: the cause the counter is called for. Beside it, what one gateway does as
//! its calls fail, and which backends it chooses.

use std::collections::{BTreeMap, HashMap};
use vanewharf_policy::decide::Balancer;
use vanewharf_policy::interface::*;

const GATEWAYS: u32 = 40;
const RATE: f64 = 1.0;
const BURST: f64 = 16.0;
const SECONDS: i64 = 120;

/// How the stand-in answers each call.
#[derive(Clone, Copy, PartialEq)]
enum Counter {
    Absent,
    Answers,
    /// Rejects every call but each `n`th.
    Overloaded(u64),
}

fn config(gateway: u32, counter: Counter) -> BalancerConfig {
    BalancerConfig {
        seed: 0x5eed + u64::from(gateway),
        started_at: Ticks(0),
        gateway: GatewayId(gateway),
        gateway_count: GATEWAYS,
        products: vec![Product { sla_time: Ticks(10_000), value: 1.0, idempotency: Idempotency::Idempotent }],
        plans: vec![Plan {
            rate: RATE,
            burst: BURST,
            value_factor: 1.0,
            excess_value: 0.0,
            excess_cost: 1.2,
            hard_limit_rate: 0.0,
            hard_limit_burst: 0.0,
        }],
        allowed: AllowedActions {
            cancel: true,
            hedging: false,
            retry_after: true,
            max_retry_after: Ticks(5_000),
            max_attempts: 2,
        },
        warm_up: WarmUp { initial_capacity: 1.0, ramp_time: Ticks(0) },
        idle_timeout: Ticks(0),
        meter_period: Ticks(5_000),
        counter_timeout: (counter != Counter::Absent).then_some(Ticks(800)),
        peer_messages: false,
        max_cost: 8.0,
    }
}

fn listing(backends: u32) -> Event {
    let backend = |id| BackendInfo {
        backend: BackendId(id),
        status: BackendStatus::Ready,
        capacity: 1.0,
        local: true,
        started_at: None,
    };
    Event::BackendList((0..backends).map(backend).collect())
}

/// A first try of `customer` through all its gateways, with 2 s to wait.
fn arrival(txn: u64, customer: u64, cost: f64, at: Ticks) -> Arrival {
    Arrival {
        txn: TxnId(txn),
        product: ProductId(0),
        claim: QuotaClaim {
            customer: CustomerId(customer),
            plan: PlanId(0),
            subset_start: 0,
            subset_size: GATEWAYS,
            cost,
            retry: false,
        },
        deadline: at + Ticks(20_000),
    }
}

fn as_retry(arrival: Arrival, retry: bool) -> Arrival {
    Arrival { claim: QuotaClaim { retry, ..arrival.claim }, ..arrival }
}

fn through_one_gateway(arrival: Arrival) -> Arrival {
    Arrival { claim: QuotaClaim { subset_size: 1, ..arrival.claim }, ..arrival }
}

/// Its first attempt has succeeded, in 50 ms.
fn succeeded_now(txn: TxnId) -> Event {
    Event::AttemptEnded(AttemptReport {
        txn,
        attempt: AttemptNumber(0),
        outcome: Outcome::Succeeded,
        latency: Ticks(500),
        complete: true,
        metered_usage: None,
        actual_cost: None,
    })
}

struct Fleet {
    gateways: Vec<Balancer>,
    counter: Counter,
    totals: HashMap<CounterKey, f64>,
    calls: u64,
    /// The events that each gateway will get: replies of the counter, ends of attempts.
    pending: Vec<Vec<Event>>,
    admitted: f64,
    rejected: u64,
    answered: BTreeMap<TxnId, u32>,
    costs: HashMap<TxnId, f64>,
}

impl Fleet {
    fn new(counter: Counter) -> Fleet {
        let mut gateways: Vec<Balancer> =
            (0..GATEWAYS).map(|gateway| Balancer::new(config(gateway, counter))).collect();
        for gateway in &mut gateways {
            gateway.decide(Ticks(0), vec![listing(4)]);
        }
        let pending = vec![Vec::new(); GATEWAYS as usize];
        let (totals, answered) = (HashMap::new(), BTreeMap::new());
        let costs = HashMap::new();
        Fleet { gateways, counter, totals, calls: 0, pending, admitted: 0.0, rejected: 0, answered, costs }
    }

    fn batch(&mut self, gateway: usize, now: Ticks, mut events: Vec<Event>) {
        events.append(&mut self.pending[gateway]);
        for action in self.gateways[gateway].decide(now, events) {
            match action {
                Action::IncrementCounter { key, amount, expire_after } => {
                    assert!(expire_after <= Ticks(600_000), "a key lives 60 s at most");
                    self.calls += 1;
                    let reply = match self.counter {
                        Counter::Overloaded(n) if !self.calls.is_multiple_of(n) => CounterReply::NotAdded,
                        _ => {
                            let total = self.totals.entry(key).or_default();
                            *total += amount;
                            CounterReply::Total(*total)
                        }
                    };
                    self.pending[gateway].push(Event::CounterReplied { key, reply });
                }
                Action::SendAttempt { txn, .. } => {
                    *self.answered.entry(txn).or_default() += 1;
                    self.admitted += self.costs[&txn];
                    self.pending[gateway].push(succeeded_now(txn));
                }
                Action::Reject { txn, .. } | Action::Fail { txn } => {
                    *self.answered.entry(txn).or_default() += 1;
                    self.rejected += 1;
                }
                _ => {}
            }
        }
    }

    /// Three times the quota in units, txns of 1 to 8 units, going round the gateways.
    fn run(&mut self) {
        let every = Ticks((10_000.0 * 4.5 / (3.0 * RATE)) as i64);
        let mut now = Ticks(0);
        let mut txn = 0;
        while now < Ticks(SECONDS * 10_000) {
            txn += 1;
            let gateway = (txn % u64::from(GATEWAYS)) as usize;
            let arrival = arrival(txn, 77, (1 + txn * 5 % 8) as f64, now);
            self.costs.insert(arrival.txn, arrival.claim.cost);
            self.batch(gateway, now, vec![Event::RequestArrived(arrival)]);
            // The counter's answer comes a little later, in the gateway's next batch.
            self.batch(gateway, now + Ticks(20), Vec::new());
            now = now + every;
        }
        assert!(self.answered.values().all(|&answers| answers == 1), "one final answer for each txn");
        assert_eq!(self.answered.len() as u64, txn, "no txn left without an answer");
    }
}

/// What a bucket of the plan admits over the run, and a tenth more for the seams of the counter's windows.
/// The windows give the rate over each span of burst over rate, but not the burst a full bucket has at the
/// start: over a run of many spans that is one burst.
fn bound() -> f64 {
    (BURST + RATE * SECONDS as f64) * 1.1
}

#[test]
fn without_the_counter_the_gateways_together_admit_far_more_than_the_quota() {
    let mut fleet = Fleet::new(Counter::Absent);
    fleet.run();
    assert_eq!(fleet.calls, 0);
    assert!(fleet.admitted > bound(), "admitted {} of a bound {}", fleet.admitted, bound());
}

#[test]
fn with_the_counter_the_gateways_together_keep_to_the_quota() {
    let mut fleet = Fleet::new(Counter::Answers);
    fleet.run();
    assert!(fleet.admitted <= bound(), "admitted {} of a bound {}", fleet.admitted, bound());
    // Rejecting all would keep to it too: what the quota holds is admitted.
    assert!(fleet.admitted >= 0.65 * (BURST + RATE * SECONDS as f64), "admitted only {}", fleet.admitted);
    assert!(fleet.rejected > 0);
}

#[test]
fn an_overloaded_counter_leaves_the_gateways_near_the_quota() {
    let mut fleet = Fleet::new(Counter::Overloaded(2));
    fleet.run();
    assert!(fleet.admitted <= 1.2 * bound(), "admitted {} of a bound {}", fleet.admitted, bound());
    assert!(fleet.admitted >= 0.5 * (BURST + RATE * SECONDS as f64), "admitted only {}", fleet.admitted);
}

/// The calls answered in each second, where all gateways together ask for twice what the counter takes. Calls
/// wait in one queue, those that wait in it longer than the wait get no reply, and it works on them
/// all the same: what many gateways do at once, each harmless alone.
fn answered_by_second(capacity: usize) -> Vec<u64> {
    let mut fleet = Fleet::new(Counter::Answers);
    let (mut txn, mut queued, mut answered) = (0, 0, vec![0; 20]);
    for step in 0..200 {
        let now = Ticks(step * 1_000 + 10);
        for turn in 0..GATEWAYS as usize {
            let gateway = (step as usize * 7 + turn) % GATEWAYS as usize;
            txn += 1;
            let arrived = Event::RequestArrived(arrival(txn, txn, 1.0, now));
            let actions = fleet.gateways[gateway].decide(now, vec![arrived]);
            let delay = Ticks((1_000 * queued / capacity) as i64);
            let reply = if delay < Ticks(800) { CounterReply::Total(1.0) } else { CounterReply::Unknown };
            let Some(event) = replied(&actions, reply) else {
                continue;
            };
            queued += 1;
            answered[step as usize / 10] += u64::from(reply != CounterReply::Unknown);
            fleet.gateways[gateway].decide(now + delay.min(Ticks(800)), vec![event]);
        }
        queued = queued.saturating_sub(capacity);
    }
    answered
}

#[test]
fn gateways_that_lose_the_counter_together_do_not_return_to_it_together() {
    let answered = answered_by_second(20);
    // Left alone by all for a while and then asked by all at once, it would answer nothing for whole seconds.
    assert!(answered[1..].iter().all(|&calls| calls >= 80), "of 200 a second: {answered:?}");
}

fn calls(actions: &[Action]) -> usize {
    actions.iter().filter(|action| matches!(action, Action::IncrementCounter { .. })).count()
}

fn replied(actions: &[Action], reply: CounterReply) -> Option<Event> {
    actions.iter().find_map(|action| match action {
        Action::IncrementCounter { key, .. } => Some(Event::CounterReplied { key: *key, reply }),
        _ => None,
    })
}

#[test]
fn an_unresponsive_counter_is_called_less_and_less_and_fully_again_once_it_answers() {
    let mut gateway = Balancer::new(config(0, Counter::Answers));
    gateway.decide(Ticks(0), vec![listing(4)]);
    let mut asked = |from: i64, counter: CounterReply, took: Ticks| {
        let mut made = 0;
        for txn in 0..20 {
            let now = Ticks(from + txn * 1_000);
            let id = (from + txn) as u64;
            let actions = gateway.decide(now, vec![Event::RequestArrived(arrival(id, id, 1.0, now))]);
            made += calls(&actions);
            // In doubt or not, the answer follows the counter's at once.
            let decided = replied(&actions, counter).map(|event| gateway.decide(now + took, vec![event]));
            let decided = decided.unwrap_or(actions);
            assert!(
                decided.iter().any(|one| matches!(one, Action::SendAttempt { .. } | Action::Reject { .. }))
            );
        }
        made
    };
    let silent = asked(10, CounterReply::Unknown, Ticks(800));
    assert!((1..=10).contains(&silent), "{silent} of 20 calls cost their txns the wait");
    assert!(asked(400_000, CounterReply::Total(1.0), Ticks(20)) >= 18);
}

#[test]
fn retries_and_customers_whose_window_is_full_are_rejected_without_a_call() {
    let mut gateway = Balancer::new(config(0, Counter::Answers));
    gateway.decide(Ticks(0), vec![listing(4)]);
    let at = |txn, again, now| Event::RequestArrived(as_retry(arrival(txn, 5, 2.0, now), again));
    let repeat = gateway.decide(Ticks(10), vec![at(1, true, Ticks(10))]);
    assert_eq!(calls(&repeat), 0, "{repeat:?}");
    assert!(repeat.iter().any(|action| matches!(action, Action::Reject { .. })));
    let first = gateway.decide(Ticks(20), vec![at(2, false, Ticks(20))]);
    assert_eq!(calls(&first), 1);
    let full = replied(&first, CounterReply::Total(BURST + 8.0)).expect("it called");
    gateway.decide(Ticks(40), vec![full]);
    let next = gateway.decide(Ticks(50), vec![at(3, false, Ticks(50))]);
    assert_eq!(calls(&next), 0, "{next:?}");
    assert!(next.iter().any(|action| matches!(action, Action::Reject { .. })));
    // The next window tells anew.
    let later = gateway.decide(Ticks(170_000), vec![at(4, false, Ticks(170_000))]);
    assert_eq!(calls(&later), 1, "{later:?}");
}

#[test]
fn without_a_reply_a_first_try_is_admitted_where_counted_ones_fit_and_never_beside_a_reading() {
    let mut gateway = Balancer::new(config(0, Counter::Answers));
    gateway.decide(Ticks(0), vec![listing(4)]);
    let mut txn = 0;
    // Ten customers' tries are counted with this total; the next one's call is turned away.
    let mut in_doubt = |total: f64| {
        let mut last = Vec::new();
        for reply in (0..10).map(|_| CounterReply::Total(total)).chain([CounterReply::NotAdded]) {
            txn += 1;
            let now = Ticks(txn * 100_000);
            let asked =
                gateway.decide(now, vec![Event::RequestArrived(arrival(txn as u64, txn as u64, 1.0, now))]);
            let event = replied(&asked, reply).expect("rested, so it calls");
            last = gateway.decide(now + Ticks(20), vec![event]);
        }
        // Its answer tells of the customer's use: from now on a reading is current.
        let id = TxnId(txn as u64);
        let sent = last.iter().any(|action| matches!(action, Action::SendAttempt { txn, .. } if *txn == id));
        if let (true, Event::AttemptEnded(ending)) = (sent, succeeded_now(id)) {
            let now = Ticks(txn * 100_000 + 500);
            gateway
                .decide(now, vec![Event::AttemptEnded(AttemptReport { metered_usage: Some(0.2), ..ending })]);
            let again = Event::RequestArrived(arrival(1_000_000 + id.0, id.0, 1.0, now));
            let asked = gateway.decide(now + Ticks(10), vec![again]);
            // The reading may be old: the counter is asked all the same; what it leaves in doubt is rejected.
            let event = replied(&asked, CounterReply::NotAdded).unwrap_or(Event::TimerFired(TimerId(9)));
            let actions = [asked, gateway.decide(now + Ticks(20), vec![event])].concat();
            assert!(actions.iter().any(|action| matches!(action, Action::Reject { .. })), "{actions:?}");
        }
        sent
    };
    assert!(in_doubt(1.0), "all counted ones fit");
    assert!(!in_doubt(BURST + 8.0), "none of the counted ones fit");
}

#[test]
fn two_pending_calls_of_one_customer_do_not_pass_its_hard_limit() {
    let mut settings = config(0, Counter::Answers);
    (settings.plans[0].hard_limit_rate, settings.plans[0].hard_limit_burst) = (4.0, 160.0);
    let mut gateway = Balancer::new(settings);
    gateway.decide(Ticks(0), vec![listing(4)]);
    // This gateway's part of the ceiling is four units; each txn alone is within it.
    let now = Ticks(1_000_000);
    let both = [1, 2].map(|txn| Event::RequestArrived(arrival(txn, 5, 3.0, now)));
    let asked = gateway.decide(now, both.to_vec());
    assert_eq!(calls(&asked), 2, "{asked:?}");
    let reply = replied(&asked, CounterReply::Total(6.0)).expect("it called");
    let answers = gateway.decide(now + Ticks(20), vec![reply.clone(), reply]);
    let sent = |action: &&Action| matches!(action, Action::SendAttempt { .. });
    assert_eq!(answers.iter().filter(sent).count(), 1, "{answers:?}");
    assert!(answers.iter().any(|action| matches!(action, Action::Reject { .. })), "{answers:?}");
}

/// The part of one gateway's requests, five a second over 40 backends, that go where an answer came less than 4 s
/// ago.
fn part_sent_to_connected(idle_timeout: Ticks) -> f64 {
    let mut gateway = Balancer::new(BalancerConfig { idle_timeout, ..config(0, Counter::Absent) });
    gateway.decide(Ticks(0), vec![listing(40)]);
    let (mut succeeded, mut connected): (HashMap<BackendId, Ticks>, u32) = (HashMap::new(), 0);
    for txn in 0..400 {
        let now = Ticks(txn * 2_000 + 10);
        // A customer each, so that no quota is in the way.
        let arrived = Event::RequestArrived(through_one_gateway(arrival(txn as u64, txn as u64, 1.0, now)));
        let actions = gateway.decide(now, vec![arrived]);
        let [Action::SendAttempt { txn, backend, .. }] = actions[..] else {
            panic!("sent at once, and nothing else: {actions:?}");
        };
        connected += u32::from(succeeded.insert(backend, now).is_some_and(|at| now - at < Ticks(40_000)));
        gateway.decide(now + Ticks(500), vec![succeeded_now(txn)]);
    }
    f64::from(connected) / 400.0
}

#[test]
fn a_backend_with_an_open_connection_is_chosen_more_often_and_not_alone() {
    let (without, with) = (part_sent_to_connected(Ticks(0)), part_sent_to_connected(Ticks(40_000)));
    assert!(without < 0.5, "at random {without}");
    assert!((0.65..0.98).contains(&with), "connected {with}");
}

#[test]
fn customers_of_larger_shares_are_counted_only_while_the_counter_answers_all() {
    let mut gateway = Balancer::new(config(0, Counter::Answers));
    gateway.decide(Ticks(0), vec![listing(4)]);
    // Through eight gateways a share holds a quarter of the largest request; through all forty a twentieth.
    let arrived = |txn: u64, width, now| {
        let arrival = arrival(txn, txn, 1.0, now);
        Event::RequestArrived(Arrival {
            claim: QuotaClaim { subset_size: width, ..arrival.claim },
            ..arrival
        })
    };
    let mut called = |txn: u64, width, counter| {
        let now = Ticks(txn as i64 * 1_000);
        let asked = gateway.decide(now, vec![arrived(txn, width, now)]);
        let made = calls(&asked);
        replied(&asked, counter).map(|event| gateway.decide(now + Ticks(20), vec![event]));
        made
    };
    assert_eq!(called(1, 8, CounterReply::Total(1.0)), 1);
    let failed: usize = (2..60).map(|txn| called(txn, GATEWAYS, CounterReply::NotAdded)).sum();
    assert!(failed >= 4, "{failed} calls failed");
    let wide: usize = (60..80).map(|txn| called(txn, 8, CounterReply::Total(1.0))).sum();
    assert_eq!(wide, 0, "rejected again and again, the counter is left to those whom no share serves");
    let slim: usize = (300..320).map(|txn| called(txn, GATEWAYS, CounterReply::Total(1.0))).sum();
    assert!(slim >= 10, "{slim} of 20 called");
}

#[test]
fn an_overloaded_counter_is_called_first_for_what_costs_most_and_an_idle_one_for_all() {
    let mut gateway = Balancer::new(config(0, Counter::Answers));
    gateway.decide(Ticks(0), vec![listing(4)]);
    let mut called = |txn: u64, cost: f64, counter| -> usize {
        let now = Ticks(txn as i64 * 500);
        let asked = gateway.decide(now, vec![Event::RequestArrived(arrival(txn, txn, cost, now))]);
        replied(&asked, counter).map(|event| gateway.decide(now + Ticks(20), vec![event]));
        calls(&asked)
    };
    let mut alternating = |from: u64, counter| {
        let both =
            (from..from + 400).map(|txn| (called(2 * txn, 8.0, counter), called(2 * txn + 1, 1.0, counter)));
        both.fold((0, 0), |(dear, cheap), one| (dear + one.0, cheap + one.1))
    };
    assert_eq!(alternating(100, CounterReply::Total(1.0)), (400, 400), "a free one is asked for all");
    let (dear, cheap) = alternating(500, CounterReply::NotAdded);
    assert!(dear >= 3 * cheap, "{dear} calls for eight units, {cheap} for one");
    assert!(cheap >= 5, "the cheap are not forgotten: {cheap}");
}
