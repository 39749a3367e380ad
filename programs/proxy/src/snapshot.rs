//! State shared by the request gate and the routing decisions: the decisions publish the routing tables, and the gate
//! hands over each request that it has authorized.
//!
//! Both run on one thread. No borrow of a cell is held across an await.

use crate::routing::{RouteRule, RoutingTables, Tenant};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use vanewharf_clock::{MonotonicClock, Timestamp};
use vanewharf_config::settings::LimitsTable;
use vanewharf_health::key_authorization_lapsed;
use vanewharf_policy::interface::{Ticks, TxnId};

/// A request that the gate has authorized and that is not in flight yet.
pub struct AuthorizedRequest {
    /// The route that it matched.
    pub rule: Rc<RouteRule>,
    /// The owner of the request's API key; `None` on public routes.
    pub tenant: Option<Rc<Tenant>>,
    /// When the client stops waiting.
    pub expiry: Ticks,
    /// Whether the client left while the request waited for a quota token.
    pub abandoned: bool,
}

/// The state shared by the request gate and the routing decisions.
pub struct Snapshot {
    /// The newest routing tables; `None` until the first configuration arrives.
    pub tables: RefCell<Option<Rc<RoutingTables>>>,
    /// Requests that the gate has authorized and the decisions have not received yet.
    pub authorized: RefCell<BTreeMap<TxnId, AuthorizedRequest>>,
    /// When the current configuration was last attested to be the newest acknowledged one.
    pub attested_at: Cell<Option<Timestamp>>,
    /// While the proxy shuts down: requests that may last longer than this are not admitted.
    pub admission_deadline: Cell<Option<Ticks>>,
    /// The clock of [`Snapshot::attested_at`].
    pub clock: MonotonicClock,
    revocation_global: bool,
    revocation: Duration,
}

impl Snapshot {
    /// An empty snapshot. `limits` bound how long API keys are honoured without a fresh attestation.
    pub fn new(clock: MonotonicClock, limits: &LimitsTable) -> Snapshot {
        Snapshot {
            tables: RefCell::default(),
            authorized: RefCell::default(),
            attested_at: Cell::new(None),
            admission_deadline: Cell::new(None),
            clock,
            revocation_global: limits.revocation_global,
            revocation: limits.revocation,
        }
    }

    /// Removes and returns an authorized request. Requests with lower numbers are dropped: numbers are assigned in
    /// ascending order, so those were rejected after their authorization.
    pub(crate) fn take_authorized(&self, txn: TxnId) -> Option<AuthorizedRequest> {
        let mut authorized = self.authorized.borrow_mut();
        let later = authorized.split_off(&TxnId(txn.0 + 1));
        let request = authorized.remove(&txn);
        *authorized = later;
        request
    }

    /// Whether API keys may no longer be honoured, because the configuration was not attested for so long that a key may
    /// have been revoked since.
    pub fn key_authority_expired(&self) -> bool {
        key_authorization_lapsed(
            self.revocation_global,
            self.revocation,
            self.attested_at.get(),
            self.clock.now(),
        )
    }
}
