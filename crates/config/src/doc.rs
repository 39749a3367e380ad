//! A JSON document that names the place of what is missing or wrong in it.

use miniserde::json::{self, Number, Value};
use std::time::Duration;
use thiserror::Error;

#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum Fault {
    #[error("it is no whole JSON document")]
    NoJson,
    #[error("{0} is missing")]
    Missing(String),
    #[error("{0} is not {1}")]
    Wrong(String, &'static str),
    #[error("{0}: {1}")]
    Unsound(String, String),
}

pub type Checked<T> = Result<T, Fault>;

/// A place in a document and what stands there.
pub struct Doc<'a> {
    path: String,
    value: &'a Value,
}

pub fn read(text: &[u8]) -> Checked<Value> {
    let text = std::str::from_utf8(text).map_err(|_| Fault::NoJson)?;
    json::from_str(text).map_err(|_| Fault::NoJson)
}

impl<'a> Doc<'a> {
    pub fn whole(value: &'a Value) -> Doc<'a> {
        Doc { path: String::new(), value }
    }

    fn wrong(&self, what: &'static str) -> Fault {
        Fault::Wrong(if self.path.is_empty() { "the document".to_owned() } else { self.path.clone() }, what)
    }

    pub fn unsound(&self, why: impl Into<String>) -> Fault {
        Fault::Unsound(self.path.clone(), why.into())
    }

    fn below(&self, name: &str) -> String {
        if self.path.is_empty() { name.to_owned() } else { format!("{}.{name}", self.path) }
    }

    /// What stands under a name, where that is neither left out nor null.
    pub fn may(&self, name: &str) -> Checked<Option<Doc<'a>>> {
        let Value::Object(fields) = self.value else {
            return Err(self.wrong("an object"));
        };
        let found = fields.get(name).filter(|value| !matches!(value, Value::Null));
        Ok(found.map(|value| Doc { path: self.below(name), value }))
    }

    pub fn at(&self, name: &str) -> Checked<Doc<'a>> {
        self.may(name)?.ok_or_else(|| Fault::Missing(self.below(name)))
    }

    pub fn table(&self) -> Checked<Vec<(&'a str, Doc<'a>)>> {
        let Value::Object(fields) = self.value else {
            return Err(self.wrong("an object"));
        };
        let at =
            |(name, value): (&'a String, &'a Value)| (name.as_str(), Doc { path: self.below(name), value });
        Ok(fields.iter().map(at).collect())
    }

    pub fn list(&self) -> Checked<Vec<Doc<'a>>> {
        let Value::Array(items) = self.value else {
            return Err(self.wrong("a list"));
        };
        let at = |(no, value): (usize, &'a Value)| Doc { path: self.below(&no.to_string()), value };
        Ok(items.iter().enumerate().map(at).collect())
    }

    pub fn text(&self) -> Checked<&'a str> {
        match self.value {
            Value::String(text) => Ok(text),
            _ => Err(self.wrong("a text")),
        }
    }

    pub fn texts(&self) -> Checked<Vec<String>> {
        self.list()?.iter().map(|item| item.text().map(str::to_owned)).collect()
    }

    pub fn flag(&self) -> Checked<bool> {
        match self.value {
            Value::Bool(flag) => Ok(*flag),
            _ => Err(self.wrong("true or false")),
        }
    }

    /// One that is not below nothing.
    pub fn number(&self) -> Checked<f64> {
        let number = match self.value {
            Value::Number(Number::U64(number)) => *number as f64,
            Value::Number(Number::I64(number)) => *number as f64,
            Value::Number(Number::F64(number)) => *number,
            _ => return Err(self.wrong("a number")),
        };
        if number.is_finite() && number >= 0.0 { Ok(number) } else { Err(self.wrong("a number from 0 on")) }
    }

    pub fn count(&self) -> Checked<u64> {
        let number = self.number()?;
        let whole = number.fract() == 0.0 && number <= 9e15;
        if whole { Ok(number as u64) } else { Err(self.wrong("a whole number")) }
    }

    /// A number followed by its unit, `ms` or `s`.
    pub fn span(&self) -> Checked<Duration> {
        let what = "a time such as 1500ms or 2.5s";
        let text = self.text()?;
        let (digits, scale) = match (text.strip_suffix("ms"), text.strip_suffix('s')) {
            (Some(digits), _) => (digits, 1e-3),
            (None, Some(digits)) => (digits, 1.0),
            _ => return Err(self.wrong(what)),
        };
        let plain = !digits.is_empty() && digits.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
        let number: f64 = digits.parse().ok().filter(|_| plain).ok_or_else(|| self.wrong(what))?;
        if number * scale > 1e9 {
            return Err(self.wrong(what));
        }
        Ok(Duration::from_secs_f64(number * scale))
    }
}
