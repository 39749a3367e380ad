//! Typed access to JSON documents, with errors that contain the path of the missing or invalid field.

use miniserde::json::{self, Number, Value};
use std::time::Duration;
use thiserror::Error;

/// The largest integer that is accepted. All integers up to it are represented exactly by `f64`.
const MAX_INTEGER: f64 = 9e15;
/// The longest duration that is accepted, in seconds.
const MAX_DURATION_S: f64 = 1e9;
/// The expected type in error messages about malformed durations.
const EXPECTED_DURATION: &str = "a time such as 1500ms or 2.5s";

/// The reason why a document is refused. Paths are field names joined by dots, with indices for list items.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum DocumentError {
    /// The text is not valid UTF-8 or not a single JSON document.
    #[error("it is no whole JSON document")]
    NotJson,
    /// A required field is missing or null.
    #[error("{path} is missing")]
    Missing {
        /// The path of the field.
        path: String,
    },
    /// A value does not have the expected type.
    #[error("{path} is not {expected}")]
    WrongType {
        /// The path of the value.
        path: String,
        /// The expected type, in words.
        expected: &'static str,
    },
    /// A value has the expected type, but is not valid for its field.
    #[error("{path}: {reason}")]
    Invalid {
        /// The path of the value.
        path: String,
        /// The reason why the value is not valid.
        reason: String,
    },
}

/// The result of reading a document or one of its values.
pub type DocumentResult<T> = Result<T, DocumentError>;

/// A value in a document together with its path.
pub struct JsonNode<'a> {
    /// The path of the value; empty for the root of the document.
    path: String,
    value: &'a Value,
}

/// Parses a JSON document.
///
/// # Errors
///
/// [`DocumentError::NotJson`] if the text is not valid UTF-8 or not a single JSON document.
pub fn parse(text: &[u8]) -> DocumentResult<Value> {
    let text = std::str::from_utf8(text).map_err(|_| DocumentError::NotJson)?;
    json::from_str(text).map_err(|_| DocumentError::NotJson)
}

impl<'a> JsonNode<'a> {
    /// Returns the root node of a document.
    pub fn root(value: &'a Value) -> JsonNode<'a> {
        JsonNode { path: String::new(), value }
    }

    /// Returns the error that this value is invalid for the given reason.
    pub fn invalid(&self, reason: impl Into<String>) -> DocumentError {
        DocumentError::Invalid { path: self.path.clone(), reason: reason.into() }
    }

    fn wrong_type(&self, expected: &'static str) -> DocumentError {
        let path = if self.path.is_empty() { "the document".to_owned() } else { self.path.clone() };
        DocumentError::WrongType { path, expected }
    }

    fn path_of(&self, name: &str) -> String {
        if self.path.is_empty() { name.to_owned() } else { format!("{}.{name}", self.path) }
    }

    fn child(&self, name: &str, value: &'a Value) -> JsonNode<'a> {
        JsonNode { path: self.path_of(name), value }
    }

    /// Returns the value of a field, or `None` if the field is missing or null.
    ///
    /// # Errors
    ///
    /// [`DocumentError::WrongType`] if this value is not an object.
    pub fn optional(&self, name: &str) -> DocumentResult<Option<JsonNode<'a>>> {
        let Value::Object(fields) = self.value else {
            return Err(self.wrong_type("an object"));
        };
        let value = fields.get(name).filter(|value| !matches!(value, Value::Null));
        Ok(value.map(|value| self.child(name, value)))
    }

    /// Returns the value of a field, converted by `read`, or `default` if the field is missing or null.
    ///
    /// # Errors
    ///
    /// The errors of `read`, and [`DocumentError::WrongType`] if this value is not an object.
    pub fn optional_or<T>(
        &self,
        name: &str,
        default: T,
        read: impl FnOnce(&JsonNode<'a>) -> DocumentResult<T>,
    ) -> DocumentResult<T> {
        match self.optional(name)? {
            Some(node) => read(&node),
            None => Ok(default),
        }
    }

    /// Returns the value of a required field.
    ///
    /// # Errors
    ///
    /// [`DocumentError::Missing`] if the field is missing or null, [`DocumentError::WrongType`] if this value is not an
    /// object.
    pub fn required(&self, name: &str) -> DocumentResult<JsonNode<'a>> {
        self.optional(name)?.ok_or_else(|| DocumentError::Missing { path: self.path_of(name) })
    }

    /// Returns the names and values of all fields of this object.
    ///
    /// # Errors
    ///
    /// [`DocumentError::WrongType`] if this value is not an object.
    pub fn entries(&self) -> DocumentResult<Vec<(&'a str, JsonNode<'a>)>> {
        let Value::Object(fields) = self.value else {
            return Err(self.wrong_type("an object"));
        };
        Ok(fields.iter().map(|(name, value)| (name.as_str(), self.child(name, value))).collect())
    }

    /// Returns the items of this list.
    ///
    /// # Errors
    ///
    /// [`DocumentError::WrongType`] if this value is not a list.
    pub fn items(&self) -> DocumentResult<Vec<JsonNode<'a>>> {
        let Value::Array(items) = self.value else {
            return Err(self.wrong_type("a list"));
        };
        let node = |(index, value): (usize, &'a Value)| self.child(&index.to_string(), value);
        Ok(items.iter().enumerate().map(node).collect())
    }

    /// Returns this value as a string.
    ///
    /// # Errors
    ///
    /// [`DocumentError::WrongType`] if it is not a string.
    pub fn string(&self) -> DocumentResult<&'a str> {
        match self.value {
            Value::String(text) => Ok(text),
            _ => Err(self.wrong_type("a text")),
        }
    }

