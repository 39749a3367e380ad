//! The state shared by the request gate and the routing policy. The routing policy publishes the routing
//! tables, and the gate passes on each request that it has authorized.
//!
//! Both run on one thread. No borrow of a cell is held across an await.

use crate::routing::{RouteRule, RoutingTables, Tenant};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use vanewharf_clock::{MonotonicClock, Timestamp};
use vanewharf_config::settings::LimitsTable;
use vanewharf_health::key_authorization_expired;
use vanewharf_policy::interface::{Ticks, TxnId};

/// A request that the gate has authorized and that has not been offered to a pool yet.
pub struct AuthorizedRequest {
    /// The route that the request matched.
    pub rule: Rc<RouteRule>,
    /// The owner of the request's access key; `None` on public routes.
    pub tenant: Option<Rc<Tenant>>,
    /// The time at which the client stops waiting.
    pub expiry: Ticks,
    /// Whether the client disconnected while the request waited for a quota token.
    pub abandoned: bool,
}

/// The state of the request gate, shared with the routing policy.
pub struct GateState {
    /// The newest routing tables; `None` until the first configuration arrives.
    pub tables: RefCell<Option<Rc<RoutingTables>>>,
    /// The requests that the gate has authorized and the routing policy has not received yet.
    pub authorized: RefCell<BTreeMap<TxnId, AuthorizedRequest>>,
    /// The time at which the current configuration was last attested to be the newest acknowledged one.
    pub attested_at: Cell<Option<Timestamp>>,
    /// The latest expiry of requests that are still admitted; set while the proxy shuts down.
    pub admission_deadline: Cell<Option<Ticks>>,
    /// The clock that [`GateState::attested_at`] refers to.
    pub clock: MonotonicClock,
    revocation_global: bool,
    revocation: Duration,
}

impl GateState {
    /// Creates the state without routing tables. `limits` determine how long access keys are accepted without a
    /// new attestation.
    pub fn new(clock: MonotonicClock, limits: &LimitsTable) -> GateState {
        GateState {
            tables: RefCell::default(),
            authorized: RefCell::default(),
            attested_at: Cell::new(None),
            admission_deadline: Cell::new(None),
            clock,
            revocation_global: limits.revocation_global,
            revocation: limits.revocation,
        }
    }

    /// Removes and returns an authorized request. Requests with lower ids are dropped: ids are assigned in ascending
    /// order, so those requests were rejected after their authorization.
    pub(crate) fn take_authorized(&self, txn: TxnId) -> Option<AuthorizedRequest> {
        let mut authorized = self.authorized.borrow_mut();
        let later = authorized.split_off(&TxnId(txn.0 + 1));
        let request = authorized.remove(&txn);
        *authorized = later;
        request
    }

    /// Returns whether access keys may no longer be accepted, because the last attestation of the configuration is so
    /// old that a key may have been revoked since.
    pub fn key_authorization_expired(&self) -> bool {
        key_authorization_expired(
            self.revocation_global,
            self.revocation,
            self.attested_at.get(),
            self.clock.now(),
        )
    }
}
