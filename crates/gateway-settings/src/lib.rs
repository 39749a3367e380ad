//! Parsing and validation of gateway settings.
//!
//! Settings come in one of two forms: the flat options of the simulator, or the nested JSON of a deployment. Both are
//! read into [`Options`], which the functions of this crate convert into the configuration of the balancing policy
//! and of the gateway's components. No other crate uses the names of the settings.

#![forbid(unsafe_code)]

mod balancer_config;
mod check;
mod limits;
mod options;

pub use balancer_config::{PolicyNames, balancer_config};
pub use check::{InvalidSetting, check};
pub use limits::{
    ConnectionTimeouts, RequestBounds, connection_timeouts, discovery_poll_interval, idle_reuse_limit,
    peer_messages_per_s, request_bounds,
};
pub use options::{Options, UnreadableOption, ticks_from_ms};

#[cfg(test)]
mod tests;
