//! Queue of operator orders, with group commit.
//!
//! Orders are executed only while this process holds the lease. All queued changes share one register and one replication
//! round (see `vanewharf_consensus::GroupCommit`), but each has its own outcome.

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

/// Maximum number of queued orders; further orders are refused.
const MAX_QUEUED_ORDERS: usize = 64;
/// Queued orders that are older than this are dropped. Operators send an order to another controller after one second
/// without an answer, so an order executed later could overwrite one that was executed there in the meantime.
const QUEUED_ORDER_TIMEOUT: Duration = Duration::from_secs(1);

/// An order from an operator or from the membership management.
#[derive(Debug)]
pub enum Order {
    /// Replaces the set of voters.
    Reconfigure(Reconfiguration),
    /// Changes the configuration or the evacuated zones.
    Change(OperatorChange),
}

/// A new set of voters.
#[derive(Debug)]
pub struct Reconfiguration {
    /// Epoch of the membership from which the set was derived. The order is refused if the membership has changed since.
    pub epoch: u64,
    pub voters: BTreeSet<SocketAddr>,
    /// Set if the change removes a voter that is in sync. In that case every voter of the new set must first accept the
    /// newest register: the removed voter has it, and the sync state of the others is slightly out of date.
    pub requires_all_voters: bool,
}

impl Reconfiguration {
    /// Creates the change of `membership` to `voters`.
    pub fn new(
        membership: &Membership,
        voters: BTreeSet<SocketAddr>,
        candidates: &[VoterCandidate],
    ) -> Reconfiguration {
        let requires_all_voters = removes_voter_in_sync(membership, &voters, candidates);
        Reconfiguration { epoch: membership.epoch, voters, requires_all_voters }
    }
}

/// The outcome of an order or a read.
#[derive(Debug)]
pub enum OrderOutcome {
    /// The order is committed, and survives the loss of any minority of the voters.
    Acknowledged,
    /// Another configuration was accepted under the same revision. `newest_revision` is the newest accepted revision.
    Conflict { newest_revision: u64 },
    /// The newest configuration, or `None` if none was ever accepted.
    Configuration(Option<Box<RawValue>>),
    /// The order may or may not be committed, now or later.
    Uncertain,
    /// This process does not hold the lease.
    NotLeaseholder,
}

/// A queued order and the channel for its outcome.
struct QueuedOrder {
    order: Order,
    received_at: Instant,
    reply: oneshot::Sender<OrderOutcome>,
}

impl QueuedOrder {
    /// Returns whether the caller has stopped waiting or the order has timed out.
    fn is_abandoned(&self) -> bool {
        self.reply.is_closed() || self.received_at.elapsed() > QUEUED_ORDER_TIMEOUT
    }
}

/// An input of the executor.
enum Event {
    OrderReceived(QueuedOrder),
    RoundCompleted { rank: RegisterRank, outcome: ReplicationOutcome },
}

/// Handle to the task that executes orders. Clones refer to the same task.
#[derive(Clone)]
pub struct OrderQueue {
    replica: Rc<Replica>,
    events: mpsc::Sender<Event>,
}

impl OrderQueue {
    /// Starts the task on the current `LocalSet`.
    pub fn start(replica: Rc<Replica>) -> OrderQueue {
        let (events, received) = mpsc::channel(MAX_QUEUED_ORDERS);
        let executor = OrderExecutor::new(Rc::clone(&replica), events.clone());
        tokio::task::spawn_local(executor.run(received));
        OrderQueue { replica, events }
    }

    /// Queues an order and waits for its outcome.
    ///
    /// # Cancel safety
    /// If the caller is cancelled, an order that is still queued is dropped; one whose execution has started is completed.
    pub async fn submit(&self, order: Order) -> OrderOutcome {
        let (reply, outcome) = oneshot::channel();
        let queued = QueuedOrder { order, received_at: Instant::now(), reply };
        if self.events.try_send(Event::OrderReceived(queued)).is_err() {
            return OrderOutcome::Uncertain;
        }
        outcome.await.unwrap_or(OrderOutcome::Uncertain)
    }

    /// Returns the newest committed configuration. While this process holds the lease, no other process can have
    /// acknowledged a newer one. The caller must check the lease again immediately before it sends the answer.
    pub fn read_configuration(&self) -> OrderOutcome {
        if !self.replica.holds_lease() {
            return OrderOutcome::NotLeaseholder;
        }
        let register = self.replica.publisher.store().register.clone();
        OrderOutcome::Configuration(register.and_then(|register| register.config.clone()))
    }
}
