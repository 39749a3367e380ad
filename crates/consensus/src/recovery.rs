//! Recovery of a member with amnesia: one whose disk was lost, and that no longer knows what it promised and accepted.
//!
//! It takes no part in voting until it has recovered. It asks the seeds of its configuration, and all voters that their
//! answers name, for what they have promised and accepted, and takes over the highest ballot and the newest register.
//!
//! # Whose answers are enough
//!
//! A seed may be stale: one that was unreachable while the set of voters changed names an old set. So the newest register
//! among the answers names the set of which a majority has to have answered. That is safe as a change of the set is
//! accepted by a majority of the set before it, too (see `membership`): a majority of an old set cannot be unaware of the
//! next one.
//!
//! Where the power failed in the first moments, no register was ever accepted, and perhaps no majority remembers the first
//! set. Then all have to be heard, and each has to be blank or to have amnesia itself; the cluster starts again with its
//! seeds, provided that all were configured with the same ones.
//!
//! The member answers under a new incarnation, which those that it asked write to disk before they answer (see
//! `incarnation`).

use crate::incarnation::{latest_incarnations, next_incarnation};
use crate::membership::{all_voters, has_quorum, initial_membership};
use crate::voter::VoterRecord;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use vanewharf_protocol::messages::{Ballot, Register, Revision, Vote, VoteResponse};

/// A member with amnesia on its way back, as the owner of the network drives it: ask, record the responses, look at the
/// next step, and so on.
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
    /// It asks these, again and again.
    Query(BTreeSet<SocketAddr>),
    /// It writes both to disk, the register first, before it votes.
    Restore(Box<VoterRecord>, Box<Register>),
}

impl RecoveryRound {
    /// Begins under an incarnation that is likely to be new; `random` goes into it.
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

    /// Who has told what it promised and accepted.
    pub fn respondents(&self) -> BTreeSet<SocketAddr> {
        let told = |response: &VoteResponse| matches!(response.vote, Vote::Recovered { .. });
        self.responses.iter().filter(|(_, response)| told(response)).map(|(member, _)| *member).collect()
    }

    /// Takes in one response; it replaces an earlier one of the same member.
    pub fn record_response(&mut self, member: SocketAddr, response: VoteResponse) {
        if let Vote::Superseded { incarnation } = response.vote {
            self.highest_known_incarnation = incarnation.max(self.highest_known_incarnation);
        }
        self.responses.insert(member, response);
    }

    /// By all responses so far. Where another incarnation of this member is known that is not below the current one, it
    /// begins anew under a higher one, into which `random` goes.
    pub fn next_step(&mut self, random: u64) -> RecoveryStep {
        if self.highest_known_incarnation > self.incarnation {
            // Answers to a lower incarnation do not bar the votes of the one in between.
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
    /// These have to be heard first; empty where those that answered have to be asked again.
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

/// The responses of the other members, by what they say.
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
        let heard = |peer: &SocketAddr| answered.contains(peer) || self.amnesic.contains_key(peer);
        let never_accepted = newest.revision == Revision(0) && peers.iter().all(heard);
        if has_quorum(&newest.membership, &answered) || never_accepted {
            let promised = self.highest_promised_ballot().max(newest.ballot);
            return RecoveryDecision::Recover { promised, register: Box::new(newest.clone()) };
        }
        RecoveryDecision::Query(peers.difference(&answered).copied().collect())
    }

    /// Where nobody that answered remembers any register: only if all seeds have amnesia.
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
