//! Tests of the shared quota counter, with many gateways in one process and a fake counter. One customer requests three
//! times its quota, evenly at all its gateways, and the admitted total is compared with a token bucket of the plan's burst
//! and rate. Without the counter the gateways together admit far more, because each gateway's share is below one request.
//! Other tests cover one gateway whose calls fail, and its choice of backends.

use std::collections::{BTreeMap, HashMap};
use vanewharf_policy::decide::Balancer;
use vanewharf_policy::interface::*;

const GATEWAYS: u32 = 40;
const RATE: f64 = 1.0;
const BURST: f64 = 16.0;
const RUN_SECONDS: i64 = 120;

/// How the fake counter replies to calls.
#[derive(Clone, Copy, PartialEq)]
enum Counter {
    /// There is no counter.
    Absent,
    /// Replies to every call.
    Responsive,
    /// Replies only to every `n`th call and rejects the others.
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

fn backend_list(backends: u32) -> Event {
    let backend = |id| BackendInfo {
        backend: BackendId(id),
        status: BackendStatus::Ready,
        capacity: 1.0,
        local: true,
        started_at: None,
    };
    Event::BackendList((0..backends).map(backend).collect())
}

/// A request of a customer that uses all gateways; its client waits 2 s.
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

fn with_retry(arrival: Arrival, retry: bool) -> Arrival {
    Arrival { claim: QuotaClaim { retry, ..arrival.claim }, ..arrival }
}

fn through_one_gateway(arrival: Arrival) -> Arrival {
    Arrival { claim: QuotaClaim { subset_size: 1, ..arrival.claim }, ..arrival }
}

/// Reports that the first attempt of a request has succeeded with a latency of 50 ms.
fn attempt_succeeded(txn: TxnId) -> Event {
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
    /// Replies of the counter and ends of attempts that each gateway receives in its next batch.
    pending: Vec<Vec<Event>>,
    /// Units admitted by all gateways.
    admitted: f64,
    /// Requests rejected by all gateways.
    rejected: u64,
    /// The number of final answers by request.
    answers: BTreeMap<TxnId, u32>,
    costs: HashMap<TxnId, f64>,
}

impl Fleet {
    fn new(counter: Counter) -> Fleet {
        let mut gateways: Vec<Balancer> =
            (0..GATEWAYS).map(|gateway| Balancer::new(config(gateway, counter))).collect();
        for gateway in &mut gateways {
            gateway.decide(Ticks(0), vec![backend_list(4)]);
        }
        let pending = vec![Vec::new(); GATEWAYS as usize];
        let (totals, answers) = (HashMap::new(), BTreeMap::new());
        let costs = HashMap::new();
        Fleet { gateways, counter, totals, calls: 0, pending, admitted: 0.0, rejected: 0, answers, costs }
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
                    *self.answers.entry(txn).or_default() += 1;
                    self.admitted += self.costs[&txn];
                    self.pending[gateway].push(attempt_succeeded(txn));
                }
                Action::Reject { txn, .. } | Action::Fail { txn } => {
                    *self.answers.entry(txn).or_default() += 1;
                    self.rejected += 1;
                }
                _ => {}
            }
        }
    }

    /// One customer requests three times its quota in units, in requests of 1 to 8 units, at each gateway in turn.
    fn run(&mut self) {
        let interval = Ticks((10_000.0 * 4.5 / (3.0 * RATE)) as i64);
        let mut now = Ticks(0);
        let mut txn = 0;
        while now < Ticks(RUN_SECONDS * 10_000) {
            txn += 1;
            let gateway = (txn % u64::from(GATEWAYS)) as usize;
            let arrival = arrival(txn, 77, (1 + txn * 5 % 8) as f64, now);
            self.costs.insert(arrival.txn, arrival.claim.cost);
            self.batch(gateway, now, vec![Event::RequestArrived(arrival)]);
            // The counter's reply arrives 2 ms later, in the gateway's next batch.
            self.batch(gateway, now + Ticks(20), Vec::new());
            now = now + interval;
        }
        assert!(self.answers.values().all(|&count| count == 1), "one final answer for each request");
        assert_eq!(self.answers.len() as u64, txn, "no request without an answer");
    }
}

/// The units that a token bucket of the plan admits in a run.
const QUOTA: f64 = BURST + RATE * RUN_SECONDS as f64;

/// The most units that the gateways may admit in a run: a tenth more than the quota, for requests at the borders of the
/// counter's windows. Windows of length burst / rate limit the rate, but do not grant the burst that a full bucket has at
/// the start, which is one burst in a run of many windows.
const MAX_ADMITTED: f64 = QUOTA * 1.1;

