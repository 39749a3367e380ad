//! A deterministic simulator of a fleet: gateways with the decisions of `vanewharf-policy`, backends, customers, discovery,
//! the shared counter, and faults. docs/lab.md tells how to use it and what the model leaves out.
//!
//! An [`experiment::Experiment`] is read from a file; [`arrivals`] are generated from it or read from a trace;
//! [`simulation::Simulation`] runs them against a [`policy::Policy`] and gives a [`score::RunRecord`]. The same experiment,
//! seed and policy give the same figures to the byte.

#![forbid(unsafe_code)]

pub mod arrivals;
pub mod backends;
pub mod experiment;
pub mod plots;
pub mod policy;
pub mod quotas;
pub mod random;
pub mod report;
pub mod rules;
pub mod run;
pub mod score;
pub mod simulation;
pub mod sweep;
