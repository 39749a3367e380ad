//! The data plane proxy: admits client requests by route, access key and tenant quota, forwards each to a backend, and
//! relays the answer.
//!
//! The tasks of the gateway (`vanewharf_gateway`) handle client and backend connections. This crate provides what
//! differs from the gateway: [`request_gate`] authorizes requests against the newest configuration, and [`pools`] is
//! the routing policy. [`data_plane::DataPlane`] connects both to the local agent; the simulator uses it without
//! sockets.
#![forbid(unsafe_code)]

mod agent_link;
pub mod data_plane;
pub mod error;
pub mod gate_state;
pub mod pools;
pub mod readiness;
pub mod request_gate;
pub mod routing;
mod server;
pub mod status;
mod ticks;
mod token_client;
pub mod update;

pub use server::run;
