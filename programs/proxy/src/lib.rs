//! The data plane's program: admits requests from clients by route, API key and the tenant's quota, forwards each to a
//! backend that the policy chooses, and relays the answer.
//!
//! The sockets, the parsing and the relaying of answers are the gateway's own stages (`vanewharf_gateway`). This crate
//! brings the two parts in which the proxy differs from the gateway: [`request_gate`] authorizes a request by the newest
//! configuration, and [`pools`] makes all routing decisions. [`data_plane::DataPlane`] joins them with the link to the local agent,
//! so that the simulator can run the same decisions without sockets.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod agent_link;
pub mod data_plane;
pub mod error;
pub mod pools;
pub mod readiness;
pub mod request_gate;
pub mod routing;
mod server;
pub mod snapshot;
pub mod status;
mod token_client;
pub mod update;

pub use server::run;
