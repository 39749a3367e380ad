//! Why a trace cannot be read or written at all.

use std::io;
use thiserror::Error;

/// A whole trace cannot be read or written.
#[derive(Debug, Error)]
pub enum TraceError {
    /// The header lacks a column that the mapping names.
    #[error("the trace has no column '{0}'")]
    MissingColumn(String),
    /// A column that the mapping names is ambiguous.
    #[error("the trace cannot be read: column '{0}' comes twice")]
    DuplicateColumn(String),
    /// The file cannot be read or written as CSV.
    #[error("the trace cannot be read: {0}")]
    Csv(#[from] csv::Error),
    /// The last rows cannot be written.
    #[error("the trace cannot be read: {0}")]
    Flush(io::Error),
    /// The mapping is not usable.
    #[error("the mapping: {0}")]
    Mapping(&'static str),
}
