//! The election: one attempt of a candidate to win the lease under one ballot.
//!
//! A voter that grants the lease promises to accept nothing under a lower ballot, and reports the newest register that
//! it has accepted. A committed register was accepted by a majority, which shares a voter with the majority that grants
//! this lease. So the newest reported register is at least as new as any committed one. The winner proposes it again
//! under its own ballot before it proposes anything else.
//!
//! The newest reported register may name another set of voters than the candidate knew of. Then a majority of that set
//! has to grant the lease, too: a majority of the set that the candidate knew may be unaware of what the newer set has
//! decided.

use crate::membership::all_voters;
use crate::quorum::QuorumTracker;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::ops::ControlFlow;
use vanewharf_protocol::messages::{Ballot, Membership, Register, RegisterRank, Vote, VoteResponse};

/// One attempt to win the lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Election {
    candidate: SocketAddr,
    /// The rank of the register that names the membership whose majority is needed.
    membership_rank: RegisterRank,
    tally: QuorumTracker,
}

/// The result that the responses so far determine. An election is lost if all voters have responded without one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ElectionOutcome {
    /// The newest reported register names other voters: these have to be asked for the lease, too.
    QueryMoreVoters(BTreeSet<SocketAddr>),
    /// The lease is granted. This register, the newest reported one, has to be accepted under the new ballot before
    /// anything else is proposed.
    Won(Box<Register>),
    /// The candidate is not a voter of the newest set, and must not become leaseholder.
    NotAVoter,
}

impl Election {
    /// Starts an election among the newest membership that the candidate knows; `membership_rank` is the rank of the
    /// register that names it.
    pub fn start(candidate: SocketAddr, membership: Membership, membership_rank: RegisterRank) -> Election {
        Election { candidate, membership_rank, tally: QuorumTracker::new(membership) }
    }

    /// Returns the membership of which a majority is needed.
    pub fn membership(&self) -> &Membership {
        self.tally.membership()
    }

    /// Records one response. Breaks once the election is decided, or once more voters have to be asked.
    pub fn record_response(
        &mut self,
        voter: SocketAddr,
        response: VoteResponse,
    ) -> ControlFlow<ElectionOutcome> {
        self.tally.record(voter, response);
        if !self.tally.has_quorum() {
            return ControlFlow::Continue(());
        }
        let found = self.newest_granted_register();
        // The epoch is compared as well as the rank. A leaseholder that finds no register publishes the initial one
        // without an accept round, under a ballot that may be above that of a membership change which was begun before.
        let names_later_set = found.membership.epoch > self.membership().epoch;
        if found.rank() > self.membership_rank || names_later_set {
            self.tally.set_membership(found.membership.clone());
            self.membership_rank = found.rank();
            if !self.tally.has_quorum() {
                return ControlFlow::Break(ElectionOutcome::QueryMoreVoters(self.voters_without_response()));
            }
        }
        if self.membership().voters.contains(&self.candidate) {
            ControlFlow::Break(ElectionOutcome::Won(Box::new(found)))
        } else {
            ControlFlow::Break(ElectionOutcome::NotAVoter)
        }
    }

    /// Returns the highest ballot that a refusing voter has promised, or 0 if none refused. The next attempt has to use
    /// a higher one.
    pub fn highest_ballot_in_refusals(&self) -> Ballot {
        self.tally.highest_ballot_in_refusals()
    }

    /// Returns the highest quota divisor known to the voters that granted the lease, or 0 if none knows one.
    pub fn quota_divisor(&self) -> u32 {
        let divisors = self.tally.votes().filter_map(|vote| match vote {
            Vote::Granted { quota_divisor, .. } => Some(*quota_divisor),
            _ => None,
        });
        divisors.max().unwrap_or(0)
    }

    fn newest_granted_register(&self) -> Register {
        let registers = self.tally.votes().filter_map(|vote| match vote {
            Vote::Granted { register, .. } => Some(register),
            _ => None,
        });
        let newest = registers.max_by_key(|register| (register.rank(), register.membership.epoch));
        newest.cloned().unwrap_or_else(Register::empty)
    }

    fn voters_without_response(&self) -> BTreeSet<SocketAddr> {
        let respondents = self.tally.respondents();
        all_voters(self.membership()).difference(&respondents).copied().collect()
    }
}

#[cfg(test)]
mod tests;
