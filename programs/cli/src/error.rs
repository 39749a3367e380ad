//! Why a command fails.

use std::error::Error;
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;
use vanewharf_system_simulator::schedule::file::ScheduleFileError;

/// An error of another crate.
pub(crate) type Source = Box<dyn Error + Send + Sync>;

/// Why a command fails. The texts are what a user sees.
#[derive(Debug, Error)]
pub(crate) enum CliError {
    /// A file or directory cannot be read, created or written.
    #[error("{}: {source}", path.display())]
    Io { path: PathBuf, source: io::Error },
    /// A file's content is not what it should be.
    #[error("{}: {source}", path.display())]
    InvalidFile { path: PathBuf, source: Source },
    /// A file is not JSON.
    #[error("{}: line {}: {source}", path.display(), source.line())]
    NotJson { path: PathBuf, source: serde_json::Error },
    /// A schedule of the system simulator cannot be used.
    #[error(transparent)]
    Schedule(#[from] ScheduleFileError),
    /// An experiment does not say how to read a trace.
    #[error("the experiment has no trace.mapping")]
    NoTraceMapping,
    /// All rows of a trace were rejected.
    #[error("{}: no row can be used", path.display())]
    NoUsableRow { path: PathBuf },
    /// A trace cannot be written.
    #[error("{0}")]
    WriteTrace(Source),
    /// An experiment cannot be swept.
    #[error("{0}")]
    Sweep(Source),
    /// A plot cannot be drawn.
    #[error("{0}")]
    Plot(Source),
    /// The value of `--at` is no time.
    #[error("--at {value}: {source}")]
    InvalidTime { value: String, source: Source },
    /// The value of `--node` does not name a backend.
    #[error("--node {value}: ZONE/SERVICE/ID is wanted")]
    InvalidNode { value: String },
    /// Runs of an experiment violated a rule.
    #[error("{violating} of {runs} runs broke a rule")]
    ExperimentViolations { violating: usize, runs: usize },
    /// Simulations of the system violated a rule.
    #[error("rules broken on {violating} of {runs} days")]
    SystemViolations { violating: u64, runs: u64 },
    /// The simulated programs found their own invariants violated, though no rule was seen to be broken.
    #[error("the programs' own invariants did not hold {violations} times in {runs} days")]
    InvariantViolations { violations: u64, runs: u64 },
}

impl CliError {
    /// For `map_err`: a file or directory that cannot be read, created or written.
    pub(crate) fn io(path: &Path) -> impl FnOnce(io::Error) -> CliError {
        let path = path.to_owned();
        move |source| CliError::Io { path, source }
    }

    /// For `map_err`: a file whose content is not what it should be.
    pub(crate) fn invalid_file<E: Into<Source>>(path: &Path) -> impl FnOnce(E) -> CliError {
        let path = path.to_owned();
        move |source| CliError::InvalidFile { path, source: source.into() }
    }
}
