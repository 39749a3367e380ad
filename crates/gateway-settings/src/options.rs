//! The settings as text, each under its dotted path, and how single values are read from it.

use crate::check::InvalidSetting;
use serde_json::Value;
use std::collections::HashMap;
use std::str::FromStr;
use thiserror::Error;
use vanewharf_policy::interface::Ticks;

/// An option that is missing or cannot be read, and what was found there.
#[derive(Debug, Error)]
#[error("option {option} cannot be read: '{value}'")]
pub struct UnreadableOption {
    /// The option's dotted path.
    pub option: String,
    /// Its value; empty where it is missing.
    pub value: String,
}

/// All options, each under its dotted path. Items of a list have their index in the path, and the list's length is at
/// `LIST.count`.
#[derive(Default)]
pub struct Options {
    values: HashMap<String, String>,
}

impl Options {
    /// Options from pairs of path and value.
    pub fn flat<'a>(pairs: impl IntoIterator<Item = (&'a str, &'a str)>) -> Options {
        let owned = |(path, value): (&str, &str)| (path.to_owned(), value.to_owned());
        Options { values: pairs.into_iter().map(owned).collect() }
    }

    /// Options from nested JSON.
    pub fn nested(value: &Value) -> Options {
        let mut options = Options::default();
        options.flatten(String::new(), value);
        options
    }

    /// These options, and those of `other` that are not stated here.
    ///
    /// # Errors
    ///
    /// Where both state an option with different values.
    pub fn merged_with(mut self, other: Options) -> Result<Options, InvalidSetting> {
        for (key, value) in other.values {
            match self.values.get(&key) {
                Some(stated) if *stated != value => {
                    let reason = format!("'{value}' in one place, '{stated}' in the other");
                    return Err(InvalidSetting { key, reason });
                }
                _ => drop(self.values.insert(key, value)),
            }
        }
        Ok(self)
    }

    /// Reads an option that must be stated.
    ///
    /// # Errors
    ///
    /// Where it is missing or cannot be parsed.
    pub fn required<T: FromStr>(&self, option: &str) -> Result<T, UnreadableOption> {
        let missing = || UnreadableOption { option: option.to_owned(), value: String::new() };
        self.optional(option)?.ok_or_else(missing)
    }

    /// All options, sorted by path.
    pub(crate) fn sorted(&self) -> Vec<(&str, &str)> {
        let mut all: Vec<_> = self.values.iter().map(|(key, value)| (key.as_str(), value.as_str())).collect();
        all.sort_unstable();
        all
    }

    /// The option's value, if it is stated.
    pub(crate) fn optional<T: FromStr>(&self, option: &str) -> Result<Option<T>, UnreadableOption> {
        let Some(value) = self.values.get(option) else {
            return Ok(None);
        };
        let unreadable = |_| UnreadableOption { option: option.to_owned(), value: value.clone() };
        value.parse().map(Some).map_err(unreadable)
    }

    /// A finite number; zero where it is not stated.
    pub(crate) fn number(&self, option: &str) -> Result<f64, UnreadableOption> {
        let number: f64 = self.optional(option)?.unwrap_or_default();
        if number.is_finite() {
            return Ok(number);
        }
        Err(UnreadableOption { option: option.to_owned(), value: number.to_string() })
    }

    /// A number of things; zero where it is not stated.
    pub(crate) fn count(&self, option: &str) -> Result<usize, UnreadableOption> {
        Ok(self.optional(option)?.unwrap_or_default())
    }

    /// A flag; false where it is not stated.
    pub(crate) fn flag(&self, option: &str) -> Result<bool, UnreadableOption> {
        Ok(self.optional(option)?.unwrap_or_default())
    }

    /// A span stated in milliseconds; zero where it is not stated.
    pub(crate) fn time(&self, option: &str) -> Result<Ticks, UnreadableOption> {
        Ok(ticks_from_ms(self.number(option)?))
    }

    /// The text as it stands; empty where it is not stated.
    pub(crate) fn text(&self, option: &str) -> &str {
        self.values.get(option).map(String::as_str).unwrap_or_default()
    }

    fn flatten(&mut self, path: String, value: &Value) {
        let below = |name: &str| if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
        match value {
            Value::Object(fields) => {
                for (name, value) in fields {
                    self.flatten(below(name), value);
                }
            }
            Value::Array(items) => {
                self.values.insert(below("count"), items.len().to_string());
                for (item, value) in items.iter().enumerate() {
                    self.flatten(below(&item.to_string()), value);
                }
            }
            Value::Null => {}
            Value::String(text) => drop(self.values.insert(path, text.clone())),
            scalar => drop(self.values.insert(path, scalar.to_string())),
        }
    }
}

/// Converts milliseconds, rounded down so that an expiry is never taken for later than it is.
pub fn ticks_from_ms(milliseconds: f64) -> Ticks {
    // Against a decimal fraction that is represented as slightly less than the tick that it stands for.
    const ROUNDING_TOLERANCE: f64 = 1e-6;
    Ticks((milliseconds * 10.0 + ROUNDING_TOLERANCE).floor() as i64)
}
