//! Errors that end the program. Their texts are printed to standard error.

use std::io;
use std::net::SocketAddr;
use thiserror::Error;
use tokio::task::JoinError;
use vanewharf_config::document::DocumentError;

/// An error that ends the program.
#[derive(Debug, Error)]
pub enum ProxyError {
    /// The address of a listener is missing from the settings.
    #[error(transparent)]
    Settings(#[from] DocumentError),
    /// A listener could not be opened.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address from the settings.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The routing task ended. No request can be served without it.
    #[error("routing task ended unexpectedly: {0:?}")]
    RoutingTaskEnded(Result<(), JoinError>),
}
