//! An experiment over one or two of its keys. Each point is run on its own, and one that breaks a rule scores 0 and stops
//! nothing.

use crate::experiment::{Experiment, InvalidExperiment, experiment_with};
use crate::run::{Outcome, run};

/// Keys that can be swept at once.
const MAX_KEYS: usize = 2;

/// One point of a sweep.
pub struct Point {
    /// The values of the keys.
    pub values: Vec<toml::Value>,
    /// What came of it, for each seed.
    pub outcomes: Vec<Outcome>,
}

impl Point {
    /// The mean score over all seeds.
    pub fn score(&self) -> f64 {
        self.outcomes.iter().map(|outcome| outcome.score).sum::<f64>() / self.outcomes.len().max(1) as f64
    }
}

/// A sweep that was run.
pub struct SweepResult {
    /// The keys that were swept.
    pub keys: Vec<String>,
    /// The points, the last key's values fastest.
    pub points: Vec<Point>,
}

/// Runs each point of an experiment's sweep in turn; `on_point` is called with each as it is done.
///
/// # Errors
/// If the experiment is invalid, or does not name one or two keys to sweep.
pub fn sweep(
    text: &str,
    seeds: &[u64],
    mut on_point: impl FnMut(&Point),
) -> Result<SweepResult, InvalidExperiment> {
    let experiment = Experiment::parse(text)?;
    let invalid = |problem: String| InvalidExperiment::at_key("sweep", problem);
    if experiment.sweep.is_empty() || experiment.sweep.len() > MAX_KEYS {
        return Err(invalid(format!("{} keys, not one or two", experiment.sweep.len())));
    }
    let table: toml::Table = toml::from_str(text).map_err(|error| invalid(error.to_string()))?;
    let keys: Vec<String> = experiment.sweep.iter().map(|sweep| sweep.key.clone()).collect();
    let mut points = Vec::new();
    for values in combinations(&experiment) {
        let set: Vec<_> = keys.iter().map(String::as_str).zip(&values).collect();
        let experiment = experiment_with(&table, &set)?;
        let outcomes = seeds.iter().map(|&seed| run(&experiment, seed)).collect();
        let point = Point { values, outcomes };
        on_point(&point);
        points.push(point);
    }
    Ok(SweepResult { keys, points })
}

/// All combinations of the keys' values, the last key's fastest.
fn combinations(experiment: &Experiment) -> Vec<Vec<toml::Value>> {
    let mut combinations = vec![Vec::new()];
    for sweep in &experiment.sweep {
        let with_each = |chosen: &Vec<toml::Value>| {
            let chosen = chosen.clone();
            sweep.values.iter().map(move |value| [chosen.clone(), vec![value.clone()]].concat())
        };
        combinations = combinations.iter().flat_map(with_each).collect();
    }
    combinations
}
