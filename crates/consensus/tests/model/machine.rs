//! The voters, the lease and the change of members as a state machine for the model checker. Every decision
//! is the product's own code (`Voter`, `membership`, `election`); what is written here is what the owner of
//! the network does with it (`postmaster/src/office.rs`), and all that may go wrong on the way: messages come
//! in any order, late, twice or never, disks refuse, machines end and come back with their disk or without,
//! and clocks run apart.

use stateright::{Model, Property};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use vanewharf_clock::Timestamp;
use vanewharf_consensus::{AcceptRound, BallotClaim, Election, HeldLease, RecoveryRound, RenewalRound};
use vanewharf_consensus::{StartKind, Voter, VoterRecord};
use vanewharf_consensus::{all_voters, has_quorum};
use vanewharf_protocol::messages::{
    Ballot, Membership, Register, RegisterRank, Revision, VoteRequest, VoteResponse,
};

/// What a member's clock goes on in one tick of true time, in tenths of a millisecond. Two slow ticks are a
/// holder's whole lease and two fast ones a voter's, so that these two are as far apart as the margin bears.
pub const SLOW: u64 = 6250;
pub const FAST: u64 = 7500;

const ORIGIN: u64 = 1_000_000_000;

pub fn addr(place: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, place as u8 + 1], 7600))
}

pub fn place(member: SocketAddr) -> usize {
    match member {
        SocketAddr::V4(v4) => usize::from(v4.ip().octets()[3]) - 1,
        SocketAddr::V6(_) => unreachable!("the model has IPv4 alone"),
    }
}

/// How often each thing may happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Budget {
    pub ticks: u8,
    pub tries: u8,
    pub renewals: u8,
    pub values: u8,
    pub changes: u8,
    pub conclusions: u8,
    pub leaves: u8,
    pub crashes: u8,
    pub wipes: u8,
    pub inquiries: u8,
    /// Messages delivered twice.
    pub repeats: u8,
    /// Disk writes that fail.
    pub refusals: u8,
    /// Rounds that are given up on, as they take too long.
    pub timeouts: u8,
    /// Settled registers that a member learns from another that makes them known.
    pub learns: u8,
    /// Lost elections after which the votes are released.
    pub releases: u8,
}

/// A mechanism that is taken out, to see that the model catches what it guards against.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Planted {
    IncarnationsNotCounted,
    FirstSeedBelieved,
    ChangeWithoutOutgoing,
    NoRenewalByBoth,
    NoQuietTerm,
    NoMargin,
    BallotsNotUnique,
    PromiseBeforeDisk,
    /// A change that this holder began and that was never kept is concluded all the same.
    ConcludedUnkept,
    /// A candidate that says it holds nothing wins by votes that were on their way.
    NotDisowned,
    /// A promise that the disk refused counts as saved when it is asked for again.
    RefusalForgotten,
}

impl Budget {
    pub const fn none() -> Budget {
        Budget {
            ticks: 0,
            tries: 0,
            renewals: 0,
            values: 0,
            changes: 0,
            conclusions: 0,
            leaves: 0,
            crashes: 0,
            wipes: 0,
            inquiries: 0,
            repeats: 0,
            refusals: 0,
            timeouts: 0,
            releases: 0,
            learns: 0,
        }
    }
}

#[derive(Clone, Debug)]
pub struct Lease {
    pub members: usize,
    pub founders: usize,
    pub clocks: Vec<u64>,
    pub budget: Budget,
    /// How many may be without their say at once.
    pub losses: usize,
    /// The set that the holder is to change to.
    pub change: Vec<usize>,
    /// Whether member 0 holds the lease at the start.
    pub held: bool,
    /// How many ticks ago it was granted.
    pub since: u8,
    /// Whether it has begun that change, and a bare majority of both sets keeps it: itself and those that
    /// stand first.
    pub begun: bool,
    /// Votes are heard as soon as they are cast, or never: fewer states for the larger shapes. None is late.
    pub prompt: bool,
    /// Whether it is tried from each state that a holder comes about.
    pub live: bool,
    pub planted: Option<Planted>,
}