#[test]
fn without_the_counter_the_gateways_exceed_the_quota() {
    let mut fleet = Fleet::new(Counter::Absent);
    fleet.run();
    assert_eq!(fleet.calls, 0);
    assert!(fleet.admitted > MAX_ADMITTED, "admitted only {}, bound {MAX_ADMITTED}", fleet.admitted);
}

#[test]
fn with_the_counter_the_gateways_keep_the_quota() {
    let mut fleet = Fleet::new(Counter::Responsive);
    fleet.run();
    assert!(fleet.admitted <= MAX_ADMITTED, "admitted {}, bound {MAX_ADMITTED}", fleet.admitted);
    // Rejecting all requests would keep the quota too, so most of the quota must be admitted.
    assert!(fleet.admitted >= 0.65 * QUOTA, "admitted only {}", fleet.admitted);
    assert!(fleet.rejected > 0);
}

#[test]
fn an_overloaded_counter_leaves_the_gateways_near_the_quota() {
    let mut fleet = Fleet::new(Counter::Overloaded(2));
    fleet.run();
    assert!(fleet.admitted <= 1.2 * MAX_ADMITTED, "admitted {}, bound {MAX_ADMITTED}", fleet.admitted);
    assert!(fleet.admitted >= 0.5 * QUOTA, "admitted only {}", fleet.admitted);
}

/// Returns the number of calls answered in each second, while all gateways together have twice as many checks as the
/// counter can handle calls. Calls wait in one queue. A call that waits longer than the timeout gets no reply, but still
/// takes up capacity. The load of one gateway alone would do no harm.
fn answered_calls_by_second(calls_per_step: usize) -> Vec<u64> {
    let mut fleet = Fleet::new(Counter::Responsive);
    let (mut txn, mut queued, mut answered) = (0, 0, vec![0; 20]);
    for step in 0..200 {
        let now = Ticks(step * 1_000 + 10);
        for turn in 0..GATEWAYS as usize {
            let gateway = (step as usize * 7 + turn) % GATEWAYS as usize;
            txn += 1;
            let arrived = Event::RequestArrived(arrival(txn, txn, 1.0, now));
            let actions = fleet.gateways[gateway].decide(now, vec![arrived]);
            let delay = Ticks((1_000 * queued / calls_per_step) as i64);
            let reply = if delay < Ticks(800) { CounterReply::Total(1.0) } else { CounterReply::Unknown };
            let Some(event) = reply_event(&actions, reply) else {
                continue;
            };
            queued += 1;
            answered[step as usize / 10] += u64::from(reply != CounterReply::Unknown);
            fleet.gateways[gateway].decide(now + delay.min(Ticks(800)), vec![event]);
        }
        queued = queued.saturating_sub(calls_per_step);
    }
    answered
}

#[test]
fn gateways_do_not_return_to_an_overloaded_counter_all_at_once() {
    let answered = answered_calls_by_second(20);
    // If all gateways stopped calling it for a while and then resumed at once, it would answer no call for seconds.
    assert!(answered[1..].iter().all(|&calls| calls >= 80), "of 200 calls per second: {answered:?}");
}

fn call_count(actions: &[Action]) -> usize {
    actions.iter().filter(|action| matches!(action, Action::IncrementCounter { .. })).count()
}

/// Returns the counter's reply to the call among the actions, if there is one.
fn reply_event(actions: &[Action], reply: CounterReply) -> Option<Event> {
    actions.iter().find_map(|action| match action {
        Action::IncrementCounter { key, .. } => Some(Event::CounterReplied { key: *key, reply }),
        _ => None,
    })
}

#[test]
fn an_unresponsive_counter_is_called_less_until_it_answers_again() {
    let mut gateway = Balancer::new(config(0, Counter::Responsive));
    gateway.decide(Ticks(0), vec![backend_list(4)]);
    let mut calls_made = |from: i64, counter: CounterReply, latency: Ticks| {
        let mut calls = 0;
        for txn in 0..20 {
            let now = Ticks(from + txn * 1_000);
            let id = (from + txn) as u64;
            let actions = gateway.decide(now, vec![Event::RequestArrived(arrival(id, id, 1.0, now))]);
            calls += call_count(&actions);
            // Whatever the reply is, the request is answered as soon as it arrives.
            let event = reply_event(&actions, counter);
            let actions = event.map_or(actions, |event| gateway.decide(now + latency, vec![event]));
            let is_answer = |action| matches!(action, Action::SendAttempt { .. } | Action::Reject { .. });
            assert!(actions.into_iter().any(is_answer));
        }
        calls
    };
    let timed_out = calls_made(10, CounterReply::Unknown, Ticks(800));
    assert!((1..=10).contains(&timed_out), "{timed_out} of 20 requests waited for the timeout");
    assert!(calls_made(400_000, CounterReply::Total(1.0), Ticks(20)) >= 18);
}

