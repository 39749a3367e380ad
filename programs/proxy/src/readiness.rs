//! The readiness of this proxy to serve clients. It determines the answer to readiness probes and is part of
//! each report.

use crate::gate_state::GateState;
use crate::status::ProxyStatus;
use std::rc::Rc;
use vanewharf_rpc::Publisher;

/// The shared state from which readiness is computed.
#[derive(Clone)]
pub struct Readiness {
    /// The state shared with the request gate, with the routing tables.
    pub gate_state: Rc<GateState>,
    /// The status of this proxy, with the draining flag.
    pub status: Rc<ProxyStatus>,
    /// The store of everything that was pulled from the agent.
    pub publisher: Publisher,
}

impl Readiness {
    /// Creates a readiness check over the given state.
    pub fn new(gate_state: &Rc<GateState>, status: &Rc<ProxyStatus>, publisher: &Publisher) -> Readiness {
        Readiness {
            gate_state: Rc::clone(gate_state),
            status: Rc::clone(status),
            publisher: publisher.clone(),
        }
    }

    /// Returns whether the configuration, the backend list and the fleet summary have arrived, the proxy is not
    /// draining, and access keys may still be accepted.
    pub fn is_ready(&self) -> bool {
        let store = self.publisher.store();
        let initialized = self.gate_state.tables.borrow().is_some()
            && store.backend_list.is_some()
            && store.fleet_summary.is_some();
        initialized && !self.status.draining.get() && !self.gate_state.key_authorization_expired()
    }
}
