//! The consensus replica of a controller.
//!
//! [`Replica`] holds the consensus state of this process: its voter, the lease if it holds one, and the registers that
//! it proposes. The protocol logic is in the state machines of `vanewharf_consensus`, which perform no I/O. The modules
//! below pass them their inputs and execute their decisions:
//!
//! - [`voter_task`] handles vote requests sequentially, and [`record_writer`] persists the voter's promises,
//! - [`vote_rpc`] sends vote requests to the other replicas,
//! - [`election`] campaigns for the lease, and [`renewal`] renews it,
//! - [`replication`] replicates registers to a majority of the voters,
//! - [`reconfiguration`] changes the set of voters,
//! - [`recovery`] recovers a replica after a restart, or after the loss of its disk.
//!
//! All code runs on one thread. No `RefCell` is borrowed across an await point, and state is read again after each one,
//! since other tasks may have changed it.

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

/// Delay before a failed write is retried, whether on the local disk or at another voter.
const PERSIST_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// The outcome of replicating a register.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicationOutcome {
    /// A majority of the voters has persisted the register.
    Committed,
    /// A majority may have persisted the register already, may still do so, or never will.
    Uncertain,
}

/// Caches the parsed configuration of one register.
#[derive(Default)]
struct ParsedConfig {
    revision: Revision,
    config: Option<Rc<Config>>,
}

/// Consensus replica, shared by all tasks of the process.
pub struct Replica {
    /// Listen address of the internal API, which identifies the replica to the others.
    pub address: SocketAddr,
    /// Publishes the committed register and the leaseholder's address.
    pub publisher: Publisher,
    environment: Environment,
    clock: MonotonicClock,
    /// Mutated by the voter task, and by a recovery, which completes before the first vote.
    voter: RefCell<Voter>,
    voter_commands: mpsc::UnboundedSender<VoterCommand>,
    /// Controllers listed in the settings, contacted while no membership is known.
    seeds: Vec<SocketAddr>,
    /// Number of proxies by which quotas were divided, as recorded by the voters that granted the lease.
    quota_divisor_at_election: Cell<u32>,
    /// Set while this process holds the lease.
    lease: Cell<Option<HeldLease>>,
    /// Ballot of this process's last campaign.
    claim: Cell<BallotClaim>,
    /// Connections to the other replicas.
    clients: ClientPool,
    /// Revision of the next register that is proposed. Under one ballot each revision is assigned once.
    next_revision: Cell<Revision>,
    /// Last register proposed for operator orders, whether or not it has been committed.
    proposed: RefCell<Option<Register>>,
    is_shutting_down: Cell<bool>,
    /// Highest promised ballot returned by a voter that refused a request. That voter accepts nothing under a lower
    /// ballot.
    highest_ballot_in_refusals: Cell<Ballot>,
    parsed_config: RefCell<ParsedConfig>,
}

impl Replica {
    /// Starts the replica's tasks on the current `LocalSet`. `storage` must hold the records that `voter` was loaded
    /// from.
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
            quota_divisor_at_election: Cell::new(0),
            lease: Cell::new(None),
            claim: Cell::default(),
            clients,
            next_revision: Cell::new(Revision(0)),
            proposed: RefCell::default(),
            is_shutting_down: Cell::new(false),
            highest_ballot_in_refusals: Cell::default(),
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

    /// Returns whether this process may execute orders: it holds the lease, and the register that was found in the
    /// election is committed.
    pub fn holds_lease(&self) -> bool {
        let now = self.now();
        self.lease.get().is_some_and(|lease| lease.may_serve(now))
    }

    /// Returns the lease under `ballot` if this process holds it and it has not expired by its clock, whether or not the
    /// register that was found in the election is committed.
    fn valid_lease(&self, ballot: Ballot) -> Option<HeldLease> {
        let now = self.now();
        self.lease.get().filter(|lease| lease.ballot == ballot && lease.is_valid(now))
    }

    /// Returns the ballot of the lease that this process holds, or 0 if it holds none.
    pub fn ballot(&self) -> Ballot {
        self.lease.get().map_or(Ballot(0), |lease| lease.ballot)
    }

    /// Returns the address of the leaseholder, if this process knows it.
    pub fn leaseholder(&self) -> Option<SocketAddr> {
        if self.holds_lease() {
            return Some(self.address);
        }
        // A lease of this process that has expired, or does not allow serving yet, does not count.
        let is_other = |leaseholder: &SocketAddr| *leaseholder != self.address;
        let granted_here = self.voter.borrow().leaseholder(self.now()).filter(is_other);
        granted_here.or(self.publisher.store().leaseholder.filter(is_other))
    }

    /// Returns the membership in the newest register known to this process, whether or not it is committed.
    pub fn membership(&self) -> Membership {
        self.newest_membership().0
    }

    /// Returns the same membership together with the rank of its register.
    fn newest_membership(&self) -> (Membership, RegisterRank) {
        let voter = self.voter.borrow();
        let store = self.publisher.store();
        let accepted = voter.register();
        let published = store.register.as_deref();
        let newest = published.filter(|published| published.rank() > accepted.rank()).unwrap_or(accepted);
        (newest.membership.clone(), newest.rank())
    }

    /// Returns the other controllers that may know the leaseholder: the voters and the seeds. The seeds are included
    /// because all voters that this process knows of may have been replaced while it was down.
    pub fn peers(&self) -> Vec<SocketAddr> {
        let mut peers = all_voters(&self.membership());
        peers.extend(&self.seeds);
        peers.remove(&self.address);
        peers.into_iter().collect()
    }

    /// Returns the rank of the register persisted by the voter, or `None` while the voter has lost its records.
    pub fn persisted_rank(&self) -> Option<RegisterRank> {
        let voter = self.voter.borrow();
        (!voter.is_amnesic()).then(|| voter.register().rank())
    }

    /// Returns the configuration in the published register, or `None` if it contains none.
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

    /// Returns the number of proxies by which quotas were divided before this process won its lease, or 0 if no voter
    /// knew.
    pub fn quota_divisor_at_election(&self) -> u32 {
        self.quota_divisor_at_election.get()
    }

    /// Answers the query of a restarted voter that had promised `ballot` to this process: whether this process holds
    /// the lease under it. After answering `false` this process never acquires the lease under that ballot.
    pub fn answer_lease_query(&self, ballot: Ballot) -> bool {
        let mut claim = self.claim.get();
        let holds_lease = claim.answer_lease_query(ballot, self.lease.get(), self.now());
        self.claim.set(claim);
        holds_lease
    }

    /// Stops campaigning and releases the lease, so that the other replicas need not wait for it to expire.
    pub async fn shut_down(self: &Rc<Self>) {
        self.is_shutting_down.set(true);
        if let Some(lease) = self.lease.take() {
            self.release_lease(&self.membership(), lease.ballot).await;
        }
    }
}
