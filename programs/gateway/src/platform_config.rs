//! The file that says who this door is and what it is told.

use crate::discovery::Published;
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use vanewharf_gateway_settings::Options;

#[derive(Deserialize)]
struct Written {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    seed: String,
    limits: Limits,
    known: Published,
    #[serde(default)]
    counter: Option<SocketAddr>,
    settings: Value,
}

#[derive(Deserialize)]
pub struct Limits {
    pub memory_mb: usize,
    pub sockets: usize,
}

pub struct PlatformConfig {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub seed: u64,
    pub limits: Limits,
    pub known: Published,
    /// The shared quota counter, where the platform names one.
    pub counter: Option<SocketAddr>,
    pub options: Options,
}

impl PlatformConfig {
    pub fn read() -> Result<PlatformConfig, String> {
        let path = std::env::var("ROUTER_CONFIG").map_err(|_| "ROUTER_CONFIG is not set".to_owned())?;
        let text = std::fs::read(&path).map_err(|error| format!("cannot read {path}: {error}"))?;
        let written: Written =
            serde_json::from_slice(&text).map_err(|error| format!("cannot read {path}: {error}"))?;
        let Written { name, listen, discovery, seed, limits, known, counter, settings } = written;
        let seed = u64::from_str_radix(&seed, 16).map_err(|_| format!("seed is not hex: '{seed}'"))?;
        let options = Options::nested(&settings);
        Ok(PlatformConfig { name, listen, discovery, seed, limits, known, counter, options })
    }
}
