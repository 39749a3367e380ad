//! One program of the system on a thread and a tokio runtime of its own, so that it can be killed and started again
//! without the others.
//!
//! Killing a program drops its runtime with every task, connection and file it has open, as SIGKILL would.

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
    /// Pulls the cluster's state for the proxy on the same machine.
    Agent,
    /// Holds a replica of the cluster's state.
    Controller,
}

/// A running program. Dropping it kills the program and waits for its thread.
pub(crate) struct Process {
    kill: Option<oneshot::Sender<()>>,
    /// Taken once the program was asked to shut down.
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

    /// Asks the program to shut down in order, as SIGTERM would.
    pub(crate) fn shut_down(&mut self) {
        if let Some(shutdown) = self.shutdown.take() {
            // A program that has ended already needs no signal.
            let _ = shutdown.send(());
        }
    }

    /// Whether the program has ended by itself.
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
        // Cancel safety: whichever branch loses is dropped for good, and nothing is awaited after it.
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
