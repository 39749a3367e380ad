//! The renewal round, in which a majority extends the lease.
//!
//! During a change of the set of voters the round needs a majority of both sets (see `membership`). One such round has
//! to succeed after the joint membership is committed and before the change is finished. Otherwise only voters of the
//! old set would have granted the lease, while the new set, which has not, could elect another leaseholder.

use crate::quorum::QuorumTracker;
use std::net::SocketAddr;
use std::ops::ControlFlow;
use vanewharf_protocol::messages::{Ballot, Membership, VoteResponse};

/// The result of a renewal round.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RenewalOutcome {
    /// A majority renewed the lease.
    Renewed,
    /// Too few voters responded or assented; the lease still ends when it would have ended without this round.
    Incomplete,
    /// No majority renewed the lease, and a voter has promised a higher ballot.
    Superseded,
}

/// A round in which voters are asked to extend the lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RenewalRound {
    ballot: Ballot,
    tally: QuorumTracker,
}

impl RenewalRound {
    /// Starts a round for the lease under `ballot`, among the voters of this membership.
    pub fn start(ballot: Ballot, membership: Membership) -> RenewalRound {
        RenewalRound { ballot, tally: QuorumTracker::new(membership) }
    }

    /// Returns the membership of which a majority is needed.
    pub fn membership(&self) -> &Membership {
        self.tally.membership()
    }

    /// Records one response. Breaks once a majority renewed the lease.
    pub fn record_response(&mut self, voter: SocketAddr, response: VoteResponse) -> ControlFlow<()> {
        self.tally.record(voter, response);
        match self.outcome() {
            RenewalOutcome::Renewed => ControlFlow::Break(()),
            RenewalOutcome::Incomplete | RenewalOutcome::Superseded => ControlFlow::Continue(()),
        }
    }

    /// Returns the result by the responses recorded so far.
    pub fn outcome(&self) -> RenewalOutcome {
        if self.tally.has_quorum() {
            RenewalOutcome::Renewed
        } else if self.tally.highest_ballot_in_refusals() > self.ballot {
            RenewalOutcome::Superseded
        } else {
            RenewalOutcome::Incomplete
        }
    }
}

#[cfg(test)]
mod tests;
