//! What a program runs on: its environment (network, directory, clock, randomness), the log and the main
//! function.

#![forbid(unsafe_code)]

pub mod environment;
pub mod log;
pub mod program;
