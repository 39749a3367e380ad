//! Many gateways in one process that keep customers' stores between them and may tell each other messages: what
//! they let in together is held against the plan's bucket, with all messages delivered, some lost and some
//! late. Beside it, what one gateway does with messages that it cannot use.

use std::collections::{BTreeMap, VecDeque};
use vanewharf_policy::codec;
use vanewharf_policy::decide::Balancer;
use vanewharf_policy::interface::*;

const GATEWAYS: u32 = 40;
const RATE: f64 = 2.0;
const BURST: f64 = 12.0;

fn config(gateway: u32) -> BalancerConfig {
    let product = |sla| Product { sla_time: Ticks(sla), value: 1.0, idempotency: Idempotency::Idempotent };
    BalancerConfig {
        seed: 0x5eed + u64::from(gateway),
        started_at: Ticks(0),
        gateway: GatewayId(gateway),
        gateway_count: GATEWAYS,
        products: vec![product(10_000)],
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

fn listing() -> Event {
    let backend = |id| BackendInfo {
        backend: BackendId(id),
        status: BackendStatus::Ready,
        capacity: 1.0,
        local: true,
        started_at: None,
    };
    Event::BackendList((0..4).map(backend).collect())
}

fn arrival(txn: u64, customer: u64, at: Ticks, stays: Ticks) -> Event {
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
        deadline: at + stays,
    })
}

fn sent_messages(actions: &[Action]) -> Vec<(GatewayId, PeerMessage)> {
    let messages = actions.iter().filter_map(|action| match action {
        Action::SendPeerMessage { to, message } => Some((*to, *message)),
        _ => None,
    });
    messages.collect()
}

fn answers(actions: &[Action]) -> usize {
    let answer = |action: &&Action| matches!(action, Action::SendAttempt { .. } | Action::Reject { .. });
    actions.iter().filter(answer).count()
}

/// The gateways, and the events that each will get, in order of time.
struct Fleet {
    gateways: Vec<Balancer>,
    due: BTreeMap<Ticks, VecDeque<(u32, Event)>>,
    messages: u64,
    /// Each `n`th message is lost.
    loses: u64,
    /// How long a message takes.
    delay_ms: i64,
    admitted: u64,
    rejected: u64,
    slowest: Ticks,
    /// When each request without an answer came.
    open: BTreeMap<TxnId, Ticks>,
}

impl Fleet {
    fn new(loses: u64, delay_ms: i64) -> Fleet {
        let mut gateways: Vec<Balancer> =
            (0..GATEWAYS).map(|gateway| Balancer::new(config(gateway))).collect();
        let (due, open, slowest) = (BTreeMap::new(), BTreeMap::new(), Ticks(0));
        let begun: Vec<_> =
            gateways.iter_mut().map(|gateway| gateway.decide(Ticks(0), vec![listing()])).collect();
        let mut fleet =
            Fleet { gateways, due, messages: 0, loses, delay_ms, admitted: 0, rejected: 0, slowest, open };
        for (gateway, actions) in (0..).zip(begun) {
            fleet.carry_out(gateway, Ticks(0), actions);
        }
        fleet
    }

    fn schedule(&mut self, at: Ticks, gateway: u32, event: Event) {
        self.due.entry(at).or_default().push_back((gateway, event));
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
                    if self.loses == 0 || !self.messages.is_multiple_of(self.loses) {
                        let message = codec::decode(&bytes).expect("what was written is read");
                        let received = Event::PeerMessageReceived { from: GatewayId(gateway), message };
                        self.schedule(now + Ticks(10 * self.delay_ms), to.0, received);
                    }
                }
                _ => {}
            }
        }
    }

    fn record_answer(&mut self, txn: TxnId, now: Ticks) {
        let at = self.open.remove(&txn).expect("answered once");
        self.slowest = self.slowest.max(now - at);
    }

    /// One customer asks `rate` units a second for a minute, through all its gateways in turn.
    fn run(&mut self, rate: i64) {
        for no in 0..60 * rate {
            let now = Ticks(1_000 + no * 10_000 / rate);
            let gateway = (no as u32 * 7) % GATEWAYS;
            self.schedule(now, gateway, arrival(no as u64, 5, now, Ticks(40_000)));
        }
        while let Some((now, events)) = self.due.pop_first() {
            for (gateway, event) in events {
                if let Event::RequestArrived(arrival) = &event {
                    self.open.insert(arrival.txn, now);
                }
                let actions = self.gateways[gateway as usize].decide(now, vec![event]);
                self.carry_out(gateway, now, actions);
            }
        }
        assert!(self.open.is_empty(), "each has its answer");
    }
}

const QUOTA: f64 = BURST + RATE * 60.0;

#[test]
fn together_the_gateways_admit_the_quota_where_messages_arrive() {
    let mut fleet = Fleet::new(0, 20);
    fleet.run(8);
    let admitted = fleet.admitted as f64 / QUOTA;
    assert!((0.9..=1.02).contains(&admitted), "{admitted} of the quota");
    assert!(fleet.slowest <= Ticks(800), "two answers' way there and back: {:?}", fleet.slowest);
    // A refusal is asked of both owners, and its gateways are notified now and then that its quota is exhausted.
    let messages = fleet.messages as f64 / (fleet.admitted + fleet.rejected) as f64;
    assert!(messages <= 6.0, "{messages} messages a txn");
}

