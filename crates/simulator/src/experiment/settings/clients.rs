//! Products, plans, customers and their clients.

use crate::experiment::Span;
use serde::Deserialize;

/// A kind of request.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Product {
    /// Its name.
    pub name: String,
    /// Its part of the requests.
    pub share: f64,
    /// Work on one core at speed 1, without waiting.
    pub work_ms: f64,
    /// The work's coefficient of variation.
    #[serde(default = "Product::spread")]
    pub spread: f64,
    /// An answer later than this is late.
    pub sla_ms: f64,
    /// How long clients wait at most.
    pub expiry_ms: f64,
    /// What one unit answered in time is worth.
    #[serde(default = "Product::value")]
    pub value: f64,
    /// The part of that which a late answer is worth.
    #[serde(default)]
    pub late_worth: f64,
    /// Whether it may be run twice.
    pub repeat: Repeat,
    /// How long backends drop duplicates of a referenced request.
    #[serde(default)]
    pub window_ms: f64,
    /// Units of quota that a request takes.
    #[serde(default = "Product::units")]
    pub units: f64,
    /// The request names an estimate that is off by up to this part; the true units come with the answer.
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

/// Whether requests of a product may be run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Repeat {
    /// Any number of times.
    InquiryLike,
    /// Backends drop duplicates for a while.
    Referenced,
    /// Never.
    OnceOnly,
}

/// A plan of customers' quotas.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Its name.
    pub name: String,
    /// Its part of the load inside quotas.
    pub share: f64,
    /// Units a second, for each customer.
    pub rate: f64,
    /// Units that may be used at once, for each customer.
    pub burst: f64,
    /// By what products' values are multiplied.
    #[serde(default = "Plan::one")]
    pub value_factor: f64,
    /// The part of its value that a request beyond the quota is worth.
    #[serde(default)]
    pub beyond_worth: f64,
    /// The part of its value that a request beyond the quota costs.
    #[serde(default = "Plan::one")]
    pub beyond_cost: f64,
    /// The hard limit, as a multiple of rate and burst; 0 is none.
    #[serde(default)]
    pub ceiling: f64,
    /// The part of the gateways that a customer comes through.
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

/// Parts of the customers by kind, and what they ask as a multiple of their rate. The rest are calm.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Customers {
    /// What calm customers ask.
    pub calm: Span,
    /// The part of the customers that ask for nearly all of their quota.
    pub full: f64,
    /// The part that asks for more.
    pub heavy: f64,
    /// How much these ask.
    pub heavy_x: Span,
    /// The part that is calm with spikes.
    pub spiky: f64,
    /// How much these ask in a spike.
    pub spike_x: Span,
    /// How long a spike lasts.
    pub spike_s: Span,
    /// How far spikes are apart.
    pub spike_every_s: Span,
    /// How unevenly a customer comes through its gateways; 0 is evenly.
    pub skew: f64,
    /// How long that stays the same.
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

/// How much is asked.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// What is asked inside quotas, as a part of what all warmed-up backends can do.
    pub of_capacity: f64,
    /// How it changes over the run.
    #[serde(default)]
    pub shape: Shape,
    /// By how much.
    #[serde(default)]
    pub swing: f64,
}

/// How the load changes over a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Shape {
    /// Not at all.
    #[default]
    Steady,
    /// It rises evenly.
    Ramp,
    /// Three waves.
    Wave,
}

/// How clients behave.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Clients {
    /// Retries at most.
    pub retries: u32,
    /// The wait before the first retry, doubled each time.
    pub backoff_ms: Span,
    /// The part that heeds a retry-after.
    pub honour: f64,
    /// A try is given up after this part of the product's expiry.
    pub stays: Span,
    /// Whether retries are marked as such.
    pub marks_retry: bool,
    /// For how long clients go on coming to a gateway that has died.
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
