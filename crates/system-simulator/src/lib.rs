//! A deterministic simulator of the whole system: the real controllers and agents, and the real data plane of each proxy
//! among simulated clients and backends, on a network, a clock and disks that are decided by a seed.
//!
//! A run is drawn from a seed ([`run`]) or follows a [`schedule`]; afterwards the [`checker`] judges what clients,
//! backends and operators observed. docs/lab.md says what is and is not like a real machine.

#![forbid(unsafe_code)]

pub mod checker;
mod clients;
pub mod cluster;
pub mod configuration;
pub mod cost;
pub use vanewharf_simulated_disk as disk;
mod fault;
mod fault_generator;
pub mod ground_truth;
pub mod history;
mod loss_budget;
pub mod network;
mod operators;
pub mod outcome;
pub mod parallel;
mod proxy;
pub mod run;
pub mod schedule;
pub mod scheduled_run;
pub mod topology;
