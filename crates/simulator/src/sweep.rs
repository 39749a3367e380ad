//! Sweeps: an experiment is run for all combinations of the values of one or two keys. A point whose runs violate a rule
//! scores 0 for them and does not abort the sweep.

use crate::experiment::{Experiment, InvalidExperiment, experiment_with};
use crate::run::{RunOutcome, run};

/// Maximum number of keys of a sweep.
const MAX_KEYS: usize = 2;

/// A point of a sweep.
pub struct Point {
    /// Values of the swept keys.
    pub values: Vec<toml::Value>,
    /// Outcomes, one per seed.
    pub outcomes: Vec<RunOutcome>,
}

impl Point {
    /// Returns the mean score over all seeds.
    pub fn score(&self) -> f64 {
        self.outcomes.iter().map(|outcome| outcome.score).sum::<f64>() / self.outcomes.len().max(1) as f64
    }
}

/// Results of a sweep.
pub struct SweepResult {
    /// Swept keys.
    pub keys: Vec<String>,
    /// Points in the order of execution, in which the last key varies fastest.
    pub points: Vec<Point>,
}

/// Runs all points of an experiment's sweep in sequence, and calls `on_point` with each finished point.
///
/// # Errors
/// Returns an error if the experiment is invalid or its number of swept keys is not 1 or 2.
pub fn sweep(
    text: &str,
    seeds: &[u64],
    mut on_point: impl FnMut(&Point),
) -> Result<SweepResult, InvalidExperiment> {
    let experiment = Experiment::parse(text)?;
    let invalid = |problem: String| InvalidExperiment::at_key("sweep", problem);
    if experiment.sweep.is_empty() || experiment.sweep.len() > MAX_KEYS {
        return Err(invalid(format!(
            "there are {} swept keys instead of 1 or {MAX_KEYS}",
            experiment.sweep.len()
        )));
    }
    let table: toml::Table = toml::from_str(text).map_err(|error| invalid(error.to_string()))?;
    let keys: Vec<String> = experiment.sweep.iter().map(|sweep| sweep.key.clone()).collect();
    let mut points = Vec::new();
    for values in combinations(&experiment) {
        let overrides: Vec<_> = keys.iter().map(String::as_str).zip(&values).collect();
        let experiment = experiment_with(&table, &overrides)?;
        let outcomes = seeds.iter().map(|&seed| run(&experiment, seed)).collect();
        let point = Point { values, outcomes };
        on_point(&point);
        points.push(point);
    }
    Ok(SweepResult { keys, points })
}

/// Returns all combinations of the keys' values. The last key varies fastest.
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
