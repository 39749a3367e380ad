//! The lab: a deterministic model of a fleet, its clients and what goes wrong, around the same decisions that
//! the front door makes. docs/lab.md tells how to use it and what the model leaves out.

pub mod arrivals;
pub mod backends;
pub mod draw;
pub mod experiment;
pub mod plots;
pub mod policy;
pub mod report;
pub mod rules;
pub mod run;
pub mod score;
pub mod stores;
pub mod sweep;
pub mod world;
