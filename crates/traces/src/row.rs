//! A row of a trace, and what may be wrong with one.

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// One request of a trace. Its fields are the columns of a written trace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// When it arrives, in seconds after the first row.
    pub time_s: f64,
    /// Who sends it.
    pub customer: String,
    /// What it is for.
    pub product: String,
    /// The customer's plan.
    pub plan: String,
    /// How many units of the product it is for.
    pub units: f64,
}

/// Why a row was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Error)]
pub enum RowDefect {
    /// Not as many fields as the header, or bytes that are not text.
    #[error("not the header's fields")]
    Form,
    /// The time is not a finite number.
    #[error("no time")]
    Time,
    /// The time is before the previous row's.
    #[error("earlier than the row before")]
    OutOfOrder,
    /// The customer's name is empty.
    #[error("no customer")]
    Customer,
    /// The mapping has no product for the kind.
    #[error("a kind that is not mapped")]
    Kind,
    /// The units are not a number above zero, or are more than the mapping allows.
    #[error("no units, or out of range")]
    Units,
    /// The plan is not one of those that the caller knows.
    #[error("a plan that is not known")]
    Plan,
}
