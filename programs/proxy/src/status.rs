//! The counters that a proxy reports to the control plane. The routing policy updates them, and the link to the agent
//! sends them.

use crate::routing::RouteRule;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use vanewharf_protocol::messages::{AttemptCounts, HostCounts};

/// The current counters and state of one proxy.
#[derive(Default)]
pub struct ProxyStatus {
    /// The number of requests admitted since the start, by tenant.
    pub admitted: RefCell<BTreeMap<String, u64>>,
    /// The share of each tenant's quota that this proxy holds, from 0 to 1.
    pub quota_shares: RefCell<BTreeMap<String, f64>>,
    /// The number of requests since the start, in total and on routes with home regions, by host.
    pub hosts: RefCell<BTreeMap<String, HostCounts>>,
    /// The counts of recent attempts, for backends that failed some of them.
    pub attempts: RefCell<BTreeMap<String, AttemptCounts>>,
    /// Whether the proxy is shutting down gracefully, so that clients should connect to another one.
    pub draining: Cell<bool>,
}

impl ProxyStatus {
    /// Counts a request to the route's host. The control plane uses these counts to direct the clients of hosts
    /// with home regions.
    pub(crate) fn count_request(&self, rule: &RouteRule) {
        let mut hosts = self.hosts.borrow_mut();
        if !hosts.contains_key(&*rule.host) {
            hosts.insert(rule.host.to_string(), HostCounts::default());
        }
        if let Some(counts) = hosts.get_mut(&*rule.host) {
            counts.requests += 1;
            counts.home_region_requests += u64::from(!rule.home_regions.is_empty());
        }
    }
}
