//! HTTP calls between the system's programs, and the feed of versions that readers pull.

mod call;
mod publisher;

pub use call::{MOST_BODY, RpcClient, RpcError, RpcResponse, serve, serve_deduplicated};
pub use publisher::Publisher;
