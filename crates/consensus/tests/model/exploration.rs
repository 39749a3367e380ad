//! Runs the model checker over one configuration, and prints what it visited and how a property is broken.

use crate::cluster::{Action, ClusterModel};
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use stateright::{Checker, HasDiscoveries, Model};
use std::time::Instant;

/// The largest part of a walk's steps that bring what is under way further, where there are such. It is drawn for each walk:
/// with few of them a walk uses its budget of faults up before much is decided, with many it seldom meets a fault midway.
const MAX_PROGRESS_SHARE: f64 = 0.95;

fn is_progress(action: &Action) -> bool {
    matches!(
        action,
        Action::Deliver(_) | Action::Restart(_) | Action::BeginChange(_) | Action::FinishChange(_)
    )
}

/// What random walks found broken.
#[derive(Debug, PartialEq, Eq)]
pub struct BrokenWalk {
    pub property: &'static str,
    /// The walk's seed.
    pub seed: u64,
}

/// What came of random walks.
#[derive(Debug, Default)]
pub struct WalkReport {
    pub broken: Option<BrokenWalk>,
    /// In how many walks the last change of the set of voters that the model knows came to be in force.
    pub all_changes_made: u64,
}

impl WalkReport {
    fn add(mut self, other: WalkReport) -> WalkReport {
        self.all_changes_made += other.all_changes_made;
        self.broken = self.broken.or(other.broken);
        self
    }
}

/// Takes random walks through states that are too many to be visited one by one: from the start on, one possible step after
/// the other, up to `max_steps`.
pub fn walk(name: &str, model: &ClusterModel, walks: u64, max_steps: usize) -> WalkReport {
    let begin = Instant::now();
    let walks = number_from_environment("MODEL_WALKS").map_or(walks, |walks| walks as u64);
    let threads = number_from_environment("MODEL_THREADS").unwrap_or(1) as u64;
    // One alone, whose steps are printed.
    let (first, walks) = match number_from_environment("MODEL_WALK") {
        Some(seed) => (seed as u64, 1),
        None => (0, walks),
    };
    let report = std::thread::scope(|scope| {
        let walk_share = |thread: u64| {
            let mut report = WalkReport::default();
            for seed in (first + thread..first + walks).step_by(threads as usize) {
                report = report.add(walk_once(model, seed, max_steps));
                if report.broken.is_some() {
                    break;
                }
            }
            report
        };
        let running: Vec<_> = (0..threads).map(|thread| scope.spawn(move || walk_share(thread))).collect();
        let reports = running.into_iter().map(|thread| thread.join().expect("no panic"));
        reports.fold(WalkReport::default(), WalkReport::add)
    });
    let (changed, seconds) = (report.all_changes_made, begin.elapsed().as_secs_f64());
    println!("{name}: {walks} walks of {max_steps} steps, all changes made in {changed}, {seconds:.1} s");
    if let Some(broken) = &report.broken {
        println!("  broken by walk {}: {}", broken.seed, broken.property);
    }
    report
}

fn walk_once(model: &ClusterModel, seed: u64, max_steps: usize) -> WalkReport {
    let mut random = SmallRng::seed_from_u64(seed);
    let is_described = number_from_environment("MODEL_WALK").is_some();
    let progress_share = random.random_range(0.0..MAX_PROGRESS_SHARE);
    let properties = model.properties();
    let mut state = model.init_states().swap_remove(0);
    for _ in 0..max_steps {
        let mut actions = Vec::new();
        model.actions(&state, &mut actions);
        actions.shuffle(&mut random);
        if random.random_bool(progress_share) {
            // Stable: the others stay for where none of these changes anything.
            actions.sort_by_key(|action| !is_progress(action));
        }
        let step = |action: Action| Some((model.next_state(&state, action.clone())?, action));
        let Some((next, action)) = actions.into_iter().find_map(step) else {
            // Nothing is left to happen.
            break;
        };
        if is_described {
            println!("    {}", model.describe(&state, &action));
        }
        state = next;
        if let Some(property) = properties.iter().find(|property| !(property.condition)(model, &state)) {
            let broken = Some(BrokenWalk { property: property.name, seed });
            return WalkReport { broken, all_changes_made: 0 };
        }
    }
    let is_changed = state.acknowledged.values().any(|committed| model.is_last_set(&committed.membership));
    WalkReport { broken: None, all_changes_made: u64::from(is_changed) }
}

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
