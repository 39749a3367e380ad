//! Recovery of a member with amnesia, whose disk was lost and which no longer knows what it promised and accepted.
//!
//! The member takes no part in voting until it has recovered. It asks the seeds of its configuration, and all voters
//! that their responses name, what they have promised and accepted, and takes over the highest ballot and the newest
//! register.
//!
//! # Whose responses suffice
//!
//! A seed may be stale: if it was unreachable while the set of voters changed, it names an old set. So responses are
//! needed from a majority of the set that the newest register among them names. That is safe because a change is also
//! accepted by a majority of the set before it (see `membership`): a majority of an old set always includes a voter
//! that knows of the next.
//!
//! If the power failed soon after the first start, no register was ever accepted, and there may be no majority that
//! remembers anything. Then all members have to respond, each either without an accepted register or with amnesia
//! itself. If no member remembers anything, the cluster starts again from its seeds, provided that all members were
//! configured with the same seeds.
//!
//! The member sends its requests under a new incarnation, which the others write to disk before they respond (see
//! `incarnation`).

use crate::incarnation::{latest_incarnations, next_incarnation};
use crate::membership::{all_voters, has_quorum, initial_membership};
use crate::voter::VoterRecord;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use vanewharf_protocol::messages::{Ballot, Register, Revision, Vote, VoteResponse};

/// The recovery of a member with amnesia. The caller asks the members that [`RecoveryRound::next_step`] names, records
/// their responses, and repeats that until the step is [`RecoveryStep::Restore`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RecoveryRound {
    member: SocketAddr,
    seeds: Vec<SocketAddr>,
    incarnation: u64,
    /// The highest incarnation of this member that a response has named.
    highest_known_incarnation: u64,
    /// The last response of each member since the current incarnation was chosen.
    responses: BTreeMap<SocketAddr, VoteResponse>,
}

/// What a member with amnesia does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecoveryStep {
    /// It asks these members, and records their responses.
    Query(BTreeSet<SocketAddr>),
    /// It writes both to disk, the register first, before it votes again.
    Restore(Box<VoterRecord>, Box<Register>),
}

impl RecoveryRound {
    /// Starts a recovery under a new incarnation, whose low bits are taken from `random`.
    pub fn start(member: SocketAddr, seeds: Vec<SocketAddr>, random: u64) -> RecoveryRound {
        RecoveryRound {
            member,
            seeds,
            incarnation: next_incarnation(0, random),
            highest_known_incarnation: 0,
            responses: BTreeMap::new(),
        }
    }

    /// Returns the incarnation under which requests are sent. [`RecoveryRound::next_step`] may raise it.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns the members that have reported what they promised and accepted.
    pub fn respondents(&self) -> BTreeSet<SocketAddr> {
        let has_reported = |response: &VoteResponse| matches!(response.vote, Vote::Recovered { .. });
        let reported = self.responses.iter().filter(|(_, response)| has_reported(response));
        reported.map(|(member, _)| *member).collect()
    }

    /// Records one response, which replaces an earlier one of the same member.
    pub fn record_response(&mut self, member: SocketAddr, response: VoteResponse) {
        if let Vote::Superseded { incarnation } = response.vote {
            self.highest_known_incarnation = incarnation.max(self.highest_known_incarnation);
        }
        self.responses.insert(member, response);
    }

