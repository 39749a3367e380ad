//! `lab run` and `lab sweep`: experiments with a simulated fleet of gateways.

use crate::error::CliError;
use crate::files::{ExperimentFile, create_directory, read_experiment, write_file, write_plot};
use crate::trace::read_rows;
use std::path::Path;
use vanewharf_simulator::arrivals::arrivals_from_trace;
use vanewharf_simulator::experiment::Experiment;
use vanewharf_simulator::run::{RunOutcome, run, run_with_arrivals};
use vanewharf_simulator::{plots, report, sweep};

/// Maximum number of violations that are logged per run.
const MAX_LOGGED_VIOLATIONS: usize = 3;

/// What a run does if the balancer violates a rule.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum OnViolation {
    /// Report the violation and return an error after all runs.
    Fail,
    /// Only report the violation.
    Report,
}

/// Runs an experiment once per seed, or with its own seed if none is given. Writes the report to a directory, or the
/// summary to standard output.
pub(crate) fn run_experiment(
    path: &Path,
    out: Option<&Path>,
    seeds: &[u64],
    on_violation: OnViolation,
) -> Result<(), CliError> {
    let ExperimentFile { mut experiment, .. } = read_experiment(path)?;
    let trace = experiment.trace.as_ref().map(|trace| path.with_file_name(&trace.file));
    let rows = trace.map(|trace| read_rows(&experiment, &trace)).transpose()?;
    if let Some(rows) = &rows {
        experiment.length_s = rows.last().map_or(1.0, |row| row.time_s.max(1.0));
    }
    let mut outcomes: Vec<RunOutcome> = Vec::new();
    for seed in seeds_or_default(seeds, &experiment) {
        let outcome = match &rows {
            Some(rows) => run_with_arrivals(&experiment, &arrivals_from_trace(&experiment, rows, seed), seed),
            None => run(&experiment, seed),
        };
        log_outcome(seed, &outcome);
        outcomes.push(outcome);
    }
    match out {
        Some(directory) => write_report(directory, &experiment, &outcomes)?,
        None => print!("{}", report::summary(&experiment, &outcomes)),
    }
    let violating = outcomes.iter().filter(|outcome| !outcome.balancer.violations.is_empty()).count();
    if on_violation == OnViolation::Fail && violating > 0 {
        return Err(CliError::ExperimentViolations { violating, runs: outcomes.len() });
    }
    Ok(())
}

fn seeds_or_default(seeds: &[u64], experiment: &Experiment) -> Vec<u64> {
    if seeds.is_empty() { vec![experiment.seed] } else { seeds.to_vec() }
}

fn log_outcome(seed: u64, outcome: &RunOutcome) {
    tracing::info!(
        seed,
        score = outcome.score,
        g = outcome.balancer.net_value,
        floor = outcome.floor,
        top = outcome.top,
        "ran"
    );
    for violation in outcome.balancer.violations.iter().take(MAX_LOGGED_VIOLATIONS) {
        tracing::warn!(
            seed,
            rule = %violation.rule,
            at_s = violation.at.seconds(),
            what = violation.description,
            "rule violated"
        );
    }
}

fn write_report(directory: &Path, experiment: &Experiment, outcomes: &[RunOutcome]) -> Result<(), CliError> {
    create_directory(directory)?;
    write_file(directory, "summary.md", report::summary(experiment, outcomes))?;
    for outcome in outcomes {
        let prefix = format!("seed-{}-", outcome.seed);
        write_file(directory, &format!("{prefix}seconds.csv"), report::seconds_csv(outcome))?;
        write_file(directory, &format!("{prefix}quantiles.csv"), report::quantiles_csv(outcome))?;
        plots::of_run(outcome).iter().try_for_each(|plot| write_plot(directory, &prefix, plot))?;
    }
    Ok(())
}

/// Runs an experiment at each value of its swept keys. Writes the report to a directory, or the summary to standard
/// output.
pub(crate) fn sweep_experiment(path: &Path, out: Option<&Path>, seeds: &[u64]) -> Result<(), CliError> {
    let ExperimentFile { text, experiment } = read_experiment(path)?;
    let seeds = seeds_or_default(seeds, &experiment);
    let sweep::SweepResult { keys, points } =
        sweep::sweep(&text, &seeds, log_point).map_err(CliError::invalid_file(path))?;
    let summary = report::sweep_summary(&experiment, &keys, &points);
    let Some(directory) = out else {
        print!("{summary}");
        return Ok(());
    };
    create_directory(directory)?;
    write_file(directory, "sweep.md", summary)?;
    write_file(directory, "sweep.csv", report::sweep_csv(&keys, &points))?;
    write_plot(directory, "", &plots::of_sweep(&keys, &points))
}

fn log_point(point: &sweep::Point) {
    let values: Vec<_> = point.values.iter().map(ToString::to_string).collect();
    let broken = point.outcomes.iter().any(|outcome| !outcome.balancer.violations.is_empty());
    tracing::info!(values = values.join(", "), score = point.score(), broken, "point");
}
