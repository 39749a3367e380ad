//! Many doors in one process that keep customers' stores between them and may tell each other words: what
//! they let in together is held against the plan's bucket, with all words delivered, some lost and some
//! late. Beside it, what one door does with words that it cannot use.

use std::collections::{BTreeMap, VecDeque};
use vanewharf_policy::codec;
use vanewharf_policy::decide::Balancer;
use vanewharf_policy::interface::*;

const DOORS: u32 = 40;
const RATE: f64 = 2.0;
const BURST: f64 = 12.0;

fn start(door: u32) -> BalancerConfig {
    let product = |sla| Product { sla_time: Ticks(sla), value: 1.0, idempotency: Idempotency::Idempotent };
    BalancerConfig {
        seed: 0x5eed + u64::from(door),
        started_at: Ticks(0),
        gateway: GatewayId(door),
        gateway_count: DOORS,
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
            subset_size: DOORS,
            cost: 1.0,
            retry: false,
        },
        deadline: at + stays,
    })
}

fn told(actions: &[Action]) -> Vec<(GatewayId, PeerMessage)> {
    let words = actions.iter().filter_map(|action| match action {
        Action::SendPeerMessage { to, message: word } => Some((*to, *word)),
        _ => None,
    });
    words.collect()
}

fn answers(actions: &[Action]) -> usize {
    let answer = |action: &&Action| matches!(action, Action::SendAttempt { .. } | Action::Reject { .. });
    actions.iter().filter(answer).count()
}

/// The doors, and what each has still to hear, in the order of its time.
struct Fleet {
    doors: Vec<Balancer>,
    due: BTreeMap<Ticks, VecDeque<(u32, Event)>>,
    words: u64,
    /// Each `n`th word is lost.
    loses: u64,
    in_ms: i64,
    let_in: u64,
    declined: u64,
    slowest: Ticks,
    asked: BTreeMap<TxnId, Ticks>,
}

impl Fleet {
    fn new(loses: u64, in_ms: i64) -> Fleet {
        let mut doors: Vec<Balancer> = (0..DOORS).map(|door| Balancer::new(start(door))).collect();
        let (due, asked, slowest) = (BTreeMap::new(), BTreeMap::new(), Ticks(0));
        let begun: Vec<_> = doors.iter_mut().map(|door| door.decide(Ticks(0), vec![listing()])).collect();
        let mut fleet = Fleet { doors, due, words: 0, loses, in_ms, let_in: 0, declined: 0, slowest, asked };
        for (door, actions) in (0..).zip(begun) {
            fleet.carry_out(door, Ticks(0), actions);
        }
        fleet
    }

    fn post(&mut self, at: Ticks, door: u32, event: Event) {
        self.due.entry(at).or_default().push_back((door, event));
    }

    fn carry_out(&mut self, door: u32, now: Ticks, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::SendAttempt { txn, .. } => {
                    self.let_in += 1;
                    self.answered(txn, now);
                    let ending = AttemptReport {
                        txn,
                        attempt: AttemptNumber(0),
                        outcome: Outcome::Succeeded,
                        latency: Ticks(500),
                        complete: true,
                        metered_usage: None,
                        actual_cost: None,
                    };
                    self.post(now + Ticks(500), door, Event::AttemptEnded(ending));
                }
                Action::Reject { txn, retry_after } => {
                    assert!(retry_after.is_some_and(|span| span <= Ticks(10_000)));
                    self.declined += 1;
                    self.answered(txn, now);
                }
                Action::SetTimer { after, timer } if now < Ticks(620_000) => {
                    self.post(now + after, door, Event::TimerFired(timer))
                }
                Action::SendPeerMessage { to, message: word } => {
                    let letter = codec::encode(&word);
                    assert!(letter.len() <= codec::MAX_BYTES / 4, "{} bytes", letter.len());
                    self.words += 1;
                    if self.loses == 0 || !self.words.is_multiple_of(self.loses) {
                        let word = codec::decode(&letter).expect("what was written is read");
                        let heard = Event::PeerMessageReceived { from: GatewayId(door), message: word };
                        self.post(now + Ticks(10 * self.in_ms), to.0, heard);
                    }
                }
                _ => {}
            }
        }
    }

    fn answered(&mut self, txn: TxnId, now: Ticks) {
        let at = self.asked.remove(&txn).expect("answered once");
        self.slowest = self.slowest.max(now - at);
    }

    /// One customer asks `rate` units a second for a minute, through all its doors in turn.
    fn play(&mut self, rate: i64) {
        for no in 0..60 * rate {
            let now = Ticks(1_000 + no * 10_000 / rate);
            let door = (no as u32 * 7) % DOORS;
            self.post(now, door, arrival(no as u64, 5, now, Ticks(40_000)));
        }
        while let Some((now, events)) = self.due.pop_first() {
            for (door, event) in events {
                if let Event::RequestArrived(arrival) = &event {
                    self.asked.insert(arrival.txn, now);
                }
                let actions = self.doors[door as usize].decide(now, vec![event]);
                self.carry_out(door, now, actions);
            }
        }
        assert!(self.asked.is_empty(), "each has its answer");
    }
}