    /// Returns what to do by all responses recorded so far. If a response named a later incarnation of this member, all
    /// responses are discarded and the recovery starts again under a higher incarnation, whose low bits are taken from
    /// `random`.
    pub fn next_step(&mut self, random: u64) -> RecoveryStep {
        if self.highest_known_incarnation > self.incarnation {
            // Members that responded to the lower incarnation have not recorded the higher one, and would still count
            // votes of the incarnation in between.
            self.incarnation = next_incarnation(self.highest_known_incarnation, random);
            self.responses.clear();
        }
        match decide_recovery(self.member, &self.seeds, &self.responses) {
            RecoveryDecision::Recover { promised, register } => {
                RecoveryStep::Restore(Box::new(self.recovered_record(promised, &register)), register)
            }
            RecoveryDecision::Query(missing) => {
                // Seeds that were down may be up again, and their earlier responses may be out of date.
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

/// What the responses recorded so far allow a member with amnesia to do.
#[derive(Debug)]
pub(crate) enum RecoveryDecision {
    /// These members have to respond first. The set is empty if the members that responded have to be asked again.
    Query(BTreeSet<SocketAddr>),
    /// The member recovers the highest ballot that was promised, and the newest register that was accepted.
    Recover { promised: Ballot, register: Box<Register> },
}

/// Decides the recovery of `member` by the responses of the other members.
pub(crate) fn decide_recovery(
    member: SocketAddr,
    seeds: &[SocketAddr],
    responses: &BTreeMap<SocketAddr, VoteResponse>,
) -> RecoveryDecision {
    let peers = PeerResponses::collect(member, responses);
    match peers.newest_register() {
        Some(newest) => peers.decide_by_register(member, newest),
        None => peers.decide_without_register(member, seeds),
    }
}

/// The responses of the other members, by kind.
struct PeerResponses<'a> {
    /// The promised ballot and the accepted register of each member without amnesia.
    recovered: BTreeMap<SocketAddr, (Ballot, &'a Register)>,
    /// The seeds of each member that has amnesia itself.
    amnesic_seeds: BTreeMap<SocketAddr, &'a [SocketAddr]>,
}

impl<'a> PeerResponses<'a> {
    fn collect(member: SocketAddr, responses: &'a BTreeMap<SocketAddr, VoteResponse>) -> PeerResponses<'a> {
        let mut collected = PeerResponses { recovered: BTreeMap::new(), amnesic_seeds: BTreeMap::new() };
        for (peer, response) in responses.iter().filter(|(peer, _)| **peer != member) {
            match &response.vote {
                Vote::Recovered { promised, register } => {
                    collected.recovered.insert(*peer, (*promised, register));
                }
                Vote::Amnesic { seeds } => {
                    collected.amnesic_seeds.insert(*peer, seeds);
                }
                _ => {}
            }
        }
        collected
    }

    fn newest_register(&self) -> Option<&'a Register> {
        let registers = self.recovered.values().map(|(_, register)| *register);
        registers.max_by_key(|register| (register.rank(), register.membership.epoch))
    }

    fn highest_promised_ballot(&self) -> Ballot {
        self.recovered.values().map(|(promised, _)| *promised).max().unwrap_or_default()
    }

    /// Decides by whether a majority of the set that the newest register names has responded.
    fn decide_by_register(&self, member: SocketAddr, newest: &Register) -> RecoveryDecision {
        let respondents: BTreeSet<_> = self.recovered.keys().copied().collect();
        let mut peers = all_voters(&newest.membership);
        peers.remove(&member);
        let has_responded =
            |peer: &SocketAddr| respondents.contains(peer) || self.amnesic_seeds.contains_key(peer);
        let never_accepted = newest.revision == Revision(0) && peers.iter().all(has_responded);
        if has_quorum(&newest.membership, &respondents) || never_accepted {
            let promised = self.highest_promised_ballot().max(newest.ballot);
            return RecoveryDecision::Recover { promised, register: Box::new(newest.clone()) };
        }
        RecoveryDecision::Query(peers.difference(&respondents).copied().collect())
    }

    /// Decides where no response reports a register: the member recovers only if it is a seed, and if all other seeds
    /// have amnesia and were configured with the same seeds.
    fn decide_without_register(&self, member: SocketAddr, seeds: &[SocketAddr]) -> RecoveryDecision {
        let membership = initial_membership(seeds.to_vec());
        let has_same_seeds = |seed: &SocketAddr| {
            self.amnesic_seeds
                .get(seed)
                .is_some_and(|theirs| initial_membership(theirs.to_vec()) == membership)
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
