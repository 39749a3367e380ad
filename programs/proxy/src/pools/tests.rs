//! What one carrier decides, by what it was told and what came back: no sockets, no clock but the given one.

use super::*;
use crate::routing::ResolvedRoute;
use vanewharf_protocol::messages::{Ballot, FleetSummary, Membership, Revision, TenantUsage, Version};

const SECOND: Ticks = Ticks::SECOND;

struct Fixture {
    pools: BackendPools,
    snapshot: Rc<Snapshot>,
    requested: mpsc::UnboundedReceiver<TokenRequest>,
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

fn ledger(lenders: Option<u32>) -> Update {
    let tenants = [("t".to_owned(), TenantUsage { requests_per_s: 0.0, quota_shares: 0.0 })].into();
    let version = Version { ballot: Ballot(1), number: 1 };
    Update::FleetSummary(Rc::new(FleetSummary {
        version,
        quota_divisor: 1,
        tenants,
        token_lenders: lenders,
        ..FleetSummary::default()
    }))
}

impl Fixture {
    fn start(list: Vec<Backend>, lenders: Option<u32>) -> Fixture {
        let zones = [("east-a", "east"), ("east-b", "east"), ("west-a", "west")];
        let zones = zones.map(|(zone, region)| (zone.to_owned(), region.to_owned())).into();
        let location = Location { zone: "east-a".to_owned(), region: "east".to_owned(), zones };
        let second = Duration::from_secs(1);
        let limits = LimitsTable {
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
        let snapshot = Rc::new(Snapshot::new(MonotonicClock::start(), &limits));
        let (token_requests, requested) = mpsc::unbounded_channel();
        let config = PoolsConfig { location, limits, initial_start: true, seed: 7 };
        let pools = BackendPools::start(config, Rc::clone(&snapshot), Rc::default(), token_requests);
        let mut fixture = Fixture { pools, snapshot, requested, txns: 0 };
        fixture.apply_update(Update::Register(register(1, &[])));
        fixture.set_backends(list);
        fixture.apply_update(ledger(lenders));
        fixture
    }

    fn apply_update(&mut self, update: Update) -> Vec<Action> {
        self.pools.apply_update(SECOND, update);
        self.pools.decide(SECOND, Vec::new())
    }

    fn set_backends(&mut self, servers: Vec<Backend>) {
        let list = BackendList { backends: servers, ..BackendList::default() };
        self.apply_update(Update::BackendList { list: Rc::new(list), taken_at: self.snapshot.clock.now() });
    }

    fn send_request(&mut self, path: &str) -> (TxnId, Vec<Action>) {
        self.txns += 1;
        let txn = TxnId(self.txns);
        let tables = self.snapshot.tables.borrow().clone().expect("a configuration has come");
        let ResolvedRoute { rule, tenant } = tables.resolve("h", path, Some("k")).expect("it has a route");
        let expiry = SECOND + Ticks(20_000);
        let authorized = AuthorizedRequest { rule, tenant, expiry, abandoned: false };
        self.snapshot.authorized.borrow_mut().insert(txn, authorized);
        let arrival = Arrival { txn, deadline: expiry, ..Arrival::default() };
        (txn, self.pools.decide(SECOND, vec![Event::RequestArrived(arrival)]))
    }

    fn complete(&mut self, txn: TxnId, no: u32, outcome: Outcome) -> Vec<Action> {
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
        self.pools.decide(SECOND, vec![Event::AttemptEnded(ending)])
    }

    /// The instance that a request goes to; none where it goes nowhere.
    fn chosen_backend(&self, actions: &[Action]) -> Option<String> {
        let [Action::SendAttempt { txn, backend, .. }] = actions else {
            return None;
        };
        let fields = self.pools.extra_headers(*txn, *backend);
        assert_eq!(fields[1], ("Customer-Name", "t".to_owned()));
        Some(fields[0].1.clone())
    }
}

fn token_answer(txn: TxnId, answer: TokenAnswer) -> Update {
    Update::TokenGrants(TokenGrants { waiting: vec![(txn, answer)], prefetched: Vec::new() })
}

fn busy(actions: &[Action]) -> bool {
    matches!(actions, [Action::Reject { retry_after: None, .. }])
}

#[test]
fn a_request_goes_to_its_own_region_and_on_where_it_was_turned_away_there() {
    let mut fixture = Fixture::start(servers(), None);
    let (txn, actions) = fixture.send_request("/read/x");
    assert!(fixture.chosen_backend(&actions).is_some_and(|id| id.starts_with('e')), "{actions:?}");
    fixture.complete(txn, 0, Outcome::Succeeded);
    let (_, actions) = fixture.send_request("/home/x");
    assert_eq!(fixture.chosen_backend(&actions).as_deref(), Some("w1"), "home is elsewhere");
    let mut shut = servers();
    shut[0].draining = true;
    fixture.set_backends(shut.clone());
    for _ in 0..3 {
        let (_, actions) = fixture.send_request("/read/x");
        assert_eq!(fixture.chosen_backend(&actions).as_deref(), Some("e2"));
    }
    shut.remove(1);
    fixture.set_backends(shut);
    let (_, actions) = fixture.send_request("/read/x");
    assert_eq!(fixture.chosen_backend(&actions).as_deref(), Some("w1"), "nothing is left in its own region");
}

#[test]
fn what_may_have_run_goes_nowhere_else() {
    let mut fixture = Fixture::start(servers(), None);
    for outcome in [Outcome::ConnectionLost, Outcome::TimedOut, Outcome::Error] {
        let (txn, _) = fixture.send_request("/write/x");
        assert_eq!(fixture.complete(txn, 0, outcome), [Action::Fail { txn }], "{outcome:?}");
    }
    let (txn, _) = fixture.send_request("/write/x");
    let actions = fixture.complete(txn, 0, Outcome::ConnectFailed);
    assert!(fixture.chosen_backend(&actions).is_some(), "it never got there");
    assert!(busy(&fixture.complete(txn, 1, Outcome::ConnectFailed)), "no more tries are allowed");
}

#[test]
fn a_repeat_needs_room_in_the_budget_that_requests_fill() {
    let mut fixture = Fixture::start(servers(), None);
    // Not one repeat is allowed at once; seven requests make room for one.
    fixture.pools.repeats.insert(Rc::from("s"), RetryBudget::empty());
    let mut repeated = 0;
    for _ in 0..8 {
        let (txn, _) = fixture.send_request("/read/x");
        let actions = fixture.complete(txn, 0, Outcome::Rejected);
        repeated += u32::from(fixture.chosen_backend(&actions).is_some());
        fixture.complete(txn, 1, Outcome::Succeeded);
    }
    assert_eq!(repeated, 1);
}

#[test]
fn an_evacuated_zone_gets_nothing_and_comes_back_cold() {
    let mut fixture = Fixture::start(vec![server("e1", "s", "east-a"), server("w1", "s", "west-a")], None);
    fixture.apply_update(Update::Register(register(2, &["east-a"])));
    let (txn, actions) = fixture.send_request("/read/x");
    assert_eq!(fixture.chosen_backend(&actions).as_deref(), Some("w1"));
    fixture.complete(txn, 0, Outcome::Succeeded);
    fixture.apply_update(Update::Register(register(3, &[])));
    let cold = |fixture: &Fixture| {
        let known = fixture.pools.backends.values().find(|backend| backend.server.id == "e1");
        known.is_some_and(|known| known.cold_until > fixture.snapshot.clock.now())
    };
    assert!(cold(&fixture), "its backends may have become cold meanwhile");
}

#[test]
fn a_register_whose_voters_alone_have_changed_costs_a_door_nothing() {
    let mut fixture = Fixture::start(servers(), None);
    let tables =
        |fixture: &Fixture| fixture.snapshot.tables.borrow().clone().expect("a configuration has come");
    let before = tables(&fixture);
    let voter = "10.0.0.9:7600".parse().expect("an address");
    let membership = Membership { epoch: 2, voters: vec![voter], outgoing: Vec::new() };
    let other = Register { revision: Revision(2), membership, ..Register::clone(&register(1, &[])) };
    let said = fixture.pools.apply_update(SECOND, Update::Register(Rc::new(other.clone())));
    assert!(said.is_none(), "nothing of backends is arranged anew");
    assert!(Rc::ptr_eq(&before, &tables(&fixture)), "nor are tables made");
    let evacuated = Register { revision: Revision(3), evacuated: ["east-a".to_owned()].into(), ..other };
    assert!(fixture.pools.apply_update(SECOND, Update::Register(Rc::new(evacuated))).is_some());
    assert!(!Rc::ptr_eq(&before, &tables(&fixture)));
}

#[test]
fn a_cold_backend_is_given_a_part_and_the_rest_goes_elsewhere() {
    let cold = Backend { warmup_left_ms: 3_000, ..server("e1", "s", "east-a") };
    let mut fixture = Fixture::start(vec![cold, server("w1", "s", "west-a")], None);
    fixture.pools.doors = 4.0;
    let mut to = BTreeMap::<String, u32>::new();
    for _ in 0..8 {
        let (txn, actions) = fixture.send_request("/read/x");
        if let Some(id) = fixture.chosen_backend(&actions) {
            *to.entry(id).or_default() += 1;
            fixture.complete(txn, 0, Outcome::Succeeded);
        }
    }
    // Four doors may send it 16 in a second between them.
    assert!(to.get("e1").copied().unwrap_or(0) <= 4, "{to:?}");
    assert!(to.get("w1").copied().unwrap_or(0) >= 4, "{to:?}");
}

#[test]
fn beyond_the_quota_it_says_when_and_a_token_comes_back_where_nothing_was_sent() {
    let mut fixture = Fixture::start(Vec::new(), None);
    for _ in 0..30 {
        let (_, actions) = fixture.send_request("/read/x");
        assert!(busy(&actions), "there is no backend, and nothing was spent: {actions:?}");
    }
    fixture.set_backends(servers());
    let mut refused = None;
    for _ in 0..30 {
        let (txn, actions) = fixture.send_request("/read/x");
        match actions.as_slice() {
            [Action::Reject { retry_after: Some(wait), .. }] => refused = Some(*wait),
            _ => drop(fixture.complete(txn, 0, Outcome::Succeeded)),
        }
    }
    let wait = refused.expect("a burst of 8");
    assert!(wait >= Ticks(500) && wait <= Ticks(1_500), "{wait:?}");
}

#[test]
fn where_postmasters_lend_a_request_waits_for_its_token() {
    let mut fixture = Fixture::start(servers(), Some(3));
    let (lent, actions) = fixture.send_request("/read/x");
    assert_eq!(actions, [], "it waits");
    let requested = fixture.requested.try_recv().expect("a lender is asked");
    assert_eq!((requested.waiting, &*requested.tenant), (Some(lent), "t"));
    let actions = fixture.apply_update(token_answer(lent, TokenAnswer::Granted));
    assert!(fixture.chosen_backend(&actions).is_some());
    fixture.complete(lent, 0, Outcome::Succeeded);
    let (refused, _) = fixture.send_request("/read/x");
    let actions = fixture.apply_update(token_answer(refused, TokenAnswer::Refused));
    assert!(matches!(actions.as_slice(), [Action::Reject { retry_after: Some(_), .. }]), "{actions:?}");
    // Its client leaves: the token serves the next one without another ask.
    let (left, _) = fixture.send_request("/read/x");
    fixture.pools.decide(SECOND, vec![Event::ClientDisconnected(left)]);
    assert_eq!(fixture.apply_update(token_answer(left, TokenAnswer::Granted)), []);
    while fixture.requested.try_recv().is_ok() {}
    let (_, actions) = fixture.send_request("/read/x");
    assert!(fixture.chosen_backend(&actions).is_some() && fixture.requested.try_recv().is_err());
    // Nobody answers: this door's own reserve has not filled yet.
    let (alone, _) = fixture.send_request("/read/x");
    let actions = fixture.apply_update(token_answer(alone, TokenAnswer::NoAnswer));
    assert!(matches!(actions.as_slice(), [Action::Reject { retry_after: Some(_), .. }]), "{actions:?}");
}

#[test]
fn what_many_doors_saw_failing_gets_less_and_where_most_fail_none_is_spared() {
    let mut fixture = Fixture::start(servers(), None);
    let ill = |ill: &[&str], no| {
        let version = Version { ballot: Ballot(1), number: no };
        let ill = ill.iter().map(|id| (id.to_string(), 0.9)).collect();
        let tenants = [("t".to_owned(), TenantUsage { requests_per_s: 0.0, quota_shares: 0.5 })].into();
        Update::FleetSummary(Rc::new(FleetSummary {
            version,
            quota_divisor: 1,
            tenants,
            unhealthy: ill,
            ..FleetSummary::default()
        }))
    };
    let to_first = |fixture: &mut Fixture| {
        fixture.pools.buckets = TokenBuckets::new(10_000.0, InitialFill::Full, fixture.snapshot.clock.now());
        fixture.apply_update(ledger(None));
        let mut first = 0;
        for _ in 0..60 {
            let (txn, actions) = fixture.send_request("/read/x");
            first += u32::from(fixture.chosen_backend(&actions).as_deref() == Some("e1"));
            fixture.complete(txn, 0, Outcome::Succeeded);
        }
        first
    };
    let even = to_first(&mut fixture);
    fixture.apply_update(ill(&["e1"], 2));
    fixture.pools.ill = [("e1".to_owned(), 0.9)].into();
    fixture.pools.arrange(SECOND);
    let size = |fixture: &Fixture, id: &str| {
        let known = fixture.pools.backends.values().find(|backend| backend.server.id == id);
        known.and_then(|known| known.shown.as_ref()).map(|shown| shown.capacity)
    };
    assert!(size(&fixture, "e1").is_some_and(|size| size < 0.2) && size(&fixture, "e2") == Some(4.0));
    assert!(even >= 15, "{even} of 60 before");
    fixture.apply_update(ill(&["e1", "e2"], 3));
    assert_eq!((size(&fixture, "e1"), size(&fixture, "e2")), (Some(4.0), Some(4.0)), "the cause is shared");
    // What this door saw itself is told.
    let (txn, _) = fixture.send_request("/read/x");
    fixture.complete(txn, 0, Outcome::ConnectionLost);
    fixture.apply_update(ill(&[], 4));
    assert_eq!(fixture.pools.reported.attempts.borrow().len(), 1);
}

#[test]
fn a_round_that_refuses_all_with_nothing_out_begins_anew() {
    let mut fixture = Fixture::start(vec![server("e1", "s", "east-a"), server("e2", "s", "east-b")], None);
    // Answers so late that no aim can be met: learnt well, and then never anything else.
    for _ in 0..12 {
        let (txn, actions) = fixture.send_request("/write/x");
        if fixture.chosen_backend(&actions).is_some() {
            let ending = AttemptReport {
                txn,
                attempt: AttemptNumber(0),
                outcome: Outcome::Succeeded,
                latency: SECOND + SECOND,
                complete: true,
                metered_usage: None,
                actual_cost: None,
            };
            fixture.pools.decide(SECOND, vec![Event::AttemptEnded(ending)]);
        }
    }
    fixture.pools.buckets = TokenBuckets::new(1000.0, InitialFill::Full, fixture.snapshot.clock.now());
    fixture.apply_update(ledger(None));
    let served = |fixture: &mut Fixture| {
        let (_, actions) = fixture.send_request("/write/x");
        matches!(actions.as_slice(), [Action::SendAttempt { .. }])
    };
    assert!(!served(&mut fixture), "it refuses");
    // As if that had gone on for longer than it may.
    let before = fixture.snapshot.clock.now().before(STUCK * 2);
    fixture.pools.rounds.values_mut().for_each(|round| round.stuck = Some(before));
    served(&mut fixture);
    assert!(served(&mut fixture), "it has begun anew");
}

#[test]
fn a_failure_is_passed_on_as_it_is_unless_it_would_promise_something() {
    let fixture = Fixture::start(servers(), None);
    let reply = |status: u16| {
        use tokio_util::codec::Decoder;
        let text = format!("HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n");
        let mut bytes = bytes::BytesMut::from(text.as_bytes());
        vanewharf_http1::ClientCodec::default().decode(&mut bytes).ok().flatten().expect("a reply")
    };
    let passed = |status| match fixture.pools.final_answer(TxnId(1), FinalAnswer::Voided, Some(reply(status)))
    {
        FinalAnswer::Settled(reply) => Some(reply.status()),
        _ => None,
    };
    assert_eq!((passed(500), passed(504)), (Some(500), Some(504)));
    assert_eq!([passed(503), passed(429), passed(421), passed(408)], [None; 4], "it may have run");
}
