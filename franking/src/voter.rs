//! One voter of the set that grants the lease and keeps the operator's register.
//!
//! It promises ballots and accepts values as in a register that one holder at a time writes: what a majority kept under one
//! ballot is found by whoever gets a majority's grants under a later one, and written again before anything new. An
//! vote may be said only when what it promises is on disk, so each call gives the vote together with what to save
//! first; the owner does one after the other.

use serde::{Deserialize, Serialize};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use vanewharf_mailroom::clock::At;
use vanewharf_mailroom::messages::{Ballot, Register, Vote, VoteRequest};

/// How long a granted lease lasts at its voter.
pub const TERM: Duration = Duration::from_millis(1500);
/// By how much sooner its holder stops than any voter of its majority forgets it.
pub const MARGIN: Duration = Duration::from_millis(250);
/// How often it is renewed.
pub const RENEWED: Duration = Duration::from_millis(400);

/// What a voter has on disk.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Promise {
    pub ballot: Ballot,
    /// Whom the ballot was promised to.
    pub holder: Option<SocketAddr>,
    /// The set that this voter belongs to, or knows.
    pub voters: Vec<SocketAddr>,
    /// By how many doors quotas were last divided, as far as it knows: after all processes were killed nobody else
    /// can say, and the doors that come by first are not all.
    #[serde(default)]
    pub doors: u32,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    ballot: Ballot,
    holder: SocketAddr,
    until: At,
}

pub struct Voter {
    promised: Ballot,
    /// Whom that was promised to.
    to: Option<SocketAddr>,
    doors: u32,
    register: Register,
    lease: Option<Lease>,
    /// Grants given before this start may last until then.
    quiet_until: At,
    /// It has forgotten what it swore.
    amnesic: bool,
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
    /// With what was found on disk; `first` where this is the first start of all, so that nothing was ever granted.
    pub fn start(promised: Option<&Promise>, register: Option<Register>, first: bool, now: At) -> Voter {
        let amnesic = promised.is_none() && !first;
        let register = register.unwrap_or_else(Register::none);
        let (to, doors) = promised.map_or((None, 0), |promised| (promised.holder, promised.doors));
        let promised = promised.map(|promised| promised.ballot).unwrap_or_default().max(register.ballot);
        let quiet_until = if first { now } else { now.after(TERM) };
        Voter { promised, to, doors, register, lease: None, quiet_until, amnesic }
    }

