//! What the decisions publish about themselves; the link to the agent reports it to the control plane.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use vanewharf_protocol::messages::{AttemptCounts, HostCounts};

/// The last published figures of one proxy.
#[derive(Default)]
pub struct ProxyStatus {
    /// Requests admitted since the start, by tenant.
    pub admitted: RefCell<BTreeMap<String, u64>>,
    /// The slice of each tenant's quota that this proxy holds, from 0 to 1.
    pub slices: RefCell<BTreeMap<String, f64>>,
    /// For each host the requests since the start, and those on routes with home regions.
    pub hosts: RefCell<BTreeMap<String, HostCounts>>,
    /// Recent attempts at backends that failed some of them.
    pub attempts: RefCell<BTreeMap<String, AttemptCounts>>,
    /// The proxy is shutting down gracefully: clients are to connect elsewhere.
    pub draining: Cell<bool>,
}
