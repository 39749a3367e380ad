//! The common main function of the system's programs: command line, async runtime and shutdown on SIGTERM.

use crate::environment::Environment;
use getopts::Options;
use std::fmt::Display;
use std::io;
use std::path::PathBuf;
use std::process::ExitCode;
use thiserror::Error;
use tokio::runtime::{Builder, LocalOptions};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::oneshot;
use vanewharf_config::settings::Settings;

/// A future that completes when the program has to shut down.
pub type ShutdownSignal = oneshot::Receiver<()>;

/// The reason why a program exits with a failure. `E` is the type of the program's own errors.
#[derive(Debug, Error)]
enum ProgramError<E: Display> {
    #[error("cannot start the async runtime: {0}")]
    Runtime(io::Error),
    #[error("cannot install signal handlers: {0}")]
    Signals(io::Error),
    #[error("cannot open the data directory {}: {source}", path.display())]
    DataDirectory { path: PathBuf, source: io::Error },
    #[error("{0}")]
    Run(E),
}

/// The result of parsing the command line.
enum Invocation {
    /// Run the program with these settings.
    Run(Box<Settings>),
    /// Exit with this code. All output has been printed.
    Exit(ExitCode),
}

/// Parses the command line and runs the program until it ends. SIGTERM completes the program's [`ShutdownSignal`].
/// Errors are printed to standard error.
pub fn main<F, R, E>(name: &str, version: &str, run: F) -> ExitCode
where
    F: FnOnce(Settings, Environment, ShutdownSignal) -> R,
    R: Future<Output = Result<(), E>>,
    E: Display,
{
    let settings = match parse_command_line(name, version) {
        Invocation::Run(settings) => *settings,
        Invocation::Exit(code) => return code,
    };
    crate::log::start(name);
    let runtime = Builder::new_current_thread().enable_all().build_local(LocalOptions::default());
    let result = match runtime {
        Ok(runtime) => runtime.block_on(run_until_shutdown(settings, run)),
        Err(error) => Err(ProgramError::Runtime(error)),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{name}: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run_until_shutdown<F, R, E>(settings: Settings, run: F) -> Result<(), ProgramError<E>>
where
    F: FnOnce(Settings, Environment, ShutdownSignal) -> R,
    R: Future<Output = Result<(), E>>,
    E: Display,
{
    // The handlers are installed first, because an unhandled SIGTERM or SIGHUP terminates the process.
    let mut terminate = signal(SignalKind::terminate()).map_err(ProgramError::Signals)?;
    // Keeping this handler alive ignores SIGHUP. Settings are not reloaded, because all configuration that may change
    // at run time is replicated by the system.
    let _hangup = signal(SignalKind::hangup()).map_err(ProgramError::Signals)?;
    let (shutdown, shutdown_signal) = oneshot::channel();
    tokio::task::spawn_local(async move {
        terminate.recv().await;
        // Fails only if the program has already ended.
        let _ = shutdown.send(());
    });
    let environment = Environment::of_machine(settings.data_directory.clone()).map_err(|source| {
        let path = settings.data_directory.clone().unwrap_or_default();
        ProgramError::DataDirectory { path, source }
    })?;
    run(settings, environment, shutdown_signal).await.map_err(ProgramError::Run)
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("s", "settings", "path of the settings file (default: $VANEWHARF_SETTINGS)", "FILE");
    options.optflag("c", "check", "validate the settings file and exit");
    options.optflag("h", "help", "print this help and exit");
    options.optflag("V", "version", "print the version and exit");
    options
}

fn parse_command_line(name: &str, version: &str) -> Invocation {
    let options = options();
    let refuse = |reason: String| {
        eprintln!("{name}: {reason}");
        Invocation::Exit(ExitCode::FAILURE)
    };
    let matches = match options.parse(std::env::args_os().skip(1)) {
        Ok(matches) if matches.free.is_empty() => matches,
        Ok(matches) => return refuse(format!("Unexpected argument: '{}'; see --help", matches.free[0])),
        Err(error) => return refuse(format!("{error}; see --help")),
    };
    if matches.opt_present("help") {
        print!("{}", options.usage(&format!("Usage: {name} [options]")));
        return Invocation::Exit(ExitCode::SUCCESS);
    }
    if matches.opt_present("version") {
        println!("{name} {version}");
        return Invocation::Exit(ExitCode::SUCCESS);
    }
    let path = match matches.opt_str("settings") {
        Some(path) => Ok(PathBuf::from(path)),
        None => Settings::path_from_environment(),
    };
    match path.and_then(Settings::read) {
        Ok(_) if matches.opt_present("check") => {
            println!("{name}: the settings file is valid");
            Invocation::Exit(ExitCode::SUCCESS)
        }
        Ok(settings) => Invocation::Run(Box::new(settings)),
        Err(error) => refuse(error.to_string()),
    }
}
