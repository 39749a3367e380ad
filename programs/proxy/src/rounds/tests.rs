//! What one carrier decides, by what it was told and what came back: no sockets, no clock but the given one.

use super::*;
use crate::tables::NoWay;
use std::cell::{Cell, RefCell};
use vanewharf_protocol::messages::{Ballot, FleetSummary, Membership, Revision, TenantUsage, Version};

const SECOND: Ticks = Ticks::SECOND;

struct Stage {
    rounds: Rounds,
    posted: Rc<Posted>,
    asked: mpsc::UnboundedReceiver<Ask>,
    txns: u64,
}

fn server(id: &str, service: &str, zone: &str) -> Backend {
    let address = "10.0.0.9:80".parse().expect("an address");
    let (id, service, zone) = (id.to_owned(), service.to_owned(), zone.to_owned());
    Backend { id, service, address, zone, capacity: 4, draining: false, warmup_left_ms: 0 }
}

fn servers() -> Vec<Backend> {
    vec![server("e1", "s", "east-a"), server("e2", "s", "east-b"), server("w1", "s", "west-a")]
}

fn register(no: u64, evacuated: &[&str]) -> Rc<Register> {
    let route = |prefix: &str, kind: &str, homes: &str| {
        format!(
            r#""{prefix}":{{"hostname":"h","path_prefix":"/{prefix}/","route_kind":"{kind}","deadline":"2s",
            "target":"1s","service":"s","tries":2,"home_regions":[{homes}]}}"#
        )
    };
    let config = format!(
        r#"{{"revision":"r{no}","routes":{{{},{},{}}},"services":{{"s":{{"health_path":"/h","connection_limit":9,
        "warmup":"3s","warmup_per_s":7.5}}}},"limits":{{"max_header_bytes":1,"max_body_bytes":1,
        "header_deadline":"1s","idle_timeout":"1s"}},"customers":{{"t":{{"access_keys":["k"],"rate_per_s":8,
        "burst_allowance":8}}}}}}"#,
        route("read", "read_only", ""),
        route("write", "mutating", ""),
        route("home", "mutating", r#""west""#),
    );
    let config = Some(serde_json::from_str(&config).expect("JSON"));
    let evacuated = evacuated.iter().map(|zone| zone.to_string()).collect();
    Rc::new(Register { ballot: Ballot(1), revision: Revision(no), config, evacuated, ..Register::empty() })
}

fn ledger(lenders: Option<u32>) -> News {
    let tenants = [("t".to_owned(), TenantUsage { requests_per_s: 0.0, quota_shares: 0.0 })].into();
    let version = Version { ballot: Ballot(1), number: 1 };
    News::Ledger(Rc::new(FleetSummary {
        version,
        quota_divisor: 1,
        tenants,
        token_lenders: lenders,
        ..FleetSummary::default()
    }))
}

impl Stage {
    fn set(list: Vec<Backend>, lenders: Option<u32>) -> Stage {
        let steady = MonotonicClock::start();
        let posted = Rc::new(Posted {
            tables: RefCell::default(),
            entries: RefCell::default(),
            sure: Cell::new(None),
            steady,
            revocation_global: false,
            revocation: Duration::from_secs(5),
        });
        let zones = [("east-a", "east"), ("east-b", "east"), ("west-a", "west")];
        let zones = zones.map(|(zone, region)| (zone.to_owned(), region.to_owned())).into();
        let place = Place { zone: "east-a".to_owned(), region: "east".to_owned(), zones };
        let second = Duration::from_secs(1);
        let bounds = LimitsTable {
            revocation_global: false,
            revocation: second * 5,
            grace_period: second * 6,
            ttl_max: second * 5,
            rate_allowance: 0.0,
            retry_ratio: 0.2,
            retry_window: second * 10,
            retry_allowance: 0.0,
            warmup_overshoot: 1.5,
            warmup_allowance: 5.0,
        };
        let (asks, asked) = mpsc::unbounded_channel();
        let start = Start { place, bounds, first: true, seed: 7 };
        let rounds = Rounds::start(start, Rc::clone(&posted), Rc::default(), asks);
        let mut stage = Stage { rounds, posted, asked, txns: 0 };
        stage.hears(News::Register(register(1, &[])));
        stage.lists(list);
        stage.hears(ledger(lenders));
        stage
    }

    fn hears(&mut self, news: News) -> Vec<Action> {
        self.rounds.apply_update(SECOND, news);
        self.rounds.decide(SECOND, Vec::new())
    }

    fn lists(&mut self, servers: Vec<Backend>) {
        let list = BackendList { backends: servers, ..BackendList::default() };
        self.hears(News::List(Rc::new(list), self.posted.steady.now()));
    }

