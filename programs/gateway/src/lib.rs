//! The data plane: the tasks that carry a request from its client to a backend and the answer back.
//!
//! - [`listener`] accepts clients, and one task for each client connection reads requests and writes answers;
//! - [`router`] owns the routing policy, which makes all routing decisions;
//! - one task for each backend connection makes the attempts that the policy decides on.
//!
//! Both `vanewharf-gateway` and `vanewharf-proxy` are built from these tasks. The two programs differ in their
//! implementations of [`dialect::HttpDialect`] and [`router::RoutingPolicy`]. All tasks run on one thread and share
//! [`shared::Shared`].

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
pub mod log;
pub mod messages;
mod open_ids;
pub mod open_requests;
mod operator_config;
mod peers;
mod platform_config;
mod platform_dialect;
mod quiet_connection;
mod quota_counter;
pub mod resources;
pub mod router;
pub mod server;
pub mod shared;
