//! How a run is judged, what is swept, and the trace that stands in for generated arrivals.

use serde::Deserialize;
use vanewharf_traces::Mapping;

/// What is taken off the result, each times its rate.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Prices {
    /// Of attempts to another zone.
    pub cross_place: f64,
    /// Of work that nobody had the answer of.
    pub waste: f64,
    /// Of new connections.
    pub handshake: f64,
    /// Of calls to the shared counter.
    pub counter: f64,
    /// Of messages between gateways.
    pub word: f64,
    /// Of value that failed past its SLA time.
    pub late_fail: f64,
}

impl Default for Prices {
    fn default() -> Self {
        Prices {
            cross_place: 0.01,
            waste: 0.03,
            handshake: 0.05,
            counter: 0.005,
            word: 0.003,
            late_fail: 0.03,
        }
    }
}

/// How the result is mixed.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Weights {
    /// Of the complete run.
    pub whole: f64,
    /// Of the worst ten seconds.
    pub worst_window: f64,
    /// Of the worst product.
    pub worst_product: f64,
    /// Of the worst plan.
    pub worst_plan: f64,
}

impl Default for Weights {
    fn default() -> Self {
        Weights { whole: 0.5, worst_window: 0.25, worst_product: 0.1, worst_plan: 0.15 }
    }
}

/// A key and the values that it takes in a sweep.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sweep {
    /// The key; its parts are names, or numbers in lists.
    pub key: String,
    /// The values, one run each.
    pub values: Vec<toml::Value>,
}

/// Arrivals from a file in place of generated ones.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trace {
    /// Its path, beside the experiment's file.
    pub file: String,
    /// What its columns say.
    pub mapping: Mapping,
}