    /// Returns this value as a list of strings.
    ///
    /// # Errors
    ///
    /// [`DocumentError::WrongType`] if it is not a list, or one of its items is not a string.
    pub fn strings(&self) -> DocumentResult<Vec<String>> {
        self.items()?.iter().map(|item| item.string().map(str::to_owned)).collect()
    }

    /// Returns this value as a boolean.
    ///
    /// # Errors
    ///
    /// [`DocumentError::WrongType`] if it is not a boolean.
    pub fn boolean(&self) -> DocumentResult<bool> {
        match self.value {
            Value::Bool(boolean) => Ok(*boolean),
            _ => Err(self.wrong_type("true or false")),
        }
    }

    /// Returns this value as a non-negative number.
    ///
    /// # Errors
    ///
    /// [`DocumentError::WrongType`] if it is not a number, negative or not finite.
    pub fn number(&self) -> DocumentResult<f64> {
        let number = match self.value {
            Value::Number(Number::U64(number)) => *number as f64,
            Value::Number(Number::I64(number)) => *number as f64,
            Value::Number(Number::F64(number)) => *number,
            _ => return Err(self.wrong_type("a number")),
        };
        if !number.is_finite() || number < 0.0 {
            return Err(self.wrong_type("a number from 0 on"));
        }
        Ok(number)
    }

    /// Returns this value as a non-negative integer.
    ///
    /// # Errors
    ///
    /// [`DocumentError::WrongType`] if it is not an integer, negative or too large to be exact.
    pub fn integer(&self) -> DocumentResult<u64> {
        let number = self.number()?;
        if number.fract() != 0.0 || number > MAX_INTEGER {
            return Err(self.wrong_type("a whole number"));
        }
        Ok(number as u64)
    }

    /// Returns this value as a duration. Durations are strings of a decimal number and a unit, `ms` or `s`.
    ///
    /// # Errors
    ///
    /// [`DocumentError::WrongType`] if it is not such a string, or the duration is too long.
    pub fn duration(&self) -> DocumentResult<Duration> {
        let text = self.string()?;
        let (digits, seconds_per_unit) = match (text.strip_suffix("ms"), text.strip_suffix('s')) {
            (Some(digits), _) => (digits, 1e-3),
            (None, Some(digits)) => (digits, 1.0),
            (None, None) => return Err(self.wrong_type(EXPECTED_DURATION)),
        };
        // `f64::from_str` also accepts signs, exponents and words such as `inf`.
        let is_decimal = digits.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
        let number = digits.parse::<f64>().ok().filter(|_| is_decimal);
        let seconds = number.ok_or_else(|| self.wrong_type(EXPECTED_DURATION))? * seconds_per_unit;
        if seconds > MAX_DURATION_S {
            return Err(self.wrong_type(EXPECTED_DURATION));
        }
        Ok(Duration::from_secs_f64(seconds))
    }
}
