//! The state of the modelled cluster, what may happen to it, and how much of each.
//!
//! Every decision is made by the crate's own code. The model adds what the controller's replica does around it
//! (`programs/controller/src/replica/`), and the faults: messages arrive in any order, late, twice or never, writes fail,
//! machines crash and restart with or without their disk, and clocks drift.

use crate::member::Member;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use vanewharf_clock::Timestamp;
use vanewharf_protocol::messages::{Ballot, Membership, Revision, VoteRequest, VoteResponse};

/// By how much a member's clock advances in one tick of true time, in tenths of a millisecond. Two slow ticks are as long as
/// a lease at the leaseholder, and two fast ones as long as a lease at a voter: the two clocks are as far apart as the safety
/// margin allows.
pub const SLOW_CLOCK: u64 = 6250;
pub const FAST_CLOCK: u64 = 7500;

/// The epoch of the initial voters.
const INITIAL_EPOCH: u64 = 1;
const EPOCHS_PER_CHANGE: u64 = 2;
const CLOCK_ORIGIN: u64 = 1_000_000_000;
/// How many seeds members are configured with, at most.
const MAX_SEEDS: usize = 3;

/// The address of the member at an index.
pub fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, index as u8 + 1], 7600))
}

/// The index of the member at an address.
pub fn index_of(member: SocketAddr) -> usize {
    match member {
        SocketAddr::V4(v4) => usize::from(v4.ip().octets()[3]) - 1,
        SocketAddr::V6(_) => unreachable!("the model has IPv4 alone"),
    }
}

/// How often each thing may happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Budget {
    pub ticks: u8,
    pub elections: u8,
    pub renewals: u8,
    /// Operators' changes.
    pub proposals: u8,
    pub changes_started: u8,
    pub changes_finished: u8,
    /// Leases that are given up.
    pub resignations: u8,
    pub crashes: u8,
    pub disk_losses: u8,
    /// Questions of restarted voters whether the lease is still held.
    pub inquiries: u8,
    /// Messages that are delivered twice.
    pub duplicates: u8,
    pub failed_writes: u8,
    /// Rounds that are given up, as they take too long.
    pub timeouts: u8,
    /// Committed registers that a member takes over from one that publishes them.
    pub adoptions: u8,
    /// Lost elections after which the granted votes are released.
    pub releases: u8,
}

impl Budget {
    pub const fn none() -> Budget {
        Budget {
            ticks: 0,
            elections: 0,
            renewals: 0,
            proposals: 0,
            changes_started: 0,
            changes_finished: 0,
            resignations: 0,
            crashes: 0,
            disk_losses: 0,
            inquiries: 0,
            duplicates: 0,
            failed_writes: 0,
            timeouts: 0,
            adoptions: 0,
            releases: 0,
        }
    }
}

/// A mechanism that is taken out, to see that the model catches what it guards against.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlantedFault {
    /// Votes from before a lost disk count.
    IncarnationsIgnored,
    /// A member with amnesia believes the first that responds.
    FirstSeedTrusted,
    /// A change of the set of voters needs a majority of the new set alone.
    ChangeWithoutOutgoing,
    /// A change is finished without a renewal by both sets.
    NoRenewalByBothSets,
    /// A restarted voter grants leases at once.
    NoQuietPeriod,
    /// The leaseholder acts on its lease for the entire lease duration.
    NoSafetyMargin,
    /// Two candidates may choose the same ballot.
    BallotsNotUnique,
    /// A vote is sent without its record being on disk.
    VoteBeforeWrite,
    /// A change that this leaseholder began and that was never committed is finished all the same.
    UncommittedChangeFinished,
    /// A candidate that has answered that it holds no lease wins by votes that were in flight.
    ClaimNotRenounced,
    /// A candidate asks the others before its own voter has the ballot on disk, and may take it again where it knows of nobody
    /// who promised it.
    OwnVoteNotFirst,
    /// A second round of orders is worked out on what is committed, not on the round before it, whose callers share its
    /// outcome all the same.
    RoundsNotChained,
    /// A record whose write failed counts as written when it is asked for again.
    FailedWriteForgotten,
}

/// One configuration of the model.
#[derive(Clone, Debug)]
pub struct ClusterModel {
    pub member_count: usize,
    /// How many of them, from the first on, are the voters of the first start.
    pub initial_voters: usize,
    /// By how much each member's clock advances in a tick.
    pub clock_rates: Vec<u64>,
    pub budget: Budget,
    /// How many members may be down or have amnesia at once.
    pub tolerated_losses: usize,
    /// The set of voters that the leaseholder is to change to.
    pub target_voters: Vec<usize>,
    /// The set to change to once that is in force; none where empty.
    pub later_target_voters: Vec<usize>,
    /// Whether member 0 holds the lease at the start.
    pub lease_held: bool,
    /// How many ticks ago it was granted.
    pub ticks_since_grant: u8,
    /// Whether member 0 has begun the change to `target_voters`, accepted by a bare majority of both sets: itself and those
    /// with the lowest indices.
    pub change_started: bool,
    /// Votes are received as soon as they are cast, or never, but not late: fewer states for the larger clusters.
    pub prompt_votes: bool,
    /// Whether each state is checked for liveness: from it, somebody must come to hold the lease.
    pub check_liveness: bool,
    pub planted_fault: Option<PlantedFault>,
}

impl ClusterModel {
    /// That many members, all of them voters, with equal clocks.
    pub fn with_members(member_count: usize, budget: Budget) -> ClusterModel {
        ClusterModel {
            member_count,
            initial_voters: member_count,
            clock_rates: vec![FAST_CLOCK; member_count],
            budget,
            tolerated_losses: (member_count - 1) / 2,
            target_voters: Vec::new(),
            later_target_voters: Vec::new(),
            lease_held: true,
            ticks_since_grant: 0,
            change_started: false,
            prompt_votes: false,
            check_liveness: false,
            planted_fault: None,
        }
    }

