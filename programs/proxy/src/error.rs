//! Why the proxy cannot start, or ended before it was asked to. The texts go to standard error.

use std::io;
use std::net::SocketAddr;
use thiserror::Error;
use tokio::task::JoinError;
use vanewharf_config::document::DocumentError;

/// An error that ends the program.
#[derive(Debug, Error)]
pub enum ProxyError {
    /// The settings name no address for a listener.
    #[error(transparent)]
    Settings(#[from] DocumentError),
    /// A listener could not be opened.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address from the settings.
        address: SocketAddr,
        /// What the operating system answered.
        source: io::Error,
    },
    /// The task that makes the decisions ended; without it no request can be served.
    #[error("route ended: {0:?}")]
    RouteEnded(Result<(), JoinError>),
}
