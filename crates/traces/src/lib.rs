//! A cluster trace in CSV, read by the columns that the user names. A row that cannot be read for what it is
//! meant to be is counted by what is wrong with it and left out; nothing is guessed. A trace whose header lacks
//! a named column is refused.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::io::{Read, Write};

/// Which columns say what, by the header's names.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Columns {
    pub time: String,
    pub customer: String,
    pub kind: Option<String>,
    pub units: Option<String>,
    pub plan: Option<String>,
}

/// How the columns are to be taken.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Mapping {
    pub columns: Columns,
    /// What one unit of the time column is, in seconds.
    #[serde(default = "one")]
    pub time_unit_s: f64,
    /// The trace's seconds pass so many times faster.
    #[serde(rename = "faster", default = "one")]
    pub speedup: f64,
    /// The product of each word in the kind column.
    #[serde(default)]
    pub kinds: BTreeMap<String, String>,
    /// Where no column has it.
    pub plan: Option<String>,
    /// Where no column has them.
    #[serde(default = "one")]
    pub units: f64,
    /// The most that a row may say.
    #[serde(rename = "most_units", default = "most")]
    pub max_units: f64,
    /// Where no column has it.
    pub product: Option<String>,
}

fn one() -> f64 {
    1.0
}

fn most() -> f64 {
    1e6
}

/// One txn of the trace, in seconds from its first row.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    pub time_s: f64,
    pub customer: String,
    pub product: String,
    pub plan: String,
    pub units: f64,
}

/// What is wrong with a row that was left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RowDefect {
    /// Not as many fields as the header, or bytes that are no text.
    Form,
    Time,
    OutOfOrder,
    Customer,
    Kind,
    Units,
    Plan,
}

impl fmt::Display for RowDefect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RowDefect::Form => "not the header's fields",
            RowDefect::Time => "no time",
            RowDefect::OutOfOrder => "earlier than the row before",
            RowDefect::Customer => "no customer",
            RowDefect::Kind => "a kind that is not mapped",
            RowDefect::Units => "no units, or out of range",
            RowDefect::Plan => "a plan that is not known",
        })
    }
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct ImportedTrace {
    pub rows: Vec<Row>,
    /// How many were left out by what is wrong with them, and the line of the first of each.
    pub rejected: BTreeMap<RowDefect, (u64, u64)>,
}

impl ImportedTrace {
    pub fn rejected_count(&self) -> u64 {
        self.rejected.values().map(|(count, _)| count).sum()
    }
}

#[derive(Debug)]
pub enum TraceError {
    Column(String),
    Unreadable(String),
    Mapping(String),
}

impl fmt::Display for TraceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            TraceError::Column(name) => write!(f, "the trace has no column '{name}'"),
            TraceError::Unreadable(why) => write!(f, "the trace cannot be read: {why}"),
            TraceError::Mapping(why) => write!(f, "the mapping: {why}"),
        }
    }
}

impl std::error::Error for TraceError {}

