//! The sections of an experiment's file. Fields are named after the keys of the file format, which are part of its
//! interface: `doors` are gateways, `places` zones, and a `ceiling` is a hard limit. Keys that are left out have the
//! defaults given here; docs/lab.md describes every key.
//!
//! Keys that end in `_s` are in seconds, those in `_ms` in milliseconds.

mod clients;
mod faults;
mod fleet;
mod outcome;

pub use clients::*;
pub use faults::*;
pub use fleet::*;
pub use outcome::*;
