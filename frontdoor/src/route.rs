//! Route: the one task that owns the decisions. It gathers what is ready, has it decided at once and
//! carries the actions out in order.

use crate::book::{Count, Invariant};
use crate::counter::Call;
use crate::note::{CalledOff, Ended, Job, Note, Taken, Told};
use crate::peers::Peers;
use crate::pool::Pool;
use crate::relay::Final;
use crate::send;
use crate::shared::{Open, Shared};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::rc::Rc;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;
use vanewharf::decide::Door;
use vanewharf::interface::{
    Action, BackendId, Counted, Ending, Event, Outcome, Repeat, SubmissionNo, Tenths, TimerId, TxnId,
};
use vanewharf_frames::Request;

/// For the answer's way back and one turn of the runtime's timers: the client counts from when it
/// sent, this door from when it has read.
const WAY_BACK: Tenths = Tenths(50);
const SWEEP: Tenths = Tenths::SECOND;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    Wake(TimerId),
    Expiry(TxnId),
    TimeOut(TxnId, SubmissionNo),
    Sweep,
}

struct Submission {
    backend: BackendId,
    sent: Tenths,
    may_have_run: bool,
    /// None once called off or ended.
    call_off: Option<oneshot::Sender<CalledOff>>,
    ended: bool,
}

struct Txn {
    request: Rc<Request>,
    /// Held until nothing is out: a backend must not get a second copy under one id.
    _open: Open,
    repeat: Repeat,
    until: Tenths,
    /// None once the final answer is given or the client has left.
    answer: Option<oneshot::Sender<Final>>,
    submissions: Vec<Submission>,
}

pub struct Route {
    shared: Rc<Shared>,
    door: Door,
    repeats: Vec<Repeat>,
    pool: Pool,
    txns: BTreeMap<TxnId, Txn>,
    timers: BinaryHeap<Reverse<(Tenths, u64, Timer)>>,
    timers_set: u64,
    events: Vec<Event>,
    /// Kept until the batch is decided: an action of the same batch may still name them.
    over: Vec<TxnId>,
    /// None where no counter was named: then the decisions are told that there is none.
    counter: Option<mpsc::UnboundedSender<Call>>,
    /// None where doors have no words for each other: then the decisions are told so.
    peers: Option<Rc<Peers>>,
}

impl Route {
    pub fn new(
        shared: Rc<Shared>,
        door: Door,
        repeats: Vec<Repeat>,
        known: Told,
        counter: Option<mpsc::UnboundedSender<Call>>,
        peers: Option<Rc<Peers>>,
    ) -> Route {
        let pool = Pool::new(shared.lines.idle);
        let (txns, timers) = (BTreeMap::new(), BinaryHeap::new());
        let (events, over) = (Vec::new(), Vec::new());
        let timers_set = 0;
        let mut route =
            Route { shared, door, repeats, pool, txns, timers, timers_set, events, over, counter, peers };
        let now = route.shared.clock.now();
        route.listed(known);
        route.set(now + SWEEP, Timer::Sweep);
        route.decide(now);
        route
    }

    pub async fn run(mut self, mut notes: mpsc::UnboundedReceiver<Note>) {
        let mut batch = Vec::new();
        let sleep = tokio::time::sleep_until(Instant::now());
        tokio::pin!(sleep);
        loop {
            sleep.as_mut().reset(self.next_due());
            tokio::select! {
                biased;
                got = notes.recv_many(&mut batch, 1024) => if got == 0 {
                    return;
                },
                () = sleep.as_mut() => {}
            }
            let now = self.shared.clock.now();
            for note in batch.drain(..) {
                self.take(note, now);
            }
            // First, so that what has come with no time left is answered as any other.
            self.decide(now);
            self.fall_due(now);
            self.decide(now);
        }
    }

    fn set(&mut self, at: Tenths, timer: Timer) {
        self.timers_set += 1;
        self.timers.push(Reverse((at, self.timers_set, timer)));
    }

    /// Timers of txns that are over are dropped here: each would wake the door for nothing.
    fn next_due(&mut self) -> Instant {
        while let Some(Reverse((at, _, timer))) = self.timers.peek() {
            let live = match timer {
                Timer::Wake(_) | Timer::Sweep => true,
                Timer::Expiry(txn) | Timer::TimeOut(txn, _) => self.txns.contains_key(txn),
            };
            if live {
                return self.shared.clock.instant(*at);
            }
            self.timers.pop();
        }
        Instant::now() + crate::clock::span(SWEEP)
    }

    fn fall_due(&mut self, now: Tenths) {
        while let Some(&Reverse((at, _, timer))) = self.timers.peek() {
            if at > now {
                return;
            }
            self.timers.pop();
            match timer {
                Timer::Wake(timer) => self.events.push(Event::Due(timer)),
                Timer::TimeOut(txn, no) => self.call_off(txn, no, CalledOff::TimedOut),
                Timer::Expiry(txn) => self.expire(txn),
                Timer::Sweep => {
                    for _ in 0..self.pool.sweep(now) {
                        self.shared.book.count(Count::BackendsDroppedIdle);
                    }
                    self.set(now + SWEEP, Timer::Sweep);
                }
            }
        }
    }

