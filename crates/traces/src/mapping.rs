//! How a trace's columns are to be read.
//!
//! Part of an experiment's file: the names of types are in its error messages, and fields keep their names there by
//! `serde(rename)`.

use crate::error::TraceError;
use serde::Deserialize;
use std::collections::BTreeMap;

/// The default of a factor that changes nothing.
pub(crate) const NEUTRAL: f64 = 1.0;

/// The default of [`Mapping::max_units`]: far more than any product has.
pub(crate) const DEFAULT_MAX_UNITS: f64 = 1e6;

/// The columns by what they contain, by the names in the header.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Columns {
    /// When the row's request arrived, as a number.
    pub time: String,
    /// Who sent it.
    pub customer: String,
    /// What it was, which [`Mapping::kinds`] translates to a product.
    pub kind: Option<String>,
    /// How many units of the product it was for.
    pub units: Option<String>,
    /// The customer's plan.
    pub plan: Option<String>,
}

/// How the columns are to be read.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Mapping {
    /// The columns.
    pub columns: Columns,
    /// Seconds in one unit of the time column.
    #[serde(default = "neutral")]
    pub time_unit_s: f64,
    /// How many times faster than recorded the trace is played.
    #[serde(rename = "faster", default = "neutral")]
    pub speedup: f64,
    /// The product for each value of the kind column.
    #[serde(default)]
    pub kinds: BTreeMap<String, String>,
    /// The plan of all customers, where no column has it.
    pub plan: Option<String>,
    /// The units of each row, where no column has them.
    #[serde(default = "neutral")]
    pub units: f64,
    /// The most units that a row may have.
    #[serde(rename = "most_units", default = "default_max_units")]
    pub max_units: f64,
    /// The product of all rows, where no column has a kind.
    pub product: Option<String>,
}

fn neutral() -> f64 {
    NEUTRAL
}

fn default_max_units() -> f64 {
    DEFAULT_MAX_UNITS
}

impl Mapping {
    /// Whether each field of a row has a source, and factors are usable.
    pub(crate) fn validate(&self) -> Result<(), TraceError> {
        if !(self.time_unit_s > 0.0 && self.speedup > 0.0 && self.units > 0.0) {
            return Err(TraceError::Mapping("time_unit_s, faster and units must be above 0"));
        }
        if self.columns.plan.is_none() && self.plan.is_none() {
            return Err(TraceError::Mapping("neither plan nor columns.plan is given"));
        }
        if self.columns.kind.is_none() && self.product.is_none() {
            return Err(TraceError::Mapping("neither product nor columns.kind is given"));
        }
        Ok(())
    }
}