#[test]
fn retries_and_customers_whose_window_is_full_are_rejected_without_a_call() {
    let mut gateway = Balancer::new(config(0, Counter::Responsive));
    gateway.decide(Ticks(0), vec![backend_list(4)]);
    let request = |txn, retry, now| Event::RequestArrived(with_retry(arrival(txn, 5, 2.0, now), retry));
    let retry = gateway.decide(Ticks(10), vec![request(1, true, Ticks(10))]);
    assert_eq!(call_count(&retry), 0, "{retry:?}");
    assert!(retry.iter().any(|action| matches!(action, Action::Reject { .. })));
    let first = gateway.decide(Ticks(20), vec![request(2, false, Ticks(20))]);
    assert_eq!(call_count(&first), 1);
    let full = reply_event(&first, CounterReply::Total(BURST + 8.0)).expect("a call to the counter");
    gateway.decide(Ticks(40), vec![full]);
    let next = gateway.decide(Ticks(50), vec![request(3, false, Ticks(50))]);
    assert_eq!(call_count(&next), 0, "{next:?}");
    assert!(next.iter().any(|action| matches!(action, Action::Reject { .. })));
    // The total does not count in the next window.
    let later = gateway.decide(Ticks(170_000), vec![request(4, false, Ticks(170_000))]);
    assert_eq!(call_count(&later), 1, "{later:?}");
}

#[test]
fn without_a_total_a_request_is_admitted_if_counted_ones_were_and_there_is_no_current_reading() {
    let mut gateway = Balancer::new(config(0, Counter::Responsive));
    gateway.decide(Ticks(0), vec![backend_list(4)]);
    let mut txn = 0;
    // The requests of ten customers are counted with this total; the call for the eleventh customer is rejected.
    let mut is_admitted_after = |total: f64| {
        let mut last = Vec::new();
        for reply in (0..10).map(|_| CounterReply::Total(total)).chain([CounterReply::NotAdded]) {
            txn += 1;
            let now = Ticks(txn * 100_000);
            let actions =
                gateway.decide(now, vec![Event::RequestArrived(arrival(txn as u64, txn as u64, 1.0, now))]);
            let event = reply_event(&actions, reply).expect("a call, as the last one was 10 s ago");
            last = gateway.decide(now + Ticks(20), vec![event]);
        }
        // The response reports the customer's usage, so that there is a current meter reading.
        let id = TxnId(txn as u64);
        let sent = last.iter().any(|action| matches!(action, Action::SendAttempt { txn, .. } if *txn == id));
        if let (true, Event::AttemptEnded(report)) = (sent, attempt_succeeded(id)) {
            let now = Ticks(txn * 100_000 + 500);
            gateway
                .decide(now, vec![Event::AttemptEnded(AttemptReport { metered_usage: Some(0.2), ..report })]);
            let next = Event::RequestArrived(arrival(1_000_000 + id.0, id.0, 1.0, now));
            let actions = gateway.decide(now + Ticks(10), vec![next]);
            // The counter is called in spite of the reading, which may be old; without a total the request is rejected.
            let event =
                reply_event(&actions, CounterReply::NotAdded).unwrap_or(Event::TimerFired(TimerId(9)));
            let actions = [actions, gateway.decide(now + Ticks(20), vec![event])].concat();
            assert!(actions.iter().any(|action| matches!(action, Action::Reject { .. })), "{actions:?}");
        }
        sent
    };
    assert!(is_admitted_after(1.0), "all counted requests were within the quota");
    assert!(!is_admitted_after(BURST + 8.0), "no counted request was within the quota");
}

#[test]
fn two_pending_calls_of_one_customer_do_not_exceed_its_hard_limit() {
    let mut config = config(0, Counter::Responsive);
    (config.plans[0].hard_limit_rate, config.plans[0].hard_limit_burst) = (4.0, 160.0);
    let mut gateway = Balancer::new(config);
    gateway.decide(Ticks(0), vec![backend_list(4)]);
    // This gateway's part of the hard limit is four units; each request alone is within it.
    let now = Ticks(1_000_000);
    let both = [1, 2].map(|txn| Event::RequestArrived(arrival(txn, 5, 3.0, now)));
    let actions = gateway.decide(now, both.to_vec());
    assert_eq!(call_count(&actions), 2, "{actions:?}");
    let reply = reply_event(&actions, CounterReply::Total(6.0)).expect("a call to the counter");
    let answers = gateway.decide(now + Ticks(20), vec![reply.clone(), reply]);
    let sent = |action: &&Action| matches!(action, Action::SendAttempt { .. });
    assert_eq!(answers.iter().filter(sent).count(), 1, "{answers:?}");
    assert!(answers.iter().any(|action| matches!(action, Action::Reject { .. })), "{answers:?}");
}

