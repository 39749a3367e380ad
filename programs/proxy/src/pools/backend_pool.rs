//! A pool: the balancer that chooses among the backends of a service in one region.

use super::route_products::RouteProducts;
use crate::routing::{RouteRule, RoutingTables};
use crate::ticks::to_ticks;
use rand::Rng;
use rand::rngs::SmallRng;
use std::time::Duration;
use vanewharf_clock::Timestamp;
use vanewharf_policy::decide::Balancer;
use vanewharf_policy::interface::{
    Action, AllowedActions, Arrival, BackendId, BackendInfo, BackendStatus, BalancerConfig, Event, GatewayId,
    Plan, QuotaClaim, Ticks, TxnId, WarmUp,
};

/// The maximum time for which a balancer may reject every request while it has no attempt in flight.
pub(super) const MAX_STALL: Duration = Duration::from_millis(300);
/// The fraction of its full capacity with which a backend starts.
const INITIAL_CAPACITY_FRACTION: f64 = 0.2;
/// The maximum number of attempts per request within one pool.
const MAX_ATTEMPTS_IN_POOL: usize = 4;
/// The time (2 s) for which the balancer expects an idle connection to a backend to stay open.
const IDLE_TIMEOUT: Ticks = Ticks(20_000);

/// The pool of one service in one region.
pub(super) struct BackendPool {
    balancer: Balancer,
    /// The balancer's products: one for each route that has had requests lately.
    products: RouteProducts,
    attempts_in_flight: usize,
    /// The time from which the balancer has rejected every request while it had no attempt in flight.
    pub(super) stalled_since: Option<Timestamp>,
}

impl BackendPool {
    /// Creates a pool without backends, whose warm-up is that of the current routing tables.
    pub(super) fn new(
        tables: Option<&RoutingTables>,
        service: &str,
        random: &mut SmallRng,
        now: Ticks,
    ) -> BackendPool {
        let service = tables.and_then(|tables| tables.services.get(service));
        let warm_up = service.map(|service| service.warmup).unwrap_or_default();
        let balancer = Balancer::new(balancer_config(warm_up, random.random(), now));
        BackendPool {
            balancer,
            products: RouteProducts::default(),
            attempts_in_flight: 0,
            stalled_since: None,
        }
    }

    /// Passes an event to the balancer and returns its decision.
    pub(super) fn decide(&mut self, now: Ticks, event: Event) -> Vec<Action> {
        self.balancer.decide(now, vec![event])
    }

    /// Lets the balancer choose a backend for a request.
    pub(super) fn offer(&mut self, txn: TxnId, rule: &RouteRule, deadline: Ticks, now: Ticks) -> Vec<Action> {
        let product = self.products.product_of(rule, &mut self.balancer, now);
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

/// Returns the configuration of a pool's balancer, which has no products at first. Quotas and peers are not used, because
/// requests are admitted before a balancer receives them.
pub(super) fn balancer_config(warm_up: Duration, seed: u64, now: Ticks) -> BalancerConfig {
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
        products: Vec::new(),
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
