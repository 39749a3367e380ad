//! The life of a route's product: while its requests are open, after its route has changed, and once it is unused.

use super::*;
use crate::routing::WeightedService;
use std::time::Duration;
use vanewharf_policy::interface::{
    AllowedActions, Arrival, BackendId, BackendInfo, BackendStatus, BalancerConfig, Event, GatewayId, Plan,
    QuotaClaim, TxnId, WarmUp,
};

fn rule(name: &str, kind: RouteKind) -> RouteRule {
    RouteRule {
        name: Rc::from(name),
        host: Rc::from("h"),
        kind,
        deadline: Duration::from_secs(2),
        latency_target: Duration::from_millis(500),
        precedence: 1,
        services: vec![WeightedService { name: Rc::from("s"), weight: 1.0 }],
        max_attempts: 2,
        public: true,
        home_regions: Vec::new(),
    }
}

/// Returns a balancer without products that has one backend.
fn balancer() -> Balancer {
    let plan = Plan {
        rate: 0.0,
        burst: 0.0,
        value_factor: 1.0,
        excess_value: 0.0,
        excess_cost: 0.0,
        hard_limit_rate: 0.0,
        hard_limit_burst: 0.0,
    };
    let mut balancer = Balancer::new(BalancerConfig {
        seed: 1,
        started_at: Ticks(0),
        gateway: GatewayId(0),
        gateway_count: 1,
        products: Vec::new(),
        plans: vec![plan],
        allowed: AllowedActions {
            cancel: true,
            hedging: true,
            retry_after: true,
            max_retry_after: Ticks::SECOND,
            max_attempts: 2,
        },
        warm_up: WarmUp { initial_capacity: 1.0, ramp_time: Ticks(0) },
        idle_timeout: Ticks::SECOND,
        meter_period: Ticks(0),
        counter_timeout: None,
        peer_messages: false,
        max_cost: 1.0,
    });
    let backend = BackendInfo {
        backend: BackendId(1),
        status: BackendStatus::Ready,
        capacity: 1.0,
        local: true,
        started_at: None,
    };
    balancer.decide(Ticks(0), vec![Event::BackendList(vec![backend])]);
    balancer
}

/// Guards against a mutating request that is sent twice because its route has become read-only, or because its product is
/// used for another route.
#[test]
fn an_open_request_keeps_its_product_and_unused_products_are_replaced() {
    let (mut products, mut balancer) = (RouteProducts::default(), balancer());
    let write = products.product_of(&rule("a", RouteKind::Mutating), &mut balancer, Ticks(0));
    let claim = QuotaClaim { cost: 1.0, subset_size: 1, ..QuotaClaim::default() };
    let arrival = Arrival { txn: TxnId(1), product: write, claim, deadline: Ticks(i64::MAX / 2) };
    balancer.decide(Ticks(0), vec![Event::RequestArrived(arrival)]);
    let read = products.product_of(&rule("a", RouteKind::ReadOnly), &mut balancer, Ticks(1));
    assert_ne!(write, read, "the open request is mutating");
    assert_eq!(products.product_of(&rule("a", RouteKind::ReadOnly), &mut balancer, Ticks(2)), read);
    let late = Ticks(2) + PRODUCT_RETENTION;
    let other = products.product_of(&rule("b", RouteKind::ReadOnly), &mut balancer, late);
    assert_eq!(other, read, "it has not been used for long enough, the other one has an open request");
    balancer.decide(late, vec![Event::ClientDisconnected(TxnId(1))]);
    let again = products.product_of(&rule("a", RouteKind::ReadOnly), &mut balancer, late);
    assert_ne!(again, other, "the route's former product belongs to another route now");
}

#[test]
fn the_number_of_products_is_bounded_by_the_routes_in_use() {
    let (mut products, mut balancer) = (RouteProducts::default(), balancer());
    for round in 0..20 {
        for route in 0..5 {
            let name = format!("r{round}-{route}");
            let now = Ticks(round * PRODUCT_RETENTION.0 + route);
            products.product_of(&rule(&name, RouteKind::ReadOnly), &mut balancer, now);
        }
    }
    assert!(products.uses.len() <= 10, "{} products for 5 routes at a time", products.uses.len());
    assert_eq!(products.by_route.len(), products.uses.len());
}
