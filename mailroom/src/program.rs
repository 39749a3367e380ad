//! The command line that all of the system's programs have.

use crate::settings::{Settings, Unread};
use getopts::Options;
use std::path::PathBuf;
use std::process::ExitCode;

/// What a program is called with.
pub enum Called {
    Run(Box<Settings>),
    /// Said all there was to say.
    Over(ExitCode),
}

pub fn called(name: &str, version: &str) -> Called {
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
    let path = matches.opt_str("settings").map(PathBuf::from).map_or_else(Settings::path, Ok);
    let settings: Result<Settings, Unread> = path.and_then(Settings::read);
    match settings {
        Ok(_) if matches.opt_present("check") => {
            println!("{name}: the settings can be read");
            Called::Over(ExitCode::SUCCESS)
        }
        Ok(settings) => Called::Run(Box::new(settings)),
        Err(unread) => refuse(unread.to_string()),
    }
}
