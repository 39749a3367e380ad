//! The record that a voter has on disk besides the register, and the writes that a voter requests.

// The JSON field names must stay as they are in existing records (`promise-0.json`, `promise-1.json`). Rust fields with
// other names keep them by `serde(rename)`.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use vanewharf_protocol::messages::{Ballot, Register, Vote};

/// The durable state of a voter except for its register: its promises, and what it knows of quotas and incarnations.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VoterRecord {
    /// The highest ballot that the voter has promised. It accepts nothing under a lower one.
    pub ballot: Ballot,
    /// The candidate to which that ballot was promised.
    #[serde(rename = "holder")]
    pub promised_to: Option<SocketAddr>,
    /// The voters at the first start of the cluster. They are used until a register names others.
    #[serde(rename = "founders")]
    pub initial_members: Vec<SocketAddr>,
    /// The last quota divisor (the number of proxies between which quotas are divided) that this voter knew, or 0 if it
    /// knows none. If all processes of the cluster are lost, only this record has the number: counting the proxies that
    /// report first would give too low a divisor.
    #[serde(rename = "doors", default)]
    pub quota_divisor: u32,
    /// The voter's own incarnation, which increases whenever the voter recovers from the loss of its disk.
    #[serde(default)]
    pub incarnation: u64,
    /// The latest known incarnations of other members. Votes of their earlier incarnations are not counted together
    /// with votes of this voter.
    #[serde(rename = "incarnations", default)]
    pub peer_incarnations: BTreeMap<SocketAddr, u64>,
}

/// A write that has to be on disk before a vote is sent.
#[derive(Clone, Debug)]
pub enum DurableWrite {
    /// Replaces the record on disk.
    VoterRecord(VoterRecord),
    /// Replaces the register on disk.
    Register(Box<Register>),
}

/// The answer of a voter to a request.
///
/// The vote must not be sent before `write` is on disk and [`super::Voter::mark_persisted`] was called: a voter that
/// sent it and crashed before the write would not remember what it had promised. If the write fails,
/// [`Vote::StorageFailed`] is sent instead.
#[derive(Clone, Debug)]
pub struct VoterOutput {
    /// The vote to send.
    pub vote: Vote,
    /// The write that has to be on disk before the vote is sent, if any.
    pub write: Option<DurableWrite>,
}

impl VoterOutput {
    /// Creates the answer for a vote that depends only on what is on disk already.
    pub(super) fn without_write(vote: Vote) -> VoterOutput {
        VoterOutput { vote, write: None }
    }
}
