//! Route: the one task that owns the decisions. It gathers what is ready, has it decided at once and
//! carries the actions out in order.

use crate::book::{Count, Invariant};
use crate::counter::Call;
use crate::note::{Ended, Job, Note, Taken, Told};
use crate::open::Open;
use crate::peers::Peers;
use crate::pool::Pool;
use crate::relay::Final;
use crate::send;
use crate::shared::Shared;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::convert::Infallible;
use std::rc::Rc;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;
use vanewharf_exchange::line::CalledOff;
use vanewharf_exchange::{self as txns, Expiry, Submit, Txns};
use vanewharf_http1::{Reply, Request};
use vanewharf_policy::decide::Door;
use vanewharf_policy::interface::{
    Action, Arrival, BackendId, Counted, Ending, Event, Outcome, Repeat, SubmissionNo, Tenths, TimerId, TxnId,
};

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

/// Whatever decides. What it hears beside events (`News`) comes through a queue of its own.
pub trait Decides {
    type News;

    fn decide(&mut self, now: Tenths, events: Vec<Event>) -> Vec<Action>;

    fn repeat(&self, arrival: &Arrival) -> Repeat;

    /// What it makes of the news, and the backends that the pool is to know by it.
    fn news(&mut self, now: Tenths, news: Self::News) -> Option<Told>;

    /// The fields that this backend is told for this txn beside what the client said.
    fn anew(&self, _txn: TxnId, _backend: BackendId) -> Vec<(&'static str, String)> {
        Vec::new()
    }

    /// The answer that a txn ends with, where a backend gave one that was no success.
    fn concluded(&self, _txn: TxnId, answer: Final, _failure: Option<Reply>) -> Final {
        answer
    }
}

/// The module alone, as it was told at its start.
pub struct Decisions {
    pub door: Door,
    pub repeats: Vec<Repeat>,
}

impl Decides for Decisions {
    type News = Infallible;

    fn decide(&mut self, now: Tenths, events: Vec<Event>) -> Vec<Action> {
        self.door.decide(now, events)
    }

    fn repeat(&self, arrival: &Arrival) -> Repeat {
        self.repeats[arrival.product.0]
    }

    fn news(&mut self, _: Tenths, news: Infallible) -> Option<Told> {
        match news {}
    }
}

/// What is kept of a txn beside its state.
struct Held {
    request: Rc<Request>,
    /// The last answer that was no success.
    failure: Option<Reply>,
    /// Held until nothing is out: a backend must not get a second copy under one id.
    _open: Open,
}

pub struct Route<D> {
    shared: Rc<Shared>,
    decisions: D,
    pool: Pool,
    txns: Txns<oneshot::Sender<Final>, oneshot::Sender<CalledOff>>,
    held: BTreeMap<TxnId, Held>,
    timers: BinaryHeap<Reverse<(Tenths, u64, Timer)>>,
    timers_set: u64,
    events: Vec<Event>,
    /// None where no counter was named: then the decisions are told that there is none.
    counter: Option<mpsc::UnboundedSender<Call>>,
    /// None where doors have no words for each other: then the decisions are told so.
    peers: Option<Rc<Peers>>,
}

impl<D: Decides> Route<D> {
    pub fn new(
        shared: Rc<Shared>,
        decisions: D,
        known: Told,
        counter: Option<mpsc::UnboundedSender<Call>>,
        peers: Option<Rc<Peers>>,
    ) -> Route<D> {
        let pool = Pool::new(shared.lines.idle);
        let (txns, held, timers) = (Txns::default(), BTreeMap::new(), BinaryHeap::new());
        let events = Vec::new();
        let timers_set = 0;
        let mut route =
            Route { shared, decisions, pool, txns, held, timers, timers_set, events, counter, peers };
        let now = route.shared.clock.now();
        route.listed(known);
        route.set(now + SWEEP, Timer::Sweep);
        route.decide(now);
        route
    }

