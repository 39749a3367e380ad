//! The JSON messages that the vanewharf programs exchange.
//!
//! Three datasets are distributed by pulling: the register, the list of backends and the fleet summary. A reader sends
//! the versions that it has of each ([`VersionVector`]) and receives what is newer ([`PullResponse`]). Controllers
//! additionally run the consensus protocol ([`VoteRequest`], [`VoteResponse`]).
//!
//! Invariants:
//! - Durations are whole milliseconds (`_ms`). A message never contains an absolute time, only an age, because
//!   the clocks of two machines are not comparable.
//! - Names on the wire and on disk must not change: programs of two versions run side by side during an
//!   upgrade, and a program reads files that its previous version wrote. A field or variant whose Rust name
//!   differs from its wire name has `#[serde(rename)]`.
//! - A field that was added in a later version has `#[serde(default)]`, because older programs do not send it.

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
