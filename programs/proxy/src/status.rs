//! What the decisions publish about themselves; the link to the agent reports it to the control plane.

use crate::routing::RouteRule;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use vanewharf_protocol::messages::{AttemptCounts, HostCounts};

/// The last published figures of one proxy.
#[derive(Default)]
pub struct ProxyStatus {
    /// Requests admitted since the start, by tenant.
    pub admitted: RefCell<BTreeMap<String, u64>>,
    /// The share of each tenant's quota that this proxy holds, from 0 to 1.
    pub quota_shares: RefCell<BTreeMap<String, f64>>,
    /// For each host the requests since the start, and those on routes with home regions.
    pub hosts: RefCell<BTreeMap<String, HostCounts>>,
    /// Recent attempts at backends that failed some of them.
    pub attempts: RefCell<BTreeMap<String, AttemptCounts>>,
    /// The proxy is shutting down gracefully: clients are to connect elsewhere.
    pub draining: Cell<bool>,
}

impl ProxyStatus {
    /// Counts a request of a route for its host. The control plane directs clients by where a host's requests have to
    /// be served.
    pub(crate) fn count_request(&self, rule: &RouteRule) {
        let mut hosts = self.hosts.borrow_mut();
        if !hosts.contains_key(&*rule.host) {
            hosts.insert(rule.host.to_string(), HostCounts::default());
        }
        if let Some(counts) = hosts.get_mut(&*rule.host) {
            counts.requests += 1;
            counts.homed += u64::from(!rule.home_regions.is_empty());
        }
    }
}
