//! One pool: the backends of a service in one region, and the policy balancer that chooses among them.

use super::to_ticks;
use crate::routing::{RequestClass, RouteRule, RoutingTables};
use rand::Rng;
use rand::rngs::SmallRng;
use std::time::Duration;
use vanewharf_clock::Timestamp;
use vanewharf_config::config::RouteKind;
use vanewharf_policy::decide::Balancer;
use vanewharf_policy::interface::{
    Action, AllowedActions, Arrival, BackendId, BackendInfo, BackendStatus, BalancerConfig, Event, GatewayId,
    Idempotency, Plan, Product, ProductId, QuotaClaim, Ticks, TxnId, WarmUp,
};

/// By what a route's latency target is multiplied for the balancer. The balancer takes a third of its target for the
/// longest that an answer may be expected to take, which suits targets of many times the usual latency; here they are
/// about three times that.
const LATENCY_TARGET_FACTOR: f64 = 2.0;
/// For how long a balancer may reject everything with no attempt in flight.
pub(super) const MAX_STALL: Duration = Duration::from_millis(300);
/// The class of a kind of request that no route has.
const DEFAULT_LATENCY_TARGET: Duration = Duration::from_millis(500);
const DEFAULT_PRECEDENCE: u64 = 1;
/// The part of its capacity that a backend has when it starts.
const INITIAL_CAPACITY: f64 = 0.2;
/// Attempts that the balancer makes for one request in this pool at most.
const MAX_ATTEMPTS_IN_POOL: usize = 4;
/// For how long the balancer counts on an idle connection to a backend.
const IDLE_TIMEOUT: Ticks = Ticks(20_000);

/// The pool of one service in one region.
pub(super) struct BackendPool {
    balancer: Balancer,
    /// What the balancer tells requests apart by; it knows a class by its position.
    classes: Vec<RequestClass>,
    attempts_in_flight: usize,
    /// Since when the balancer rejects everything although no attempt is in flight.
    pub(super) stalled_since: Option<Timestamp>,
}

impl BackendPool {
    /// A pool without backends. The classes of requests are those of the routing tables at this time.
    pub(super) fn new(
        tables: Option<&RoutingTables>,
        service: &str,
        random: &mut SmallRng,
        now: Ticks,
    ) -> BackendPool {
        let classes = request_classes(tables);
        let service = tables.and_then(|tables| tables.services.get(service));
        let warm_up = service.map(|service| service.warmup).unwrap_or_default();
        let config = balancer_config(&classes, warm_up, random.random(), now);
        BackendPool { balancer: Balancer::new(config), classes, attempts_in_flight: 0, stalled_since: None }
    }

    /// Notifies the balancer of an event, and returns what it wants done.
    pub(super) fn decide(&mut self, now: Ticks, event: Event) -> Vec<Action> {
        self.balancer.decide(now, vec![event])
    }

    /// Has the balancer choose a backend for a request.
    pub(super) fn offer(&mut self, txn: TxnId, rule: &RouteRule, deadline: Ticks, now: Ticks) -> Vec<Action> {
        let product = nearest_class(&self.classes, rule);
        let claim = QuotaClaim { cost: 1.0, subset_size: 1, ..QuotaClaim::default() };
        self.decide(now, Event::RequestArrived(Arrival { txn, product, claim, deadline }))
    }

    /// Whether the balancer has stalled, by its decision on one request. A balancer that has learnt of slow answers
    /// rejects everything, and with no attempt in flight it never learns of faster ones.
    pub(super) fn has_stalled(&mut self, decision: &[Action], at: Timestamp) -> bool {
        if !matches!(decision, [Action::Reject { .. }]) {
            self.stalled_since = None;
            return false;
        }
        if self.attempts_in_flight > 0 {
            return false;
        }
        at.since(*self.stalled_since.get_or_insert(at)) > MAX_STALL
    }

    pub(super) fn record_attempt_start(&mut self) {
        self.attempts_in_flight += 1;
    }

    pub(super) fn record_attempt_end(&mut self) {
        self.attempts_in_flight = self.attempts_in_flight.saturating_sub(1);
    }

    pub(super) fn remove_backend(&mut self, backend: BackendId, now: Ticks) {
        let gone = BackendInfo {
            backend,
            status: BackendStatus::Gone,
            capacity: 1.0,
            local: false,
            started_at: None,
        };
        self.decide(now, Event::BackendChanges(vec![gone]));
    }
}

/// The classes of all routes, with at least one of each kind.
fn request_classes(tables: Option<&RoutingTables>) -> Vec<RequestClass> {
    let known = tables.map(RoutingTables::request_classes).unwrap_or_default();
    let mut classes: Vec<_> = known.into_iter().collect();
    for kind in [RouteKind::ReadOnly, RouteKind::Mutating] {
        if !classes.iter().any(|class| class.kind == kind) {
            classes.push(RequestClass {
                target: DEFAULT_LATENCY_TARGET,
                kind,
                precedence: DEFAULT_PRECEDENCE,
            });
        }
    }
    classes
}

/// The class that is most like the route; one of another kind is never chosen, as its requests are retried by other
/// rules.
fn nearest_class(classes: &[RequestClass], rule: &RouteRule) -> ProductId {
    let same_kind = classes.iter().enumerate().filter(|(_, class)| class.kind == rule.kind);
    let distance = |(_, class): &(usize, &RequestClass)| {
        (class.target.abs_diff(rule.target), class.precedence.abs_diff(rule.precedence))
    };
    ProductId(same_kind.min_by_key(distance).map_or(0, |(position, _)| position))
}

/// What a balancer starts from: requests are worth more the lower their precedence. Quotas, peers and quota counters are
/// not its business, as requests are admitted before they come to it.
fn balancer_config(classes: &[RequestClass], warm_up: Duration, seed: u64, now: Ticks) -> BalancerConfig {
    let no_quota = Plan {
        rate: 0.0,
        burst: 0.0,
        value_factor: 1.0,
        excess_value: 0.0,
        excess_cost: 0.0,
        hard_limit_rate: 0.0,
        hard_limit_burst: 0.0,
    };
    BalancerConfig {
        seed,
        started_at: now,
        gateway: GatewayId(0),
        gateway_count: 1,
        products: classes.iter().map(product).collect(),
        plans: vec![no_quota],
        allowed: AllowedActions {
            cancel: true,
            hedging: true,
            retry_after: true,
            max_retry_after: Ticks::SECOND,
            max_attempts: MAX_ATTEMPTS_IN_POOL,
        },
        warm_up: WarmUp { initial_capacity: INITIAL_CAPACITY, ramp_time: to_ticks(warm_up) },
        idle_timeout: IDLE_TIMEOUT,
        meter_period: Ticks(0),
        counter_timeout: None,
        peer_messages: false,
        max_cost: 1.0,
    }
}

fn product(class: &RequestClass) -> Product {
    Product {
        sla_time: to_ticks(class.target.mul_f64(LATENCY_TARGET_FACTOR)),
        value: 1.0 / (1.0 + class.precedence as f64),
        idempotency: match class.kind {
            RouteKind::ReadOnly => Idempotency::Idempotent,
            RouteKind::Mutating => Idempotency::NonIdempotent,
        },
    }
}
