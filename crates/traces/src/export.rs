//! Writes a trace in the canonical CSV format: one column for each field of [`Row`].

use crate::error::TraceError;
use crate::mapping::{Columns, DEFAULT_MAX_UNITS, Mapping, NEUTRAL};
use crate::row::Row;
use std::io::Write;

/// Writes rows as canonical CSV, which [`canonical_mapping`] describes.
///
/// # Errors
///
/// Returns an error if the output cannot be written.
pub fn write_trace(to: impl Write, rows: &[Row]) -> Result<(), TraceError> {
    let mut writer = csv::Writer::from_writer(to);
    rows.iter().try_for_each(|row| writer.serialize(row))?;
    writer.flush().map_err(TraceError::Flush)
}

/// Returns the mapping that reads the output of [`write_trace`], for a trace of these products.
pub fn canonical_mapping(products: &[String]) -> Mapping {
    let column = |name: &str| name.to_owned();
    Mapping {
        columns: Columns {
            time: column("time_s"),
            customer: column("customer"),
            kind: Some(column("product")),
            units: Some(column("units")),
            plan: Some(column("plan")),
        },
        time_unit_s: NEUTRAL,
        speedup: NEUTRAL,
        kinds: products.iter().map(|name| (name.clone(), name.clone())).collect(),
        plan: None,
        units: NEUTRAL,
        max_units: DEFAULT_MAX_UNITS,
        product: None,
    }
}
