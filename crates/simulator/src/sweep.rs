//! An experiment over one or two of its keys: each point is run on its own, and one that breaks a rule scores 0 and
//! stops nothing.

use crate::experiment::{Experiment, Faulty, experiment_with};
use crate::run::{Outcome, run};

pub struct Point {
    pub values: Vec<toml::Value>,
    pub outcomes: Vec<Outcome>,
}

impl Point {
    pub fn score(&self) -> f64 {
        self.outcomes.iter().map(|one| one.score).sum::<f64>() / self.outcomes.len().max(1) as f64
    }
}

/// Each point in turn, the last key's values fastest; `told` hears of each as it is done.
pub fn sweep(
    text: &str,
    seeds: &[u64],
    mut told: impl FnMut(&Point),
) -> Result<(Vec<String>, Vec<Point>), Faulty> {
    let experiment = Experiment::parse(text)?;
    let fault = |why: String| Faulty { key: "sweep".to_owned(), why };
    if experiment.sweep.is_empty() || experiment.sweep.len() > 2 {
        return Err(fault(format!("{} keys, not one or two", experiment.sweep.len())));
    }
    let table: toml::Table = toml::from_str(text).map_err(|error| fault(error.to_string()))?;
    let keys: Vec<String> = experiment.sweep.iter().map(|sweep| sweep.key.clone()).collect();
    let mut choices = vec![Vec::new()];
    for sweep in &experiment.sweep {
        let with = |chosen: &Vec<toml::Value>| {
            let chosen = chosen.clone();
            sweep.values.iter().map(move |value| [chosen.clone(), vec![value.clone()]].concat())
        };
        choices = choices.iter().flat_map(with).collect();
    }
    let mut points = Vec::new();
    for values in choices {
        let set: Vec<_> = keys.iter().map(String::as_str).zip(&values).collect();
        let one = experiment_with(&table, &set)?;
        let outcomes = seeds.iter().map(|&seed| run(&one, seed)).collect();
        let point = Point { values, outcomes };
        told(&point);
        points.push(point);
    }
    Ok((keys, points))
}
