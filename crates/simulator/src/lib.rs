//! Deterministic simulator of a fleet: gateways that are controlled by `vanewharf-policy`, backends, customers, discovery,
//! the shared quota counter, and injected faults. docs/lab.md describes its use and the limits of the model.
//!
//! An [`experiment::Experiment`] is read from a file, and [`arrivals`] are generated from it or read from a trace.
//! [`simulation::Simulation`] runs them with a [`policy::Policy`] and returns a [`score::RunRecord`]. The same experiment,
//! seed and policy give reports that are equal byte for byte.

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
