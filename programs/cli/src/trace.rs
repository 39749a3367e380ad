//! `trace import` and `trace inspect`: request traces in CSV.

use crate::error::CliError;
use crate::files::{ExperimentFile, read_experiment};
use std::fs::File;
use std::io::{BufReader, BufWriter};
use std::path::Path;
use vanewharf_simulator::experiment::Experiment;
use vanewharf_traces::{Row, read_trace, summarize_trace, write_trace};

/// Reads a trace by an experiment's mapping and logs the number of rejected rows, by defect.
pub(crate) fn read_rows(experiment: &Experiment, path: &Path) -> Result<Vec<Row>, CliError> {
    let mapping = experiment.trace.as_ref().map(|trace| &trace.mapping);
    let mapping = mapping.ok_or(CliError::NoTraceMapping)?;
    let plans: Vec<_> = experiment.plan.iter().map(|plan| plan.name.clone()).collect();
    let file = File::open(path).map_err(CliError::io(path))?;
    let trace = read_trace(BufReader::new(file), mapping, &plans).map_err(CliError::invalid_file(path))?;
    for (defect, rejected) in &trace.rejected {
        tracing::warn!(count = rejected.count, first_line = rejected.first_line, "rejected rows: {defect}");
    }
    tracing::info!(rows = trace.rows.len(), left_out = trace.rejected_count(), "trace read");
    if trace.rows.is_empty() {
        return Err(CliError::NoValidRow { path: path.to_owned() });
    }
    Ok(trace.rows)
}

/// Converts a trace to the canonical CSV format.
pub(crate) fn import(experiment: &Path, trace: &Path, out: &Path) -> Result<(), CliError> {
    let ExperimentFile { experiment, .. } = read_experiment(experiment)?;
    let rows = read_rows(&experiment, trace)?;
    let file = File::create(out).map_err(CliError::io(out))?;
    write_trace(BufWriter::new(file), &rows)
        .map_err(|error| CliError::WriteTrace { path: out.to_owned(), source: error.into() })
}

/// Prints a summary of a trace.
pub(crate) fn inspect(experiment: &Path, trace: &Path) -> Result<(), CliError> {
    let ExperimentFile { experiment, .. } = read_experiment(experiment)?;
    let summary = summarize_trace(&read_rows(&experiment, trace)?);
    println!("{} requests of {} customers in {:.1} s", summary.rows, summary.customers, summary.seconds);
    println!("{} requests in the busiest second", summary.peak_rows_per_second);
    for (product, totals) in &summary.by_product {
        println!("{product}: {} requests, {:.0} units", totals.rows, totals.units);
    }
    Ok(())
}
