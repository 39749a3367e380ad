//! The platform's own file, which names this gateway, its addresses and limits, and the settings. It is read at the start
//! and at each reload; a reload changes the discovery agent's address only.

use crate::discovery::PublishedList;
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use thiserror::Error;
use vanewharf_gateway_settings::Options;

/// The environment variable that names the file.
const PATH_VARIABLE: &str = "ROUTER_CONFIG";

/// Why the platform's file cannot be used.
#[derive(Debug, Error)]
pub enum PlatformConfigError {
    /// No file is named.
    #[error("ROUTER_CONFIG is not set")]
    NotNamed,
    /// The file cannot be read.
    #[error("cannot read {path}: {error}")]
    Unreadable {
        /// The file's path.
        path: String,
        /// What the system reports.
        #[source]
        error: std::io::Error,
    },
    /// The file is not in the expected form.
    #[error("cannot read {path}: {error}")]
    Malformed {
        /// The file's path.
        path: String,
        /// What does not fit.
        #[source]
        error: serde_json::Error,
    },
    /// The seed is no hexadecimal number.
    #[error("seed is not hex: '{seed}'")]
    InvalidSeed {
        /// The seed as it stands in the file.
        seed: String,
    },
}

/// The file's form.
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

/// What the process may use of its machine.
#[derive(Deserialize)]
pub struct MachineLimits {
    /// Memory, in MiB.
    pub memory_mb: usize,
    /// Descriptors of any kind.
    pub sockets: usize,
}

/// What the platform's file states.
pub struct PlatformConfig {
    /// The gateway's name in the log.
    pub name: String,
    /// Where it listens for clients.
    pub listen: SocketAddr,
    /// Where the discovery agent listens.
    pub discovery: SocketAddr,
    /// The seed of all random choices.
    pub seed: u64,
    /// What the process may use.
    pub limits: MachineLimits,
    /// The backends known so far.
    pub known: PublishedList,
    /// The shared quota counter, where there is one.
    pub counter: Option<SocketAddr>,
    /// The settings.
    pub options: Options,
}

impl PlatformConfig {
    /// Reads the file that the environment names.
    ///
    /// # Errors
    ///
    /// Where no file is named, or it cannot be read.
    pub fn read() -> Result<PlatformConfig, PlatformConfigError> {
        let path = std::env::var(PATH_VARIABLE).map_err(|_| PlatformConfigError::NotNamed)?;
        let text = match std::fs::read(&path) {
            Ok(text) => text,
            Err(error) => return Err(PlatformConfigError::Unreadable { path, error }),
        };
        let file: PlatformFile =
            serde_json::from_slice(&text).map_err(|error| PlatformConfigError::Malformed { path, error })?;
        let PlatformFile { name, listen, discovery, seed, limits, known, counter, settings } = file;
        let seed = u64::from_str_radix(&seed, 16).map_err(|_| PlatformConfigError::InvalidSeed { seed })?;
        let options = Options::nested(&settings);
        Ok(PlatformConfig { name, listen, discovery, seed, limits, known, counter, options })
    }
}
