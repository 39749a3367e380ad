//! Maintenance windows: the hours in which contracts allow nodes to be drained, as an operator's file states them.
//!
//! A contract has weekly hours by the civil time of a time zone, dates that are closed, and further windows on single
//! dates. What is in doubt counts as closed: an hour that daylight saving skips or repeats, and the time by which the
//! judging clock may be off, at both ends of each window.

#![forbid(unsafe_code)]

mod contract;
mod parse;
mod schedule;
mod windows;

pub use self::contract::{Contract, CoveredNodes, WindowEndPolicy};
pub use self::schedule::{BackendNode, MaintenanceSchedule};
pub use self::windows::WindowState;
pub use jiff::Timestamp;
