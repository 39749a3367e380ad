//! Settings of the score, of sweeps, and of the trace that replaces generated arrivals.

use serde::Deserialize;
use vanewharf_traces::Mapping;

/// Prices that are deducted from the value of a run, each multiplied by the rate of what it is charged for.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Prices {
    /// Price of attempts to another zone, per first try.
    pub cross_place: f64,
    /// Price of backend work whose response no client received, as a fraction of the offered work.
    pub waste: f64,
    /// Price of new connections, per first try.
    pub handshake: f64,
    /// Price of calls to the shared counter, per first try.
    pub counter: f64,
    /// Price of messages between gateways, per first try.
    pub word: f64,
    /// Price of requests that failed after their SLA time, as a fraction of the offered value.
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

/// Weights of the served fractions in the value of a run.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Weights {
    /// Weight of the complete run.
    pub whole: f64,
    /// Weight of the worst ten seconds.
    pub worst_window: f64,
    /// Weight of the worst product.
    pub worst_product: f64,
    /// Weight of the worst plan.
    pub worst_plan: f64,
}

impl Default for Weights {
    fn default() -> Self {
        Weights { whole: 0.5, worst_window: 0.25, worst_product: 0.1, worst_plan: 0.15 }
    }
}

/// A key of the experiment and the values that it takes in a sweep.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sweep {
    /// Path of the key, separated by dots. Items of arrays are addressed by their index.
    pub key: String,
    /// Values, with at least one run for each.
    pub values: Vec<toml::Value>,
}

/// A trace whose arrivals replace generated ones.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trace {
    /// Path of the trace, relative to the directory of the experiment's file.
    pub file: String,
    /// Mapping of the trace's columns.
    pub mapping: Mapping,
}
