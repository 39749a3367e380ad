//! Settings of products, plans, customers and their clients.

use crate::experiment::Span;
use serde::Deserialize;

/// A kind of request.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Product {
    /// Name in reports and trace mappings.
    pub name: String,
    /// Weight with which generated requests are of this product.
    pub share: f64,
    /// Mean service time on one core at speed 1, without queueing.
    pub work_ms: f64,
    /// Coefficient of variation of the service time.
    #[serde(default = "Product::spread")]
    pub spread: f64,
    /// Latency objective. Responses with a higher latency count as late.
    pub sla_ms: f64,
    /// Upper limit of the client's deadline.
    pub expiry_ms: f64,
    /// Value of one unit that is answered within the SLA.
    #[serde(default = "Product::value")]
    pub value: f64,
    /// Fraction of the value that a late response still earns.
    #[serde(default)]
    pub late_worth: f64,
    /// Whether backends may execute a request more than once.
    pub repeat: Repeat,
    /// How long backends discard duplicates of a `referenced` request.
    #[serde(default)]
    pub window_ms: f64,
    /// Quota units that a request costs.
    #[serde(default = "Product::units")]
    pub units: f64,
    /// Maximum relative error of the units that a request declares. Where it is above 0, the response reports the actual
    /// units.
    #[serde(default)]
    pub guess: f64,
}

impl Product {
    fn spread() -> f64 {
        0.8
    }
    fn value() -> f64 {
        1.0
    }
    fn units() -> f64 {
        1.0
    }
}

/// Whether backends may execute requests of a product more than once.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Repeat {
    /// The request is idempotent.
    InquiryLike,
    /// Backends discard duplicates within a time window.
    Referenced,
    /// The request must be executed at most once.
    OnceOnly,
}

/// A quota plan that customers subscribe to.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Name in reports and trace mappings.
    pub name: String,
    /// Weight of this plan in the generated load within quotas.
    pub share: f64,
    /// Quota of each customer, in units per second.
    pub rate: f64,
    /// Burst of each customer's quota, in units.
    pub burst: f64,
    /// Factor by which the products' values are multiplied.
    #[serde(default = "Plan::one")]
    pub value_factor: f64,
    /// Fraction of its value that a request over the quota earns.
    #[serde(default)]
    pub beyond_worth: f64,
    /// Fraction of its value that a request over the quota costs.
    #[serde(default = "Plan::one")]
    pub beyond_cost: f64,
    /// Hard limit, as a multiple of both rate and burst. 0 means that there is none.
    #[serde(default)]
    pub ceiling: f64,
    /// Size of a customer's gateway subset, as a fraction of all gateways.
    #[serde(default = "Plan::width")]
    pub width: Span,
}

impl Plan {
    fn one() -> f64 {
        1.0
    }
    fn width() -> Span {
        Span::Two([0.2, 0.4])
    }
}

/// Fractions of the customers by demand profile, and the demand of each profile as a multiple of the quota's rate.
/// Customers of no other profile are calm.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Customers {
    /// Demand of calm customers.
    pub calm: Span,
    /// Fraction of the customers that use nearly all of their quota.
    pub full: f64,
    /// Fraction of the customers whose demand exceeds their quota.
    pub heavy: f64,
    /// Demand of heavy customers.
    pub heavy_x: Span,
    /// Fraction of the customers that are calm except for spikes.
    pub spiky: f64,
    /// Demand of spiky customers during a spike.
    pub spike_x: Span,
    /// Duration of a spike.
    pub spike_s: Span,
    /// Time between the starts of two spikes.
    pub spike_every_s: Span,
    /// Coefficient of variation of a customer's traffic over the gateways of its subset. 0 distributes it evenly.
    pub skew: f64,
    /// Time after which a customer's distribution over its gateways is drawn again.
    pub shift_s: Span,
}

impl Default for Customers {
    fn default() -> Self {
        Customers {
            calm: Span::Two([0.2, 0.4]),
            full: 0.2,
            heavy: 0.1,
            heavy_x: Span::Two([2.0, 5.0]),
            spiky: 0.15,
            spike_x: Span::Two([2.0, 6.0]),
            spike_s: Span::Two([0.5, 4.0]),
            spike_every_s: Span::Two([10.0, 20.0]),
            skew: 0.6,
            shift_s: Span::Two([6.0, 20.0]),
        }
    }
}

/// Offered load.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Demand within quotas, as a fraction of the capacity of all backends after warm-up.
    pub of_capacity: f64,
    /// How the load changes over the run.
    #[serde(default)]
    pub shape: Shape,
    /// Amplitude of the change, as a fraction of the mean load.
    #[serde(default)]
    pub swing: f64,
}

/// How the load changes over a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Shape {
    /// The load is constant.
    #[default]
    Steady,
    /// The load rises linearly.
    Ramp,
    /// The load follows three periods of a sine.
    Wave,
}

/// Client behaviour.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Clients {
    /// Maximum number of retries.
    pub retries: u32,
    /// Backoff before the first retry. It doubles with each further retry.
    pub backoff_ms: Span,
    /// Fraction of the clients that honour a retry-after.
    pub honour: f64,
    /// Client deadline, as a fraction of the product's expiry.
    pub stays: Span,
    /// Whether clients mark retries as such.
    pub marks_retry: bool,
    /// How long clients are still routed to a gateway that has crashed.
    pub front_late_s: f64,
}

impl Default for Clients {
    fn default() -> Self {
        Clients {
            retries: 1,
            backoff_ms: Span::Two([60.0, 300.0]),
            honour: 0.7,
            stays: Span::Two([0.5, 1.0]),
            marks_retry: true,
            front_late_s: 2.0,
        }
    }
}
