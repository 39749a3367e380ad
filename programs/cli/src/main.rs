//! The `vanewharf` command line: simulations, cluster traces, and checks of what an operator has written.

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

use arguments::{Arguments, Command, Config, Demonstration, Lab, LogFormat, Trace};
use clap::Parser;
use error::CliError;
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
        Command::Trace(Trace::Import { experiment, trace, out }) => trace::import(&experiment, &trace, &out),
        Command::Trace(Trace::Inspect { experiment, trace }) => trace::inspect(&experiment, &trace),
        Command::System(Demonstration::Try { seconds }) => {
            demonstration::run(seconds);
            Ok(())
        }
        Command::Config(Config::Check { file }) => check::check(&file),
        Command::Hours { file, at, node } => {
            maintenance_windows::print(&file, at.as_deref(), node.as_deref())
        }
    }
}

fn execute_lab(lab: Lab) -> Result<(), CliError> {
    match lab {
        Lab::Run { experiment, out, seed, strict } => {
            let rules =
                if strict { fleet_simulation::Rules::Enforced } else { fleet_simulation::Rules::Reported };
            fleet_simulation::run_experiment(&experiment, out.as_deref(), &seed, rules)
        }
        Lab::System(runs) => system_simulation::simulate(&runs),
        Lab::SystemCost { doors, offices, seed, out } => {
            system_simulation::measure_costs(&doors, offices as usize, seed, out.as_deref())
        }
        Lab::Sweep { experiment, out, seed } => {
            fleet_simulation::sweep_experiment(&experiment, out.as_deref(), &seed)
        }
    }
}
