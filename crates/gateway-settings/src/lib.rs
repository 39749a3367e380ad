//! Reads the settings of a gateway.
//!
//! Settings come in one of two forms: the simulator's flat options, or the nested JSON of a deployment. Both are read
//! into [`Options`]; the functions of this crate make of them the configuration of the policy and of the gateway's stages. No
//! other crate knows the names that the settings use.

#![forbid(unsafe_code)]

mod balancer_config;
mod check;
mod limits;
mod options;

pub use balancer_config::{SettingNames, balancer_config};
pub use check::{InvalidSetting, check};
pub use limits::{
    ConnectionTimeouts, RequestBounds, connection_timeouts, discovery_poll_interval, idle_reuse_limit,
    peer_messages_per_s, request_bounds,
};
pub use options::{Options, UnreadableOption, ticks_from_ms};

#[cfg(test)]
mod tests;
