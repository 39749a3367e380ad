//! The state of the modelled cluster, the actions that may change it, and the budget that bounds their number.
//!
//! Every decision of the protocol is made by the crate's own code. The model adds what the controller's replica does
//! around it (`programs/controller/src/replica/`), and the faults: messages arrive in any order, late, twice or never,
//! writes fail, machines crash and restart with or without their disk, and clocks drift.

use crate::member::Member;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use vanewharf_clock::Timestamp;
use vanewharf_protocol::messages::{Ballot, Membership, Revision, VoteRequest, VoteResponse};

/// The advance of a slow and of a fast clock in one tick of true time, in tenths of a millisecond. Two ticks of a slow
/// clock are as long as a lease at the leaseholder, and two ticks of a fast one as long as a lease at a voter: the two
/// clocks differ by the greatest drift that the safety margin allows.
pub const SLOW_CLOCK_RATE: u64 = 6250;
pub const FAST_CLOCK_RATE: u64 = 7500;

/// The epoch of the first set of voters.
const INITIAL_EPOCH: u64 = 1;
/// A change takes one epoch for the joint membership and one for the new set alone.
const EPOCHS_PER_CHANGE: u64 = 2;
/// The time that every clock shows at the start, in tenths of a millisecond.
const CLOCK_ORIGIN: u64 = 1_000_000_000;
/// The highest number of seeds that members are configured with.
const MAX_SEEDS: usize = 3;

/// Returns the address of the member with this index.
pub fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, index as u8 + 1], 7600))
}

/// Returns the index of the member with this address.
pub fn index_of(member: SocketAddr) -> usize {
    match member {
        SocketAddr::V4(v4) => usize::from(v4.ip().octets()[3]) - 1,
        SocketAddr::V6(_) => unreachable!("the model has only IPv4 addresses"),
    }
}

/// How often each kind of event may happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Budget {
    pub ticks: u8,
    pub elections: u8,
    pub renewals: u8,
    /// Operators' changes that are proposed.
    pub proposals: u8,
    pub changes_started: u8,
    pub changes_finished: u8,
    /// Leases that the leaseholder gives up.
    pub resignations: u8,
    pub crashes: u8,
    pub disk_losses: u8,
    /// Queries of restarted voters whether the lease that they may have granted is still held.
    pub lease_queries: u8,
    /// Messages that are delivered twice.
    pub duplicates: u8,
    pub failed_writes: u8,
    /// Timeouts, at which a member abandons its election and its oldest accept round.
    pub timeouts: u8,
    /// Committed registers that a member takes over from another one that publishes them.
    pub adoptions: u8,
    /// Lost elections after which the granted leases are released.
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
            lease_queries: 0,
            duplicates: 0,
            failed_writes: 0,
            timeouts: 0,
            adoptions: 0,
            releases: 0,
        }
    }
}

/// A mechanism of the protocol that is disabled, to check that the model checker detects the fault that it prevents.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// Votes that a member cast before it lost its disk are counted.
    IncarnationsIgnored,
    /// A member with amnesia takes over the state of the first member that reports one.
    FirstSeedTrusted,
    /// A change of the set of voters needs only a majority of the new set.
    ChangeWithoutOutgoing,
    /// A change is finished without a lease renewal by both sets.
    NoRenewalByBothSets,
    /// A restarted voter grants leases immediately.
    NoGrantSuspension,
    /// The leaseholder acts on its lease for the entire lease duration.
    NoSafetyMargin,
    /// Two candidates may choose the same ballot.
    BallotsNotUnique,
    /// A vote is sent although the voter's record is not on disk.
    VoteBeforeWrite,
    /// A leaseholder finishes a change that it began although the joint membership was never committed.
    UncommittedChangeFinished,
    /// A candidate that has answered that it holds no lease may still win by votes that were in flight.
    ClaimNotRenounced,
    /// A candidate sends its requests before its own voter has the ballot on disk, and may choose the same ballot again
    /// if it knows of no voter that promised it.
    OwnVoteNotFirst,
    /// A second concurrent accept round is based on the committed register instead of the register of the round before,
    /// but its success still acknowledges the changes of the round before.
    RoundsNotChained,
    /// A record whose write failed counts as persisted, so that a repeated request is answered without a write.
    FailedWriteMarkedPersisted,
}

