//! Errors that prevent the agent from starting. Their texts are printed to standard error.

use std::io;
use std::net::SocketAddr;
use thiserror::Error;

/// An error that ends the program.
#[derive(Debug, Error)]
pub enum AgentError {
    /// A listener could not be opened.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address for the proxy or for other agents.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
}