#[test]
fn a_customer_inside_its_quota_is_rejected_nothing() {
    let mut fleet = Fleet::new(0, 20);
    fleet.run(1);
    assert!(fleet.rejected <= 1, "{} rejected", fleet.rejected);
}

#[test]
fn with_messages_lost_each_request_still_has_one_answer_and_the_quota_is_passed_by_little() {
    for loses in [13, 5] {
        let mut fleet = Fleet::new(loses, 20);
        fleet.run(8);
        let admitted = fleet.admitted as f64 / QUOTA;
        assert!((0.8..=1.25).contains(&admitted), "{admitted} of the quota, each {loses}th message lost");
        assert!(fleet.slowest <= Ticks(3 * 1_000 + 400), "{:?}", fleet.slowest);
    }
}

#[test]
fn responses_that_come_too_late_are_refunded_and_delay_nobody() {
    let mut fleet = Fleet::new(0, 300);
    fleet.run(8);
    assert!(fleet.slowest <= Ticks(3 * 1_000), "{:?}", fleet.slowest);
    let admitted = fleet.admitted as f64 / QUOTA;
    assert!(admitted <= 1.25, "what nobody vouches for is weighed: {admitted} of the quota");
}

#[test]
fn a_gateway_that_stalled_holds_only_clients_that_stay_longer() {
    let mut gateway = Balancer::new(config(0));
    gateway.decide(Ticks(0), vec![listing()]);
    let held = |gateway: &mut Balancer, txn, now: Ticks, stays| {
        let actions = gateway.decide(now, vec![arrival(txn, 100 + txn, now, stays)]);
        assert_eq!(answers(&actions) + usize::from(!sent_messages(&actions).is_empty()), 1, "{actions:?}");
        answers(&actions) == 0
    };
    // Heartbeats come as they should; most customers have their owners at other gateways.
    let holds = |gateway: &mut Balancer, from: i64, stays| {
        (0..20).filter(|no| held(gateway, (from + no) as u64, Ticks(from * 10 + no), stays)).count()
    };
    assert!(holds(&mut gateway, 100, Ticks(30_000)) >= 15);
    assert_eq!(holds(&mut gateway, 130, Ticks(20_000)), 0, "a client that stays two SLA times is not held");
    // Nothing came for 3 s, not even this gateway's own heartbeat.
    assert_eq!(holds(&mut gateway, 4_000, Ticks(30_000)), 0, "it may stall as long again");
    assert!(holds(&mut gateway, 4_100, Ticks(60_000)) >= 15);
}

#[test]
fn messages_out_of_range_or_from_a_gateway_not_asked_change_nothing() {
    let mut gateway = Balancer::new(config(0));
    gateway.decide(Ticks(0), vec![listing()]);
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
    let odd = [
        QuotaClaim { plan: PlanId(9), ..claim },
        QuotaClaim { subset_size: 0, ..claim },
        QuotaClaim { subset_size: GATEWAYS + 1, ..claim },
        QuotaClaim { cost: -1.0, ..claim },
        QuotaClaim { cost: 7.0, ..claim },
        QuotaClaim { cost: f64::NAN, ..claim },
    ];
    for claim in odd {
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
    // Another gateway's response to a request that is pending at the owner leaves it pending.
    let mut asked = Vec::new();
    let mut customer = 5;
    while asked.is_empty() {
        customer += 1;
        let now = Ticks(20);
        asked = sent_messages(&gateway.decide(now, vec![arrival(customer, customer, now, Ticks(40_000))]));
    }
    let (owner, PeerMessage::QuotaRequest { request, claim }) = asked[0] else { panic!("{asked:?}") };
    let stranger = GatewayId((owner.0 + 1) % GATEWAYS);
    let message = PeerMessage::QuotaResponse { request, claim, decision: Ok(()) };
    let actions = gateway.decide(Ticks(30), vec![Event::PeerMessageReceived { from: stranger, message }]);
    assert_eq!(answers(&actions), 0, "{actions:?}");
    let actions = gateway.decide(Ticks(40), vec![Event::PeerMessageReceived { from: owner, message }]);
    assert_eq!(answers(&actions), 1, "{actions:?}");
    // A response that comes when its request is over is refunded to the owner.
    let late = PeerMessage::QuotaResponse { request, claim, decision: Ok(()) };
    let actions = gateway.decide(Ticks(50), vec![Event::PeerMessageReceived { from: owner, message: late }]);
    assert_eq!(sent_messages(&actions), vec![(owner, PeerMessage::QuotaRefund { claim })]);
}

#[test]
fn what_is_refunded_is_there_for_the_next() {
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
        "an owner's part of the burst is six units, given back in between"
    );
}

