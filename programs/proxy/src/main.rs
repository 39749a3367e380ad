//! The proxy's executable.

#![forbid(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    vanewharf_runtime::program::main("vanewharf-proxy", env!("CARGO_PKG_VERSION"), vanewharf_proxy::run)
}
