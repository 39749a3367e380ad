//! Pulls: the versions that a reader has, and the answer with what is newer.

use super::{
    BackendList, BackendListChange, Ballot, ControllerEntry, FleetSummary, ProxyReport, Register,
    RegisterChange, RegisterRank, Revision, TokenLeaseReport,
};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;
use vanewharf_clock::Timestamp;

/// The version of something that successive leaseholders publish; a later leaseholder's is always greater.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Version {
    /// The ballot of the leaseholder that published it.
    pub ballot: Ballot,
    /// Counts up under one ballot.
    #[serde(rename = "no")]
    pub number: u64,
}

impl Version {
    /// Above all versions that there are.
    const HIGHEST: Version = Version { ballot: Ballot(u64::MAX), number: u64::MAX };
}

/// The versions that a reader has, of each source; the default is that it has nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionVector {
    /// Of the register.
    pub register: Revision,
    /// Of the list of backends.
    #[serde(rename = "list")]
    pub backend_list: Version,
    /// Of the fleet's summary.
    #[serde(rename = "ledger")]
    pub fleet_summary: Version,
}

impl VersionVector {
    /// Above all versions that there are: nothing is newer for a reader that says it has these.
    pub const HIGHEST: VersionVector = VersionVector {
        register: Revision(u64::MAX),
        backend_list: Version::HIGHEST,
        fleet_summary: Version::HIGHEST,
    };
}

/// A controller that pulls from the leaseholder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Follower {
    /// Its machine.
    #[serde(rename = "row")]
    pub controller: ControllerEntry,
    /// The register on its disk; none while it has amnesia, having lost its disk's content.
    #[serde(rename = "kept")]
    pub persisted: Option<RegisterRank>,
}

/// A request for everything newer than the versions that the reader has.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PullRequest {
    /// What the reader has.
    #[serde(rename = "have")]
    pub versions: VersionVector,
    /// How long the response may be delayed until there is something new (long polling).
    pub wait_ms: u64,
    /// The reader, where it is a controller.
    #[serde(rename = "office")]
    pub follower: Option<Follower>,
    /// The tokens that the reader leases, where it is a controller that does so.
    #[serde(rename = "lent")]
    pub token_leases: Option<TokenLeaseReport>,
    /// Reports of proxies that are to reach the leaseholder.
    pub reports: Vec<ProxyReport>,
}

/// What is newer than the reader's versions, each source as a snapshot or as changes.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct PullResponse {
    /// A snapshot.
    pub register: Option<Register>,
    /// In place of the snapshot, where the reader is few versions behind.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub register_changes: Vec<RegisterChange>,
    /// A snapshot.
    #[serde(rename = "list")]
    pub backend_list: Option<BackendList>,
    /// In place of the snapshot, where the reader is few versions behind.
    #[serde(rename = "list_changes", default, skip_serializing_if = "Vec::is_empty")]
    pub backend_list_changes: Vec<BackendListChange>,
    /// Always a snapshot.
    #[serde(rename = "ledger")]
    pub fleet_summary: Option<FleetSummary>,
    /// How long ago the register that the reader now has was attested to be the newest acknowledged one,
    /// counted from when the response was sent; none: it never was.
    #[serde(rename = "sure_ms")]
    pub attested_age_ms: Option<u64>,
    /// How long the response was delayed until there was something new, or the wait was over.
    #[serde(rename = "held_ms")]
    pub delay_ms: u64,
    /// The address of the leaseholder for internal calls, where it is known.
    #[serde(rename = "holder")]
    pub leaseholder: Option<SocketAddr>,
}

impl PullResponse {
    /// When what the sender has was attested to be the newest, by the clock of a reader that sent its pull at `sent_at`. The
    /// response was made no sooner than its delay after that; its age is counted from that earliest time, so that nothing
    /// passes for fresher than it is.
    pub fn attested_at(&self, sent_at: Timestamp) -> Option<Timestamp> {
        let answered_at = sent_at.after(Duration::from_millis(self.delay_ms));
        self.attested_age_ms.map(|age_ms| answered_at.before(Duration::from_millis(age_ms)))
    }
}