    /// Gives members that were added their clocks, too.
    pub fn with_clocks_for_all(mut self) -> ClusterModel {
        self.clock_rates.resize(self.member_count, FAST_CLOCK);
        self
    }

    pub fn has(&self, fault: PlantedFault) -> bool {
        self.planted_fault == Some(fault)
    }

    /// The set of voters that comes after this membership. A change that is in progress is concluded first.
    pub fn next_voters(&self, committed: &Membership) -> Vec<SocketAddr> {
        if !committed.outgoing.is_empty() {
            return committed.voters.clone();
        }
        let first: Vec<_> = self.target_voters.iter().map(|voter| address(*voter)).collect();
        let is_first_in_force = committed.voters == first && !self.later_target_voters.is_empty();
        match is_first_in_force || self.is_later_in_force(committed) {
            true => self.later_target_voters.iter().map(|voter| address(*voter)).collect(),
            false => first,
        }
    }

    /// Whether this is the set that no further change follows.
    pub fn is_last_set(&self, membership: &Membership) -> bool {
        let changes = [&self.target_voters, &self.later_target_voters];
        let changes = changes.iter().filter(|voters| !voters.is_empty()).count() as u64;
        membership.epoch == INITIAL_EPOCH + changes * EPOCHS_PER_CHANGE
    }

    fn is_later_in_force(&self, committed: &Membership) -> bool {
        let later: Vec<_> = self.later_target_voters.iter().map(|voter| address(*voter)).collect();
        committed.voters == later
    }

    /// The set that was in force before a membership, with its epoch. Each change takes two epochs.
    pub fn voters_before(&self, committed: &Membership) -> (Vec<SocketAddr>, u64) {
        match self.is_later_in_force(committed) && committed.epoch > INITIAL_EPOCH + EPOCHS_PER_CHANGE {
            true => {
                let first = self.target_voters.iter().map(|voter| address(*voter)).collect();
                (first, INITIAL_EPOCH + EPOCHS_PER_CHANGE)
            }
            false => (self.initial_voter_addresses(), INITIAL_EPOCH),
        }
    }

    /// What a member's clock shows.
    pub fn now(&self, state: &ClusterState, member: usize) -> Timestamp {
        Timestamp(CLOCK_ORIGIN + u64::from(state.tick) * self.clock_rates[member])
    }

    pub fn seeds(&self) -> Vec<SocketAddr> {
        (0..self.initial_voters.min(MAX_SEEDS)).map(address).collect()
    }

    pub fn initial_voter_addresses(&self) -> Vec<SocketAddr> {
        (0..self.initial_voters).map(address).collect()
    }

    /// What every member's clock shows at the start.
    pub fn start_time() -> Timestamp {
        Timestamp(CLOCK_ORIGIN)
    }
}

/// A request in flight, or the response to it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Message {
    pub requester: usize,
    pub round: u8,
    pub voter: usize,
    pub request: VoteRequest,
    pub response: Option<VoteResponse>,
}

/// What was committed under one revision.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Committed {
    pub values: BTreeSet<String>,
    pub membership: Membership,
    /// Of the leaseholder that acknowledged it first.
    pub ballot: Ballot,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ClusterState {
    pub tick: u8,
    pub remaining: Budget,
    pub members: Vec<Member>,
    /// In a fixed order, so that states that differ in the order alone are the same.
    pub messages: Vec<Message>,
    /// All elections that were won, with the values that were found.
    pub elections_won: BTreeMap<Ballot, BTreeSet<String>>,
    /// All that was acknowledged.
    pub acknowledged: BTreeMap<Revision, Committed>,
    /// The invariant that the last step has broken.
    pub violation: Option<&'static str>,
}

impl ClusterState {
    /// All values that were acknowledged.
    pub fn acknowledged_values(&self) -> BTreeSet<String> {
        self.acknowledged.values().flat_map(|committed| committed.values.iter().cloned()).collect()
    }

    /// All values that were acknowledged under lower ballots.
    pub fn values_acknowledged_below(&self, ballot: Ballot) -> BTreeSet<String> {
        let earlier = self.acknowledged.values().filter(|committed| committed.ballot < ballot);
        earlier.flat_map(|committed| committed.values.iter().cloned()).collect()
    }

    /// Whether messages of that round are in flight.
    pub fn has_messages_of(&self, requester: usize, round: u8) -> bool {
        self.messages.iter().any(|message| message.requester == requester && message.round == round)
    }

    /// Sorts messages into their fixed order and removes duplicates.
    pub fn normalize_messages(&mut self) {
        self.messages.sort_by_key(|message| {
            (message.requester, message.round, message.voter, message.response.is_some())
        });
        self.messages.dedup();
    }
}

/// What may happen next. Members are identified by their indices.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    Tick,
    Campaign(usize),
    Renew(usize),
    Propose(usize),
    BeginChange(usize),
    FinishChange(usize),
    /// The leaseholder gives the lease up.
    Resign(usize),
    Crash(usize),
    /// It crashes, and its disk is lost.
    LoseDisk(usize),
    Restart(usize),
    /// A restarted voter asks the candidate to which it had promised its ballot whether that one still holds the lease.
    Inquire(usize),
    TimeOut(usize),
    /// The first takes over the committed register that the second publishes.
    Adopt(usize, usize),
    Deliver(Message),
    /// It is delivered, and stays in flight.
    DeliverTwice(Message),
    /// It is delivered, and the vote is lost.
    DeliverWithoutResponse(Message),
    /// The request is delivered, and the voter's write fails.
    DeliverWithFailedWrite(Message),
}
