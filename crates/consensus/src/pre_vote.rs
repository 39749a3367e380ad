//! The pre-vote: whether a majority would grant the lease, asked before any ballot is promised.
//!
//! # What it avoids
//!
//! A controller that is cut off cannot win an election, but by trying it would promise higher and higher ballots to itself.
//! Once it is reachable again, its voter would refuse everything that the leaseholder does under its lower ballot, and
//! force an election although the lease was held all along. A pre-vote promises nothing, so that only a candidate which
//! could have won raises a ballot. It is not needed for safety: an election without it grants no more than with it.

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
    /// Asks the voters of this membership.
    pub fn start(membership: Membership) -> PreVoteRound {
        PreVoteRound { tally: QuorumTracker::new(membership) }
    }

    /// Takes in one response. Breaks once a majority is willing, with the highest ballot that any respondent has promised:
    /// the candidate's own has to be above it.
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
            Vote::Willing { promised } | Vote::Refused { promised, .. } => Some(*promised),
            _ => None,
        });
        promised.max().unwrap_or_default()
    }
}

#[cfg(test)]
mod tests;
