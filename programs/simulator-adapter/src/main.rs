//! The bench's wire on standard input and output, with the decisions behind it.

mod door;
mod link;
mod wire;

use link::Link;
use std::io::{self, BufReader, BufWriter};
use std::process::ExitCode;

fn main() -> ExitCode {
    let input = BufReader::with_capacity(1 << 20, io::stdin().lock());
    let output = BufWriter::with_capacity(1 << 20, io::stdout().lock());
    match Link::default().run(input, output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("vanewharf-simulator-adapter: {fault}");
            ExitCode::FAILURE
        }
    }
}
