//! Parsing and validation of the settings file, which the platform writes for each process. Unknown fields are
//! ignored.

use crate::document::{self, DocumentError, DocumentResult, JsonNode};
use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;
use thiserror::Error;

/// The environment variable that contains the path of the settings file.
const PATH_VARIABLE: &str = "VANEWHARF_SETTINGS";

/// The port of a controller for internal calls, as an offset from the first internal port.
const CONTROLLER_PORT_OFFSET: u16 = 0;
/// The port of an agent for calls from other agents, as an offset from the first internal port.
const AGENT_PORT_OFFSET: u16 = 1;
/// The port of an agent for calls from the proxy on its machine, as an offset from the first internal port.
const AGENT_LOOPBACK_PORT_OFFSET: u16 = 2;

/// The number of simultaneous machine losses that are tolerated by default.
const DEFAULT_MACHINE_LOSSES: u64 = 1;

/// The reason why the settings of a process cannot be loaded.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The environment variable with the path of the settings file is not set.
    #[error("VANEWHARF_SETTINGS is not set")]
    PathNotSet,
    /// The file cannot be read.
    #[error("cannot read {path}: {source}")]
    Unreadable {
        /// The path of the file.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The content of the file is not valid.
    #[error("cannot read {path}: {source}")]
    Malformed {
        /// The path of the file.
        path: PathBuf,
        /// The validation error.
        source: DocumentError,
    },
}

/// Limits on the system as a whole. Only the limits that the programs use are read.
#[derive(Clone, Debug)]
pub struct LimitsTable {
    /// Whether the limit on revocation also applies to proxies that cannot reach the leaseholder.
    pub revocation_global: bool,
    /// The maximum time for which a revoked access key may still be accepted.
    pub revocation: Duration,
    /// The maximum time from SIGTERM to the end of the process.
    pub grace_period: Duration,
    /// The maximum time for which clients may cache an answer of the directory service.
    pub ttl_max: Duration,
    /// The number of requests above a tenant's quota that all proxies together may admit.
    pub rate_allowance: f64,
    /// The maximum number of retries per request, within a window.
    pub retry_ratio: f64,
    /// The length of the window over which retries are counted.
    pub retry_window: Duration,
    /// The number of retries per window that are allowed in addition to the ratio.
    pub retry_allowance: f64,
    /// The factor by which the requests to a backend that is warming up may exceed its limit.
    pub warmup_overshoot: f64,
    /// The number of requests to a backend that is warming up that are allowed in addition to the factor.
    pub warmup_allowance: f64,
}

/// The platform's API that lists the backends.
#[derive(Clone, Debug)]
pub struct CloudApi {
    /// The address of its HTTP server.
    pub address: SocketAddr,
    /// The maximum number of calls per second.
    pub rate_per_s: f64,
    /// The maximum time by which its list may lag behind the actual backends.
    pub allowed_lag: Duration,
}

/// The range of at least three ports that the system's processes use for calls to each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PortRange {
    /// The first port of the range.
    pub first: u16,
    /// The last port of the range, inclusive.
    pub last: u16,
}

/// The settings of one process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The name of the node.
    pub name: String,
    /// The IP address of the machine.
    pub ip: IpAddr,
    /// The zone of the machine.
    pub zone: String,
    /// The region of the machine.
    pub region: String,
    /// The region of each zone.
    pub zones: BTreeMap<String, String>,
    /// The addresses on which the process listens, by kind of client.
    pub listen_addresses: BTreeMap<String, SocketAddr>,
    /// The ports for calls between the system's processes.
    pub internal_ports: PortRange,
    /// The controllers to contact while no others are known. Only their IP addresses are used, not the ports.
    pub seeds: Vec<SocketAddr>,
    /// Whether this is the first start of the whole system, so that there is no state to recover.
    pub initial_start: bool,
    /// The memory limit of the process, in MB.
    pub memory_mb: u64,
    /// The limit on the file descriptors of the process.
    pub file_descriptors: u64,
    /// The directory for durable data; `None` if the machine has no disk.
    pub data_directory: Option<PathBuf>,
    /// The number of machines with a disk that may be lost at the same time.
    pub tolerated_machine_losses: u64,
    /// Limits on the system as a whole.
    pub limits_table: LimitsTable,
    /// The platform's API; `None` if the process does not use it.
    pub cloud_api: Option<CloudApi>,
}

impl Settings {
    /// Returns the path of the settings file from the environment variable `VANEWHARF_SETTINGS`.
    ///
    /// # Errors
    ///
    /// [`SettingsError::PathNotSet`] if the variable is not set.
    pub fn path_from_environment() -> Result<PathBuf, SettingsError> {
        std::env::var_os(PATH_VARIABLE).map(PathBuf::from).ok_or(SettingsError::PathNotSet)
    }

    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// [`SettingsError::Unreadable`] if the file cannot be read, [`SettingsError::Malformed`] if its content is not
    /// valid.
    pub fn read(path: PathBuf) -> Result<Settings, SettingsError> {
        let text = match std::fs::read(&path) {
            Ok(text) => text,
            Err(source) => return Err(SettingsError::Unreadable { path, source }),
        };
        Settings::parse(&text).map_err(|source| SettingsError::Malformed { path, source })
    }

