//! The operator's orders. One task takes them while this process holds the lease: all that wait share one register and
//! one round among the voters (`franking/src/group.rs`), and each gets an outcome of its own.
//!
//! Registers under one ballot are a chain: each holds all that the ones before it changed, and a voter takes only a higher
//! one. So what a majority keeps makes all before it certain, too, and a round that is held up need not be waited for:
//! after `OVERTAKEN` a second one may start, which takes the first one's orders along if that fails.

use crate::replica::Replica;
use serde_json::value::RawValue;
use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, timeout};
use vanewharf_consensus::{ChangeOutcome, OperatorChange, apply_changes};
use vanewharf_protocol::messages::{Ballot, Register, RegisterRank, Revision};

#[derive(Debug)]
pub enum Order {
    /// The system's own set of voters changes, as long as it is still the one of that epoch.
    Reconfigure {
        epoch: u64,
        voters: BTreeSet<SocketAddr>,
    },
    Change(OperatorChange),
}

/// What became of an order.
#[derive(Debug)]
pub enum OrderOutcome {
    Acknowledged,
    /// Another configuration was taken under its number; this is the number held.
    Conflict {
        held: u64,
    },
    Configuration(Option<Box<RawValue>>),
    /// Nothing is certain: it may or may not come to be in force.
    Uncertain,
    /// Another process takes orders, or nobody does.
    NotHere,
}

struct Waiting {
    order: Order,
    came: Instant,
    reply: oneshot::Sender<OrderOutcome>,
}

impl Waiting {
    /// Its caller has gone, or has gone elsewhere by now: what was sent again there may be overtaken already.
    fn left(&self) -> bool {
        self.reply.is_closed() || self.came.elapsed() > WAITED
    }
}

enum Event {
    Came(Waiting),
    /// A round has ended, with its register kept by a majority or not.
    Ended {
        ballot: Ballot,
        no: Revision,
        kept: bool,
    },
}

#[derive(Clone)]
pub struct OrderQueue {
    replica: Rc<Replica>,
    events: mpsc::Sender<Event>,
}

/// OrderQueue that wait at once; more are turned away.
const MOST_WAITING: usize = 64;
/// An operator goes to another door after a second of silence.
const WAITED: Duration = Duration::from_secs(1);
/// A round that takes longer is not waited for by the next one.
const OVERTAKEN: Duration = Duration::from_millis(600);
/// Rounds under way at once: each is one more write at a voter whose disk is slow.
const MOST_ROUNDS: usize = 2;
/// How often those that wait are looked at.
const LOOKED_AT: Duration = Duration::from_millis(100);

impl OrderQueue {
    pub fn start(replica: Rc<Replica>) -> OrderQueue {
        let (events, taken) = mpsc::channel(MOST_WAITING);
        let (waiting, rounds) = (VecDeque::new(), Vec::new());
        let clerk = OrderExecutor { replica: Rc::clone(&replica), events: events.clone(), waiting, rounds };
        tokio::task::spawn_local(clerk.serve(taken));
        OrderQueue { replica, events }
    }

    /// Where whoever calls drops this, the order is not begun any more.
    pub async fn give(&self, order: Order) -> OrderOutcome {
        let (reply, done) = oneshot::channel();
        let waiting = Waiting { order, came: Instant::now(), reply };
        if self.events.try_send(Event::Came(waiting)).is_err() {
            return OrderOutcome::Uncertain;
        }
        done.await.unwrap_or(OrderOutcome::Uncertain)
    }

    /// The newest configuration that is certain; nobody can have had a newer one acknowledged while the lease lasts.
    pub fn read(&self) -> OrderOutcome {
        let register = self.replica.feed.store().register.clone();
        let config = register.and_then(|register| register.config.clone());
        if self.replica.holds() { OrderOutcome::Configuration(config) } else { OrderOutcome::NotHere }
    }
}

/// One register on its way to a majority, and those who are told once it is certain.
struct Round {
    ballot: Ballot,
    no: Revision,
    begun: Instant,
    told: Vec<(OrderOutcome, oneshot::Sender<OrderOutcome>)>,
}

/// Owns all orders that wait and all rounds.
struct OrderExecutor {
    replica: Rc<Replica>,
    events: mpsc::Sender<Event>,
    waiting: VecDeque<Waiting>,
    /// In the order in which they were begun.
    rounds: Vec<Round>,
}

impl OrderExecutor {
    async fn serve(mut self, mut taken: mpsc::Receiver<Event>) {
        loop {
            let event = if self.waiting.is_empty() {
                taken.recv().await
            } else {
                timeout(LOOKED_AT, taken.recv()).await.unwrap_or(None)
            };
            event.into_iter().for_each(|event| self.hear(event));
            while let Ok(event) = taken.try_recv() {
                self.hear(event);
            }
            self.go_on().await;
        }
    }

    fn hear(&mut self, event: Event) {
        match event {
            Event::Came(order) if self.waiting.len() < MOST_WAITING => self.waiting.push_back(order),
            Event::Came(order) => drop(order.reply.send(OrderOutcome::Uncertain)),
            Event::Ended { ballot, no, kept } => self.ended(ballot, no, kept),
        }
    }

