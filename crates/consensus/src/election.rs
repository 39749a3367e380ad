//! What a candidate for the lease, its holder and a member with amnesia decide by the votes that they are
//! told, one after the other. Whoever owns the network asks, feeds what comes back, and does what is said
//! here; the model checker under `tests/` feeds the same code with every order of votes that there is.

use crate::membership::{Recovery, assents, carries, everyone, hopeless, incarnations, newest, recovery};
use crate::voter::{MARGIN, Promise, TERM, incarnation_above};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::ops::ControlFlow;
use vanewharf_clock::Timestamp;
use vanewharf_protocol::messages::{Ballot, Membership, Register, Revision, Vote, VoteResponse};

/// By which registers are told apart.
pub type Rank = (Ballot, Revision);

/// A lease in hand.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Term {
    pub ballot: Ballot,
    pub until: Timestamp,
    /// What was kept before is kept under this ballot too, so that orders may be taken.
    pub settled: bool,
}

impl Term {
    /// Granted by a majority that was asked at that time or later.
    pub fn won(ballot: Ballot, asked: Timestamp) -> Term {
        Term { ballot, until: asked.after(TERM - MARGIN), settled: false }
    }

    /// Renewed by a majority that was asked then; answers may come out of turn.
    pub fn renewed(self, asked: Timestamp) -> Term {
        Term { until: asked.after(TERM - MARGIN).max(self.until), ..self }
    }

    pub fn lasts(&self, now: Timestamp) -> bool {
        self.until > now
    }

    /// Whether its holder may act by it.
    pub fn serves(&self, now: Timestamp) -> bool {
        self.settled && self.lasts(now)
    }
}

/// The ballot under which a machine tries for the lease or holds it. Who has said that it holds nothing under
/// it, never will: votes for it may still be on their way.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Claim {
    ballot: Ballot,
    disowned: bool,
}

impl Claim {
    pub fn on(ballot: Ballot) -> Claim {
        Claim { ballot, disowned: false }
    }

    /// A voter that promised that ballot and was restarted asks whether it is still held.
    pub fn asked(&mut self, ballot: Ballot, term: Option<Term>, now: Timestamp) -> bool {
        let held = term.is_some_and(|term| term.ballot == ballot && term.lasts(now));
        self.disowned |= !held && self.ballot == ballot;
        held
    }

    /// Whether votes for that ballot may still be gone by.
    pub fn stands(&self, ballot: Ballot) -> bool {
        self.ballot == ballot && !self.disowned
    }
}

/// Asks whether a lease would be granted, before any ballot is promised.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Canvass {
    set: Membership,
    votes: Vec<(SocketAddr, VoteResponse)>,
}

impl Canvass {
    pub fn begin(set: Membership) -> Canvass {
        Canvass { set, votes: Vec::new() }
    }

    /// Ends where a majority is willing, with the highest ballot that any of those has promised who spoke.
    pub fn hear(&mut self, voter: SocketAddr, cast: VoteResponse) -> ControlFlow<Ballot> {
        self.votes.push((voter, cast));
        if !carries(&self.set, &assents(&self.votes)) {
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
    known: Rank,
    votes: Vec<(SocketAddr, VoteResponse)>,
}

/// Where an election stands once that is decided. One in which all have spoken before that is lost.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The register that was found has other voters: these have to be asked, too.
    Ask(BTreeSet<SocketAddr>),
    /// With the register to be kept under the new ballot before anything else.
    Won(Box<Register>),
    /// One that has left the set must not lead.
    Left,
}

impl Election {
    /// By the newest set that the candidate knows.
    pub fn begin(me: SocketAddr, set: Membership, known: Rank) -> Election {
        Election { me, set, known, votes: Vec::new() }
    }

    pub fn set(&self) -> &Membership {
        &self.set
    }

    pub fn hear(&mut self, voter: SocketAddr, cast: VoteResponse) -> ControlFlow<Outcome> {
        self.votes.push((voter, cast));
        if !self.carried() {
            return ControlFlow::Continue(());
        }
        let found = newest(&self.votes);
        if found.rank() > self.known {
            // The register that is found may have other voters: their majority is needed, too.
            (self.set, self.known) = (found.membership.clone(), found.rank());
            if !self.carried() {
                let heard: BTreeSet<_> = self.votes.iter().map(|(voter, _)| *voter).collect();
                let others = everyone(&self.set).difference(&heard).copied().collect();
                return ControlFlow::Break(Outcome::Ask(others));
            }
        }
        ControlFlow::Break(if self.set.voters.contains(&self.me) {
            Outcome::Won(Box::new(found))
        } else {
            Outcome::Left
        })
    }

    fn carried(&self) -> bool {
        carries(&self.set, &assents(&self.votes))
    }

    /// The highest ballot that was promised to another, as far as those told who refused.
    pub fn overtaken_by(&self) -> Ballot {
        let refused = self.votes.iter().filter_map(|(_, cast)| match cast.vote {
            Vote::Refused { promised, .. } => Some(promised),
            _ => None,
        });
        refused.max().unwrap_or_default()
    }

