//! Recovery of a member with amnesia: one whose disk was lost, and that no longer knows what it promised and accepted.
//!
//! It takes no part in voting until it has recovered. It asks the seeds of its configuration, and all voters that their
//! answers name, what they have promised and accepted, and takes over the highest ballot and the newest register.
//!
//! # Whose answers are enough
//!
//! A seed may be stale: one that was unreachable while the set of voters changed names an old set. So answers are needed from
//! a majority of the set that the newest register among them names. That is safe because a change is also accepted by a
//! majority of the set before it (see `membership`): a majority of an old set always includes a voter that knows of the next.
//!
//! If the power failed soon after the first start, no register was ever accepted, and there may be no majority that
//! remembers anything. Then all members have to answer, each either without any register or with amnesia itself; if nobody
//! remembers anything, the cluster starts again from its seeds, provided that all were configured with the same ones.
//!
//! The member asks under a new incarnation, which the others write to disk before they answer (see `incarnation`).

use crate::incarnation::{latest_incarnations, next_incarnation};
use crate::membership::{all_voters, has_quorum, initial_membership};
use crate::voter::VoterRecord;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use vanewharf_protocol::messages::{Ballot, Register, Revision, Vote, VoteResponse};

/// The recovery of a member with amnesia. Its owner asks the members that [`RecoveryRound::next_step`] names, records their
/// responses, and repeats that until there is something to restore.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RecoveryRound {
    member: SocketAddr,
    seeds: Vec<SocketAddr>,
    incarnation: u64,
    /// The highest incarnation of this member that another one knew of before.
    highest_known_incarnation: u64,
    /// The last response of each.
    responses: BTreeMap<SocketAddr, VoteResponse>,
}

/// What a member with amnesia does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecoveryStep {
    /// It asks these, until they decide the recovery.
    Query(BTreeSet<SocketAddr>),
    /// It writes both to disk, the register first, before it votes.
    Restore(Box<VoterRecord>, Box<Register>),
}

impl RecoveryRound {
    /// Starts under a new incarnation, whose low bits are taken from `random`.
    pub fn start(member: SocketAddr, seeds: Vec<SocketAddr>, random: u64) -> RecoveryRound {
        RecoveryRound {
            member,
            seeds,
            incarnation: next_incarnation(0, random),
            highest_known_incarnation: 0,
            responses: BTreeMap::new(),
        }
    }

    /// The incarnation under which it asks. It may rise with [`RecoveryRound::next_step`].
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// The members that have reported what they promised and accepted.
    pub fn respondents(&self) -> BTreeSet<SocketAddr> {
        let has_reported = |response: &VoteResponse| matches!(response.vote, Vote::Recovered { .. });
        let reported = self.responses.iter().filter(|(_, response)| has_reported(response));
        reported.map(|(member, _)| *member).collect()
    }

    /// Records one response; it replaces an earlier one of the same member.
    pub fn record_response(&mut self, member: SocketAddr, response: VoteResponse) {
        if let Vote::Superseded { incarnation } = response.vote {
            self.highest_known_incarnation = incarnation.max(self.highest_known_incarnation);
        }
        self.responses.insert(member, response);
    }

    /// What to do by all responses so far. If a later incarnation of this member turned out to be known, all responses are
    /// discarded and it starts again under a higher one, whose low bits are taken from `random`.
    pub fn next_step(&mut self, random: u64) -> RecoveryStep {
        if self.highest_known_incarnation > self.incarnation {
            // Those that answered the lower incarnation would still count votes of the one in between.
            self.incarnation = next_incarnation(self.highest_known_incarnation, random);
            self.responses.clear();
        }
        match decide_recovery(self.member, &self.seeds, &self.responses) {
            RecoveryDecision::Recover { promised, register } => {
                RecoveryStep::Restore(Box::new(self.recovered_record(promised, &register)), register)
            }
            RecoveryDecision::Query(missing) => {
                // Seeds that were down may be up again, and their earlier answers may be out of date.
                let mut members: BTreeSet<_> =
                    missing.into_iter().chain(self.seeds.iter().copied()).collect();
                members.remove(&self.member);
                RecoveryStep::Query(members)
            }
        }
    }

