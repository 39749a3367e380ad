//! The agent's executable.

#![forbid(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    vanewharf_runtime::program::main("vanewharf-agent", env!("CARGO_PKG_VERSION"), vanewharf_agent::run)
}
