//! Paths and header names of the internal HTTP calls.
//!
//! They must not change, because programs of two versions call each other during an upgrade.

/// `POST`: takes a [`PullRequest`](crate::messages::PullRequest), returns a
/// [`PullResponse`](crate::messages::PullResponse).
pub const PULL: &str = "/pull";
/// `POST`: takes a [`VoteRequest`](crate::messages::VoteRequest), returns a
/// [`VoteResponse`](crate::messages::VoteResponse).
pub const VOTE: &str = "/vote";
/// `POST`: takes the [`Ballot`](crate::messages::Ballot) of a lease, returns whether the receiver still holds
/// that lease.
pub const HOLDS_LEASE: &str = "/holds";
/// `POST`: takes the [`TokenCounts`](crate::messages::TokenCounts) that a proxy requests, returns those that
/// the controller leases to it.
pub const LEASE_TOKENS: &str = "/lend";
/// `POST`: one gossip exchange. Takes a list of [`PeerEntry`](crate::messages::PeerEntry) and returns another.
pub const GOSSIP: &str = "/shuffle";
/// `GET`: returns the list of [`PeerEntry`](crate::messages::PeerEntry) with which an agent starts to gossip.
pub const PEERS: &str = "/neighbours";
/// `GET`: returns the [`Membership`](crate::messages::Membership) that the controller knows.
pub const MEMBERSHIP: &str = "/membership";

/// Header that carries the [`CallId`](crate::deduplication::CallId) of a request, and in a response the id of
/// the request that it answers.
pub const CALL_ID: &str = "Call-Id";
/// Header that marks a response as a copy of the one that an earlier arrival of the same call received.
pub const CALL_REPEATED: &str = "Call-Repeated";
