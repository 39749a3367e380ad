//! JSON documents whose errors name the place of what is missing or wrong.

use miniserde::json::{self, Number, Value};
use std::time::Duration;
use thiserror::Error;

/// The largest integer that is read; up to it, 64-bit floating point numbers are exact.
const MAX_INTEGER: f64 = 9e15;
/// The longest duration that is read, in seconds.
const MAX_DURATION_S: f64 = 1e9;
/// What a duration is to look like, for errors.
const DURATION_FORM: &str = "a time such as 1500ms or 2.5s";

/// What is wrong with a document. Paths are field names joined by dots, with indices for list items.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum DocumentError {
    /// The text is not JSON, or not UTF-8.
    #[error("it is no whole JSON document")]
    NotJson,
    /// A required field is missing or null.
    #[error("{path} is missing")]
    Missing {
        /// Of the field.
        path: String,
    },
    /// A value has another type.
    #[error("{path} is not {expected}")]
    WrongType {
        /// Of the value.
        path: String,
        /// The type that it should have.
        expected: &'static str,
    },
    /// A value has the right type, but is not valid there.
    #[error("{path}: {reason}")]
    Invalid {
        /// Of the value.
        path: String,
        /// What is wrong with it.
        reason: String,
    },
}

/// What validation of a document results in.
pub type DocumentResult<T> = Result<T, DocumentError>;

/// A value in a document, with its path.
pub struct JsonNode<'a> {
    /// Empty for the document itself.
    path: String,
    value: &'a Value,
}

/// Parses a document.
///
/// # Errors
///
/// [`DocumentError::NotJson`].
pub fn parse(text: &[u8]) -> DocumentResult<Value> {
    let text = std::str::from_utf8(text).map_err(|_| DocumentError::NotJson)?;
    json::from_str(text).map_err(|_| DocumentError::NotJson)
}

impl<'a> JsonNode<'a> {
    /// The document itself.
    pub fn root(value: &'a Value) -> JsonNode<'a> {
        JsonNode { path: String::new(), value }
    }

    /// The error that the value is not valid for that reason.
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

    /// The value of a field; none where it is missing or null.
    ///
    /// # Errors
    ///
    /// [`DocumentError::WrongType`] where this value is no object.
    pub fn optional(&self, name: &str) -> DocumentResult<Option<JsonNode<'a>>> {
        let Value::Object(fields) = self.value else {
            return Err(self.wrong_type("an object"));
        };
        let value = fields.get(name).filter(|value| !matches!(value, Value::Null));
        Ok(value.map(|value| self.child(name, value)))
    }

    /// The value of a field, converted by `read`, or the default where it is missing or null.
    ///
    /// # Errors
    ///
    /// Those of `read`, and [`DocumentError::WrongType`] where this value is no object.
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

    /// The value of a field.
    ///
    /// # Errors
    ///
    /// [`DocumentError::Missing`] where it is missing or null, [`DocumentError::WrongType`] where this value
    /// is no object.
    pub fn required(&self, name: &str) -> DocumentResult<JsonNode<'a>> {
        self.optional(name)?.ok_or_else(|| DocumentError::Missing { path: self.path_of(name) })
    }

    /// All fields of an object, with their names.
    ///
    /// # Errors
    ///
    /// [`DocumentError::WrongType`].
    pub fn entries(&self) -> DocumentResult<Vec<(&'a str, JsonNode<'a>)>> {
        let Value::Object(fields) = self.value else {
            return Err(self.wrong_type("an object"));
        };
        Ok(fields.iter().map(|(name, value)| (name.as_str(), self.child(name, value))).collect())
    }

    /// All items of a list.
    ///
    /// # Errors
    ///
    /// [`DocumentError::WrongType`].
    pub fn items(&self) -> DocumentResult<Vec<JsonNode<'a>>> {
        let Value::Array(items) = self.value else {
            return Err(self.wrong_type("a list"));
        };
        let node = |(index, value): (usize, &'a Value)| self.child(&index.to_string(), value);
        Ok(items.iter().enumerate().map(node).collect())
    }

    /// A string.
    ///
    /// # Errors
    ///
    /// [`DocumentError::WrongType`].
    pub fn string(&self) -> DocumentResult<&'a str> {
        match self.value {
            Value::String(text) => Ok(text),
            _ => Err(self.wrong_type("a text")),
        }
    }

    /// A list of strings.
    ///
    /// # Errors
    ///
    /// [`DocumentError::WrongType`].
    pub fn strings(&self) -> DocumentResult<Vec<String>> {
        self.items()?.iter().map(|item| item.string().map(str::to_owned)).collect()
    }

    /// A boolean.
    ///
    /// # Errors
    ///
    /// [`DocumentError::WrongType`].
    pub fn boolean(&self) -> DocumentResult<bool> {
        match self.value {
            Value::Bool(boolean) => Ok(*boolean),
            _ => Err(self.wrong_type("true or false")),
        }
    }

    /// A number that is not negative.
    ///
    /// # Errors
    ///
    /// [`DocumentError::WrongType`].
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

    /// An integer that is not negative.
    ///
    /// # Errors
    ///
    /// [`DocumentError::WrongType`].
    pub fn integer(&self) -> DocumentResult<u64> {
        let number = self.number()?;
        if number.fract() != 0.0 || number > MAX_INTEGER {
            return Err(self.wrong_type("a whole number"));
        }
        Ok(number as u64)
    }

    /// A duration: a string of a decimal number and its unit, `ms` or `s`.
    ///
    /// # Errors
    ///
    /// [`DocumentError::WrongType`].
    pub fn duration(&self) -> DocumentResult<Duration> {
        let text = self.string()?;
        let (digits, seconds_per_unit) = match (text.strip_suffix("ms"), text.strip_suffix('s')) {
            (Some(digits), _) => (digits, 1e-3),
            (None, Some(digits)) => (digits, 1.0),
            (None, None) => return Err(self.wrong_type(DURATION_FORM)),
        };
        // The parser of numbers also accepts signs, exponents and names such as `inf`.
        let is_decimal = digits.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
        let number = digits.parse::<f64>().ok().filter(|_| is_decimal);
        let seconds = number.ok_or_else(|| self.wrong_type(DURATION_FORM))? * seconds_per_unit;
        if seconds > MAX_DURATION_S {
            return Err(self.wrong_type(DURATION_FORM));
        }
        Ok(Duration::from_secs_f64(seconds))
    }
}