const QUOTA: f64 = BURST + RATE * 60.0;

#[test]
fn together_the_doors_let_in_the_quota_where_words_arrive() {
    let mut fleet = Fleet::new(0, 20);
    fleet.play(8);
    let let_in = fleet.let_in as f64 / QUOTA;
    assert!((0.9..=1.02).contains(&let_in), "{let_in} of the quota");
    assert!(fleet.slowest <= Ticks(800), "two answers' way there and back: {:?}", fleet.slowest);
    // A refusal is asked of both keepers, and its doors are told now and then that the customer is full.
    let words = fleet.words as f64 / (fleet.let_in + fleet.declined) as f64;
    assert!(words <= 6.0, "{words} words a txn");
}

#[test]
fn a_customer_inside_its_quota_is_declined_nothing() {
    let mut fleet = Fleet::new(0, 20);
    fleet.play(1);
    assert!(fleet.declined <= 1, "{} declined", fleet.declined);
}

#[test]
fn with_words_lost_each_txn_still_has_one_answer_and_the_quota_is_passed_by_little() {
    for loses in [13, 5] {
        let mut fleet = Fleet::new(loses, 20);
        fleet.play(8);
        let let_in = fleet.let_in as f64 / QUOTA;
        assert!((0.8..=1.25).contains(&let_in), "{let_in} of the quota, each {loses}th word lost");
        assert!(fleet.slowest <= Ticks(3 * 1_000 + 400), "{:?}", fleet.slowest);
    }
}

#[test]
fn words_that_come_too_late_are_given_back_and_hold_nobody() {
    let mut fleet = Fleet::new(0, 300);
    fleet.play(8);
    assert!(fleet.slowest <= Ticks(3 * 1_000), "{:?}", fleet.slowest);
    let let_in = fleet.let_in as f64 / QUOTA;
    assert!(let_in <= 1.25, "what nobody vouches for is weighed: {let_in} of the quota");
}

#[test]
fn a_door_that_stood_still_holds_only_clients_that_stay_longer() {
    let mut door = Balancer::new(start(0));
    door.decide(Ticks(0), vec![listing()]);
    let held = |door: &mut Balancer, txn, now: Ticks, stays| {
        let actions = door.decide(now, vec![arrival(txn, 100 + txn, now, stays)]);
        assert_eq!(answers(&actions) + usize::from(!told(&actions).is_empty()), 1, "{actions:?}");
        answers(&actions) == 0
    };
    // Beats come as they should; most customers have their keepers at other doors.
    let holds = |door: &mut Balancer, from: i64, stays| {
        (0..20).filter(|no| held(door, (from + no) as u64, Ticks(from * 10 + no), stays)).count()
    };
    assert!(holds(&mut door, 100, Ticks(30_000)) >= 15);
    assert_eq!(holds(&mut door, 130, Ticks(20_000)), 0, "a client that stays two SLA times is not held");
    // Nothing was heard for 3 s, not even this door's own beat.
    assert_eq!(holds(&mut door, 4_000, Ticks(30_000)), 0, "it may stand still as long again");
    assert!(holds(&mut door, 4_100, Ticks(60_000)) >= 15);
}

