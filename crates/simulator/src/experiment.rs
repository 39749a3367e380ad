//! An experiment as its file states it. It is checked before anything is run by it.

mod check;
mod settings;

use serde::Deserialize;
use thiserror::Error;

pub use settings::*;

/// What is wrong with an experiment's file.
#[derive(Debug, PartialEq, Error)]
pub enum InvalidExperiment {
    /// A key has a value that cannot be.
    #[error("{key}: {problem}")]
    Key {
        /// The key, with its section.
        key: String,
        /// Why not.
        problem: String,
    },
    /// The file is no TOML, or not of the form of an experiment; the text names the line.
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

/// A range from the least to the most; one number stands for both.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(untagged)]
pub enum Span {
    /// One number.
    One(f64),
    /// The least and the most.
    Two([f64; 2]),
}

impl Span {
    /// The least.
    pub fn least(self) -> f64 {
        match self {
            Span::One(one) => one,
            Span::Two([least, _]) => least,
        }
    }

    /// The most.
    pub fn most(self) -> f64 {
        match self {
            Span::One(one) => one,
            Span::Two([_, most]) => most,
        }
    }

    /// Half way between.
    pub fn middle(self) -> f64 {
        (self.least() + self.most()) / 2.0
    }
}

/// An experiment: a fleet, its customers, and what goes wrong. Fields have the names of the file's keys.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Its name in reports.
    pub name: String,
    /// The seed where none is asked for.
    #[serde(default = "default_seed")]
    pub seed: u64,
    /// Seconds in which clients come.
    pub length_s: f64,
    /// Milliseconds between two rounds of a gateway.
    #[serde(default = "default_tick_ms")]
    pub tick_ms: f64,
    /// Gateways and backends.
    pub fleet: Fleet,
    /// Delays of the network.
    #[serde(default)]
    pub net: Net,
    /// Delays of discovery.
    #[serde(default)]
    pub discovery: Discovery,
    /// The meter, if there is one.
    pub meter: Option<Meter>,
    /// The shared quota counter, if there is one.
    pub counter: Option<Counter>,
    /// Messages between gateways, if they may send any.
    pub peers: Option<Peers>,
    /// What gateways may do.
    #[serde(default)]
    pub allow: Allow,
    /// The margins of the rules.
    #[serde(default)]
    pub rules: Rules,
    /// The kinds of request.
    pub product: Vec<Product>,
    /// The plans.
    pub plan: Vec<Plan>,
    /// The customers by kind.
    #[serde(default)]
    pub customers: Customers,
    /// How much is asked.
    pub load: Load,
    /// How clients behave.
    #[serde(default)]
    pub clients: Clients,
    /// What goes wrong.
    #[serde(default)]
    pub fault: Vec<Fault>,
    /// What is taken off the result.
    #[serde(default)]
    pub prices: Prices,
    /// How the result is mixed.
    #[serde(default)]
    pub weights: Weights,
    /// The keys of a sweep.
    #[serde(default)]
    pub sweep: Vec<Sweep>,
    /// Arrivals from a file in place of generated ones.
    pub trace: Option<Trace>,
}

fn default_seed() -> u64 {
    1
}

fn default_tick_ms() -> f64 {
    4.0
}

impl Experiment {
    /// Reads and checks an experiment's file, with all points of its sweeps.
    ///
    /// # Errors
    /// If the text is not of an experiment's form, or a value cannot be.
    pub fn parse(text: &str) -> Result<Experiment, InvalidExperiment> {
        let table: toml::Table = toml::from_str(text).map_err(|error| InvalidExperiment::form(&error))?;
        // Read from the text again, so that an error has its line.
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

/// The experiment with some of its keys set anew; a key's parts are names, or numbers in lists.
///
/// # Errors
/// If there is no such key, or the experiment with it is invalid.
pub fn experiment_with(
    table: &toml::Table,
    set: &[(&str, &toml::Value)],
) -> Result<Experiment, InvalidExperiment> {
    let mut root = toml::Value::Table(table.clone());
    for (key, value) in set {
        let mut place = &mut root;
        for part in key.split('.') {
            place = match place {
                toml::Value::Table(table) => {
                    table.entry(part).or_insert_with(|| toml::Value::Table(toml::Table::new()))
                }
                toml::Value::Array(items) => {
                    let item = part.parse::<usize>().ok().and_then(|index| items.get_mut(index));
                    item.ok_or_else(|| InvalidExperiment::at_key(*key, format!("no item '{part}'")))?
                }
                _ => {
                    let problem = format!("'{part}' is below a plain value");
                    return Err(InvalidExperiment::at_key(*key, problem));
                }
            };
        }
        *place = (*value).clone();
    }
    let experiment: Experiment = root.try_into().map_err(|error| InvalidExperiment::form(&error))?;
    experiment.check()?;
    Ok(experiment)
}

#[cfg(test)]
mod tests;