impl Lease {
    /// All clocks alike.
    pub fn of(members: usize, budget: Budget) -> Lease {
        let clocks = vec![FAST; members];
        let (losses, change) = ((members - 1) / 2, Vec::new());
        Lease {
            members,
            founders: members,
            clocks,
            budget,
            losses,
            change,
            held: true,
            since: 0,
            begun: false,
            prompt: false,
            live: false,
            planted: None,
        }
    }

    pub fn has(&self, planted: Planted) -> bool {
        self.planted == Some(planted)
    }

    pub fn now(&self, state: &State, member: usize) -> Timestamp {
        Timestamp(ORIGIN + u64::from(state.tick) * self.clocks[member])
    }

    pub fn seeds(&self) -> Vec<SocketAddr> {
        (0..self.founders.min(3)).map(addr).collect()
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Purpose {
    Settle,
    Value,
    Begin,
    Conclude,
}

/// One process with its disk; what is not on it is gone with the process.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Member {
    pub up: bool,
    pub voter: Voter,
    pub promise: Option<VoterRecord>,
    pub register: Option<Register>,
    /// The rounds it ever began, so that votes of those that are over are told apart.
    pub rounds: u8,
    pub seen: Ballot,
    pub claim: BallotClaim,
    pub election: Option<(u8, Ballot, Timestamp, Election)>,
    pub term: Option<HeldLease>,
    pub next: Revision,
    /// The last that was proposed for the operator's orders, certain or not: the next one holds what it
    /// changed.
    pub proposed: Option<Register>,
    pub renewing: Option<(u8, Timestamp, RenewalRound)>,
    pub keeping: Option<(u8, Purpose, Register, AcceptRound)>,
    /// What it makes known: settled.
    pub store: Option<Register>,
    /// It began a change, and both sets have not renewed its lease since.
    pub unrenewed: bool,
    pub recovering: Option<(u8, RecoveryRound)>,
}

impl Member {
    /// As `Office::newest_set`.
    pub fn newest_set(&self) -> (Membership, RegisterRank) {
        let settled = self.store.as_ref().filter(|register| register.rank() > self.voter.register().rank());
        let register = settled.unwrap_or(self.voter.register());
        (register.membership.clone(), register.rank())
    }

    pub fn membership(&self) -> Membership {
        self.newest_set().0
    }

    pub fn settled_set(&self) -> Membership {
        self.store.as_ref().map(|register| register.membership.clone()).unwrap_or_default()
    }

    /// Whether it has its say.
    pub fn votes(&self) -> bool {
        self.up && !self.voter.is_amnesic()
    }
}

/// A request on its way, or the vote on its way back.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Envelope {
    pub owner: usize,
    pub round: u8,
    pub voter: usize,
    pub request: VoteRequest,
    pub vote: Option<VoteResponse>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    pub tick: u8,
    pub left: Budget,
    pub members: Vec<Member>,
    /// In a fixed order, so that states that differ in it alone are one.
    pub net: Vec<Envelope>,
    /// All elections that were won, with the values that were found.
    pub won: BTreeMap<Ballot, BTreeSet<String>>,
    /// All that was acknowledged.
    pub acknowledged: BTreeMap<Revision, (BTreeSet<String>, Membership)>,
    pub broken: Option<&'static str>,
}

impl State {
    pub fn values(&self) -> BTreeSet<String> {
        self.acknowledged.values().flat_map(|(values, _)| values.iter().cloned()).collect()
    }

    pub fn tidy(&mut self) {
        self.net.sort_by_key(|one| (one.owner, one.round, one.voter, one.vote.is_some()));
        self.net.dedup();
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    Tick,
    Try(usize),
    Renew(usize),
    Propose(usize),
    Begin(usize),
    Conclude(usize),
    Leave(usize),
    Crash(usize),
    Wipe(usize),
    Restart(usize),
    /// A restarted voter asks whom it had promised to whether that one still holds the lease.
    Inquire(usize),
    TimeOut(usize),
    /// The first learns what the second makes known.
    Learn(usize, usize),
    Deliver(Envelope),
    Repeat(Envelope),
    /// The vote is lost; where votes are late this is one that stays on its way.
    Mute(Envelope),
    /// The request comes, and the voter's disk refuses.
    Refuse(Envelope),
}

pub const ONE_HOLDER: &str = "never two holders whose lease runs at one moment";
pub const KEPT: &str = "what was acknowledged is lacked by no majority";
pub const FOUND: &str = "what was acknowledged is found by every later holder";
pub const ONE_VALUE: &str = "never two registers acknowledged under one number";
pub const LEFT: &str = "a set is left only when a majority of it knows of the next";
pub const READ: &str = "a holder's read has all that was acknowledged before";
pub const LIVE: &str =
    "with all up and all delivered, a holder comes about that has all that was acknowledged";

impl Lease {
    fn one_holder(&self, state: &State) -> bool {
        let holds = |(place, member): &(usize, &Member)| {
            member.up && member.term.is_some_and(|term| term.is_valid(self.now(state, *place)))
        };
        state.members.iter().enumerate().filter(holds).count() <= 1
    }