#[test]
fn bytes_that_are_no_message_are_not_decoded() {
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
        assert_eq!(codec::decode(&bytes[..end]), None, "cut off after {end}");
    }
    assert_eq!(codec::decode(&[&bytes[..], &[0]].concat()), None, "more than a message");
    assert_eq!(codec::decode(&[&[2], &bytes[1..]].concat()), None, "another form");
    assert_eq!(codec::decode(&[0xff; 4096]), None);
}

/// A gateway to which owners have often said yes, so that what is in doubt is admitted.
struct Trusting {
    gateway: Balancer,
    txn: u64,
    now: Ticks,
}

impl Trusting {
    fn new() -> Trusting {
        let mut gateway = Balancer::new(config(0));
        gateway.decide(Ticks(0), vec![listing()]);
        let mut trusting = Trusting { gateway, txn: 1_000, now: Ticks(10) };
        for customer in 1_000..1_040 {
            let asked = trusting.request(customer);
            trusting.receive_decision(&asked, Ok(()));
        }
        trusting
    }

    /// Time passes in small steps, so that no stall is seen.
    fn advance(&mut self) {
        self.now = self.now + Ticks(10);
    }

    fn request(&mut self, customer: u64) -> Vec<Action> {
        self.advance();
        self.txn += 1;
        self.gateway.decide(self.now, vec![arrival(self.txn, customer, self.now, Ticks(40_000))])
    }

    fn receive_decision(&mut self, asked: &[Action], decision: QuotaDecision) -> Vec<Action> {
        self.advance();
        let Some(&(owner, PeerMessage::QuotaRequest { request, claim })) = sent_messages(asked).first()
        else {
            return Vec::new();
        };
        let message = PeerMessage::QuotaResponse { request, claim, decision };
        self.gateway.decide(self.now, vec![Event::PeerMessageReceived { from: owner, message }])
    }

    /// The owner last asked does not respond in time.
    fn time_out(&mut self, asked: &[Action]) -> Vec<Action> {
        self.advance();
        let timer = asked.iter().find_map(|action| match action {
            Action::SetTimer { timer, .. } => Some(*timer),
            _ => None,
        });
        self.gateway.decide(self.now, vec![Event::TimerFired(timer.expect("a request has a timer"))])
    }
}

fn sends_attempt(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::SendAttempt { .. }))
}

#[test]
fn a_refusal_holds_where_the_other_owner_is_unresponsive() {
    let mut gateway = Trusting::new();
    let asked = gateway.request(5);
    let second = gateway.time_out(&asked);
    assert!(sends_attempt(&gateway.time_out(&second)), "nobody said no: in doubt it is admitted");
    let asked = gateway.request(6);
    let second = gateway.receive_decision(&asked, Err(QuotaRejection { retry_after: None }));
    assert_eq!(sent_messages(&second).len(), 1, "the other owner is asked");
    let last = gateway.time_out(&second);
    assert!(!sends_attempt(&last) && answers(&last) == 1, "{last:?}");
}

#[test]
fn an_exhausted_customer_is_rejected_in_doubt_and_for_a_while_only() {
    let mut gateway = Trusting::new();
    let customer = CustomerId(7);
    let full =
        Event::PeerMessageReceived { from: GatewayId(3), message: PeerMessage::QuotaExhausted { customer } };
    gateway.gateway.decide(gateway.now, vec![full]);
    let asked = gateway.request(7);
    let second = gateway.time_out(&asked);
    assert!(!sends_attempt(&gateway.time_out(&second)), "in doubt");
    let asked = gateway.request(7);
    assert!(sends_attempt(&gateway.receive_decision(&asked, Ok(()))), "an owner's decision stands above it");
    // Heartbeats go on meanwhile.
    for _ in 0..45 {
        gateway.now = gateway.now + Ticks(2_500);
        gateway.gateway.decide(gateway.now, Vec::new());
    }
    let asked = gateway.request(7);
    let second = gateway.time_out(&asked);
    assert!(sends_attempt(&gateway.time_out(&second)), "forgotten after ten seconds");
}

#[test]
fn an_owner_notifies_a_customers_gateways_when_it_asks_far_more_than_its_quota() {
    let mut gateway = Balancer::new(config(0));
    let claim = QuotaClaim {
        customer: CustomerId(5),
        plan: PlanId(0),
        subset_start: 7,
        subset_size: 5,
        cost: 1.0,
        retry: false,
    };
    let mut full = Vec::new();
    for no in 0..40 {
        let message = PeerMessage::QuotaRequest { request: QuotaRequestId(no), claim };
        let actions =
            gateway.decide(Ticks(100_000), vec![Event::PeerMessageReceived { from: GatewayId(8), message }]);
        full.extend(
            sent_messages(&actions)
                .into_iter()
                .filter(|(_, message)| matches!(message, PeerMessage::QuotaExhausted { .. })),
        );
    }
    let gateways: Vec<_> = full.iter().map(|(to, _)| to.0).collect();
    assert_eq!(gateways, [7, 8, 9, 10, 11], "once, each of its gateways");
}