    fn arrives(&mut self, path: &str) -> (TxnId, Vec<Action>) {
        self.txns += 1;
        let txn = TxnId(self.txns);
        let way = self.posted.tables.borrow().as_ref().expect("told").way("h", path, Some("k"));
        let (rule, tenant) = way.unwrap_or_else(|no_way: NoWay| panic!("{no_way:?}"));
        let expiry = SECOND + Ticks(20_000);
        let entry = Entry { rule, tenant, expiry, left: false };
        self.posted.entries.borrow_mut().insert(txn, entry);
        let arrival = Arrival { txn, deadline: expiry, ..Arrival::default() };
        (txn, self.rounds.decide(SECOND, vec![Event::RequestArrived(arrival)]))
    }

    fn ends(&mut self, txn: TxnId, no: u32, outcome: Outcome) -> Vec<Action> {
        let (no, took, complete) = (AttemptNumber(no), Ticks(100), outcome == Outcome::Succeeded);
        let ending = AttemptReport {
            txn,
            attempt: no,
            outcome,
            latency: took,
            complete,
            metered_usage: None,
            actual_cost: None,
        };
        self.rounds.decide(SECOND, vec![Event::AttemptEnded(ending)])
    }

    /// The instance that a request goes to; none where it goes nowhere.
    fn to(&self, actions: &[Action]) -> Option<String> {
        let [Action::SendAttempt { txn, backend, .. }] = actions else {
            return None;
        };
        let fields = self.rounds.extra_headers(*txn, *backend);
        assert_eq!(fields[1], ("Customer-Name", "t".to_owned()));
        Some(fields[0].1.clone())
    }
}

fn tokens(txn: TxnId, lent: Option<bool>) -> News {
    News::Lent(Loans { asked: vec![(txn, lent)], ahead: Vec::new() })
}

fn busy(actions: &[Action]) -> bool {
    matches!(actions, [Action::Reject { retry_after: None, .. }])
}

#[test]
fn a_request_goes_to_its_own_region_and_on_where_it_was_turned_away_there() {
    let mut stage = Stage::set(servers(), None);
    let (txn, actions) = stage.arrives("/read/x");
    assert!(stage.to(&actions).is_some_and(|id| id.starts_with('e')), "{actions:?}");
    stage.ends(txn, 0, Outcome::Succeeded);
    let (_, actions) = stage.arrives("/home/x");
    assert_eq!(stage.to(&actions).as_deref(), Some("w1"), "home is elsewhere");
    let mut shut = servers();
    shut[0].draining = true;
    stage.lists(shut.clone());
    for _ in 0..3 {
        let (_, actions) = stage.arrives("/read/x");
        assert_eq!(stage.to(&actions).as_deref(), Some("e2"));
    }
    shut.remove(1);
    stage.lists(shut);
    let (_, actions) = stage.arrives("/read/x");
    assert_eq!(stage.to(&actions).as_deref(), Some("w1"), "nothing is left in its own region");
}

#[test]
fn what_may_have_run_goes_nowhere_else() {
    let mut stage = Stage::set(servers(), None);
    for outcome in [Outcome::ConnectionLost, Outcome::TimedOut, Outcome::Error] {
        let (txn, _) = stage.arrives("/write/x");
        assert_eq!(stage.ends(txn, 0, outcome), [Action::Fail { txn }], "{outcome:?}");
    }
    let (txn, _) = stage.arrives("/write/x");
    let actions = stage.ends(txn, 0, Outcome::ConnectFailed);
    assert!(stage.to(&actions).is_some(), "it never got there");
    assert!(busy(&stage.ends(txn, 1, Outcome::ConnectFailed)), "no more tries are allowed");
}

#[test]
fn a_repeat_needs_room_in_the_budget_that_requests_fill() {
    let mut stage = Stage::set(servers(), None);
    // Not one repeat is allowed at once; seven requests make room for one.
    stage.rounds.repeats.insert(Rc::from("s"), RetryBudget::new(&stage.rounds.repeat_rule(), false));
    let mut repeated = 0;
    for _ in 0..8 {
        let (txn, _) = stage.arrives("/read/x");
        let actions = stage.ends(txn, 0, Outcome::Rejected);
        repeated += u32::from(stage.to(&actions).is_some());
        stage.ends(txn, 1, Outcome::Succeeded);
    }
    assert_eq!(repeated, 1);
}

