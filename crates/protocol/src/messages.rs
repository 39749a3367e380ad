//! The messages that the system's programs exchange as JSON.
//!
//! A reader pulls: it sends the versions that it has of each source ([`VersionVector`]) and gets what is
//! newer ([`PullResponse`]). Controllers additionally exchange [`VoteRequest`]s and [`VoteResponse`]s.
//!
//! Invariants:
//! - Durations are whole milliseconds (`_ms`). An instant is never sent, only how long ago it was, as clocks
//!   of two machines are not compared.
//! - Names on the wire and on disk are fixed: programs of two versions run side by side during an upgrade,
//!   and a program reads files that the version before it wrote. Where a Rust field or variant has a clearer
//!   name than the wire, `#[serde(rename)]` keeps the latter; it must not be changed.
//! - A field that was added later has `#[serde(default)]`, as an older program does not send it.

mod backends;
mod consensus;
mod fleet;
mod pull;
mod register;
mod reports;

pub use backends::{Backend, BackendList, BackendListChange};
pub use consensus::{Vote, VoteRequest, VoteResponse};
pub use fleet::{ControllerEntry, FleetSummary, PeerEntry, ProxyEntry, TenantUsage};
pub use pull::{Follower, PullRequest, PullResponse, Version, VersionVector};
pub use register::{
    AcceptedConfig, Ballot, ConfigEdit, Membership, Register, RegisterChange, RegisterRank, Revision,
};
pub use reports::{AttemptCounts, HostCounts, ProxyReport, TokenCounts, TokenLeaseReport};
