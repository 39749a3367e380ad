//! The settings file that the platform writes for each process. Unknown fields are ignored.

use crate::document::{self, DocumentError, DocumentResult, JsonNode};
use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;
use thiserror::Error;

/// The environment variable with the path of the settings file.
const PATH_VARIABLE: &str = "VANEWHARF_SETTINGS";

/// Offsets from the first internal port: the controller for internal calls, the agent for other agents, and
/// the agent for the proxy on its machine.
const CONTROLLER_PORT_OFFSET: u16 = 0;
const AGENT_PORT_OFFSET: u16 = 1;
const AGENT_LOOPBACK_PORT_OFFSET: u16 = 2;

/// Machine losses that are tolerated unless the settings name another number.
const DEFAULT_MACHINE_LOSSES: u64 = 1;

/// Why a process has no settings.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// No path is given.
    #[error("VANEWHARF_SETTINGS is not set")]
    PathNotSet,
    /// The file cannot be read.
    #[error("cannot read {path}: {source}")]
    Unreadable {
        /// Of the file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// The file's content is not valid.
    #[error("cannot read {path}: {source}")]
    Malformed {
        /// Of the file.
        path: PathBuf,
        /// What is wrong with it.
        source: DocumentError,
    },
}

/// Limits on the system as a whole, as far as the programs need them.
#[derive(Clone, Debug)]
pub struct LimitsTable {
    /// Whether the limit on revocation holds for proxies without contact to the leaseholder too.
    pub revocation_global: bool,
    /// How long a revoked access key may still be let in.
    pub revocation: Duration,
    /// From SIGTERM to the end of the process.
    pub grace_period: Duration,
    /// The longest that clients may cache an answer of the registry.
    pub ttl_max: Duration,
    /// Requests above a tenant's quota that may be admitted, over all proxies.
    pub rate_allowance: f64,
    /// Retries in relation to requests.
    pub retry_ratio: f64,
    /// The window over which retries are counted.
    pub retry_window: Duration,
    /// Retries in a window in addition to the ratio.
    pub retry_allowance: f64,
    /// By what factor the requests to a backend that warms up may exceed its limit.
    pub warmup_overshoot: f64,
    /// Requests to backends that warm up in addition to the factor.
    pub warmup_allowance: f64,
}

/// The platform's API with the list of backends.
#[derive(Clone, Debug)]
pub struct CloudApi {
    /// Where it serves HTTP.
    pub address: SocketAddr,
    /// Calls a second that it permits.
    pub rate_per_s: f64,
    /// How far its list may lag behind.
    pub allowed_lag: Duration,
}

/// The ports for calls between the system's own processes; at least three.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PortRange {
    /// The first one.
    pub first: u16,
    /// The last one.
    pub last: u16,
}

/// The settings of one process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The node's name.
    pub name: String,
    /// The machine's address.
    pub ip: IpAddr,
    /// The machine's zone.
    pub zone: String,
    /// The machine's region.
    pub region: String,
    /// The region of each zone.
    pub zones: BTreeMap<String, String>,
    /// Where the process listens, by the kind of client.
    pub listen_addresses: BTreeMap<String, SocketAddr>,
    /// For calls between the system's own processes.
    pub internal_ports: PortRange,
    /// Controllers to contact where no others are known; only the machines' addresses count, not the ports.
    pub seeds: Vec<SocketAddr>,
    /// Whether this is the system's first start, so that there is no state to recover.
    pub initial_start: bool,
    /// Memory for the process, in MB.
    pub memory_mb: u64,
    /// File descriptors for the process.
    pub file_descriptors: u64,
    /// None where the machine has no disk.
    pub data_directory: Option<PathBuf>,
    /// How many machines with a disk may be lost at once.
    pub tolerated_machine_losses: u64,
    /// Limits on the system as a whole.
    pub limits_table: LimitsTable,
    /// None where the process does not use it.
    pub cloud_api: Option<CloudApi>,
}

impl Settings {
    /// The path of the settings file, by the environment variable `VANEWHARF_SETTINGS`.
    ///
    /// # Errors
    ///
    /// [`SettingsError::PathNotSet`].
    pub fn path_from_environment() -> Result<PathBuf, SettingsError> {
        std::env::var_os(PATH_VARIABLE).map(PathBuf::from).ok_or(SettingsError::PathNotSet)
    }

    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// [`SettingsError::Unreadable`] and [`SettingsError::Malformed`].
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
    /// The first fault that is found.
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

    /// Where this process listens for that kind of client.
    ///
    /// # Errors
    ///
    /// [`DocumentError::Missing`] where the settings name none.
    pub fn listen_address(&self, kind: &'static str) -> DocumentResult<SocketAddr> {
        let missing = || DocumentError::Missing { path: format!("listen_addresses.{kind}") };
        self.listen_addresses.get(kind).copied().ok_or_else(missing)
    }

    /// Where a controller on that machine listens for internal calls.
    pub fn controller_address(&self, ip: IpAddr) -> SocketAddr {
        SocketAddr::new(ip, self.internal_ports.first + CONTROLLER_PORT_OFFSET)
    }

    /// Where the agent on that machine listens for other agents.
    pub fn agent_address(&self, ip: IpAddr) -> SocketAddr {
        SocketAddr::new(ip, self.internal_ports.first + AGENT_PORT_OFFSET)
    }

    /// Where the agent on this machine listens for its proxy.
    pub fn agent_loopback_address(&self) -> SocketAddr {
        // Tests run several machines on one, each with a loopback address of its own.
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
