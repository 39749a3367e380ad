//! What the leaseholder knows of the fleet: proxies, controllers, use of quotas, and unhealthy backends.

use super::Version;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};

/// A proxy, as the registry shows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProxyEntry {
    /// The node's name, unique among proxies.
    pub name: String,
    /// Where it serves clients.
    pub address: SocketAddr,
    /// The zone of its machine.
    pub zone: String,
    /// The region of its machine.
    pub region: String,
    /// Whether it can serve clients.
    pub ready: bool,
}

/// The machine of a controller.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ControllerEntry {
    /// The machine's address.
    pub ip: IpAddr,
    /// The zone of the machine.
    pub zone: String,
}

/// A proxy, as another one knows it by gossip.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerEntry {
    /// The machine's address.
    pub ip: IpAddr,
    /// The region of the machine.
    pub region: String,
    /// How long ago anybody last had contact with it.
    #[serde(rename = "heard_ms")]
    pub last_contact_ms: u64,
}

/// A tenant's traffic over all proxies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TenantUsage {
    /// Admitted requests a second.
    #[serde(rename = "per_s")]
    pub requests_per_s: f64,
    /// The sum of the shares of its quota that proxies or lenders hold; 1 is the whole quota.
    #[serde(rename = "slices")]
    pub quota_shares: f64,
}

/// What the leaseholder has aggregated from all reports.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetSummary {
    /// Grows with each summary that a leaseholder publishes.
    pub version: Version,
    /// The proxies that are known.
    #[serde(rename = "doors")]
    pub proxies: Vec<ProxyEntry>,
    /// By how many proxies a limit for all proxies together is divided.
    #[serde(rename = "counted")]
    pub quota_divisor: u32,
    /// Usage by tenant.
    pub tenants: BTreeMap<String, TenantUsage>,
    /// By how many controllers the tenants' quotas are divided, where proxies are too many to hold a share
    /// each: controllers then hold the shares and lease tokens to proxies. None: proxies hold the shares.
    #[serde(rename = "lenders")]
    pub token_lenders: Option<u32>,
    /// Hosts most of whose requests are on routes with home regions.
    #[serde(rename = "homed")]
    pub homed_hosts: BTreeSet<String>,
    /// The controllers that are known.
    #[serde(rename = "offices")]
    pub controllers: BTreeSet<ControllerEntry>,
    /// Backends, by id, that many proxies saw failing, each with the fraction of attempts that fail.
    #[serde(rename = "ill", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub unhealthy: BTreeMap<String, f64>,
}
