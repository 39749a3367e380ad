//! Errors of commands.

use std::error::Error;
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;
use vanewharf_system_simulator::schedule::file::ScheduleFileError;

/// The underlying error, from another crate.
pub(crate) type Source = Box<dyn Error + Send + Sync>;

/// The reason why a command failed. The texts are printed to the user.
#[derive(Debug, Error)]
pub(crate) enum CliError {
    /// A file or directory cannot be read, created or written.
    #[error("{}: {source}", path.display())]
    Io { path: PathBuf, source: io::Error },
    /// The content of a file is invalid.
    #[error("{}: {source}", path.display())]
    InvalidFile { path: PathBuf, source: Source },
    /// A file is not valid JSON.
    #[error("{}: line {}: {source}", path.display(), source.line())]
    NotJson { path: PathBuf, source: serde_json::Error },
    /// A schedule file of the system simulator is unreadable or invalid.
    #[error(transparent)]
    Schedule(#[from] ScheduleFileError),
    /// The experiment does not state how to read a trace.
    #[error("the experiment has no trace.mapping")]
    NoTraceMapping,
    /// A trace has no rows, or all of them were rejected.
    #[error("{}: the trace has no valid row", path.display())]
    NoValidRow { path: PathBuf },
    /// A trace cannot be written.
    #[error("{}: {source}", path.display())]
    WriteTrace { path: PathBuf, source: Source },
    /// A plot cannot be rendered.
    #[error("plot '{name}': {source}")]
    Plot { name: &'static str, source: Source },
    /// The value of `--at` is not a timestamp.
    #[error("--at {value}: {source}")]
    InvalidTime { value: String, source: Source },
    /// The value of `--node` does not have the form of a backend's name.
    #[error("--node {value}: expected ZONE/SERVICE/ID")]
    InvalidNode { value: String },
    /// Some runs of an experiment violated a rule.
    #[error("{violating} of {runs} runs violated a rule")]
    ExperimentViolations { violating: usize, runs: usize },
    /// Some simulations of the whole system violated a rule.
    #[error("{violating} of {runs} runs violated a rule")]
    SystemViolations { violating: u64, runs: u64 },
    /// The simulated programs reported violations of their own invariants, although the checker found no violated rule.
    #[error("the programs reported {violations} violations of their own invariants in {runs} runs")]
    InvariantViolations { violations: u64, runs: u64 },
}

impl CliError {
    /// Returns a function for `map_err` that adds the path of the file or directory to an I/O error.
    pub(crate) fn io(path: &Path) -> impl FnOnce(io::Error) -> CliError {
        let path = path.to_owned();
        move |source| CliError::Io { path, source }
    }

    /// Returns a function for `map_err` that adds the path of the file to an error about its content.
    pub(crate) fn invalid_file<E: Into<Source>>(path: &Path) -> impl FnOnce(E) -> CliError {
        let path = path.to_owned();
        move |source| CliError::InvalidFile { path, source: source.into() }
    }
}
