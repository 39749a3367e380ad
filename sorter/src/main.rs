use std::process::ExitCode;

fn main() -> ExitCode {
    vanewharf_mailroom::program::main("sorter", env!("CARGO_PKG_VERSION"), vanewharf_sorter::run)
}
