//! The router: the task that owns the routing policy, the requests in flight, the pool of idle backend connections and
//! the timers.
//!
//! It collects the messages of the other tasks into batches, passes each batch to the policy and executes the policy's
//! actions in order. No other task accesses this state, so it needs no locks.

mod actions;
mod policy;
mod timers;

pub use policy::{PlatformPolicy, RoutingPolicy};

use crate::answer::FinalAnswer;
use crate::clock::to_duration;
use crate::connection_pool::ConnectionPool;
use crate::counters::{Counter, Invariant};
use crate::dialect::ReportedUsage;
use crate::messages::{AttemptResult, BackendEntry, BackendUpdate, NewRequest, RouterMessage};
use crate::open_ids::OpenId;
use crate::peers::PeerSocket;
use crate::quota_counter::Call;
use crate::shared::Shared;
use std::collections::BTreeMap;
use std::rc::Rc;
use timers::{Timer, TimerQueue};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;
use vanewharf_exchange::{CancelReason, EndedAttempt, ExpiryAction, Txns};
use vanewharf_http1::{Reply, Request};
use vanewharf_policy::interface::{AttemptNumber, AttemptReport, CounterReply, Event, Outcome, Ticks, TxnId};

/// The time (5 ms) subtracted from each request's deadline. It covers the transmission of request and answer, because
/// the client counts its time from sending the request and the gateway from having read it, and one tick of the
/// runtime's timers.
const ANSWER_MARGIN: Ticks = Ticks(50);
/// The time (100 ms) after its expiry at which a request is answered even if its cancelled attempts have not ended.
const OVERDUE_MARGIN: Ticks = Ticks(1_000);
/// How often the pool is swept for connections that were idle too long.
const SWEEP_INTERVAL: Ticks = Ticks::SECOND;
/// The maximum number of messages that are handled in one batch.
const MAX_BATCH_MESSAGES: usize = 1024;

/// The router's data of a request in flight, besides its state in [`Txns`].
struct RequestInFlight {
    request: Rc<Request>,
    /// The last error reply of a backend.
    error_reply: Option<Reply>,
    /// Held until no attempt is in flight, because a backend must not receive a second request with the same id.
    _open_id: OpenId,
}

/// The state of the router task.
pub struct Router<P> {
    shared: Rc<Shared>,
    policy: P,
    pool: ConnectionPool,
    txns: Txns<oneshot::Sender<FinalAnswer>, oneshot::Sender<CancelReason>>,
    requests: BTreeMap<TxnId, RequestInFlight>,
    timers: TimerQueue,
    /// Events for the policy's next batch.
    events: Vec<Event>,
    /// `None` if no shared quota counter is configured; the policy's calls are then answered as not executed.
    quota_counter: Option<mpsc::UnboundedSender<Call>>,
    /// `None` if gateways do not exchange messages; the policy's messages are then counted as not sent.
    peers: Option<Rc<PeerSocket>>,
}

impl<P: RoutingPolicy> Router<P> {
    /// Creates a router with the backends of `initial`, which it passes to the policy at once.
    pub fn new(
        shared: Rc<Shared>,
        policy: P,
        initial: BackendUpdate,
        quota_counter: Option<mpsc::UnboundedSender<Call>>,
        peers: Option<Rc<PeerSocket>>,
    ) -> Router<P> {
        let mut router = Router {
            pool: ConnectionPool::new(shared.timeouts.idle),
            shared,
            policy,
            txns: Txns::default(),
            requests: BTreeMap::new(),
            timers: TimerQueue::default(),
            events: Vec::new(),
            quota_counter,
            peers,
        };
        let now = router.shared.clock.now();
        router.apply_backend_update(initial);
        router.timers.set(now + SWEEP_INTERVAL, Timer::Sweep);
        router.decide(now);
        router
    }

    /// Runs until all senders of `messages` are dropped. It keeps running after those of `updates` are.
    pub async fn run(
        mut self,
        mut messages: mpsc::UnboundedReceiver<RouterMessage>,
        mut updates: mpsc::UnboundedReceiver<P::Update>,
    ) {
        let (mut batch, mut updates_open) = (Vec::new(), true);
        let sleep = tokio::time::sleep_until(Instant::now());
        tokio::pin!(sleep);
        loop {
            sleep.as_mut().reset(self.next_wake_up());
            // Cancel safe: neither receiver loses a message if another branch completes first.
            tokio::select! {
                biased;
                update = updates.recv(), if updates_open => match update {
                    Some(update) => self.apply_update(update),
                    None => updates_open = false,
                },
                received = messages.recv_many(&mut batch, MAX_BATCH_MESSAGES) => if received == 0 {
                    return;
                },
                () = sleep.as_mut() => {}
            }
            let now = self.shared.clock.now();
            for message in batch.drain(..) {
                self.handle_message(message, now);
            }
            // The policy decides before the timers are handled, so that it also sees a request that arrived with no
            // time left.
            self.decide(now);
            self.handle_due_timers(now);
            self.decide(now);
        }
    }