    fn recovered_record(&self, promised: Ballot, register: &Register) -> VoterRecord {
        let responses = self.responses.iter().map(|(member, response)| (*member, response));
        VoterRecord {
            ballot: promised,
            promised_to: None,
            initial_members: register.membership.voters.clone(),
            quota_divisor: 0,
            incarnation: self.incarnation,
            peer_incarnations: latest_incarnations(responses),
        }
    }
}

/// What the responses so far allow a member with amnesia to do.
#[derive(Debug)]
pub(crate) enum RecoveryDecision {
    /// These have to answer first; empty if those that answered have to be asked again.
    Query(BTreeSet<SocketAddr>),
    /// The highest ballot that was promised, and the newest register that was accepted.
    Recover { promised: Ballot, register: Box<Register> },
}

/// Decides by the responses of all that were asked.
pub(crate) fn decide_recovery(
    member: SocketAddr,
    seeds: &[SocketAddr],
    responses: &BTreeMap<SocketAddr, VoteResponse>,
) -> RecoveryDecision {
    let answers = PeerAnswers::collect(member, responses);
    match answers.newest_register() {
        Some(newest) => answers.decide_by_register(member, newest),
        None => answers.decide_without_register(member, seeds),
    }
}

/// The responses of the other members, by kind.
struct PeerAnswers<'a> {
    /// What each that remembers has promised and accepted.
    known: BTreeMap<SocketAddr, (Ballot, &'a Register)>,
    /// The seeds of each that has amnesia itself.
    amnesic: BTreeMap<SocketAddr, &'a [SocketAddr]>,
}

impl<'a> PeerAnswers<'a> {
    fn collect(member: SocketAddr, responses: &'a BTreeMap<SocketAddr, VoteResponse>) -> PeerAnswers<'a> {
        let mut answers = PeerAnswers { known: BTreeMap::new(), amnesic: BTreeMap::new() };
        for (peer, response) in responses.iter().filter(|(peer, _)| **peer != member) {
            match &response.vote {
                Vote::Recovered { promised, register } => {
                    answers.known.insert(*peer, (*promised, register));
                }
                Vote::Amnesic { seeds } => {
                    answers.amnesic.insert(*peer, seeds);
                }
                _ => {}
            }
        }
        answers
    }

    fn newest_register(&self) -> Option<&'a Register> {
        let registers = self.known.values().map(|(_, register)| *register);
        registers.max_by_key(|register| (register.rank(), register.membership.epoch))
    }

    fn highest_promised_ballot(&self) -> Ballot {
        self.known.values().map(|(promised, _)| *promised).max().unwrap_or_default()
    }

    /// By a majority of the set that the newest register names.
    fn decide_by_register(&self, member: SocketAddr, newest: &Register) -> RecoveryDecision {
        let answered: BTreeSet<_> = self.known.keys().copied().collect();
        let mut peers = all_voters(&newest.membership);
        peers.remove(&member);
        let has_responded = |peer: &SocketAddr| answered.contains(peer) || self.amnesic.contains_key(peer);
        let never_accepted = newest.revision == Revision(0) && peers.iter().all(has_responded);
        if has_quorum(&newest.membership, &answered) || never_accepted {
            let promised = self.highest_promised_ballot().max(newest.ballot);
            return RecoveryDecision::Recover { promised, register: Box::new(newest.clone()) };
        }
        RecoveryDecision::Query(peers.difference(&answered).copied().collect())
    }

    /// If nobody that answered remembers anything: only if all seeds have amnesia and were configured alike.
    fn decide_without_register(&self, member: SocketAddr, seeds: &[SocketAddr]) -> RecoveryDecision {
        let membership = initial_membership(seeds.to_vec());
        let has_same_seeds = |seed: &SocketAddr| {
            self.amnesic.get(seed).is_some_and(|theirs| initial_membership(theirs.to_vec()) == membership)
        };
        let peers = seeds.iter().filter(|seed| **seed != member);
        if seeds.contains(&member) && peers.clone().all(has_same_seeds) {
            let register = Register { membership, ..Register::empty() };
            return RecoveryDecision::Recover { promised: Ballot::default(), register: Box::new(register) };
        }
        RecoveryDecision::Query(peers.copied().collect())
    }
}

#[cfg(test)]
mod tests;
