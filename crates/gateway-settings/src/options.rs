//! Settings as text values by dotted path, and typed access to single values.

use crate::check::InvalidSetting;
use serde_json::Value;
use std::collections::HashMap;
use std::str::FromStr;
use thiserror::Error;
use vanewharf_policy::interface::Ticks;

/// A setting that is missing or cannot be parsed.
#[derive(Debug, Error)]
#[error("setting {option} is missing or invalid: '{value}'")]
pub struct UnreadableOption {
    /// Dotted path of the setting.
    pub option: String,
    /// Its value; empty if it is missing.
    pub value: String,
}

/// All settings, by dotted path. The path of a list item contains its index, and the length of a list is stored at
/// `LIST.count`.
#[derive(Default)]
pub struct Options {
    values: HashMap<String, String>,
}

impl Options {
    /// Creates options from pairs of a path and a value.
    pub fn flat<'a>(pairs: impl IntoIterator<Item = (&'a str, &'a str)>) -> Options {
        let owned = |(path, value): (&str, &str)| (path.to_owned(), value.to_owned());
        Options { values: pairs.into_iter().map(owned).collect() }
    }

    /// Creates options from nested JSON.
    pub fn nested(value: &Value) -> Options {
        let mut options = Options::default();
        options.flatten(String::new(), value);
        options
    }

    /// Combines the settings of both sources.
    ///
    /// # Errors
    ///
    /// Returns a setting that has different values in the two sources.
    pub fn merged_with(mut self, other: Options) -> Result<Options, InvalidSetting> {
        for (key, value) in other.values {
            match self.values.get(&key) {
                Some(own_value) if *own_value != value => {
                    let reason = format!("conflicting values '{value}' and '{own_value}'");
                    return Err(InvalidSetting { key, reason });
                }
                _ => drop(self.values.insert(key, value)),
            }
        }
        Ok(self)
    }

    /// Parses a required setting.
    ///
    /// # Errors
    ///
    /// Returns an error if the setting is missing or cannot be parsed.
    pub fn required<T: FromStr>(&self, option: &str) -> Result<T, UnreadableOption> {
        let missing = || UnreadableOption { option: option.to_owned(), value: String::new() };
        self.optional(option)?.ok_or_else(missing)
    }

    /// Returns all settings as pairs of path and value, sorted by path.
    pub(crate) fn sorted(&self) -> Vec<(&str, &str)> {
        let mut all: Vec<_> = self.values.iter().map(|(key, value)| (key.as_str(), value.as_str())).collect();
        all.sort_unstable();
        all
    }

    /// Parses an optional setting; returns `None` if it is missing.
    pub(crate) fn optional<T: FromStr>(&self, option: &str) -> Result<Option<T>, UnreadableOption> {
        let Some(value) = self.values.get(option) else {
            return Ok(None);
        };
        let unreadable = |_| UnreadableOption { option: option.to_owned(), value: value.clone() };
        value.parse().map(Some).map_err(unreadable)
    }

    /// Parses a finite number; returns zero if the setting is missing.
    pub(crate) fn number(&self, option: &str) -> Result<f64, UnreadableOption> {
        let number: f64 = self.optional(option)?.unwrap_or_default();
        if number.is_finite() {
            return Ok(number);
        }
        Err(UnreadableOption { option: option.to_owned(), value: number.to_string() })
    }

    /// Parses a count; returns zero if the setting is missing.
    pub(crate) fn count(&self, option: &str) -> Result<usize, UnreadableOption> {
        Ok(self.optional(option)?.unwrap_or_default())
    }

    /// Parses a flag; returns false if the setting is missing.
    pub(crate) fn flag(&self, option: &str) -> Result<bool, UnreadableOption> {
        Ok(self.optional(option)?.unwrap_or_default())
    }

    /// Parses a duration in milliseconds; returns zero if the setting is missing.
    pub(crate) fn duration(&self, option: &str) -> Result<Ticks, UnreadableOption> {
        Ok(ticks_from_ms(self.number(option)?))
    }

    /// Returns the text of a setting; empty if it is missing.
    pub(crate) fn text(&self, option: &str) -> &str {
        self.values.get(option).map(String::as_str).unwrap_or_default()
    }

    /// Adds the values below `value`, whose own path is `path`. Null values are ignored.
    fn flatten(&mut self, path: String, value: &Value) {
        let child_path =
            |name: &str| if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
        match value {
            Value::Object(fields) => {
                for (name, value) in fields {
                    self.flatten(child_path(name), value);
                }
            }
            Value::Array(items) => {
                self.values.insert(child_path("count"), items.len().to_string());
                for (index, value) in items.iter().enumerate() {
                    self.flatten(child_path(&index.to_string()), value);
                }
            }
            Value::Null => {}
            Value::String(text) => drop(self.values.insert(path, text.clone())),
            scalar => drop(self.values.insert(path, scalar.to_string())),
        }
    }
}

/// Converts milliseconds to ticks, rounding down so that an expiry is never extended.
pub fn ticks_from_ms(milliseconds: f64) -> Ticks {
    const TICKS_PER_MS: f64 = Ticks::SECOND.0 as f64 / 1000.0;
    // Compensates for decimal fractions whose floating-point value is slightly below the tick that they denote.
    const ROUNDING_TOLERANCE_TICKS: f64 = 1e-6;
    Ticks((milliseconds * TICKS_PER_MS + ROUNDING_TOLERANCE_TICKS).floor() as i64)
}
