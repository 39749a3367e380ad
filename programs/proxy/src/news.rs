//! What the decisions, the link and the loans tell each other.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use vanewharf_clock::Timestamp;
use vanewharf_policy::interface::TxnId;
use vanewharf_protocol::messages::{AttemptCounts, BackendList, FleetSummary, HostCounts, Register};

/// For one answer of a lender: across regions it takes two ways.
pub const LENT_WITHIN: Duration = Duration::from_millis(300);

/// What came from the control plane.
pub enum News {
    Register(Rc<Register>),
    /// With the time at which it was taken.
    List(Rc<BackendList>, Timestamp),
    Ledger(Rc<FleetSummary>),
    Lent(Loans),
}

/// One request's ask, or one for a lot ahead of requests, or both.
pub struct Ask {
    pub txn: Option<TxnId>,
    pub tenant: Rc<str>,
    pub more: u32,
}

/// What came of asks.
#[derive(Debug, Default)]
pub struct Loans {
    /// For each request that waited, whether it was lent a token; none where nobody answered.
    pub asked: Vec<(TxnId, Option<bool>)>,
    /// The lots, as far as they were lent.
    pub ahead: Vec<(Rc<str>, u32)>,
}

/// What the decisions last said of themselves.
#[derive(Default)]
pub struct Told {
    pub let_through: RefCell<BTreeMap<String, u64>>,
    pub slices: RefCell<BTreeMap<String, f64>>,
    pub hosts: RefCell<BTreeMap<String, HostCounts>>,
    pub tried: RefCell<BTreeMap<String, AttemptCounts>>,
    /// Told to end: clients are to go elsewhere.
    pub ending: Cell<bool>,
}
