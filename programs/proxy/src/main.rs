//! The proxy's executable.

use std::process::ExitCode;
use vanewharf_config::settings::Settings;
use vanewharf_runtime::environment::Environment;
use vanewharf_runtime::program::ShutdownSignal;

fn main() -> ExitCode {
    let run = |settings: Settings, environment: Environment, end: ShutdownSignal| async {
        vanewharf_proxy::run(settings, environment, end).await.map_err(|error| error.to_string())
    };
    vanewharf_runtime::program::main("vanewharf-proxy", env!("CARGO_PKG_VERSION"), run)
}
