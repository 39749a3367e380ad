//! The command line's arguments. Doc comments are the texts of `--help` and stay as they are.

use clap::{Args, Parser, Subcommand, ValueEnum};
use std::path::PathBuf;

#[derive(Parser)]
#[command(name = "vanewharf", version, about = "Keeps each customer of a shared back end to its plan")]
pub(crate) struct Arguments {
    /// How the log is written to standard error.
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

#[derive(Subcommand)]
pub(crate) enum Command {
    /// The emulated fleet.
    #[command(subcommand)]
    Lab(Lab),
    /// Cluster traces in CSV.
    #[command(subcommand)]
    Trace(Trace),
    /// The whole system.
    #[command(subcommand)]
    System(Demonstration),
    /// What an operator has written.
    #[command(subcommand)]
    Config(Config),
    /// The hours in which contracts let nodes be drained: for each contract whether it is open, until when, or when it opens.
    Hours {
        file: PathBuf,
        /// At this time, such as 2026-12-24T22:00:00Z, in place of now.
        #[arg(long)]
        at: Option<String>,
        /// Only for the backend ZONE/SERVICE/ID: all contracts that cover it together.
        #[arg(long)]
        node: Option<String>,
    },
}

#[derive(Subcommand)]
pub(crate) enum Lab {
    /// Run an experiment, or the trace that it names.
    Run {
        experiment: PathBuf,
        /// A folder for the summary, the figures and the plots.
        #[arg(long)]
        out: Option<PathBuf>,
        /// In place of the experiment's own; several are run one after the other.
        #[arg(long, value_delimiter = ',')]
        seed: Vec<u64>,
        /// Fail where the module breaks a rule.
        #[arg(long)]
        strict: bool,
    },
    /// Play short days of the whole system, with troubles drawn by seed, and judge what was seen.
    System(SystemRuns),
    /// What the control plane costs a door, and a postmaster, by the fleet's size.
    SystemCost {
        #[arg(long, value_delimiter = ',', default_values_t = [8, 32, 92, 300, 1000],
            value_parser = clap::value_parser!(u64).range(1..=2000))]
        doors: Vec<u64>,
        #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u64).range(1..=13))]
        offices: u64,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// A folder for the figures and the plot.
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// Run an experiment at each value of its swept keys.
    Sweep {
        experiment: PathBuf,
        #[arg(long)]
        out: Option<PathBuf>,
        #[arg(long, value_delimiter = ',')]
        seed: Vec<u64>,
    },
}

// The fields have the names of the options, as clap derives these from them. No doc comment here: clap would show it
// in place of the subcommand's own.
#[derive(Args)]
pub(crate) struct SystemRuns {
    /// How many days.
    #[arg(long, default_value_t = 100)]
    pub(crate) seeds: u64,
    /// The first day's seed; the others follow it.
    #[arg(long, default_value_t = 1)]
    pub(crate) from: u64,
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(1..=9))]
    pub(crate) offices: u64,
    #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u64).range(1..=2000))]
    pub(crate) doors: u64,
    /// Seconds in which troubles may begin.
    #[arg(long, default_value_t = 14)]
    pub(crate) seconds: u64,
    /// Requests a second over all doors.
    #[arg(long, default_value_t = 60, value_parser = clap::value_parser!(u64).range(1..))]
    pub(crate) rate: u64,
    /// The most troubles of one day.
    #[arg(long, default_value_t = 4)]
    pub(crate) troubles: u64,
    /// Threads; each plays a day of its own.
    #[arg(long, default_value_t = std::thread::available_parallelism().map_or(1, usize::from))]
    pub(crate) jobs: usize,
    /// The worst days: races, orders that come again, changes of the voters, machines replaced, wiped and told other
    /// seeds, hundreds of changes, long cuts, clocks that run apart.
    #[arg(long)]
    pub(crate) worst: bool,
    /// Days that are written down, in place of drawn ones (lab/days/*.toml).
    #[arg(long)]
    pub(crate) day: Vec<PathBuf>,
    /// Tell each day's troubles, not only those of days on which a rule broke.
    #[arg(long)]
    pub(crate) verbose: bool,
}

#[derive(Subcommand)]
pub(crate) enum Trace {
    /// Read a trace by an experiment's mapping and write it in the project's own columns.
    Import { experiment: PathBuf, trace: PathBuf, out: PathBuf },
    /// Tell what a trace holds and what would be left out.
    Inspect { experiment: PathBuf, trace: PathBuf },
}

#[derive(Subcommand)]
pub(crate) enum Config {
    /// Check a door's file, a system's settings or an operator's configuration (.json), or an experiment (.toml).
    Check { file: PathBuf },
}

#[derive(Subcommand)]
pub(crate) enum Demonstration {
    /// Start three postmasters and two doors on loopback, send requests through them, kill the lease holder's machine
    /// under way, drain a backend, and print what clients and operator got.
    Try {
        /// How long requests are sent, in seconds.
        #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u64).range(3..=600))]
        seconds: u64,
    },
}
