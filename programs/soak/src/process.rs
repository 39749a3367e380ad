//! A process under test: starts it with its log file, sends signals, and checks how it exits.

use crate::node::{FAULTS_VARIABLE, NodeProgram, PROGRAM_VARIABLE};
use rustix::process::{Pid, Signal, kill_process};
use std::fs::OpenOptions;
use std::io;
use std::os::unix::process::ExitStatusExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};
use thiserror::Error;

/// Time after its start within which a process may not have installed its signal handlers.
const STARTUP_TIME: Duration = Duration::from_millis(500);

/// An exit of a process that violates the rules of shutdown.
#[derive(Debug, Error)]
pub enum UnexpectedExit {
    /// The process was not asked to exit.
    #[error("process exited without SIGTERM: {status}")]
    NotRequested {
        /// The exit status.
        status: ExitStatus,
    },
    /// The process was asked to exit, but failed.
    #[error("process received SIGTERM {age:?} after its start and failed: {status}")]
    NotGraceful {
        /// The exit status.
        status: ExitStatus,
        /// How long the process had run when it received SIGTERM.
        age: Duration,
    },
}

/// A running process. Dropping it kills the process.
pub struct NodeProcess {
    child: Child,
    started_at: Instant,
    /// How long the process had run when it was asked to exit, if it was.
    terminated_after: Option<Duration>,
}

/// The files with which a process is started.
pub struct NodeFiles {
    /// The executable of the soak.
    pub executable: PathBuf,
    /// The settings of the program.
    pub settings: PathBuf,
    /// The network faults of the process.
    pub faults: PathBuf,
    /// The log file, to which the standard error of the process is appended.
    pub log: PathBuf,
}

impl NodeProcess {
    /// Starts a process that runs this program.
    ///
    /// # Errors
    ///
    /// If the log cannot be opened or the process cannot be started.
    pub fn start(program: NodeProgram, files: &NodeFiles) -> io::Result<NodeProcess> {
        let log = OpenOptions::new().create(true).append(true).open(&files.log)?;
        let child = Command::new(&files.executable)
            .env(PROGRAM_VARIABLE, program.name())
            .env(FAULTS_VARIABLE, &files.faults)
            .env("VANEWHARF_SETTINGS", &files.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        Ok(NodeProcess { child, started_at: Instant::now(), terminated_after: None })
    }

    /// Sends a signal. Does nothing if the process has already exited.
    pub fn signal(&self, signal: Signal) {
        if let Some(pid) = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw) {
            let _ = kill_process(pid, signal);
        }
    }

    /// Asks the process to shut down gracefully, with SIGTERM.
    pub fn terminate(&mut self) {
        self.terminated_after = Some(self.started_at.elapsed());
        self.signal(Signal::TERM);
    }

    /// Checks that the process was asked to exit, and exited successfully. A process that receives SIGTERM before it has
    /// installed its signal handlers may be terminated by the signal, because it has not read any requests yet.
    ///
    /// # Errors
    ///
    /// If the exit was not requested, or the process failed.
    pub fn check_exit(&self, status: ExitStatus) -> Result<(), UnexpectedExit> {
        let Some(age) = self.terminated_after else {
            return Err(UnexpectedExit::NotRequested { status });
        };
        let was_starting = age < STARTUP_TIME && status.signal() == Some(Signal::TERM.as_raw());
        match status.success() || was_starting {
            true => Ok(()),
            false => Err(UnexpectedExit::NotGraceful { status, age }),
        }
    }

    /// Returns the exit status if the process has exited.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        // SIGKILL also ends a process that is stopped by SIGSTOP.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the lines of a log that report a violation: a violated invariant, a request without a response, or a panic.
pub fn logged_violations(log: &Path) -> Vec<String> {
    const MARKERS: [&str; 3] = ["invariant_violated", "request_unanswered", "panicked"];
    let text = std::fs::read_to_string(log).unwrap_or_default();
    text.lines()
        .filter(|line| MARKERS.iter().any(|marker| line.contains(marker)))
        .map(str::to_owned)
        .collect()
}
