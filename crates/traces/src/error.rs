//! Errors that concern a whole trace.

use std::io;
use thiserror::Error;

/// The reason why a trace cannot be read or written.
#[derive(Debug, Error)]
pub enum TraceError {
    /// The header lacks a column that the mapping names.
    #[error("the trace has no column '{0}'")]
    MissingColumn(String),
    /// The header has a column that the mapping names more than once.
    #[error("the trace has column '{0}' more than once")]
    DuplicateColumn(String),
    /// The CSV reader or writer failed.
    #[error("the trace cannot be read or written: {0}")]
    Csv(#[from] csv::Error),
    /// The buffered rows cannot be flushed to the output.
    #[error("the trace cannot be written: {0}")]
    Flush(io::Error),
    /// The mapping is invalid.
    #[error("invalid trace mapping: {0}")]
    Mapping(&'static str),
}
