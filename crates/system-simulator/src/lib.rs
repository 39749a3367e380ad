//! A deterministic simulator of the whole system. It runs the real controllers and agents, and the real data plane of
//! each proxy, against simulated clients and backends. A seed determines the behaviour of network, clocks and disks.
//!
//! A run is either generated from a seed ([`run`]) or follows a [`schedule`]. After the run, the [`checker`] verifies
//! what clients, backends and operators observed. docs/lab.md describes how the simulation differs from real machines.

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
