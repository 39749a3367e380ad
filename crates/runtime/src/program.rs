//! What all of the system's programs do alike: their command line, their runtime, and how they are told to end.

use crate::environment::Environment;
use getopts::Options;
use std::path::PathBuf;
use std::process::ExitCode;
use tokio::runtime::{Builder, LocalOptions};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::oneshot;
use vanewharf_config::settings::{Settings, SettingsError};

/// Comes when the program is to end.
pub type End = oneshot::Receiver<()>;

/// Reads what the program is called with and runs it until SIGTERM.
pub fn main<F, R>(name: &str, version: &str, run: F) -> ExitCode
where
    F: FnOnce(Settings, Environment, End) -> R,
    R: Future<Output = Result<(), String>>,
{
    let settings = match called(name, version) {
        Called::Run(settings) => *settings,
        Called::Over(code) => return code,
    };
    crate::log::start(name);
    let ended = match Builder::new_current_thread().enable_all().build_local(LocalOptions::default()) {
        Ok(runtime) => runtime.block_on(async {
            let signals = |error: std::io::Error| format!("no signals: {error}");
            // First, as a signal that nobody has asked for ends the program.
            let mut term = signal(SignalKind::terminate()).map_err(signals)?;
            // Nothing follows the settings file while it runs: what may change in it, the system tells itself.
            let _reload = signal(SignalKind::hangup()).map_err(signals)?;
            let (tell, end) = oneshot::channel();
            tokio::task::spawn_local(async move {
                term.recv().await;
                let _ = tell.send(());
            });
            let data = settings.data_directory.clone();
            let premises =
                Environment::of_machine(data).map_err(|error| format!("the disk cannot be read: {error}"))?;
            run(settings, premises, end).await
        }),
        Err(error) => Err(format!("no runtime: {error}")),
    };
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(reason) => {
            eprintln!("{name}: {reason}");
            ExitCode::FAILURE
        }
    }
}

/// What a program is called with.
enum Called {
    Run(Box<Settings>),
    /// Said all there was to say.
    Over(ExitCode),
}

fn called(name: &str, version: &str) -> Called {
    let mut options = Options::new();
    options.optopt("s", "settings", "the settings file (else the one VANEWHARF_SETTINGS names)", "FILE");
    options.optflag("c", "check", "only tell whether it would start by the settings");
    options.optflag("h", "help", "print this");
    options.optflag("V", "version", "print the version");
    let refuse = |why: String| {
        eprintln!("{name}: {why}");
        Called::Over(ExitCode::FAILURE)
    };
    let matches = match options.parse(std::env::args_os().skip(1)) {
        Ok(matches) if matches.free.is_empty() => matches,
        Ok(matches) => return refuse(format!("'{}' is not known; see --help", matches.free[0])),
        Err(fault) => return refuse(format!("{fault}; see --help")),
    };
    if matches.opt_present("help") {
        print!("{}", options.usage(&format!("Usage: {name} [options]")));
        return Called::Over(ExitCode::SUCCESS);
    }
    if matches.opt_present("version") {
        println!("{name} {version}");
        return Called::Over(ExitCode::SUCCESS);
    }
    let path =
        matches.opt_str("settings").map(PathBuf::from).map_or_else(Settings::path_from_environment, Ok);
    let settings: Result<Settings, SettingsError> = path.and_then(Settings::read);
    match settings {
        Ok(_) if matches.opt_present("check") => {
            println!("{name}: the settings can be read");
            Called::Over(ExitCode::SUCCESS)
        }
        Ok(settings) => Called::Run(Box::new(settings)),
        Err(unread) => refuse(unread.to_string()),
    }
}
