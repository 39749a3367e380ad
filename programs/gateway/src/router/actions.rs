//! Executes the policy's actions.

use super::{Router, RoutingPolicy, Timer};
use crate::answer::FinalAnswer;
use crate::backend_connection;
use crate::counters::{Counter, Invariant};
use crate::messages::{Attempt, AttemptResult, RouterMessage};
use crate::quota_counter::Call;
use std::rc::Rc;
use tokio::sync::oneshot;
use vanewharf_exchange::{AttemptStart, CancelReason};
use vanewharf_policy::interface::{
    Action, AttemptNumber, AttemptReport, BackendId, CounterReply, Event, GatewayId, Outcome, PeerMessage,
    Ticks, TxnId,
};

impl<P: RoutingPolicy> Router<P> {
    pub(super) fn execute(&mut self, action: Action, now: Ticks) {
        match action {
            Action::SendAttempt { txn, backend, timeout } => self.start_attempt(txn, backend, timeout, now),
            Action::CancelAttempt { txn, attempt } => {
                self.cancel_attempt(txn, attempt, CancelReason::Cancelled)
            }
            Action::Reject { txn, retry_after } => self.reject(txn, retry_after),
            Action::Fail { txn } => self.send_final_answer(txn, FinalAnswer::OutcomeUnknown),
            Action::SetTimer { after, timer } => self.timers.set(now + after, Timer::PolicyWake(timer)),
            Action::SendPeerMessage { to, message } => self.send_to_peer(to, &message),
            Action::IncrementCounter { key, amount, expire_after } => {
                self.call_quota_counter(Call { key, amount, expire_after });
            }
        }
    }

    /// Tells the client that its request has not run, unless the attempts do not prove that: the promise does not depend on
    /// the policy alone.
    fn reject(&mut self, id: TxnId, retry_after: Option<Ticks>) {
        let is_retry_safe = self.txns.is_retry_safe(id);
        let answer =
            if is_retry_safe { FinalAnswer::Declined { retry_after } } else { FinalAnswer::OutcomeUnknown };
        self.send_final_answer(id, answer);
        // Checked last, because the check panics in debug builds.
        self.shared.resources.check(is_retry_safe, Invariant::NoEffectTwice);
    }

    fn send_to_peer(&self, to: GatewayId, message: &PeerMessage) {
        let sent = self.peers.as_ref().is_some_and(|peers| peers.try_send(to, message));
        let counter = if sent { Counter::PeerMessagesSent } else { Counter::PeerMessagesUnsent };
        self.shared.resources.count(counter);
    }

    /// Passes a call to the quota counter's task; without one, the call is answered at once as not executed.
    fn call_quota_counter(&mut self, call: Call) {
        self.shared.resources.count(Counter::QuotaCounterCalls);
        let key = call.key;
        if self.quota_counter.as_ref().is_none_or(|counter| counter.send(call).is_err()) {
            self.events.push(Event::CounterReplied { key, reply: CounterReply::NotAdded });
        }
    }

    /// Sends a request's final answer, unless it was answered or its client disconnected earlier in this batch.
    pub(super) fn send_final_answer(&mut self, id: TxnId, answer: FinalAnswer) {
        let Some(answer_sender) = self.txns.take_answer(id) else {
            return;
        };
        let error_reply = self.requests.get_mut(&id).and_then(|request| request.error_reply.take());
        let answer = self.policy.final_answer(id, answer, error_reply);
        let outcome_unknown = matches!(answer, FinalAnswer::OutcomeUnknown);
        let counter =
            if outcome_unknown { Counter::RequestsOutcomeUnknown } else { Counter::RequestsDeclined };
        self.shared.resources.count(counter);
        let _ = answer_sender.send(answer);
    }

    fn start_attempt(&mut self, id: TxnId, backend: BackendId, timeout: Option<Ticks>, now: Ticks) {
        let resources = &self.shared.resources;
        let (number, deadline) = match self.txns.start_attempt(id, backend, timeout, now) {
            AttemptStart::UnknownTxn => return,
            AttemptStart::NotSent { number, complete } => return self.report_not_sent(id, number, complete),
            AttemptStart::Started { number, deadline, permitted } => {
                resources.check(permitted, Invariant::NoEffectTwice);
                (number, deadline)
            }
        };
        resources.count(Counter::Attempts);
        resources.check(self.pool.is_ready(backend), Invariant::OnlyToListed);
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let request = Rc::clone(&request.request);
        let (canceller, cancelled) = oneshot::channel();
        self.txns.set_canceller(id, number, canceller);
        let extra_headers = self.policy.extra_headers(id, backend);
        if timeout.is_some() {
            self.timers.set(deadline, Timer::AttemptTimeout(id, number));
        }
        self.dispatch(Attempt { txn: id, number, request, deadline, cancelled, extra_headers }, backend, now);
    }

    fn report_not_sent(&mut self, id: TxnId, number: AttemptNumber, complete: bool) {
        self.shared.resources.count(Counter::AttemptsNotSent);
        let report = AttemptReport {
            txn: id,
            attempt: number,
            outcome: Outcome::NotSent,
            latency: Ticks(0),
            complete,
            metered_usage: None,
            actual_cost: None,
        };
        self.events.push(Event::AttemptEnded(report));
    }

    /// Passes an attempt to an idle connection or opens a new one.
    fn dispatch(&mut self, mut attempt: Attempt, backend: BackendId, now: Ticks) {
        let resources = &self.shared.resources;
        while let Some(idle) = self.pool.take_idle(backend, now) {
            match idle.next.send(attempt) {
                Ok(()) => return resources.count(Counter::BackendConnectionsReused),
                // The connection has ended in the meantime.
                Err(unsent) => attempt = unsent,
            }
        }
        if !resources.can_dial() {
            self.pool.close_longest_idle();
        }
        let shared = Rc::clone(&self.shared);
        match self.pool.address(backend) {
            Some(address) => {
                drop(tokio::task::spawn_local(backend_connection::run(attempt, address, shared)));
            }
            None => {
                let result =
                    AttemptResult::without_reply(attempt.txn, attempt.number, Outcome::ConnectFailed);
                shared.notify_router(RouterMessage::AttemptEnded(result));
            }
        }
    }
}
