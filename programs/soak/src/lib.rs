//! The soak test: runs the programs of the system as processes on loopback under random, overlapping faults, and checks
//! the recorded history of clients and operators afterwards.
//!
//! - [`fault_plan`] generates the faults of a seed, and [`run`] executes them on a [`cluster::SoakCluster`];
//! - [`clients`] and [`operators`] record the outcomes of their requests in a [`history::History`];
//! - [`checker`] checks the history for violations;
//! - [`node`] runs one program in each process, on a [`faulty_network`].
//!
//! Unlike the system simulator, the soak uses real processes, sockets, signals and files. A killed process does not lose
//! data that it has written but not synced, so only the simulator tests losses of power.
#![forbid(unsafe_code)]

pub mod checker;
pub mod clients;
pub mod cluster;
pub mod fault_plan;
pub mod faulty_network;
pub mod files;
pub mod history;
mod malformed_answers;
pub mod node;
pub mod operators;
pub mod process;
pub mod run;
