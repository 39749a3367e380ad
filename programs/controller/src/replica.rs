//! The consensus replica of a controller.
//!
//! [`Replica`] owns this process' share of the consensus: its voter, the lease if it holds one, and the registers that it
//! proposes. The decisions themselves are made by the state machines of `vanewharf_consensus`, which do no input or output;
//! the modules below feed them and carry out what they decide:
//!
//! - [`voter_task`] handles the requests to the voter, one after the other, and [`record_writer`] persists what it promises,
//! - [`vote_rpc`] sends vote requests to the other replicas,
//! - [`election`] campaigns for the lease, and [`renewal`] renews it,
//! - [`replication`] replicates registers to a majority of the voters,
//! - [`reconfiguration`] changes the set of voters,
//! - [`recovery`] brings a replica back after a restart, or after the loss of its disk.
//!
//! Everything runs on one thread. No `RefCell` is borrowed across an await, and each of these modules goes by the state as
//! it is after an await, not as it was before.

mod election;
mod reconfiguration;
mod record_writer;
mod recovery;
mod renewal;
mod replication;
mod vote_rpc;
mod voter_task;

use crate::storage::Storage;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use vanewharf_clock::{MonotonicClock, Timestamp};
use vanewharf_config::configuration::Config;
use vanewharf_consensus::{BallotClaim, HeldLease, Voter, all_voters};
use vanewharf_protocol::messages::{Ballot, Membership, Register, RegisterRank, Revision};
use vanewharf_rpc::{ClientPool, Publisher};
use vanewharf_runtime::environment::Environment;
use voter_task::{VoterCommand, VoterTask};

/// Between two tries to persist something, here or at another voter.
const PERSIST_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Whether a register is certain to be in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicationOutcome {
    /// A majority of the voters has persisted it.
    Committed,
    /// A majority may or may not have persisted it, or may still do so.
    Uncertain,
}

/// The configuration of a register, parsed once.
#[derive(Default)]
struct ParsedConfig {
    revision: Revision,
    config: Option<Rc<Config>>,
}

/// The consensus replica, shared by all tasks of the process.
pub struct Replica {
    /// By which the replicas know each other: the address of the internal API.
    pub address: SocketAddr,
    /// Where the committed register and the leaseholder are published.
    pub publisher: Publisher,
    environment: Environment,
    clock: MonotonicClock,
    /// Changed by the voter task, and by a recovery, which ends before the first vote.
    voter: RefCell<Voter>,
    voter_commands: mpsc::UnboundedSender<VoterCommand>,
    /// The controllers that the settings name, to be asked where no membership is known.
    seeds: Vec<SocketAddr>,
    /// By how many proxies quotas were divided, as far as the voters that granted the lease knew.
    elected_proxy_count: Cell<u32>,
    /// The lease, while this process holds it.
    lease: Cell<Option<HeldLease>>,
    /// The ballot under which this process campaigned last.
    claim: Cell<BallotClaim>,
    /// Of other replicas.
    clients: ClientPool,
    /// No revision is given to two registers under one ballot.
    next_revision: Cell<Revision>,
    /// The last register that was proposed for operator orders, committed or not.
    proposed: RefCell<Option<Register>>,
    is_shutting_down: Cell<bool>,
    /// The highest promised ballot by which a voter refused a request. That voter accepts nothing under lower ones.
    highest_refused_ballot: Cell<Ballot>,
    parsed_config: RefCell<ParsedConfig>,
}

impl Replica {
    /// Starts the replica's tasks on the current local set. The records of `voter` are those of `storage`.
    pub fn start(
        address: SocketAddr,
        seeds: Vec<SocketAddr>,
        voter: Voter,
        storage: Storage,
        publisher: Publisher,
        environment: Environment,
    ) -> Rc<Replica> {
        let (voter_commands, received_commands) = mpsc::unbounded_channel();
        let clock = publisher.clock;
        let clients = ClientPool::new(&environment.network);
        let replica = Rc::new(Replica {
            address,
            publisher,
            environment,
            clock,
            voter: RefCell::new(voter),
            voter_commands,
            seeds,
            elected_proxy_count: Cell::new(0),
            lease: Cell::new(None),
            claim: Cell::default(),
            clients,
            next_revision: Cell::new(Revision(0)),
            proposed: RefCell::default(),
            is_shutting_down: Cell::new(false),
            highest_refused_ballot: Cell::default(),
            parsed_config: RefCell::default(),
        });
        let voter_task = VoterTask::new(Rc::clone(&replica), storage);
        tokio::task::spawn_local(voter_task.run(received_commands));
        tokio::task::spawn_local(Rc::clone(&replica).run_elections());
        replica
    }

    fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Whether this process holds the lease, with all that was committed before: it may execute orders.
    pub fn holds_lease(&self) -> bool {
        let now = self.now();
        self.lease.get().is_some_and(|lease| lease.may_serve(now))
    }

    /// The ballot of the lease that this process holds, or 0.
    pub fn ballot(&self) -> Ballot {
        self.lease.get().map_or(Ballot(0), |lease| lease.ballot)
    }

    /// The leaseholder, as far as this process knows.
    pub fn leaseholder(&self) -> Option<SocketAddr> {
        if self.holds_lease() {
            return Some(self.address);
        }
        // A lease of this process that is not valid any more, or not yet, is none.
        let is_other = |leaseholder: &SocketAddr| *leaseholder != self.address;
        let granted_here = self.voter.borrow().leaseholder(self.now()).filter(is_other);
        granted_here.or(self.publisher.store().leaseholder.filter(is_other))
    }

    /// The membership by the newest register that this process has, committed or not.
    pub fn membership(&self) -> Membership {
        self.newest_membership().0
    }

    /// The same, and the register's rank.
    fn newest_membership(&self) -> (Membership, RegisterRank) {
        let voter = self.voter.borrow();
        let store = self.publisher.store();
        let accepted = voter.register();
        let published = store.register.as_deref();
        let newest = published.filter(|published| published.rank() > accepted.rank()).unwrap_or(accepted);
        (newest.membership.clone(), newest.rank())
    }

    /// All other controllers that may know the leaseholder: the voters, and the seeds, as all voters that this process
    /// knows of may have been replaced while it was down.
    pub fn peers(&self) -> Vec<SocketAddr> {
        let mut peers = all_voters(&self.membership());
        peers.extend(&self.seeds);
        peers.remove(&self.address);
        peers.into_iter().collect()
    }

    /// The rank of the register that the voter has persisted, or `None` while the voter is amnesic.
    pub fn persisted_rank(&self) -> Option<RegisterRank> {
        let voter = self.voter.borrow();
        (!voter.is_amnesic()).then(|| voter.register().rank())
    }

    /// The configuration of the published register, or `None` where it has none.
    pub fn config(&self) -> Option<Rc<Config>> {
        let register = self.publisher.store().register.clone();
        let mut parsed = self.parsed_config.borrow_mut();
        if let Some(register) = register.filter(|register| register.revision != parsed.revision) {
            let config =
                register.config.as_ref().and_then(|config| Config::parse(config.get().as_bytes()).ok());
            *parsed = ParsedConfig { revision: register.revision, config: config.map(Rc::new) };
        }
        parsed.config.clone()
    }

    /// By how many proxies quotas were divided before this process won its lease, or 0 where no voter knew.
    pub fn elected_proxy_count(&self) -> u32 {
        self.elected_proxy_count.get()
    }

    /// Answers a voter that promised that ballot to this process and was restarted: whether this process holds the lease
    /// under it. Where it does not, it never will.
    pub fn confirm_lease(&self, ballot: Ballot) -> bool {
        let mut claim = self.claim.get();
        let holds_lease = claim.answer_lease_query(ballot, self.lease.get(), self.now());
        self.claim.set(claim);
        holds_lease
    }

    /// Campaigns no more, and releases the lease, so that nobody has to wait for its end.
    pub async fn shut_down(self: &Rc<Self>) {
        self.is_shutting_down.set(true);
        if let Some(lease) = self.lease.take() {
            self.release_lease(&self.membership(), lease.ballot).await;
        }
    }
}
