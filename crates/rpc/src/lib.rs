//! HTTP/1.1 calls between the system's programs: a client whose calls end in time, a server that recognizes
//! repeated calls, and the publisher of versions that readers pull.
//!
//! The system's own calls carry a [call id](vanewharf_protocol::deduplication::CallId), and their responses
//! the id of the call that they answer.

#![forbid(unsafe_code)]

mod client;
mod client_pool;
mod compression;
mod error;
mod limits;
mod publisher;
mod response;
mod server;

pub use client::{RawResponse, RpcClient};
pub use client_pool::{ClientPool, PooledClient};
pub use error::RpcError;
pub use limits::MAX_BODY_BYTES;
pub use publisher::Publisher;
pub use response::RpcResponse;
pub use server::{
    ServerDrain, serve, serve_deduplicated, serve_deduplicated_until_drained, serve_until_drained,
};
