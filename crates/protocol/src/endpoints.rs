//! Paths and header fields of the HTTP calls between the system's own programs.
//!
//! They are fixed, as programs of two versions call each other during an upgrade.

/// `POST` [`PullRequest`](crate::messages::PullRequest), answered by
/// [`PullResponse`](crate::messages::PullResponse).
pub const PULL: &str = "/pull";
/// `POST` [`VoteRequest`](crate::messages::VoteRequest), answered by
/// [`VoteResponse`](crate::messages::VoteResponse).
pub const VOTE: &str = "/vote";
/// `POST` the [`Ballot`](crate::messages::Ballot) of a lease, answered by whether it is still held.
pub const HOLDS_LEASE: &str = "/holds";
/// `POST` [`TokenCounts`](crate::messages::TokenCounts) that are wanted, answered by those that are leased.
pub const LEASE_TOKENS: &str = "/lend";
/// `POST` some [`PeerEntry`](crate::messages::PeerEntry)s, answered by others: one exchange of gossip.
pub const GOSSIP: &str = "/shuffle";
/// `GET`, answered by [`PeerEntry`](crate::messages::PeerEntry)s to begin gossip with.
pub const PEERS: &str = "/neighbours";
/// `GET`, answered by the [`Membership`](crate::messages::Membership) that a controller knows.
pub const MEMBERSHIP: &str = "/membership";

/// The header field with the [`CallId`](crate::deduplication::CallId) of a request and of its response.
pub const CALL_ID: &str = "Call-Id";
/// The header field of a response that was given to the same call before.
pub const CALL_REPEATED: &str = "Call-Repeated";
