//! Runs the balancing policy for an external simulator: reads batches of events for simulated gateways from standard
//! input and writes the policy's actions to standard output.

#![forbid(unsafe_code)]

mod gateway;
mod session;
mod wire;

use session::Session;
use std::io::{self, BufReader, BufWriter};
use std::process::ExitCode;

/// Size of the input and output buffers. The largest batches are about 1 MiB.
const BUFFER_BYTES: usize = 1 << 20;

fn main() -> ExitCode {
    let input = BufReader::with_capacity(BUFFER_BYTES, io::stdin().lock());
    let output = BufWriter::with_capacity(BUFFER_BYTES, io::stdout().lock());
    match Session::default().run(input, output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("vanewharf-simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
