//! The queue of operator orders, with group commit.
//!
//! Orders are executed only while this process holds the lease. All changes that are queued share one register and one
//! round of replication (see `vanewharf_consensus::GroupCommit`), and each has an outcome of its own.

mod executor;

use crate::replica::{Replica, ReplicationOutcome};
use executor::OrderExecutor;
use serde_json::value::RawValue;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;
use vanewharf_consensus::{OperatorChange, VoterCandidate, removes_voter_in_sync};
use vanewharf_protocol::messages::{Membership, RegisterRank};

/// The most orders that are queued at once; further ones are refused.
const MAX_QUEUED_ORDERS: usize = 64;
/// Operators send an order to another controller after a second without an answer. One that is executed later than that
/// could overwrite what was ordered there since.
const QUEUED_ORDER_TIMEOUT: Duration = Duration::from_secs(1);

/// What an operator, or the management of the membership, orders.
#[derive(Debug)]
pub enum Order {
    /// A change of the set of voters.
    Reconfigure(Reconfiguration),
    /// A change of the configuration or of the evacuated zones.
    Change(OperatorChange),
}

/// A new set of voters.
#[derive(Debug)]
pub struct Reconfiguration {
    /// The epoch of the membership that it was worked out on: it is refused where the membership has changed since.
    pub epoch: u64,
    pub voters: BTreeSet<SocketAddr>,
    /// Whether it takes out a voter that keeps up. Then all of the new set have to have accepted the newest register first:
    /// the one that leaves has it, and who keeps up is known of a moment ago only.
    pub needs_all_voters: bool,
}

impl Reconfiguration {
    /// The change of a membership to these voters.
    pub fn new(
        membership: &Membership,
        voters: BTreeSet<SocketAddr>,
        candidates: &[VoterCandidate],
    ) -> Reconfiguration {
        let needs_all_voters = removes_voter_in_sync(membership, &voters, candidates);
        Reconfiguration { epoch: membership.epoch, voters, needs_all_voters }
    }
}

/// The outcome of an order, or of a read.
#[derive(Debug)]
pub enum OrderOutcome {
    /// It is in force, and stays so whatever minority of the voters is lost.
    Acknowledged,
    /// Another configuration was accepted under its revision; `held` is the newest revision that was accepted.
    Conflict { held: u64 },
    /// The newest configuration, or `None` where none was ever sent.
    Configuration(Option<Box<RawValue>>),
    /// It may or may not be in force, now or later.
    Uncertain,
    /// This process does not hold the lease.
    NotLeaseholder,
}

/// An order and who waits for its outcome.
struct QueuedOrder {
    order: Order,
    received_at: Instant,
    reply: oneshot::Sender<OrderOutcome>,
}

impl QueuedOrder {
    /// Whether nobody waits for it any more.
    fn is_abandoned(&self) -> bool {
        self.reply.is_closed() || self.received_at.elapsed() > QUEUED_ORDER_TIMEOUT
    }
}

/// What the executor handles.
enum Event {
    OrderReceived(QueuedOrder),
    RoundCompleted { rank: RegisterRank, outcome: ReplicationOutcome },
}

/// A handle of the task that executes orders. Clones share the task.
#[derive(Clone)]
pub struct OrderQueue {
    replica: Rc<Replica>,
    events: mpsc::Sender<Event>,
}

impl OrderQueue {
    /// Starts the task on the current local set.
    pub fn start(replica: Rc<Replica>) -> OrderQueue {
        let (events, received) = mpsc::channel(MAX_QUEUED_ORDERS);
        let executor = OrderExecutor::new(Rc::clone(&replica), events.clone());
        tokio::task::spawn_local(executor.run(received));
        OrderQueue { replica, events }
    }

    /// Queues an order and waits for its outcome.
    ///
    /// # Cancel safety
    /// An order whose caller stops waiting is not begun any more. One that was begun is carried on with.
    pub async fn submit(&self, order: Order) -> OrderOutcome {
        let (reply, outcome) = oneshot::channel();
        let queued = QueuedOrder { order, received_at: Instant::now(), reply };
        if self.events.try_send(Event::OrderReceived(queued)).is_err() {
            return OrderOutcome::Uncertain;
        }
        outcome.await.unwrap_or(OrderOutcome::Uncertain)
    }

    /// The newest committed configuration. No other process can have acknowledged a newer one while this one holds the
    /// lease; the caller has to look at the lease once more when it sends the answer.
    pub fn read_configuration(&self) -> OrderOutcome {
        if !self.replica.holds_lease() {
            return OrderOutcome::NotLeaseholder;
        }
        let register = self.replica.publisher.store().register.clone();
        OrderOutcome::Configuration(register.and_then(|register| register.config.clone()))
    }
}
