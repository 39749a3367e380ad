//! A process of the soak, with its log and the signals that it was sent.

use crate::node::{FAULTS_VARIABLE, NodeProgram, PROGRAM_VARIABLE};
use rustix::process::{Pid, Signal, kill_process};
use std::fs::OpenOptions;
use std::io;
use std::os::unix::process::ExitStatusExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};
use thiserror::Error;

/// Within this time of its start a process may not handle signals yet.
const STARTUP_TIME: Duration = Duration::from_millis(500);

/// A process exited as it must not.
#[derive(Debug, Error)]
pub enum UnexpectedExit {
    /// Nobody told it to.
    #[error("it exited by itself: {status}")]
    NotRequested {
        /// How.
        status: ExitStatus,
    },
    /// It was told to, and did not end in order.
    #[error("told to exit {age:?} after its start, it ended with {status}")]
    NotInOrder {
        /// How.
        status: ExitStatus,
        /// How long it had run.
        age: Duration,
    },
}

/// A running process. Dropping it kills the process.
pub struct NodeProcess {
    child: Child,
    started_at: Instant,
    /// Its age when it was told to exit.
    terminated_after: Option<Duration>,
}

/// What a process is started with.
pub struct NodeFiles {
    /// The soak's executable.
    pub executable: PathBuf,
    /// The program's settings.
    pub settings: PathBuf,
    /// The process's network faults.
    pub faults: PathBuf,
    /// Takes what the process writes to standard error, after what is in it.
    pub log: PathBuf,
}

impl NodeProcess {
    /// Starts a program.
    ///
    /// # Errors
    ///
    /// Where a file cannot be opened or the process cannot be started.
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

    /// Sends a signal. One that has ended needs none.
    pub fn signal(&self, signal: Signal) {
        if let Some(pid) = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw) {
            let _ = kill_process(pid, signal);
        }
    }

    /// Tells the process to end in order.
    pub fn terminate(&mut self) {
        self.terminated_after = Some(self.started_at.elapsed());
        self.signal(Signal::TERM);
    }

    /// What is wrong with how it exited: it was not told to, or did not do so in order. A process that is told to exit
    /// before it handles signals has read nothing.
    ///
    /// # Errors
    ///
    /// How it exited instead.
    pub fn check_exit(&self, status: ExitStatus) -> Result<(), UnexpectedExit> {
        let Some(age) = self.terminated_after else {
            return Err(UnexpectedExit::NotRequested { status });
        };
        let was_starting = age < STARTUP_TIME && status.signal() == Some(Signal::TERM.as_raw());
        match status.success() || was_starting {
            true => Ok(()),
            false => Err(UnexpectedExit::NotInOrder { status, age }),
        }
    }

    /// How it ended, if it has.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        // Also ends a process that is stopped.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The lines of a log that say that the process did something that it must never do.
pub fn complaints(log: &Path) -> Vec<String> {
    const MARKS: [&str; 3] = ["invariant_violated", "request_unanswered", "panicked"];
    let text = std::fs::read_to_string(log).unwrap_or_default();
    text.lines().filter(|line| MARKS.iter().any(|mark| line.contains(mark))).map(str::to_owned).collect()
}