    /// What is to be on disk of what it swore.
    pub fn record(&self) -> Promise {
        Promise { ballot: self.promised, holder: self.to, voters: Vec::new(), doors: self.doors }
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

    pub fn register(&self) -> &Register {
        &self.register
    }

    /// Whose lease this voter goes by.
    pub fn holder(&self, now: At) -> Option<SocketAddr> {
        self.lease.filter(|lease| lease.until > now).map(|lease| lease.holder)
    }

    /// Whether it may try for the lease itself.
    pub fn vacant(&self, now: At) -> bool {
        !self.amnesic && now >= self.quiet_until && self.holder(now).is_none()
    }

    pub fn hear(&mut self, vote_request: VoteRequest, now: At) -> Step {
        if let VoteRequest::Recover = vote_request {
            let told = Vote::Known { promised: self.promised, register: self.register.clone() };
            return Step::say(if self.amnesic { Vote::Unable } else { told });
        }
        if self.amnesic {
            return Step::say(Vote::Unable);
        }
        let refused = Vote::Refused { promised: self.promised, holder: self.holder(now) };
        match vote_request {
            VoteRequest::Lease { ballot, holder } => {
                let taken = self.lease.is_some_and(|lease| lease.until > now && lease.holder != holder);
                if ballot <= self.promised || taken || now < self.quiet_until {
                    return Step::say(refused);
                }
                (self.promised, self.to) = (ballot, Some(holder));
                self.lease = Some(Lease { ballot, holder, until: now.after(TERM) });
                let vote = Vote::Granted { register: self.register.clone(), doors: self.doors };
                Step { vote, save: Some(Save::Promise(self.record())) }
            }
            VoteRequest::Renew { ballot, holder } => {
                let taken = self.lease.is_some_and(|lease| lease.until > now && lease.holder != holder);
                if ballot < self.promised || ballot > self.promised && (taken || now < self.quiet_until) {
                    return Step::say(refused);
                }
                // Promise to before a restart, too: nobody else can have been granted it since. One that heard
                // nothing of the lease when it was granted joins its majority.
                let joins = ballot > self.promised;
                (self.promised, self.to) = (ballot, Some(holder));
                self.lease = Some(Lease { ballot, holder, until: now.after(TERM) });
                Step { vote: Vote::Accepted, save: joins.then(|| Save::Promise(self.record())) }
            }
            VoteRequest::Accept { register } => {
                if register.ballot < self.promised || register.rank() < self.register.rank() {
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
            VoteRequest::Recover => Step::say(refused),
        }
    }

    /// The one it swore to before this start holds nothing any more, as it says itself.
    pub fn released(&mut self, ballot: Ballot, now: At) {
        if ballot == self.promised && self.lease.is_none() {
            self.quiet_until = self.quiet_until.min(now);
        }
    }

    /// It is on disk. What could not be saved is never said to be kept.
    pub fn saved(&mut self, save: Save) {
        if let Save::Register(register) = save {
            self.promised = self.promised.max(register.ballot);
            self.register = *register;
        }
    }

    /// What one that had forgotten was told, once it is on disk.
    pub fn restore(&mut self, promised: Ballot, register: Register, now: At) {
        self.promised = promised.max(register.ballot);
        self.register = register;
        // What it granted before it forgot.
        self.quiet_until = now.after(TERM);
        self.amnesic = false;
    }
}

/// What a majority of the others remembers, for one that has forgotten: to be on disk before it votes again.
pub fn recovered(told: Vec<(Ballot, Register)>) -> (Ballot, Register) {
    let promised = told.iter().map(|(promised, _)| *promised).max().unwrap_or_default();
    let register = told
        .into_iter()
        .map(|(_, register)| register)
        .max_by_key(Register::rank)
        .unwrap_or_else(Register::none);
    (promised.max(register.ballot), register)
}

/// Whether one that has forgotten may go by what the others told: a majority remembers; or all were heard and none has
/// any register, so that none was ever acknowledged: the power went in the first moments of all.
pub fn enough(told: &[(Ballot, Register)], unable: usize, others: usize, voters: usize) -> bool {
    let blank = told.iter().all(|(_, register)| register.no.0 == 0);
    told.len() >= majority(voters) || blank && told.len() + unable == others
}

/// How many of so many voters are a majority.
pub fn majority(voters: usize) -> usize {
    voters / 2 + 1
}

/// A ballot above all that were seen, and no other voter's: its low bits are of the voter's address.
pub fn above(seen: Ballot, me: SocketAddr) -> Ballot {
    let own = match me.ip() {
        IpAddr::V4(ip) => u64::from(ip.to_bits()) & OWN,
        IpAddr::V6(ip) => ip.to_bits() as u64 & OWN,
    };
    Ballot((((seen.0 >> OWN_BITS) + 1) << OWN_BITS) | own)
}

const OWN_BITS: u32 = 24;
const OWN: u64 = (1 << OWN_BITS) - 1;

/// How many voters there are to be, where so many may be lost at once: enough that the rest is a majority.
pub fn wanted(losses: u64) -> usize {
    2 * losses.clamp(1, 4) as usize + 1
}

/// Whether those who assent are a majority of a set.
pub fn carries<'a>(set: &[SocketAddr], assents: impl Iterator<Item = &'a SocketAddr>) -> bool {
    assents.filter(|voter| set.contains(voter)).count() >= majority(set.len())
}

#[cfg(test)]
mod tests;
