//! The pre-vote: asks whether a majority would grant the lease, before any voter promises a ballot.
//!
//! # What it avoids
//!
//! A controller that is partitioned from the others cannot win an election, but each attempt would make its own voter
//! promise a higher ballot. Once the partition heals, that voter would refuse the leaseholder's renewals and registers,
//! which are under a lower ballot, and so force a needless election. A pre-vote promises nothing, so that a ballot is
//! raised only by a candidate to which a majority is willing to grant the lease. Safety does not depend on it.

use crate::quorum::QuorumTracker;
use std::net::SocketAddr;
use std::ops::ControlFlow;
use vanewharf_protocol::messages::{Ballot, Membership, Vote, VoteResponse};

/// A round of pre-votes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PreVoteRound {
    tally: QuorumTracker,
}

impl PreVoteRound {
    /// Starts a round among the voters of this membership.
    pub fn start(membership: Membership) -> PreVoteRound {
        PreVoteRound { tally: QuorumTracker::new(membership) }
    }

    /// Records one response. Breaks once a majority is willing, with the highest ballot that any respondent has
    /// promised: the candidate's own ballot has to be above it.
    pub fn record_response(&mut self, voter: SocketAddr, response: VoteResponse) -> ControlFlow<Ballot> {
        self.tally.record(voter, response);
        if self.tally.has_quorum() {
            ControlFlow::Break(self.highest_promised_ballot())
        } else {
            ControlFlow::Continue(())
        }
    }

    fn highest_promised_ballot(&self) -> Ballot {
        let promised = self.tally.votes().filter_map(|vote| match vote {
            Vote::WouldGrant { promised } | Vote::Refused { promised, .. } => Some(*promised),
            _ => None,
        });
        promised.max().unwrap_or_default()
    }
}

#[cfg(test)]
mod tests;
