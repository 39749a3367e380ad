//! Reports of proxies and token lenders to the leaseholder.

use super::ProxyEntry;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::IpAddr;

/// The report of one proxy.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProxyReport {
    /// The proxy that reports.
    #[serde(rename = "door")]
    pub proxy: ProxyEntry,
    /// A random id of the proxy's process: the counts start at 0 in each new incarnation.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// How long ago the report was made.
    pub age_ms: u64,
    /// The last [`quota_divisor`](super::FleetSummary::quota_divisor) that the proxy received. A leaseholder
    /// that has lost its state starts from it.
    #[serde(rename = "counted", default)]
    pub quota_divisor: u32,
    /// Requests admitted since the process started, by tenant.
    #[serde(rename = "let_through")]
    pub admitted: BTreeMap<String, u64>,
    /// The share of each tenant's quota that the proxy uses for admission; 1 is the whole quota.
    #[serde(rename = "slices")]
    pub quota_shares: BTreeMap<String, f64>,
    /// Requests since the process started, by host.
    pub hosts: BTreeMap<String, HostCounts>,
    /// Recent attempts, by backend id, for the backends at which some of them failed.
    #[serde(rename = "tried", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub attempts: BTreeMap<String, AttemptCounts>,
}

/// Counts of the requests for one host. On the wire it is an array of the two counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct HostCounts {
    /// All requests.
    pub requests: u64,
    /// Requests for routes with home regions.
    pub home_region_requests: u64,
}

impl From<(u64, u64)> for HostCounts {
    fn from((requests, home_region_requests): (u64, u64)) -> HostCounts {
        HostCounts { requests, home_region_requests }
    }
}

impl From<HostCounts> for (u64, u64) {
    fn from(counts: HostCounts) -> (u64, u64) {
        (counts.requests, counts.home_region_requests)
    }
}

/// Recent attempts of one proxy at one backend.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptCounts {
    /// All attempts that were sent to the backend.
    #[serde(rename = "tried")]
    pub attempts: u32,
    /// The attempts that failed at the backend.
    pub failed: u32,
}

/// The report of a controller that leases tokens to proxies.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TokenLeaseReport {
    /// The address of the controller's machine.
    pub ip: IpAddr,
    /// A random id of the controller's process: the counts start at 0 in each new incarnation.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Tokens leased since the process started, by tenant.
    #[serde(rename = "let_through")]
    pub admitted: BTreeMap<String, u64>,
    /// The share of each tenant's quota from which the controller leases tokens; 1 is the whole quota.
    #[serde(rename = "slices")]
    pub quota_shares: BTreeMap<String, f64>,
}

/// Tokens that a proxy requests or a controller leases, by tenant; one token admits one request.
pub type TokenCounts = BTreeMap<String, u32>;
