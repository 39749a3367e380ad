//! Whether this proxy may be named to clients: the answer of the readiness probe and part of each report.

use crate::snapshot::Snapshot;
use crate::status::ProxyStatus;
use std::rc::Rc;
use vanewharf_rpc::Publisher;

/// What readiness follows from; all of it is shared with the decisions.
#[derive(Clone)]
pub struct Readiness {
    /// The configuration that requests are authorized by.
    pub snapshot: Rc<Snapshot>,
    /// What the decisions publish, with the draining flag.
    pub status: Rc<ProxyStatus>,
    /// The store of what was pulled from the agent.
    pub feed: Publisher,
}

impl Readiness {
    /// Shares the given state.
    pub fn new(snapshot: &Rc<Snapshot>, status: &Rc<ProxyStatus>, feed: &Publisher) -> Readiness {
        Readiness { snapshot: Rc::clone(snapshot), status: Rc::clone(status), feed: feed.clone() }
    }

    /// Whether configuration, backend list and fleet summary are all known, the proxy is not draining and it may still
    /// admit requests by API key.
    pub fn is_ready(&self) -> bool {
        let store = self.feed.store();
        let known = self.snapshot.tables.borrow().is_some()
            && store.backend_list.is_some()
            && store.fleet_summary.is_some();
        known && !self.status.draining.get() && !self.snapshot.key_authority_expired()
    }
}
