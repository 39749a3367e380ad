//! Measures the cost of the control plane by the size of the fleet, per simulated second of a run without faults.

use crate::run::simulate;
use crate::topology::SimulationParameters;
use vanewharf_simulator::plots::{Line, Plot};

/// The cost of the control plane of one fleet.
#[derive(Clone, Copy, Debug)]
pub struct ControlPlaneCost {
    /// Number of proxies in the fleet.
    pub proxies: usize,
    /// Bytes that a proxy's machine sends, per second.
    pub proxy_bytes: f64,
    /// Messages that a proxy's machine sends, per second.
    pub proxy_messages: f64,
    /// Host CPU time of an agent, in milliseconds per simulated second.
    pub agent_cpu_ms: f64,
    /// Bytes that a controller sends, per second.
    pub controller_bytes: f64,
    /// Messages that a controller sends, per second.
    pub controller_messages: f64,
    /// Host CPU time of a controller, in milliseconds per simulated second.
    pub controller_cpu_ms: f64,
}

/// Measures the cost in the run that is generated from this seed.
pub fn measure_cost(parameters: SimulationParameters, seed: u64) -> ControlPlaneCost {
    let outcome = simulate(SimulationParameters { max_faults: 0, ..parameters }, seed);
    let per_second = |total: f64| total / outcome.seconds;
    ControlPlaneCost {
        proxies: parameters.proxies,
        proxy_bytes: per_second(outcome.proxy_traffic.bytes as f64),
        proxy_messages: per_second(outcome.proxy_traffic.messages as f64),
        agent_cpu_ms: per_second(outcome.agent_cpu_ms),
        controller_bytes: per_second(outcome.controller_traffic.bytes as f64),
        controller_messages: per_second(outcome.controller_traffic.messages as f64),
        controller_cpu_ms: per_second(outcome.controller_cpu_ms),
    }
}

/// Plots the cost per proxy against the size of the fleet, relative to the smallest fleet.
pub fn cost_plot(costs: &[ControlPlaneCost]) -> Plot {
    let line = |name: &str, of: fn(&ControlPlaneCost) -> f64| {
        let smallest = costs.first().map_or(1.0, of).max(1e-9);
        let points = costs.iter().map(|cost| ((cost.proxies as f64).log10(), of(cost) / smallest));
        Line { name: name.to_owned(), points: points.collect() }
    };
    Plot {
        name: "cost-per-door",
        title: "control-plane cost per proxy, relative to the smallest fleet".to_owned(),
        x_label: "number of proxies (log10)".to_owned(),
        lines: vec![
            line("bytes", |cost| cost.proxy_bytes),
            line("messages", |cost| cost.proxy_messages),
            line("agent CPU time", |cost| cost.agent_cpu_ms),
        ],
        reference_value: None,
    }
}