    /// Those with a say and without it could elect one that lacks it. One with an empty disk has no say
    /// before it has heard of it; one that is down counts by its disk.
    fn kept(&self, state: &State) -> bool {
        let Some((_, (_, membership))) = state.acknowledged.last_key_value() else {
            return true;
        };
        let values = state.values();
        let lacks = |member: &SocketAddr| {
            let member = &state.members[place(*member)];
            let has = |register: &Register| values.is_subset(&register.evacuated);
            let forgot = if member.up { member.voter.is_amnesic() } else { member.promise.is_none() };
            !forgot && !member.register.as_ref().is_some_and(has)
        };
        let lacking: BTreeSet<_> = all_voters(membership).into_iter().filter(lacks).collect();
        values.is_empty() || !has_quorum(membership, &lacking)
    }

    /// Of the founders, who are the only set that is left here.
    fn left(&self, state: &State) -> bool {
        let founders: Vec<_> = (0..self.founders).map(addr).collect();
        let concluded =
            |membership: &Membership| membership.outgoing.is_empty() && membership.voters != founders;
        let last = state.acknowledged.last_key_value();
        if !last.is_some_and(|(_, (_, membership))| concluded(membership)) {
            return true;
        }
        let unaware = |founder: &SocketAddr| {
            let member = &state.members[place(*founder)];
            let forgot = if member.up { member.voter.is_amnesic() } else { member.promise.is_none() };
            let knows = |register: &Register| register.membership.epoch > 1;
            !forgot && !member.register.as_ref().is_some_and(knows)
        };
        let unaware = founders.iter().copied().filter(unaware).collect();
        !has_quorum(&Membership { epoch: 1, voters: founders, outgoing: Vec::new() }, &unaware)
    }

    fn read(&self, state: &State) -> bool {
        let values = state.values();
        state.members.iter().enumerate().all(|(place, member)| {
            let serves = member.up && member.term.is_some_and(|term| term.may_serve(self.now(state, place)));
            let has = |register: &Register| values.is_subset(&register.evacuated);
            !serves || values.is_empty() || member.store.as_ref().is_some_and(has)
        })
    }
}

impl Model for Lease {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let founders: Vec<_> = (0..self.founders).map(addr).collect();
        let member = |place: usize| {
            // Machines that came later have followed the others, and have long recovered.
            let first = place < self.founders;
            let founded = Voter::start(None, None, &founders, StartKind::Initial, Timestamp(ORIGIN));
            let (promise, seeds) = (founded.record(), self.seeds());
            let mut voter = Voter::start(
                Some(&promise),
                None,
                &seeds,
                if first { StartKind::Initial } else { StartKind::Restart },
                Timestamp(ORIGIN),
            );
            voter.end_quiet_period(Ballot(0), Timestamp(ORIGIN));
            Member {
                up: true,
                voter,
                promise: Some(promise),
                register: None,
                rounds: 0,
                seen: Ballot(0),
                claim: BallotClaim::default(),
                election: None,
                term: None,
                next: Revision(0),
                proposed: None,
                renewing: None,
                keeping: None,
                store: None,
                unrenewed: false,
                recovering: None,
            }
        };
        let mut state = State {
            tick: 0,
            left: Budget::none(),
            members: (0..self.members).map(member).collect(),
            net: Vec::new(),
            won: BTreeMap::new(),
            acknowledged: BTreeMap::new(),
            broken: None,
        };
        if self.held {
            // By a bare majority: the holder and those that stand last.
            state = self.step(&state, Action::Try(0)).expect("nobody holds it");
            let asked = state.net.clone();
            let grants = |one: &&Envelope| one.voter == 0 || one.voter > (self.founders - 1) / 2;
            for envelope in asked.iter().filter(grants) {
                state = self.step(&state, Action::Deliver(envelope.clone())).expect("it grants");
            }
            while let Some(vote) = state.net.iter().find(|one| one.vote.is_some()).cloned() {
                state = self.step(&state, Action::Deliver(vote)).expect("it counts");
            }
            state.net.clear();
        }
        if self.begun {
            state.left = Budget { changes: 1, ..Budget::none() };
            state = self.step(&state, Action::Begin(0)).expect("it holds the lease");
            while state.members[0].settled_set().outgoing.is_empty() {
                state = self.step(&state, Action::Deliver(state.net[0].clone())).expect("it is kept");
                while let Some(vote) = state.net.iter().find(|one| one.vote.is_some()).cloned() {
                    state = self.step(&state, Action::Deliver(vote)).expect("it counts");
                }
            }
            state.net.clear();
        }
        if self.held {
            assert!(
                state.members[0].term.is_some_and(|term| term.register_committed),
                "member 0 holds the lease"
            );
        }
        (state.left, state.tick) = (self.budget, self.since);
        vec![state]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        self.possible(state, actions);
    }

