//! Experiment files: their format, defaults and validation.

mod check;
mod settings;

use serde::Deserialize;
use thiserror::Error;

pub use settings::*;

/// Why an experiment's file is invalid.
#[derive(Debug, PartialEq, Error)]
pub enum InvalidExperiment {
    /// A key has an invalid value.
    #[error("{key}: {problem}")]
    Key {
        /// Path of the key.
        key: String,
        /// Reason why the value is invalid.
        problem: String,
    },
    /// The file is not valid TOML or does not have the structure of an experiment. The message names the line.
    #[error("{0}")]
    Form(String),
}

impl InvalidExperiment {
    pub(crate) fn at_key(key: impl Into<String>, problem: impl Into<String>) -> InvalidExperiment {
        InvalidExperiment::Key { key: key.into(), problem: problem.into() }
    }

    fn form(error: &toml::de::Error) -> InvalidExperiment {
        InvalidExperiment::Form(error.to_string().split_whitespace().collect::<Vec<_>>().join(" "))
    }
}

/// A range of numbers. A single number in the file is a range of that number only.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(untagged)]
pub enum Span {
    /// A single number.
    One(f64),
    /// The lower and the upper bound.
    Two([f64; 2]),
}

impl Span {
    /// Returns the lower bound.
    pub fn min(self) -> f64 {
        match self {
            Span::One(value) => value,
            Span::Two([lower, _]) => lower,
        }
    }

    /// Returns the upper bound.
    pub fn max(self) -> f64 {
        match self {
            Span::One(value) => value,
            Span::Two([_, upper]) => upper,
        }
    }

    /// Returns the mean of both bounds.
    pub fn midpoint(self) -> f64 {
        (self.min() + self.max()) / 2.0
    }
}

/// An experiment: a fleet, its customers and the injected faults. Fields are named after the keys of the file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Name in reports.
    pub name: String,
    /// Seed of runs for which no other seed is requested.
    #[serde(default = "default_seed")]
    pub seed: u64,
    /// Duration of the arrivals, in seconds.
    pub length_s: f64,
    /// Milliseconds between two decision rounds of a gateway.
    #[serde(default = "default_tick_ms")]
    pub tick_ms: f64,
    /// Gateways and backends.
    pub fleet: Fleet,
    /// Network delays.
    #[serde(default)]
    pub net: Net,
    /// Discovery delays.
    #[serde(default)]
    pub discovery: Discovery,
    /// Metering of usage, if there is any.
    pub meter: Option<Meter>,
    /// The shared quota counter, if there is one.
    pub counter: Option<Counter>,
    /// Messages between gateways, if they may exchange any.
    pub peers: Option<Peers>,
    /// Actions that gateways may take.
    #[serde(default)]
    pub allow: Allow,
    /// Tolerances of the rules.
    #[serde(default)]
    pub rules: Rules,
    /// Products, which are the kinds of request.
    pub product: Vec<Product>,
    /// Quota plans.
    pub plan: Vec<Plan>,
    /// Demand profiles of the customers.
    #[serde(default)]
    pub customers: Customers,
    /// Offered load.
    pub load: Load,
    /// Client behaviour.
    #[serde(default)]
    pub clients: Clients,
    /// Injected faults.
    #[serde(default)]
    pub fault: Vec<Fault>,
    /// Prices that are deducted from the value of a run.
    #[serde(default)]
    pub prices: Prices,
    /// Weights of the parts of the value of a run.
    #[serde(default)]
    pub weights: Weights,
    /// Swept keys.
    #[serde(default)]
    pub sweep: Vec<Sweep>,
    /// Trace whose arrivals replace generated ones.
    pub trace: Option<Trace>,
}

fn default_seed() -> u64 {
    1
}

fn default_tick_ms() -> f64 {
    4.0
}

impl Experiment {
    /// Parses and validates the text of an experiment's file, including each value of its sweeps.
    ///
    /// # Errors
    /// Returns an error if the text is malformed or a value is invalid.
    pub fn parse(text: &str) -> Result<Experiment, InvalidExperiment> {
        let table: toml::Table = toml::from_str(text).map_err(|error| InvalidExperiment::form(&error))?;
        // Deserialized from the text, not from the table, so that errors have a line number.
        let experiment: Experiment = toml::from_str(text).map_err(|error| InvalidExperiment::form(&error))?;
        experiment.check()?;
        for (index, sweep) in experiment.sweep.iter().enumerate() {
            for value in &sweep.values {
                experiment_with(&table, &[(&sweep.key, value)]).map_err(|error| {
                    InvalidExperiment::at_key(format!("sweep.{index}"), error.to_string())
                })?;
            }
        }
        Ok(experiment)
    }
}

/// Returns the experiment of a TOML table with some of its keys replaced. A key is a path of names and array indices,
/// separated by dots.
///
/// # Errors
/// Returns an error if a key does not exist or the resulting experiment is invalid.
pub fn experiment_with(
    table: &toml::Table,
    overrides: &[(&str, &toml::Value)],
) -> Result<Experiment, InvalidExperiment> {
    let mut root = toml::Value::Table(table.clone());
    for (key, value) in overrides {
        let mut target = &mut root;
        for part in key.split('.') {
            target = match target {
                toml::Value::Table(table) => {
                    table.entry(part).or_insert_with(|| toml::Value::Table(toml::Table::new()))
                }
                toml::Value::Array(items) => {
                    let item = part.parse::<usize>().ok().and_then(|index| items.get_mut(index));
                    item.ok_or_else(|| {
                        InvalidExperiment::at_key(*key, format!("the array has no item '{part}'"))
                    })?
                }
                _ => {
                    let problem =
                        format!("'{part}' is looked up in a value that is neither a table nor an array");
                    return Err(InvalidExperiment::at_key(*key, problem));
                }
            };
        }
        *target = (*value).clone();
    }
    let experiment: Experiment = root.try_into().map_err(|error| InvalidExperiment::form(&error))?;
    experiment.check()?;
    Ok(experiment)
}

#[cfg(test)]
mod tests;
