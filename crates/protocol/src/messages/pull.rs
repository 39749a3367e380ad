//! Pulls: a reader sends the versions that it has and receives what is newer.

use super::{
    BackendList, BackendListChange, Ballot, ControllerEntry, FleetSummary, ProxyReport, Register,
    RegisterChange, RegisterRank, Revision, TokenLeaseReport,
};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;
use vanewharf_clock::Timestamp;

/// The version of a dataset that successive leaseholders publish. The versions of a later leaseholder are
/// always greater, because its ballot is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Version {
    /// The ballot of the leaseholder that published it.
    pub ballot: Ballot,
    /// A counter that increases with each publication under one ballot.
    #[serde(rename = "no")]
    pub number: u64,
}

impl Version {
    /// A version above all that can be published.
    const HIGHEST: Version = Version { ballot: Ballot(u64::MAX), number: u64::MAX };
}

/// The version that a reader has of each dataset. The default stands for a reader that has nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionVector {
    /// The revision of the register.
    pub register: Revision,
    /// The version of the list of backends.
    #[serde(rename = "list")]
    pub backend_list: Version,
    /// The version of the fleet summary.
    #[serde(rename = "ledger")]
    pub fleet_summary: Version,
}

impl VersionVector {
    /// Versions above all that can be published: a reader that sends these receives no dataset.
    pub const HIGHEST: VersionVector = VersionVector {
        register: Revision(u64::MAX),
        backend_list: Version::HIGHEST,
        fleet_summary: Version::HIGHEST,
    };
}

/// A controller that pulls from the leaseholder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Follower {
    /// The controller's machine.
    #[serde(rename = "row")]
    pub controller: ControllerEntry,
    /// The rank of the register on the controller's disk. `None` while the controller has amnesia: it has lost
    /// its disk's content.
    #[serde(rename = "kept")]
    pub persisted: Option<RegisterRank>,
}

/// A request for everything that is newer than the reader's versions.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PullRequest {
    /// The versions that the reader has.
    #[serde(rename = "have")]
    pub versions: VersionVector,
    /// How long the server may delay the response until there is something newer (long polling).
    pub wait_ms: u64,
    /// The reader itself, if it is a controller.
    #[serde(rename = "office")]
    pub follower: Option<Follower>,
    /// The reader's report on its token leases, if it is a controller that leases tokens.
    #[serde(rename = "lent")]
    pub token_leases: Option<TokenLeaseReport>,
    /// Reports of proxies, to be forwarded to the leaseholder.
    pub reports: Vec<ProxyReport>,
}

/// Everything that is newer than the reader's versions, each dataset as a snapshot or as changes.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct PullResponse {
    /// A snapshot of the register.
    pub register: Option<Register>,
    /// The changes of the register, instead of a snapshot, if the reader is only a few versions behind.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub register_changes: Vec<RegisterChange>,
    /// A snapshot of the list of backends.
    #[serde(rename = "list")]
    pub backend_list: Option<BackendList>,
    /// The changes of the list of backends, instead of a snapshot, if the reader is only a few versions behind.
    #[serde(rename = "list_changes", default, skip_serializing_if = "Vec::is_empty")]
    pub backend_list_changes: Vec<BackendListChange>,
    /// A snapshot of the fleet summary, which is never sent as changes.
    #[serde(rename = "ledger")]
    pub fleet_summary: Option<FleetSummary>,
    /// The age of the attestation that the register which the reader now has was the newest acknowledged one,
    /// as of when the response was sent. `None` if there was no attestation yet.
    #[serde(rename = "sure_ms")]
    pub attested_age_ms: Option<u64>,
    /// How long the server delayed the response, until there was something newer or the reader's wait was over.
    #[serde(rename = "held_ms")]
    pub delay_ms: u64,
    /// The leaseholder's address for internal calls, if the server knows it.
    #[serde(rename = "holder")]
    pub leaseholder: Option<SocketAddr>,
}

impl PullResponse {
    /// When the state of the server was attested to be the newest, by the clock of a reader that sent its pull
    /// at `sent_at`. The server sent the response at `sent_at + delay` at the earliest; the age is subtracted
    /// from that earliest time, so that the state never appears fresher than it is.
    pub fn attested_at(&self, sent_at: Timestamp) -> Option<Timestamp> {
        let answered_at = sent_at.after(Duration::from_millis(self.delay_ms));
        self.attested_age_ms.map(|age_ms| answered_at.before(Duration::from_millis(age_ms)))
    }
}
