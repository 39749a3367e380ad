//! What differs between the programs that forward requests: which requests they admit, by which header fields they
//! talk to clients and backends, and what a backend's reply proves.
//!
//! The stages do not know the names of header fields; they use the [`HttpDialect`] of the program that they run in.

use std::time::Duration;
use vanewharf_http1::{Reply, Request};
use vanewharf_policy::interface::{Arrival, Outcome, Ticks, TxnId};

/// What becomes of a request before any routing decision.
#[derive(Debug, PartialEq)]
pub enum Admission {
    /// A health check: it is answered at once.
    Health,
    /// A request to be routed.
    Txn(Arrival),
    /// The request is answered with this status and reason.
    Reject {
        /// The HTTP status.
        status: u16,
        /// The answer's body.
        reason: &'static str,
    },
    /// The request cannot be served now and nothing has run; the client may come back after this time.
    RetryAfter(Ticks),
}

/// Whether a reply on a backend connection answers the request in flight there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyMatch {
    /// It answers the request in flight.
    Current(Outcome),
    /// It answers some other request; the one in flight is still waited for.
    OtherRequest,
    /// It cannot be matched to any request: the connection must be closed.
    Unidentified,
}

/// The header fields that are set and removed when forwarding, and how long clients are waited for.
#[derive(Clone, Copy, Debug)]
pub struct ForwardingOptions {
    /// The field in which a backend receives the remaining time, in milliseconds.
    pub time_left_header: &'static str,
    /// Fields of the client's request that are not forwarded to backends.
    pub request_headers_removed: &'static [&'static str],
    /// Fields of a backend's reply that are not forwarded to the client.
    pub response_headers_removed: &'static [&'static str],
    /// When a client may come back that was declined for want of capacity.
    pub busy_retry_after: Option<Ticks>,
    /// The longest time from connecting to a complete first request, and from a later request's first byte to its last.
    pub request_timeout: Duration,
    /// How long a connection without a request may stay open.
    pub idle_timeout: Duration,
}

/// What a reply reports of its customer's use of the quota.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReportedUsage {
    /// The customer's metered use, as a share of its quota.
    pub metered_usage: Option<f64>,
    /// The units that the request really cost.
    pub actual_cost: Option<f64>,
}

/// How one program speaks HTTP with its clients and backends.
pub trait HttpDialect {
    /// The header fields and client timeouts in force now.
    fn forwarding_options(&self) -> ForwardingOptions;

    /// Checks a request that was read at `now` and will be known as `txn`.
    fn admit(&self, request: &Request, now: Ticks, txn: TxnId) -> Admission;

    /// The id by which clients and backends know the request.
    fn request_id<'a>(&self, request: &'a Request) -> Option<&'a str>;

    /// Decides whether a backend's reply answers `request`, and with what outcome.
    fn match_reply(&self, request: &Request, reply: &Reply) -> ReplyMatch;

    /// The customer's usage as far as the reply reports it.
    fn reported_usage(&self, _: &Reply) -> ReportedUsage {
        ReportedUsage::default()
    }
}
