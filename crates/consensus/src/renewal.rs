//! The renewal round: whether a majority extends the lease.
//!
//! During a change of the set of voters the round needs a majority of both sets (see `membership`). One such round has to
//! succeed after the joint membership is committed and before the change is finished. Otherwise the lease would rest on the
//! old set alone while the new set, which has not granted it, could elect another leaseholder.

use crate::quorum::QuorumTracker;
use std::net::SocketAddr;
use std::ops::ControlFlow;
use vanewharf_protocol::messages::{Ballot, Membership, VoteResponse};

/// What came of a renewal round.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RenewalOutcome {
    /// A majority renewed the lease.
    Renewed,
    /// Too few voters responded or assented; the lease is valid for as long as before.
    Incomplete,
    /// No majority renewed the lease, and a voter has promised a higher ballot.
    Superseded,
}

/// A round in which the lease is to be renewed.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RenewalRound {
    ballot: Ballot,
    tally: QuorumTracker,
}

impl RenewalRound {
    /// Begins for the lease under `ballot`, among the voters of this membership.
    pub fn start(ballot: Ballot, membership: Membership) -> RenewalRound {
        RenewalRound { ballot, tally: QuorumTracker::new(membership) }
    }

    /// The membership whose majority is needed.
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

    /// By the responses so far.
    pub fn outcome(&self) -> RenewalOutcome {
        if self.tally.has_quorum() {
            RenewalOutcome::Renewed
        } else if self.tally.highest_refused_ballot() > self.ballot {
            RenewalOutcome::Superseded
        } else {
            RenewalOutcome::Incomplete
        }
    }
}

#[cfg(test)]
mod tests;
