//! Runs the model checker over one configuration, and prints what it visited and how a property is broken.

use crate::cluster::ClusterModel;
use stateright::{Checker, HasDiscoveries, Model};
use std::time::Instant;

/// Deep enough for all states of the configurations that run with all tests.
pub const UNBOUNDED_DEPTH: usize = 200;

/// How the checker found a property broken.
#[derive(Debug, PartialEq, Eq)]
pub struct Violation {
    pub property: &'static str,
    /// The length of a shortest path.
    pub steps: usize,
}

/// Visits all states within the budget and the depth, until a property is broken.
pub fn explore(name: &str, model: &ClusterModel, depth: usize) -> Option<Violation> {
    let begin = Instant::now();
    let threads = number_from_environment("MODEL_THREADS").unwrap_or(1);
    let depth = number_from_environment("MODEL_DEPTH").unwrap_or(depth);
    let checker = model.clone().checker().target_max_depth(depth).threads(threads);
    let checker = checker.finish_when(HasDiscoveries::AnyFailures).spawn_bfs().join();
    let (all, unique) = (checker.state_count(), checker.unique_state_count());
    let (reached, seconds) = (checker.max_depth(), begin.elapsed().as_secs_f64());
    println!("{name}: {unique} states ({all} with repeats), depth {reached} of {depth}, {seconds:.1} s");
    let (property, path) = checker.discoveries().into_iter().next()?;
    let path = path.into_vec().into_iter();
    let steps: Vec<_> = path.filter_map(|(state, action)| Some((state, action?))).collect();
    println!("  broken after {} steps: {property}", steps.len());
    for (state, action) in &steps {
        println!("    {}", model.describe(state, action));
    }
    Some(Violation { property, steps: steps.len() })
}

fn number_from_environment(name: &str) -> Option<usize> {
    std::env::var(name).ok()?.parse().ok()
}