#[test]
fn an_evacuated_zone_gets_nothing_and_comes_back_cold() {
    let mut stage = Stage::set(vec![server("e1", "s", "east-a"), server("w1", "s", "west-a")], None);
    stage.hears(News::Register(register(2, &["east-a"])));
    let (txn, actions) = stage.arrives("/read/x");
    assert_eq!(stage.to(&actions).as_deref(), Some("w1"));
    stage.ends(txn, 0, Outcome::Succeeded);
    stage.hears(News::Register(register(3, &[])));
    let cold = |stage: &Stage| {
        let known = stage.rounds.backends.values().find(|backend| backend.server.id == "e1");
        known.is_some_and(|known| known.cold_until > stage.posted.steady.now())
    };
    assert!(cold(&stage), "its backends may have become cold meanwhile");
}

#[test]
fn a_register_whose_voters_alone_have_changed_costs_a_door_nothing() {
    let mut stage = Stage::set(servers(), None);
    let tables = |stage: &Stage| stage.posted.tables.borrow().clone().expect("told");
    let before = tables(&stage);
    let voter = "10.0.0.9:7600".parse().expect("an address");
    let membership = Membership { epoch: 2, voters: vec![voter], outgoing: Vec::new() };
    let other = Register { revision: Revision(2), membership, ..Register::clone(&register(1, &[])) };
    let said = stage.rounds.apply_update(SECOND, News::Register(Rc::new(other.clone())));
    assert!(said.is_none(), "nothing of backends is arranged anew");
    assert!(Rc::ptr_eq(&before, &tables(&stage)), "nor are tables made");
    let evacuated = Register { revision: Revision(3), evacuated: ["east-a".to_owned()].into(), ..other };
    assert!(stage.rounds.apply_update(SECOND, News::Register(Rc::new(evacuated))).is_some());
    assert!(!Rc::ptr_eq(&before, &tables(&stage)));
}

#[test]
fn a_cold_backend_is_given_a_part_and_the_rest_goes_elsewhere() {
    let cold = Backend { warmup_left_ms: 3_000, ..server("e1", "s", "east-a") };
    let mut stage = Stage::set(vec![cold, server("w1", "s", "west-a")], None);
    stage.rounds.doors = 4.0;
    let mut to = BTreeMap::<String, u32>::new();
    for _ in 0..8 {
        let (txn, actions) = stage.arrives("/read/x");
        if let Some(id) = stage.to(&actions) {
            *to.entry(id).or_default() += 1;
            stage.ends(txn, 0, Outcome::Succeeded);
        }
    }
    // Four doors may send it 16 in a second between them.
    assert!(to.get("e1").copied().unwrap_or(0) <= 4, "{to:?}");
    assert!(to.get("w1").copied().unwrap_or(0) >= 4, "{to:?}");
}

#[test]
fn beyond_the_quota_it_says_when_and_a_token_comes_back_where_nothing_was_sent() {
    let mut stage = Stage::set(Vec::new(), None);
    for _ in 0..30 {
        let (_, actions) = stage.arrives("/read/x");
        assert!(busy(&actions), "there is no backend, and nothing was spent: {actions:?}");
    }
    stage.lists(servers());
    let mut refused = None;
    for _ in 0..30 {
        let (txn, actions) = stage.arrives("/read/x");
        match actions.as_slice() {
            [Action::Reject { retry_after: Some(wait), .. }] => refused = Some(*wait),
            _ => drop(stage.ends(txn, 0, Outcome::Succeeded)),
        }
    }
    let wait = refused.expect("a burst of 8");
    assert!(wait >= Ticks(500) && wait <= Ticks(1_500), "{wait:?}");
}

#[test]
fn where_postmasters_lend_a_request_waits_for_its_token() {
    let mut stage = Stage::set(servers(), Some(3));
    let (lent, actions) = stage.arrives("/read/x");
    assert_eq!(actions, [], "it waits");
    let asked = stage.asked.try_recv().expect("a lender is asked");
    assert_eq!((asked.txn, &*asked.tenant), (Some(lent), "t"));
    let actions = stage.hears(tokens(lent, Some(true)));
    assert!(stage.to(&actions).is_some());
    stage.ends(lent, 0, Outcome::Succeeded);
    let (refused, _) = stage.arrives("/read/x");
    let actions = stage.hears(tokens(refused, Some(false)));
    assert!(matches!(actions.as_slice(), [Action::Reject { retry_after: Some(_), .. }]), "{actions:?}");
    // Its client leaves: the token serves the next one without another ask.
    let (left, _) = stage.arrives("/read/x");
    stage.rounds.decide(SECOND, vec![Event::ClientDisconnected(left)]);
    assert_eq!(stage.hears(tokens(left, Some(true))), []);
    while stage.asked.try_recv().is_ok() {}
    let (_, actions) = stage.arrives("/read/x");
    assert!(stage.to(&actions).is_some() && stage.asked.try_recv().is_err());
    // Nobody answers: this door's own reserve has not filled yet.
    let (alone, _) = stage.arrives("/read/x");
    let actions = stage.hears(tokens(alone, None));
    assert!(matches!(actions.as_slice(), [Action::Reject { retry_after: Some(_), .. }]), "{actions:?}");
}

