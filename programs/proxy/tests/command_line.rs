//! The command line of `vanewharf-proxy`.

#[path = "../../../crates/runtime/tests/command_line/mod.rs"]
mod command_line;

/// The executable under test.
const PROGRAM: &str = env!("CARGO_BIN_EXE_vanewharf-proxy");
