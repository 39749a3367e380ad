//! Tests of quota owners. Many gateways in one process own customers' quotas and send each other messages. What they
//! admit together is compared with the plan's token bucket, while messages are delivered, lost or late. Other tests send
//! one gateway messages that it cannot use.

use std::collections::{BTreeMap, VecDeque};
use vanewharf_policy::codec;
use vanewharf_policy::decide::Balancer;
use vanewharf_policy::interface::*;

const GATEWAYS: u32 = 40;
const RATE: f64 = 2.0;
const BURST: f64 = 12.0;

/// The units that the plan admits in a run of 60 s.
const QUOTA: f64 = BURST + RATE * 60.0;

fn config(gateway: u32) -> BalancerConfig {
    let product = Product { sla_time: Ticks(10_000), value: 1.0, idempotency: Idempotency::Idempotent };
    BalancerConfig {
        seed: 0x5eed + u64::from(gateway),
        started_at: Ticks(0),
        gateway: GatewayId(gateway),
        gateway_count: GATEWAYS,
        products: vec![product],
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
            max_retry_after: Ticks(10_000),
            max_attempts: 2,
        },
        warm_up: WarmUp { initial_capacity: 1.0, ramp_time: Ticks(0) },
        idle_timeout: Ticks(0),
        meter_period: Ticks(10_000),
        counter_timeout: None,
        peer_messages: true,
        max_cost: 6.0,
    }
}

fn backend_list() -> Event {
    let backend = |id| BackendInfo {
        backend: BackendId(id),
        status: BackendStatus::Ready,
        capacity: 1.0,
        local: true,
        started_at: None,
    };
    Event::BackendList((0..4).map(backend).collect())
}

fn arrival(txn: u64, customer: u64, at: Ticks, time_left: Ticks) -> Event {
    Event::RequestArrived(Arrival {
        txn: TxnId(txn),
        product: ProductId(0),
        claim: QuotaClaim {
            customer: CustomerId(customer),
            plan: PlanId(0),
            subset_start: 7,
            subset_size: GATEWAYS,
            cost: 1.0,
            retry: false,
        },
        deadline: at + time_left,
    })
}

fn sent_messages(actions: &[Action]) -> Vec<(GatewayId, PeerMessage)> {
    let messages = actions.iter().filter_map(|action| match action {
        Action::SendPeerMessage { to, message } => Some((*to, *message)),
        _ => None,
    });
    messages.collect()
}

/// Returns how many requests the actions send to a backend or reject.
fn answer_count(actions: &[Action]) -> usize {
    let answer = |action: &&Action| matches!(action, Action::SendAttempt { .. } | Action::Reject { .. });
    actions.iter().filter(answer).count()
}

/// The gateways, with the events that they will receive in order of time.
struct Fleet {
    gateways: Vec<Balancer>,
    scheduled: BTreeMap<Ticks, VecDeque<(u32, Event)>>,
    messages: u64,
    /// Every `lost_every`th message is lost; 0 loses none.
    lost_every: u64,
    /// How long a message takes.
    delay_ms: i64,
    admitted: u64,
    rejected: u64,
    longest_wait: Ticks,
    /// The arrival times of the requests without an answer.
    unanswered: BTreeMap<TxnId, Ticks>,
}

impl Fleet {
    fn new(lost_every: u64, delay_ms: i64) -> Fleet {
        let mut gateways: Vec<Balancer> =
            (0..GATEWAYS).map(|gateway| Balancer::new(config(gateway))).collect();
        let (scheduled, unanswered, longest_wait) = (BTreeMap::new(), BTreeMap::new(), Ticks(0));
        let first_actions: Vec<_> =
            gateways.iter_mut().map(|gateway| gateway.decide(Ticks(0), vec![backend_list()])).collect();
        let mut fleet = Fleet {
            gateways,
            scheduled,
            messages: 0,
            lost_every,
            delay_ms,
            admitted: 0,
            rejected: 0,
            longest_wait,
            unanswered,
        };
        for (gateway, actions) in (0..).zip(first_actions) {
            fleet.carry_out(gateway, Ticks(0), actions);
        }
        fleet
    }

