//! One voter of the set that grants the lease and keeps the operator's register.
//!
//! It promises ballots and accepts values as in a register that one holder at a time writes: what a majority kept under one
//! ballot is found by whoever gets a majority's grants under a later one, and written again before anything new. An
//! vote may be said only when what it promises is on disk, so each call gives the vote together with what to save
//! first; the owner does one after the other.

use crate::membership::initial_membership;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use vanewharf_clock::Timestamp;
use vanewharf_protocol::messages::{Ballot, Register, Vote, VoteRequest, VoteResponse};

/// How long a granted lease lasts at its voter.
pub const LEASE_DURATION: Duration = Duration::from_millis(1500);
/// By how much sooner its holder stops than any voter of its majority forgets it.
pub const LEASE_SAFETY_MARGIN: Duration = Duration::from_millis(250);
/// How often it is renewed.
pub const RENEWAL_INTERVAL: Duration = Duration::from_millis(400);

/// What a voter has on disk.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VoterRecord {
    pub ballot: Ballot,
    /// Whom the ballot was promised to.
    #[serde(rename = "holder")]
    pub promised_to: Option<SocketAddr>,
    /// The voters of the first start, until a register names others.
    #[serde(rename = "founders")]
    pub initial_members: Vec<SocketAddr>,
    /// By how many doors quotas were last divided, as far as it knows: after all processes were killed nobody else
    /// can say, and the doors that come by first are not all.
    #[serde(rename = "doors", default)]
    pub proxy_count: u32,
    /// Goes up whenever this machine comes back without what it had promised.
    #[serde(default)]
    pub incarnation: u64,
    /// What the others have come back as: votes of before count for nothing beside this voter's.
    #[serde(default)]
    pub incarnations: BTreeMap<SocketAddr, u64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Lease {
    ballot: Ballot,
    holder: SocketAddr,
    until: Timestamp,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Voter {
    promised: Ballot,
    /// Whom that was promised to.
    promised_to: Option<SocketAddr>,
    proxy_count: u32,
    register: Register,
    lease: Option<Lease>,
    /// Grants given before this start may last until then.
    grants_suspended_until: Timestamp,
    /// It has forgotten what it promised.
    amnesic: bool,
    seeds: Vec<SocketAddr>,
    initial_members: Vec<SocketAddr>,
    incarnation: u64,
    incarnations: BTreeMap<SocketAddr, u64>,
    /// What is not on disk yet, as that refused it or is slow: saved with the next vote that goes by it.
    unsaved: Unsaved,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Unsaved {
    ballot: bool,
    incarnations: bool,
}

/// What is to be on disk before the vote is said.
#[derive(Clone, Debug)]
pub enum DurableWrite {
    VoterRecord(VoterRecord),
    Register(Box<Register>),
}

pub struct VoterOutput {
    pub vote: Vote,
    pub write: Option<DurableWrite>,
}

impl VoterOutput {
    fn say(vote: Vote) -> VoterOutput {
        VoterOutput { vote, write: None }
    }
}

impl Voter {
    /// With what was found on disk; `first` where this is the first start of all, so that nothing was ever granted, and the
    /// seeds are the voters.
    pub fn start(
        found: Option<&VoterRecord>,
        register: Option<Register>,
        seeds: &[SocketAddr],
        first: bool,
        now: Timestamp,
    ) -> Voter {
        let nothing = VoterRecord {
            ballot: Ballot::default(),
            promised_to: None,
            initial_members: if first { seeds.to_vec() } else { Vec::new() },
            proxy_count: 0,
            incarnation: 0,
            incarnations: BTreeMap::new(),
        };
        let promise = found.cloned().unwrap_or(nothing);
        let blank = |initial_members: &[SocketAddr]| {
            let membership = if initial_members.is_empty() {
                Default::default()
            } else {
                initial_membership(initial_members.to_vec())
            };
            Register { membership, ..Register::empty() }
        };
        let register = register.unwrap_or_else(|| blank(&promise.initial_members));
        Voter {
            promised: promise.ballot.max(register.ballot),
            promised_to: promise.promised_to,
            proxy_count: promise.proxy_count,
            register,
            lease: None,
            grants_suspended_until: if first { now } else { now.after(LEASE_DURATION) },
            amnesic: found.is_none() && !first,
            seeds: seeds.to_vec(),
            initial_members: promise.initial_members,
            incarnation: promise.incarnation,
            incarnations: promise.incarnations,
            unsaved: Unsaved::default(),
        }
    }

    /// What is to be on disk of what it promised.
    pub fn record(&self) -> VoterRecord {
        VoterRecord {
            ballot: self.promised,
            promised_to: self.promised_to,
            initial_members: self.initial_members.clone(),
            proxy_count: self.proxy_count,
            incarnation: self.incarnation,
            incarnations: self.incarnations.clone(),
        }
    }

    /// A vote as it goes out.
    pub fn response(&self, vote: Vote) -> VoteResponse {
        VoteResponse { incarnation: self.incarnation, incarnations: self.incarnations.clone(), vote }
    }

    pub fn proxy_count(&self) -> u32 {
        self.proxy_count
    }

    /// Quotas are divided by so many doors now; what to save, where that is news.
    pub fn update_proxy_count(&mut self, proxy_count: u32) -> Option<DurableWrite> {
        let news = proxy_count != 0 && proxy_count != self.proxy_count && !self.amnesic;
        self.proxy_count = if news { proxy_count } else { self.proxy_count };
        news.then(|| DurableWrite::VoterRecord(self.record()))
    }

    pub fn is_amnesic(&self) -> bool {
        self.amnesic
    }

    pub fn promised_ballot(&self) -> Ballot {
        self.promised
    }

    /// Where it has promised a ballot, and that is on disk.
    pub fn persisted_ballot(&self) -> Option<Ballot> {
        (!self.amnesic && !self.unsaved.ballot).then_some(self.promised)
    }

    pub fn register(&self) -> &Register {
        &self.register
    }

    /// Whose lease this voter goes by.
    pub fn leaseholder(&self, now: Timestamp) -> Option<SocketAddr> {
        self.lease.filter(|lease| lease.until > now).map(|lease| lease.holder)
    }

    /// Whether it may try for the lease itself.
    pub fn may_campaign(&self, now: Timestamp) -> bool {
        !self.amnesic && now >= self.grants_suspended_until && self.leaseholder(now).is_none()
    }

    /// Whether another one holds the lease.
    fn leased_to_other(&self, holder: SocketAddr, now: Timestamp) -> bool {
        self.lease.is_some_and(|lease| lease.until > now && lease.holder != holder)
    }

    pub fn handle_vote_request(&mut self, vote_request: VoteRequest, now: Timestamp) -> VoterOutput {
        if self.amnesic {
            return VoterOutput::say(Vote::Amnesic { seeds: self.seeds.clone() });
        }
        let refused = Vote::Refused { promised: self.promised, leaseholder: self.leaseholder(now) };
        match vote_request {
            VoteRequest::PreVote { candidate: holder } => {
                let willing = Vote::Willing { promised: self.promised };
                VoterOutput::say(if self.leased_to_other(holder, now) || now < self.grants_suspended_until {
                    refused
                } else {
                    willing
                })
            }
            VoteRequest::Lease { ballot, candidate: holder } => {
                if ballot <= self.promised
                    || self.leased_to_other(holder, now)
                    || now < self.grants_suspended_until
                {
                    return VoterOutput::say(refused);
                }
                (self.promised, self.promised_to) = (ballot, Some(holder));
                self.lease = Some(Lease { ballot, holder, until: now.after(LEASE_DURATION) });
                let vote = Vote::Granted { register: self.register.clone(), quota_divisor: self.proxy_count };
                self.unsaved.ballot = true;
                VoterOutput { vote, write: Some(DurableWrite::VoterRecord(self.record())) }
            }
            VoteRequest::Renew { ballot, leaseholder: holder } => {
                let barred = self.leased_to_other(holder, now) || now < self.grants_suspended_until;
                if ballot < self.promised || ballot > self.promised && barred {
                    return VoterOutput::say(refused);
                }
                // Promise to before a restart, too: nobody else can have been granted it since. One that heard
                // nothing of the lease when it was granted joins its majority.
                let joins = ballot > self.promised;
                (self.promised, self.promised_to) = (ballot, Some(holder));
                self.lease = Some(Lease { ballot, holder, until: now.after(LEASE_DURATION) });
                // A lease goes by the ballot alone: it lasts also while the disk is slow to take anything else.
                self.unsaved.ballot |= joins;
                let write = self.unsaved.ballot.then(|| DurableWrite::VoterRecord(self.record()));
                VoterOutput { vote: Vote::Accepted, write }
            }
            VoteRequest::Accept { register } => {
                // One that names nobody to keep it is none.
                let unsound = register.membership.epoch == 0;
                if unsound || register.ballot < self.promised || register.rank() < self.register.rank() {
                    return VoterOutput::say(refused);
                }
                // A holder gives a number once, so it is the same register told again.
                if register.rank() == self.register.rank() {
                    return VoterOutput::say(Vote::Accepted);
                }
                VoterOutput { vote: Vote::Accepted, write: Some(DurableWrite::Register(Box::new(register))) }
            }
            VoteRequest::Release { ballot } => {
                if self.lease.is_some_and(|lease| lease.ballot == ballot) {
                    self.lease = None;
                }
                VoterOutput::say(Vote::Accepted)
            }
            VoteRequest::Recover { member, incarnation } => {
                let known = self.incarnations.get(&member).copied().unwrap_or(0);
                if incarnation < known {
                    return VoterOutput::say(Vote::Superseded { incarnation: known });
                }
                self.incarnations.insert(member, incarnation);
                let vote = Vote::Recovered { promised: self.promised, register: self.register.clone() };
                self.unsaved.incarnations |= incarnation > known;
                let unsaved = self.unsaved.incarnations || self.unsaved.ballot;
                VoterOutput { vote, write: unsaved.then(|| DurableWrite::VoterRecord(self.record())) }
            }
        }
    }

    /// The one it promised to before this start holds nothing any more, as it says itself.
    pub fn end_quiet_period(&mut self, ballot: Ballot, now: Timestamp) {
        if ballot == self.promised && self.lease.is_none() {
            self.grants_suspended_until = self.grants_suspended_until.min(now);
        }
    }

    /// What is certain to be in force, as its holder makes it known: it is kept whatever has been promised since, as it was
    /// decided before. Nobody counts this as a vote.
    pub fn adopt_committed_register(&self, register: &Register) -> Option<DurableWrite> {
        let newer = !self.amnesic && register.membership.epoch > 0 && register.rank() > self.register.rank();
        newer.then(|| DurableWrite::Register(Box::new(register.clone())))
    }

    /// It is on disk. What could not be saved is never said to be kept.
    pub fn mark_persisted(&mut self, save: DurableWrite) {
        match save {
            DurableWrite::VoterRecord(saved) => {
                // A later one may be on its way.
                self.unsaved.ballot &= saved.ballot != self.promised;
                self.unsaved.incarnations &= saved.incarnations != self.incarnations;
            }
            // Of two that are on their way the newer one stands.
            DurableWrite::Register(register) if register.rank() < self.register.rank() => {}
            DurableWrite::Register(register) => {
                self.promised = self.promised.max(register.ballot);
                self.register = *register;
            }
        }
    }

    /// What a member with amnesia was told, once that and the new incarnation are on disk.
    pub fn complete_recovery(&mut self, recovered: &VoterRecord, register: Register, now: Timestamp) {
        self.promised = recovered.ballot.max(register.ballot);
        self.register = register;
        self.initial_members = recovered.initial_members.clone();
        self.incarnation = recovered.incarnation;
        self.incarnations = recovered.incarnations.clone();
        // What it granted before it forgot.
        self.grants_suspended_until = now.after(LEASE_DURATION);
        (self.amnesic, self.unsaved) = (false, Unsaved::default());
    }
}

/// An incarnation above the one that was heard of, and hardly any other's: a machine that loses its disk twice in a row may
/// count from the same one.
pub fn next_incarnation(heard: u64, chance: u64) -> u64 {
    (((heard >> INCARNATION_BITS) + 1) << INCARNATION_BITS) | chance & ((1 << INCARNATION_BITS) - 1)
}

const INCARNATION_BITS: u32 = 32;

/// A ballot above all that were seen, and no other machine's: its low bits are the machine's whole IPv4 address (the pages
/// have no other network; of IPv6 the last 32 bits stand for it).
pub fn next_ballot(seen: Ballot, me: SocketAddr) -> Ballot {
    let own = match me.ip() {
        IpAddr::V4(ip) => u64::from(ip.to_bits()),
        IpAddr::V6(ip) => ip.to_bits() as u64 & OWN,
    };
    Ballot((((seen.0 >> OWN_BITS) + 1) << OWN_BITS) | own)
}

const OWN_BITS: u32 = 32;
const OWN: u64 = (1 << OWN_BITS) - 1;

#[cfg(test)]
mod tests;