    fn ended(&mut self, ballot: Ballot, no: Revision, kept: bool) {
        let certain = |round: &mut Round| round.ballot == ballot && (round.no == no || kept && round.no < no);
        let mut over: Vec<_> = self.rounds.extract_if(.., certain).collect();
        if kept {
            // Who has gone is told nothing.
            let told = over.into_iter().flat_map(|round| round.told);
            return told.for_each(|(done, reply)| drop(reply.send(done)));
        }
        // The next one holds all that this one does.
        let next = self.rounds.iter_mut().find(|round| round.ballot == ballot && round.no > no);
        match next {
            Some(next) => over.iter_mut().for_each(|round| next.told.append(&mut round.told)),
            None => {
                let told = over.into_iter().flat_map(|round| round.told);
                told.for_each(|(_, reply)| drop(reply.send(OrderOutcome::Uncertain)));
            }
        }
    }

    /// Begins what may be begun now.
    async fn go_on(&mut self) {
        let (left, waiting): (VecDeque<_>, _) =
            std::mem::take(&mut self.waiting).into_iter().partition(Waiting::left);
        self.waiting = waiting;
        left.into_iter().for_each(|waiting| drop(waiting.reply.send(OrderOutcome::Uncertain)));
        if !self.replica.holds() {
            let all = self.waiting.drain(..);
            return all.for_each(|waiting| drop(waiting.reply.send(OrderOutcome::NotHere)));
        }
        let ballot = self.replica.ballot();
        let own: Vec<_> = self.rounds.iter().filter(|round| round.ballot == ballot).collect();
        let held_up = own.last().is_none_or(|round| round.begun.elapsed() >= OVERTAKEN);
        if !held_up || own.len() >= MOST_ROUNDS {
            return;
        }
        let alone = own.is_empty();
        let (mut changes, mut replies) = (Vec::new(), Vec::new());
        while let Some(waiting) = self.waiting.pop_front() {
            match waiting.order {
                Order::Change(change) => {
                    changes.push(change);
                    replies.push(waiting.reply);
                }
                // One at a time, and nothing else meanwhile: who keeps the register changes.
                _ if changes.is_empty() && alone => {
                    let acknowledged = self.membership(&waiting.order).await;
                    let done =
                        if acknowledged { OrderOutcome::Acknowledged } else { OrderOutcome::Uncertain };
                    return drop(waiting.reply.send(done));
                }
                _ => {
                    self.waiting.push_front(waiting);
                    break;
                }
            }
        }
        if !changes.is_empty() {
            self.begin(&changes, replies);
        }
    }

    fn begin(&mut self, changes: &[OperatorChange], replies: Vec<oneshot::Sender<OrderOutcome>>) {
        let newest = self.replica.newest();
        let group = apply_changes(&newest, changes);
        let held = group.register.accepted_configs.last().map_or(0, |taken| taken.revision);
        let conflicts = group.outcomes.iter().filter(|outcome| **outcome == ChangeOutcome::Conflict).count();
        if conflicts > 0 {
            spdlog::warn!("{} refused: another was taken under the number; r{} is held", conflicts, held);
        }
        let done = |outcome| match outcome {
            ChangeOutcome::Acknowledged => OrderOutcome::Acknowledged,
            ChangeOutcome::Conflict => OrderOutcome::Conflict { held },
        };
        let told = group.outcomes.into_iter().map(done).zip(replies).collect();
        if !group.changed && self.replica.certain(&newest) {
            return Vec::into_iter(told)
                .for_each(|(done, reply): (_, oneshot::Sender<_>)| drop(reply.send(done)));
        }
        let same =
            |round: &&mut Round| (RegisterRank { ballot: round.ballot, revision: round.no }) == newest.rank();
        match self.rounds.last_mut().filter(same) {
            Some(round) if !group.changed => round.told.extend(told),
            _ => self.propose(group.register, told),
        }
    }

    fn propose(&mut self, register: Register, told: Vec<(OrderOutcome, oneshot::Sender<OrderOutcome>)>) {
        let Some(register) = self.replica.propose(register) else {
            return told.into_iter().for_each(|(_, reply)| drop(reply.send(OrderOutcome::NotHere)));
        };
        let RegisterRank { ballot, revision: no } = register.rank();
        self.rounds.push(Round { ballot, no, begun: Instant::now(), told });
        let (replica, events) = (Rc::clone(&self.replica), self.events.clone());
        tokio::task::spawn_local(async move {
            let kept = replica.keep(register).await;
            // The clerk ends with the program only.
            let _ = events.send(Event::Ended { ballot, no, kept }).await;
        });
    }

    async fn membership(&self, order: &Order) -> bool {
        match order {
            Order::Change(_) => false,
            Order::Reconfigure { epoch, voters } => {
                self.replica.membership().epoch == *epoch && self.replica.reconfigure(voters.clone()).await
            }
        }
    }
}
