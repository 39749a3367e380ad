//! A row of a trace, and the defects for which rows are rejected.

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// One request of a trace. The field names are the column names of the canonical CSV format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// The request's arrival time, in seconds after the first row.
    pub time_s: f64,
    /// The customer that sends the request.
    pub customer: String,
    /// The product that the request is for.
    pub product: String,
    /// The customer's plan.
    pub plan: String,
    /// The number of the product's units that the request is for.
    pub units: f64,
}

/// The reason why a row was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Error)]
pub enum RowDefect {
    /// The number of fields differs from the header's, or a field is not UTF-8.
    #[error("the record has the wrong number of fields or is not UTF-8")]
    MalformedRecord,
    /// The time is not a finite number.
    #[error("the time is not a finite number")]
    InvalidTime,
    /// The time is before that of the last accepted row.
    #[error("the time is before that of the last accepted row")]
    OutOfOrder,
    /// The customer's name is empty.
    #[error("the customer is empty")]
    MissingCustomer,
    /// The mapping has no product for the row's kind.
    #[error("the kind is not mapped to a product")]
    UnmappedKind,
    /// The units are not a positive number, or exceed the mapping's maximum.
    #[error("the units are not a positive number or exceed most_units")]
    InvalidUnits,
    /// The plan is not in the caller's list of plans.
    #[error("the plan is not one of the experiment's plans")]
    UnknownPlan,
}
