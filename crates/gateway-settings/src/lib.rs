//! Reads the settings of a gateway.
//!
//! Settings come in one of two forms: the simulator's flat options, or the nested JSON of a deployment. Both are read
//! into [`Options`]; the functions of this crate make of them what the policy and the gateway's stages start from. No
//! other crate knows the names that the settings use.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod check;
mod limits;
mod options;
mod policy_start;

pub use check::{InvalidSetting, check};
pub use limits::{
    ConnectionTimeouts, RequestBounds, connection_timeouts, discovery_poll_interval, idle_reuse_limit,
    peer_messages_per_s, request_bounds,
};
pub use options::{Options, UnreadableOption, ticks_from_ms};
pub use policy_start::{SettingNames, policy_start};

#[cfg(test)]
mod tests;
