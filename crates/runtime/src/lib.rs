//! What a program runs on: the environment (network, disk, clock, randomness), the log and the main function.

pub mod environment;
pub mod log;
pub mod program;
