//! Why a call failed.

use thiserror::Error;

/// Why a call failed.
#[derive(Debug, Error)]
pub enum RpcError {
    /// No connection came about in time.
    #[error("no connection")]
    ConnectFailed,
    /// The server sent nothing for too long.
    #[error("no answer in time")]
    Timeout,
    /// The connection ended before the response did.
    #[error("the connection broke")]
    ConnectionLost,
    /// The response has another status than 200.
    #[error("status {0}")]
    Status(u16),
    /// The response, or the request's message, cannot be decoded or encoded.
    #[error("the answer cannot be read")]
    Malformed,
    /// The response is to another call, for instance a late or duplicated one.
    #[error("the answer is to another call")]
    MismatchedCallId,
}
