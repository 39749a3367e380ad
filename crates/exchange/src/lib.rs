//! The state machines between the decisions and the network, with no input or output of their own: what a door knows
//! of its open txns (`Txns`) and of one connection to a backend (`line`). The program and the checker run the
//! same ones.

pub mod line;

use std::collections::BTreeMap;
use vanewharf_policy::interface::{AttemptNumber, BackendId, Idempotency, Outcome, Ticks, TxnId};

/// One submission; `S` is whatever calls it off.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Submission<S> {
    backend: BackendId,
    sent: Ticks,
    may_have_run: bool,
    /// None once called off or ended.
    call_off: Option<S>,
    ended: bool,
}

/// One txn; `T` is whatever gives its client the final answer, and is there until that is given or the client has
/// left.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Txn<T, S> {
    repeat: Rep,
    until: Ticks,
    answer: Option<T>,
    submissions: Vec<Submission<S>>,
}

/// How far a product may be repeated, as far as it matters here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Rep {
    Freely,
    OnceOnly,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Txns<T, S> {
    txns: BTreeMap<TxnId, Txn<T, S>>,
    /// Kept until the batch is decided: an action of the same batch may still name them.
    over: Vec<TxnId>,
}

impl<T, S> Default for Txns<T, S> {
    fn default() -> Self {
        Txns { txns: BTreeMap::new(), over: Vec::new() }
    }
}

/// What became of a submission that ended.
#[derive(Debug, PartialEq, Eq)]
pub struct Ended<T> {
    pub backend: BackendId,
    pub took: Ticks,
    /// Whether the txn is concluded, by this outcome or before.
    pub complete: bool,
    /// The first good answer goes out by this.
    pub answer: Option<T>,
}

/// An end that nothing was known to be out for.
#[derive(Debug, PartialEq, Eq)]
pub enum Odd {
    Unknown,
    Twice,
}

/// What its expiry does to a txn.
#[derive(Debug, PartialEq, Eq)]
pub enum Expiry {
    /// It is answered, or gone.
    Nothing,
    /// What is out ends as timed out, and the decisions say what becomes of the txn.
    CallOff(Vec<AttemptNumber>),
    /// Nothing is out and nobody has answered.
    Overdue,
}

/// What becomes of an order to submit.
#[derive(Debug, PartialEq, Eq)]
pub enum Submit {
    Unknown,
    /// Concluded in this very batch, or out of time: nothing is sent, and the decisions hear so.
    Moot {
        no: AttemptNumber,
        complete: bool,
    },
    /// It is waited for until then; `allowed` where no effect twice can come of it.
    Goes {
        no: AttemptNumber,
        until: Ticks,
        allowed: bool,
    },
}

impl<T, S> Txns<T, S> {
    pub fn arrived(&mut self, id: TxnId, repeat: Idempotency, until: Ticks, answer: T) {
        let repeat = if repeat == Idempotency::NonIdempotent { Rep::OnceOnly } else { Rep::Freely };
        self.txns.insert(id, Txn { repeat, until, answer: Some(answer), submissions: Vec::new() });
    }

    /// The client has left; whether it still was to be answered.
    pub fn left(&mut self, id: TxnId) -> bool {
        let left = self.txns.get_mut(&id).is_some_and(|txn| txn.answer.take().is_some());
        if left {
            self.over.push(id);
        }
        left
    }

    pub fn knows(&self, id: TxnId) -> bool {
        self.txns.contains_key(&id)
    }

    /// Whether its client is still to be answered.
    pub fn open(&self, id: TxnId) -> bool {
        self.txns.get(&id).is_some_and(|txn| txn.answer.is_some())
    }

    pub fn ended(
        &mut self,
        id: TxnId,
        no: AttemptNumber,
        outcome: Outcome,
        now: Ticks,
    ) -> Result<Ended<T>, Odd> {
        let Some(txn) = self.txns.get_mut(&id) else {
            return Err(Odd::Unknown);
        };
        let Some(submission) = txn.submissions.get_mut(no.0 as usize) else {
            return Err(Odd::Unknown);
        };
        let twice = std::mem::replace(&mut submission.ended, true);
        submission.call_off = None;
        submission.may_have_run = !outcome.never_ran();
        if twice {
            return Err(Odd::Twice);
        }
        let (backend, took) = (submission.backend, now - submission.sent);
        let answer = if outcome == Outcome::Succeeded { txn.answer.take() } else { None };
        let complete = txn.answer.is_none();
        self.over.push(id);
        Ok(Ended { backend, took, complete, answer })
    }