    fn take(&mut self, note: Note, now: Tenths) {
        match note {
            Note::Arrived(Taken { arrival, request, open: _open, answer }) => {
                let repeat = self.repeats[arrival.product.0];
                let until = arrival.expiry - WAY_BACK;
                let (answer, submissions) = (Some(answer), Vec::new());
                self.txns.insert(arrival.txn, Txn { request, _open, repeat, until, answer, submissions });
                self.set(until, Timer::Expiry(arrival.txn));
                self.events.push(Event::Arrived(arrival));
            }
            Note::Left(id) => {
                let Some(txn) = self.txns.get_mut(&id) else {
                    return;
                };
                if txn.answer.take().is_some() {
                    self.shared.book.count(Count::Left);
                    self.events.push(Event::Left(id));
                    self.over.push(id);
                }
            }
            Note::Ended(ended) => self.ended(ended, now),
            Note::Listed(told) => self.listed(told),
            Note::Shed => self.pool.shed(),
            Note::Heard(from, word) => self.events.push(Event::Heard { from, word }),
            Note::Counted(name, counted) => {
                self.shared.book.count(match counted {
                    Counted::Total(_) => Count::CounterTotals,
                    Counted::NotAdded => Count::CounterNotAdded,
                    Counted::Unknown => Count::CounterUnknown,
                });
                self.events.push(Event::Counted { name, counted });
            }
        }
    }

    fn listed(&mut self, told: Told) {
        for (entry, address) in &told.entries {
            self.pool.list(entry, *address);
        }
        if told.whole {
            let named = |id| told.entries.iter().any(|(entry, _)| entry.backend == id);
            self.pool.keep_only(named);
        }
        let entries = told.entries.into_iter().map(|(entry, _)| entry).collect();
        self.events.push(if told.whole { Event::Listing(entries) } else { Event::Changes(entries) });
    }

    fn ended(&mut self, ended: Ended, now: Tenths) {
        let book = &self.shared.book;
        let Ended { txn: id, no, outcome, reply, idle, broke } = ended;
        book.count(match outcome {
            Outcome::Settled => Count::SubmissionsSettled,
            Outcome::Error => Count::SubmissionsError,
            Outcome::TurnedAway => Count::SubmissionsTurnedAway,
            Outcome::TimedOut => Count::SubmissionsTimedOut,
            Outcome::NoConnection => Count::SubmissionsNoConnection,
            Outcome::Broken => Count::SubmissionsBroken,
            Outcome::Cancelled => Count::SubmissionsCancelled,
            Outcome::Moot => Count::SubmissionsMoot,
        });
        let Some(txn) = self.txns.get_mut(&id) else {
            book.must(false, Invariant::EndedOnce);
            return;
        };
        let submission = &mut txn.submissions[no.0 as usize];
        book.must(!submission.ended, Invariant::EndedOnce);
        submission.ended = true;
        submission.call_off = None;
        submission.may_have_run = !outcome.never_ran();
        if let Some(idle) = broke {
            self.pool.broke(idle);
        }
        if let Some(idle) = idle {
            self.pool.put(submission.backend, idle);
        }
        let took = now - submission.sent;
        let figure = |name| {
            let text = reply.as_ref()?.field(name)?;
            text.trim().parse::<f64>().ok().filter(|figure| figure.is_finite())
        };
        let metered = figure("X-Quota-Used").filter(|&used| used >= 0.0).map(|used| used / 100.0);
        let most = self.shared.told.bounds.cost;
        let true_cost = figure("X-Units-Charged").filter(|&cost| cost > 0.0 && cost <= most);
        if let Some(reply) = reply.filter(|_| outcome == Outcome::Settled)
            && let Some(answer) = txn.answer.take()
        {
            book.count(Count::Settled);
            // A client that has left meanwhile says so itself.
            let _ = answer.send(Final::Settled(reply));
        }
        let complete = txn.answer.is_none();
        let ending = Ending { txn: id, no, outcome, took, complete, metered, true_cost };
        self.events.push(Event::Ended(ending));
        self.over.push(id);
    }

    /// What is still out ends as timed out, and the decisions say what becomes of the txn.
    fn expire(&mut self, id: TxnId) {
        let Some(txn) = self.txns.get(&id) else {
            return;
        };
        let out = txn.submissions.iter().enumerate().filter(|(_, one)| !one.ended);
        let out: Vec<_> = out.map(|(no, _)| SubmissionNo(no as u32)).collect();
        if out.is_empty() {
            self.shared.book.must(false, Invariant::AnsweredByExpiry);
            self.conclude(id, Final::Voided);
        }
        out.into_iter().for_each(|no| self.call_off(id, no, CalledOff::TimedOut));
    }

