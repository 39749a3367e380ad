//! The task that executes operator orders.
//!
//! Registers under one ballot form a chain: each contains the changes of those before it, and a voter accepts a higher
//! revision only. So a register that is committed commits all before it, and a round of replication that is slow need not
//! be waited for: after [`SLOW_ROUND`] the next one may start, which takes over the orders of the first should that fail.

use super::{Event, MAX_QUEUED_ORDERS, Order, OrderOutcome, QueuedOrder, Reconfiguration};
use crate::replica::{Replica, ReplicationOutcome};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, timeout};
use vanewharf_consensus::{ChangeOutcome, OperatorChange, apply_changes};
use vanewharf_protocol::messages::{Register, RegisterRank};
use vanewharf_runtime::invariants::Invariant;

/// A round that takes longer is not waited for by the next one.
const SLOW_ROUND: Duration = Duration::from_millis(600);
/// The most rounds under one ballot at a time: each is one more write for a voter whose disk is slow.
const MAX_CONCURRENT_ROUNDS: usize = 2;
/// A change of the voters that takes longer is given up, as all orders wait for it. Those that it held up are sent again
/// within a second, and then acknowledged under the old voters.
const RECONFIGURATION_TIMEOUT: Duration = Duration::from_secs(2);
/// How often queued orders are looked at while nothing happens.
const QUEUE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// An outcome and who waits for it.
struct PendingReply {
    outcome: OrderOutcome,
    reply: oneshot::Sender<OrderOutcome>,
}

impl PendingReply {
    fn send(self) {
        send_outcome(self.reply, self.outcome);
    }
}

/// A caller that has gone away needs no outcome.
fn send_outcome(reply: oneshot::Sender<OrderOutcome>, outcome: OrderOutcome) {
    let _ = reply.send(outcome);
}

/// One register that is being replicated, and the outcomes to be sent once it is committed.
struct Round {
    rank: RegisterRank,
    started_at: Instant,
    pending: Vec<PendingReply>,
}

/// Owns the queued orders and the rounds.
pub(super) struct OrderExecutor {
    replica: Rc<Replica>,
    /// For the rounds that this task starts.
    events: mpsc::Sender<Event>,
    queued: VecDeque<QueuedOrder>,
    /// In the order in which they were started.
    rounds: Vec<Round>,
}

impl OrderExecutor {
    pub(super) fn new(replica: Rc<Replica>, events: mpsc::Sender<Event>) -> OrderExecutor {
        OrderExecutor { replica, events, queued: VecDeque::new(), rounds: Vec::new() }
    }

    pub(super) async fn run(mut self, mut events: mpsc::Receiver<Event>) {
        loop {
            let event = if self.queued.is_empty() {
                events.recv().await
            } else {
                // `recv` is cancel safe: no event is lost where the timeout ends it.
                timeout(QUEUE_CHECK_INTERVAL, events.recv()).await.unwrap_or(None)
            };
            if let Some(event) = event {
                self.handle_event(event);
            }
            while let Ok(event) = events.try_recv() {
                self.handle_event(event);
            }
            self.execute_queued_orders().await;
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::OrderReceived(order) if self.queued.len() < MAX_QUEUED_ORDERS => {
                self.queued.push_back(order);
            }
            Event::OrderReceived(order) => send_outcome(order.reply, OrderOutcome::Uncertain),
            Event::RoundCompleted { rank, outcome } => match outcome {
                ReplicationOutcome::Committed => self.complete_committed_rounds(rank),
                ReplicationOutcome::Uncertain => self.complete_uncertain_round(rank),
            },
        }
    }

    /// A committed register commits all before it under its ballot.
    fn complete_committed_rounds(&mut self, committed: RegisterRank) {
        let is_committed =
            |round: &mut Round| round.rank.ballot == committed.ballot && round.rank <= committed;
        let rounds: Vec<Round> = self.rounds.extract_if(.., is_committed).collect();
        Invariant::AcknowledgedIsCommitted.check(rounds.is_empty() || self.is_in_force(committed));
        rounds.into_iter().flat_map(|round| round.pending).for_each(PendingReply::send);
    }

    /// Whether what this process has published as committed is that register or a newer one.
    fn is_in_force(&self, rank: RegisterRank) -> bool {
        let store = self.replica.publisher.store();
        store.register.as_deref().is_some_and(|published| published.rank() >= rank)
    }

    /// The next register of the chain contains the changes of this one, so that its round decides their outcomes.
    fn complete_uncertain_round(&mut self, uncertain: RegisterRank) {
        let is_uncertain = |round: &mut Round| round.rank == uncertain;
        let rounds: Vec<Round> = self.rounds.extract_if(.., is_uncertain).collect();
        let pending = rounds.into_iter().flat_map(|round| round.pending);
        let next = self
            .rounds
            .iter_mut()
            .find(|round| round.rank.ballot == uncertain.ballot && round.rank > uncertain);
        match next {
            Some(next) => next.pending.extend(pending),
            None => pending.for_each(|pending| send_outcome(pending.reply, OrderOutcome::Uncertain)),
        }
    }

