//! The `vanewharf` command line: simulations, request traces, and checks of configuration files.

#![forbid(unsafe_code)]

mod arguments;
mod check;
mod demonstration;
mod error;
mod files;
mod fleet_simulation;
mod maintenance_windows;
mod system_simulation;
mod trace;

use arguments::{Arguments, Command, ConfigCommand, LabCommand, LogFormat, SystemCommand, TraceCommand};
use clap::Parser;
use error::CliError;
use fleet_simulation::OnViolation;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let log = tracing_subscriber::fmt().with_writer(std::io::stderr).with_target(false);
    match arguments.log_format {
        LogFormat::Text => log.init(),
        LogFormat::Json => log.json().init(),
    }
    match execute(arguments.command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn execute(command: Command) -> Result<(), CliError> {
    match command {
        Command::Lab(lab) => execute_lab(lab),
        Command::Trace(TraceCommand::Import { experiment, trace, out }) => {
            trace::import(&experiment, &trace, &out)
        }
        Command::Trace(TraceCommand::Inspect { experiment, trace }) => trace::inspect(&experiment, &trace),
        Command::System(SystemCommand::Try { seconds }) => {
            demonstration::run(seconds);
            Ok(())
        }
        Command::Config(ConfigCommand::Check { file }) => check::check(&file),
        Command::Hours { file, at, node } => {
            maintenance_windows::print_window_states(&file, at.as_deref(), node.as_deref())
        }
    }
}

fn execute_lab(lab: LabCommand) -> Result<(), CliError> {
    match lab {
        LabCommand::Run { experiment, out, seed, strict } => {
            let on_violation = if strict { OnViolation::Fail } else { OnViolation::Report };
            fleet_simulation::run_experiment(&experiment, out.as_deref(), &seed, on_violation)
        }
        LabCommand::System(arguments) => system_simulation::simulate(&arguments),
        LabCommand::SystemCost { proxies, controllers, seed, out } => {
            system_simulation::measure_costs(&proxies, controllers as usize, seed, out.as_deref())
        }
        LabCommand::Sweep { experiment, out, seed } => {
            fleet_simulation::sweep_experiment(&experiment, out.as_deref(), &seed)
        }
    }
}
