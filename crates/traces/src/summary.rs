//! A summary of a trace, for whoever imports one.

use crate::row::Row;
use std::collections::{BTreeMap, BTreeSet};

/// A trace at a glance.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TraceSummary {
    /// Number of rows.
    pub rows: u64,
    /// Time of the last row, in seconds after the first.
    pub seconds: f64,
    /// Number of customers.
    pub customers: u64,
    /// Rows and units of each product.
    pub by_product: BTreeMap<String, ProductTotals>,
    /// The most rows in any one second.
    pub peak_rows_per_second: u64,
}

/// The rows of one product.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ProductTotals {
    /// Number of rows.
    pub rows: u64,
    /// Units of all rows.
    pub units: f64,
}

/// Summarizes rows, which must be in order of time.
pub fn summarize_trace(rows: &[Row]) -> TraceSummary {
    let customers: BTreeSet<&str> = rows.iter().map(|row| row.customer.as_str()).collect();
    let mut by_product: BTreeMap<String, ProductTotals> = BTreeMap::new();
    let mut rows_per_second: BTreeMap<u64, u64> = BTreeMap::new();
    for row in rows {
        let totals = by_product.entry(row.product.clone()).or_default();
        totals.rows += 1;
        totals.units += row.units;
        *rows_per_second.entry(row.time_s as u64).or_default() += 1;
    }
    TraceSummary {
        rows: rows.len() as u64,
        seconds: rows.last().map_or(0.0, |row| row.time_s),
        customers: customers.len() as u64,
        by_product,
        peak_rows_per_second: rows_per_second.values().copied().max().unwrap_or_default(),
    }
}
