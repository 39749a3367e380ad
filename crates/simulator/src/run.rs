//! One run of an experiment: the module beside the two it is held against, on the same clients.

use crate::arrivals::{Arrivals, drawn};
use crate::experiment::Experiment;
use crate::policy::{Module, Plainest, Seeing};
use crate::score::Record;
use crate::world::World;

pub struct Outcome {
    pub seed: u64,
    pub module: Record,
    pub plainest: Record,
    pub seeing: Record,
    /// (G - floor) / (top - floor); 0 where a rule broke.
    pub score: f64,
    pub floor: f64,
    pub top: f64,
    pub txns_at_capacity: f64,
    pub customers: usize,
}

/// Where top and floor lie closer than that, it is the divisor: a day on which nothing can be won or lost.
const CLOSEST: f64 = 0.05;

pub fn run(experiment: &Experiment, seed: u64) -> Outcome {
    run_with(experiment, &drawn(experiment, seed), seed)
}

pub fn run_with(experiment: &Experiment, arrivals: &Arrivals, seed: u64) -> Outcome {
    let module = World::new(experiment, arrivals, seed, Module::default()).run();
    let plainest = World::new(experiment, arrivals, seed, Plainest::default()).run();
    let seeing = World::new(experiment, arrivals, seed, Seeing::default()).run();
    // Letting nobody in is worth nothing and costs nothing.
    let floor = if plainest.broken.is_empty() { plainest.g.max(0.0) } else { 0.0 };
    let top = seeing.g.max(floor);
    let score = if module.broken.is_empty() { (module.g - floor) / (top - floor).max(CLOSEST) } else { 0.0 };
    let (txns_at_capacity, customers) = (arrivals.txns_at_capacity, arrivals.customers.len());
    Outcome { seed, module, plainest, seeing, score, floor, top, txns_at_capacity, customers }
}