/// One configuration of the model.
#[derive(Clone, Debug)]
pub struct ClusterModel {
    pub member_count: usize,
    /// How many members, starting with member 0, are the voters at the first start of the cluster.
    pub initial_voters: usize,
    /// The advance of each member's clock in one tick, in tenths of a millisecond.
    pub clock_rates: Vec<u64>,
    pub budget: Budget,
    /// How many members may be down or have amnesia at the same time.
    pub tolerated_losses: usize,
    /// The set of voters to which the leaseholder changes; empty if it does not change the set.
    pub target_voters: Vec<usize>,
    /// The set of voters to which the leaseholder changes next; empty if there is no second change.
    pub later_target_voters: Vec<usize>,
    /// Whether member 0 holds the lease at the start.
    pub lease_held: bool,
    /// How many ticks before the start that lease was granted.
    pub ticks_since_grant: u8,
    /// Whether member 0 has begun the change to `target_voters` before the start. Bare majorities of both sets have
    /// accepted the joint membership: member 0 and the voters with the lowest indices.
    pub change_started: bool,
    /// Whether each vote is received as soon as it is cast, or never, but not late. This reduces the number of states
    /// of large clusters.
    pub prompt_votes: bool,
    /// Whether each state is checked for liveness: some member has to be able to win the lease from it.
    pub check_liveness: bool,
    pub mutation: Option<Mutation>,
}

impl ClusterModel {
    /// Creates a model in which all members are voters, member 0 holds the lease, and all clocks run alike.
    pub fn with_members(member_count: usize, budget: Budget) -> ClusterModel {
        ClusterModel {
            member_count,
            initial_voters: member_count,
            clock_rates: vec![FAST_CLOCK_RATE; member_count],
            budget,
            tolerated_losses: (member_count - 1) / 2,
            target_voters: Vec::new(),
            later_target_voters: Vec::new(),
            lease_held: true,
            ticks_since_grant: 0,
            change_started: false,
            prompt_votes: false,
            check_liveness: false,
            mutation: None,
        }
    }

    /// Adds fast clocks for members that are not initial voters.
    pub fn with_clocks_for_added_members(mut self) -> ClusterModel {
        self.clock_rates.resize(self.member_count, FAST_CLOCK_RATE);
        self
    }

    pub fn has_mutation(&self, mutation: Mutation) -> bool {
        self.mutation == Some(mutation)
    }

    /// Returns the set of voters to propose after this committed membership. A change in progress is finished first.
    pub fn next_voters(&self, committed: &Membership) -> Vec<SocketAddr> {
        if !committed.outgoing.is_empty() {
            return committed.voters.clone();
        }
        let first: Vec<_> = self.target_voters.iter().map(|voter| address(*voter)).collect();
        let is_first_reached = committed.voters == first && !self.later_target_voters.is_empty();
        match is_first_reached || self.is_later_reached(committed) {
            true => self.later_target_voters.iter().map(|voter| address(*voter)).collect(),
            false => first,
        }
    }

    /// Returns whether all changes of the set of voters are finished in this membership.
    pub fn is_final_membership(&self, membership: &Membership) -> bool {
        let changes = [&self.target_voters, &self.later_target_voters];
        let changes = changes.iter().filter(|voters| !voters.is_empty()).count() as u64;
        membership.epoch == INITIAL_EPOCH + changes * EPOCHS_PER_CHANGE
    }

    fn is_later_reached(&self, committed: &Membership) -> bool {
        let later: Vec<_> = self.later_target_voters.iter().map(|voter| address(*voter)).collect();
        committed.voters == later
    }