/// Returns the fraction of one gateway's requests, five per second for 40 backends, that it sends to a backend which it
/// sent the previous request less than 4 s before.
fn fraction_sent_to_recent_backends(idle_timeout: Ticks) -> f64 {
    let mut gateway = Balancer::new(BalancerConfig { idle_timeout, ..config(0, Counter::Absent) });
    gateway.decide(Ticks(0), vec![backend_list(40)]);
    let (mut last_sent, mut recent): (HashMap<BackendId, Ticks>, u32) = (HashMap::new(), 0);
    for txn in 0..400 {
        let now = Ticks(txn * 2_000 + 10);
        // Each request is of another customer, so that no quota rejects it.
        let arrived = Event::RequestArrived(through_one_gateway(arrival(txn as u64, txn as u64, 1.0, now)));
        let actions = gateway.decide(now, vec![arrived]);
        let [Action::SendAttempt { txn, backend, .. }] = actions[..] else {
            panic!("expected one attempt and nothing else: {actions:?}");
        };
        recent += u32::from(last_sent.insert(backend, now).is_some_and(|at| now - at < Ticks(40_000)));
        gateway.decide(now + Ticks(500), vec![attempt_succeeded(txn)]);
    }
    f64::from(recent) / 400.0
}

#[test]
fn a_backend_with_an_open_connection_is_chosen_more_often_but_not_always() {
    let without = fraction_sent_to_recent_backends(Ticks(0));
    let with = fraction_sent_to_recent_backends(Ticks(40_000));
    assert!(without < 0.5, "without open connections: {without}");
    assert!((0.65..0.98).contains(&with), "with open connections: {with}");
}

#[test]
fn customers_with_larger_shares_are_counted_only_while_the_counter_answers_all_calls() {
    let mut gateway = Balancer::new(config(0, Counter::Responsive));
    gateway.decide(Ticks(0), vec![backend_list(4)]);
    // A share among 8 gateways holds a quarter of the highest request cost; a share among all 40 holds a twentieth.
    let arrived = |txn: u64, subset_size, now| {
        let arrival = arrival(txn, txn, 1.0, now);
        Event::RequestArrived(Arrival { claim: QuotaClaim { subset_size, ..arrival.claim }, ..arrival })
    };
    let mut calls = |txn: u64, subset_size, counter| {
        let now = Ticks(txn as i64 * 1_000);
        let actions = gateway.decide(now, vec![arrived(txn, subset_size, now)]);
        reply_event(&actions, counter).map(|event| gateway.decide(now + Ticks(20), vec![event]));
        call_count(&actions)
    };
    assert_eq!(calls(1, 8, CounterReply::Total(1.0)), 1);
    let rejected: usize = (2..60).map(|txn| calls(txn, GATEWAYS, CounterReply::NotAdded)).sum();
    assert!(rejected >= 4, "{rejected} calls rejected");
    let large_shares: usize = (60..80).map(|txn| calls(txn, 8, CounterReply::Total(1.0))).sum();
    assert_eq!(large_shares, 0, "after rejections the counter is reserved for customers with small shares");
    let small_shares: usize = (300..320).map(|txn| calls(txn, GATEWAYS, CounterReply::Total(1.0))).sum();
    assert!(small_shares >= 10, "{small_shares} calls for 20 requests");
}

#[test]
fn an_overloaded_counter_is_called_mostly_for_expensive_requests() {
    let mut gateway = Balancer::new(config(0, Counter::Responsive));
    gateway.decide(Ticks(0), vec![backend_list(4)]);
    let mut calls = |txn: u64, cost: f64, counter| -> usize {
        let now = Ticks(txn as i64 * 500);
        let actions = gateway.decide(now, vec![Event::RequestArrived(arrival(txn, txn, cost, now))]);
        reply_event(&actions, counter).map(|event| gateway.decide(now + Ticks(20), vec![event]));
        call_count(&actions)
    };
    let mut alternating = |from: u64, counter| {
        let pairs =
            (from..from + 400).map(|txn| (calls(2 * txn, 8.0, counter), calls(2 * txn + 1, 1.0, counter)));
        pairs.fold((0, 0), |(expensive, cheap), pair| (expensive + pair.0, cheap + pair.1))
    };
    assert_eq!(alternating(100, CounterReply::Total(1.0)), (400, 400), "an idle counter is always called");
    let (expensive, cheap) = alternating(500, CounterReply::NotAdded);
    assert!(expensive >= 3 * cheap, "{expensive} calls for eight units, {cheap} for one unit");
    assert!(cheap >= 5, "{cheap} calls for one unit");
}
