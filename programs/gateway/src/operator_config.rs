//! The operator's configuration file: settings that the platform's file lacks, and the addresses at which gateways
//! receive messages from each other. It is read once, at startup.

use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use thiserror::Error;
use vanewharf_gateway_settings::{InvalidSetting, Options, UnreadableOption};

/// Why the operator's file, or the merged settings of both files, cannot be used.
#[derive(Debug, Error)]
pub enum OperatorConfigError {
    /// The file cannot be read or parsed. The reason is a single line, so that the log shows it next to the key at
    /// fault.
    #[error("cannot read {}: {reason}", path.display())]
    Unreadable {
        /// The file's path.
        path: PathBuf,
        /// The operating system's or the parser's error.
        reason: String,
    },
    /// A setting is invalid.
    #[error(transparent)]
    InvalidSetting(#[from] InvalidSetting),
    /// A setting has the wrong type or cannot be parsed.
    #[error(transparent)]
    UnreadableOption(#[from] UnreadableOption),
    /// `kill_after_s` is out of range.
    #[error("kill_after_s is refused: {seconds} is not between {MIN_KILL_AFTER_S} and {MAX_KILL_AFTER_S}")]
    KillAfter {
        /// The value in the file.
        seconds: f64,
    },
    /// `peers.doors` lists an address twice.
    #[error("peers.doors is refused: it lists an address twice")]
    DuplicatePeer,
    /// `peers.doors` has another address for this gateway than `peers.listen`.
    #[error("peers.listen is refused: it is not the address of gateway {own_number} in peers.doors")]
    OwnAddressMismatch {
        /// This gateway's number, its index in `peers.doors`.
        own_number: usize,
    },
}

/// The contents of the operator's file.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorConfig {
    #[serde(default)]
    settings: Value,
    #[serde(default)]
    kill_after_s: Option<f64>,
    /// How long after SIGTERM the supervisor kills this process. Requests that are still open shortly before then are
    /// answered with the outcome known so far.
    #[serde(skip, default = "default_kill_after")]
    pub kill_after: Duration,
    /// The addresses at which gateways exchange messages, if they do.
    pub peers: Option<PeerAddresses>,
}

/// Longer than any client request lasts, so that by default the process has ended by itself before it is killed.
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

/// The addresses at which gateways exchange messages. The list keeps its original key in the file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerAddresses {
    /// The address at which this gateway receives messages.
    pub listen: SocketAddr,
    /// The addresses of all gateways, including this one, indexed by gateway number.
    #[serde(rename = "doors")]
    pub gateways: Vec<SocketAddr>,
}

impl OperatorConfig {
    /// Reads the file; returns the defaults if `path` is `None`.
    ///
    /// # Errors
    ///
    /// If the file cannot be read or parsed, or a value is out of range.
    pub fn read(path: Option<&Path>) -> Result<OperatorConfig, OperatorConfigError> {
        let Some(path) = path else {
            return Ok(OperatorConfig::default());
        };
        let text = std::fs::read_to_string(path).map_err(|error| unreadable(path, &error))?;
        let mut config: OperatorConfig = toml::from_str(&text).map_err(|error| unreadable(path, &error))?;
        if let Some(seconds) = config.kill_after_s {
            config.kill_after = parse_kill_after(seconds)?;
        }
        Ok(config)
    }

    /// Merges the platform's options with those of this file and validates the result.
    ///
    /// # Errors
    ///
    /// If the files contradict each other or a setting is invalid.
    pub fn merge_options(&self, platform: Options) -> Result<Options, OperatorConfigError> {
        let options = platform.merged_with(Options::nested(&self.settings))?;
        let peer_count = self.peers.as_ref().map(|peers| peers.gateways.len());
        vanewharf_gateway_settings::check(&options, peer_count)?;
        if let Some(peers) = &self.peers {
            peers.check(options.required("me"))?;
        }
        Ok(options)
    }
}

fn parse_kill_after(seconds: f64) -> Result<Duration, OperatorConfigError> {
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
