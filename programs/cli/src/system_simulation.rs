//! `lab system` and `lab system-cost`: simulations of the whole system.

use crate::arguments::SystemSimulationArguments;
use crate::error::CliError;
use crate::files::{create_directory, write_file, write_plot};
use std::collections::BTreeSet;
use std::path::Path;
use std::time::{Duration, Instant};
use vanewharf_runtime::invariants::total_violations;
use vanewharf_system_simulator::cost::{ControlPlaneCost, cost_plot, measure_cost};
use vanewharf_system_simulator::outcome::RunOutcome;
use vanewharf_system_simulator::parallel::{simulate_hard_seeds, simulate_schedules, simulate_seeds};
use vanewharf_system_simulator::schedule::Schedule;
use vanewharf_system_simulator::topology::SimulationParameters;

/// Maximum number of violations that are printed per run.
const MAX_PRINTED_VIOLATIONS: usize = 8;
/// Length of the runs that measure the control plane's cost, see [`SimulationParameters::seconds`].
const COST_SECONDS: u64 = 12;
/// The load of the runs that measure the control plane's cost.
const COST_REQUESTS_PER_SECOND: u64 = 200;
const COST_CSV_HEADER: &str = "doors,door_bytes_per_s,door_messages_per_s,sorter_ms_per_s,postmaster_bytes_per_s,postmaster_messages_per_s,postmaster_ms_per_s\n";

/// The runs whose events are printed.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Verbosity {
    /// Only runs that violate a rule.
    Violations,
    /// All runs.
    All,
}

/// Statistics over all runs.
struct Totals {
    runs: u64,
    /// The number of runs that violated a rule.
    violating: u64,
    requests: usize,
    served: usize,
    rejected: usize,
    commands: usize,
    acknowledged: usize,
    /// The simulated time, in seconds.
    seconds: f64,
    min_final_success_ratio: f64,
    /// Bytes sent by one proxy machine, averaged over the machines of a run and summed over runs.
    proxy_bytes: u64,
    /// Bytes sent by one controller, averaged over the controllers of a run and summed over runs.
    controller_bytes: u64,
}

impl Totals {
    fn new() -> Totals {
        Totals {
            runs: 0,
            violating: 0,
            requests: 0,
            served: 0,
            rejected: 0,
            commands: 0,
            acknowledged: 0,
            seconds: 0.0,
            min_final_success_ratio: 1.0,
            proxy_bytes: 0,
            controller_bytes: 0,
        }
    }

    fn add(&mut self, outcome: &RunOutcome) {
        self.runs += 1;
        self.violating += u64::from(!outcome.violations.is_empty());
        self.requests += outcome.requests;
        self.served += outcome.served;
        self.rejected += outcome.rejected;
        self.commands += outcome.commands;
        self.acknowledged += outcome.acknowledged;
        self.seconds += outcome.seconds;
        self.min_final_success_ratio = self.min_final_success_ratio.min(outcome.final_success_ratio);
        self.proxy_bytes += outcome.proxy_traffic.bytes;
        self.controller_bytes += outcome.controller_traffic.bytes;
    }

    /// Prints the statistics; `system_size` is appended to the number of runs.
    fn print(&self, system_size: &str, elapsed: Duration) {
        let (seconds, elapsed) = (self.seconds, elapsed.as_secs_f64());
        println!(
            "{} runs{system_size}: {seconds:.0} simulated s in {elapsed:.1} s, {:.0} runs per minute",
            self.runs,
            self.runs as f64 * 60.0 / elapsed
        );
        println!(
            "requests: {}, served {}, rejected {}; minimum success ratio at the end of a run {:.3}",
            self.requests, self.served, self.rejected, self.min_final_success_ratio
        );
        println!("commands: {}, acknowledged {}", self.commands, self.acknowledged);
        println!(
            "control-plane traffic sent: {:.0} bytes/s per proxy machine, {:.0} bytes/s per controller",
            self.proxy_bytes as f64 / seconds,
            self.controller_bytes as f64 / seconds
        );
    }
}

