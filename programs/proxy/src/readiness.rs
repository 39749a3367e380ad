//! Readiness of this proxy for clients: the answer to the readiness probe, and part of each report.

use crate::snapshot::Snapshot;
use crate::status::ProxyStatus;
use std::rc::Rc;
use vanewharf_rpc::Publisher;

/// The shared state that readiness is computed from.
#[derive(Clone)]
pub struct Readiness {
    /// The configuration of the request gate.
    pub snapshot: Rc<Snapshot>,
    /// The published figures, with the draining flag.
    pub status: Rc<ProxyStatus>,
    /// The store of everything that was pulled from the agent.
    pub publisher: Publisher,
}

impl Readiness {
    /// Shares the given state.
    pub fn new(snapshot: &Rc<Snapshot>, status: &Rc<ProxyStatus>, publisher: &Publisher) -> Readiness {
        Readiness { snapshot: Rc::clone(snapshot), status: Rc::clone(status), publisher: publisher.clone() }
    }

    /// Whether configuration, backend list and fleet summary have all arrived, the proxy is not draining, and API keys may
    /// still be honoured.
    pub fn is_ready(&self) -> bool {
        let store = self.publisher.store();
        let known = self.snapshot.tables.borrow().is_some()
            && store.backend_list.is_some()
            && store.fleet_summary.is_some();
        known && !self.status.draining.get() && !self.snapshot.key_authority_expired()
    }
}
