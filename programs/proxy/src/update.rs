//! The messages between the routing policy, the link to the agent and the token client.

use std::rc::Rc;
use std::time::Duration;
use vanewharf_clock::Timestamp;
use vanewharf_policy::interface::TxnId;
use vanewharf_protocol::messages::{BackendList, FleetSummary, Register};

/// The timeout of a call to a controller that leases tokens. It covers a round trip between regions.
pub const TOKEN_REQUEST_TIMEOUT: Duration = Duration::from_millis(300);

/// An update from the control plane for the routing policy.
pub enum Update {
    /// A newer register, with the configuration and the evacuated zones.
    Register(Rc<Register>),
    /// A newer list of backends.
    BackendList {
        /// All backends of the platform.
        list: Rc<BackendList>,
        /// The latest possible time at which the list was read from the platform.
        read_at: Timestamp,
    },
    /// A newer summary of all proxies.
    FleetSummary(Rc<FleetSummary>),
    /// The answers to token requests.
    TokenGrants(TokenGrants),
}

/// A request for quota tokens: for one waiting client request, as a prefetch for future ones, or both.
#[derive(Debug)]
pub struct TokenRequest {
    /// The client request that waits for one token.
    pub waiting: Option<TxnId>,
    /// The tenant whose quota the tokens are part of.
    pub tenant: Rc<str>,
    /// The number of tokens to prefetch for future requests.
    pub prefetch: u32,
}

/// The answer of a controller that leases tokens to one waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenAnswer {
    /// One token was leased.
    Granted,
    /// The controller's share of the tenant's quota is exhausted.
    Refused,
    /// No controller responded in time.
    NoAnswer,
}

/// The answer to one waiting request, with the request's id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitingAnswer {
    /// The id of the client request.
    pub txn: TxnId,
    /// The answer.
    pub answer: TokenAnswer,
}

/// Tokens that were leased ahead of requests.
#[derive(Debug)]
pub struct PrefetchedTokens {
    /// The tenant whose quota they are part of.
    pub tenant: Rc<str>,
    /// The number of tokens, which may be less than requested.
    pub tokens: u32,
}

/// The answers to a batch of token requests.
#[derive(Debug, Default)]
pub struct TokenGrants {
    /// The answer to each waiting request.
    pub waiting: Vec<WaitingAnswer>,
    /// The tokens that were leased for each prefetch.
    pub prefetched: Vec<PrefetchedTokens>,
}