/// Reads a trace; `plans` are those that a row may name.
pub fn read_trace(from: impl Read, mapping: &Mapping, plans: &[String]) -> Result<ImportedTrace, TraceError> {
    if !(mapping.time_unit_s > 0.0 && mapping.speedup > 0.0 && mapping.units > 0.0) {
        return Err(TraceError::Mapping("time_unit_s, faster and units must be above 0".to_owned()));
    }
    if mapping.columns.plan.is_none() && mapping.plan.is_none() {
        return Err(TraceError::Mapping("neither plan nor columns.plan is given".to_owned()));
    }
    if mapping.columns.kind.is_none() && mapping.product.is_none() {
        return Err(TraceError::Mapping("neither product nor columns.kind is given".to_owned()));
    }
    let mut reader = csv::ReaderBuilder::new().flexible(true).trim(csv::Trim::All).from_reader(from);
    let unreadable = |error: csv::Error| TraceError::Unreadable(error.to_string());
    let header = reader.headers().map_err(unreadable)?.clone();
    let place = |name: &String| {
        let places: Vec<_> = header.iter().enumerate().filter(|(_, known)| known == name).collect();
        match places.as_slice() {
            [(place, _)] => Ok(*place),
            [] => Err(TraceError::Column(name.clone())),
            _ => Err(TraceError::Unreadable(format!("column '{name}' comes twice"))),
        }
    };
    let time = place(&mapping.columns.time)?;
    let customer = place(&mapping.columns.customer)?;
    let kind = mapping.columns.kind.as_ref().map(place).transpose()?;
    let units = mapping.columns.units.as_ref().map(place).transpose()?;
    let plan = mapping.columns.plan.as_ref().map(place).transpose()?;
    let mut all = ImportedTrace::default();
    let (mut began, mut latest) = (None, f64::MIN);
    let mut record = csv::StringRecord::new();
    loop {
        let line = reader.position().line();
        let mut wrong = |what: RowDefect| {
            let entry = all.rejected.entry(what).or_insert((0, line));
            entry.0 += 1;
        };
        match reader.read_record(&mut record) {
            Ok(false) => break,
            Ok(true) if record.len() == header.len() => {}
            // The reader goes on behind a record that is no text; any other fault ends the file.
            Err(error) if !matches!(error.kind(), csv::ErrorKind::Utf8 { .. }) => {
                return Err(unreadable(error));
            }
            _ => {
                wrong(RowDefect::Form);
                continue;
            }
        }
        let field = |place: usize| record.get(place).unwrap_or_default();
        let Some(at) = field(time).parse::<f64>().ok().filter(|at| at.is_finite()) else {
            wrong(RowDefect::Time);
            continue;
        };
        if at < latest {
            wrong(RowDefect::OutOfOrder);
            continue;
        }
        if field(customer).is_empty() {
            wrong(RowDefect::Customer);
            continue;
        }
        let product = match kind {
            Some(place) => mapping.kinds.get(field(place)),
            None => mapping.product.as_ref(),
        };
        let Some(product) = product else {
            wrong(RowDefect::Kind);
            continue;
        };
        let units = match units {
            Some(place) => field(place).parse::<f64>().ok(),
            None => Some(mapping.units),
        };
        let Some(units) = units.filter(|units| *units > 0.0 && *units <= mapping.max_units) else {
            wrong(RowDefect::Units);
            continue;
        };
        let plan = plan.map_or_else(|| mapping.plan.as_deref().unwrap_or_default(), field);
        if !plans.iter().any(|known| known == plan) {
            wrong(RowDefect::Plan);
            continue;
        }
        latest = at;
        let began = *began.get_or_insert(at);
        all.rows.push(Row {
            time_s: (at - began) * mapping.time_unit_s / mapping.speedup,
            customer: field(customer).to_owned(),
            product: product.clone(),
            plan: plan.to_owned(),
            units,
        });
    }
    Ok(all)
}

/// Writes what was read in the project's own form, which `own` maps.
pub fn write_trace(to: impl Write, rows: &[Row]) -> Result<(), TraceError> {
    let mut writer = csv::Writer::from_writer(to);
    let unreadable = |error: csv::Error| TraceError::Unreadable(error.to_string());
    rows.iter().try_for_each(|row| writer.serialize(row)).map_err(unreadable)?;
    writer.flush().map_err(|error| TraceError::Unreadable(error.to_string()))
}

/// The mapping of what `write` writes.
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
        time_unit_s: 1.0,
        speedup: 1.0,
        kinds: products.iter().map(|name| (name.clone(), name.clone())).collect(),
        plan: None,
        units: 1.0,
        max_units: most(),
        product: None,
    }
}

/// A trace at a glance.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TraceSummary {
    pub rows: u64,
    pub seconds: f64,
    pub customers: u64,
    pub by_product: BTreeMap<String, (u64, f64)>,
    /// The most rows in one second, and the mean.
    pub peak_rows_per_second: u64,
}

