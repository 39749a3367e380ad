//! A process of the soak, with its log and the signals that it was sent.

use crate::node::{FAULTS_VARIABLE, NodeProgram, PROGRAM_VARIABLE};
use rustix::process::{Pid, Signal, kill_process};
use std::fs::OpenOptions;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

/// A running process. Dropping it kills the process.
pub struct NodeProcess {
    child: Child,
    was_terminated: bool,
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
        Ok(NodeProcess { child, was_terminated: false })
    }

    /// Sends a signal. One that has ended needs none.
    pub fn signal(&self, signal: Signal) {
        if let Some(pid) = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw) {
            let _ = kill_process(pid, signal);
        }
    }

    /// Tells the process to end in order.
    pub fn terminate(&mut self) {
        self.was_terminated = true;
        self.signal(Signal::TERM);
    }

    /// Whether it was told to end in order.
    pub fn was_terminated(&self) -> bool {
        self.was_terminated
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
