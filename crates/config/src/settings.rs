//! The settings file that the platform writes for each process. Fields that are not known are ignored.

use crate::doc::{self, Checked, Doc};
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;
use thiserror::Error;

#[derive(Debug, Error)]
pub enum SettingsError {
    #[error("VANEWHARF_SETTINGS is not set")]
    NoPath,
    #[error("cannot read {0}: {1}")]
    File(PathBuf, std::io::Error),
    #[error("cannot read {0}: {1}")]
    Content(PathBuf, doc::Fault),
}

/// The bounds of the rules, as far as the programs go by them.
#[derive(Clone, Debug)]
pub struct Bounds {
    pub revocation_global: bool,
    pub revocation: Duration,
    pub grace: Duration,
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
    pub lag: Duration,
}

#[derive(Clone, Debug)]
pub struct Settings {
    pub name: String,
    pub ip: IpAddr,
    pub zone: String,
    pub region: String,
    /// The region of each zone.
    pub zones: BTreeMap<String, String>,
    pub listen: BTreeMap<String, SocketAddr>,
    pub internal: (u16, u16),
    pub seeds: Vec<SocketAddr>,
    pub initial_start: bool,
    pub memory_mb: u64,
    pub descriptors: u64,
    pub data: Option<PathBuf>,
    /// How many machines with a disk may be lost at once.
    pub losses: u64,
    pub bounds: Bounds,
    pub cloud: Option<CloudApi>,
}

impl Settings {
    pub fn path() -> Result<PathBuf, SettingsError> {
        std::env::var_os("VANEWHARF_SETTINGS").map(PathBuf::from).ok_or(SettingsError::NoPath)
    }

    pub fn read(path: PathBuf) -> Result<Settings, SettingsError> {
        let text = std::fs::read(&path).map_err(|error| SettingsError::File(path.clone(), error))?;
        Settings::of(&text).map_err(|fault| SettingsError::Content(path, fault))
    }

    pub fn of(text: &[u8]) -> Checked<Settings> {
        let value = doc::read(text)?;
        let doc = Doc::whole(&value);
        let ip = address(&doc.at("ip_address")?)?;
        let mut zones = BTreeMap::new();
        for (zone, region) in doc.at("zones")?.table()? {
            zones.insert(zone.to_owned(), region.text()?.to_owned());
        }
        let mut listen = BTreeMap::new();
        for (kind, at) in doc.at("listen_addresses")?.table()? {
            listen.insert(kind.to_owned(), address(&at)?);
        }
        let ports = doc.at("internal_ports")?;
        let internal = match ports.list()?.as_slice() {
            [first, last] => (port(first)?, port(last)?),
            _ => return Err(ports.unsound("two ports are wanted, the first and the last")),
        };
        if internal.1 < internal.0.saturating_add(2) {
            return Err(ports.unsound("three ports at least are wanted"));
        }
        let seeds = doc.at("seed_nodes")?.list()?.iter().map(address).collect::<Checked<_>>()?;
        let limits = doc.at("limits")?;
        let data = doc.may("data_directory")?;
        let data = data.map(|data| data.text().map(PathBuf::from)).transpose()?;
        let cloud = match doc.may("cloud_api")? {
            Some(cloud) => Some(CloudApi {
                address: address(&cloud.at("address")?)?,
                rate_per_s: cloud.at("rate_per_s")?.number()?,
                lag: cloud.at("allowed_lag")?.span()?,
            }),
            None => None,
        };
        Ok(Settings {
            name: doc.at("node_name")?.text()?.to_owned(),
            ip,
            zone: doc.at("zone")?.text()?.to_owned(),
            region: doc.at("region")?.text()?.to_owned(),
            zones,
            listen,
            internal,
            seeds,
            initial_start: doc.at("initial_start")?.flag()?,
            memory_mb: limits.at("memory_mb")?.count()?,
            descriptors: limits.at("file_descriptors")?.count()?,
            data,
            losses: doc.may("fault_tolerance")?.map_or(Ok(1), |doc| doc.at("machine_losses")?.count())?,
            bounds: bounds(&doc.at("limits_table")?)?,
            cloud,
        })
    }

    /// Where this process listens for callers of that kind.
    pub fn listens(&self, kind: &'static str) -> Checked<SocketAddr> {
        let missing = || doc::Fault::Missing(format!("listen_addresses.{kind}"));
        self.listen.get(kind).copied().ok_or_else(missing)
    }

    /// Where a postmaster on that machine listens for the system's own calls.
    pub fn office(&self, ip: IpAddr) -> SocketAddr {
        SocketAddr::new(ip, self.internal.0)
    }

    /// Where the sorter on that machine listens for other doors.
    pub fn neighbour(&self, ip: IpAddr) -> SocketAddr {
        SocketAddr::new(ip, self.internal.0 + 1)
    }

    /// Where the sorter on this machine listens for its carrier.
    pub fn loopback(&self) -> SocketAddr {
        // Where machines are stood in for by loopback addresses, each has its own.
        let ip = if self.ip.is_loopback() { self.ip } else { IpAddr::from([127, 0, 0, 1]) };
        SocketAddr::new(ip, self.internal.0 + 2)
    }
}

fn bounds(doc: &Doc<'_>) -> Checked<Bounds> {
    Ok(Bounds {
        revocation_global: doc.at("revocation_global")?.flag()?,
        revocation: doc.at("revocation")?.span()?,
        grace: doc.at("grace_period")?.span()?,
        ttl_max: doc.at("ttl_max")?.span()?,
        rate_allowance: doc.at("rate_allowance")?.number()?,
        retry_ratio: doc.at("retry_ratio")?.number()?,
        retry_window: doc.at("retry_window")?.span()?,
        retry_allowance: doc.at("retry_allowance")?.number()?,
        warmup_overshoot: doc.at("warmup_overshoot")?.number()?,
        warmup_allowance: doc.at("warmup_allowance")?.number()?,
    })
}

pub fn address<T: std::str::FromStr>(doc: &Doc<'_>) -> Checked<T> {
    doc.text()?.parse().map_err(|_| doc.unsound("it is no address"))
}

fn port(doc: &Doc<'_>) -> Checked<u16> {
    u16::try_from(doc.count()?).map_err(|_| doc.unsound("it is no port"))
}
