//! Parses lines of the simulator's protocol: a message name followed by fields of the form `name=value`, separated by
//! spaces.
//!
//! The simulator defines the names of messages and fields and the texts of errors; they must not change.

use std::fmt;
use std::str::FromStr;
use thiserror::Error;
use vanewharf_gateway_settings::{UnreadableOption, ticks_from_ms};
use vanewharf_policy::interface::Ticks;

/// Number of [`Ticks`] per millisecond.
const TICKS_PER_MS: f64 = 10.0;

/// An error in a line of the input, with the line's number and message.
#[derive(Debug, Error)]
#[error("line {line}, message {message}: {problem}")]
pub struct InvalidLine {
    line: u64,
    message: String,
    problem: LineProblem,
}

impl InvalidLine {
    /// Creates the error for input that ends within a batch; `line` is the number of the last line.
    pub fn input_ended(line: u64) -> InvalidLine {
        InvalidLine { line, message: "EOF_BATCH".to_owned(), problem: LineProblem::InputEnded }
    }
}

/// The reason why a line is invalid.
#[derive(Debug, Error)]
pub enum LineProblem {
    /// A part of the line after the message name has no `=`.
    #[error("'{0}' is no field")]
    NotAField(String),
    /// The line lacks a field that the message requires.
    #[error("field {0} is missing")]
    MissingField(String),
    /// A value cannot be parsed as the field's type.
    #[error("field {field} cannot be read: '{value}'")]
    UnreadableField {
        /// The field's name.
        field: String,
        /// The value in the line.
        value: String,
    },
    /// A numeric code that is not defined for the field.
    #[error("field {field} is no {meaning}: '{code}'")]
    UnknownCode {
        /// The field's name.
        field: &'static str,
        /// What the field's codes represent.
        meaning: &'static str,
        /// The code in the line.
        code: u32,
    },
    /// A plan or product that the gateway's settings do not define.
    #[error("field {field} names nothing told: '{name}'")]
    UnknownName {
        /// The field's name.
        field: String,
        /// The name in the line.
        name: String,
    },
    /// A message that the protocol does not define.
    #[error("unknown message")]
    UnknownMessage,
    /// A message that is not allowed in the current state of the session.
    #[error("out of place: {0}")]
    OutOfPlace(&'static str),
    /// A message to a gateway that is not running.
    #[error("out of place: {0} was not launched")]
    NotLaunched(String),
    /// The input ended within a batch.
    #[error("the input ends in mid-batch")]
    InputEnded,
    /// A setting in a `LAUNCH` line cannot be parsed.
    #[error(transparent)]
    UnreadableOption(#[from] UnreadableOption),
}

/// A parsed line: its message name and its fields.
pub struct Line<'a> {
    number: u64,
    /// The message name, empty in an empty line.
    pub message: &'a str,
    fields: Vec<(&'a str, &'a str)>,
}

impl<'a> Line<'a> {
    /// Parses a line; `number` is its position in the input, for errors.
    ///
    /// # Errors
    /// Returns an error if a part after the message name has no `=`.
    pub fn parse(number: u64, text: &'a str) -> Result<Line<'a>, InvalidLine> {
        let mut parts = text.split(' ');
        let message = parts.next().unwrap_or_default();
        let mut line = Line { number, message, fields: Vec::new() };
        for part in parts.filter(|part| !part.is_empty()) {
            let Some(field) = part.split_once('=') else {
                return Err(line.invalid(LineProblem::NotAField(part.to_owned())));
            };
            line.fields.push(field);
        }
        Ok(line)
    }

    /// Creates an error for this line.
    pub fn invalid(&self, problem: LineProblem) -> InvalidLine {
        InvalidLine { line: self.number, message: self.message.to_owned(), problem }
    }

    /// Returns all fields as pairs of name and value, in the order of the line.
    pub fn fields(&self) -> &[(&'a str, &'a str)] {
        &self.fields
    }

    /// Returns a field's value, or `None` if the line does not have the field.
    pub fn text(&self, name: &str) -> Option<&'a str> {
        self.fields.iter().find(|(key, _)| *key == name).map(|(_, value)| *value)
    }

    /// Returns a field's value.
    ///
    /// # Errors
    /// Returns an error if the line does not have the field.
    pub fn required_text(&self, name: &str) -> Result<&'a str, InvalidLine> {
        self.text(name).ok_or_else(|| self.invalid(LineProblem::MissingField(name.to_owned())))
    }

    /// Parses a field's value.
    ///
    /// # Errors
    /// Returns an error if the line does not have the field or its value cannot be parsed.
    pub fn required<T: FromStr>(&self, name: &str) -> Result<T, InvalidLine> {
        self.parse_value(name, self.required_text(name)?)
    }

    /// Parses a field's value, or returns the default if the line does not have the field.
    ///
    /// # Errors
    /// Returns an error if the value cannot be parsed.
    pub fn optional<T: FromStr>(&self, name: &str, default: T) -> Result<T, InvalidLine> {
        self.text(name).map_or(Ok(default), |value| self.parse_value(name, value))
    }

    /// Parses a field as a finite number. Returns `None` if the line does not have the field.
    ///
    /// # Errors
    /// Returns an error if the value is not a finite number.
    pub fn number(&self, name: &str) -> Result<Option<f64>, InvalidLine> {
        let Some(value) = self.text(name) else {
            return Ok(None);
        };
        let number: f64 = self.parse_value(name, value)?;
        if number.is_finite() { Ok(Some(number)) } else { Err(self.unreadable(name, value)) }
    }

    /// Parses a field as a time in milliseconds. Returns `None` if the line does not have the field.
    ///
    /// # Errors
    /// Returns an error if the value is not a finite number.
    pub fn time(&self, name: &str) -> Result<Option<Ticks>, InvalidLine> {
        Ok(self.number(name)?.map(ticks_from_ms))
    }

    /// Parses a field as a time in milliseconds.
    ///
    /// # Errors
    /// Returns an error if the line does not have the field or its value is not a finite number.
    pub fn required_time(&self, name: &str) -> Result<Ticks, InvalidLine> {
        self.required_text(name)?;
        Ok(self.time(name)?.unwrap_or_default())
    }

    /// Parses a flag, written as 0 or 1. Returns false if the line does not have the field.
    ///
    /// # Errors
    /// Returns an error if the value is neither 0 nor 1.
    pub fn flag(&self, name: &str) -> Result<bool, InvalidLine> {
        match self.text(name) {
            None | Some("0") => Ok(false),
            Some("1") => Ok(true),
            Some(value) => Err(self.unreadable(name, value)),
        }
    }

    fn parse_value<T: FromStr>(&self, name: &str, value: &str) -> Result<T, InvalidLine> {
        value.parse().map_err(|_| self.unreadable(name, value))
    }

    fn unreadable(&self, field: &str, value: &str) -> InvalidLine {
        let (field, value) = (field.to_owned(), value.to_owned());
        self.invalid(LineProblem::UnreadableField { field, value })
    }
}

/// Formats a duration in the protocol's form: milliseconds with one decimal.
pub struct Milliseconds(pub Ticks);

impl fmt::Display for Milliseconds {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.1}", self.0.0 as f64 / TICKS_PER_MS)
    }
}