    fn schedule(&mut self, at: Ticks, gateway: u32, event: Event) {
        self.scheduled.entry(at).or_default().push_back((gateway, event));
    }

    fn carry_out(&mut self, gateway: u32, now: Ticks, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::SendAttempt { txn, .. } => {
                    self.admitted += 1;
                    self.record_answer(txn, now);
                    let report = AttemptReport {
                        txn,
                        attempt: AttemptNumber(0),
                        outcome: Outcome::Succeeded,
                        latency: Ticks(500),
                        complete: true,
                        metered_usage: None,
                        actual_cost: None,
                    };
                    self.schedule(now + Ticks(500), gateway, Event::AttemptEnded(report));
                }
                Action::Reject { txn, retry_after } => {
                    assert!(retry_after.is_some_and(|span| span <= Ticks(10_000)));
                    self.rejected += 1;
                    self.record_answer(txn, now);
                }
                Action::SetTimer { after, timer } if now < Ticks(620_000) => {
                    self.schedule(now + after, gateway, Event::TimerFired(timer))
                }
                Action::SendPeerMessage { to, message } => {
                    let bytes = codec::encode(&message);
                    assert!(bytes.len() <= codec::MAX_BYTES / 4, "{} bytes", bytes.len());
                    self.messages += 1;
                    if self.lost_every == 0 || !self.messages.is_multiple_of(self.lost_every) {
                        let message = codec::decode(&bytes).expect("an encoded message can be decoded");
                        let received = Event::PeerMessageReceived { from: GatewayId(gateway), message };
                        self.schedule(now + Ticks(10 * self.delay_ms), to.0, received);
                    }
                }
                _ => {}
            }
        }
    }

    fn record_answer(&mut self, txn: TxnId, now: Ticks) {
        let at = self.unanswered.remove(&txn).expect("a request without an answer");
        self.longest_wait = self.longest_wait.max(now - at);
    }

    /// One customer requests `rate` units per second for a minute, at each of its gateways in turn.
    fn run(&mut self, rate: i64) {
        for txn in 0..60 * rate {
            let now = Ticks(1_000 + txn * 10_000 / rate);
            let gateway = (txn as u32 * 7) % GATEWAYS;
            self.schedule(now, gateway, arrival(txn as u64, 5, now, Ticks(40_000)));
        }
        while let Some((now, events)) = self.scheduled.pop_first() {
            for (gateway, event) in events {
                if let Event::RequestArrived(arrival) = &event {
                    self.unanswered.insert(arrival.txn, now);
                }
                let actions = self.gateways[gateway as usize].decide(now, vec![event]);
                self.carry_out(gateway, now, actions);
            }
        }
        assert!(self.unanswered.is_empty(), "every request has an answer");
    }
}

#[test]
fn the_gateways_together_admit_the_quota_if_messages_arrive() {
    let mut fleet = Fleet::new(0, 20);
    fleet.run(8);
    let admitted = fleet.admitted as f64 / QUOTA;
    assert!((0.9..=1.02).contains(&admitted), "{admitted} of the quota");
    assert!(fleet.longest_wait <= Ticks(800), "two round trips to owners: {:?}", fleet.longest_wait);
    // A rejection takes queries to both owners, and owners sometimes notify the gateways of the exhausted quota.
    let messages = fleet.messages as f64 / (fleet.admitted + fleet.rejected) as f64;
    assert!(messages <= 6.0, "{messages} messages per request");
}

#[test]
fn a_customer_within_its_quota_is_not_rejected() {
    let mut fleet = Fleet::new(0, 20);
    fleet.run(1);
    assert!(fleet.rejected <= 1, "{} rejected", fleet.rejected);
}

