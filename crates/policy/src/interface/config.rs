//! What a gateway's decisions are configured with. Rates are in units of quota a second.

use super::{GatewayId, Ticks};

/// How far requests for a product may be sent to backends more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Any number of times.
    Idempotent,
    /// Backends drop a duplicate that reaches any of them within `window` of the first.
    Deduplicated {
        /// How long the backends remember a request.
        window: Ticks,
    },
    /// Never again once an attempt may have run.
    NonIdempotent,
}

/// A kind of request.
#[derive(Clone, Debug, PartialEq)]
pub struct Product {
    /// An answer later than this earns less or nothing.
    pub sla_time: Ticks,
    /// What one answer in time earns.
    pub value: f64,
    /// Whether its requests may be retried.
    pub idempotency: Idempotency,
}

/// One plan's quota; each of its customers has it over all gateways together. Zero means that there is no such limit.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Units a second that the quota refills.
    pub rate: f64,
    /// Units that the quota holds at most.
    pub burst: f64,
    /// By what a product's value is multiplied.
    pub value_factor: f64,
    /// The part of its value that a request beyond the quota still earns.
    pub excess_value: f64,
    /// The part of its value that a request beyond the quota costs.
    pub excess_cost: f64,
    /// Units a second that the hard limit refills.
    pub hard_limit_rate: f64,
    /// Units that the hard limit holds at most.
    pub hard_limit_burst: f64,
}

/// How much a backend can carry after it started.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUp {
    /// The part of its capacity that it has at once.
    pub initial_capacity: f64,
    /// How long the capacity takes to rise, evenly, to all of it.
    pub ramp_time: Ticks,
}

impl WarmUp {
    /// The part of its capacity that a backend has so many seconds after its start.
    pub fn capacity_after(self, age: f64) -> f64 {
        let WarmUp { initial_capacity, ramp_time } = self;
        (initial_capacity + (1.0 - initial_capacity) * age / ramp_time.seconds().max(1e-4)).min(1.0)
    }
}

/// What a deployment lets gateways do.
#[derive(Clone, Debug, PartialEq)]
pub struct AllowedActions {
    /// Cancel attempts whose answer nobody waits for.
    pub cancel: bool,
    /// Send a further attempt while one is still in flight.
    pub hedging: bool,
    /// Tell rejected clients when to come back.
    pub retry_after: bool,
    /// The longest time that a rejected client may be told.
    pub max_retry_after: Ticks,
    /// Attempts for one request at most.
    pub max_attempts: usize,
}

/// What a gateway's decisions start from; it does not change while they run.
#[derive(Clone, Debug, PartialEq)]
pub struct BalancerConfig {
    /// The seed of all random draws.
    pub seed: u64,
    /// The start's time; no event may be earlier.
    pub started_at: Ticks,
    /// This gateway among all.
    pub gateway: GatewayId,
    /// How many gateways there are.
    pub gateway_count: u32,
    /// The kinds of request, by [`ProductId`](super::ProductId).
    pub products: Vec<Product>,
    /// The plans, by [`PlanId`](super::PlanId).
    pub plans: Vec<Plan>,
    /// What the deployment lets gateways do.
    pub allowed: AllowedActions,
    /// How backends warm up.
    pub warm_up: WarmUp,
    /// How long this gateway keeps an idle connection to a backend.
    pub idle_timeout: Ticks,
    /// The time between readings of a customer's metered usage; zero where responses carry none.
    pub meter_period: Ticks,
    /// How long a call to the shared quota counter may go unanswered; none where there is no counter.
    pub counter_timeout: Option<Ticks>,
    /// Whether gateways may send each other messages.
    pub peer_messages: bool,
    /// What one request costs at most, in units.
    pub max_cost: f64,
}
