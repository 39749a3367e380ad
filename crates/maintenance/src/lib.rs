//! Maintenance windows in which contracts allow nodes to be drained, as specified in an operator's file.
//!
//! A contract consists of weekly hours in the civil time of a time zone, closed dates, and extra windows on single
//! dates. Ambiguous times count as closed: an hour that a daylight saving transition skips or repeats, and the margin
//! of error of the local clock at both ends of each window.

#![forbid(unsafe_code)]

mod contract;
mod parse;
mod schedule;
mod windows;

pub use self::contract::{Contract, CoveredNodes, WindowEndPolicy};
pub use self::schedule::{BackendNode, MaintenanceSchedule};
pub use self::windows::WindowState;
pub use jiff::Timestamp;
