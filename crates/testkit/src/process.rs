//! Runs one program of the system on its own thread and tokio runtime, so that it can be killed and restarted
//! independently of the others.
//!
//! Killing a program drops its runtime with every task, connection and file that it has open, as SIGKILL would.

use std::error::Error;
use std::thread::{self, JoinHandle};
use tokio::runtime::{Builder, LocalOptions};
use tokio::sync::oneshot;
use vanewharf_config::settings::Settings;
use vanewharf_runtime::environment::Environment;
use vanewharf_runtime::program::ShutdownSignal;

/// A program of the system.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Program {
    /// Forwards clients' requests to backends.
    Proxy,
    /// Pulls the state of the cluster for the proxy on the same machine.
    Agent,
    /// Stores a replica of the state of the cluster.
    Controller,
}

/// A running program. Dropping it kills the program and waits for its thread.
pub(crate) struct Process {
    kill: Option<oneshot::Sender<()>>,
    /// `None` once the program has been asked to shut down.
    shutdown: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Process {
    /// Starts a program with these settings.
    pub(crate) fn start(program: Program, settings: Settings) -> Process {
        let (kill, killed) = oneshot::channel::<()>();
        let (shutdown, signalled) = oneshot::channel();
        let thread = thread::spawn(move || run_until_killed(program, settings, signalled, killed));
        Process { kill: Some(kill), shutdown: Some(shutdown), thread: Some(thread) }
    }

    /// Asks the program to shut down gracefully, as SIGTERM does.
    pub(crate) fn shut_down(&mut self) {
        if let Some(shutdown) = self.shutdown.take() {
            // Fails if the program has already exited.
            let _ = shutdown.send(());
        }
    }

    /// Returns whether the program has exited.
    pub(crate) fn has_exited(&self) -> bool {
        self.thread.as_ref().is_none_or(JoinHandle::is_finished)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill.take();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn run_until_killed(
    program: Program,
    settings: Settings,
    shutdown: ShutdownSignal,
    killed: oneshot::Receiver<()>,
) {
    let runtime = Builder::new_current_thread().enable_all().build_local(LocalOptions::default());
    let Ok(runtime) = runtime else {
        return;
    };
    runtime.block_on(async move {
        // Cancel safety: the branch that loses is dropped and never polled again.
        tokio::select! {
            _ = killed => {}
            result = run(program, settings, shutdown) => if let Err(error) = result {
                eprintln!("{error}");
            },
        }
    });
}

async fn run(program: Program, settings: Settings, shutdown: ShutdownSignal) -> Result<(), Box<dyn Error>> {
    let environment = Environment::of_machine(settings.data_directory.clone())?;
    match program {
        Program::Proxy => vanewharf_proxy::run(settings, environment, shutdown).await?,
        Program::Agent => vanewharf_agent::run(settings, environment, shutdown).await?,
        Program::Controller => vanewharf_controller::run(settings, environment, shutdown).await?,
    }
    Ok(())
}
