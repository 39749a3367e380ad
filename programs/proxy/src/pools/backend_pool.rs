//! A pool: the balancer that chooses among the backends of a service in one region.

use crate::routing::{RequestClass, RouteRule, RoutingTables};
use crate::ticks::to_ticks;
use rand::Rng;
use rand::rngs::SmallRng;
use std::time::Duration;
use vanewharf_clock::Timestamp;
use vanewharf_config::configuration::RouteKind;
use vanewharf_policy::decide::Balancer;
use vanewharf_policy::interface::{
    Action, AllowedActions, Arrival, BackendId, BackendInfo, BackendStatus, BalancerConfig, Event, GatewayId,
    Idempotency, Plan, Product, ProductId, QuotaClaim, Ticks, TxnId, WarmUp,
};

/// The ratio of the balancer's latency target to the route's. The balancer expects answers within a third of
/// its target, which is right for targets of many times the usual latency. Targets of routes are only about
/// three times the usual latency.
const LATENCY_TARGET_FACTOR: f64 = 2.0;
/// The maximum time for which a balancer may reject every request while it has no attempt in flight.
pub(super) const MAX_STALL: Duration = Duration::from_millis(300);
/// The latency target of the class for a kind of request that no route has.
const DEFAULT_LATENCY_TARGET: Duration = Duration::from_millis(500);
/// The precedence of the class for a kind of request that no route has.
const DEFAULT_PRECEDENCE: u64 = 1;
/// The fraction of its full capacity with which a backend starts.
const INITIAL_CAPACITY_FRACTION: f64 = 0.2;
/// The maximum number of attempts per request within one pool.
const MAX_ATTEMPTS_IN_POOL: usize = 4;
/// The time (2 s) for which the balancer expects an idle connection to a backend to stay open.
const IDLE_TIMEOUT: Ticks = Ticks(20_000);

/// The pool of one service in one region.
pub(super) struct BackendPool {
    balancer: Balancer,
    /// The classes that the balancer distinguishes. Their indices are the balancer's product ids.
    classes: Vec<RequestClass>,
    attempts_in_flight: usize,
    /// The time from which the balancer has rejected every request while it had no attempt in flight.
    pub(super) stalled_since: Option<Timestamp>,
}

impl BackendPool {
    /// Creates a pool without backends. Its request classes are those of the current routing tables and do not change
    /// afterwards.
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

    /// Passes an event to the balancer and returns its decision.
    pub(super) fn decide(&mut self, now: Ticks, event: Event) -> Vec<Action> {
        self.balancer.decide(now, vec![event])
    }

    /// Lets the balancer choose a backend for a request.
    pub(super) fn offer(&mut self, txn: TxnId, rule: &RouteRule, deadline: Ticks, now: Ticks) -> Vec<Action> {
        let product = nearest_class(&self.classes, rule);
        let claim = QuotaClaim { cost: 1.0, subset_size: 1, ..QuotaClaim::default() };
        self.decide(now, Event::RequestArrived(Arrival { txn, product, claim, deadline }))
    }

    /// Records a decision on a new request and returns whether the balancer has stalled. A balancer that has learnt
    /// that answers are too slow rejects every request. If it also has no attempt in flight, it cannot learn that
    /// answers have become faster.
    pub(super) fn detect_stall(&mut self, decision: &[Action], at: Timestamp) -> bool {
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
        let removed = BackendInfo {
            backend,
            status: BackendStatus::Gone,
            capacity: 1.0,
            local: false,
            started_at: None,
        };
        self.decide(now, Event::BackendChanges(vec![removed]));
    }
}

/// Returns the classes of all routes, and a default class for each kind of request that no route has.
fn request_classes(tables: Option<&RoutingTables>) -> Vec<RequestClass> {
    let configured = tables.map(RoutingTables::request_classes).unwrap_or_default();
    let mut classes: Vec<_> = configured.into_iter().collect();
    for kind in [RouteKind::ReadOnly, RouteKind::Mutating] {
        if !classes.iter().any(|class| class.kind == kind) {
            classes.push(RequestClass {
                latency_target: DEFAULT_LATENCY_TARGET,
                kind,
                precedence: DEFAULT_PRECEDENCE,
            });
        }
    }
    classes
}

/// Returns the class that is closest to the route's. A class of another kind is never chosen, because the rules for
/// retries differ between read-only and mutating requests.
fn nearest_class(classes: &[RequestClass], rule: &RouteRule) -> ProductId {
    let same_kind = classes.iter().enumerate().filter(|(_, class)| class.kind == rule.kind);
    let distance = |(_, class): &(usize, &RequestClass)| {
        (class.latency_target.abs_diff(rule.latency_target), class.precedence.abs_diff(rule.precedence))
    };
    ProductId(same_kind.min_by_key(distance).map_or(0, |(position, _)| position))
}

/// Returns the configuration of a pool's balancer. The value of a request decreases with its precedence number. Quotas
/// and peers are not used, because requests are admitted before a balancer receives them.
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
        warm_up: WarmUp { initial_capacity: INITIAL_CAPACITY_FRACTION, ramp_time: to_ticks(warm_up) },
        idle_timeout: IDLE_TIMEOUT,
        meter_period: Ticks(0),
        counter_timeout: None,
        peer_messages: false,
        max_cost: 1.0,
    }
}

fn product(class: &RequestClass) -> Product {
    Product {
        sla_time: to_ticks(class.latency_target.mul_f64(LATENCY_TARGET_FACTOR)),
        value: 1.0 / (1.0 + class.precedence as f64),
        idempotency: match class.kind {
            RouteKind::ReadOnly => Idempotency::Idempotent,
            RouteKind::Mutating => Idempotency::NonIdempotent,
        },
    }
}
