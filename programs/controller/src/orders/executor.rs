//! The task that executes operator orders.
//!
//! Registers under one ballot form a chain: each contains the changes of those before it, and voters accept only increasing
//! revisions. A committed register therefore commits all registers before it, so a slow replication round need not block the
//! next one. After [`SLOW_ROUND_THRESHOLD`] the next round may start, and it takes over the pending orders of the slow round
//! if that one fails.

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

/// The next round may start once the previous one has taken this long.
const SLOW_ROUND_THRESHOLD: Duration = Duration::from_millis(600);
/// Maximum number of concurrent rounds under one ballot, since each adds a write to voters whose disk is slow.
const MAX_CONCURRENT_ROUNDS: usize = 2;
/// A reconfiguration is abandoned after this time, as it blocks all other orders. Operators resend blocked orders within one
/// second, and these are then committed by the old voters.
const RECONFIGURATION_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval at which queued orders are checked while no event arrives.
const QUEUE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// An outcome and the channel on which it is to be sent.
struct PendingReply {
    outcome: OrderOutcome,
    reply: oneshot::Sender<OrderOutcome>,
}

impl PendingReply {
    fn send(self) {
        send_outcome(self.reply, self.outcome);
    }
}

/// Sends an outcome. A failure to send is ignored, since it means that the caller has stopped waiting.
fn send_outcome(reply: oneshot::Sender<OrderOutcome>, outcome: OrderOutcome) {
    let _ = reply.send(outcome);
}

/// The replication of one register, and the outcomes to be sent once it is committed.
struct Round {
    rank: RegisterRank,
    started_at: Instant,
    pending: Vec<PendingReply>,
}

/// State of the executor task.
pub(super) struct OrderExecutor {
    replica: Rc<Replica>,
    /// Sends the completion events of replication rounds.
    events: mpsc::Sender<Event>,
    queued: VecDeque<QueuedOrder>,
    /// Rounds in progress, in the order in which they were started.
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
                // `recv` is cancel safe: no event is lost if the timeout expires.
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

    /// Completes all rounds under the ballot of a committed register, up to that register, which commits those before it.
    fn complete_committed_rounds(&mut self, committed: RegisterRank) {
        let is_committed =
            |round: &mut Round| round.rank.ballot == committed.ballot && round.rank <= committed;
        let rounds: Vec<Round> = self.rounds.extract_if(.., is_committed).collect();
        Invariant::AcknowledgedIsCommitted
            .check(rounds.is_empty() || self.is_published_as_committed(committed));
        rounds.into_iter().flat_map(|round| round.pending).for_each(PendingReply::send);
    }

    /// Returns whether this process has published a register of this rank or a higher one as committed.
    fn is_published_as_committed(&self, rank: RegisterRank) -> bool {
        let store = self.replica.publisher.store();
        store.register.as_deref().is_some_and(|published| published.rank() >= rank)
    }

    /// Completes a round whose outcome is uncertain. If a later register of the chain is being replicated, it contains the
    /// same changes, so its round takes over the pending outcomes.
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

    /// Drops abandoned orders, then starts the next reconfiguration or replication round if one may start now.
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
        let next_may_start =
            rounds.last().is_none_or(|round| round.started_at.elapsed() >= SLOW_ROUND_THRESHOLD);
        if !next_may_start || rounds.len() >= MAX_CONCURRENT_ROUNDS {
            return;
        }
        // A reconfiguration changes the set of voters that persist a register, so it runs while no round is in flight.
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

    /// Removes and returns the first queued order if it is a reconfiguration.
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

    /// Removes and returns all changes at the front of the queue, up to the first reconfiguration.
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

    /// Executes a reconfiguration. If it is abandoned midway, it may or may not be committed; the next reconfiguration
    /// completes it first.
    async fn reconfigure(&self, reconfiguration: Reconfiguration) -> OrderOutcome {
        let Reconfiguration { epoch, voters, requires_all_voters } = reconfiguration;
        if self.replica.membership().epoch != epoch {
            return OrderOutcome::Uncertain;
        }
        let change = async {
            if requires_all_voters && !self.replica.all_accept_newest(&voters).await {
                return ReplicationOutcome::Uncertain;
            }
            self.replica.reconfigure(voters).await
        };
        match timeout(RECONFIGURATION_TIMEOUT, change).await {
            Ok(ReplicationOutcome::Committed) => OrderOutcome::Acknowledged,
            Ok(ReplicationOutcome::Uncertain) | Err(_) => OrderOutcome::Uncertain,
        }
    }

    /// Applies a group of changes to the newest register of the chain.
    fn execute_changes(&mut self, changes: &[OperatorChange], replies: Vec<oneshot::Sender<OrderOutcome>>) {
        let newest = self.replica.newest_register();
        let group = apply_changes(&newest, changes);
        let newest_revision = group.register.accepted_configs.last().map_or(0, |accepted| accepted.revision);
        log_conflicts(&group.outcomes, newest_revision);
        let to_order_outcome = |outcome| match outcome {
            ChangeOutcome::Acknowledged => OrderOutcome::Acknowledged,
            ChangeOutcome::Conflict => OrderOutcome::Conflict { newest_revision },
        };
        let outcomes = group.outcomes.into_iter().map(to_order_outcome);
        let pending: Vec<PendingReply> =
            outcomes.zip(replies).map(|(outcome, reply)| PendingReply { outcome, reply }).collect();
        if !group.changed && self.replica.is_committed(&newest) {
            return pending.into_iter().for_each(PendingReply::send);
        }
        let is_newest = |round: &&mut Round| round.rank == newest.rank();
        match self.rounds.last_mut().filter(is_newest) {
            // The group changes nothing, but the register on which its outcomes depend is still being replicated.
            Some(round) if !group.changed => round.pending.extend(pending),
            _ => self.start_round(group.register, pending),
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
            // Sending fails only if the executor has ended, which happens only when the program exits.
            let _ = events.send(Event::RoundCompleted { rank, outcome }).await;
        });
    }
}

fn log_conflicts(outcomes: &[ChangeOutcome], newest_revision: u64) {
    let conflicts = outcomes.iter().filter(|outcome| **outcome == ChangeOutcome::Conflict).count();
    if conflicts > 0 {
        spdlog::warn!(
            "operator orders refused: another configuration was accepted under the same revision",
            kv: { event = "order_conflict", orders = conflicts, held_revision = newest_revision }
        );
    }
}
