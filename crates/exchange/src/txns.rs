//! The client requests that a gateway has in flight ("txns" on the wire), and the attempts at backends for each.
//!
//! Invariants: a request gets at most one answer; each attempt ends at most once; a request is removed only after it was
//! answered or its client disconnected, and when none of its attempts is in flight.

use std::collections::BTreeMap;
use thiserror::Error;
use vanewharf_policy::interface::{AttemptNumber, BackendId, Idempotency, Outcome, Ticks, TxnId};

/// One attempt; `C` is the handle that cancels it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Attempt<C> {
    backend: BackendId,
    started_at: Ticks,
    may_have_run: bool,
    /// The handle that cancels the attempt; `None` before it is set and after the attempt was cancelled or has ended.
    canceller: Option<C>,
    ended: bool,
}

/// One client request; `A` is the handle that sends the final answer to its client.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Txn<A, C> {
    retry_rule: RetryRule,
    deadline: Ticks,
    /// The handle for the answer; `None` after the answer was sent or the client disconnected.
    answer: Option<A>,
    attempts: Vec<Attempt<C>>,
}

impl<A, C> Txn<A, C> {
    fn is_answered(&self) -> bool {
        self.answer.is_none()
    }

    fn may_have_run(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.may_have_run)
    }

    fn is_finished(&self) -> bool {
        self.is_answered() && self.attempts.iter().all(|attempt| attempt.ended)
    }
}

/// The condition under which a request may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum RetryRule {
    Always,
    OnlyIfNotExecuted,
}

/// The requests in flight.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Txns<A, C> {
    txns: BTreeMap<TxnId, Txn<A, C>>,
    /// Requests that may be finished. They are removed only after all actions of the current batch, because an action
    /// of the same batch may still refer to them.
    maybe_finished: Vec<TxnId>,
}

impl<A, C> Default for Txns<A, C> {
    fn default() -> Self {
        Txns { txns: BTreeMap::new(), maybe_finished: Vec::new() }
    }
}

/// The result of an attempt that ended.
#[derive(Debug, PartialEq, Eq)]
pub struct EndedAttempt<A> {
    /// The backend to which the attempt was sent.
    pub backend: BackendId,
    /// The duration of the attempt.
    pub latency: Ticks,
    /// Whether the request is answered, by this attempt or before.
    pub complete: bool,
    /// The handle that sends the reply to the client, if this is the first successful reply.
    pub answer: Option<A>,
}

/// An attempt that was not in flight was reported to have ended.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum UnexpectedEnd {
    /// The gateway does not know the attempt.
    #[error("unknown attempt")]
    UnknownAttempt,
    /// The attempt had already ended.
    #[error("attempt already ended")]
    AlreadyEnded,
}

/// The action that the expiry of a request requires.
#[derive(Debug, PartialEq, Eq)]
pub enum ExpiryAction {
    /// No action: the request is answered, or was removed.
    Nothing,
    /// These attempts must be cancelled as timed out. The policy decides about the request when they have ended.
    CancelAttempts(Vec<AttemptNumber>),
    /// No attempt is in flight and the client has no answer: it must be answered now.
    Overdue,
}

/// The result of starting an attempt.
#[derive(Debug, PartialEq, Eq)]
pub enum AttemptStart {
    /// The gateway does not know the request.
    UnknownTxn,
    /// The request was answered earlier in the same batch, or its deadline has passed: nothing is sent.
    NotSent {
        /// The attempt's number.
        number: AttemptNumber,
        /// Whether the request is answered.
        complete: bool,
    },
    /// The attempt must be sent.
    Started {
        /// The attempt's number.
        number: AttemptNumber,
        /// When the attempt times out.
        deadline: Ticks,
        /// False if the attempt could execute a non-idempotent request for the second time.
        permitted: bool,
    },
}

impl<A, C> Txns<A, C> {
    /// Adds a request that arrived from a client.
    pub fn insert(&mut self, id: TxnId, idempotency: Idempotency, deadline: Ticks, answer: A) {
        let retry_rule = if idempotency == Idempotency::NonIdempotent {
            RetryRule::OnlyIfNotExecuted
        } else {
            RetryRule::Always
        };
        self.txns.insert(id, Txn { retry_rule, deadline, answer: Some(answer), attempts: Vec::new() });
    }

    /// Records that the client has disconnected; returns whether its request was still unanswered.
    pub fn record_client_disconnect(&mut self, id: TxnId) -> bool {
        let was_unanswered = self.txns.get_mut(&id).is_some_and(|txn| txn.answer.take().is_some());
        if was_unanswered {
            self.maybe_finished.push(id);
        }
        was_unanswered
    }

    /// Whether the request is present, because it is unanswered or has attempts in flight.
    pub fn contains(&self, id: TxnId) -> bool {
        self.txns.contains_key(&id)
    }