/// Simulates runs and prints each run that violates a rule, then the statistics over all runs.
pub(crate) fn simulate(arguments: &SystemSimulationArguments) -> Result<(), CliError> {
    let started = Instant::now();
    let parameters = parameters(arguments);
    let verbosity = if arguments.verbose { Verbosity::All } else { Verbosity::Violations };
    let mut totals = Totals::new();
    let mut handle_outcome = |name: &str, outcome: RunOutcome| {
        print_outcome(name, &outcome, verbosity);
        totals.add(&outcome);
    };
    let SystemSimulationArguments { first_seed, runs, threads, .. } = *arguments;
    let system_size = if !arguments.schedule_files.is_empty() {
        let schedules = arguments.schedule_files.iter().map(|file| Schedule::read(file));
        simulate_schedules(schedules.collect::<Result<_, _>>()?, threads, handle_outcome);
        String::new()
    } else {
        if arguments.hard_schedules {
            simulate_hard_seeds(parameters, first_seed, runs, threads, |outcome| {
                handle_outcome("worst", outcome)
            });
        } else {
            simulate_seeds(parameters, first_seed, runs, threads, |outcome| handle_outcome("short", outcome));
        }
        format!(" with {} controllers and {} proxies", parameters.controllers, parameters.proxies)
    };
    totals.print(&system_size, started.elapsed());
    if totals.violating > 0 {
        return Err(CliError::SystemViolations { violating: totals.violating, runs: totals.runs });
    }
    match total_violations() {
        0 => Ok(()),
        violations => Err(CliError::InvariantViolations { violations, runs: totals.runs }),
    }
}

fn parameters(arguments: &SystemSimulationArguments) -> SimulationParameters {
    SimulationParameters {
        controllers: arguments.controllers as usize,
        proxies: arguments.proxies as usize,
        seconds: arguments.seconds,
        requests_per_second: arguments.requests_per_second,
        max_faults: arguments.max_faults,
    }
}

fn print_outcome(name: &str, outcome: &RunOutcome, verbosity: Verbosity) {
    if verbosity == Verbosity::All || !outcome.violations.is_empty() {
        println!("{name} seed {}", outcome.seed);
        outcome.events.iter().for_each(|event| println!("    {event}"));
    }
    // Repeated violations are printed once, and their number is limited to keep the report short.
    let mut printed = BTreeSet::new();
    let distinct = outcome
        .violations
        .iter()
        .filter(|violation| printed.insert((violation.rule, violation.description.as_str())));
    for violation in distinct.take(MAX_PRINTED_VIOLATIONS) {
        println!("  {} violated at {:.2} s: {}", violation.rule, violation.at, violation.description);
    }
    if verbosity == Verbosity::All {
        println!(
            "  requests {}, served {}, rejected {}, final success ratio {:.3}",
            outcome.requests, outcome.served, outcome.rejected, outcome.final_success_ratio
        );
    }
}

/// Measures the control plane's cost for each number of proxies. Prints it as CSV, and also writes the CSV and a plot
/// to the output directory if there is one.
pub(crate) fn measure_costs(
    proxies: &[u64],
    controllers: usize,
    seed: u64,
    out: Option<&Path>,
) -> Result<(), CliError> {
    vanewharf_runtime::log::disable();
    let costs: Vec<ControlPlaneCost> = proxies
        .iter()
        .map(|proxies| {
            let parameters = SimulationParameters {
                controllers,
                proxies: *proxies as usize,
                seconds: COST_SECONDS,
                requests_per_second: COST_REQUESTS_PER_SECOND,
                max_faults: 0,
            };
            measure_cost(parameters, seed)
        })
        .collect();
    let csv: String = std::iter::once(COST_CSV_HEADER.to_owned()).chain(costs.iter().map(csv_row)).collect();
    print!("{csv}");
    let Some(directory) = out else {
        return Ok(());
    };
    create_directory(directory)?;
    write_file(directory, "cost-per-door.csv", csv)?;
    write_plot(directory, "", &cost_plot(&costs))
}

fn csv_row(cost: &ControlPlaneCost) -> String {
    format!(
        "{},{:.0},{:.2},{:.3},{:.0},{:.1},{:.3}\n",
        cost.proxies,
        cost.proxy_bytes,
        cost.proxy_messages,
        cost.agent_cpu_ms,
        cost.controller_bytes,
        cost.controller_messages,
        cost.controller_cpu_ms
    )
}