    pub fn expire(&mut self, id: TxnId) -> Expiry {
        let Some(txn) = self.txns.get(&id) else {
            return Expiry::Nothing;
        };
        let out = txn.submissions.iter().enumerate().filter(|(_, one)| !one.ended);
        let out: Vec<_> = out.map(|(no, _)| AttemptNumber(no as u32)).collect();
        if !out.is_empty() {
            return Expiry::CallOff(out);
        }
        if txn.answer.is_some() { Expiry::Overdue } else { Expiry::Nothing }
    }

    /// By what a submission is called off, once: its outcome may be on the way already.
    pub fn call_off(&mut self, id: TxnId, no: AttemptNumber) -> Option<S> {
        let submission = self.txns.get_mut(&id)?.submissions.get_mut(no.0 as usize)?;
        submission.call_off.take()
    }

    /// Whether a client may be told that another try is harmless.
    pub fn harmless(&self, id: TxnId) -> bool {
        let may = |txn: &Txn<T, S>| {
            txn.repeat != Rep::OnceOnly || !txn.submissions.iter().any(|one| one.may_have_run)
        };
        self.txns.get(&id).is_none_or(may)
    }

    /// By what the final answer goes out; none where it was settled, or its client left, in this very batch.
    pub fn conclude(&mut self, id: TxnId) -> Option<T> {
        let answer = self.txns.get_mut(&id)?.answer.take()?;
        self.over.push(id);
        Some(answer)
    }

    pub fn submit(&mut self, id: TxnId, backend: BackendId, time_out: Option<Ticks>, now: Ticks) -> Submit {
        let Some(txn) = self.txns.get_mut(&id) else {
            return Submit::Unknown;
        };
        let no = AttemptNumber(txn.submissions.len() as u32);
        let concluded = txn.answer.is_none();
        let moot = concluded || txn.until <= now;
        let ran = txn.submissions.iter().any(|one| one.may_have_run);
        let (may_have_run, ended) = (!moot, moot);
        txn.submissions.push(Submission { backend, sent: now, may_have_run, call_off: None, ended });
        if moot {
            return Submit::Moot { no, complete: txn.answer.is_none() };
        }
        let until = time_out.map_or(txn.until, |span| txn.until.min(now + span));
        Submit::Goes { no, until, allowed: !(txn.repeat == Rep::OnceOnly && ran) }
    }

    /// What calls off the submission that goes.
    pub fn goes(&mut self, id: TxnId, no: AttemptNumber, call_off: S) {
        let submission = self.txns.get_mut(&id).and_then(|txn| txn.submissions.get_mut(no.0 as usize));
        if let Some(submission) = submission {
            submission.call_off = Some(call_off);
        }
    }

    /// Forgets what is answered and has nothing out, once the batch is decided.
    pub fn forget(&mut self) -> Vec<TxnId> {
        let over = |txn: &Txn<T, S>| txn.answer.is_none() && txn.submissions.iter().all(|one| one.ended);
        let mut forgotten = Vec::new();
        for id in std::mem::take(&mut self.over) {
            if self.txns.get(&id).is_some_and(over) {
                self.txns.remove(&id);
                forgotten.push(id);
            }
        }
        forgotten
    }

