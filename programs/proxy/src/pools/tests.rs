//! The routing policy's decisions on updates, requests and the ends of attempts, without sockets.

mod calm;

use super::backend_pool::MAX_STALL;
use super::backend_table::PooledBackend;
use super::*;
use crate::gate_state::AuthorizedRequest;
use crate::routing::ResolvedRoute;
use crate::update::{TokenAnswer, TokenGrants, WaitingAnswer};
use std::net::Ipv4Addr;
use std::time::Duration;
use vanewharf_health::RetryBudget;
use vanewharf_policy::interface::{AttemptNumber, AttemptReport, Outcome};
use vanewharf_protocol::messages::{
    Backend, BackendList, Ballot, ControllerEntry, Membership, Revision, TenantUsage, Version,
};
use vanewharf_quota::{InitialFill, TokenBuckets};

const SECOND: Ticks = Ticks::SECOND;

/// The routing policy of a proxy in zone east-a. The fixture takes the place of its request gate and token client.
struct Fixture {
    policy: ProxyPolicy,
    gate_state: Rc<GateState>,
    token_requests: mpsc::UnboundedReceiver<TokenRequest>,
    last_txn: u64,
}

fn backend(id: &str, service: &str, zone: &str) -> Backend {
    let address = "10.0.0.9:80".parse().expect("an address");
    let (id, service, zone) = (id.to_owned(), service.to_owned(), zone.to_owned());
    Backend { id, service, address, zone, capacity: 4, draining: false, warmup_left_ms: 0 }
}

fn backends() -> Vec<Backend> {
    vec![backend("e1", "s", "east-a"), backend("e2", "s", "east-b"), backend("w1", "s", "west-a")]
}

fn register(revision: u64, evacuated: &[&str]) -> Rc<Register> {
    let route = |prefix: &str, kind: &str, homes: &str| {
        format!(
            r#""{prefix}":{{"hostname":"h","path_prefix":"/{prefix}/","route_kind":"{kind}","deadline":"2s",
            "target":"1s","service":"s","tries":2,"home_regions":[{homes}]}}"#
        )
    };
    let config = format!(
        r#"{{"revision":"r{revision}","routes":{{{},{},{}}},"services":{{"s":{{"health_path":"/h","connection_limit":9,
        "warmup":"3s","warmup_per_s":7.5}}}},"limits":{{"max_header_bytes":1,"max_body_bytes":1,
        "header_deadline":"1s","idle_timeout":"1s"}},"customers":{{"t":{{"access_keys":["k"],"rate_per_s":8,
        "burst_allowance":8}}}}}}"#,
        route("read", "read_only", ""),
        route("write", "mutating", ""),
        route("home", "mutating", r#""west""#),
    );
    let config = Some(serde_json::from_str(&config).expect("JSON"));
    let evacuated = evacuated.iter().map(|zone| zone.to_string()).collect();
    Rc::new(Register {
        ballot: Ballot(1),
        revision: Revision(revision),
        config,
        evacuated,
        ..Register::empty()
    })
}

