//! Requests to voters of the consensus group and their votes.

use super::{Ballot, Register};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// What a candidate or the leaseholder requests of a voter.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum VoteRequest {
    /// Whether a lease would be granted now; the voter promises nothing. Without it, a candidate that cannot
    /// win, as it is partitioned, would return with a higher ballot and so preempt the leaseholder.
    PreVote {
        /// Who would become leaseholder.
        #[serde(rename = "holder")]
        candidate: SocketAddr,
    },
    /// For a lease.
    Lease {
        /// The candidate's own, higher than any it knows of.
        ballot: Ballot,
        /// Who would become leaseholder.
        #[serde(rename = "holder")]
        candidate: SocketAddr,
    },
    /// For another term of a lease.
    Renew {
        /// The lease's.
        ballot: Ballot,
        /// Who holds the lease.
        #[serde(rename = "holder")]
        leaseholder: SocketAddr,
    },
    /// To store a register on disk.
    Accept {
        /// Of the leaseholder, under its ballot.
        register: Register,
    },
    /// The leaseholder gives its lease up.
    Release {
        /// The lease's.
        ballot: Ballot,
    },
    /// For the voter's state, by a member with amnesia: from then on, votes that the member cast in an
    /// earlier incarnation do not count together with the voter's.
    Recover {
        /// The address of the member with amnesia.
        member: SocketAddr,
        /// Its new incarnation.
        incarnation: u64,
    },
}

/// A voter's answer to a [`VoteRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Vote {
    /// To `Lease`: it is granted.
    Granted {
        /// The newest register that the voter has accepted.
        register: Register,
        /// The last quota divisor that the voter knew; 0: none.
        #[serde(rename = "doors", default)]
        quota_divisor: u32,
    },
    /// To `PreVote`: it would grant a lease under a ballot above that one.
    Willing {
        /// The highest ballot that it has promised.
        promised: Ballot,
    },
    /// To `Renew`, `Accept` and `Release`: done.
    Accepted,
    /// To `Recover`: what it has promised and accepted.
    #[serde(rename = "Known")]
    Recovered {
        /// The highest ballot that it has promised.
        promised: Ballot,
        /// The newest register that it has accepted.
        register: Register,
    },
    /// It has promised a higher ballot, or granted a lease that has not expired.
    Refused {
        /// The highest ballot that it has promised.
        promised: Ballot,
        /// Who holds the lease, where it knows.
        #[serde(rename = "holder")]
        leaseholder: Option<SocketAddr>,
    },
    /// The requester is an earlier incarnation of a member whose later one is known here.
    #[serde(rename = "Outlived")]
    Superseded {
        /// The later one.
        incarnation: u64,
    },
    /// It has lost its record and may not vote.
    Amnesic {
        /// The seeds in its settings.
        seeds: Vec<SocketAddr>,
    },
    /// Writing its record to disk failed.
    #[serde(rename = "Unable")]
    StorageFailed,
}

/// A vote, with the incarnation of the voter and those that it knows of the others. By these a vote that a
/// member cast before it lost its disk does not count together with the vote of one that knows of the loss.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VoteResponse {
    /// The voter's own.
    pub incarnation: u64,
    /// Those of others, by their addresses.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub incarnations: BTreeMap<SocketAddr, u64>,
    /// The vote itself.
    pub vote: Vote,
}
