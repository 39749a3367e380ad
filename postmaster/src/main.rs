use std::process::ExitCode;

fn main() -> ExitCode {
    vanewharf_mailroom::program::main("postmaster", env!("CARGO_PKG_VERSION"), vanewharf_postmaster::run)
}