    fn next_state(&self, state: &State, action: Action) -> Option<State> {
        self.step(state, action)
    }

    fn properties(&self) -> Vec<Property<Lease>> {
        vec![
            Property::always(ONE_HOLDER, |model, state| model.one_holder(state)),
            Property::always(KEPT, |model, state| model.kept(state)),
            Property::always(FOUND, |_, state: &State| state.broken != Some(FOUND)),
            Property::always(ONE_VALUE, |_, state: &State| state.broken != Some(ONE_VALUE)),
            Property::always(LEFT, |model, state| model.left(state)),
            Property::always(READ, |model, state| model.read(state)),
            Property::always(LIVE, |model, state| !model.live || model.goes_on(state)),
        ]
    }
}

impl Lease {
    /// A step as one reads it.
    pub fn tell(&self, state: &State, action: &Action) -> String {
        let asks = |one: &Envelope| {
            let what = match &one.request {
                VoteRequest::Lease { ballot, .. } => format!("Lease under {}", short(*ballot)),
                VoteRequest::PreVote { .. } => "PreVote".to_owned(),
                VoteRequest::Renew { ballot, .. } => format!("Renew under {}", short(*ballot)),
                VoteRequest::Release { ballot } => format!("Release of {}", short(*ballot)),
                VoteRequest::Recover { incarnation, .. } => format!("Recover as incarnation {incarnation:x}"),
                VoteRequest::Accept { register } => {
                    let voters: Vec<_> = register.membership.voters.iter().map(|one| place(*one)).collect();
                    let (ballot, no) = (short(register.ballot), register.revision.0);
                    format!("Accept no {no} under {ballot} {:?} voters {voters:?}", register.evacuated)
                }
            };
            match &one.vote {
                None => format!("{} hears from {}: {what}", one.voter, one.owner),
                Some(cast) => {
                    let vote = format!("{:?}", cast.vote);
                    let vote = vote.split([' ', '{']).next().unwrap_or_default().to_owned();
                    format!("{} hears of {}: {vote} ({what})", one.owner, one.voter)
                }
            }
        };
        let step = match action {
            Action::Deliver(one) => asks(one),
            Action::Repeat(one) => format!("{} (and will again)", asks(one)),
            Action::Mute(one) => format!("{}, and its vote is lost", asks(one)),
            Action::Refuse(one) => format!("{}, and its disk refuses", asks(one)),
            other => format!("{other:?}"),
        };
        format!("tick {}: {step}", state.tick)
    }
}

/// Which try, and by whom.
fn short(ballot: Ballot) -> String {
    format!("{}.{}", ballot.0 >> 32, (ballot.0 & 0xff).saturating_sub(1))
}

impl Lease {
    /// Newcomers' clocks, too.
    pub fn clocked(mut self) -> Lease {
        self.clocks.resize(self.members, FAST);
        self
    }
}
