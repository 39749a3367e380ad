//! Connects the users' simulator, on standard input and output, with the decisions of its gateways: the program itself
//! does no more than read batches, let the decisions handle them and write their actions.

#![forbid(unsafe_code)]

mod gateway;
mod session;
mod wire;

use session::Session;
use std::io::{self, BufReader, BufWriter};
use std::process::ExitCode;

/// Bytes that are read or written at once; the largest batches are about as long.
const BUFFER_SIZE: usize = 1 << 20;

fn main() -> ExitCode {
    let input = BufReader::with_capacity(BUFFER_SIZE, io::stdin().lock());
    let output = BufWriter::with_capacity(BUFFER_SIZE, io::stdout().lock());
    match Session::default().run(input, output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("vanewharf-simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
