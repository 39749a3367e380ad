//! The soak: the system's programs as processes of their own on loopback, under random faults that overlap, with clients and
//! operators whose histories are checked afterwards.
//!
//! - [`fault_plan`] draws the faults of a seed, and [`run`] carries them out on a [`cluster::SoakCluster`];
//! - [`clients`] and [`operators`] record what they saw in a [`history::History`];
//! - [`checker`] judges the history;
//! - [`node`] runs one program in each process, on a [`faulty_network`].
//!
//! Unlike in the system simulator, processes, sockets, signals and files are the operating system's. A kill keeps what was
//! written, so losses of power are left to the simulator.
#![forbid(unsafe_code)]

pub mod checker;
pub mod clients;
pub mod cluster;
pub mod fault_plan;
pub mod faulty_network;
pub mod history;
pub mod node;
pub mod operators;
pub mod process;
pub mod run;
