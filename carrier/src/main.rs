use std::process::ExitCode;

fn main() -> ExitCode {
    vanewharf_mailroom::program::main("carrier", env!("CARGO_PKG_VERSION"), vanewharf_carrier::run)
}