#[test]
fn lost_messages_lose_no_answers_and_exceed_the_quota_by_little() {
    for lost_every in [13, 5] {
        let mut fleet = Fleet::new(lost_every, 20);
        fleet.run(8);
        let admitted = fleet.admitted as f64 / QUOTA;
        assert!(
            (0.8..=1.25).contains(&admitted),
            "{admitted} of the quota, every {lost_every}th message lost"
        );
        assert!(fleet.longest_wait <= Ticks(3 * 1_000 + 400), "{:?}", fleet.longest_wait);
    }
}

#[test]
fn late_responses_are_refunded_and_delay_no_request() {
    let mut fleet = Fleet::new(0, 300);
    fleet.run(8);
    assert!(fleet.longest_wait <= Ticks(3 * 1_000), "{:?}", fleet.longest_wait);
    let admitted = fleet.admitted as f64 / QUOTA;
    assert!(
        admitted <= 1.25,
        "requests without an answer from an owner are limited too: {admitted} of the quota"
    );
}

#[test]
fn after_a_stall_a_gateway_holds_only_requests_of_clients_that_wait_longer() {
    let mut gateway = Balancer::new(config(0));
    gateway.decide(Ticks(0), vec![backend_list()]);
    let is_held = |gateway: &mut Balancer, txn, now: Ticks, time_left| {
        let actions = gateway.decide(now, vec![arrival(txn, 100 + txn, now, time_left)]);
        let sends_messages = !sent_messages(&actions).is_empty();
        assert_eq!(answer_count(&actions) + usize::from(sends_messages), 1, "{actions:?}");
        answer_count(&actions) == 0
    };
    // Heartbeats are on time, and most customers have their owners at other gateways.
    let held_count = |gateway: &mut Balancer, from: i64, time_left| {
        (0..20)
            .filter(|index| is_held(gateway, (from + index) as u64, Ticks(from * 10 + index), time_left))
            .count()
    };
    assert!(held_count(&mut gateway, 100, Ticks(30_000)) >= 15);
    assert_eq!(held_count(&mut gateway, 130, Ticks(20_000)), 0, "clients that wait only two SLA times");
    // No event arrives for almost 4 s, not even the gateway's own heartbeat.
    assert_eq!(held_count(&mut gateway, 4_000, Ticks(30_000)), 0, "the gateway may stall as long again");
    assert!(held_count(&mut gateway, 4_100, Ticks(60_000)) >= 15);
}

#[test]
fn invalid_or_unexpected_messages_change_nothing() {
    let mut gateway = Balancer::new(config(0));
    gateway.decide(Ticks(0), vec![backend_list()]);
    let claim = QuotaClaim {
        customer: CustomerId(5),
        plan: PlanId(0),
        subset_start: 7,
        subset_size: GATEWAYS,
        cost: 1.0,
        retry: false,
    };
    let received = |message| Event::PeerMessageReceived { from: GatewayId(3), message };
    let request = QuotaRequestId(3);
    let invalid = [
        QuotaClaim { plan: PlanId(9), ..claim },
        QuotaClaim { subset_size: 0, ..claim },
        QuotaClaim { subset_size: GATEWAYS + 1, ..claim },
        QuotaClaim { cost: -1.0, ..claim },
        QuotaClaim { cost: 7.0, ..claim },
        QuotaClaim { cost: f64::NAN, ..claim },
    ];
    for claim in invalid {
        for message in [
            PeerMessage::QuotaRequest { request, claim },
            PeerMessage::QuotaResponse { request, claim, decision: Ok(()) },
            PeerMessage::QuotaRefund { claim },
        ] {
            assert_eq!(
                sent_messages(&gateway.decide(Ticks(10), vec![received(message)])),
                vec![],
                "{message:?}"
            );
        }
    }
    // A response from a gateway other than the queried owner leaves the request pending.
    let mut sent = Vec::new();
    let mut customer = 5;
    while sent.is_empty() {
        customer += 1;
        let now = Ticks(20);
        sent = sent_messages(&gateway.decide(now, vec![arrival(customer, customer, now, Ticks(40_000))]));
    }
    let (owner, PeerMessage::QuotaRequest { request, claim }) = sent[0] else { panic!("{sent:?}") };
    let other = GatewayId((owner.0 + 1) % GATEWAYS);
    let message = PeerMessage::QuotaResponse { request, claim, decision: Ok(()) };
    let actions = gateway.decide(Ticks(30), vec![Event::PeerMessageReceived { from: other, message }]);
    assert_eq!(answer_count(&actions), 0, "{actions:?}");
    let actions = gateway.decide(Ticks(40), vec![Event::PeerMessageReceived { from: owner, message }]);
    assert_eq!(answer_count(&actions), 1, "{actions:?}");
    // A response to a request that has ended is refunded to the owner.
    let late = PeerMessage::QuotaResponse { request, claim, decision: Ok(()) };
    let actions = gateway.decide(Ticks(50), vec![Event::PeerMessageReceived { from: owner, message: late }]);
    assert_eq!(sent_messages(&actions), vec![(owner, PeerMessage::QuotaRefund { claim })]);
}