    fn apply_update(&mut self, update: P::Update) {
        let now = self.shared.clock.now();
        if let Some(backends) = self.policy.apply_update(now, update) {
            self.update_pool(&backends);
        }
        // An empty batch lets the policy resume requests that were waiting for the update.
        for action in self.policy.decide(now, Vec::new()) {
            self.execute(action, now);
        }
    }

    /// When the next timer is due. Timers of finished requests are dropped, as each would wake the task needlessly.
    fn next_wake_up(&mut self) -> Instant {
        let txns = &self.txns;
        let next = self.timers.next_due(|timer| match timer {
            Timer::PolicyWake(_) | Timer::Sweep => true,
            Timer::Expiry(txn) | Timer::Overdue(txn) | Timer::AttemptTimeout(txn, _) => txns.contains(*txn),
        });
        match next {
            Some(at) => self.shared.clock.instant(at),
            None => Instant::now() + to_duration(SWEEP_INTERVAL),
        }
    }

    fn handle_due_timers(&mut self, now: Ticks) {
        while let Some(timer) = self.timers.pop_due(now) {
            match timer {
                Timer::PolicyWake(timer) => self.events.push(Event::TimerFired(timer)),
                Timer::AttemptTimeout(txn, number) => {
                    self.cancel_attempt(txn, number, CancelReason::TimedOut)
                }
                Timer::Expiry(txn) => self.expire(txn, now),
                Timer::Overdue(txn) => self.answer_overdue(txn),
                Timer::Sweep => {
                    for _ in 0..self.pool.sweep(now) {
                        self.shared.resources.count(Counter::BackendConnectionsDroppedIdle);
                    }
                    self.timers.set(now + SWEEP_INTERVAL, Timer::Sweep);
                }
            }
        }
    }

    fn handle_message(&mut self, message: RouterMessage, now: Ticks) {
        match message {
            RouterMessage::NewRequest(new_request) => self.add_request(new_request),
            RouterMessage::ClientDisconnected(id) => {
                if self.txns.record_client_disconnect(id) {
                    self.shared.resources.count(Counter::ClientsDisconnected);
                    self.events.push(Event::ClientDisconnected(id));
                }
            }
            RouterMessage::AttemptEnded(result) => self.handle_attempt_result(result, now),
            RouterMessage::BackendsChanged(update) => self.apply_backend_update(update),
            RouterMessage::CloseIdleConnection => self.pool.close_longest_idle(),
            RouterMessage::AnswerAll => self.answer_all(),
            RouterMessage::PeerMessage(from, message) => {
                self.events.push(Event::PeerMessageReceived { from, message })
            }
            RouterMessage::QuotaCounterReply(key, reply) => {
                self.shared.resources.count(match reply {
                    CounterReply::Total(_) => Counter::QuotaCounterTotals,
                    CounterReply::NotAdded => Counter::QuotaCounterNotAdded,
                    CounterReply::Unknown => Counter::QuotaCounterUnknown,
                });
                self.events.push(Event::CounterReplied { key, reply });
            }
        }
    }

    fn add_request(&mut self, new_request: NewRequest) {
        let NewRequest { arrival, request, open_id, answer } = new_request;
        let idempotency = self.policy.idempotency(&arrival);
        let deadline = arrival.deadline - ANSWER_MARGIN;
        self.txns.insert(arrival.txn, idempotency, deadline, answer);
        let in_flight = RequestInFlight { request, error_reply: None, _open_id: open_id };
        self.requests.insert(arrival.txn, in_flight);
        self.timers.set(deadline, Timer::Expiry(arrival.txn));
        self.events.push(Event::RequestArrived(arrival));
    }

    /// Answers every request that has no answer yet.
    fn answer_all(&mut self) {
        for (id, may_have_run) in self.txns.unanswered() {
            self.send_final_answer(id, unserved_answer(may_have_run));
        }
    }

    fn update_pool(&mut self, update: &BackendUpdate) {
        for BackendEntry { info, address } in update.entries() {
            self.pool.update_backend(info, *address);
        }
        if let BackendUpdate::Snapshot(entries) = update {
            self.pool.retain(|id| entries.iter().any(|entry| entry.info.backend == id));
        }
    }

