//! What a candidate for the lease, its holder and a member with amnesia decide by the votes that they are
//! told, one after the other. Whoever owns the network asks, feeds what comes back, and does what is said
//! here; the model checker under `tests/` feeds the same code with every order of votes that there is.

use crate::membership::{
    RecoveryDecision, all_voters, assenting_voters, has_quorum, incarnations, newest, quorum_is_impossible,
    recovery,
};
use crate::voter::{LEASE_DURATION, LEASE_SAFETY_MARGIN, VoterRecord, next_incarnation};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::ops::ControlFlow;
use vanewharf_clock::Timestamp;
use vanewharf_protocol::messages::{Ballot, Membership, Register, RegisterRank, Vote, VoteResponse};

/// A lease in hand.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct HeldLease {
    pub ballot: Ballot,
    pub valid_until: Timestamp,
    /// What was kept before is kept under this ballot too, so that orders may be taken.
    pub register_committed: bool,
}

impl HeldLease {
    /// Granted by a majority that was asked at that time or later.
    pub fn granted(ballot: Ballot, asked: Timestamp) -> HeldLease {
        HeldLease {
            ballot,
            valid_until: asked.after(LEASE_DURATION - LEASE_SAFETY_MARGIN),
            register_committed: false,
        }
    }

    /// Renewed by a majority that was asked then; answers may come out of turn.
    pub fn renewed(self, asked: Timestamp) -> HeldLease {
        HeldLease {
            valid_until: asked.after(LEASE_DURATION - LEASE_SAFETY_MARGIN).max(self.valid_until),
            ..self
        }
    }

    pub fn is_valid(&self, now: Timestamp) -> bool {
        self.valid_until > now
    }

    /// Whether its holder may act by it.
    pub fn may_serve(&self, now: Timestamp) -> bool {
        self.register_committed && self.is_valid(now)
    }
}

/// The ballot under which a machine tries for the lease or holds it. Who has said that it holds nothing under
/// it, never will: votes for it may still be on their way.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct BallotClaim {
    ballot: Ballot,
    renounced: bool,
}

impl BallotClaim {
    pub fn new(ballot: Ballot) -> BallotClaim {
        BallotClaim { ballot, renounced: false }
    }

    /// A voter that promised that ballot and was restarted asks whether it is still held.
    pub fn answer_inquiry(&mut self, ballot: Ballot, term: Option<HeldLease>, now: Timestamp) -> bool {
        let held = term.is_some_and(|term| term.ballot == ballot && term.is_valid(now));
        self.renounced |= !held && self.ballot == ballot;
        held
    }

    /// Whether votes for that ballot may still be gone by.
    pub fn is_valid_for(&self, ballot: Ballot) -> bool {
        self.ballot == ballot && !self.renounced
    }
}

/// Asks whether a lease would be granted, before any ballot is promised.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PreVoteRound {
    set: Membership,
    votes: Vec<(SocketAddr, VoteResponse)>,
}

impl PreVoteRound {
    pub fn start(set: Membership) -> PreVoteRound {
        PreVoteRound { set, votes: Vec::new() }
    }

    /// Ends where a majority is willing, with the highest ballot that any of those has promised who spoke.
    pub fn record_response(&mut self, voter: SocketAddr, cast: VoteResponse) -> ControlFlow<Ballot> {
        self.votes.push((voter, cast));
        if !has_quorum(&self.set, &assenting_voters(&self.votes)) {
            return ControlFlow::Continue(());
        }
        let promised = self.votes.iter().filter_map(|(_, cast)| match cast.vote {
            Vote::Willing { promised } | Vote::Refused { promised, .. } => Some(promised),
            _ => None,
        });
        ControlFlow::Break(promised.max().unwrap_or_default())
    }
}

/// A try for the lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Election {
    me: SocketAddr,
    /// Whose majority it needs, and which register names these.
    set: Membership,
    known: RegisterRank,
    votes: Vec<(SocketAddr, VoteResponse)>,
}

/// Where an election stands once that is decided. One in which all have spoken before that is lost.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ElectionOutcome {
    /// The register that was found has other voters: these have to be asked, too.
    QueryAlso(BTreeSet<SocketAddr>),
    /// With the register to be kept under the new ballot before anything else.
    Won(Box<Register>),
    /// One that has left the set must not lead.
    NotAVoter,
}

impl Election {
    /// By the newest set that the candidate knows.
    pub fn start(me: SocketAddr, set: Membership, known: RegisterRank) -> Election {
        Election { me, set, known, votes: Vec::new() }
    }

    pub fn membership(&self) -> &Membership {
        &self.set
    }

    pub fn record_response(&mut self, voter: SocketAddr, cast: VoteResponse) -> ControlFlow<ElectionOutcome> {
        self.votes.push((voter, cast));
        if !self.has_quorum() {
            return ControlFlow::Continue(());
        }
        let found = newest(&self.votes);
        if found.rank() > self.known {
            // The register that is found may have other voters: their majority is needed, too.
            (self.set, self.known) = (found.membership.clone(), found.rank());
            if !self.has_quorum() {
                let heard: BTreeSet<_> = self.votes.iter().map(|(voter, _)| *voter).collect();
                let others = all_voters(&self.set).difference(&heard).copied().collect();
                return ControlFlow::Break(ElectionOutcome::QueryAlso(others));
            }
        }
        ControlFlow::Break(if self.set.voters.contains(&self.me) {
            ElectionOutcome::Won(Box::new(found))
        } else {
            ElectionOutcome::NotAVoter
        })
    }

    fn has_quorum(&self) -> bool {
        has_quorum(&self.set, &assenting_voters(&self.votes))
    }