#[test]
fn words_out_of_range_or_from_a_door_not_asked_change_nothing() {
    let mut door = Balancer::new(start(0));
    door.decide(Ticks(0), vec![listing()]);
    let want = QuotaClaim {
        customer: CustomerId(5),
        plan: PlanId(0),
        subset_start: 7,
        subset_size: DOORS,
        cost: 1.0,
        retry: false,
    };
    let heard = |word| Event::PeerMessageReceived { from: GatewayId(3), message: word };
    let no = QuotaRequestId(3);
    let odd = [
        QuotaClaim { plan: PlanId(9), ..want },
        QuotaClaim { subset_size: 0, ..want },
        QuotaClaim { subset_size: DOORS + 1, ..want },
        QuotaClaim { cost: -1.0, ..want },
        QuotaClaim { cost: 7.0, ..want },
        QuotaClaim { cost: f64::NAN, ..want },
    ];
    for want in odd {
        for word in [
            PeerMessage::QuotaRequest { request: no, claim: want },
            PeerMessage::QuotaResponse { request: no, claim: want, decision: Ok(()) },
            PeerMessage::QuotaRefund { claim: want },
        ] {
            assert_eq!(told(&door.decide(Ticks(10), vec![heard(word)])), vec![], "{word:?}");
        }
    }
    // Another door's verdict for an ask that is out to the keeper leaves it out.
    let mut asked = Vec::new();
    let mut customer = 5;
    while asked.is_empty() {
        customer += 1;
        let now = Ticks(20);
        asked = told(&door.decide(now, vec![arrival(customer, customer, now, Ticks(40_000))]));
    }
    let (keeper, PeerMessage::QuotaRequest { request: no, claim: want }) = asked[0] else {
        panic!("{asked:?}")
    };
    let stranger = GatewayId((keeper.0 + 1) % DOORS);
    let word = PeerMessage::QuotaResponse { request: no, claim: want, decision: Ok(()) };
    let actions = door.decide(Ticks(30), vec![Event::PeerMessageReceived { from: stranger, message: word }]);
    assert_eq!(answers(&actions), 0, "{actions:?}");
    let actions = door.decide(Ticks(40), vec![Event::PeerMessageReceived { from: keeper, message: word }]);
    assert_eq!(answers(&actions), 1, "{actions:?}");
    // A verdict that comes when its ask is over goes back to the keeper.
    let late = PeerMessage::QuotaResponse { request: no, claim: want, decision: Ok(()) };
    let actions = door.decide(Ticks(50), vec![Event::PeerMessageReceived { from: keeper, message: late }]);
    assert_eq!(told(&actions), vec![(keeper, PeerMessage::QuotaRefund { claim: want })]);
}

#[test]
fn what_is_given_back_is_there_for_the_next() {
    let mut door = Balancer::new(start(0));
    let want = QuotaClaim {
        customer: CustomerId(5),
        plan: PlanId(0),
        subset_start: 7,
        subset_size: DOORS,
        cost: 2.0,
        retry: false,
    };
    let heard = |word| vec![Event::PeerMessageReceived { from: GatewayId(3), message: word }];
    let mut let_in = |now: i64| {
        let asks = (0..20).map(|_| {
            door.decide(
                Ticks(now),
                heard(PeerMessage::QuotaRequest { request: QuotaRequestId(3), claim: want }),
            )
        });
        let verdicts = asks.flat_map(|actions| told(&actions));
        let got = verdicts
            .filter(|(_, word)| matches!(word, PeerMessage::QuotaResponse { decision: Ok(()), .. }))
            .count();
        (0..got).for_each(|_| drop(door.decide(Ticks(now), heard(PeerMessage::QuotaRefund { claim: want }))));
        got
    };
    assert_eq!(
        (let_in(10), let_in(20)),
        (3, 3),
        "a keeper's part of the burst is six units, given back in between"
    );
}

#[test]
fn letters_that_are_none_are_not_read() {
    let want = QuotaClaim {
        customer: CustomerId(1 << 32),
        plan: PlanId(1),
        subset_start: 7,
        subset_size: 300,
        cost: 2.5,
        retry: true,
    };
    let word = PeerMessage::QuotaResponse {
        request: QuotaRequestId(70_000),
        claim: want,
        decision: Err(QuotaRejection { retry_after: Some(Ticks(1_500)) }),
    };
    let letter = codec::encode(&word);
    assert_eq!(codec::decode(&letter), Some(word));
    assert_eq!(codec::decode(&[]), None);
    for end in 0..letter.len() {
        assert_eq!(codec::decode(&letter[..end]), None, "cut off after {end}");
    }
    assert_eq!(codec::decode(&[&letter[..], &[0]].concat()), None, "more than a word");
    assert_eq!(codec::decode(&[&[2], &letter[1..]].concat()), None, "another form");
    assert_eq!(codec::decode(&[0xff; 4096]), None);
}

