//! The settings file that the platform writes for each process. Fields that are not known are ignored.

use crate::document::{self, DocumentResult, JsonNode};
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;
use thiserror::Error;

#[derive(Debug, Error)]
pub enum SettingsError {
    #[error("VANEWHARF_SETTINGS is not set")]
    PathNotSet,
    #[error("cannot read {0}: {1}")]
    Unreadable(PathBuf, std::io::Error),
    #[error("cannot read {0}: {1}")]
    Malformed(PathBuf, document::DocumentError),
}

/// The bounds of the rules, as far as the programs go by them.
#[derive(Clone, Debug)]
pub struct LimitsTable {
    pub revocation_global: bool,
    pub revocation: Duration,
    pub grace_period: Duration,
    pub ttl_max: Duration,
    pub rate_allowance: f64,
    pub retry_ratio: f64,
    pub retry_window: Duration,
    pub retry_allowance: f64,
    pub warmup_overshoot: f64,
    pub warmup_allowance: f64,
}

#[derive(Clone, Debug)]
pub struct CloudApi {
    pub address: SocketAddr,
    pub rate_per_s: f64,
    pub allowed_lag: Duration,
}

#[derive(Clone, Debug)]
pub struct Settings {
    pub name: String,
    pub ip: IpAddr,
    pub zone: String,
    pub region: String,
    /// The region of each zone.
    pub zones: BTreeMap<String, String>,
    pub listen_addresses: BTreeMap<String, SocketAddr>,
    pub internal_ports: (u16, u16),
    pub seeds: Vec<SocketAddr>,
    pub initial_start: bool,
    pub memory_mb: u64,
    pub file_descriptors: u64,
    pub data_directory: Option<PathBuf>,
    /// How many machines with a disk may be lost at once.
    pub tolerated_machine_losses: u64,
    pub limits_table: LimitsTable,
    pub cloud_api: Option<CloudApi>,
}

impl Settings {
    pub fn path_from_environment() -> Result<PathBuf, SettingsError> {
        std::env::var_os("VANEWHARF_SETTINGS").map(PathBuf::from).ok_or(SettingsError::PathNotSet)
    }

    pub fn read(path: PathBuf) -> Result<Settings, SettingsError> {
        let text = std::fs::read(&path).map_err(|error| SettingsError::Unreadable(path.clone(), error))?;
        Settings::parse(&text).map_err(|fault| SettingsError::Malformed(path, fault))
    }

    pub fn parse(text: &[u8]) -> DocumentResult<Settings> {
        let value = document::parse(text)?;
        let doc = JsonNode::root(&value);
        let ip = address(&doc.required("ip_address")?)?;
        let mut zones = BTreeMap::new();
        for (zone, region) in doc.required("zones")?.entries()? {
            zones.insert(zone.to_owned(), region.string()?.to_owned());
        }
        let mut listen = BTreeMap::new();
        for (kind, at) in doc.required("listen_addresses")?.entries()? {
            listen.insert(kind.to_owned(), address(&at)?);
        }
        let ports = doc.required("internal_ports")?;
        let internal = match ports.items()?.as_slice() {
            [first, last] => (port(first)?, port(last)?),
            _ => return Err(ports.invalid("two ports are wanted, the first and the last")),
        };
        if internal.1 < internal.0.saturating_add(2) {
            return Err(ports.invalid("three ports at least are wanted"));
        }
        let seeds =
            doc.required("seed_nodes")?.items()?.iter().map(address).collect::<DocumentResult<_>>()?;
        let limits = doc.required("limits")?;
        let data = doc.optional("data_directory")?;
        let data = data.map(|data| data.string().map(PathBuf::from)).transpose()?;
        let cloud = match doc.optional("cloud_api")? {
            Some(cloud) => Some(CloudApi {
                address: address(&cloud.required("address")?)?,
                rate_per_s: cloud.required("rate_per_s")?.number()?,
                allowed_lag: cloud.required("allowed_lag")?.duration()?,
            }),
            None => None,
        };
        Ok(Settings {
            name: doc.required("node_name")?.string()?.to_owned(),
            ip,
            zone: doc.required("zone")?.string()?.to_owned(),
            region: doc.required("region")?.string()?.to_owned(),
            zones,
            listen_addresses: listen,
            internal_ports: internal,
            seeds,
            initial_start: doc.required("initial_start")?.boolean()?,
            memory_mb: limits.required("memory_mb")?.integer()?,
            file_descriptors: limits.required("file_descriptors")?.integer()?,
            data_directory: data,
            tolerated_machine_losses: doc
                .optional("fault_tolerance")?
                .map_or(Ok(1), |doc| doc.required("machine_losses")?.integer())?,
            limits_table: bounds(&doc.required("limits_table")?)?,
            cloud_api: cloud,
        })
    }

    /// Where this process listens for callers of that kind.
    pub fn listen_address(&self, kind: &'static str) -> DocumentResult<SocketAddr> {
        let missing = || document::DocumentError::Missing(format!("listen_addresses.{kind}"));
        self.listen_addresses.get(kind).copied().ok_or_else(missing)
    }

    /// Where a postmaster on that machine listens for the system's own calls.
    pub fn controller_address(&self, ip: IpAddr) -> SocketAddr {
        SocketAddr::new(ip, self.internal_ports.0)
    }

    /// Where the sorter on that machine listens for other doors.
    pub fn agent_address(&self, ip: IpAddr) -> SocketAddr {
        SocketAddr::new(ip, self.internal_ports.0 + 1)
    }

    /// Where the sorter on this machine listens for its carrier.
    pub fn agent_loopback_address(&self) -> SocketAddr {
        // Where machines are stood in for by loopback addresses, each has its own.
        let ip = if self.ip.is_loopback() { self.ip } else { IpAddr::from([127, 0, 0, 1]) };
        SocketAddr::new(ip, self.internal_ports.0 + 2)
    }
}

fn bounds(doc: &JsonNode<'_>) -> DocumentResult<LimitsTable> {
    Ok(LimitsTable {
        revocation_global: doc.required("revocation_global")?.boolean()?,
        revocation: doc.required("revocation")?.duration()?,
        grace_period: doc.required("grace_period")?.duration()?,
        ttl_max: doc.required("ttl_max")?.duration()?,
        rate_allowance: doc.required("rate_allowance")?.number()?,
        retry_ratio: doc.required("retry_ratio")?.number()?,
        retry_window: doc.required("retry_window")?.duration()?,
        retry_allowance: doc.required("retry_allowance")?.number()?,
        warmup_overshoot: doc.required("warmup_overshoot")?.number()?,
        warmup_allowance: doc.required("warmup_allowance")?.number()?,
    })
}

pub fn address<T: std::str::FromStr>(doc: &JsonNode<'_>) -> DocumentResult<T> {
    doc.string()?.parse().map_err(|_| doc.invalid("it is no address"))
}

fn port(doc: &JsonNode<'_>) -> DocumentResult<u16> {
    u16::try_from(doc.integer()?).map_err(|_| doc.invalid("it is no port"))
}
