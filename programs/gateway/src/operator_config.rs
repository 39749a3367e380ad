//! The operator's own file: settings that the platform's file does not state, and where the other gateways receive
//! messages. It is read once, at the start.

use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use thiserror::Error;
use vanewharf_gateway_settings::{InvalidSetting, Options, UnreadableOption};

/// Why the operator's file, or the settings of both files together, cannot be used.
#[derive(Debug, Error)]
pub enum OperatorConfigError {
    /// The file cannot be read, or is not in the expected form. The reason is one line, so that a log's reader finds the
    /// key next to it.
    #[error("cannot read {}: {reason}", path.display())]
    Unreadable {
        /// The file's path.
        path: PathBuf,
        /// What the system or the parser reports.
        reason: String,
    },
    /// A setting is refused.
    #[error(transparent)]
    InvalidSetting(#[from] InvalidSetting),
    /// A setting cannot be read.
    #[error(transparent)]
    UnreadableOption(#[from] UnreadableOption),
    /// The time until a kill is out of range.
    #[error("kill_after_s is refused: {seconds}; from {MIN_KILL_AFTER_S} to {MAX_KILL_AFTER_S} it may be")]
    KillAfter {
        /// What the file states.
        seconds: f64,
    },
    /// Two gateways are listed at one address.
    #[error("peers.doors is refused: an address stands there twice")]
    DuplicatePeer,
    /// The list names another address for this gateway's number than it listens on.
    #[error("peers.listen is refused: not the address of door {own_number} in peers.doors")]
    OwnAddressMismatch {
        /// This gateway's number.
        own_number: usize,
    },
}

/// What the operator's file states.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorConfig {
    #[serde(default)]
    settings: Value,
    #[serde(default)]
    kill_after_s: Option<f64>,
    /// How long after SIGTERM whoever stops the process kills it. What is open shortly before that is answered as it stands.
    #[serde(skip, default = "default_kill_after")]
    pub kill_after: Duration,
    /// Where the gateways exchange messages, if they do.
    pub peers: Option<PeerAddresses>,
}

/// Where nothing is stated: longer than any request of the users lasts, so that the process ends by itself in the end.
const DEFAULT_KILL_AFTER: Duration = Duration::from_secs(60);
const MIN_KILL_AFTER_S: f64 = 1.0;
const MAX_KILL_AFTER_S: f64 = 3600.0;

fn default_kill_after() -> Duration {
    DEFAULT_KILL_AFTER
}

impl Default for OperatorConfig {
    fn default() -> OperatorConfig {
        let (settings, kill_after) = (Value::Null, DEFAULT_KILL_AFTER);
        OperatorConfig { settings, kill_after_s: None, kill_after, peers: None }
    }
}

/// Where gateways exchange messages. The file's key for the list keeps its old name.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerAddresses {
    /// Where this gateway receives messages.
    pub listen: SocketAddr,
    /// Every gateway by its number, including this one.
    #[serde(rename = "doors")]
    pub gateways: Vec<SocketAddr>,
}

impl OperatorConfig {
    /// Reads the file; nothing is set where none is named.
    ///
    /// # Errors
    ///
    /// Where the file cannot be read, or a value is out of range.
    pub fn read(path: Option<&Path>) -> Result<OperatorConfig, OperatorConfigError> {
        let Some(path) = path else {
            return Ok(OperatorConfig::default());
        };
        let text = std::fs::read_to_string(path).map_err(|error| unreadable(path, &error))?;
        let mut config: OperatorConfig = toml::from_str(&text).map_err(|error| unreadable(path, &error))?;
        if let Some(seconds) = config.kill_after_s {
            config.kill_after = checked_kill_after(seconds)?;
        }
        Ok(config)
    }

    /// The platform's settings together with those of this file, checked.
    ///
    /// # Errors
    ///
    /// Where the files contradict each other or a setting is refused.
    pub fn complete(&self, platform: Options) -> Result<Options, OperatorConfigError> {
        let options = platform.merged_with(Options::nested(&self.settings))?;
        let addresses = self.peers.as_ref().map(|peers| peers.gateways.len());
        vanewharf_gateway_settings::check(&options, addresses)?;
        if let Some(peers) = &self.peers {
            peers.check(options.required("me"))?;
        }
        Ok(options)
    }
}

fn checked_kill_after(seconds: f64) -> Result<Duration, OperatorConfigError> {
    let in_range = (MIN_KILL_AFTER_S..=MAX_KILL_AFTER_S).contains(&seconds);
    in_range.then(|| Duration::from_secs_f64(seconds)).ok_or(OperatorConfigError::KillAfter { seconds })
}

impl PeerAddresses {
    fn check(&self, own_number: Result<usize, UnreadableOption>) -> Result<(), OperatorConfigError> {
        let mut distinct = self.gateways.clone();
        distinct.sort();
        distinct.dedup();
        if distinct.len() < self.gateways.len() {
            return Err(OperatorConfigError::DuplicatePeer);
        }
        let own_number = own_number?;
        if self.gateways.get(own_number) != Some(&self.listen) {
            return Err(OperatorConfigError::OwnAddressMismatch { own_number });
        }
        Ok(())
    }
}

fn unreadable(path: &Path, error: &dyn std::error::Error) -> OperatorConfigError {
    let reason = error.to_string().trim_end().replace('\n', " ");
    OperatorConfigError::Unreadable { path: path.to_owned(), reason }
}

#[cfg(test)]
mod tests;