    /// Records the outcome of an attempt.
    ///
    /// # Errors
    ///
    /// Returns an error if the attempt was not in flight.
    pub fn record_end(
        &mut self,
        id: TxnId,
        number: AttemptNumber,
        outcome: Outcome,
        now: Ticks,
    ) -> Result<EndedAttempt<A>, UnexpectedEnd> {
        let txn = self.txns.get_mut(&id).ok_or(UnexpectedEnd::UnknownAttempt)?;
        let attempt = txn.attempts.get_mut(number.0 as usize).ok_or(UnexpectedEnd::UnknownAttempt)?;
        let already_ended = std::mem::replace(&mut attempt.ended, true);
        attempt.canceller = None;
        attempt.may_have_run = !outcome.never_ran();
        if already_ended {
            return Err(UnexpectedEnd::AlreadyEnded);
        }
        let (backend, latency) = (attempt.backend, now - attempt.started_at);
        let answer = if outcome == Outcome::Succeeded { txn.answer.take() } else { None };
        let complete = txn.is_answered();
        self.maybe_finished.push(id);
        Ok(EndedAttempt { backend, latency, complete, answer })
    }

    /// Returns what must be done after the request's deadline has passed.
    pub fn expiry_action(&self, id: TxnId) -> ExpiryAction {
        let Some(txn) = self.txns.get(&id) else {
            return ExpiryAction::Nothing;
        };
        let in_flight = txn.attempts.iter().enumerate().filter(|(_, attempt)| !attempt.ended);
        let in_flight: Vec<_> = in_flight.map(|(number, _)| AttemptNumber(number as u32)).collect();
        if !in_flight.is_empty() {
            return ExpiryAction::CancelAttempts(in_flight);
        }
        if txn.is_answered() { ExpiryAction::Nothing } else { ExpiryAction::Overdue }
    }

    /// Takes the handle that cancels an attempt. Returns `None` if it was taken before or the attempt has ended.
    pub fn take_canceller(&mut self, id: TxnId, number: AttemptNumber) -> Option<C> {
        self.attempt_mut(id, number)?.canceller.take()
    }

    /// Whether the client may be told that it is safe to retry the request.
    pub fn is_retry_safe(&self, id: TxnId) -> bool {
        let is_safe = |txn: &Txn<A, C>| txn.retry_rule != RetryRule::OnlyIfNotExecuted || !txn.may_have_run();
        self.txns.get(&id).is_none_or(is_safe)
    }

    /// Takes the handle that sends the final answer to the client. Returns `None` if the request was answered, or its
    /// client disconnected, earlier in the same batch.
    pub fn take_answer(&mut self, id: TxnId) -> Option<A> {
        let answer = self.txns.get_mut(&id)?.answer.take()?;
        self.maybe_finished.push(id);
        Some(answer)
    }

    /// Records a new attempt. It times out after `timeout`, if there is one, and at the latest at the request's deadline.
    pub fn start_attempt(
        &mut self,
        id: TxnId,
        backend: BackendId,
        timeout: Option<Ticks>,
        now: Ticks,
    ) -> AttemptStart {
        let Some(txn) = self.txns.get_mut(&id) else {
            return AttemptStart::UnknownTxn;
        };
        let number = AttemptNumber(txn.attempts.len() as u32);
        let not_sent = txn.is_answered() || txn.deadline <= now;
        let may_have_run_before = txn.may_have_run();
        let (may_have_run, ended) = (!not_sent, not_sent);
        txn.attempts.push(Attempt { backend, started_at: now, may_have_run, canceller: None, ended });
        if not_sent {
            return AttemptStart::NotSent { number, complete: txn.is_answered() };
        }
        let deadline = timeout.map_or(txn.deadline, |timeout| txn.deadline.min(now + timeout));
        let permitted = !(txn.retry_rule == RetryRule::OnlyIfNotExecuted && may_have_run_before);
        AttemptStart::Started { number, deadline, permitted }
    }

    /// Sets the handle that cancels a started attempt.
    pub fn set_canceller(&mut self, id: TxnId, number: AttemptNumber, canceller: C) {
        if let Some(attempt) = self.attempt_mut(id, number) {
            attempt.canceller = Some(canceller);
        }
    }

    /// Removes the requests that are answered and have no attempt in flight, and returns their ids. Must be called after
    /// all actions of a batch.
    pub fn remove_finished(&mut self) -> Vec<TxnId> {
        let mut removed = Vec::new();
        for id in std::mem::take(&mut self.maybe_finished) {
            if self.txns.get(&id).is_some_and(Txn::is_finished) {
                self.txns.remove(&id);
                removed.push(id);
            }
        }
        removed
    }

    /// Returns the unanswered requests, each with whether a backend may have executed it.
    pub fn unanswered(&self) -> Vec<(TxnId, bool)> {
        let unanswered = self.txns.iter().filter(|(_, txn)| !txn.is_answered());
        unanswered.map(|(id, txn)| (*id, txn.may_have_run())).collect()
    }

    /// Returns whether a backend may have executed the request, or `None` if the request is answered or unknown.
    pub fn unanswered_may_have_run(&self, id: TxnId) -> Option<bool> {
        self.txns.get(&id).filter(|txn| !txn.is_answered()).map(Txn::may_have_run)
    }

    /// Whether no request is in flight.
    pub fn is_empty(&self) -> bool {
        self.txns.is_empty()
    }

    fn attempt_mut(&mut self, id: TxnId, number: AttemptNumber) -> Option<&mut Attempt<C>> {
        self.txns.get_mut(&id)?.attempts.get_mut(number.0 as usize)
    }
}

#[cfg(test)]
mod tests;
