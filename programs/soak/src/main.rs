//! Command line of the soak. The processes that it starts run the same executable as one program of the system each.

#![forbid(unsafe_code)]

use getopts::Options;
use std::num::ParseIntError;
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;
use thiserror::Error;
use vanewharf_soak::node::NodeProgram;
use vanewharf_soak::run::{SoakOptions, run};

/// Default number of clusters that run in parallel.
const DEFAULT_JOBS: u64 = 3;
const DEFAULT_SEEDS: u64 = 10;
const DEFAULT_SECONDS: u64 = 8;

/// The parsed command line.
struct Arguments {
    first_seed: u64,
    seeds: u64,
    jobs: u64,
    options: SoakOptions,
}

/// An error that prevents the soak from starting.
#[derive(Debug, Error)]
enum ArgumentError {
    #[error("{0}; see --help")]
    Options(#[from] getopts::Fail),
    #[error("invalid number: {0}")]
    Number(#[from] ParseIntError),
    #[error("cannot determine the path of the executable: {0}")]
    Executable(#[from] std::io::Error),
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("f", "from", "first seed (default 1)", "SEED");
    options.optopt("n", "seeds", "number of seeds (default 10)", "N");
    options.optopt("s", "seconds", "length of the fault phase in seconds (default 8)", "N");
    options.optopt("j", "jobs", "clusters that run in parallel, with seven processes each (default 3)", "N");
    options.optflag("h", "help", "print this help");
    options
}

/// Parses the command line. Returns `None` if it asks for help.
fn parse_arguments() -> Result<Option<Arguments>, ArgumentError> {
    let matches = options().parse(std::env::args_os().skip(1))?;
    if matches.opt_present("help") {
        return Ok(None);
    }
    let number = |name: &str, default: u64| matches.opt_str(name).map_or(Ok(default), |text| text.parse());
    let length = Duration::from_secs(number("seconds", DEFAULT_SECONDS)?);
    Ok(Some(Arguments {
        first_seed: number("from", 1)?,
        seeds: number("seeds", DEFAULT_SEEDS)?,
        jobs: number("jobs", DEFAULT_JOBS)?.max(1),
        options: SoakOptions { executable: std::env::current_exe()?, length, keep_failed: true },
    }))
}

fn main() -> ExitCode {
    if let Some(program) = NodeProgram::from_environment() {
        return program.run();
    }
    match parse_arguments() {
        Ok(Some(arguments)) => run_seeds(&arguments),
        Ok(None) => {
            print!("{}", options().usage("Usage: vanewharf-soak [options]"));
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("vanewharf-soak: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs all seeds, several in parallel, and prints one line for each.
fn run_seeds(arguments: &Arguments) -> ExitCode {
    let Arguments { first_seed, seeds, jobs, options } = arguments;
    let (next_seed, failed) = (AtomicU64::new(*first_seed), AtomicU64::new(0));
    thread::scope(|scope| {
        for _ in 0..*jobs {
            scope.spawn(|| {
                loop {
                    let seed = next_seed.fetch_add(1, Ordering::Relaxed);
                    if seed >= first_seed + seeds {
                        return;
                    }
                    if !run_seed(seed, options) {
                        failed.fetch_add(1, Ordering::Relaxed);
                    }
                }
            });
        }
    });
    let failed = failed.into_inner();
    println!("{seeds} seeds from {first_seed}, {failed} broken");
    if failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Runs a seed and prints its outcome. Returns whether there were no violations.
fn run_seed(seed: u64, options: &SoakOptions) -> bool {
    let outcome = match run(seed, options) {
        Ok(outcome) => outcome,
        Err(error) => {
            println!("seed {seed}: BROKEN, {error}");
            return false;
        }
    };
    let has_held = outcome.violations.is_empty();
    println!(
        "seed {seed}: {}, {} actions, {} requests, {} served, {} configurations acknowledged",
        if has_held { "held" } else { "BROKEN" },
        outcome.actions,
        outcome.requests,
        outcome.served,
        outcome.acknowledged
    );
    outcome.violations.iter().for_each(|violation| println!("  {violation}"));
    outcome.retained.iter().for_each(|retained| println!("  logs and data: {}", retained.display()));
    has_held
}
