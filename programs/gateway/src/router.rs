//! Router: the one task that owns the decisions. It gathers what is ready, has it decided at once and
//! carries the actions out in order.

use crate::answer::FinalAnswer;
use crate::backend_connection;
use crate::connection_pool::ConnectionPool;
use crate::counters::{Counter, Invariant};
use crate::dialect::ReportedUsage;
use crate::messages::{Attempt, AttemptResult, BackendEntry, BackendUpdate, NewRequest, RouterMessage};
use crate::open_ids::OpenId;
use crate::peers::Peers;
use crate::quota_counter::Call;
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
use vanewharf_policy::decide::Balancer;
use vanewharf_policy::interface::{
    Action, Arrival, AttemptNumber, AttemptReport, BackendId, CounterReply, Event, Idempotency, Outcome,
    Ticks, TimerId, TxnId,
};

/// For the answer's way back and one turn of the runtime's timers: the client counts from when it
/// sent, this door from when it has read.
const WAY_BACK: Ticks = Ticks(50);
const SWEEP: Ticks = Ticks::SECOND;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    Wake(TimerId),
    Expiry(TxnId),
    TimeOut(TxnId, AttemptNumber),
    Sweep,
}

/// Whatever decides. What it hears beside events (`News`) comes through a queue of its own.
pub trait RoutingPolicy {
    type Update;

    fn decide(&mut self, now: Ticks, events: Vec<Event>) -> Vec<Action>;

    fn repeat(&self, arrival: &Arrival) -> Idempotency;

    /// What it makes of the news, and the backends that the pool is to know by it.
    fn apply_update(&mut self, now: Ticks, update: Self::Update) -> Option<BackendUpdate>;

    /// The fields that this backend is told for this txn beside what the client said.
    fn extra_headers(&self, _txn: TxnId, _backend: BackendId) -> Vec<(&'static str, String)> {
        Vec::new()
    }

    /// The answer that a txn ends with, where a backend gave one that was no success.
    fn final_answer(&self, _txn: TxnId, answer: FinalAnswer, _failure: Option<Reply>) -> FinalAnswer {
        answer
    }
}

/// The module alone, as it was told at its start.
pub struct PlatformPolicy {
    pub door: Balancer,
    pub repeats: Vec<Idempotency>,
}

impl RoutingPolicy for PlatformPolicy {
    type Update = Infallible;

    fn decide(&mut self, now: Ticks, events: Vec<Event>) -> Vec<Action> {
        self.door.decide(now, events)
    }

    fn repeat(&self, arrival: &Arrival) -> Idempotency {
        self.repeats[arrival.product.0]
    }

    fn apply_update(&mut self, _: Ticks, update: Infallible) -> Option<BackendUpdate> {
        match update {}
    }
}

/// What is kept of a txn beside its state.
struct Held {
    request: Rc<Request>,
    /// The last answer that was no success.
    failure: Option<Reply>,
    /// Held until nothing is out: a backend must not get a second copy under one id.
    _open_id: OpenId,
}

pub struct Router<D> {
    shared: Rc<Shared>,
    decisions: D,
    pool: ConnectionPool,
    txns: Txns<oneshot::Sender<FinalAnswer>, oneshot::Sender<CalledOff>>,
    held: BTreeMap<TxnId, Held>,
    timers: BinaryHeap<Reverse<(Ticks, u64, Timer)>>,
    timers_set: u64,
    events: Vec<Event>,
    /// None where no counter was named: then the decisions are told that there is none.
    counter: Option<mpsc::UnboundedSender<Call>>,
    /// None where doors have no words for each other: then the decisions are told so.
    peers: Option<Rc<Peers>>,
}

impl<D: RoutingPolicy> Router<D> {
    pub fn new(
        shared: Rc<Shared>,
        decisions: D,
        known: BackendUpdate,
        counter: Option<mpsc::UnboundedSender<Call>>,
        peers: Option<Rc<Peers>>,
    ) -> Router<D> {
        let pool = ConnectionPool::new(shared.timeouts.idle);
        let (txns, held, timers) = (Txns::default(), BTreeMap::new(), BinaryHeap::new());
        let events = Vec::new();
        let timers_set = 0;
        let mut route =
            Router { shared, decisions, pool, txns, held, timers, timers_set, events, counter, peers };
        let now = route.shared.clock.now();
        route.listed(known);
        route.set(now + SWEEP, Timer::Sweep);
        route.decide(now);
        route
    }

