//! Cluster traces in CSV, read as rows of arrivals by the columns that a mapping names.
//!
//! A row that cannot be read as what it is meant to be is rejected and counted by its defect; nothing is guessed. A trace
//! whose header lacks a named column is an error.

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