#[test]
fn what_many_doors_saw_failing_gets_less_and_where_most_fail_none_is_spared() {
    let mut stage = Stage::set(servers(), None);
    let ill = |ill: &[&str], no| {
        let version = Version { ballot: Ballot(1), number: no };
        let ill = ill.iter().map(|id| (id.to_string(), 0.9)).collect();
        let tenants = [("t".to_owned(), TenantUsage { requests_per_s: 0.0, quota_shares: 0.5 })].into();
        News::Ledger(Rc::new(FleetSummary {
            version,
            quota_divisor: 1,
            tenants,
            unhealthy: ill,
            ..FleetSummary::default()
        }))
    };
    let to_first = |stage: &mut Stage| {
        stage.rounds.buckets = TokenBuckets::new(10_000.0, true, stage.posted.steady.now());
        stage.hears(ledger(None));
        let mut first = 0;
        for _ in 0..60 {
            let (txn, actions) = stage.arrives("/read/x");
            first += u32::from(stage.to(&actions).as_deref() == Some("e1"));
            stage.ends(txn, 0, Outcome::Succeeded);
        }
        first
    };
    let even = to_first(&mut stage);
    stage.hears(ill(&["e1"], 2));
    stage.rounds.ill = [("e1".to_owned(), 0.9)].into();
    stage.rounds.arrange(SECOND);
    let size = |stage: &Stage, id: &str| {
        let known = stage.rounds.backends.values().find(|backend| backend.server.id == id);
        known.and_then(|known| known.shown.as_ref()).map(|shown| shown.capacity)
    };
    assert!(size(&stage, "e1").is_some_and(|size| size < 0.2) && size(&stage, "e2") == Some(4.0));
    assert!(even >= 15, "{even} of 60 before");
    stage.hears(ill(&["e1", "e2"], 3));
    assert_eq!((size(&stage, "e1"), size(&stage, "e2")), (Some(4.0), Some(4.0)), "the cause is shared");
    // What this door saw itself is told.
    let (txn, _) = stage.arrives("/read/x");
    stage.ends(txn, 0, Outcome::ConnectionLost);
    stage.hears(ill(&[], 4));
    assert_eq!(stage.rounds.reported.tried.borrow().len(), 1);
}

#[test]
fn a_round_that_refuses_all_with_nothing_out_begins_anew() {
    let mut stage = Stage::set(vec![server("e1", "s", "east-a"), server("e2", "s", "east-b")], None);
    // Answers so late that no aim can be met: learnt well, and then never anything else.
    for _ in 0..12 {
        let (txn, actions) = stage.arrives("/write/x");
        if stage.to(&actions).is_some() {
            let ending = AttemptReport {
                txn,
                attempt: AttemptNumber(0),
                outcome: Outcome::Succeeded,
                latency: SECOND + SECOND,
                complete: true,
                metered_usage: None,
                actual_cost: None,
            };
            stage.rounds.decide(SECOND, vec![Event::AttemptEnded(ending)]);
        }
    }
    stage.rounds.buckets = TokenBuckets::new(1000.0, true, stage.posted.steady.now());
    stage.hears(ledger(None));
    let served = |stage: &mut Stage| {
        let (_, actions) = stage.arrives("/write/x");
        matches!(actions.as_slice(), [Action::SendAttempt { .. }])
    };
    assert!(!served(&mut stage), "it refuses");
    // As if that had gone on for longer than it may.
    let before = stage.posted.steady.now().before(STUCK * 2);
    stage.rounds.rounds.values_mut().for_each(|round| round.stuck = Some(before));
    served(&mut stage);
    assert!(served(&mut stage), "it has begun anew");
}

#[test]
fn a_failure_is_passed_on_as_it_is_unless_it_would_promise_something() {
    let stage = Stage::set(servers(), None);
    let reply = |status: u16| {
        use tokio_util::codec::Decoder;
        let text = format!("HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n");
        let mut bytes = bytes::BytesMut::from(text.as_bytes());
        vanewharf_http1::ClientCodec::default().decode(&mut bytes).ok().flatten().expect("a reply")
    };
    let passed = |status| match stage.rounds.final_answer(TxnId(1), FinalAnswer::Voided, Some(reply(status)))
    {
        FinalAnswer::Settled(reply) => Some(reply.status()),
        _ => None,
    };
    assert_eq!((passed(500), passed(504)), (Some(500), Some(504)));
    assert_eq!([passed(503), passed(429), passed(421), passed(408)], [None; 4], "it may have run");
}