    fn call_off(&mut self, id: TxnId, no: SubmissionNo, why: CalledOff) {
        let submission = self.txns.get_mut(&id).and_then(|txn| txn.submissions.get_mut(no.0 as usize));
        if let Some(call_off) = submission.and_then(|submission| submission.call_off.take()) {
            // Its outcome may be on the way already.
            let _ = call_off.send(why);
        }
    }

    fn decide(&mut self, now: Tenths) {
        while !self.events.is_empty() {
            let events = std::mem::take(&mut self.events);
            for action in self.door.decide(now, events) {
                self.carry_out(action, now);
            }
        }
        for id in std::mem::take(&mut self.over) {
            let over = |txn: &Txn| txn.answer.is_none() && txn.submissions.iter().all(|one| one.ended);
            if self.txns.get(&id).is_some_and(over) {
                self.txns.remove(&id);
            }
        }
    }

    fn carry_out(&mut self, action: Action, now: Tenths) {
        match action {
            Action::Submit { txn, backend, time_out } => self.submit(txn, backend, time_out, now),
            Action::Cancel { txn, no } => self.call_off(txn, no, CalledOff::Cancelled),
            Action::Decline { txn, retry_after } => {
                let harmless = self.txns.get(&txn).is_none_or(|txn| {
                    txn.repeat != Repeat::OnceOnly || !txn.submissions.iter().any(|one| one.may_have_run)
                });
                self.shared.book.must(harmless, Invariant::NoEffectTwice);
                self.conclude(txn, Final::Declined(retry_after));
            }
            Action::Void { txn } => self.conclude(txn, Final::Voided),
            Action::Wake { after, timer } => self.set(now + after, Timer::Wake(timer)),
            Action::Tell { to, word } => {
                let told = self.peers.as_ref().is_some_and(|peers| peers.tell(to, &word));
                self.shared.book.count(if told { Count::PeersTold } else { Count::PeersUntold });
            }
            Action::Count { name, step, forget_after } => {
                self.shared.book.count(Count::CounterCalls);
                let call = Call { name, step, forget_after };
                // Told at once where nobody takes the call, as the counter's own refusal would be.
                if self.counter.as_ref().is_none_or(|counter| counter.send(call).is_err()) {
                    self.events.push(Event::Counted { name, counted: Counted::NotAdded });
                }
            }
        }
    }

    fn conclude(&mut self, id: TxnId, answer: Final) {
        let book = &self.shared.book;
        let Some(txn) = self.txns.get_mut(&id) else {
            return;
        };
        // Settled, or its client left, in this very batch.
        let Some(give) = txn.answer.take() else {
            return;
        };
        book.count(if matches!(answer, Final::Voided) { Count::Voided } else { Count::Declined });
        let _ = give.send(answer);
        self.over.push(id);
    }

    fn submit(&mut self, id: TxnId, backend: BackendId, time_out: Option<Tenths>, now: Tenths) {
        let book = &self.shared.book;
        let Some(txn) = self.txns.get_mut(&id) else {
            return;
        };
        let no = SubmissionNo(txn.submissions.len() as u32);
        if txn.answer.is_none() || txn.until <= now {
            // Concluded in this very batch, or out of time: nothing is sent, and the decisions hear so.
            book.count(Count::SubmissionsMoot);
            let (sent, may_have_run, call_off, ended) = (now, false, None, true);
            txn.submissions.push(Submission { backend, sent, may_have_run, call_off, ended });
            let (outcome, took, complete) = (Outcome::Moot, Tenths(0), txn.answer.is_none());
            let ending = Ending { txn: id, no, outcome, took, complete, metered: None, true_cost: None };
            return self.events.push(Event::Ended(ending));
        }
        book.count(Count::Submissions);
        book.must(self.pool.ready(backend), Invariant::OnlyToListed);
        let once_only = txn.repeat == Repeat::OnceOnly;
        let ran = txn.submissions.iter().any(|one| one.may_have_run);
        book.must(!(once_only && ran), Invariant::NoEffectTwice);
        let (call_off, called_off) = oneshot::channel();
        let until = time_out.map_or(txn.until, |span| txn.until.min(now + span));
        let (sent, may_have_run, ended) = (now, true, false);
        let submission = Submission { backend, sent, may_have_run, call_off: Some(call_off), ended };
        txn.submissions.push(submission);
        let mut job = Job { txn: id, no, request: Rc::clone(&txn.request), until, called_off };
        if time_out.is_some() {
            self.set(until, Timer::TimeOut(id, no));
        }
        while let Some(idle) = self.pool.take(backend, now) {
            match idle.next.send(job) {
                Ok(()) => return self.shared.book.count(Count::BackendsReused),
                Err(back) => job = back,
            }
        }
        if !self.shared.book.may_dial() {
            self.pool.shed();
        }
        let shared = Rc::clone(&self.shared);
        match self.pool.address(backend) {
            Some(address) => drop(tokio::task::spawn_local(send::run(job, address, shared))),
            None => shared.tell(Note::Ended(Ended::of(id, no, Outcome::NoConnection))),
        }
    }
}
