//! The data plane on sockets: the stages that a request passes between its client and a backend.
//!
//! - [`listener`] accepts clients; each client connection reads requests and writes answers;
//! - [`router`] owns the routing policy, which alone decides;
//! - backend connections make the attempts that the policy orders.
//!
//! `vanewharf-gateway` is made of these stages, and so is `vanewharf-proxy`. What differs between the two stands behind
//! [`dialect::HttpDialect`] and [`router::RoutingPolicy`]. All stages run on one thread and share [`shared::Shared`].

#![forbid(unsafe_code)]

pub mod answer;
mod backend_connection;
mod client_connection;
pub mod clock;
pub mod config;
mod connection_pool;
mod counters;
pub mod dialect;
mod discovery;
pub mod drain;
pub mod listener;
pub mod messages;
mod open_ids;
pub mod open_requests;
mod operator_config;
mod peers;
mod platform_config;
mod platform_dialect;
mod quota_counter;
pub mod resources;
pub mod router;
pub mod server;
pub mod shared;
