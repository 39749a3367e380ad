//! Reads request traces in CSV as rows of arrivals, by a mapping from the trace's columns to the fields of a row.
//!
//! A row with a missing or unreadable value is rejected and counted by its defect; no value is guessed. A trace whose
//! header lacks a column that the mapping names is an error.

#![forbid(unsafe_code)]

mod error;
mod export;
mod import;
mod mapping;
mod row;
mod summary;

pub use self::error::TraceError;
pub use self::export::{canonical_mapping, write_trace};
pub use self::import::{ImportedTrace, RejectedRows, read_trace};
pub use self::mapping::{Columns, Mapping};
pub use self::row::{Row, RowDefect};
pub use self::summary::{ProductTotals, TraceSummary, summarize_trace};
