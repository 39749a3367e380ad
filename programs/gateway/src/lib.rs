//! The stages that a txn passes on sockets: take in, admit, route, send, relay and book, each in a file of its own;
//! `route` alone asks the decisions. `vanewharf-gateway` is made of them, and so is the system's data plane; what
//! differs between the two stands behind `gate::HttpDialect` and `route::RoutingPolicy`.

pub mod answer;
pub mod backend_connection;
pub mod client_connection;
pub mod clock;
pub mod connection_pool;
pub mod counters;
pub mod dialect;
pub mod discovery;
pub mod discovery_pacing;
pub mod messages;
pub mod open_ids;
pub mod operator_config;
pub mod peers;
pub mod platform_config;
pub mod platform_dialect;
pub mod quota_counter;
pub mod resources;
pub mod router;
pub mod shared;
