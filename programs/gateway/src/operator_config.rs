//! The operator's own file: settings that the platform's file does not state, and where the other doors hear
//! words. It is read once, at the start.

use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::Path;
use vanewharf_gateway_settings::Options;

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorConfig {
    #[serde(default)]
    settings: Value,
    pub peers: Option<PeersAt>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeersAt {
    pub listen: SocketAddr,
    /// Every door, by its number, this one too.
    pub doors: Vec<SocketAddr>,
}

impl OperatorConfig {
    /// Nothing is set where no file is named.
    pub fn read(path: Option<&Path>) -> Result<OperatorConfig, String> {
        let Some(path) = path else {
            return Ok(OperatorConfig::default());
        };
        let because = |error: &dyn std::fmt::Display| {
            // One line, so that a log's reader finds the key beside the reason.
            format!("cannot read {}: {}", path.display(), error.to_string().trim_end().replace('\n', " "))
        };
        let text = std::fs::read_to_string(path).map_err(|error| because(&error))?;
        toml::from_str(&text).map_err(|error| because(&error))
    }

    /// The platform's settings with this file's beside them, checked as a whole.
    pub fn complete(&self, platform: Options) -> Result<Options, String> {
        let options =
            platform.merged_with(Options::nested(&self.settings)).map_err(|refused| refused.to_string())?;
        let counts = self.peers.as_ref().map(|peers| peers.doors.len());
        vanewharf_gateway_settings::check(&options, counts).map_err(|refused| refused.to_string())?;
        if let Some(peers) = &self.peers {
            let mut others = peers.doors.clone();
            others.sort();
            others.dedup();
            if others.len() < peers.doors.len() {
                return Err("peers.doors is refused: an address stands there twice".to_owned());
            }
            let me: usize = options.required("me").map_err(|refused| refused.to_string())?;
            if peers.doors.get(me) != Some(&peers.listen) {
                return Err(format!("peers.listen is refused: not the address of door {me} in peers.doors"));
            }
        }
        Ok(options)
    }
}
