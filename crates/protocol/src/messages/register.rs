//! The operator's register: the configuration that is in force, evacuated zones, and the consensus group.

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;

/// Orders leases: each lease that a majority grants has a higher one. The low bits differ between candidates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot(pub u64);

/// Counts the versions of the register; 0: there was none yet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Revision(pub u64);

/// Orders two registers: the greater one is the one that later leaseholders go by. On the wire and on disk it
/// is an array of the two numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "(Ballot, Revision)", into = "(Ballot, Revision)")]
pub struct RegisterRank {
    /// Of the leaseholder that wrote the register.
    pub ballot: Ballot,
    /// Of the register.
    pub revision: Revision,
}

impl From<(Ballot, Revision)> for RegisterRank {
    fn from((ballot, revision): (Ballot, Revision)) -> RegisterRank {
        RegisterRank { ballot, revision }
    }
}

impl From<RegisterRank> for (Ballot, Revision) {
    fn from(rank: RegisterRank) -> (Ballot, Revision) {
        (rank.ballot, rank.revision)
    }
}

/// The operator's register: the newest configuration, as it was sent, and the zones that are to get no
/// traffic.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Register {
    /// Of the leaseholder that wrote it.
    pub ballot: Ballot,
    /// Counts up with each change.
    #[serde(rename = "no")]
    pub revision: Revision,
    /// The configuration's text, byte for byte; none until there was a first one.
    pub config: Option<Box<RawValue>>,
    /// Zones that are to get no traffic.
    pub evacuated: BTreeSet<String>,
    /// The consensus group.
    pub membership: Membership,
    /// The last configurations that were accepted, the oldest first; for controllers alone.
    #[serde(rename = "taken", default, skip_serializing_if = "Vec::is_empty")]
    pub accepted_configs: Vec<AcceptedConfig>,
}

/// The replicas that grant leases and store the register. It changes by joint consensus: while there are
/// outgoing voters, a majority of these is needed in addition to a majority of the voters.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Membership {
    /// Counts up with each change; 0: the membership is not known.
    pub epoch: u64,
    /// Addresses of the voters for internal calls.
    pub voters: Vec<SocketAddr>,
    /// Those of the voters before, until the change is complete.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub outgoing: Vec<SocketAddr>,
}

/// A configuration that was accepted. It distinguishes one that is sent again from another one with the same
/// number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedConfig {
    /// The number in the configuration.
    pub revision: u64,
    /// A digest of its text as it was sent.
    pub digest: u64,
}

/// The difference between one register and the next.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RegisterChange {
    /// The register that it applies to.
    pub from: Revision,
    /// The register that it results in.
    #[serde(rename = "no")]
    pub revision: Revision,
    /// As in the register that it results in.
    pub ballot: Ballot,
    /// As in the register that it results in.
    pub evacuated: BTreeSet<String>,
    /// As in the register that it results in.
    pub membership: Membership,
    /// Edits of the configuration, in their order.
    pub edits: Vec<ConfigEdit>,
    /// CRC-32 of the configuration's text after the edits.
    #[serde(rename = "sum")]
    pub checksum: u32,
}

/// An edit of one entry of a table in the configuration, or of a whole part where no entry is named.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ConfigEdit {
    /// The name of a top-level field.
    pub part: String,
    /// The name of an entry, where the part is a table.
    #[serde(default)]
    pub entry: Option<String>,
    /// The new value; none: it is removed.
    #[serde(default)]
    pub value: Option<Box<RawValue>>,
}

impl Register {
    /// The register before there was any.
    pub fn empty() -> Register {
        Register {
            ballot: Ballot(0),
            revision: Revision(0),
            config: None,
            evacuated: BTreeSet::new(),
            membership: Membership::default(),
            accepted_configs: Vec::new(),
        }
    }

    /// What equality and hashes go by; a configuration counts by its text.
    fn content(&self) -> (RegisterRank, Option<&str>, &BTreeSet<String>, &Membership) {
        let config = self.config.as_ref().map(|config| config.get());
        (self.rank(), config, &self.evacuated, &self.membership)
    }

    /// Whether the two have the same effect on traffic: ballot, revision and membership are no business of a
    /// proxy.
    pub fn routes_like(&self, other: &Register) -> bool {
        let (config, other_config) = (self.config.as_deref(), other.config.as_deref());
        self.evacuated == other.evacuated && config.map(RawValue::get) == other_config.map(RawValue::get)
    }

    /// Its place in the order of all registers.
    pub fn rank(&self) -> RegisterRank {
        RegisterRank { ballot: self.ballot, revision: self.revision }
    }
}

impl PartialEq for Register {
    fn eq(&self, other: &Register) -> bool {
        self.content() == other.content()
    }
}

impl Eq for Register {}

impl Hash for Register {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.content().hash(state);
    }
}