#[test]
fn refunded_units_can_be_spent_again() {
    let mut gateway = Balancer::new(config(0));
    let claim = QuotaClaim {
        customer: CustomerId(5),
        plan: PlanId(0),
        subset_start: 7,
        subset_size: GATEWAYS,
        cost: 2.0,
        retry: false,
    };
    let received = |message| vec![Event::PeerMessageReceived { from: GatewayId(3), message }];
    let mut admitted = |now: i64| {
        let requests = (0..20).map(|_| {
            gateway
                .decide(Ticks(now), received(PeerMessage::QuotaRequest { request: QuotaRequestId(3), claim }))
        });
        let decisions = requests.flat_map(|actions| sent_messages(&actions));
        let granted = decisions
            .filter(|(_, message)| matches!(message, PeerMessage::QuotaResponse { decision: Ok(()), .. }))
            .count();
        (0..granted)
            .for_each(|_| drop(gateway.decide(Ticks(now), received(PeerMessage::QuotaRefund { claim }))));
        granted
    };
    assert_eq!(
        (admitted(10), admitted(20)),
        (3, 3),
        "an owner's part of the burst is six units, refunded in between"
    );
}

#[test]
fn invalid_bytes_are_not_decoded() {
    let claim = QuotaClaim {
        customer: CustomerId(1 << 32),
        plan: PlanId(1),
        subset_start: 7,
        subset_size: 300,
        cost: 2.5,
        retry: true,
    };
    let message = PeerMessage::QuotaResponse {
        request: QuotaRequestId(70_000),
        claim,
        decision: Err(QuotaRejection { retry_after: Some(Ticks(1_500)) }),
    };
    let bytes = codec::encode(&message);
    assert_eq!(codec::decode(&bytes), Some(message));
    assert_eq!(codec::decode(&[]), None);
    for end in 0..bytes.len() {
        assert_eq!(codec::decode(&bytes[..end]), None, "truncated to {end} bytes");
    }
    assert_eq!(codec::decode(&[&bytes[..], &[0]].concat()), None, "a message with an extra byte");
    assert_eq!(codec::decode(&[&[2], &bytes[1..]].concat()), None, "another format version");
    assert_eq!(codec::decode(&[0xff; 4096]), None);
}

/// A gateway that owners have granted many claims, so that it admits requests that no owner answers.
struct GatewayWithGrants {
    gateway: Balancer,
    txn: u64,
    now: Ticks,
}

impl GatewayWithGrants {
    fn new() -> GatewayWithGrants {
        let mut gateway = Balancer::new(config(0));
        gateway.decide(Ticks(0), vec![backend_list()]);
        let mut granted = GatewayWithGrants { gateway, txn: 1_000, now: Ticks(10) };
        for customer in 1_000..1_040 {
            let query = granted.request(customer);
            granted.receive_decision(&query, Ok(()));
        }
        granted
    }

    /// Advances the time in a step too small to count as a stall.
    fn advance(&mut self) {
        self.now = self.now + Ticks(10);
    }

