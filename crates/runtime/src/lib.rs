//! What a program runs on: its environment (network, directory, clock, randomness), the log, the invariants that it
//! checks and the main function.

#![forbid(unsafe_code)]

pub mod environment;
pub mod invariants;
pub mod log;
pub mod program;
