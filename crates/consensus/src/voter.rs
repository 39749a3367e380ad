//! One voter of the set that grants the lease and keeps the operator's register.
//!
//! It promises ballots and accepts values as in a register that one holder at a time writes: what a majority kept under one
//! ballot is found by whoever gets a majority's grants under a later one, and written again before anything new. An
//! vote may be said only when what it promises is on disk, so each call gives the vote together with what to save
//! first; the owner does one after the other.

use crate::membership::founded;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use vanewharf_clock::Timestamp;
use vanewharf_protocol::messages::{Ballot, Register, Vote, VoteRequest, VoteResponse};

/// How long a granted lease lasts at its voter.
pub const TERM: Duration = Duration::from_millis(1500);
/// By how much sooner its holder stops than any voter of its majority forgets it.
pub const MARGIN: Duration = Duration::from_millis(250);
/// How often it is renewed.
pub const RENEWED: Duration = Duration::from_millis(400);

/// What a voter has on disk.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Promise {
    pub ballot: Ballot,
    /// Whom the ballot was promised to.
    pub holder: Option<SocketAddr>,
    /// The voters of the first start, until a register names others.
    pub founders: Vec<SocketAddr>,
    /// By how many doors quotas were last divided, as far as it knows: after all processes were killed nobody else
    /// can say, and the doors that come by first are not all.
    #[serde(default)]
    pub doors: u32,
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
    to: Option<SocketAddr>,
    doors: u32,
    register: Register,
    lease: Option<Lease>,
    /// Grants given before this start may last until then.
    quiet_until: Timestamp,
    /// It has forgotten what it promised.
    amnesic: bool,
    seeds: Vec<SocketAddr>,
    founders: Vec<SocketAddr>,
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
pub enum Save {
    Promise(Promise),
    Register(Box<Register>),
}

pub struct Step {
    pub vote: Vote,
    pub save: Option<Save>,
}

impl Step {
    fn say(vote: Vote) -> Step {
        Step { vote, save: None }
    }
}

impl Voter {
    /// With what was found on disk; `first` where this is the first start of all, so that nothing was ever granted, and the
    /// seeds are the voters.
    pub fn start(
        found: Option<&Promise>,
        register: Option<Register>,
        seeds: &[SocketAddr],
        first: bool,
        now: Timestamp,
    ) -> Voter {
        let nothing = Promise {
            ballot: Ballot::default(),
            holder: None,
            founders: if first { seeds.to_vec() } else { Vec::new() },
            doors: 0,
            incarnation: 0,
            incarnations: BTreeMap::new(),
        };
        let promise = found.cloned().unwrap_or(nothing);
        let blank = |founders: &[SocketAddr]| {
            let membership =
                if founders.is_empty() { Default::default() } else { founded(founders.to_vec()) };
            Register { membership, ..Register::none() }
        };
        let register = register.unwrap_or_else(|| blank(&promise.founders));
        Voter {
            promised: promise.ballot.max(register.ballot),
            to: promise.holder,
            doors: promise.doors,
            register,
            lease: None,
            quiet_until: if first { now } else { now.after(TERM) },
            amnesic: found.is_none() && !first,
            seeds: seeds.to_vec(),
            founders: promise.founders,
            incarnation: promise.incarnation,
            incarnations: promise.incarnations,
            unsaved: Unsaved::default(),
        }
    }

    /// What is to be on disk of what it promised.
    pub fn record(&self) -> Promise {
        Promise {
            ballot: self.promised,
            holder: self.to,
            founders: self.founders.clone(),
            doors: self.doors,
            incarnation: self.incarnation,
            incarnations: self.incarnations.clone(),
        }
    }

    /// A vote as it goes out.
    pub fn cast(&self, vote: Vote) -> VoteResponse {
        VoteResponse { incarnation: self.incarnation, incarnations: self.incarnations.clone(), vote }
    }

    pub fn doors(&self) -> u32 {
        self.doors
    }

    /// Quotas are divided by so many doors now; what to save, where that is news.
    pub fn count(&mut self, doors: u32) -> Option<Save> {
        let news = doors != 0 && doors != self.doors && !self.amnesic;
        self.doors = if news { doors } else { self.doors };
        news.then(|| Save::Promise(self.record()))
    }

    pub fn amnesic(&self) -> bool {
        self.amnesic
    }

    pub fn promised(&self) -> Ballot {
        self.promised
    }

    /// Where it has promised a ballot, and that is on disk.
    pub fn promised_on_disk(&self) -> Option<Ballot> {
        (!self.amnesic && !self.unsaved.ballot).then_some(self.promised)
    }

    pub fn register(&self) -> &Register {
        &self.register
    }

    /// Whose lease this voter goes by.
    pub fn holder(&self, now: Timestamp) -> Option<SocketAddr> {
        self.lease.filter(|lease| lease.until > now).map(|lease| lease.holder)
    }

    /// Whether it may try for the lease itself.
    pub fn vacant(&self, now: Timestamp) -> bool {
        !self.amnesic && now >= self.quiet_until && self.holder(now).is_none()
    }

    /// Whether another one holds the lease.
    fn taken(&self, holder: SocketAddr, now: Timestamp) -> bool {
        self.lease.is_some_and(|lease| lease.until > now && lease.holder != holder)
    }

