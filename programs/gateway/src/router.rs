//! The router: the one task that owns the routing policy, the requests in flight, the pool of backend connections and
//! the timers.
//!
//! It gathers the messages of the other stages, has the policy decide on all of them at once, and carries the policy's
//! actions out in order. No other task reads or changes this state, so decisions need no locks.

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

/// Taken off each request's time, for the answer's way back and one turn of the runtime's timers: the client counts
/// from when it sent the request, the gateway from when it has read it.
const ANSWER_MARGIN: Ticks = Ticks(50);
/// How long after its expiry a request whose attempts were cancelled is answered in any case.
const OVERDUE_MARGIN: Ticks = Ticks(1_000);
/// How often idle connections are checked for their age.
const SWEEP_INTERVAL: Ticks = Ticks::SECOND;
/// How many messages are decided on at once.
const MAX_BATCH: usize = 1024;

/// What is needed of a request in flight alongside its state.
struct RequestInFlight {
    request: Rc<Request>,
    /// The last reply that was an error.
    failure: Option<Reply>,
    /// Held until no attempt is in flight: a backend must not get a second request under one id.
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
    /// Events for the policy's next decision.
    events: Vec<Event>,
    /// None where no shared counter is configured: calls of the policy are answered as not executed.
    quota_counter: Option<mpsc::UnboundedSender<Call>>,
    /// None where gateways do not exchange messages: messages are counted as not sent.
    peers: Option<Rc<PeerSocket>>,
}

impl<P: RoutingPolicy> Router<P> {
    /// A router that starts with the backends of `known` and has the policy decide on them at once.
    pub fn new(
        shared: Rc<Shared>,
        policy: P,
        known: BackendUpdate,
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
        router.apply_backend_update(known);
        router.timers.set(now + SWEEP_INTERVAL, Timer::Sweep);
        router.decide(now);
        router
    }

    /// Runs until all senders of `messages` are gone. The end of `updates` only stops updates.
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
            // Cancel safe: both receivers lose no message when another branch completes first.
            tokio::select! {
                biased;
                update = updates.recv(), if updates_open => match update {
                    Some(update) => self.apply_update(update),
                    None => updates_open = false,
                },
                received = messages.recv_many(&mut batch, MAX_BATCH) => if received == 0 {
                    return;
                },
                () = sleep.as_mut() => {}
            }
            let now = self.shared.clock.now();
            for message in batch.drain(..) {
                self.handle_message(message, now);
            }
            // Before the timers, so that a request that arrived without any time left is answered as any other.
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
        // Without any event: requests that waited for the update may go on.
        for action in self.policy.decide(now, Vec::new()) {
            self.execute(action, now);
        }
    }

    /// When the next timer is due. Timers of requests that are over are dropped: each would wake the task for nothing.
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
                        self.shared.resources.count(Counter::BackendsDroppedIdle);
                    }
                    self.timers.set(now + SWEEP_INTERVAL, Timer::Sweep);
                }
            }
        }
    }

    fn handle_message(&mut self, message: RouterMessage, now: Ticks) {
        match message {
            RouterMessage::NewRequest(new_request) => self.add_request(new_request),
            RouterMessage::ClientLeft(id) => {
                if self.txns.record_client_disconnect(id) {
                    self.shared.resources.count(Counter::ClientsLeft);
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
        let in_flight = RequestInFlight { request, failure: None, _open_id: open_id };
        self.requests.insert(arrival.txn, in_flight);
        self.timers.set(deadline, Timer::Expiry(arrival.txn));
        self.events.push(Event::RequestArrived(arrival));
    }

    /// Answers each request that has no answer yet.
    fn answer_all(&mut self) {
        for (id, may_have_run) in self.txns.unanswered() {
            self.conclude(id, unserved_answer(may_have_run));
        }
    }

    fn update_pool(&mut self, update: &BackendUpdate) {
        for BackendEntry { listed, address } in update.entries() {
            self.pool.update_backend(listed, *address);
        }
        if let BackendUpdate::Snapshot(entries) = update {
            self.pool.retain(|id| entries.iter().any(|entry| entry.listed.backend == id));
        }
    }

    fn apply_backend_update(&mut self, update: BackendUpdate) {
        self.update_pool(&update);
        let listed = |entries: Vec<BackendEntry>| entries.into_iter().map(|entry| entry.listed).collect();
        self.events.push(match update {
            BackendUpdate::Snapshot(entries) => Event::BackendList(listed(entries)),
            BackendUpdate::Changes(entries) => Event::BackendChanges(listed(entries)),
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
                // A client that has left meanwhile is reported by its own connection.
                let _ = answer.send(FinalAnswer::Forwarded(reply));
            }
            (Some(reply), None) if outcome == Outcome::Error => {
                if let Some(request) = self.requests.get_mut(&id) {
                    request.failure = Some(reply);
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

    /// Cancels the attempts of a request whose time is over; when they have ended, the policy decides on it.
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

    /// Answers a request that the policy should have decided by now, unless it has. The answer must depend neither on the
    /// policy nor on the tasks of attempts: a client would wait for ever.
    fn answer_overdue(&mut self, id: TxnId) {
        if let Some(may_have_run) = self.txns.unanswered_may_have_run(id) {
            self.conclude(id, unserved_answer(may_have_run));
            // Last, as it panics in debug builds.
            self.shared.resources.check(false, Invariant::AnsweredByExpiry);
        }
    }

    fn cancel_attempt(&mut self, id: TxnId, number: AttemptNumber, reason: CancelReason) {
        if let Some(canceller) = self.txns.take_canceller(id, number) {
            // Its outcome may be queued already.
            let _ = canceller.send(reason);
        }
    }

    /// Has the policy decide on all events, and on those that its actions cause.
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

/// The answer to a request that nothing serves any more: where no attempt may have reached a backend, with the promise that
/// it has not run.
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
