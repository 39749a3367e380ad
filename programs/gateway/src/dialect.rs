//! The HTTP rules in which the gateway and the proxy differ: which requests are admitted, which header fields clients
//! and backends use, and which outcome a backend's reply proves.
//!
//! The tasks of the data plane do not know the names of header fields; they use the program's [`HttpDialect`].

use std::time::Duration;
use vanewharf_http1::{Reply, Request};
use vanewharf_policy::interface::{Arrival, Outcome, Ticks, TxnId};

/// The decision on a request before it is routed.
#[derive(Debug, PartialEq)]
pub enum Admission {
    /// The request is a health check, which is answered at once.
    Health,
    /// The request is to be routed.
    Route(Arrival),
    /// The request is invalid and is answered with this status and reason.
    Reject {
        /// The HTTP status.
        status: u16,
        /// The answer's body.
        reason: &'static str,
    },
    /// The request cannot be served now and has not run; the client may retry after this time.
    RetryAfter(Ticks),
}

/// Whether a reply on a backend connection answers the request in flight there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyMatch {
    /// It answers the request in flight.
    Current(Outcome),
    /// It answers another request; the reply to the one in flight is still to come.
    OtherRequest,
    /// It cannot be matched to any request, so the connection must be closed.
    Unidentified,
}

/// The header fields to set and remove when forwarding, and the timeouts of client connections.
#[derive(Clone, Copy, Debug)]
pub struct ForwardingOptions {
    /// The field that tells a backend the remaining time, in milliseconds.
    pub time_left_header: &'static str,
    /// Fields of the client's request that are not forwarded to backends.
    pub request_headers_removed: &'static [&'static str],
    /// Fields of a backend's reply that are not forwarded to the client.
    pub response_headers_removed: &'static [&'static str],
    /// When a client may retry after its request was declined because capacity was short.
    pub busy_retry_after: Option<Ticks>,
    /// The longest time from connecting to the last byte of the first request, and from the first to the last byte of a
    /// later one.
    pub request_timeout: Duration,
    /// How long a connection may stay open between requests.
    pub idle_timeout: Duration,
}

/// The use of the customer's quota that a backend's reply reports.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReportedUsage {
    /// The customer's metered usage, as a fraction of its quota.
    pub metered_usage: Option<f64>,
    /// The actual cost of the request, in units.
    pub actual_cost: Option<f64>,
}

/// A program's rules for HTTP with its clients and backends.
pub trait HttpDialect {
    /// The current header fields and client timeouts.
    fn forwarding_options(&self) -> ForwardingOptions;

    /// Decides whether to admit a request that was read at `now` and has been assigned the id `txn`.
    fn admit(&self, request: &Request, now: Ticks, txn: TxnId) -> Admission;

    /// The id that the client assigned to the request.
    fn request_id<'a>(&self, request: &'a Request) -> Option<&'a str>;

    /// Decides whether a backend's reply answers `request`, and with which outcome.
    fn match_reply(&self, request: &Request, reply: &Reply) -> ReplyMatch;

    /// The customer's quota usage, as far as the reply reports it.
    fn reported_usage(&self, _: &Reply) -> ReportedUsage {
        ReportedUsage::default()
    }
}
