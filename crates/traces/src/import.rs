//! Parses a CSV trace into rows.

use crate::error::TraceError;
use crate::mapping::{Columns, Mapping};
use crate::row::{Row, RowDefect};
use csv::{ErrorKind, StringRecord, Trim};
use std::collections::BTreeMap;
use std::io::Read;

/// The result of reading a trace.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ImportedTrace {
    /// The accepted rows, ordered by time.
    pub rows: Vec<Row>,
    /// The counts of rejected rows, by defect.
    pub rejected: BTreeMap<RowDefect, RejectedRows>,
}

/// The rows that were rejected for the same defect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RejectedRows {
    /// The number of rejected rows.
    pub count: u64,
    /// The line number of the first rejected row.
    pub first_line: u64,
}

impl ImportedTrace {
    /// Returns the number of rejected rows over all defects.
    pub fn rejected_count(&self) -> u64 {
        self.rejected.values().map(|rejected| rejected.count).sum()
    }

    fn reject(&mut self, defect: RowDefect, line: u64) {
        let rejected = self.rejected.entry(defect).or_insert(RejectedRows { count: 0, first_line: line });
        rejected.count += 1;
    }
}

/// Reads a CSV trace by a mapping. Rows whose plan is not in `plans` are rejected.
///
/// # Errors
///
/// Returns an error if the mapping is invalid, the header lacks or repeats a mapped column, or the input cannot be read.
/// Defective rows are not an error: the result counts them.
pub fn read_trace(from: impl Read, mapping: &Mapping, plans: &[String]) -> Result<ImportedTrace, TraceError> {
    mapping.validate()?;
    let mut reader = csv::ReaderBuilder::new().flexible(true).trim(Trim::All).from_reader(from);
    let header = reader.headers()?.clone();
    let mut parser = RowParser::new(mapping, plans, &header)?;
    let mut trace = ImportedTrace::default();
    let mut record = StringRecord::new();
    loop {
        let line = reader.position().line();
        let parsed = match reader.read_record(&mut record) {
            Ok(false) => return Ok(trace),
            Ok(true) if record.len() == header.len() => parser.parse(&record),
            Ok(true) => Err(RowDefect::MalformedRecord),
            // The CSV reader can continue after a record that is not UTF-8, but not after any other error.
            Err(error) if matches!(error.kind(), ErrorKind::Utf8 { .. }) => Err(RowDefect::MalformedRecord),
            Err(error) => return Err(error.into()),
        };
        match parsed {
            Ok(row) => trace.rows.push(row),
            Err(defect) => trace.reject(defect, line),
        }
    }
}

/// The indexes of the mapped columns in the header.
#[derive(Clone, Copy, Debug)]
struct ColumnIndexes {
    time: usize,
    customer: usize,
    kind: Option<usize>,
    units: Option<usize>,
    plan: Option<usize>,
}

impl ColumnIndexes {
    fn find(columns: &Columns, header: &StringRecord) -> Result<ColumnIndexes, TraceError> {
        let index = |name: &String| index_of(name, header);
        Ok(ColumnIndexes {
            time: index(&columns.time)?,
            customer: index(&columns.customer)?,
            kind: columns.kind.as_ref().map(index).transpose()?,
            units: columns.units.as_ref().map(index).transpose()?,
            plan: columns.plan.as_ref().map(index).transpose()?,
        })
    }
}

fn index_of(name: &str, header: &StringRecord) -> Result<usize, TraceError> {
    let mut found = header.iter().enumerate().filter(|(_, column)| *column == name).map(|(index, _)| index);
    match (found.next(), found.next()) {
        (Some(index), None) => Ok(index),
        (None, _) => Err(TraceError::MissingColumn(name.to_owned())),
        (Some(_), Some(_)) => Err(TraceError::DuplicateColumn(name.to_owned())),
    }
}

/// Parses records in the order of the file: times are relative to the first accepted row and must not decrease.
struct RowParser<'a> {
    mapping: &'a Mapping,
    plans: &'a [String],
    columns: ColumnIndexes,
    /// The time of the first accepted row, in the trace's time unit.
    first_time: Option<f64>,
    /// The time of the last accepted row, in the trace's time unit.
    last_time: f64,
}

impl<'a> RowParser<'a> {
    fn new(
        mapping: &'a Mapping,
        plans: &'a [String],
        header: &StringRecord,
    ) -> Result<RowParser<'a>, TraceError> {
        let columns = ColumnIndexes::find(&mapping.columns, header)?;
        Ok(RowParser { mapping, plans, columns, first_time: None, last_time: f64::MIN })
    }

    fn parse(&mut self, record: &StringRecord) -> Result<Row, RowDefect> {
        let time = self.time(record)?;
        let customer = self.customer(record)?;
        let product = self.product(record)?;
        let units = self.units(record)?;
        let plan = self.plan(record)?;
        self.last_time = time;
        let first_time = *self.first_time.get_or_insert(time);
        let time_s = (time - first_time) * self.mapping.time_unit_s / self.mapping.speedup;
        Ok(Row { time_s, customer, product, plan, units })
    }

    fn time(&self, record: &StringRecord) -> Result<f64, RowDefect> {
        let time: f64 = field(record, self.columns.time).parse().map_err(|_| RowDefect::InvalidTime)?;
        if !time.is_finite() {
            return Err(RowDefect::InvalidTime);
        }
        if time < self.last_time {
            return Err(RowDefect::OutOfOrder);
        }
        Ok(time)
    }

    fn customer(&self, record: &StringRecord) -> Result<String, RowDefect> {
        match field(record, self.columns.customer) {
            "" => Err(RowDefect::MissingCustomer),
            customer => Ok(customer.to_owned()),
        }
    }

    fn product(&self, record: &StringRecord) -> Result<String, RowDefect> {
        let product = match self.columns.kind {
            Some(column) => self.mapping.kinds.get(field(record, column)),
            None => self.mapping.product.as_ref(),
        };
        product.cloned().ok_or(RowDefect::UnmappedKind)
    }

    fn units(&self, record: &StringRecord) -> Result<f64, RowDefect> {
        let units = match self.columns.units {
            Some(column) => field(record, column).parse().map_err(|_| RowDefect::InvalidUnits)?,
            None => self.mapping.units,
        };
        if units > 0.0 && units <= self.mapping.max_units { Ok(units) } else { Err(RowDefect::InvalidUnits) }
    }

    fn plan(&self, record: &StringRecord) -> Result<String, RowDefect> {
        let plan = match self.columns.plan {
            Some(column) => field(record, column),
            None => self.mapping.plan.as_deref().unwrap_or_default(),
        };
        if self.plans.iter().any(|known| known == plan) {
            Ok(plan.to_owned())
        } else {
            Err(RowDefect::UnknownPlan)
        }
    }
}

fn field(record: &StringRecord, column: usize) -> &str {
    record.get(column).unwrap_or_default()
}