    pub fn is_empty(&self) -> bool {
        self.txns.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const ONE: TxnId = TxnId(1);
    const FIRST: AttemptNumber = AttemptNumber(0);

    fn txns(repeat: Idempotency) -> Txns<&'static str, &'static str> {
        let mut txns = Txns::default();
        txns.arrived(ONE, repeat, Ticks(100), "answer");
        txns
    }

    fn goes(txns: &mut Txns<&'static str, &'static str>, now: i64) -> Submit {
        let submit = txns.submit(ONE, BackendId(7), None, Ticks(now));
        if let Submit::Goes { no, .. } = submit {
            txns.goes(ONE, no, "call off");
        }
        submit
    }

    #[test]
    fn a_txn_has_one_answer_and_is_forgotten_when_nothing_is_out() {
        let mut txns = txns(Idempotency::Idempotent);
        assert_eq!(goes(&mut txns, 10), Submit::Goes { no: FIRST, until: Ticks(100), allowed: true });
        goes(&mut txns, 12);
        let ended = txns.ended(ONE, FIRST, Outcome::Succeeded, Ticks(30)).expect("it was out");
        assert_eq!((ended.answer, ended.complete, ended.took), (Some("answer"), true, Ticks(20)));
        assert_eq!(txns.conclude(ONE), None, "answered already");
        assert_eq!(txns.forget(), [], "the other is still out");
        let other = txns.ended(ONE, AttemptNumber(1), Outcome::Succeeded, Ticks(40)).expect("it was out");
        assert_eq!((other.answer, other.complete), (None, true));
        assert_eq!(txns.forget(), [ONE]);
        assert_eq!(txns.ended(ONE, FIRST, Outcome::Succeeded, Ticks(50)), Err(Odd::Unknown));
        assert!(txns.is_empty());
    }

    #[test]
    fn what_is_concluded_or_out_of_time_is_not_sent() {
        let mut txns = txns(Idempotency::Idempotent);
        assert_eq!(goes(&mut txns, 100), Submit::Moot { no: FIRST, complete: false });
        assert!(txns.left(ONE) && !txns.left(ONE));
        assert_eq!(goes(&mut txns, 20), Submit::Moot { no: AttemptNumber(1), complete: true });
        assert_eq!(txns.submit(TxnId(9), BackendId(7), None, Ticks(0)), Submit::Unknown);
    }

    #[test]
    fn a_once_only_txn_is_harmless_and_may_go_again_only_where_nothing_may_have_run() {
        let mut txns = txns(Idempotency::NonIdempotent);
        assert!(txns.harmless(ONE));
        goes(&mut txns, 10);
        assert!(!txns.harmless(ONE), "it may run at any moment");
        assert!(matches!(goes(&mut txns, 11), Submit::Goes { allowed: false, .. }));
        for no in [0, 1] {
            txns.ended(ONE, AttemptNumber(no), Outcome::Rejected, Ticks(20)).expect("it was out");
        }
        assert!(txns.harmless(ONE));
        assert!(matches!(goes(&mut txns, 21), Submit::Goes { allowed: true, .. }));
    }

    #[test]
    fn an_expiry_calls_off_what_is_out_once_and_tells_what_is_overdue() {
        let mut txns = txns(Idempotency::Idempotent);
        assert_eq!(txns.expire(ONE), Expiry::Overdue);
        goes(&mut txns, 10);
        assert_eq!(txns.expire(ONE), Expiry::CallOff(vec![FIRST]));
        assert_eq!((txns.call_off(ONE, FIRST), txns.call_off(ONE, FIRST)), (Some("call off"), None));
        txns.ended(ONE, FIRST, Outcome::TimedOut, Ticks(100)).expect("it was out");
        assert_eq!(txns.ended(ONE, FIRST, Outcome::Succeeded, Ticks(101)), Err(Odd::Twice));
        assert!(txns.conclude(ONE).is_some());
        assert_eq!(txns.expire(ONE), Expiry::Nothing);
        assert_eq!(txns.expire(TxnId(5)), Expiry::Nothing);
    }

    #[test]
    fn a_time_out_of_its_own_is_no_longer_than_the_expiry() {
        let mut txns = txns(Idempotency::Idempotent);
        let with =
            |txns: &mut Txns<_, &str>, span| txns.submit(ONE, BackendId(7), Some(Ticks(span)), Ticks(10));
        assert!(matches!(with(&mut txns, 20), Submit::Goes { until: Ticks(30), .. }));
        assert!(matches!(with(&mut txns, 500), Submit::Goes { until: Ticks(100), .. }));
    }
}
