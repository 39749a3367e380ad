//! Why the agent cannot start. The text goes to standard error.

use std::io;
use std::net::SocketAddr;
use thiserror::Error;

/// An error that ends the program.
#[derive(Debug, Error)]
pub enum AgentError {
    /// A listener could not be opened.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// On loopback, for the proxy, or for other agents.
        address: SocketAddr,
        /// What the operating system answered.
        source: io::Error,
    },
}
