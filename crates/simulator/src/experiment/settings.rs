//! The sections of an experiment's file. Fields have the names of the file's keys, in the words of the users' own pages
//! (`doors` are gateways, `places` zones, a `ceiling` is a hard limit): the files stay as they are. What is left out has
//! the value that stands here; docs/lab.md has every key.
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