/// A door to which keepers have said yes often, so that what is in doubt goes in.
struct Trusting {
    door: Balancer,
    txn: u64,
    now: Ticks,
}

impl Trusting {
    fn new() -> Trusting {
        let mut door = Balancer::new(start(0));
        door.decide(Ticks(0), vec![listing()]);
        let mut trusting = Trusting { door, txn: 1_000, now: Ticks(10) };
        for customer in 1_000..1_040 {
            let asked = trusting.asks(customer);
            trusting.hears(&asked, Ok(()));
        }
        trusting
    }

    /// Time passes as the beat has it, so that no stall is seen.
    fn passes(&mut self) {
        self.now = self.now + Ticks(10);
    }

    fn asks(&mut self, customer: u64) -> Vec<Action> {
        self.passes();
        self.txn += 1;
        self.door.decide(self.now, vec![arrival(self.txn, customer, self.now, Ticks(40_000))])
    }

    fn hears(&mut self, asked: &[Action], verdict: QuotaDecision) -> Vec<Action> {
        self.passes();
        let Some(&(keeper, PeerMessage::QuotaRequest { request: no, claim: want })) = told(asked).first()
        else {
            return Vec::new();
        };
        let word = PeerMessage::QuotaResponse { request: no, claim: want, decision: verdict };
        self.door.decide(self.now, vec![Event::PeerMessageReceived { from: keeper, message: word }])
    }

    /// The keeper last asked says nothing in time.
    fn waits(&mut self, asked: &[Action]) -> Vec<Action> {
        self.passes();
        let timer = asked.iter().find_map(|action| match action {
            Action::SetTimer { timer, .. } => Some(*timer),
            _ => None,
        });
        self.door.decide(self.now, vec![Event::TimerFired(timer.expect("an ask has a timer"))])
    }
}

fn submits(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::SendAttempt { .. }))
}

#[test]
fn a_refusal_holds_where_the_other_keeper_is_silent() {
    let mut door = Trusting::new();
    let asked = door.asks(5);
    let again = door.waits(&asked);
    assert!(submits(&door.waits(&again)), "nobody said no: in doubt it goes in");
    let asked = door.asks(6);
    let again = door.hears(&asked, Err(QuotaRejection { retry_after: None }));
    assert_eq!(told(&again).len(), 1, "the other keeper is asked");
    let last = door.waits(&again);
    assert!(!submits(&last) && answers(&last) == 1, "{last:?}");
}

#[test]
fn a_customer_told_to_be_full_is_declined_in_doubt_and_for_a_while_only() {
    let mut door = Trusting::new();
    let customer = CustomerId(7);
    let full =
        Event::PeerMessageReceived { from: GatewayId(3), message: PeerMessage::QuotaExhausted { customer } };
    door.door.decide(door.now, vec![full]);
    let asked = door.asks(7);
    let again = door.waits(&asked);
    assert!(!submits(&door.waits(&again)), "in doubt");
    let asked = door.asks(7);
    assert!(submits(&door.hears(&asked, Ok(()))), "a keeper's word stands above it");
    // Beats go on meanwhile.
    for _ in 0..45 {
        door.now = door.now + Ticks(2_500);
        door.door.decide(door.now, Vec::new());
    }
    let asked = door.asks(7);
    let again = door.waits(&asked);
    assert!(submits(&door.waits(&again)), "forgotten after ten seconds");
}

#[test]
fn a_keeper_tells_a_customers_doors_when_it_asks_far_beyond_its_quota() {
    let mut door = Balancer::new(start(0));
    let want = QuotaClaim {
        customer: CustomerId(5),
        plan: PlanId(0),
        subset_start: 7,
        subset_size: 5,
        cost: 1.0,
        retry: false,
    };
    let mut full = Vec::new();
    for no in 0..40 {
        let word = PeerMessage::QuotaRequest { request: QuotaRequestId(no), claim: want };
        let actions = door
            .decide(Ticks(100_000), vec![Event::PeerMessageReceived { from: GatewayId(8), message: word }]);
        full.extend(
            told(&actions).into_iter().filter(|(_, word)| matches!(word, PeerMessage::QuotaExhausted { .. })),
        );
    }
    let doors: Vec<_> = full.iter().map(|(to, _)| to.0).collect();
    assert_eq!(doors, [7, 8, 9, 10, 11], "once, each of its doors");
}
