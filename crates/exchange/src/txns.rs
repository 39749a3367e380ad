//! The requests that a gateway has in flight ("txns" on the wire), with the attempts that were made for each.
//!
//! Invariants: a request has at most one answer; each attempt ends at most once; a request is forgotten only when it is
//! answered (or its client has left) and none of its attempts is in flight.

use std::collections::BTreeMap;
use thiserror::Error;
use vanewharf_policy::interface::{AttemptNumber, BackendId, Idempotency, Outcome, Ticks, TxnId};

/// One attempt; `C` is whatever cancels it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Attempt<C> {
    backend: BackendId,
    started: Ticks,
    may_have_run: bool,
    /// None once it was cancelled or has ended.
    canceller: Option<C>,
    ended: bool,
}

/// One request; `A` is whatever gives its client the final answer. It is present until the answer is given or the client
/// has left.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Txn<A, C> {
    retry: RetryRule,
    deadline: Ticks,
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

/// Whether a request may be retried after it may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum RetryRule {
    Allowed,
    OnlyIfNeverRan,
}

/// The requests in flight.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Txns<A, C> {
    txns: BTreeMap<TxnId, Txn<A, C>>,
    /// Those that may be finished. They are removed only after the batch is decided, as an action of the same batch may
    /// still name them.
    maybe_finished: Vec<TxnId>,
}

impl<A, C> Default for Txns<A, C> {
    fn default() -> Self {
        Txns { txns: BTreeMap::new(), maybe_finished: Vec::new() }
    }
}

/// What became of an attempt that ended.
#[derive(Debug, PartialEq, Eq)]
pub struct EndedAttempt<A> {
    /// The backend that it was made at.
    pub backend: BackendId,
    /// How long it took.
    pub latency: Ticks,
    /// Whether the request is answered, by this outcome or before.
    pub complete: bool,
    /// Takes the reply to the client, where this is the first good one.
    pub answer: Option<A>,
}

/// An attempt was reported to have ended that was not in flight.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum UnexpectedEnd {
    /// There is no such attempt.
    #[error("the attempt is not known")]
    UnknownAttempt,
    /// It had ended before.
    #[error("the attempt had ended before")]
    AlreadyEnded,
}

/// What a request's expiry requires.
#[derive(Debug, PartialEq, Eq)]
pub enum ExpiryAction {
    /// Nothing: it is answered, or not known any more.
    Nothing,
    /// These attempts are to be cancelled as timed out; the policy decides on the request when they have ended.
    CancelAttempts(Vec<AttemptNumber>),
    /// Nothing is in flight and the client has no answer.
    Overdue,
}

/// What becomes of an attempt that is to be made.
#[derive(Debug, PartialEq, Eq)]
pub enum AttemptStart {
    /// The request is not known.
    UnknownTxn,
    /// The request was answered in this very batch, or its time is over: nothing is sent.
    NotSent {
        /// The attempt's number.
        number: AttemptNumber,
        /// Whether the request is answered.
        complete: bool,
    },
    /// The attempt is to be sent.
    Started {
        /// The attempt's number.
        number: AttemptNumber,
        /// When its reply is no longer waited for.
        deadline: Ticks,
        /// Whether the request cannot take effect twice by it.
        permitted: bool,
    },
}

impl<A, C> Txns<A, C> {
    /// Adds a request that arrived.
    pub fn insert(&mut self, id: TxnId, idempotency: Idempotency, deadline: Ticks, answer: A) {
        let retry = if idempotency == Idempotency::NonIdempotent {
            RetryRule::OnlyIfNeverRan
        } else {
            RetryRule::Allowed
        };
        self.txns.insert(id, Txn { retry, deadline, answer: Some(answer), attempts: Vec::new() });
    }

    /// Records that the client has left; returns whether it was still to be answered.
    pub fn client_left(&mut self, id: TxnId) -> bool {
        let left = self.txns.get_mut(&id).is_some_and(|txn| txn.answer.take().is_some());
        if left {
            self.maybe_finished.push(id);
        }
        left
    }

    /// Whether the request is known: unanswered, or with attempts in flight.
    pub fn contains(&self, id: TxnId) -> bool {
        self.txns.contains_key(&id)
    }

    /// Records how an attempt ended.
    ///
    /// # Errors
    ///
    /// Where the attempt was not in flight.
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
        let (backend, latency) = (attempt.backend, now - attempt.started);
        let answer = if outcome == Outcome::Succeeded { txn.answer.take() } else { None };
        let complete = txn.is_answered();
        self.maybe_finished.push(id);
        Ok(EndedAttempt { backend, latency, complete, answer })
    }

    /// What is to be done now that the request's time is over.
    pub fn expire(&self, id: TxnId) -> ExpiryAction {
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

    /// Takes what cancels an attempt. None the second time, and where its outcome was recorded.
    pub fn take_canceller(&mut self, id: TxnId, number: AttemptNumber) -> Option<C> {
        self.attempt_mut(id, number)?.canceller.take()
    }

    /// Whether a client may be informed that retrying the request is harmless.
    pub fn is_retry_safe(&self, id: TxnId) -> bool {
        let is_safe = |txn: &Txn<A, C>| txn.retry != RetryRule::OnlyIfNeverRan || !txn.may_have_run();
        self.txns.get(&id).is_none_or(is_safe)
    }

    /// Takes what gives the client its final answer. None where the request was settled, or its client left, in this
    /// very batch.
    pub fn take_answer(&mut self, id: TxnId) -> Option<A> {
        let answer = self.txns.get_mut(&id)?.answer.take()?;
        self.maybe_finished.push(id);
        Some(answer)
    }

    /// Records that an attempt is to be made, which may take `timeout` at most and no longer than the request.
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
        let has_run = txn.may_have_run();
        let (may_have_run, ended) = (!not_sent, not_sent);
        txn.attempts.push(Attempt { backend, started: now, may_have_run, canceller: None, ended });
        if not_sent {
            return AttemptStart::NotSent { number, complete: txn.is_answered() };
        }
        let deadline = timeout.map_or(txn.deadline, |span| txn.deadline.min(now + span));
        let permitted = !(txn.retry == RetryRule::OnlyIfNeverRan && has_run);
        AttemptStart::Started { number, deadline, permitted }
    }

    /// Sets what cancels an attempt that was started.
    pub fn set_canceller(&mut self, id: TxnId, number: AttemptNumber, canceller: C) {
        if let Some(attempt) = self.attempt_mut(id, number) {
            attempt.canceller = Some(canceller);
        }
    }

    /// Forgets the requests that are answered and have nothing in flight, and returns their ids. To be called once the
    /// batch is decided.
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

    /// The requests whose client waits for an answer, each with whether it may have run.
    pub fn unanswered(&self) -> Vec<(TxnId, bool)> {
        let unanswered = self.txns.iter().filter(|(_, txn)| !txn.is_answered());
        unanswered.map(|(id, txn)| (*id, txn.may_have_run())).collect()
    }

    /// For a request whose client waits for an answer: whether it may have run.
    pub fn unanswered_may_have_run(&self, id: TxnId) -> Option<bool> {
        self.txns.get(&id).filter(|txn| !txn.is_answered()).map(Txn::may_have_run)
    }

    /// Whether nothing is in flight.
    pub fn is_empty(&self) -> bool {
        self.txns.is_empty()
    }

    fn attempt_mut(&mut self, id: TxnId, number: AttemptNumber) -> Option<&mut Attempt<C>> {
        self.txns.get_mut(&id)?.attempts.get_mut(number.0 as usize)
    }
}

#[cfg(test)]
mod tests;
