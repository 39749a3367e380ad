//! Leases, votes and membership: pure state machines that are told the time and do no input or output.

pub mod election;
pub mod group;
pub mod membership;
pub mod voter;
