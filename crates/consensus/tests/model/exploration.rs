//! Runs the model checker or random walks on one model, and prints the statistics and the path to a violation.

use crate::cluster::{Action, ClusterModel};
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use stateright::{Checker, HasDiscoveries, Model};
use std::time::Instant;

/// The highest probability with which a step of a walk prefers actions that complete operations in progress. Each walk
/// draws its own probability: with a low one it exhausts its budget of faults before much is decided, with a high one
/// faults rarely occur in the middle of an operation.
const MAX_PROGRESS_PROBABILITY: f64 = 0.95;

/// Returns whether an action completes an operation in progress.
fn is_progress(action: &Action) -> bool {
    matches!(
        action,
        Action::Deliver(_) | Action::Restart(_) | Action::BeginChange(_) | Action::FinishChange(_)
    )
}

/// A violation that a random walk found.
#[derive(Debug, PartialEq, Eq)]
pub struct WalkViolation {
    pub property: &'static str,
    /// The seed of the walk.
    pub seed: u64,
}

/// The result of random walks.
#[derive(Debug, Default)]
pub struct WalkReport {
    pub violation: Option<WalkViolation>,
    /// The number of walks that completed all changes of the set of voters in the model.
    pub walks_with_all_changes: u64,
}

impl WalkReport {
    fn add(mut self, other: WalkReport) -> WalkReport {
        self.walks_with_all_changes += other.walks_with_all_changes;
        self.violation = self.violation.or(other.violation);
        self
    }
}

/// Runs random walks through a state space that is too large for exhaustive search. Each walk starts at the initial
/// state and takes up to `max_steps` random actions.
pub fn walk(name: &str, model: &ClusterModel, walks: u64, max_steps: usize) -> WalkReport {
    let begin = Instant::now();
    let walks = number_from_environment("MODEL_WALKS").map_or(walks, |walks| walks as u64);
    let threads = number_from_environment("MODEL_THREADS").unwrap_or(1) as u64;
    // `MODEL_WALK` selects a single walk by its seed, and prints its steps.
    let (first, walks) = match number_from_environment("MODEL_WALK") {
        Some(seed) => (seed as u64, 1),
        None => (0, walks),
    };
    let report = std::thread::scope(|scope| {
        let walk_share = |thread: u64| {
            let mut report = WalkReport::default();
            for seed in (first + thread..first + walks).step_by(threads as usize) {
                report = report.add(walk_once(model, seed, max_steps));
                if report.violation.is_some() {
                    break;
                }
            }
            report
        };
        let running: Vec<_> = (0..threads).map(|thread| scope.spawn(move || walk_share(thread))).collect();
        let reports = running.into_iter().map(|thread| thread.join().expect("a walk panicked"));
        reports.fold(WalkReport::default(), WalkReport::add)
    });
    let (completed, seconds) = (report.walks_with_all_changes, begin.elapsed().as_secs_f64());
    println!(
        "{name}: {walks} walks of up to {max_steps} steps, {completed} completed all membership changes, {seconds:.1} s"
    );
    if let Some(violation) = &report.violation {
        println!("  violated by the walk with seed {}: {}", violation.seed, violation.property);
    }
    report
}

fn walk_once(model: &ClusterModel, seed: u64, max_steps: usize) -> WalkReport {
    let mut random = SmallRng::seed_from_u64(seed);
    let is_described = number_from_environment("MODEL_WALK").is_some();
    let progress_probability = random.random_range(0.0..MAX_PROGRESS_PROBABILITY);
    let properties = model.properties();
    let mut state = model.init_states().swap_remove(0);
    for _ in 0..max_steps {
        let mut actions = Vec::new();
        model.actions(&state, &mut actions);
        actions.shuffle(&mut random);
        if random.random_bool(progress_probability) {
            // The sort is stable. Other actions remain as a fallback if no action of this kind changes the state.
            actions.sort_by_key(|action| !is_progress(action));
        }
        let step = |action: Action| Some((model.next_state(&state, action.clone())?, action));
        let Some((next, action)) = actions.into_iter().find_map(step) else {
            // No action is possible any more.
            break;
        };
        if is_described {
            println!("    {}", model.describe(&state, &action));
        }
        state = next;
        if let Some(property) = properties.iter().find(|property| !(property.condition)(model, &state)) {
            let violation = Some(WalkViolation { property: property.name, seed });
            return WalkReport { violation, walks_with_all_changes: 0 };
        }
    }
    let has_all_changes =
        state.acknowledged.values().any(|acknowledged| model.is_final_membership(&acknowledged.membership));
    WalkReport { violation: None, walks_with_all_changes: u64::from(has_all_changes) }
}

/// A depth that reaches all states of the models that are searched exhaustively.
pub const UNBOUNDED_DEPTH: usize = 200;

/// A property that the model checker found violated.
#[derive(Debug, PartialEq, Eq)]
pub struct Violation {
    pub property: &'static str,
    /// The length of the path to the violation.
    pub steps: usize,
}

/// Visits all states within the budget and the depth by breadth-first search, until a property is violated.
pub fn explore(name: &str, model: &ClusterModel, depth: usize) -> Option<Violation> {
    let begin = Instant::now();
    let threads = number_from_environment("MODEL_THREADS").unwrap_or(1);
    let depth = number_from_environment("MODEL_DEPTH").unwrap_or(depth);
    let checker = model.clone().checker().target_max_depth(depth).threads(threads);
    let checker = checker.finish_when(HasDiscoveries::AnyFailures).spawn_bfs().join();
    let (all, unique) = (checker.state_count(), checker.unique_state_count());
    let (reached, seconds) = (checker.max_depth(), begin.elapsed().as_secs_f64());
    println!("{name}: {unique} unique states ({all} generated), depth {reached} of {depth}, {seconds:.1} s");
    let (property, path) = checker.discoveries().into_iter().next()?;
    let path = path.into_vec().into_iter();
    let steps: Vec<_> = path.filter_map(|(state, action)| Some((state, action?))).collect();
    println!("  violated after {} steps: {property}", steps.len());
    for (state, action) in &steps {
        println!("    {}", model.describe(state, action));
    }
    Some(Violation { property, steps: steps.len() })
}

fn number_from_environment(name: &str) -> Option<usize> {
    std::env::var(name).ok()?.parse().ok()
}