    fn request(&mut self, customer: u64) -> Vec<Action> {
        self.advance();
        self.txn += 1;
        self.gateway.decide(self.now, vec![arrival(self.txn, customer, self.now, Ticks(40_000))])
    }

    fn receive_decision(&mut self, query: &[Action], decision: QuotaDecision) -> Vec<Action> {
        self.advance();
        let Some(&(owner, PeerMessage::QuotaRequest { request, claim })) = sent_messages(query).first()
        else {
            return Vec::new();
        };
        let message = PeerMessage::QuotaResponse { request, claim, decision };
        self.gateway.decide(self.now, vec![Event::PeerMessageReceived { from: owner, message }])
    }

    /// Lets the query to an owner time out.
    fn time_out(&mut self, query: &[Action]) -> Vec<Action> {
        self.advance();
        let timer = query.iter().find_map(|action| match action {
            Action::SetTimer { timer, .. } => Some(*timer),
            _ => None,
        });
        self.gateway.decide(self.now, vec![Event::TimerFired(timer.expect("a query with a timer"))])
    }
}

fn sends_attempt(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::SendAttempt { .. }))
}

#[test]
fn a_rejection_stands_if_the_other_owner_is_unresponsive() {
    let mut gateway = GatewayWithGrants::new();
    let first = gateway.request(5);
    let second = gateway.time_out(&first);
    assert!(sends_attempt(&gateway.time_out(&second)), "no owner rejected the claim, so it is admitted");
    let first = gateway.request(6);
    let second = gateway.receive_decision(&first, Err(QuotaRejection { retry_after: None }));
    assert_eq!(sent_messages(&second).len(), 1, "the other owner is queried");
    let last = gateway.time_out(&second);
    assert!(!sends_attempt(&last) && answer_count(&last) == 1, "{last:?}");
}

#[test]
fn an_exhausted_customer_is_rejected_for_a_while_if_no_owner_answers() {
    let mut gateway = GatewayWithGrants::new();
    let customer = CustomerId(7);
    let exhausted =
        Event::PeerMessageReceived { from: GatewayId(3), message: PeerMessage::QuotaExhausted { customer } };
    gateway.gateway.decide(gateway.now, vec![exhausted]);
    let first = gateway.request(7);
    let second = gateway.time_out(&first);
    assert!(!sends_attempt(&gateway.time_out(&second)), "no owner answered");
    let first = gateway.request(7);
    assert!(sends_attempt(&gateway.receive_decision(&first, Ok(()))), "an owner's decision takes precedence");
    // Batches without events keep the gateway from seeing a stall.
    for _ in 0..45 {
        gateway.now = gateway.now + Ticks(2_500);
        gateway.gateway.decide(gateway.now, Vec::new());
    }
    let first = gateway.request(7);
    let second = gateway.time_out(&first);
    assert!(sends_attempt(&gateway.time_out(&second)), "the notification expires after ten seconds");
}

#[test]
fn an_owner_notifies_the_gateways_of_a_customer_with_an_exhausted_quota() {
    let mut gateway = Balancer::new(config(0));
    let claim = QuotaClaim {
        customer: CustomerId(5),
        plan: PlanId(0),
        subset_start: 7,
        subset_size: 5,
        cost: 1.0,
        retry: false,
    };
    let mut notifications = Vec::new();
    for request in 0..40 {
        let message = PeerMessage::QuotaRequest { request: QuotaRequestId(request), claim };
        let actions =
            gateway.decide(Ticks(100_000), vec![Event::PeerMessageReceived { from: GatewayId(8), message }]);
        notifications.extend(
            sent_messages(&actions)
                .into_iter()
                .filter(|(_, message)| matches!(message, PeerMessage::QuotaExhausted { .. })),
        );
    }
    let gateways: Vec<_> = notifications.iter().map(|(to, _)| to.0).collect();
    assert_eq!(gateways, [7, 8, 9, 10, 11], "each gateway of the customer is notified once");
}