    pub fn hear(&mut self, vote_request: VoteRequest, now: Timestamp) -> Step {
        if self.amnesic {
            return Step::say(Vote::Amnesic { seeds: self.seeds.clone() });
        }
        let refused = Vote::Refused { promised: self.promised, holder: self.holder(now) };
        match vote_request {
            VoteRequest::PreVote { holder } => {
                let willing = Vote::Willing { promised: self.promised };
                Step::say(if self.taken(holder, now) || now < self.quiet_until { refused } else { willing })
            }
            VoteRequest::Lease { ballot, holder } => {
                if ballot <= self.promised || self.taken(holder, now) || now < self.quiet_until {
                    return Step::say(refused);
                }
                (self.promised, self.to) = (ballot, Some(holder));
                self.lease = Some(Lease { ballot, holder, until: now.after(TERM) });
                let vote = Vote::Granted { register: self.register.clone(), doors: self.doors };
                self.unsaved.ballot = true;
                Step { vote, save: Some(Save::Promise(self.record())) }
            }
            VoteRequest::Renew { ballot, holder } => {
                let barred = self.taken(holder, now) || now < self.quiet_until;
                if ballot < self.promised || ballot > self.promised && barred {
                    return Step::say(refused);
                }
                // Promise to before a restart, too: nobody else can have been granted it since. One that heard
                // nothing of the lease when it was granted joins its majority.
                let joins = ballot > self.promised;
                (self.promised, self.to) = (ballot, Some(holder));
                self.lease = Some(Lease { ballot, holder, until: now.after(TERM) });
                // A lease goes by the ballot alone: it lasts also while the disk is slow to take anything else.
                self.unsaved.ballot |= joins;
                let save = self.unsaved.ballot.then(|| Save::Promise(self.record()));
                Step { vote: Vote::Accepted, save }
            }
            VoteRequest::Accept { register } => {
                // One that names nobody to keep it is none.
                let unsound = register.membership.epoch == 0;
                if unsound || register.ballot < self.promised || register.rank() < self.register.rank() {
                    return Step::say(refused);
                }
                // A holder gives a number once, so it is the same register told again.
                if register.rank() == self.register.rank() {
                    return Step::say(Vote::Accepted);
                }
                Step { vote: Vote::Accepted, save: Some(Save::Register(Box::new(register))) }
            }
            VoteRequest::Release { ballot } => {
                if self.lease.is_some_and(|lease| lease.ballot == ballot) {
                    self.lease = None;
                }
                Step::say(Vote::Accepted)
            }
            VoteRequest::Recover { member, incarnation } => {
                let known = self.incarnations.get(&member).copied().unwrap_or(0);
                if incarnation < known {
                    return Step::say(Vote::Outlived { incarnation: known });
                }
                self.incarnations.insert(member, incarnation);
                let vote = Vote::Known { promised: self.promised, register: self.register.clone() };
                self.unsaved.incarnations |= incarnation > known;
                let unsaved = self.unsaved.incarnations || self.unsaved.ballot;
                Step { vote, save: unsaved.then(|| Save::Promise(self.record())) }
            }
        }
    }

    /// The one it promised to before this start holds nothing any more, as it says itself.
    pub fn released(&mut self, ballot: Ballot, now: Timestamp) {
        if ballot == self.promised && self.lease.is_none() {
            self.quiet_until = self.quiet_until.min(now);
        }
    }

    /// What is certain to be in force, as its holder makes it known: it is kept whatever has been promised since, as it was
    /// decided before. Nobody counts this as a vote.
    pub fn learn(&self, register: &Register) -> Option<Save> {
        let newer = !self.amnesic && register.membership.epoch > 0 && register.rank() > self.register.rank();
        newer.then(|| Save::Register(Box::new(register.clone())))
    }

    /// It is on disk. What could not be saved is never said to be kept.
    pub fn saved(&mut self, save: Save) {
        match save {
            Save::Promise(saved) => {
                // A later one may be on its way.
                self.unsaved.ballot &= saved.ballot != self.promised;
                self.unsaved.incarnations &= saved.incarnations != self.incarnations;
            }
            // Of two that are on their way the newer one stands.
            Save::Register(register) if register.rank() < self.register.rank() => {}
            Save::Register(register) => {
                self.promised = self.promised.max(register.ballot);
                self.register = *register;
            }
        }
    }

    /// What a member with amnesia was told, once that and the new incarnation are on disk.
    pub fn restore(&mut self, recovered: &Promise, register: Register, now: Timestamp) {
        self.promised = recovered.ballot.max(register.ballot);
        self.register = register;
        self.founders = recovered.founders.clone();
        self.incarnation = recovered.incarnation;
        self.incarnations = recovered.incarnations.clone();
        // What it granted before it forgot.
        self.quiet_until = now.after(TERM);
        (self.amnesic, self.unsaved) = (false, Unsaved::default());
    }
}

/// An incarnation above the one that was heard of, and hardly any other's: a machine that loses its disk twice in a row may
/// count from the same one.
pub fn incarnation_above(heard: u64, chance: u64) -> u64 {
    (((heard >> INCARNATION_BITS) + 1) << INCARNATION_BITS) | chance & ((1 << INCARNATION_BITS) - 1)
}

const INCARNATION_BITS: u32 = 32;

/// A ballot above all that were seen, and no other machine's: its low bits are the machine's whole IPv4 address (the pages
/// have no other network; of IPv6 the last 32 bits stand for it).
pub fn above(seen: Ballot, me: SocketAddr) -> Ballot {
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
