//! What proxies and token lenders report of themselves to the leaseholder.

use super::ProxyEntry;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::IpAddr;

/// What a proxy reports of itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProxyReport {
    /// Who reports.
    #[serde(rename = "door")]
    pub proxy: ProxyEntry,
    /// Drawn anew at each start of the process: its counts begin at 0 then.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// How long ago the report was made.
    pub age_ms: u64,
    /// The last [`quota_divisor`](super::FleetSummary::quota_divisor) that it got: a leaseholder that has
    /// lost its state starts from that.
    #[serde(rename = "counted", default)]
    pub quota_divisor: u32,
    /// Requests admitted since the start, by tenant.
    #[serde(rename = "let_through")]
    pub admitted: BTreeMap<String, u64>,
    /// The share of each tenant's quota by which it admits; 1 is the whole quota.
    #[serde(rename = "slices")]
    pub quota_shares: BTreeMap<String, f64>,
    /// Requests since the start, by host.
    pub hosts: BTreeMap<String, HostCounts>,
    /// Recent attempts, by the id of the backend, for backends that failed some.
    #[serde(rename = "tried", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub attempts: BTreeMap<String, AttemptCounts>,
}

/// Requests for one host. On the wire it is an array of the two counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct HostCounts {
    /// All requests.
    pub requests: u64,
    /// Those on routes with home regions.
    pub homed: u64,
}

impl From<(u64, u64)> for HostCounts {
    fn from((requests, homed): (u64, u64)) -> HostCounts {
        HostCounts { requests, homed }
    }
}

impl From<HostCounts> for (u64, u64) {
    fn from(counts: HostCounts) -> (u64, u64) {
        (counts.requests, counts.homed)
    }
}

/// Recent attempts of a proxy at one backend.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptCounts {
    /// Requests that were sent.
    #[serde(rename = "tried")]
    pub attempts: u32,
    /// Those that failed there.
    pub failed: u32,
}

/// What a controller reports of the tokens that it leases to proxies.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TokenLeaseReport {
    /// The controller's machine.
    pub ip: IpAddr,
    /// Drawn anew at each start of the process: its counts begin at 0 then.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Tokens leased since the start, by tenant.
    #[serde(rename = "let_through")]
    pub admitted: BTreeMap<String, u64>,
    /// The share of each tenant's quota by which it leases; 1 is the whole quota.
    #[serde(rename = "slices")]
    pub quota_shares: BTreeMap<String, f64>,
}

/// Tokens requested from a lender or leased by it, by tenant; one token admits one request.
pub type TokenCounts = BTreeMap<String, u32>;
