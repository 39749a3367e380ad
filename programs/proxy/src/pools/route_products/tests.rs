//! The life of a route's product: while its requests are open, after its route has changed, and once it is unused.

use super::*;
use crate::pools::backend_pool::balancer_config;
use crate::routing::WeightedService;
use std::time::Duration;
use vanewharf_policy::interface::{Arrival, BackendId, BackendInfo, BackendStatus, Event, QuotaClaim, TxnId};

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

/// Returns a pool's balancer, which has no products, with one backend.
fn balancer() -> Balancer {
    let mut balancer = Balancer::new(balancer_config(Duration::ZERO, 1, Ticks(0)));
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