    fn apply_backend_update(&mut self, update: BackendUpdate) {
        self.update_pool(&update);
        let infos = |entries: Vec<BackendEntry>| entries.into_iter().map(|entry| entry.info).collect();
        self.events.push(match update {
            BackendUpdate::Snapshot(entries) => Event::BackendList(infos(entries)),
            BackendUpdate::Changes(entries) => Event::BackendChanges(infos(entries)),
        });
    }

    fn handle_attempt_result(&mut self, result: AttemptResult, now: Ticks) {
        let resources = &self.shared.resources;
        let AttemptResult { txn: id, number, outcome, reply, idle_connection, idle_before_loss } = result;
        resources.count(outcome_counter(outcome));
        let ended = self.txns.record_end(id, number, outcome, now);
        resources.check(ended.is_ok(), Invariant::EndedOnce);
        let Ok(EndedAttempt { backend, latency, complete, answer }) = ended else {
            return;
        };
        if let Some(idle) = idle_before_loss {
            self.pool.record_idle_loss(idle);
        }
        if let Some(connection) = idle_connection {
            self.pool.add_idle(backend, connection);
        }
        let usage = reply.as_ref().map(|reply| self.shared.dialect.reported_usage(reply));
        let ReportedUsage { metered_usage, actual_cost } = usage.unwrap_or_default();
        match (reply, answer) {
            (Some(reply), Some(answer)) => {
                resources.count(Counter::RequestsSucceeded);
                // The send fails if the client has disconnected; its connection task reports that.
                let _ = answer.send(FinalAnswer::Forwarded(reply));
            }
            (Some(reply), None) if outcome == Outcome::Error => {
                if let Some(request) = self.requests.get_mut(&id) {
                    request.error_reply = Some(reply);
                }
            }
            _ => {}
        }
        let report = AttemptReport {
            txn: id,
            attempt: number,
            outcome,
            latency,
            complete,
            metered_usage,
            actual_cost,
        };
        self.events.push(Event::AttemptEnded(report));
    }

    /// Cancels the attempts of an expired request; the policy decides on its answer once they have ended.
    fn expire(&mut self, id: TxnId, now: Ticks) {
        match self.txns.expiry_action(id) {
            ExpiryAction::Nothing => {}
            ExpiryAction::CancelAttempts(in_flight) => {
                in_flight
                    .into_iter()
                    .for_each(|number| self.cancel_attempt(id, number, CancelReason::TimedOut));
                self.timers.set(now + OVERDUE_MARGIN, Timer::Overdue(id));
            }
            ExpiryAction::Overdue => self.answer_overdue(id),
        }
    }

    /// Answers a request that the policy has not decided in time. This depends neither on the policy nor on the
    /// attempts' tasks, because a fault in them would leave the client waiting forever.
    fn answer_overdue(&mut self, id: TxnId) {
        if let Some(may_have_run) = self.txns.unanswered_may_have_run(id) {
            self.send_final_answer(id, unserved_answer(may_have_run));
            // Checked last, because the check panics in debug builds.
            self.shared.resources.check(false, Invariant::AnsweredByExpiry);
        }
    }

    fn cancel_attempt(&mut self, id: TxnId, number: AttemptNumber, reason: CancelReason) {
        if let Some(canceller) = self.txns.take_canceller(id, number) {
            // The send fails if the attempt has ended and its result is already queued.
            let _ = canceller.send(reason);
        }
    }

    /// Passes all events to the policy and executes its actions, until these cause no further events.
    fn decide(&mut self, now: Ticks) {
        while !self.events.is_empty() {
            let events = std::mem::take(&mut self.events);
            for action in self.policy.decide(now, events) {
                self.execute(action, now);
            }
        }
        for id in self.txns.remove_finished() {
            self.requests.remove(&id);
        }
    }
}

/// The answer to a request that is given up. Unless an attempt may have reached a backend, it states that the request
/// has not run.
fn unserved_answer(may_have_run: bool) -> FinalAnswer {
    match may_have_run {
        true => FinalAnswer::OutcomeUnknown,
        false => FinalAnswer::Declined { retry_after: None },
    }
}

fn outcome_counter(outcome: Outcome) -> Counter {
    match outcome {
        Outcome::Succeeded => Counter::AttemptsSucceeded,
        Outcome::Error => Counter::AttemptsError,
        Outcome::Rejected => Counter::AttemptsRejected,
        Outcome::TimedOut => Counter::AttemptsTimedOut,
        Outcome::ConnectFailed => Counter::AttemptsConnectFailed,
        Outcome::ConnectionLost => Counter::AttemptsConnectionLost,
        Outcome::Cancelled => Counter::AttemptsCancelled,
        Outcome::NotSent => Counter::AttemptsNotSent,
    }
}

#[cfg(test)]
mod tests;
