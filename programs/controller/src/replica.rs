//! The voter's owner, and the lease: whoever holds it takes the operator's orders, keeps the ledger and asks the platform
//! for its list. One task owns the voter and works through a queue; one tries for the lease and holds it.

mod election;
mod reconfiguration;
mod recovery;
mod renewal;
mod replication;
mod vote_rpc;
mod voter_task;

use crate::storage::Storage;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use vanewharf_clock::{MonotonicClock, Timestamp};
use vanewharf_config::config::Config;
use vanewharf_consensus::Voter;
use vanewharf_consensus::all_voters;
use vanewharf_consensus::{BallotClaim, HeldLease};
use vanewharf_protocol::messages::{Ballot, Membership, Register, RegisterRank, Revision};
use vanewharf_rpc::Publisher;
use vanewharf_rpc::RpcClient;
use vanewharf_runtime::environment::Environment;
use voter_task::Commands;

/// For an vote that needs no disk.
const QUICK: Duration = Duration::from_millis(600);
/// Between two tries to have a register kept by one voter.
const PERSIST_RETRY_INTERVAL: Duration = Duration::from_millis(200);
const WATCH: Duration = Duration::from_millis(100);

/// What all tasks of this process know of the replica.
pub struct Replica {
    pub me: SocketAddr,
    pub feed: Publisher,
    premises: Environment,
    steady: MonotonicClock,
    voter: RefCell<Voter>,
    /// Whom this process was told of at its start, to ask where nothing else is known.
    seeds: Vec<SocketAddr>,
    commands: Commands,
    /// By how many doors, as far as those know who granted the lease in hand.
    doors: Cell<u32>,
    term: Cell<Option<HeldLease>>,
    claim: Cell<BallotClaim>,
    callers: RefCell<BTreeMap<SocketAddr, Vec<RpcClient>>>,
    /// No number is given twice under one ballot.
    next: Cell<Revision>,
    /// The last register that was proposed for the operator's orders, certain or not.
    proposed: RefCell<Option<Register>>,
    leaving: Cell<bool>,
    /// The highest ballot that a voter who was asked has promised to another: below it that one takes part in nothing.
    barred: Cell<Ballot>,
    /// The configuration of the register in hand, read once.
    config: RefCell<(Revision, Option<Rc<Config>>)>,
}
impl Replica {
    pub fn start(
        me: SocketAddr,
        seeds: Vec<SocketAddr>,
        voter: Voter,
        disk: Storage,
        feed: Publisher,
        premises: Environment,
    ) -> Rc<Replica> {
        let (commands, heard) = mpsc::unbounded_channel();
        let steady = feed.clock;
        let replica = Rc::new(Replica {
            me,
            feed,
            premises,
            steady,
            voter: RefCell::new(voter),
            seeds,
            commands,
            doors: Cell::new(0),
            term: Cell::new(None),
            claim: Cell::default(),
            callers: RefCell::default(),
            next: Cell::new(Revision(0)),
            proposed: RefCell::default(),
            leaving: Cell::new(false),
            barred: Cell::default(),
            config: RefCell::default(),
        });
        tokio::task::spawn_local(Rc::clone(&replica).own(heard, disk));
        tokio::task::spawn_local(Rc::clone(&replica).seek());
        replica
    }

    fn now(&self) -> Timestamp {
        self.steady.now()
    }

    /// By the newest register that this process has, settled or not, and which that is.
    fn newest_set(&self) -> (Membership, RegisterRank) {
        let (voter, store) = (self.voter.borrow(), self.feed.store());
        let settled = store.register.as_deref().filter(|register| register.rank() > voter.register().rank());
        let register = settled.unwrap_or(voter.register());
        (register.membership.clone(), register.rank())
    }

    pub fn membership(&self) -> Membership {
        self.newest_set().0
    }

    /// Other control machines to hear from: those who have a say as far as is known here, and the seeds: all who had a say
    /// when this machine was last up may be gone.
    pub fn peers(&self) -> Vec<SocketAddr> {
        let mut all = all_voters(&self.membership());
        all.extend(&self.seeds);
        all.remove(&self.me);
        all.into_iter().collect()
    }

    /// The register on this machine's disk, where it may vote.
    pub fn kept_here(&self) -> Option<RegisterRank> {
        let voter = self.voter.borrow();
        (!voter.is_amnesic()).then(|| voter.register().rank())
    }

    /// Whether this process holds the lease now and may act by it.
    pub fn holds(&self) -> bool {
        let now = self.now();
        self.term.get().is_some_and(|term| term.may_serve(now))
    }

    /// What the register in hand says.
    pub fn config(&self) -> Option<Rc<Config>> {
        let register = self.feed.store().register.clone();
        let mut read = self.config.borrow_mut();
        if let Some(register) = register.filter(|register| register.revision != read.0) {
            let config =
                register.config.as_ref().and_then(|config| Config::parse(config.get().as_bytes()).ok());
            *read = (register.revision, config.map(Rc::new));
        }
        read.1.clone()
    }

    pub fn ballot(&self) -> Ballot {
        self.term.get().map_or(Ballot(0), |term| term.ballot)
    }

    /// The lease holder, as far as this process knows.
    pub fn holder(&self) -> Option<SocketAddr> {
        let now = self.now();
        if self.holds() {
            return Some(self.me);
        }
        let other = |holder: &SocketAddr| *holder != self.me;
        self.voter.borrow().leaseholder(now).filter(other).or(self.feed.store().leaseholder.filter(other))
    }

    /// By how many doors, as far as those know who granted the lease in hand.
    pub fn doors(&self) -> u32 {
        self.doors.get()
    }

    /// Gives the lease up, so that nobody has to wait for its end.
    pub async fn leave(self: &Rc<Self>) {
        self.leaving.set(true);
        if let Some(term) = self.term.take() {
            self.release(&self.membership(), term.ballot).await;
        }
    }

    /// Whether this process still holds what was promised to it under that ballot; where not, it never will.
    pub fn holds_by(&self, ballot: Ballot) -> bool {
        let mut claim = self.claim.get();
        let held = claim.answer_inquiry(ballot, self.term.get(), self.now());
        self.claim.set(claim);
        held
    }
}
