//! A JSON document that names the place of what is missing or wrong in it.

use miniserde::json::{self, Number, Value};
use std::time::Duration;
use thiserror::Error;

#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum DocumentError {
    #[error("it is no whole JSON document")]
    NotJson,
    #[error("{0} is missing")]
    Missing(String),
    #[error("{0} is not {1}")]
    WrongType(String, &'static str),
    #[error("{0}: {1}")]
    Invalid(String, String),
}

pub type DocumentResult<T> = Result<T, DocumentError>;

/// A place in a document and what stands there.
pub struct JsonNode<'a> {
    path: String,
    value: &'a Value,
}

pub fn parse(text: &[u8]) -> DocumentResult<Value> {
    let text = std::str::from_utf8(text).map_err(|_| DocumentError::NotJson)?;
    json::from_str(text).map_err(|_| DocumentError::NotJson)
}

impl<'a> JsonNode<'a> {
    pub fn root(value: &'a Value) -> JsonNode<'a> {
        JsonNode { path: String::new(), value }
    }

    fn wrong_type(&self, what: &'static str) -> DocumentError {
        DocumentError::WrongType(
            if self.path.is_empty() { "the document".to_owned() } else { self.path.clone() },
            what,
        )
    }

    pub fn invalid(&self, why: impl Into<String>) -> DocumentError {
        DocumentError::Invalid(self.path.clone(), why.into())
    }

    fn below(&self, name: &str) -> String {
        if self.path.is_empty() { name.to_owned() } else { format!("{}.{name}", self.path) }
    }

    /// What stands under a name, where that is neither left out nor null.
    pub fn optional(&self, name: &str) -> DocumentResult<Option<JsonNode<'a>>> {
        let Value::Object(fields) = self.value else {
            return Err(self.wrong_type("an object"));
        };
        let found = fields.get(name).filter(|value| !matches!(value, Value::Null));
        Ok(found.map(|value| JsonNode { path: self.below(name), value }))
    }

    pub fn required(&self, name: &str) -> DocumentResult<JsonNode<'a>> {
        self.optional(name)?.ok_or_else(|| DocumentError::Missing(self.below(name)))
    }

    pub fn entries(&self) -> DocumentResult<Vec<(&'a str, JsonNode<'a>)>> {
        let Value::Object(fields) = self.value else {
            return Err(self.wrong_type("an object"));
        };
        let at = |(name, value): (&'a String, &'a Value)| {
            (name.as_str(), JsonNode { path: self.below(name), value })
        };
        Ok(fields.iter().map(at).collect())
    }

    pub fn items(&self) -> DocumentResult<Vec<JsonNode<'a>>> {
        let Value::Array(items) = self.value else {
            return Err(self.wrong_type("a list"));
        };
        let at = |(no, value): (usize, &'a Value)| JsonNode { path: self.below(&no.to_string()), value };
        Ok(items.iter().enumerate().map(at).collect())
    }

    pub fn string(&self) -> DocumentResult<&'a str> {
        match self.value {
            Value::String(text) => Ok(text),
            _ => Err(self.wrong_type("a text")),
        }
    }

    pub fn strings(&self) -> DocumentResult<Vec<String>> {
        self.items()?.iter().map(|item| item.string().map(str::to_owned)).collect()
    }

    pub fn boolean(&self) -> DocumentResult<bool> {
        match self.value {
            Value::Bool(flag) => Ok(*flag),
            _ => Err(self.wrong_type("true or false")),
        }
    }

    /// One that is not below nothing.
    pub fn number(&self) -> DocumentResult<f64> {
        let number = match self.value {
            Value::Number(Number::U64(number)) => *number as f64,
            Value::Number(Number::I64(number)) => *number as f64,
            Value::Number(Number::F64(number)) => *number,
            _ => return Err(self.wrong_type("a number")),
        };
        if number.is_finite() && number >= 0.0 {
            Ok(number)
        } else {
            Err(self.wrong_type("a number from 0 on"))
        }
    }

    pub fn integer(&self) -> DocumentResult<u64> {
        let number = self.number()?;
        let whole = number.fract() == 0.0 && number <= 9e15;
        if whole { Ok(number as u64) } else { Err(self.wrong_type("a whole number")) }
    }

    /// A number followed by its unit, `ms` or `s`.
    pub fn duration(&self) -> DocumentResult<Duration> {
        let what = "a time such as 1500ms or 2.5s";
        let text = self.string()?;
        let (digits, scale) = match (text.strip_suffix("ms"), text.strip_suffix('s')) {
            (Some(digits), _) => (digits, 1e-3),
            (None, Some(digits)) => (digits, 1.0),
            _ => return Err(self.wrong_type(what)),
        };
        let plain = !digits.is_empty() && digits.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
        let number: f64 = digits.parse().ok().filter(|_| plain).ok_or_else(|| self.wrong_type(what))?;
        if number * scale > 1e9 {
            return Err(self.wrong_type(what));
        }
        Ok(Duration::from_secs_f64(number * scale))
    }
}
