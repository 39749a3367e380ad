//! The lines of the simulator's wire: a message's name, then fields of the form `name=value`, all parted by spaces.
//!
//! The names of messages and fields, and the texts of errors, are the simulator's and stay as they are.

use std::fmt;
use std::str::FromStr;
use thiserror::Error;
use vanewharf_gateway_settings::{UnreadableOption, ticks_from_ms};
use vanewharf_policy::interface::Ticks;

/// A line that cannot be taken, and where it stands.
#[derive(Debug, Error)]
#[error("line {line}, message {message}: {problem}")]
pub struct InvalidLine {
    line: u64,
    message: String,
    problem: LineProblem,
}

impl InvalidLine {
    /// The input ended within a batch, after so many lines.
    pub fn input_ended(line: u64) -> InvalidLine {
        InvalidLine { line, message: "EOF_BATCH".to_owned(), problem: LineProblem::InputEnded }
    }
}

/// What is wrong with a line.
#[derive(Debug, Error)]
pub enum LineProblem {
    /// A part of the line has no `=`.
    #[error("'{0}' is no field")]
    NotAField(String),
    /// A field that the message needs.
    #[error("field {0} is missing")]
    MissingField(String),
    /// A value that is not of the field's type.
    #[error("field {field} cannot be read: '{value}'")]
    UnreadableField {
        /// The field's name.
        field: String,
        /// What stands there.
        value: String,
    },
    /// A code that none of the field's meanings has.
    #[error("field {field} is no {meaning}: '{code}'")]
    UnknownCode {
        /// The field's name.
        field: &'static str,
        /// What the code stands for.
        meaning: &'static str,
        /// What stands there.
        code: u32,
    },
    /// A name that the settings do not have.
    #[error("field {field} names nothing told: '{name}'")]
    UnknownName {
        /// The field's name.
        field: String,
        /// What stands there.
        name: String,
    },
    /// A message that the wire does not have.
    #[error("unknown message")]
    UnknownMessage,
    /// A message that cannot come now.
    #[error("out of place: {0}")]
    OutOfPlace(&'static str),
    /// A message to a gateway that does not run.
    #[error("out of place: {0} was not launched")]
    NotLaunched(String),
    /// The input ended within a batch.
    #[error("the input ends in mid-batch")]
    InputEnded,
    /// A gateway's settings cannot be read.
    #[error(transparent)]
    UnreadableOption(#[from] UnreadableOption),
}

/// One line: its message and its fields.
pub struct Line<'a> {
    number: u64,
    /// The message's name.
    pub message: &'a str,
    fields: Vec<(&'a str, &'a str)>,
}

impl<'a> Line<'a> {
    /// Reads the line with this number.
    ///
    /// # Errors
    /// If a part after the message's name is no field.
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

    /// An error about this line.
    pub fn invalid(&self, problem: LineProblem) -> InvalidLine {
        InvalidLine { line: self.number, message: self.message.to_owned(), problem }
    }

    /// All fields, in order.
    pub fn fields(&self) -> &[(&'a str, &'a str)] {
        &self.fields
    }

    /// A field's value, if the line has it.
    pub fn text(&self, name: &str) -> Option<&'a str> {
        self.fields.iter().find(|(key, _)| *key == name).map(|(_, value)| *value)
    }

    /// A field's value.
    ///
    /// # Errors
    /// If the line does not have the field.
    pub fn required_text(&self, name: &str) -> Result<&'a str, InvalidLine> {
        self.text(name).ok_or_else(|| self.invalid(LineProblem::MissingField(name.to_owned())))
    }

    /// A field's value, parsed.
    ///
    /// # Errors
    /// If the line does not have the field, or its value does not parse.
    pub fn required<T: FromStr>(&self, name: &str) -> Result<T, InvalidLine> {
        self.parse_value(name, self.required_text(name)?)
    }

    /// A field's value, parsed, or a default where the line does not have it.
    ///
    /// # Errors
    /// If the value does not parse.
    pub fn optional<T: FromStr>(&self, name: &str, default: T) -> Result<T, InvalidLine> {
        self.text(name).map_or(Ok(default), |value| self.parse_value(name, value))
    }

    /// A finite number, if the line has the field.
    ///
    /// # Errors
    /// If the value is no finite number.
    pub fn number(&self, name: &str) -> Result<Option<f64>, InvalidLine> {
        let Some(value) = self.text(name) else {
            return Ok(None);
        };
        let number: f64 = self.parse_value(name, value)?;
        if number.is_finite() { Ok(Some(number)) } else { Err(self.unreadable(name, value)) }
    }

    /// A time in milliseconds, if the line has the field.
    ///
    /// # Errors
    /// If the value is no finite number.
    pub fn time(&self, name: &str) -> Result<Option<Ticks>, InvalidLine> {
        Ok(self.number(name)?.map(ticks_from_ms))
    }

    /// A time in milliseconds.
    ///
    /// # Errors
    /// If the line does not have the field, or its value is no finite number.
    pub fn required_time(&self, name: &str) -> Result<Ticks, InvalidLine> {
        self.required_text(name)?;
        Ok(self.time(name)?.unwrap_or_default())
    }

    /// A flag, written as 0 or 1; unset where the line does not have the field.
    ///
    /// # Errors
    /// If the value is anything else.
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

/// A span as the wire writes it: milliseconds with one decimal.
pub struct Milliseconds(pub Ticks);

impl fmt::Display for Milliseconds {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.1}", self.0.0 as f64 / 10.0)
    }
}
