//! The replicated register: the operator's current configuration, the evacuated zones and the membership of the
//! consensus group.

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;

/// The number of a lease. Each lease that a majority grants has a higher ballot than the one before. The low bits
/// differ between candidates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot(pub u64);

/// The version number of the register; 0 if no register was written yet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Revision(pub u64);

/// The position of a register in the order of all registers: later leaseholders adopt the greatest one. On the
/// wire and on disk it is an array of the two numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "(Ballot, Revision)", into = "(Ballot, Revision)")]
pub struct RegisterRank {
    /// The ballot of the leaseholder that wrote the register.
    pub ballot: Ballot,
    /// The revision of the register.
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

/// The state that the consensus group replicates: the operator's newest configuration, exactly as it was sent,
/// the evacuated zones and the membership of the group.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Register {
    /// The ballot of the leaseholder that wrote this register.
    pub ballot: Ballot,
    /// The version number, incremented by each change.
    #[serde(rename = "no")]
    pub revision: Revision,
    /// The text of the configuration, which controllers store byte for byte as it was sent; `None` until the operator
    /// sends the first one.
    pub config: Option<Box<RawValue>>,
    /// Zones that get no traffic.
    pub evacuated: BTreeSet<String>,
    /// The members of the consensus group.
    pub membership: Membership,
    /// The last configurations that were accepted, oldest first. Only controllers use them.
    #[serde(rename = "taken", default, skip_serializing_if = "Vec::is_empty")]
    pub accepted_configs: Vec<AcceptedConfig>,
}

/// The controllers that grant leases and store the register. The membership changes by joint consensus: while
/// there are outgoing voters, a majority of these is needed in addition to a majority of the voters.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Membership {
    /// A number that each change increments; 0 if the membership is unknown.
    pub epoch: u64,
    /// The voters' addresses for internal calls.
    pub voters: Vec<SocketAddr>,
    /// The addresses of the previous voters, until the change of membership is complete.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub outgoing: Vec<SocketAddr>,
}

/// The identity of an accepted configuration. It distinguishes a configuration that is sent again from a
/// different one with the same revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedConfig {
    /// The revision that the configuration contains.
    pub revision: u64,
    /// A digest of the configuration's text as it was sent.
    pub digest: u64,
}

/// The difference between one register and the next.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RegisterChange {
    /// The revision of the register to which the change applies.
    pub from: Revision,
    /// The revision of the register that results.
    #[serde(rename = "no")]
    pub revision: Revision,
    /// The ballot of the register that results.
    pub ballot: Ballot,
    /// The evacuated zones of the register that results.
    pub evacuated: BTreeSet<String>,
    /// The membership of the register that results.
    pub membership: Membership,
    /// The edits of the configuration, in the order in which they are applied.
    pub edits: Vec<ConfigEdit>,
    /// The CRC-32 of the configuration's text after the edits.
    #[serde(rename = "sum")]
    pub checksum: u32,
}

/// An edit of the configuration: of one entry of a top-level table, or of a whole top-level field.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ConfigEdit {
    /// The name of the top-level field.
    pub part: String,
    /// The name of the entry, if the field is a table; `None` to edit the whole field.
    #[serde(default)]
    pub entry: Option<String>,
    /// The new value; `None` to remove the entry or field.
    #[serde(default)]
    pub value: Option<Box<RawValue>>,
}

impl Register {
    /// The initial register, before the first change.
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

    /// The fields that equality and hash are computed from; a configuration is compared by its text.
    fn content(&self) -> (RegisterRank, Option<&str>, &BTreeSet<String>, &Membership) {
        let config = self.config.as_ref().map(|config| config.get());
        (self.rank(), config, &self.evacuated, &self.membership)
    }

    /// Whether both registers have the same effect on traffic: ballot, revision and membership have none.
    pub fn has_same_routing(&self, other: &Register) -> bool {
        let (config, other_config) = (self.config.as_deref(), other.config.as_deref());
        self.evacuated == other.evacuated && config.map(RawValue::get) == other_config.map(RawValue::get)
    }

    /// The position of this register in the order of all registers.
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
