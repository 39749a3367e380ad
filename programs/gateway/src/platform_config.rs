//! The platform's configuration file: this gateway's name, addresses, limits and settings. It is read at startup and at
//! each reload; a reload applies only the discovery agent's address.

use crate::discovery::PublishedList;
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use thiserror::Error;
use vanewharf_gateway_settings::Options;

/// The environment variable that holds the file's path.
const CONFIG_PATH_VARIABLE: &str = "ROUTER_CONFIG";

/// Why the platform's file cannot be used.
#[derive(Debug, Error)]
pub enum PlatformConfigError {
    /// `ROUTER_CONFIG` is not set.
    #[error("ROUTER_CONFIG is not set")]
    NotNamed,
    /// The file cannot be read.
    #[error("cannot read {path}: {error}")]
    Unreadable {
        /// The file's path.
        path: String,
        /// The operating system's error.
        #[source]
        error: std::io::Error,
    },
    /// The file's JSON cannot be parsed.
    #[error("cannot read {path}: {error}")]
    Malformed {
        /// The file's path.
        path: String,
        /// The parser's error.
        #[source]
        error: serde_json::Error,
    },
    /// The seed is not a hexadecimal number.
    #[error("seed is not a hexadecimal number: '{seed}'")]
    InvalidSeed {
        /// The value in the file.
        seed: String,
    },
}

/// The file's JSON document.
#[derive(Deserialize)]
struct PlatformFile {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    seed: String,
    limits: MachineLimits,
    known: PublishedList,
    #[serde(default)]
    counter: Option<SocketAddr>,
    settings: Value,
}

/// The limits on the process's use of its machine.
#[derive(Deserialize)]
pub struct MachineLimits {
    /// Memory, in MiB.
    pub memory_mb: usize,
    /// File descriptors of any kind.
    pub sockets: usize,
}

/// The contents of the platform's file.
pub struct PlatformConfig {
    /// The gateway's name in the log.
    pub name: String,
    /// The address on which it accepts clients.
    pub listen: SocketAddr,
    /// The discovery agent's address.
    pub discovery: SocketAddr,
    /// The seed of all random number generators.
    pub seed: u64,
    /// The limits on memory and sockets.
    pub limits: MachineLimits,
    /// The backends to start with.
    pub initial_backends: PublishedList,
    /// The address of the shared quota counter, if there is one.
    pub counter: Option<SocketAddr>,
    /// The settings, not yet parsed.
    pub options: Options,
}

impl PlatformConfig {
    /// Reads the file that `ROUTER_CONFIG` names.
    ///
    /// # Errors
    ///
    /// If `ROUTER_CONFIG` is not set, or the file cannot be read or parsed.
    pub fn read() -> Result<PlatformConfig, PlatformConfigError> {
        let path = std::env::var(CONFIG_PATH_VARIABLE).map_err(|_| PlatformConfigError::NotNamed)?;
        let bytes = match std::fs::read(&path) {
            Ok(bytes) => bytes,
            Err(error) => return Err(PlatformConfigError::Unreadable { path, error }),
        };
        let file: PlatformFile =
            serde_json::from_slice(&bytes).map_err(|error| PlatformConfigError::Malformed { path, error })?;
        let PlatformFile { name, listen, discovery, seed, limits, known, counter, settings } = file;
        let seed = u64::from_str_radix(&seed, 16).map_err(|_| PlatformConfigError::InvalidSeed { seed })?;
        let options = Options::nested(&settings);
        Ok(PlatformConfig {
            name,
            listen,
            discovery,
            seed,
            limits,
            initial_backends: known,
            counter,
            options,
        })
    }
}
