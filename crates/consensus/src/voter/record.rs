//! What a voter has on disk besides the register, and the writes that it requests.

// Field names in JSON are those of records that are on disk already (`promise-0.json`, `promise-1.json`): Rust fields with
// newer names keep them by `serde(rename)`.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use vanewharf_protocol::messages::{Ballot, Register, Vote};

/// What a voter has promised, as it is on disk.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VoterRecord {
    /// The highest ballot that was promised: nothing is accepted under a lower one.
    pub ballot: Ballot,
    /// The candidate to which it was promised.
    #[serde(rename = "holder")]
    pub promised_to: Option<SocketAddr>,
    /// The voters of the cluster's first start, until a register names others.
    #[serde(rename = "founders")]
    pub initial_members: Vec<SocketAddr>,
    /// The last quota divisor (the number of proxies between which quotas are divided) that this voter knew; 0: none. After
    /// the loss of all processes nobody else can tell, and the proxies that report first are not all.
    #[serde(rename = "doors", default)]
    pub quota_divisor: u32,
    /// This voter's own incarnation. It rises whenever the voter comes back without its disk.
    #[serde(default)]
    pub incarnation: u64,
    /// The latest incarnations of other members: votes of their earlier ones are not counted together with this voter's.
    #[serde(rename = "incarnations", default)]
    pub peer_incarnations: BTreeMap<SocketAddr, u64>,
}

/// What has to be on disk before a vote is sent.
#[derive(Clone, Debug)]
pub enum DurableWrite {
    /// In place of the record on disk.
    VoterRecord(VoterRecord),
    /// In place of the register on disk.
    Register(Box<Register>),
}

/// What a voter answers to a request.
///
/// The vote must not be sent before `write` is on disk and [`super::Voter::mark_persisted`] was called: a voter that crashed
/// in between would not remember what it had promised. If the write fails, [`Vote::StorageFailed`] is sent instead.
#[derive(Clone, Debug)]
pub struct VoterOutput {
    /// The vote.
    pub vote: Vote,
    /// What has to be on disk first.
    pub write: Option<DurableWrite>,
}

impl VoterOutput {
    /// A vote that depends on nothing that is not on disk already.
    pub(super) fn without_write(vote: Vote) -> VoterOutput {
        VoterOutput { vote, write: None }
    }
}
