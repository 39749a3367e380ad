//! Runs of an experiment: simulates the balancer and both baselines with the same arrivals, and scores the balancer.

use crate::arrivals::{Arrivals, generate_arrivals};
use crate::experiment::Experiment;
use crate::policy::{BalancerPolicy, Omniscient, RoundRobin};
use crate::score::RunRecord;
use crate::simulation::Simulation;

/// Minimum of the divisor `top - floor` of the score. It limits the score of runs in which the baselines hardly differ.
const MIN_SCORE_RANGE: f64 = 0.05;

/// Results of a run with each policy.
pub struct RunOutcome {
    /// Seed of all random streams.
    pub seed: u64,
    /// Record of the project's balancer.
    pub balancer: RunRecord,
    /// Record of the round-robin baseline.
    pub round_robin: RunRecord,
    /// Record of the omniscient baseline.
    pub omniscient: RunRecord,
    /// Score of the balancer: (G - floor) / (top - floor), or 0 if it violated a rule.
    pub score: f64,
    /// Value G of the round-robin baseline, but at least 0, and 0 if it violated a rule.
    pub floor: f64,
    /// Value G of the omniscient baseline, but at least the floor.
    pub top: f64,
    /// Requests per second of the configured product mix that all backends can process after warm-up.
    pub requests_per_s_at_capacity: f64,
    /// Number of customers.
    pub customers: usize,
}

/// Runs an experiment with arrivals generated from the seed.
pub fn run(experiment: &Experiment, seed: u64) -> RunOutcome {
    run_with_arrivals(experiment, &generate_arrivals(experiment, seed), seed)
}

/// Runs an experiment with the given arrivals.
pub fn run_with_arrivals(experiment: &Experiment, arrivals: &Arrivals, seed: u64) -> RunOutcome {
    let balancer = Simulation::new(experiment, arrivals, seed, BalancerPolicy::default()).run();
    let round_robin = Simulation::new(experiment, arrivals, seed, RoundRobin::default()).run();
    let omniscient = Simulation::new(experiment, arrivals, seed, Omniscient::default()).run();
    // A policy that rejects all requests has the value 0, so the floor is never negative.
    let floor = if round_robin.violations.is_empty() { round_robin.net_value.max(0.0) } else { 0.0 };
    let top = omniscient.net_value.max(floor);
    let relative = (balancer.net_value - floor) / (top - floor).max(MIN_SCORE_RANGE);
    let score = if balancer.violations.is_empty() { relative } else { 0.0 };
    let (requests_per_s_at_capacity, customers) =
        (arrivals.requests_per_s_at_capacity, arrivals.customers.len());
    RunOutcome {
        seed,
        balancer,
        round_robin,
        omniscient,
        score,
        floor,
        top,
        requests_per_s_at_capacity,
        customers,
    }
}
