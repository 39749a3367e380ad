//! One run of an experiment: the project's decisions beside the two baselines, on the same clients.

use crate::arrivals::{Arrivals, generated};
use crate::experiment::Experiment;
use crate::policy::{BalancerPolicy, Omniscient, RoundRobin};
use crate::score::RunRecord;
use crate::simulation::Simulation;

/// Where top and floor lie closer than that, it is the divisor: a run in which nothing can be won or lost.
const MIN_RANGE: f64 = 0.05;

/// What came of a run.
pub struct Outcome {
    /// The seed of all draws.
    pub seed: u64,
    /// The project's own decisions.
    pub balancer: RunRecord,
    /// The plainest policy.
    pub round_robin: RunRecord,
    /// The policy that sees what no gateway can.
    pub omniscient: RunRecord,
    /// (G - floor) / (top - floor); 0 where a rule was broken.
    pub score: f64,
    /// What the plainest policy is worth, or 0 if that is more.
    pub floor: f64,
    /// What the omniscient policy is worth.
    pub top: f64,
    /// Requests a second of this mix that all warmed-up backends can do.
    pub txns_at_capacity: f64,
    /// How many customers there were.
    pub customers: usize,
}

/// Runs an experiment with clients generated from the seed.
pub fn run(experiment: &Experiment, seed: u64) -> Outcome {
    run_with(experiment, &generated(experiment, seed), seed)
}

/// Runs an experiment with these clients.
pub fn run_with(experiment: &Experiment, arrivals: &Arrivals, seed: u64) -> Outcome {
    let balancer = Simulation::new(experiment, arrivals, seed, BalancerPolicy::default()).run();
    let round_robin = Simulation::new(experiment, arrivals, seed, RoundRobin::default()).run();
    let omniscient = Simulation::new(experiment, arrivals, seed, Omniscient::default()).run();
    // Admitting nobody is worth nothing and costs nothing.
    let floor = if round_robin.violations.is_empty() { round_robin.g.max(0.0) } else { 0.0 };
    let top = omniscient.g.max(floor);
    let part = (balancer.g - floor) / (top - floor).max(MIN_RANGE);
    let score = if balancer.violations.is_empty() { part } else { 0.0 };
    let (txns_at_capacity, customers) = (arrivals.txns_at_capacity, arrivals.customers.len());
    Outcome { seed, balancer, round_robin, omniscient, score, floor, top, txns_at_capacity, customers }
}
