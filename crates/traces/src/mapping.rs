//! The mapping from a trace's columns to the fields of a row.
//!
//! A mapping is a section of an experiment file. Renaming a type here changes the parser's error messages; renaming a
//! field needs a `serde(rename)` that keeps its key in the file.

use crate::error::TraceError;
use serde::Deserialize;
use std::collections::BTreeMap;

/// The default of scale factors and units: it leaves a value unchanged.
pub(crate) const NEUTRAL: f64 = 1.0;

/// The default of [`Mapping::max_units`], far above the units of any product.
pub(crate) const DEFAULT_MAX_UNITS: f64 = 1e6;

/// The column names in the trace's header, by the field that each column contains.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Columns {
    /// The column with the request's arrival time, a number in units of [`Mapping::time_unit_s`].
    pub time: String,
    /// The column with the customer that sent the request.
    pub customer: String,
    /// The column with the request's kind, which [`Mapping::kinds`] maps to a product.
    pub kind: Option<String>,
    /// The column with the request's units.
    pub units: Option<String>,
    /// The column with the customer's plan.
    pub plan: Option<String>,
}

/// The mapping from columns to rows, with defaults for fields that have no column.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Mapping {
    /// The names of the columns to read.
    pub columns: Columns,
    /// The time column's unit, in seconds.
    #[serde(default = "neutral")]
    pub time_unit_s: f64,
    /// The factor by which the trace is replayed faster than recorded.
    #[serde(rename = "faster", default = "neutral")]
    pub speedup: f64,
    /// The product for each value of the kind column. Rows of other kinds are rejected.
    #[serde(default)]
    pub kinds: BTreeMap<String, String>,
    /// The plan of all customers if no column has it.
    pub plan: Option<String>,
    /// The units of each row if no column has them.
    #[serde(default = "neutral")]
    pub units: f64,
    /// The maximum of a row's units. Rows above it are rejected.
    #[serde(rename = "most_units", default = "default_max_units")]
    pub max_units: f64,
    /// The product of all rows if no column has a kind.
    pub product: Option<String>,
}

fn neutral() -> f64 {
    NEUTRAL
}

fn default_max_units() -> f64 {
    DEFAULT_MAX_UNITS
}

impl Mapping {
    /// Checks that every field of a row has a column or a default and that all factors are positive.
    pub(crate) fn validate(&self) -> Result<(), TraceError> {
        if !(self.time_unit_s > 0.0 && self.speedup > 0.0 && self.units > 0.0) {
            return Err(TraceError::Mapping("time_unit_s, faster and units must be greater than 0"));
        }
        if self.columns.plan.is_none() && self.plan.is_none() {
            return Err(TraceError::Mapping("either plan or columns.plan is required"));
        }
        if self.columns.kind.is_none() && self.product.is_none() {
            return Err(TraceError::Mapping("either product or columns.kind is required"));
        }
        Ok(())
    }
}