    pub async fn run(
        mut self,
        mut notes: mpsc::UnboundedReceiver<RouterMessage>,
        mut news: mpsc::UnboundedReceiver<D::Update>,
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

    fn hear(&mut self, news: D::Update) {
        let now = self.shared.clock.now();
        if let Some(told) = self.decisions.apply_update(now, news) {
            self.pooled(&told);
        }
        // An empty batch: what was held for the news may go on.
        let actions = self.decisions.decide(now, Vec::new());
        actions.into_iter().for_each(|action| self.carry_out(action, now));
    }

    fn set(&mut self, at: Ticks, timer: Timer) {
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
        Instant::now() + crate::clock::to_duration(SWEEP)
    }

    fn fall_due(&mut self, now: Ticks) {
        while let Some(&Reverse((at, _, timer))) = self.timers.peek() {
            if at > now {
                return;
            }
            self.timers.pop();
            match timer {
                Timer::Wake(timer) => self.events.push(Event::TimerFired(timer)),
                Timer::TimeOut(txn, no) => self.call_off(txn, no, CalledOff::TimedOut),
                Timer::Expiry(txn) => self.expire(txn),
                Timer::Sweep => {
                    for _ in 0..self.pool.sweep(now) {
                        self.shared.resources.count(Counter::BackendsDroppedIdle);
                    }
                    self.set(now + SWEEP, Timer::Sweep);
                }
            }
        }
    }

    fn take(&mut self, note: RouterMessage, now: Ticks) {
        match note {
            RouterMessage::NewRequest(NewRequest { arrival, request, open_id: _open_id, answer }) => {
                let repeat = self.decisions.repeat(&arrival);
                let until = arrival.deadline - WAY_BACK;
                self.txns.arrived(arrival.txn, repeat, until, answer);
                self.held.insert(arrival.txn, Held { request, failure: None, _open_id });
                self.set(until, Timer::Expiry(arrival.txn));
                self.events.push(Event::RequestArrived(arrival));
            }
            RouterMessage::ClientLeft(id) => {
                if self.txns.left(id) {
                    self.shared.resources.count(Counter::ClientsLeft);
                    self.events.push(Event::ClientDisconnected(id));
                }
            }
            RouterMessage::AttemptEnded(ended) => self.ended(ended, now),
            RouterMessage::BackendsChanged(told) => self.listed(told),
            RouterMessage::CloseIdleConnection => self.pool.shed(),
            RouterMessage::PeerMessage(from, word) => {
                self.events.push(Event::PeerMessageReceived { from, message: word })
            }
            RouterMessage::Counted(name, counted) => {
                self.shared.resources.count(match counted {
                    CounterReply::Total(_) => Counter::CounterTotals,
                    CounterReply::NotAdded => Counter::CounterNotAdded,
                    CounterReply::Unknown => Counter::CounterUnknown,
                });
                self.events.push(Event::CounterReplied { key: name, reply: counted });
            }
        }
    }

    fn pooled(&mut self, told: &BackendUpdate) {
        for BackendEntry { listed, address } in told.entries() {
            self.pool.list(listed, *address);
        }
        if let BackendUpdate::Snapshot(entries) = told {
            let named = |id| entries.iter().any(|entry| entry.listed.backend == id);
            self.pool.keep_only(named);
        }
    }

    fn listed(&mut self, told: BackendUpdate) {
        self.pooled(&told);
        let listed = |entries: Vec<BackendEntry>| entries.into_iter().map(|entry| entry.listed).collect();
        self.events.push(match told {
            BackendUpdate::Snapshot(entries) => Event::BackendList(listed(entries)),
            BackendUpdate::Changes(entries) => Event::BackendChanges(listed(entries)),
        });
    }

    fn ended(&mut self, ended: AttemptResult, now: Ticks) {
        let resources = &self.shared.resources;
        let AttemptResult { txn: id, no, outcome, reply, idle_connection: idle, idle_before_loss: broke } =
            ended;
        resources.count(match outcome {
            Outcome::Succeeded => Counter::AttemptsSettled,
            Outcome::Error => Counter::AttemptsError,
            Outcome::Rejected => Counter::AttemptsTurnedAway,
            Outcome::TimedOut => Counter::AttemptsTimedOut,
            Outcome::ConnectFailed => Counter::AttemptsNoConnection,
            Outcome::ConnectionLost => Counter::AttemptsBroken,
            Outcome::Cancelled => Counter::AttemptsCancelled,
            Outcome::NotSent => Counter::AttemptsMoot,
        });
        let ended = self.txns.ended(id, no, outcome, now);
        resources.check(ended.is_ok(), Invariant::EndedOnce);
        let Ok(txns::Ended { backend, took, complete, answer }) = ended else {
            return;
        };
        if let Some(idle) = broke {
            self.pool.broke(idle);
        }
        if let Some(idle) = idle {
            self.pool.put(backend, idle);
        }
        let usage = reply.as_ref().map(|reply| self.shared.dialect.reported_usage(reply));
        let ReportedUsage { metered, true_cost } = usage.unwrap_or_default();
        match (reply, answer) {
            (Some(reply), Some(answer)) => {
                resources.count(Counter::RequestsSettled);
                // A client that has left meanwhile says so itself.
                let _ = answer.send(FinalAnswer::Settled(reply));
            }
            (Some(reply), None) if outcome == Outcome::Error => {
                if let Some(held) = self.held.get_mut(&id) {
                    held.failure = Some(reply);
                }
            }
            _ => {}
        }
        let ending = AttemptReport {
            txn: id,
            attempt: no,
            outcome,
            latency: took,
            complete,
            metered_usage: metered,
            actual_cost: true_cost,
        };
        self.events.push(Event::AttemptEnded(ending));
    }

    /// What is still out ends as timed out, and the decisions say what becomes of the txn.
    fn expire(&mut self, id: TxnId) {
        match self.txns.expire(id) {
            Expiry::Nothing => {}
            Expiry::CallOff(out) => out.into_iter().for_each(|no| self.call_off(id, no, CalledOff::TimedOut)),
            Expiry::Overdue => {
                self.shared.resources.check(false, Invariant::AnsweredByExpiry);
                self.conclude(id, FinalAnswer::Voided);
            }
        }
    }

    fn call_off(&mut self, id: TxnId, no: AttemptNumber, why: CalledOff) {
        if let Some(call_off) = self.txns.call_off(id, no) {
            // Its outcome may be on the way already.
            let _ = call_off.send(why);
        }
    }

    fn decide(&mut self, now: Ticks) {
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

    fn carry_out(&mut self, action: Action, now: Ticks) {
        match action {
            Action::SendAttempt { txn, backend, timeout: time_out } => {
                self.submit(txn, backend, time_out, now)
            }
            Action::CancelAttempt { txn, attempt: no } => self.call_off(txn, no, CalledOff::Cancelled),
            Action::Reject { txn, retry_after } => {
                self.shared.resources.check(self.txns.harmless(txn), Invariant::NoEffectTwice);
                self.conclude(txn, FinalAnswer::Declined { retry_after });
            }
            Action::Fail { txn } => self.conclude(txn, FinalAnswer::Voided),
            Action::SetTimer { after, timer } => self.set(now + after, Timer::Wake(timer)),
            Action::SendPeerMessage { to, message: word } => {
                let told = self.peers.as_ref().is_some_and(|peers| peers.tell(to, &word));
                self.shared.resources.count(if told {
                    Counter::PeerMessagesSent
                } else {
                    Counter::PeerMessagesUnsent
                });
            }
            Action::IncrementCounter { key: name, amount: step, expire_after: forget_after } => {
                self.shared.resources.count(Counter::CounterCalls);
                let call = Call { name, step, forget_after };
                // BackendUpdate at once where nobody takes the call, as the counter's own refusal would be.
                if self.counter.as_ref().is_none_or(|counter| counter.send(call).is_err()) {
                    self.events.push(Event::CounterReplied { key: name, reply: CounterReply::NotAdded });
                }
            }
        }
    }

    fn conclude(&mut self, id: TxnId, answer: FinalAnswer) {
        // None where it was settled, or its client left, in this very batch.
        let Some(give) = self.txns.conclude(id) else {
            return;
        };
        let failure = self.held.get_mut(&id).and_then(|held| held.failure.take());
        let answer = self.decisions.final_answer(id, answer, failure);
        let resources = &self.shared.resources;
        resources.count(if matches!(answer, FinalAnswer::Voided) {
            Counter::RequestsVoided
        } else {
            Counter::RequestsDeclined
        });
        let _ = give.send(answer);
    }

    fn submit(&mut self, id: TxnId, backend: BackendId, time_out: Option<Ticks>, now: Ticks) {
        let resources = &self.shared.resources;
        let (no, until) = match self.txns.submit(id, backend, time_out, now) {
            Submit::Unknown => return,
            Submit::Moot { no, complete } => {
                resources.count(Counter::AttemptsMoot);
                let (outcome, took) = (Outcome::NotSent, Ticks(0));
                let ending = AttemptReport {
                    txn: id,
                    attempt: no,
                    outcome,
                    latency: took,
                    complete,
                    metered_usage: None,
                    actual_cost: None,
                };
                return self.events.push(Event::AttemptEnded(ending));
            }
            Submit::Goes { no, until, allowed } => {
                resources.check(allowed, Invariant::NoEffectTwice);
                (no, until)
            }
        };
        resources.count(Counter::Attempts);
        resources.check(self.pool.ready(backend), Invariant::OnlyToListed);
        let Some(held) = self.held.get(&id) else {
            return;
        };
        let (call_off, called_off) = oneshot::channel();
        self.txns.goes(id, no, call_off);
        let extra_headers = self.decisions.extra_headers(id, backend);
        let mut job = Attempt {
            txn: id,
            no,
            request: Rc::clone(&held.request),
            deadline: until,
            cancelled: called_off,
            extra_headers,
        };
        if time_out.is_some() {
            self.set(until, Timer::TimeOut(id, no));
        }
        while let Some(idle) = self.pool.take(backend, now) {
            match idle.next.send(job) {
                Ok(()) => return self.shared.resources.count(Counter::BackendsReused),
                Err(back) => job = back,
            }
        }
        if !self.shared.resources.can_dial() {
            self.pool.shed();
        }
        let shared = Rc::clone(&self.shared);
        match self.pool.address(backend) {
            Some(address) => drop(tokio::task::spawn_local(backend_connection::run(job, address, shared))),
            None => shared.notify_router(RouterMessage::AttemptEnded(AttemptResult::without_reply(
                id,
                no,
                Outcome::ConnectFailed,
            ))),
        }
    }
}