    /// Returns the set of voters before the one of this membership, with its epoch.
    pub fn previous_voters(&self, committed: &Membership) -> (Vec<SocketAddr>, u64) {
        match self.is_later_reached(committed) && committed.epoch > INITIAL_EPOCH + EPOCHS_PER_CHANGE {
            true => {
                let first = self.target_voters.iter().map(|voter| address(*voter)).collect();
                (first, INITIAL_EPOCH + EPOCHS_PER_CHANGE)
            }
            false => (self.initial_voter_addresses(), INITIAL_EPOCH),
        }
    }

    /// Returns the time that a member's clock shows.
    pub fn now(&self, state: &ClusterState, member: usize) -> Timestamp {
        Timestamp(CLOCK_ORIGIN + u64::from(state.tick) * self.clock_rates[member])
    }

    pub fn seeds(&self) -> Vec<SocketAddr> {
        (0..self.initial_voters.min(MAX_SEEDS)).map(address).collect()
    }

    pub fn initial_voter_addresses(&self) -> Vec<SocketAddr> {
        (0..self.initial_voters).map(address).collect()
    }

    /// Returns the time that every member's clock shows at the start.
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

/// The content that was acknowledged under one revision.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct AcknowledgedRegister {
    pub values: BTreeSet<String>,
    pub membership: Membership,
    /// The ballot of the leaseholder that acknowledged it first.
    pub ballot: Ballot,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ClusterState {
    pub tick: u8,
    pub remaining: Budget,
    pub members: Vec<Member>,
    /// Messages in flight, in a fixed order, so that states that differ only in this order are equal.
    pub messages: Vec<Message>,
    /// The ballots of all elections that were won, with the values that the winner found.
    pub elections_won: BTreeMap<Ballot, BTreeSet<String>>,
    /// The acknowledged content by revision.
    pub acknowledged: BTreeMap<Revision, AcknowledgedRegister>,
    /// The invariant that the last step has violated, if it is one that is checked during the step.
    pub violation: Option<&'static str>,
}

impl ClusterState {
    /// Returns all acknowledged values.
    pub fn acknowledged_values(&self) -> BTreeSet<String> {
        self.acknowledged.values().flat_map(|acknowledged| acknowledged.values.iter().cloned()).collect()
    }

    /// Returns the values that were acknowledged under ballots below this one.
    pub fn values_acknowledged_below(&self, ballot: Ballot) -> BTreeSet<String> {
        let earlier = self.acknowledged.values().filter(|acknowledged| acknowledged.ballot < ballot);
        earlier.flat_map(|acknowledged| acknowledged.values.iter().cloned()).collect()
    }

    /// Returns whether messages of this round are in flight.
    pub fn has_messages_of(&self, requester: usize, round: u8) -> bool {
        self.messages.iter().any(|message| message.requester == requester && message.round == round)
    }

    /// Sorts the messages into their fixed order and removes duplicates.
    pub fn normalize_messages(&mut self) {
        self.messages.sort_by_key(|message| {
            (message.requester, message.round, message.voter, message.response.is_some())
        });
        self.messages.dedup();
    }
}

/// An event that changes the state. Members are identified by their indices.
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
    /// The member crashes, and its disk is lost.
    LoseDisk(usize),
    Restart(usize),
    /// A restarted voter asks the candidate to which it had promised its ballot whether it still holds the lease.
    QueryLease(usize),
    /// The member abandons its election and its oldest accept round.
    TimeOut(usize),
    /// The first member takes over the committed register that the second one publishes.
    Adopt(usize, usize),
    Deliver(Message),
    /// The message is delivered, and stays in flight to be delivered again.
    DeliverTwice(Message),
    /// The request is delivered, and the vote is lost.
    DeliverWithoutResponse(Message),
    /// The request is delivered, and the voter's write fails.
    DeliverWithFailedWrite(Message),
}
