//! Command-line arguments. Their doc comments are the texts of `--help`.

use clap::{Args, Parser, Subcommand, ValueEnum};
use std::path::PathBuf;

#[derive(Parser)]
#[command(
    name = "vanewharf",
    version,
    about = "Simulates the vanewharf load balancer and checks its configuration files"
)]
pub(crate) struct Arguments {
    /// Format of the log on standard error.
    #[arg(long, global = true, value_enum, default_value = "text")]
    pub(crate) log_format: LogFormat,
    #[command(subcommand)]
    pub(crate) command: Command,
}

#[derive(Clone, Copy, ValueEnum)]
pub(crate) enum LogFormat {
    Text,
    Json,
}

// The types below have no doc comments of their own: clap would show them in place of those of the subcommands. clap
// derives the names of subcommands and options from the names of variants and fields.

#[derive(Subcommand)]
pub(crate) enum Command {
    /// Simulate a fleet of gateways, or the whole system.
    #[command(subcommand)]
    Lab(LabCommand),
    /// Import or inspect request traces in CSV.
    #[command(subcommand)]
    Trace(TraceCommand),
    /// Run a demonstration cluster on this machine.
    #[command(subcommand)]
    System(SystemCommand),
    /// Check configuration files.
    #[command(subcommand)]
    Config(ConfigCommand),
    /// Print the state of the maintenance windows in which contracts allow nodes to be drained: open until when, or
    /// closed until when.
    Hours {
        /// File with the contracts (JSON).
        file: PathBuf,
        /// Time to evaluate, such as 2026-12-24T22:00:00Z, instead of the current time.
        #[arg(long)]
        at: Option<String>,
        /// Print only the combined window of all contracts that cover the backend ZONE/SERVICE/ID.
        #[arg(long)]
        node: Option<String>,
    },
}

#[derive(Subcommand)]
pub(crate) enum LabCommand {
    /// Run an experiment with simulated gateways, or replay the trace that the experiment names.
    Run {
        /// Experiment file (TOML).
        experiment: PathBuf,
        /// Directory for the summary, CSV tables and plots; by default the summary is printed.
        #[arg(long)]
        out: Option<PathBuf>,
        /// Seeds to use instead of the experiment's own, separated by commas; one run per seed.
        #[arg(long, value_delimiter = ',')]
        seed: Vec<u64>,
        /// Exit with an error if the balancer violates a rule.
        #[arg(long)]
        strict: bool,
    },
    /// Simulate short runs of the whole system with random faults, and check them against the system's rules.
    System(SystemSimulationArguments),
    /// Measure the control plane's cost per proxy and per controller, by the size of the fleet.
    SystemCost {
        /// Numbers of proxies to measure with, separated by commas.
        #[arg(long = "doors", value_delimiter = ',', default_values_t = [8, 32, 92, 300, 1000],
            value_parser = clap::value_parser!(u64).range(1..=2000))]
        proxies: Vec<u64>,
        /// Number of controllers.
        #[arg(long = "offices", default_value_t = 5, value_parser = clap::value_parser!(u64).range(1..=13))]
        controllers: u64,
        /// Seed of the runs.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Directory for the CSV table and the plot.
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// Run an experiment at each value of its swept keys.
    Sweep {
        /// Experiment file (TOML).
        experiment: PathBuf,
        /// Directory for the summary, CSV table and plot; by default the summary is printed.
        #[arg(long)]
        out: Option<PathBuf>,
        /// Seeds to use instead of the experiment's own, separated by commas; each point is run with each seed.
        #[arg(long, value_delimiter = ',')]
        seed: Vec<u64>,
    },
}

#[derive(Args)]
pub(crate) struct SystemSimulationArguments {
    /// Number of runs.
    #[arg(long = "seeds", default_value_t = 100)]
    pub(crate) runs: u64,
    /// Seed of the first run; later runs use consecutive seeds.
    #[arg(long = "from", default_value_t = 1)]
    pub(crate) first_seed: u64,
    /// Number of controllers.
    #[arg(long = "offices", default_value_t = 3, value_parser = clap::value_parser!(u64).range(1..=9))]
    pub(crate) controllers: u64,
    /// Number of proxies.
    #[arg(long = "doors", default_value_t = 4, value_parser = clap::value_parser!(u64).range(1..=2000))]
    pub(crate) proxies: u64,
    /// Length of the part of a run in which faults may begin, in seconds.
    #[arg(long, default_value_t = 14)]
    pub(crate) seconds: u64,
    /// Client requests per second over all proxies.
    #[arg(long = "rate", default_value_t = 60, value_parser = clap::value_parser!(u64).range(1..))]
    pub(crate) requests_per_second: u64,
    /// Maximum number of faults in one run.
    #[arg(long = "troubles", default_value_t = 4)]
    pub(crate) max_faults: u64,
    /// Number of threads; each simulates one run at a time.
    #[arg(long = "jobs", default_value_t = std::thread::available_parallelism().map_or(1, usize::from))]
    pub(crate) threads: usize,
    /// Draw the hardest schedules: races, repeated commands, voter changes, machines that are replaced, wiped or given
    /// other seed nodes, hundreds of configuration changes, long partitions, and clock drift.
    #[arg(long = "worst")]
    pub(crate) hard_schedules: bool,
    /// Schedule file to simulate instead of random runs (crates/system-simulator/days/*.toml); may be repeated.
    #[arg(long = "day", value_name = "FILE")]
    pub(crate) schedule_files: Vec<PathBuf>,
    /// Print the events of every run, not only of runs that violate a rule.
    #[arg(long)]
    pub(crate) verbose: bool,
}

#[derive(Subcommand)]
pub(crate) enum TraceCommand {
    /// Convert a trace to the canonical CSV format, by the mapping of an experiment.
    Import {
        /// Experiment file (TOML) with the mapping.
        experiment: PathBuf,
        /// Trace to read (CSV).
        trace: PathBuf,
        /// File to write (CSV).
        out: PathBuf,
    },
    /// Summarize a trace and count the rows that an import would reject.
    Inspect {
        /// Experiment file (TOML) with the mapping.
        experiment: PathBuf,
        /// Trace to read (CSV).
        trace: PathBuf,
    },
}

#[derive(Subcommand)]
pub(crate) enum ConfigCommand {
    /// Check gateway settings, node settings, a configuration or contract hours (.json), or an experiment (.toml).
    Check {
        /// File to check.
        file: PathBuf,
    },
}

#[derive(Subcommand)]
pub(crate) enum SystemCommand {
    /// Start three controllers and two proxies on loopback, send requests through them, kill and restart the machine of
    /// the leaseholder, drain a backend, and print the responses to clients and to the operator.
    Try {
        /// How long to send requests, in seconds.
        #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u64).range(3..=600))]
        seconds: u64,
    },
}