    /// Starts what may be started now.
    async fn execute_queued_orders(&mut self) {
        self.drop_abandoned_orders();
        if !self.replica.holds_lease() {
            for order in self.queued.drain(..) {
                send_outcome(order.reply, OrderOutcome::NotLeaseholder);
            }
            return;
        }
        let ballot = self.replica.ballot();
        let rounds: Vec<&Round> = self.rounds.iter().filter(|round| round.rank.ballot == ballot).collect();
        let last_is_slow = rounds.last().is_none_or(|round| round.started_at.elapsed() >= SLOW_ROUND);
        if !last_is_slow || rounds.len() >= MAX_CONCURRENT_ROUNDS {
            return;
        }
        // Who persists a register changes in a reconfiguration: it is executed with no round in flight.
        if rounds.is_empty()
            && let Some((reconfiguration, reply)) = self.take_reconfiguration()
        {
            return send_outcome(reply, self.reconfigure(reconfiguration).await);
        }
        let (changes, replies) = self.take_changes();
        if !changes.is_empty() {
            self.execute_changes(&changes, replies);
        }
    }

    fn drop_abandoned_orders(&mut self) {
        let queued = std::mem::take(&mut self.queued);
        let (abandoned, waiting): (VecDeque<_>, _) = queued.into_iter().partition(QueuedOrder::is_abandoned);
        self.queued = waiting;
        for order in abandoned {
            send_outcome(order.reply, OrderOutcome::Uncertain);
        }
    }

    /// The order at the front, where it is a reconfiguration.
    fn take_reconfiguration(&mut self) -> Option<(Reconfiguration, oneshot::Sender<OrderOutcome>)> {
        let queued = self.queued.pop_front()?;
        match queued.order {
            Order::Reconfigure(reconfiguration) => Some((reconfiguration, queued.reply)),
            Order::Change(_) => {
                self.queued.push_front(queued);
                None
            }
        }
    }

    /// All changes at the front, up to the first reconfiguration.
    fn take_changes(&mut self) -> (Vec<OperatorChange>, Vec<oneshot::Sender<OrderOutcome>>) {
        let mut changes = Vec::new();
        let mut replies = Vec::new();
        while let Some(queued) = self.queued.pop_front() {
            match queued.order {
                Order::Change(change) => {
                    changes.push(change);
                    replies.push(queued.reply);
                }
                Order::Reconfigure(_) => {
                    self.queued.push_front(queued);
                    break;
                }
            }
        }
        (changes, replies)
    }

    /// A change that is given up midway may be in force or not; the next one begins by concluding it.
    async fn reconfigure(&self, reconfiguration: Reconfiguration) -> OrderOutcome {
        let Reconfiguration { epoch, voters, needs_all_voters } = reconfiguration;
        if self.replica.membership().epoch != epoch {
            return OrderOutcome::Uncertain;
        }
        let change = async {
            if needs_all_voters && !self.replica.all_accept_newest(&voters).await {
                return ReplicationOutcome::Uncertain;
            }
            self.replica.reconfigure(voters).await
        };
        match timeout(RECONFIGURATION_TIMEOUT, change).await {
            Ok(ReplicationOutcome::Committed) => OrderOutcome::Acknowledged,
            Ok(ReplicationOutcome::Uncertain) | Err(_) => OrderOutcome::Uncertain,
        }
    }

    /// Carries out changes together, on the newest register of the chain.
    fn execute_changes(&mut self, changes: &[OperatorChange], replies: Vec<oneshot::Sender<OrderOutcome>>) {
        let newest = self.replica.newest_register();
        let batch = apply_changes(&newest, changes);
        let held = batch.register.accepted_configs.last().map_or(0, |taken| taken.revision);
        log_conflicts(&batch.outcomes, held);
        let to_order_outcome = |outcome| match outcome {
            ChangeOutcome::Acknowledged => OrderOutcome::Acknowledged,
            ChangeOutcome::Conflict => OrderOutcome::Conflict { held },
        };
        let outcomes = batch.outcomes.into_iter().map(to_order_outcome);
        let pending: Vec<PendingReply> =
            outcomes.zip(replies).map(|(outcome, reply)| PendingReply { outcome, reply }).collect();
        if !batch.changed && self.replica.is_committed(&newest) {
            return pending.into_iter().for_each(PendingReply::send);
        }
        let is_newest = |round: &&mut Round| round.rank == newest.rank();
        match self.rounds.last_mut().filter(is_newest) {
            // The register that they depend on is being replicated.
            Some(round) if !batch.changed => round.pending.extend(pending),
            _ => self.start_round(batch.register, pending),
        }
    }

    fn start_round(&mut self, register: Register, pending: Vec<PendingReply>) {
        let Some(register) = self.replica.propose(register) else {
            return pending
                .into_iter()
                .for_each(|pending| send_outcome(pending.reply, OrderOutcome::NotLeaseholder));
        };
        let rank = register.rank();
        self.rounds.push(Round { rank, started_at: Instant::now(), pending });
        let replica = Rc::clone(&self.replica);
        let events = self.events.clone();
        tokio::task::spawn_local(async move {
            let outcome = replica.commit(register).await;
            // Sending fails only when the executor has ended, which it does with the program.
            let _ = events.send(Event::RoundCompleted { rank, outcome }).await;
        });
    }
}

fn log_conflicts(outcomes: &[ChangeOutcome], held: u64) {
    let conflicts = outcomes.iter().filter(|outcome| **outcome == ChangeOutcome::Conflict).count();
    if conflicts > 0 {
        spdlog::warn!(
            "operator orders refused: another configuration was accepted under their revision",
            kv: { event = "order_conflict", orders = conflicts, held_revision = held }
        );
    }
}
