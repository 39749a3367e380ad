//! Messages between the decisions, the link to the agent and the token client.

use std::rc::Rc;
use std::time::Duration;
use vanewharf_clock::Timestamp;
use vanewharf_policy::interface::TxnId;
use vanewharf_protocol::messages::{BackendList, FleetSummary, Register};

/// How long a token lender may take to answer: enough for a round trip between regions.
pub const TOKEN_REQUEST_TIMEOUT: Duration = Duration::from_millis(300);

/// What the decisions are told by the control plane.
pub enum Update {
    /// A newer configuration.
    Register(Rc<Register>),
    /// A newer list of backends.
    BackendList {
        /// All backends of the platform.
        list: Rc<BackendList>,
        /// When the list was taken, at the latest.
        taken_at: Timestamp,
    },
    /// A newer summary of all proxies.
    FleetSummary(Rc<FleetSummary>),
    /// What lenders answered to token requests.
    TokenGrants(TokenGrants),
}

/// TokenCounts wanted of a lender: for one request that waits, as a prefetch ahead of requests, or both.
#[derive(Debug)]
pub struct TokenRequest {
    /// The request that waits for one token.
    pub waiting: Option<TxnId>,
    /// The tenant whose quota is drawn on.
    pub tenant: Rc<str>,
    /// TokenCounts wanted beyond that, for requests still to come.
    pub prefetch: u32,
}

/// What a lender answered to one waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenAnswer {
    /// One token was leased.
    Granted,
    /// The tenant's quota is used up at the lender.
    Refused,
    /// No lender answered in time.
    NoAnswer,
}

/// The answers to a batch of token requests.
#[derive(Debug, Default)]
pub struct TokenGrants {
    /// One answer for each request that waits.
    pub waiting: Vec<(TxnId, TokenAnswer)>,
    /// Prefetched tokens by tenant, as far as they were leased.
    pub prefetched: Vec<(Rc<str>, u32)>,
}
