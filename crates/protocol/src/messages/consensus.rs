//! Requests to the voters of the consensus group, and their votes.

use super::{Ballot, Register};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A request of a candidate, of the leaseholder or of a recovering member to a voter.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum VoteRequest {
    /// Asks whether the voter would grant a lease now, without any promise. A partitioned candidate, which
    /// cannot win, would otherwise raise its ballot and preempt the leaseholder when the partition heals.
    PreVote {
        /// The address of the candidate.
        #[serde(rename = "holder")]
        candidate: SocketAddr,
    },
    /// Asks the voter to grant a lease.
    Lease {
        /// The ballot of the lease: the candidate's own, and higher than any ballot that it knows.
        ballot: Ballot,
        /// The address of the candidate.
        #[serde(rename = "holder")]
        candidate: SocketAddr,
    },
    /// Asks the voter to extend a lease by another term.
    Renew {
        /// The ballot of the lease.
        ballot: Ballot,
        /// The address of the leaseholder.
        #[serde(rename = "holder")]
        leaseholder: SocketAddr,
    },
    /// Asks the voter to store a register on disk.
    Accept {
        /// The leaseholder's register, with the ballot of its lease.
        register: Register,
    },
    /// Tells the voter that the leaseholder gives up its lease.
    Release {
        /// The ballot of the lease.
        ballot: Ballot,
    },
    /// Asks for the voter's state, on behalf of a member with amnesia (one that lost its disk's content).
    /// From then on, a vote that the member cast in an earlier incarnation does not count together with the
    /// vote of this voter.
    Recover {
        /// The address of the member with amnesia.
        member: SocketAddr,
        /// The new incarnation of that member.
        incarnation: u64,
    },
}

/// A voter's answer to a [`VoteRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Vote {
    /// Answers `Lease`: the lease is granted.
    Granted {
        /// The newest register that the voter has accepted.
        register: Register,
        /// The last quota divisor that the voter knew; 0 if it knows none.
        #[serde(rename = "doors", default)]
        quota_divisor: u32,
    },
    /// Answers `PreVote`: the voter would grant a lease under a ballot above the promised one.
    #[serde(rename = "Willing")]
    WouldGrant {
        /// The highest ballot that the voter has promised.
        promised: Ballot,
    },
    /// Answers `Renew`, `Accept` and `Release`: the request was carried out.
    Accepted,
    /// Answers `Recover` with what the voter has promised and accepted.
    #[serde(rename = "Known")]
    Recovered {
        /// The highest ballot that the voter has promised.
        promised: Ballot,
        /// The newest register that the voter has accepted.
        register: Register,
    },
    /// The voter has promised a higher ballot, or has granted a lease that has not expired.
    Refused {
        /// The highest ballot that the voter has promised.
        promised: Ballot,
        /// The leaseholder, if the voter knows one.
        #[serde(rename = "holder")]
        leaseholder: Option<SocketAddr>,
    },
    /// The request comes from an earlier incarnation of a member of which the voter knows a later one.
    #[serde(rename = "Outlived")]
    Superseded {
        /// The latest incarnation that the voter knows.
        incarnation: u64,
    },
    /// The voter has amnesia: it has lost its record and may not vote.
    Amnesic {
        /// The seed nodes in the voter's settings.
        seeds: Vec<SocketAddr>,
    },
    /// The voter could not write its record to disk.
    #[serde(rename = "Unable")]
    StorageFailed,
}

/// A vote with the incarnations that the voter knows. They keep a vote that a member cast before it lost its
/// disk from counting together with the vote of a member that knows of the loss.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VoteResponse {
    /// The voter's own incarnation.
    pub incarnation: u64,
    /// The incarnations of other members, by address, as far as the voter knows them.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub incarnations: BTreeMap<SocketAddr, u64>,
    /// The vote itself.
    pub vote: Vote,
}