    /// The highest ballot that was promised to another, as far as those told who refused.
    pub fn highest_refused_ballot(&self) -> Ballot {
        let refused = self.votes.iter().filter_map(|(_, cast)| match cast.vote {
            Vote::Refused { promised, .. } => Some(promised),
            _ => None,
        });
        refused.max().unwrap_or_default()
    }

    /// By how many doors quotas are divided, as far as those know who granted the lease.
    pub fn proxy_count(&self) -> u32 {
        let doors = self.votes.iter().filter_map(|(_, cast)| match cast.vote {
            Vote::Granted { quota_divisor: doors, .. } => Some(doors),
            _ => None,
        });
        doors.max().unwrap_or(0)
    }
}

/// A round in which a register is to be kept by those that it names.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct AcceptRound {
    set: Membership,
    votes: Vec<(SocketAddr, VoteResponse)>,
}

impl AcceptRound {
    pub fn start(register: &Register) -> AcceptRound {
        AcceptRound { set: register.membership.clone(), votes: Vec::new() }
    }

    /// Ends when a majority keeps it (true), or none can any more.
    pub fn record_response(&mut self, voter: SocketAddr, cast: VoteResponse) -> ControlFlow<bool> {
        self.votes.push((voter, cast));
        if has_quorum(&self.set, &assenting_voters(&self.votes)) {
            return ControlFlow::Break(true);
        }
        let against = self.votes.iter().filter(|(_, cast)| matches!(cast.vote, Vote::Refused { .. }));
        match quorum_is_impossible(&self.set, &against.map(|(voter, _)| *voter).collect()) {
            true => ControlFlow::Break(false),
            false => ControlFlow::Continue(()),
        }
    }
}

/// What came of asking for another term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RenewalOutcome {
    Renewed,
    /// Too few answered, or assented.
    Incomplete,
    /// A voter has promised a higher ballot.
    Superseded,
}

/// A round in which a lease is to be renewed.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RenewalRound {
    ballot: Ballot,
    set: Membership,
    votes: Vec<(SocketAddr, VoteResponse)>,
}

impl RenewalRound {
    pub fn start(ballot: Ballot, set: Membership) -> RenewalRound {
        RenewalRound { ballot, set, votes: Vec::new() }
    }

    pub fn membership(&self) -> &Membership {
        &self.set
    }

    /// Ends when a majority renews.
    pub fn record_response(&mut self, voter: SocketAddr, cast: VoteResponse) -> ControlFlow<()> {
        self.votes.push((voter, cast));
        match self.outcome() {
            RenewalOutcome::Renewed => ControlFlow::Break(()),
            RenewalOutcome::Incomplete | RenewalOutcome::Superseded => ControlFlow::Continue(()),
        }
    }

    /// By those that have spoken.
    pub fn outcome(&self) -> RenewalOutcome {
        if has_quorum(&self.set, &assenting_voters(&self.votes)) {
            return RenewalOutcome::Renewed;
        }
        let higher = |(_, cast): &(SocketAddr, VoteResponse)| match cast.vote {
            Vote::Refused { promised, .. } => promised > self.ballot,
            _ => false,
        };
        if self.votes.iter().any(higher) { RenewalOutcome::Superseded } else { RenewalOutcome::Incomplete }
    }
}

/// A member with amnesia on its way back.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RecoveryRound {
    me: SocketAddr,
    seeds: Vec<SocketAddr>,
    incarnation: u64,
    /// The highest incarnation of its own that another had heard of before.
    heard: u64,
    told: BTreeMap<SocketAddr, VoteResponse>,
}

/// What it does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecoveryStep {
    /// It asks these, again and again.
    Query(BTreeSet<SocketAddr>),
    /// Both to be on disk, the register first, before it votes.
    Restore(Box<VoterRecord>, Box<Register>),
}

impl RecoveryRound {
    pub fn start(me: SocketAddr, seeds: Vec<SocketAddr>, chance: u64) -> RecoveryRound {
        RecoveryRound { me, seeds, incarnation: next_incarnation(0, chance), heard: 0, told: BTreeMap::new() }
    }

    /// As what it asks.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Who has told what it promised and accepted.
    pub fn respondents(&self) -> BTreeSet<SocketAddr> {
        let known = |cast: &VoteResponse| matches!(cast.vote, Vote::Recovered { .. });
        self.told.iter().filter(|(_, cast)| known(cast)).map(|(member, _)| *member).collect()
    }

    pub fn record_response(&mut self, member: SocketAddr, cast: VoteResponse) {
        if let Vote::Superseded { incarnation } = cast.vote {
            self.heard = incarnation.max(self.heard);
        }
        self.told.insert(member, cast);
    }

    /// By all that was told so far.
    pub fn next_step(&mut self, chance: u64) -> RecoveryStep {
        if self.heard > self.incarnation {
            // What was told counts only for an incarnation that is above all others.
            self.incarnation = next_incarnation(self.heard, chance);
            self.told.clear();
        }
        match recovery(self.me, &self.seeds, &self.told) {
            RecoveryDecision::Recover { promised, register } => {
                let promise = VoterRecord {
                    ballot: promised,
                    promised_to: None,
                    initial_members: register.membership.voters.clone(),
                    proxy_count: 0,
                    incarnation: self.incarnation,
                    incarnations: incarnations(self.told.iter().map(|(member, cast)| (*member, cast))),
                };
                RecoveryStep::Restore(Box::new(promise), register)
            }
            RecoveryDecision::Query(missing) => {
                // Seeds that were down may be up again, and what was told long ago may be no news.
                let mut hear: BTreeSet<_> = missing.into_iter().chain(self.seeds.iter().copied()).collect();
                hear.remove(&self.me);
                RecoveryStep::Query(hear)
            }
        }
    }
}

#[cfg(test)]
mod tests;
