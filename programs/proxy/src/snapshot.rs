//! The configuration as the request gate sees it. The decisions own the routing tables and publish them here; the gate
//! leaves here what it resolved for a request until the decisions take the request up.
//!
//! Everything runs on one thread, so that the cells are never borrowed across an await.

use crate::routing::{RouteRule, RoutingTables, Tenant};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use vanewharf_clock::{MonotonicClock, Timestamp};
use vanewharf_config::settings::LimitsTable;
use vanewharf_health::key_authorization_lapsed;
use vanewharf_policy::interface::{Ticks, TxnId};

/// A request that the gate has authorized and the decisions have not taken up yet.
pub struct AuthorizedRequest {
    /// The route that it matched.
    pub rule: Rc<RouteRule>,
    /// Whose API key it bears; none on public routes.
    pub tenant: Option<Rc<Tenant>>,
    /// When its client stops waiting.
    pub expiry: Ticks,
    /// Its client left while it waited for a token.
    pub abandoned: bool,
}

/// What the request gate decides by. The routing tables are replaced as a whole, never changed.
pub struct Snapshot {
    /// The newest routing tables; none until the first configuration has come.
    pub tables: RefCell<Option<Rc<RoutingTables>>>,
    /// Requests between the gate and the decisions.
    pub authorized: RefCell<BTreeMap<TxnId, AuthorizedRequest>>,
    /// When the configuration at hand was last attested to be the newest acknowledged one.
    pub attested_at: Cell<Option<Timestamp>>,
    /// The clock that [`Snapshot::attested_at`] is read on.
    pub clock: MonotonicClock,
    revocation_global: bool,
    revocation: Duration,
}

impl Snapshot {
    /// An empty snapshot. `limits` say for how long API keys are honoured without a fresh attestation.
    pub fn new(clock: MonotonicClock, limits: &LimitsTable) -> Snapshot {
        Snapshot {
            tables: RefCell::default(),
            authorized: RefCell::default(),
            attested_at: Cell::new(None),
            clock,
            revocation_global: limits.revocation_global,
            revocation: limits.revocation,
        }
    }

    /// Takes up a request that the gate has authorized. Requests before it that are still here are dropped: they were
    /// rejected after all, and numbers only grow.
    pub(crate) fn take_authorized(&self, txn: TxnId) -> Option<AuthorizedRequest> {
        let mut authorized = self.authorized.borrow_mut();
        let later = authorized.split_off(&TxnId(txn.0 + 1));
        let request = authorized.remove(&txn);
        *authorized = later;
        request
    }

    /// Whether API keys may no longer be honoured: the configuration was not attested for so long that a key in it may
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
