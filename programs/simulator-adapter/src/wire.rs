//! The lines of the wire: words, fields, and plain complaints about what is malformed.

use std::error::Error;
use std::fmt;
use std::str::FromStr;
use vanewharf_gateway_settings::ticks_from_ms;
use vanewharf_policy::interface::Ticks;

/// What is wrong with the input, and where.
#[derive(Debug)]
pub struct Malformed {
    pub line: u64,
    pub message: String,
    pub fault: String,
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}, message {}: {}", self.line, self.message, self.fault)
    }
}

impl Error for Malformed {}

/// One line: its message and its fields.
pub struct Line<'a> {
    pub number: u64,
    pub message: &'a str,
    fields: Vec<(&'a str, &'a str)>,
}

impl<'a> Line<'a> {
    pub fn read(number: u64, text: &'a str) -> Result<Line<'a>, Malformed> {
        let mut parts = text.split(' ');
        let message = parts.next().unwrap_or_default();
        let mut line = Line { number, message, fields: Vec::new() };
        for part in parts.filter(|part| !part.is_empty()) {
            let Some(field) = part.split_once('=') else {
                return Err(line.fault(format!("'{part}' is no field")));
            };
            line.fields.push(field);
        }
        Ok(line)
    }

    pub fn fault(&self, fault: String) -> Malformed {
        Malformed { line: self.number, message: self.message.to_owned(), fault }
    }

    pub fn pairs(&self) -> &[(&'a str, &'a str)] {
        &self.fields
    }

    pub fn text(&self, name: &str) -> Option<&'a str> {
        self.fields.iter().find(|(key, _)| *key == name).map(|(_, value)| *value)
    }

    pub fn need(&self, name: &str) -> Result<&'a str, Malformed> {
        self.text(name).ok_or_else(|| self.fault(format!("field {name} is missing")))
    }

    fn parsed<T: FromStr>(&self, name: &str, value: &str) -> Result<T, Malformed> {
        let fault = || self.fault(format!("field {name} cannot be read: '{value}'"));
        value.parse().map_err(|_| fault())
    }

    pub fn whole<T: FromStr>(&self, name: &str) -> Result<T, Malformed> {
        self.parsed(name, self.need(name)?)
    }

    pub fn whole_or<T: FromStr>(&self, name: &str, absent: T) -> Result<T, Malformed> {
        self.text(name).map_or(Ok(absent), |value| self.parsed(name, value))
    }

    pub fn number(&self, name: &str) -> Result<Option<f64>, Malformed> {
        let Some(value) = self.text(name) else {
            return Ok(None);
        };
        let number: f64 = self.parsed(name, value)?;
        if number.is_finite() {
            Ok(Some(number))
        } else {
            Err(self.fault(format!("field {name} cannot be read: '{value}'")))
        }
    }

    pub fn time(&self, name: &str) -> Result<Option<Ticks>, Malformed> {
        Ok(self.number(name)?.map(ticks_from_ms))
    }

    pub fn need_time(&self, name: &str) -> Result<Ticks, Malformed> {
        self.need(name)?;
        Ok(self.time(name)?.unwrap_or_default())
    }

    pub fn flag(&self, name: &str) -> Result<bool, Malformed> {
        match self.text(name) {
            None | Some("0") => Ok(false),
            Some("1") => Ok(true),
            Some(value) => Err(self.fault(format!("field {name} cannot be read: '{value}'"))),
        }
    }
}

/// How the wire writes a time.
pub struct Millis(pub Ticks);

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.1}", self.0.0 as f64 / 10.0)
    }
}
