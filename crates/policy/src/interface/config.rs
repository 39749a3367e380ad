//! The configuration of a gateway's policy. Rates are in units of quota per second.

use super::{GatewayId, Ticks};

/// Whether a request for a product may be sent to backends more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// A request may be sent any number of times.
    Idempotent,
    /// The backends together drop a duplicate that arrives within `window` of the first attempt.
    Deduplicated {
        /// How long the backends remember a request.
        window: Ticks,
    },
    /// A request must not be sent again once an attempt may have run.
    NonIdempotent,
}

/// A type of request.
#[derive(Clone, Debug, PartialEq)]
pub struct Product {
    /// The response time of the SLA: a later answer earns less or nothing.
    pub sla_time: Ticks,
    /// The earnings of one answer within the SLA time.
    pub value: f64,
    /// Whether its requests may be retried.
    pub idempotency: Idempotency,
}

/// The quota of one plan. Each customer of the plan has this quota at all gateways together. A rate of zero means no limit.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Refill rate of the quota, in units per second.
    pub rate: f64,
    /// The most units that the quota holds.
    pub burst: f64,
    /// The factor by which the values of products are multiplied for this plan.
    pub value_factor: f64,
    /// The fraction of its value that a request beyond the quota earns.
    pub excess_value: f64,
    /// The fraction of its value that a request beyond the quota costs.
    pub excess_cost: f64,
    /// Refill rate of the hard limit, in units per second.
    pub hard_limit_rate: f64,
    /// The most units that the hard limit holds.
    pub hard_limit_burst: f64,
}

/// How the capacity of a backend rises after its start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUp {
    /// The fraction of its capacity that a backend has when it starts.
    pub initial_capacity: f64,
    /// The time in which the capacity rises linearly to its full value.
    pub ramp_time: Ticks,
}

impl WarmUp {
    /// Returns the fraction of its capacity that a backend has `age` seconds after its start.
    pub fn capacity_after(self, age: f64) -> f64 {
        let WarmUp { initial_capacity, ramp_time } = self;
        (initial_capacity + (1.0 - initial_capacity) * age / ramp_time.seconds().max(1e-4)).min(1.0)
    }
}

/// The actions that a deployment allows its gateways.
#[derive(Clone, Debug, PartialEq)]
pub struct AllowedActions {
    /// Whether a gateway may cancel an attempt whose request has ended.
    pub cancel: bool,
    /// Whether a gateway may send another attempt while one is in flight.
    pub hedging: bool,
    /// Whether a gateway may tell rejected clients when to retry.
    pub retry_after: bool,
    /// The longest retry time that a rejected client may be told.
    pub max_retry_after: Ticks,
    /// The most attempts for one request.
    pub max_attempts: usize,
}

/// The configuration of a gateway's policy. While the gateway runs, only its products may change.
#[derive(Clone, Debug, PartialEq)]
pub struct BalancerConfig {
    /// The seed of the random number generator.
    pub seed: u64,
    /// The time at which the gateway started; no event may be earlier.
    pub started_at: Ticks,
    /// This gateway.
    pub gateway: GatewayId,
    /// The number of gateways.
    pub gateway_count: u32,
    /// The products, indexed by [`ProductId`](super::ProductId).
    pub products: Vec<Product>,
    /// The plans, indexed by [`PlanId`](super::PlanId).
    pub plans: Vec<Plan>,
    /// The actions that the deployment allows.
    pub allowed: AllowedActions,
    /// How backends warm up.
    pub warm_up: WarmUp,
    /// How long this gateway keeps an idle connection to a backend.
    pub idle_timeout: Ticks,
    /// The time between readings of a customer's metered usage; zero if responses carry no readings.
    pub meter_period: Ticks,
    /// The timeout of a call to the shared quota counter; `None` if there is no counter.
    pub counter_timeout: Option<Ticks>,
    /// Whether gateways may send each other messages.
    pub peer_messages: bool,
    /// The highest cost of one request, in units.
    pub max_cost: f64,
}
