//! Entry point of `vanewharf-controller`: parses the command line and runs the controller until SIGTERM.

use std::process::ExitCode;

fn main() -> ExitCode {
    vanewharf_runtime::program::main(
        "vanewharf-controller",
        env!("CARGO_PKG_VERSION"),
        vanewharf_controller::run,
    )
}
