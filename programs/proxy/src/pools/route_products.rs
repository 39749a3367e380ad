//! The products of a pool's balancer. Each route whose requests reach the pool has a product of its own, so that a request
//! is judged only by the latencies of its own route.
//!
//! A product is added with the first request of its route and never changes while one of its requests is open: whether a
//! request may be sent again depends on it. If the route's kind, target or precedence changes, its next request gets another
//! product. Products that have not been used for [`PRODUCT_RETENTION`] are replaced, which bounds their number.

use crate::routing::{RequestClass, RouteRule};
use crate::ticks::to_ticks;
use std::collections::BTreeMap;
use std::rc::Rc;
use vanewharf_config::configuration::RouteKind;
use vanewharf_policy::decide::Balancer;
use vanewharf_policy::interface::{Idempotency, Product, ProductId, Ticks};

/// How long (60 s) a product is kept after the last request of its route.
const PRODUCT_RETENTION: Ticks = Ticks(600_000);
/// The ratio of the balancer's latency target to the route's. The balancer expects answers within a third of
/// its target, which is right for targets of many times the usual latency. Targets of routes are only about
/// three times the usual latency.
const LATENCY_TARGET_FACTOR: f64 = 2.0;

/// The route that a product is used for.
struct ProductUse {
    route: Rc<str>,
    class: RequestClass,
    last_used: Ticks,
}

/// The products of a balancer by route.
#[derive(Default)]
pub(super) struct RouteProducts {
    by_route: BTreeMap<Rc<str>, ProductId>,
    /// The use of each product, indexed by [`ProductId`].
    uses: Vec<ProductUse>,
}

impl RouteProducts {
    /// Returns the product for a request of this route, which is added to the balancer if there is none.
    pub(super) fn product_of(&mut self, rule: &RouteRule, balancer: &mut Balancer, now: Ticks) -> ProductId {
        let class = rule.request_class();
        if let Some(&product) = self.by_route.get(&rule.name)
            && self.uses[product.0].class == class
        {
            self.uses[product.0].last_used = now;
            return product;
        }
        let assigned = ProductUse { route: Rc::clone(&rule.name), class, last_used: now };
        let product = match self.find_unused(balancer, now) {
            Some(product) => {
                self.replace(product, assigned);
                product
            }
            None => {
                self.uses.push(assigned);
                ProductId(self.uses.len() - 1)
            }
        };
        self.by_route.insert(Rc::clone(&rule.name), product);
        balancer.set_product(product, product_of_class(class));
        product
    }

    /// Returns a product that may be replaced, if there is one.
    fn find_unused(&self, balancer: &Balancer, now: Ticks) -> Option<ProductId> {
        let is_unused = |(index, used): &(usize, &ProductUse)| {
            now - used.last_used >= PRODUCT_RETENTION && !balancer.uses_product(ProductId(*index))
        };
        self.uses.iter().enumerate().find(is_unused).map(|(index, _)| ProductId(index))
    }

    fn replace(&mut self, product: ProductId, assigned: ProductUse) {
        let replaced = std::mem::replace(&mut self.uses[product.0], assigned);
        // The route may have another product by now, because it has changed.
        if self.by_route.get(&replaced.route) == Some(&product) {
            self.by_route.remove(&replaced.route);
        }
    }
}

/// Returns the product of a class. The value of a request decreases with its precedence number.
fn product_of_class(class: RequestClass) -> Product {
    Product {
        sla_time: to_ticks(class.latency_target.mul_f64(LATENCY_TARGET_FACTOR)),
        value: 1.0 / (1.0 + class.precedence as f64),
        idempotency: match class.kind {
            RouteKind::ReadOnly => Idempotency::Idempotent,
            RouteKind::Mutating => Idempotency::NonIdempotent,
        },
    }
}

#[cfg(test)]
mod tests;