    /// By how many doors quotas are divided, as far as those know who granted the lease.
    pub fn doors(&self) -> u32 {
        let doors = self.votes.iter().filter_map(|(_, cast)| match cast.vote {
            Vote::Granted { doors, .. } => Some(doors),
            _ => None,
        });
        doors.max().unwrap_or(0)
    }
}

/// A round in which a register is to be kept by those that it names.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Keeping {
    set: Membership,
    votes: Vec<(SocketAddr, VoteResponse)>,
}

impl Keeping {
    pub fn begin(register: &Register) -> Keeping {
        Keeping { set: register.membership.clone(), votes: Vec::new() }
    }

    /// Ends when a majority keeps it (true), or none can any more.
    pub fn hear(&mut self, voter: SocketAddr, cast: VoteResponse) -> ControlFlow<bool> {
        self.votes.push((voter, cast));
        if carries(&self.set, &assents(&self.votes)) {
            return ControlFlow::Break(true);
        }
        let against = self.votes.iter().filter(|(_, cast)| matches!(cast.vote, Vote::Refused { .. }));
        match hopeless(&self.set, &against.map(|(voter, _)| *voter).collect()) {
            true => ControlFlow::Break(false),
            false => ControlFlow::Continue(()),
        }
    }
}

/// What came of asking for another term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Renewal {
    Carried,
    /// Too few answered, or assented.
    Short,
    /// A voter has promised a higher ballot.
    Overtaken,
}

/// A round in which a lease is to be renewed.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Renewing {
    ballot: Ballot,
    set: Membership,
    votes: Vec<(SocketAddr, VoteResponse)>,
}

impl Renewing {
    pub fn begin(ballot: Ballot, set: Membership) -> Renewing {
        Renewing { ballot, set, votes: Vec::new() }
    }

    pub fn set(&self) -> &Membership {
        &self.set
    }

    /// Ends when a majority renews.
    pub fn hear(&mut self, voter: SocketAddr, cast: VoteResponse) -> ControlFlow<()> {
        self.votes.push((voter, cast));
        match self.outcome() {
            Renewal::Carried => ControlFlow::Break(()),
            Renewal::Short | Renewal::Overtaken => ControlFlow::Continue(()),
        }
    }

    /// By those that have spoken.
    pub fn outcome(&self) -> Renewal {
        if carries(&self.set, &assents(&self.votes)) {
            return Renewal::Carried;
        }
        let higher = |(_, cast): &(SocketAddr, VoteResponse)| match cast.vote {
            Vote::Refused { promised, .. } => promised > self.ballot,
            _ => false,
        };
        if self.votes.iter().any(higher) { Renewal::Overtaken } else { Renewal::Short }
    }
}

/// A member with amnesia on its way back.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Recovering {
    me: SocketAddr,
    seeds: Vec<SocketAddr>,
    incarnation: u64,
    /// The highest incarnation of its own that another had heard of before.
    heard: u64,
    told: BTreeMap<SocketAddr, VoteResponse>,
}

/// What it does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Turn {
    /// It asks these, again and again.
    Ask(BTreeSet<SocketAddr>),
    /// Both to be on disk, the register first, before it votes.
    Restore(Box<Promise>, Box<Register>),
}

impl Recovering {
    pub fn begin(me: SocketAddr, seeds: Vec<SocketAddr>, chance: u64) -> Recovering {
        Recovering { me, seeds, incarnation: incarnation_above(0, chance), heard: 0, told: BTreeMap::new() }
    }

    /// As what it asks.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Who has told what it promised and accepted.
    pub fn known(&self) -> BTreeSet<SocketAddr> {
        let known = |cast: &VoteResponse| matches!(cast.vote, Vote::Known { .. });
        self.told.iter().filter(|(_, cast)| known(cast)).map(|(member, _)| *member).collect()
    }

    pub fn hear(&mut self, member: SocketAddr, cast: VoteResponse) {
        if let Vote::Outlived { incarnation } = cast.vote {
            self.heard = incarnation.max(self.heard);
        }
        self.told.insert(member, cast);
    }

    /// By all that was told so far.
    pub fn turn(&mut self, chance: u64) -> Turn {
        if self.heard > self.incarnation {
            // What was told counts only for an incarnation that is above all others.
            self.incarnation = incarnation_above(self.heard, chance);
            self.told.clear();
        }
        match recovery(self.me, &self.seeds, &self.told) {
            Recovery::Done { promised, register } => {
                let promise = Promise {
                    ballot: promised,
                    holder: None,
                    founders: register.membership.voters.clone(),
                    doors: 0,
                    incarnation: self.incarnation,
                    incarnations: incarnations(self.told.iter().map(|(member, cast)| (*member, cast))),
                };
                Turn::Restore(Box::new(promise), register)
            }
            Recovery::Hear(missing) => {
                // Seeds that were down may be up again, and what was told long ago may be no news.
                let mut hear: BTreeSet<_> = missing.into_iter().chain(self.seeds.iter().copied()).collect();
                hear.remove(&self.me);
                Turn::Ask(hear)
            }
        }
    }
}

#[cfg(test)]
mod tests;