    /// Parses and validates the text of a settings file.
    ///
    /// # Errors
    ///
    /// The first missing or invalid field.
    pub fn parse(text: &[u8]) -> DocumentResult<Settings> {
        let value = document::parse(text)?;
        let root = JsonNode::root(&value);
        let ip = parse_address(&root.required("ip_address")?)?;
        let zones = parse_zones(&root.required("zones")?)?;
        let listen_addresses = parse_listen_addresses(&root.required("listen_addresses")?)?;
        let internal_ports = parse_internal_ports(&root.required("internal_ports")?)?;
        let seeds =
            root.required("seed_nodes")?.items()?.iter().map(parse_address).collect::<DocumentResult<_>>()?;
        let limits = root.required("limits")?;
        let data_directory = root.optional("data_directory")?;
        let data_directory = data_directory.map(|path| path.string().map(PathBuf::from)).transpose()?;
        let cloud_api = root.optional("cloud_api")?.map(|node| parse_cloud_api(&node)).transpose()?;
        let machine_losses = |node: &JsonNode<'_>| node.required("machine_losses")?.integer();
        Ok(Settings {
            name: root.required("node_name")?.string()?.to_owned(),
            ip,
            zone: root.required("zone")?.string()?.to_owned(),
            region: root.required("region")?.string()?.to_owned(),
            zones,
            listen_addresses,
            internal_ports,
            seeds,
            initial_start: root.required("initial_start")?.boolean()?,
            memory_mb: limits.required("memory_mb")?.integer()?,
            file_descriptors: limits.required("file_descriptors")?.integer()?,
            data_directory,
            tolerated_machine_losses: root.optional_or(
                "fault_tolerance",
                DEFAULT_MACHINE_LOSSES,
                machine_losses,
            )?,
            limits_table: parse_limits_table(&root.required("limits_table")?)?,
            cloud_api,
        })
    }

    /// Returns the address on which this process listens for the given kind of client.
    ///
    /// # Errors
    ///
    /// [`DocumentError::Missing`] if the settings contain no such address.
    pub fn listen_address(&self, kind: &'static str) -> DocumentResult<SocketAddr> {
        let missing = || DocumentError::Missing { path: format!("listen_addresses.{kind}") };
        self.listen_addresses.get(kind).copied().ok_or_else(missing)
    }

    /// Returns the address on which the controller on a machine listens for internal calls.
    pub fn controller_address(&self, ip: IpAddr) -> SocketAddr {
        SocketAddr::new(ip, self.internal_ports.first + CONTROLLER_PORT_OFFSET)
    }

    /// Returns the address on which the agent on a machine listens for other agents.
    pub fn agent_address(&self, ip: IpAddr) -> SocketAddr {
        SocketAddr::new(ip, self.internal_ports.first + AGENT_PORT_OFFSET)
    }

    /// Returns the address on which the agent on this machine listens for the local proxy.
    pub fn agent_loopback_address(&self) -> SocketAddr {
        // Tests run several nodes on one machine, each with its own loopback address.
        let ip = if self.ip.is_loopback() { self.ip } else { IpAddr::V4(Ipv4Addr::LOCALHOST) };
        SocketAddr::new(ip, self.internal_ports.first + AGENT_LOOPBACK_PORT_OFFSET)
    }
}

fn parse_zones(node: &JsonNode<'_>) -> DocumentResult<BTreeMap<String, String>> {
    let mut zones = BTreeMap::new();
    for (zone, region) in node.entries()? {
        zones.insert(zone.to_owned(), region.string()?.to_owned());
    }
    Ok(zones)
}

fn parse_listen_addresses(node: &JsonNode<'_>) -> DocumentResult<BTreeMap<String, SocketAddr>> {
    let mut addresses = BTreeMap::new();
    for (kind, address) in node.entries()? {
        addresses.insert(kind.to_owned(), parse_address(&address)?);
    }
    Ok(addresses)
}

fn parse_internal_ports(node: &JsonNode<'_>) -> DocumentResult<PortRange> {
    let (first, last) = match node.items()?.as_slice() {
        [first, last] => (parse_port(first)?, parse_port(last)?),
        _ => return Err(node.invalid("two ports are wanted, the first and the last")),
    };
    if last < first.saturating_add(AGENT_LOOPBACK_PORT_OFFSET) {
        return Err(node.invalid("three ports at least are wanted"));
    }
    Ok(PortRange { first, last })
}

fn parse_cloud_api(node: &JsonNode<'_>) -> DocumentResult<CloudApi> {
    Ok(CloudApi {
        address: parse_address(&node.required("address")?)?,
        rate_per_s: node.required("rate_per_s")?.number()?,
        allowed_lag: node.required("allowed_lag")?.duration()?,
    })
}

fn parse_limits_table(node: &JsonNode<'_>) -> DocumentResult<LimitsTable> {
    Ok(LimitsTable {
        revocation_global: node.required("revocation_global")?.boolean()?,
        revocation: node.required("revocation")?.duration()?,
        grace_period: node.required("grace_period")?.duration()?,
        ttl_max: node.required("ttl_max")?.duration()?,
        rate_allowance: node.required("rate_allowance")?.number()?,
        retry_ratio: node.required("retry_ratio")?.number()?,
        retry_window: node.required("retry_window")?.duration()?,
        retry_allowance: node.required("retry_allowance")?.number()?,
        warmup_overshoot: node.required("warmup_overshoot")?.number()?,
        warmup_allowance: node.required("warmup_allowance")?.number()?,
    })
}

fn parse_address<T: FromStr>(node: &JsonNode<'_>) -> DocumentResult<T> {
    node.string()?.parse().map_err(|_| node.invalid("it is no address"))
}

fn parse_port(node: &JsonNode<'_>) -> DocumentResult<u16> {
    u16::try_from(node.integer()?).map_err(|_| node.invalid("it is no port"))
}
