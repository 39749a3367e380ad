//! The leaseholder's summary of the fleet: proxies, controllers, quota usage and unhealthy backends.

use super::Version;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};

/// A proxy, as the service registry lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProxyEntry {
    /// The proxy's node name, unique among proxies.
    pub name: String,
    /// The address at which the proxy accepts client requests.
    pub address: SocketAddr,
    /// The zone of the proxy's machine.
    pub zone: String,
    /// The region of the proxy's machine.
    pub region: String,
    /// Whether the proxy is ready for client requests.
    pub ready: bool,
}

/// The machine of a controller.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ControllerEntry {
    /// The address of the machine.
    pub ip: IpAddr,
    /// The zone of the machine.
    pub zone: String,
}

/// The machine of a proxy, as its peers know it from gossip.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerEntry {
    /// The address of the machine.
    pub ip: IpAddr,
    /// The region of the machine.
    pub region: String,
    /// How long ago any peer last had contact with the machine.
    #[serde(rename = "heard_ms")]
    pub last_contact_ms: u64,
}

/// A tenant's traffic over all proxies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TenantUsage {
    /// Admitted requests per second.
    #[serde(rename = "per_s")]
    pub requests_per_s: f64,
    /// The sum of the shares of the tenant's quota that proxies or token lenders hold; 1 is the whole quota.
    #[serde(rename = "slices")]
    pub quota_shares: f64,
}

/// What the leaseholder has aggregated from the reports of all proxies and token lenders.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetSummary {
    /// The version of the summary, which grows with each summary that a leaseholder publishes.
    pub version: Version,
    /// All known proxies.
    #[serde(rename = "doors")]
    pub proxies: Vec<ProxyEntry>,
    /// The number of proxies among which a fleet-wide limit is divided.
    #[serde(rename = "counted")]
    pub quota_divisor: u32,
    /// Usage by tenant.
    pub tenants: BTreeMap<String, TenantUsage>,
    /// The number of controllers among which the tenants' quotas are divided, if there are too many proxies for
    /// each to hold a share: the controllers then hold the shares and lease tokens to the proxies. `None` if the
    /// proxies hold the shares.
    #[serde(rename = "lenders")]
    pub token_lenders: Option<u32>,
    /// Hosts most of whose requests are for routes with home regions.
    #[serde(rename = "homed")]
    pub home_region_hosts: BTreeSet<String>,
    /// All known controllers.
    #[serde(rename = "offices")]
    pub controllers: BTreeSet<ControllerEntry>,
    /// Backends at which many proxies see failures: the fraction of attempts that fail, by backend id.
    #[serde(rename = "ill", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub unhealthy: BTreeMap<String, f64>,
}
