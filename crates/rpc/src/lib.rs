//! HTTP/1.1 calls between the vanewharf programs: a client whose calls have timeouts, a server that recognizes
//! repeated calls, and the publisher from which readers pull new versions.
//!
//! Each internal call carries a [call id](vanewharf_protocol::deduplication::CallId), and its response repeats it.

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