    pub async fn run(
        mut self,
        mut notes: mpsc::UnboundedReceiver<Note>,
        mut news: mpsc::UnboundedReceiver<D::News>,
    ) {
        let (mut batch, mut told) = (Vec::new(), true);
        let sleep = tokio::time::sleep_until(Instant::now());
        tokio::pin!(sleep);
        loop {
            sleep.as_mut().reset(self.next_due());
            tokio::select! {
                biased;
                heard = news.recv(), if told => match heard {
                    Some(heard) => self.hear(heard),
                    None => told = false,
                },
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

    fn hear(&mut self, news: D::News) {
        let now = self.shared.clock.now();
        if let Some(told) = self.decisions.news(now, news) {
            self.pooled(&told);
        }
        // An empty batch: what was held for the news may go on.
        let actions = self.decisions.decide(now, Vec::new());
        actions.into_iter().for_each(|action| self.carry_out(action, now));
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
                Timer::Expiry(txn) | Timer::TimeOut(txn, _) => self.txns.knows(*txn),
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
                let repeat = self.decisions.repeat(&arrival);
                let until = arrival.expiry - WAY_BACK;
                self.txns.arrived(arrival.txn, repeat, until, answer);
                self.held.insert(arrival.txn, Held { request, failure: None, _open });
                self.set(until, Timer::Expiry(arrival.txn));
                self.events.push(Event::Arrived(arrival));
            }
            Note::Left(id) => {
                if self.txns.left(id) {
                    self.shared.book.count(Count::Left);
                    self.events.push(Event::Left(id));
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

    fn pooled(&mut self, told: &Told) {
        for (entry, address) in &told.entries {
            self.pool.list(entry, *address);
        }
        if told.whole {
            let named = |id| told.entries.iter().any(|(entry, _)| entry.backend == id);
            self.pool.keep_only(named);
        }
    }

    fn listed(&mut self, told: Told) {
        self.pooled(&told);
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
        let ended = self.txns.ended(id, no, outcome, now);
        book.must(ended.is_ok(), Invariant::EndedOnce);
        let Ok(txns::Ended { backend, took, complete, answer }) = ended else {
            return;
        };
        if let Some(idle) = broke {
            self.pool.broke(idle);
        }
        if let Some(idle) = idle {
            self.pool.put(backend, idle);
        }
        let figures = reply.as_ref().map(|reply| self.shared.gate.figures(reply));
        let (metered, true_cost) = figures.unwrap_or_default();
        match (reply, answer) {
            (Some(reply), Some(answer)) => {
                book.count(Count::Settled);
                // A client that has left meanwhile says so itself.
                let _ = answer.send(Final::Settled(reply));
            }
            (Some(reply), None) if outcome == Outcome::Error => {
                if let Some(held) = self.held.get_mut(&id) {
                    held.failure = Some(reply);
                }
            }
            _ => {}
        }
        let ending = Ending { txn: id, no, outcome, took, complete, metered, true_cost };
        self.events.push(Event::Ended(ending));
    }

    /// What is still out ends as timed out, and the decisions say what becomes of the txn.
    fn expire(&mut self, id: TxnId) {
        match self.txns.expire(id) {
            Expiry::Nothing => {}
            Expiry::CallOff(out) => out.into_iter().for_each(|no| self.call_off(id, no, CalledOff::TimedOut)),
            Expiry::Overdue => {
                self.shared.book.must(false, Invariant::AnsweredByExpiry);
                self.conclude(id, Final::Voided);
            }
        }
    }

    fn call_off(&mut self, id: TxnId, no: SubmissionNo, why: CalledOff) {
        if let Some(call_off) = self.txns.call_off(id, no) {
            // Its outcome may be on the way already.
            let _ = call_off.send(why);
        }
    }

    fn decide(&mut self, now: Tenths) {
        while !self.events.is_empty() {
            let events = std::mem::take(&mut self.events);
            for action in self.decisions.decide(now, events) {
                self.carry_out(action, now);
            }
        }
        for id in self.txns.forget() {
            self.held.remove(&id);
        }
    }

    fn carry_out(&mut self, action: Action, now: Tenths) {
        match action {
            Action::Submit { txn, backend, time_out } => self.submit(txn, backend, time_out, now),
            Action::Cancel { txn, no } => self.call_off(txn, no, CalledOff::Cancelled),
            Action::Decline { txn, retry_after } => {
                self.shared.book.must(self.txns.harmless(txn), Invariant::NoEffectTwice);
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
        // None where it was settled, or its client left, in this very batch.
        let Some(give) = self.txns.conclude(id) else {
            return;
        };
        let failure = self.held.get_mut(&id).and_then(|held| held.failure.take());
        let answer = self.decisions.concluded(id, answer, failure);
        let book = &self.shared.book;
        book.count(if matches!(answer, Final::Voided) { Count::Voided } else { Count::Declined });
        let _ = give.send(answer);
    }

    fn submit(&mut self, id: TxnId, backend: BackendId, time_out: Option<Tenths>, now: Tenths) {
        let book = &self.shared.book;
        let (no, until) = match self.txns.submit(id, backend, time_out, now) {
            Submit::Unknown => return,
            Submit::Moot { no, complete } => {
                book.count(Count::SubmissionsMoot);
                let (outcome, took) = (Outcome::Moot, Tenths(0));
                let ending = Ending { txn: id, no, outcome, took, complete, metered: None, true_cost: None };
                return self.events.push(Event::Ended(ending));
            }
            Submit::Goes { no, until, allowed } => {
                book.must(allowed, Invariant::NoEffectTwice);
                (no, until)
            }
        };
        book.count(Count::Submissions);
        book.must(self.pool.ready(backend), Invariant::OnlyToListed);
        let Some(held) = self.held.get(&id) else {
            return;
        };
        let (call_off, called_off) = oneshot::channel();
        self.txns.goes(id, no, call_off);
        let anew = self.decisions.anew(id, backend);
        let mut job = Job { txn: id, no, request: Rc::clone(&held.request), until, called_off, anew };
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
