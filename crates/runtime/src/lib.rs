//! The runtime of the system's programs: the environment (network, data directory, clock, random numbers), the log, the
//! invariants that are checked at run time, and the main function.

#![forbid(unsafe_code)]

pub mod environment;
pub mod invariants;
pub mod log;
pub mod program;