/// Returns the summary of a fleet of this proxy alone, with the given number of token lenders. They are in the proxy's
/// region, as it would otherwise also request tokens in advance once it has received requests fast enough.
fn fleet_summary(lenders: Option<u32>) -> Update {
    let tenants = [("t".to_owned(), TenantUsage { requests_per_s: 0.0, quota_shares: 0.0 })].into();
    let version = Version { ballot: Ballot(1), number: 1 };
    let lender =
        |number| ControllerEntry { ip: Ipv4Addr::from_bits(number).into(), zone: "east-a".to_owned() };
    let controllers = (0..lenders.unwrap_or(0)).map(lender).collect();
    Update::FleetSummary(Rc::new(FleetSummary {
        version,
        quota_divisor: 1,
        tenants,
        controllers,
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
        let gate_state = Rc::new(GateState::new(MonotonicClock::start(), &limits));
        let (sender, token_requests) = mpsc::unbounded_channel();
        let config = ProxyPolicyConfig { location, limits, initial_start: true, seed: 7 };
        let policy = ProxyPolicy::new(config, Rc::clone(&gate_state), Rc::default(), sender);
        let mut fixture = Fixture { policy, gate_state, token_requests, last_txn: 0 };
        fixture.apply_update(Update::Register(register(1, &[])));
        fixture.set_backends(list);
        fixture.apply_update(fleet_summary(lenders));
        fixture
    }

    fn apply_update(&mut self, update: Update) -> Vec<Action> {
        self.policy.apply_update(SECOND, update);
        self.policy.decide(SECOND, Vec::new())
    }

    fn set_backends(&mut self, backends: Vec<Backend>) {
        let list = BackendList { backends, ..BackendList::default() };
        self.apply_update(Update::BackendList { list: Rc::new(list), read_at: self.gate_state.clock.now() });
    }

    fn send_request(&mut self, path: &str) -> (TxnId, Vec<Action>) {
        self.send_request_at(SECOND, path, SECOND + Ticks(20_000))
    }

    fn send_request_at(&mut self, now: Ticks, path: &str, expiry: Ticks) -> (TxnId, Vec<Action>) {
        self.last_txn += 1;
        let txn = TxnId(self.last_txn);
        let tables = self.gate_state.tables.borrow().clone().expect("there is a configuration");
        let ResolvedRoute { rule, tenant } = tables.resolve("h", path, Some("k")).expect("there is a route");
        let authorized = AuthorizedRequest { rule, tenant, expiry, abandoned: false };
        self.gate_state.authorized.borrow_mut().insert(txn, authorized);
        let arrival = Arrival { txn, deadline: expiry, ..Arrival::default() };
        (txn, self.policy.decide(now, vec![Event::RequestArrived(arrival)]))
    }

    fn complete(&mut self, txn: TxnId, attempt: u32, outcome: Outcome) -> Vec<Action> {
        self.complete_at(SECOND, txn, attempt, outcome, Ticks(100))
    }

    fn complete_at(
        &mut self,
        now: Ticks,
        txn: TxnId,
        attempt: u32,
        outcome: Outcome,
        latency: Ticks,
    ) -> Vec<Action> {
        let report = AttemptReport {
            txn,
            attempt: AttemptNumber(attempt),
            outcome,
            latency,
            complete: outcome == Outcome::Succeeded,
            metered_usage: None,
            actual_cost: None,
        };
        self.policy.decide(now, vec![Event::AttemptEnded(report)])
    }

    /// Returns the name of the backend to which a request is sent, or `None` if it is not sent.
    fn chosen_backend(&self, actions: &[Action]) -> Option<String> {
        let [Action::SendAttempt { txn, backend, .. }] = actions else {
            return None;
        };
        let headers = self.policy.extra_headers(*txn, *backend);
        assert_eq!(headers[1], ("Customer-Name", "t".to_owned()));
        Some(headers[0].1.clone())
    }

    fn backend(&self, name: &str) -> Option<&PooledBackend> {
        self.policy.backends.by_id.values().find(|backend| backend.listed.id == name)
    }

    /// Returns the capacity of a backend as published to the balancer.
    fn capacity(&self, name: &str) -> Option<f64> {
        let published = self.backend(name).and_then(|backend| backend.published.as_ref());
        published.map(|published| published.capacity)
    }
}

fn token_answer(txn: TxnId, answer: TokenAnswer) -> Update {
    Update::TokenGrants(TokenGrants { waiting: vec![WaitingAnswer { txn, answer }], prefetched: Vec::new() })
}

fn is_rejected_for_capacity(actions: &[Action]) -> bool {
    matches!(actions, [Action::Reject { retry_after: None, .. }])
}

#[test]
fn requests_prefer_the_own_region_and_fall_back_to_the_next() {
    let mut fixture = Fixture::start(backends(), None);
    let (txn, actions) = fixture.send_request("/read/x");
    assert!(fixture.chosen_backend(&actions).is_some_and(|id| id.starts_with('e')), "{actions:?}");
    fixture.complete(txn, 0, Outcome::Succeeded);
    let (_, actions) = fixture.send_request("/home/x");
    assert_eq!(fixture.chosen_backend(&actions).as_deref(), Some("w1"), "the home region is west");
    let mut drained = backends();
    drained[0].draining = true;
    fixture.set_backends(drained.clone());
    for _ in 0..3 {
        let (_, actions) = fixture.send_request("/read/x");
        assert_eq!(fixture.chosen_backend(&actions).as_deref(), Some("e2"));
    }
    drained.remove(1);
    fixture.set_backends(drained);
    let (_, actions) = fixture.send_request("/read/x");
    assert_eq!(fixture.chosen_backend(&actions).as_deref(), Some("w1"), "the own region has no backend");
}

#[test]
fn a_mutating_request_that_may_have_run_is_not_retried() {
    let mut fixture = Fixture::start(backends(), None);
    for outcome in [Outcome::ConnectionLost, Outcome::TimedOut, Outcome::Error] {
        let (txn, _) = fixture.send_request("/write/x");
        assert_eq!(fixture.complete(txn, 0, outcome), [Action::Fail { txn }], "{outcome:?}");
    }
    let (txn, _) = fixture.send_request("/write/x");
    let actions = fixture.complete(txn, 0, Outcome::ConnectFailed);
    assert!(fixture.chosen_backend(&actions).is_some(), "the attempt reached no backend");
    assert!(
        is_rejected_for_capacity(&fixture.complete(txn, 1, Outcome::ConnectFailed)),
        "no more attempts are allowed"
    );
}

#[test]
fn retries_are_limited_by_the_budget_that_requests_fill() {
    let mut fixture = Fixture::start(backends(), None);
    // The budget starts empty. It takes seven requests to fill it for one retry.
    fixture.policy.retry_budgets.by_service.insert(Rc::from("s"), RetryBudget::empty());
    let mut retried = 0;
    for _ in 0..8 {
        let (txn, _) = fixture.send_request("/read/x");
        let actions = fixture.complete(txn, 0, Outcome::Rejected);
        retried += u32::from(fixture.chosen_backend(&actions).is_some());
        fixture.complete(txn, 1, Outcome::Succeeded);
    }
    assert_eq!(retried, 1);
}

#[test]
fn an_evacuated_zone_receives_no_requests_and_warms_up_after_the_evacuation() {
    let mut fixture = Fixture::start(vec![backend("e1", "s", "east-a"), backend("w1", "s", "west-a")], None);
    fixture.apply_update(Update::Register(register(2, &["east-a"])));
    let (txn, actions) = fixture.send_request("/read/x");
    assert_eq!(fixture.chosen_backend(&actions).as_deref(), Some("w1"));
    fixture.complete(txn, 0, Outcome::Succeeded);
    fixture.apply_update(Update::Register(register(3, &[])));
    let warming_up =
        fixture.backend("e1").is_some_and(|backend| backend.warm_up.until > fixture.gate_state.clock.now());
    assert!(warming_up, "the zone's backends had no traffic during the evacuation");
}

#[test]
fn a_register_that_differs_only_in_its_voters_changes_nothing() {
    let mut fixture = Fixture::start(backends(), None);
    let tables =
        |fixture: &Fixture| fixture.gate_state.tables.borrow().clone().expect("there is a configuration");
    let before = tables(&fixture);
    let voter = "10.0.0.9:7600".parse().expect("an address");
    let membership = Membership { epoch: 2, voters: vec![voter], outgoing: Vec::new() };
    let other = Register { revision: Revision(2), membership, ..Register::clone(&register(1, &[])) };
    let backends_changed = fixture.policy.apply_update(SECOND, Update::Register(Rc::new(other.clone())));
    assert!(backends_changed.is_none(), "backends are not refreshed");
    assert!(Rc::ptr_eq(&before, &tables(&fixture)), "routing tables are not rebuilt");
    let evacuated = Register { revision: Revision(3), evacuated: ["east-a".to_owned()].into(), ..other };
    assert!(fixture.policy.apply_update(SECOND, Update::Register(Rc::new(evacuated))).is_some());
    assert!(!Rc::ptr_eq(&before, &tables(&fixture)));
}

#[test]
fn a_backend_that_warms_up_is_limited_and_other_backends_receive_the_rest() {
    let warming_up = Backend { warmup_left_ms: 3_000, ..backend("e1", "s", "east-a") };
    let mut fixture = Fixture::start(vec![warming_up, backend("w1", "s", "west-a")], None);
    fixture.policy.proxy_count = 4.0;
    let mut requests = BTreeMap::<String, u32>::new();
    for _ in 0..8 {
        let (txn, actions) = fixture.send_request("/read/x");
        if let Some(id) = fixture.chosen_backend(&actions) {
            *requests.entry(id).or_default() += 1;
            fixture.complete(txn, 0, Outcome::Succeeded);
        }
    }
    // Four proxies together may send 16 requests in a second to the backend.
    assert!(requests.get("e1").copied().unwrap_or(0) <= 4, "{requests:?}");
    assert!(requests.get("w1").copied().unwrap_or(0) >= 4, "{requests:?}");
}

#[test]
fn a_rejection_by_quota_has_a_retry_time_and_the_token_of_an_unsent_request_is_refunded() {
    let mut fixture = Fixture::start(Vec::new(), None);
    for _ in 0..30 {
        let (_, actions) = fixture.send_request("/read/x");
        assert!(
            is_rejected_for_capacity(&actions),
            "rejected for lack of a backend, not by quota, as tokens are refunded: {actions:?}"
        );
    }
    fixture.set_backends(backends());
    let mut retry_after = None;
    for _ in 0..30 {
        let (txn, actions) = fixture.send_request("/read/x");
        match actions.as_slice() {
            [Action::Reject { retry_after: Some(wait), .. }] => retry_after = Some(*wait),
            _ => drop(fixture.complete(txn, 0, Outcome::Succeeded)),
        }
    }
    let wait = retry_after.expect("30 requests exceed the burst of 8");
    assert!(wait >= Ticks(500) && wait <= Ticks(1_500), "{wait:?}");
}

#[test]
fn requests_wait_for_leased_tokens() {
    let mut fixture = Fixture::start(backends(), Some(3));
    let (granted, actions) = fixture.send_request("/read/x");
    assert_eq!(actions, [], "the request waits for a token");
    let requested = fixture.token_requests.try_recv().expect("a token is requested");
    assert_eq!((requested.waiting, &*requested.tenant), (Some(granted), "t"));
    let actions = fixture.apply_update(token_answer(granted, TokenAnswer::Granted));
    assert!(fixture.chosen_backend(&actions).is_some());
    fixture.complete(granted, 0, Outcome::Succeeded);
    let (refused, _) = fixture.send_request("/read/x");
    let actions = fixture.apply_update(token_answer(refused, TokenAnswer::Refused));
    assert!(matches!(actions.as_slice(), [Action::Reject { retry_after: Some(_), .. }]), "{actions:?}");
    // The client disconnects while its request waits. The next request uses the token and requests no other.
    let (abandoned, _) = fixture.send_request("/read/x");
    fixture.policy.decide(SECOND, vec![Event::ClientDisconnected(abandoned)]);
    assert_eq!(fixture.apply_update(token_answer(abandoned, TokenAnswer::Granted)), []);
    while fixture.token_requests.try_recv().is_ok() {}
    let (_, actions) = fixture.send_request("/read/x");
    assert!(fixture.chosen_backend(&actions).is_some() && fixture.token_requests.try_recv().is_err());
    // The request expires while it waits. Again, the next request uses the token.
    let (expired, _) = fixture.send_request("/read/x");
    fixture.policy.apply_update(SECOND + Ticks(20_000), token_answer(expired, TokenAnswer::Granted));
    assert_eq!(fixture.policy.decide(SECOND, Vec::new()), [], "an expired request is not sent");
    while fixture.token_requests.try_recv().is_ok() {}
    let (_, actions) = fixture.send_request("/read/x");
    assert!(fixture.chosen_backend(&actions).is_some() && fixture.token_requests.try_recv().is_err());
    // No lender answers. The proxy's own bucket decides and rejects the request, because it has not filled yet.
    let (unanswered, _) = fixture.send_request("/read/x");
    let actions = fixture.apply_update(token_answer(unanswered, TokenAnswer::NoAnswer));
    assert!(matches!(actions.as_slice(), [Action::Reject { retry_after: Some(_), .. }]), "{actions:?}");
}

#[test]
fn the_capacity_of_an_unhealthy_backend_is_reduced_unless_most_of_its_pool_is_unhealthy() {
    let mut fixture = Fixture::start(backends(), None);
    let with_unhealthy = |unhealthy: &[&str], number| {
        let version = Version { ballot: Ballot(1), number };
        let unhealthy = unhealthy.iter().map(|id| (id.to_string(), 0.9)).collect();
        let tenants = [("t".to_owned(), TenantUsage { requests_per_s: 0.0, quota_shares: 0.5 })].into();
        Update::FleetSummary(Rc::new(FleetSummary {
            version,
            quota_divisor: 1,
            tenants,
            unhealthy,
            ..FleetSummary::default()
        }))
    };
    let requests_to_e1 = |fixture: &mut Fixture| {
        fixture.policy.admission.buckets =
            TokenBuckets::new(10_000.0, InitialFill::Full, fixture.gate_state.clock.now());
        fixture.apply_update(fleet_summary(None));
        let mut requests = 0;
        for _ in 0..60 {
            let (txn, actions) = fixture.send_request("/read/x");
            requests += u32::from(fixture.chosen_backend(&actions).as_deref() == Some("e1"));
            fixture.complete(txn, 0, Outcome::Succeeded);
        }
        requests
    };
    let requests_while_healthy = requests_to_e1(&mut fixture);
    fixture.apply_update(with_unhealthy(&["e1"], 2));
    fixture.policy.backends.unhealthy = [("e1".to_owned(), 0.9)].into();
    fixture.policy.refresh_backends(SECOND);
    assert!(
        fixture.capacity("e1").is_some_and(|capacity| capacity < 0.2) && fixture.capacity("e2") == Some(4.0)
    );
    assert!(requests_while_healthy >= 15, "{requests_while_healthy} of 60 requests while healthy");
    fixture.apply_update(with_unhealthy(&["e1", "e2"], 3));
    assert_eq!(
        (fixture.capacity("e1"), fixture.capacity("e2")),
        (Some(4.0), Some(4.0)),
        "capacities stay if the cause is shared"
    );
    // The proxy reports the failed attempts that it has seen itself.
    let (txn, _) = fixture.send_request("/read/x");
    fixture.complete(txn, 0, Outcome::ConnectionLost);
    fixture.apply_update(with_unhealthy(&[], 4));
    assert_eq!(fixture.policy.status.attempts.borrow().len(), 1);
}

#[test]
fn a_stalled_balancer_is_replaced() {
    let mut fixture = Fixture::start(vec![backend("e1", "s", "east-a"), backend("e2", "s", "east-b")], None);
    // All answers come later than clients wait. The balancer learns to reject every request, and without attempts it
    // cannot learn that answers have become faster.
    for _ in 0..12 {
        let (txn, actions) = fixture.send_request("/write/x");
        if fixture.chosen_backend(&actions).is_some() {
            fixture.complete_at(SECOND, txn, 0, Outcome::Succeeded, SECOND + SECOND + SECOND);
        }
    }
    fixture.policy.admission.buckets =
        TokenBuckets::new(1000.0, InitialFill::Full, fixture.gate_state.clock.now());
    fixture.apply_update(fleet_summary(None));
    let served = |fixture: &mut Fixture| {
        let (_, actions) = fixture.send_request("/write/x");
        matches!(actions.as_slice(), [Action::SendAttempt { .. }])
    };
    assert!(!served(&mut fixture), "the balancer rejects every request");
    // Simulates a stall that is longer than `MAX_STALL`.
    let stalled_since = fixture.gate_state.clock.now().before(MAX_STALL * 2);
    fixture.policy.pools.values_mut().for_each(|pool| pool.stalled_since = Some(stalled_since));
    served(&mut fixture);
    assert!(served(&mut fixture), "the new balancer accepts");
}

#[test]
fn an_error_reply_is_relayed_unless_its_status_means_that_the_request_did_not_run() {
    let fixture = Fixture::start(backends(), None);
    let reply = |status: u16| {
        use tokio_util::codec::Decoder;
        let text = format!("HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n");
        let mut bytes = bytes::BytesMut::from(text.as_bytes());
        vanewharf_http1::ClientCodec::default().decode(&mut bytes).ok().flatten().expect("a reply")
    };
    let relayed = |status| match fixture.policy.final_answer(
        TxnId(1),
        FinalAnswer::OutcomeUnknown,
        Some(reply(status)),
    ) {
        FinalAnswer::Forwarded(reply) => Some(reply.status()),
        _ => None,
    };
    assert_eq!((relayed(500), relayed(504)), (Some(500), Some(504)));
    assert_eq!(
        [relayed(503), relayed(429), relayed(421), relayed(408)],
        [None; 4],
        "the request may have run"
    );
}