pub fn summarize_trace(rows: &[Row]) -> TraceSummary {
    let mut customers: Vec<&str> = rows.iter().map(|row| row.customer.as_str()).collect();
    customers.sort_unstable();
    customers.dedup();
    let mut by_product = BTreeMap::new();
    let mut seconds: BTreeMap<u64, u64> = BTreeMap::new();
    for row in rows {
        let entry = by_product.entry(row.product.clone()).or_insert((0, 0.0));
        entry.0 += 1;
        entry.1 += row.units;
        *seconds.entry(row.time_s as u64).or_default() += 1;
    }
    TraceSummary {
        rows: rows.len() as u64,
        seconds: rows.last().map_or(0.0, |row| row.time_s),
        customers: customers.len() as u64,
        by_product,
        peak_rows_per_second: seconds.values().copied().max().unwrap_or_default(),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn mapping() -> Mapping {
        let column = |name: &str| name.to_owned();
        Mapping {
            columns: Columns {
                time: column("ts"),
                customer: column("user"),
                kind: Some(column("op")),
                units: Some(column("cpu")),
                plan: None,
            },
            time_unit_s: 0.001,
            speedup: 2.0,
            kinds: BTreeMap::from([
                ("get".to_owned(), "resolve".to_owned()),
                ("put".to_owned(), "publish".to_owned()),
            ]),
            plan: Some("basic".to_owned()),
            units: 1.0,
            max_units: 100.0,
            product: None,
        }
    }

    fn plans() -> Vec<String> {
        vec!["basic".to_owned()]
    }

    #[test]
    fn rows_become_txns_by_the_columns_named() {
        let text = "user,ts,op,cpu,extra\na,5000,get,2,x\nb,7000,put,8,y\n";
        let read = read_trace(text.as_bytes(), &mapping(), &plans()).expect("readable");
        assert!(read.rejected.is_empty());
        assert_eq!(read.rows[1].time_s, 1.0, "two seconds, twice as fast, from the first row on");
        assert_eq!((read.rows[1].product.as_str(), read.rows[1].units), ("publish", 8.0));
    }

    #[test]
    fn what_is_wrong_is_counted_by_its_kind_and_left_out() {
        let text = "user,ts,op,cpu\na,5000,get,2\na,x,get,2\na,4999,get,2\n,5001,get,2\na,5002,move,2\na,5003,get,-1\n\
                    a,5004,get,1e9\na,5005,get\na,5006,get,2,9\na,nan,get,2\na,5000,get,2\na,5007,put,1\n";
        let read = read_trace(text.as_bytes(), &mapping(), &plans()).expect("readable");
        assert_eq!(read.rows.len(), 3);
        let counts: Vec<_> =
            read.rejected.iter().map(|(wrong, (count, line))| (*wrong, *count, *line)).collect();
        use RowDefect::*;
        assert_eq!(
            counts,
            [(Form, 2, 9), (Time, 2, 3), (OutOfOrder, 1, 4), (Customer, 1, 5), (Kind, 1, 6), (Units, 2, 7)]
        );
        assert_eq!(read.rejected_count(), 9);
    }

    #[test]
    fn bytes_that_are_no_text_are_one_row_left_out() {
        let text = b"user,ts,op,cpu\na,5000,get,2\n\xff\xfe,5001,get,2\na,5002,get,2\n";
        let read = read_trace(&text[..], &mapping(), &plans()).expect("readable");
        assert_eq!((read.rows.len(), read.rejected[&RowDefect::Form].0), (2, 1));
    }

    #[test]
    fn a_trace_without_a_named_column_is_refused_by_its_name() {
        let refused =
            |text: &str| read_trace(text.as_bytes(), &mapping(), &plans()).expect_err("refused").to_string();
        assert_eq!(refused("user,time,op,cpu\na,1,get,2\n"), "the trace has no column 'ts'");
        assert_eq!(refused(""), "the trace has no column 'ts'");
        assert!(refused("user,ts,op,cpu,ts\n").contains("twice"));
        let none = Mapping { plan: None, ..mapping() };
        assert!(
            read_trace("".as_bytes(), &none, &plans()).expect_err("refused").to_string().contains("plan")
        );
    }

    #[test]
    fn what_is_written_is_read_again() {
        let text = "user,ts,op,cpu\na,5000,get,2\nb,7000,put,8\n";
        let once = read_trace(text.as_bytes(), &mapping(), &plans()).expect("readable");
        let mut written = Vec::new();
        write_trace(&mut written, &once.rows).expect("written");
        let products = ["resolve".to_owned(), "publish".to_owned()];
        let again = read_trace(&written[..], &canonical_mapping(&products), &plans()).expect("readable");
        assert_eq!(again, once);
        let glance = summarize_trace(&once.rows);
        assert_eq!(
            (glance.rows, glance.customers, glance.seconds, glance.peak_rows_per_second),
            (2, 2, 1.0, 1)
        );
    }

    #[test]
    fn a_twentieth_of_bad_rows_costs_those_and_no_more() {
        let mut text = "user,ts,op,cpu\n".to_owned();
        for no in 0..2_000 {
            let bad = no % 20 == 19;
            text +=
                &format!("u{},{},{},{}\n", no % 50, 5_000 + no, if bad { "?" } else { "get" }, 1 + no % 4);
        }
        let read = read_trace(text.as_bytes(), &mapping(), &plans()).expect("readable");
        assert_eq!((read.rows.len(), read.rejected[&RowDefect::Kind].0), (1_900, 100));
    }
}
