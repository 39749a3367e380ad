//! Summary statistics of a trace.

use crate::row::Row;
use std::collections::{BTreeMap, BTreeSet};

/// Summary statistics of a trace.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TraceSummary {
    /// The number of rows.
    pub rows: u64,
    /// The time of the last row, in seconds after the first.
    pub seconds: f64,
    /// The number of distinct customers.
    pub customers: u64,
    /// The rows and units of each product.
    pub by_product: BTreeMap<String, ProductTotals>,
    /// The largest number of rows within one second of the trace, counted in whole seconds from the first row.
    pub peak_rows_per_second: u64,
}

/// Totals over the rows of one product.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ProductTotals {
    /// The number of rows.
    pub rows: u64,
    /// The sum of the rows' units.
    pub units: f64,
}

/// Summarizes rows, which must be ordered by time.
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
