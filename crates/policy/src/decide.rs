//! All decisions of one door: `start` takes what it is told, `decide` gives a batch's actions, in order.
//! Backends, till and desk are actors with inboxes that talk by notes only; `settle_mail` empties them all.

mod account;
mod backend;
mod desk;
mod till;

use crate::interface::*;
use crate::state::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

// Figures without a site of their own; docs/results.md and the journal have what else was tried.
/// Above all asks' timers.
const BEAT_TIMER: TimerId = TimerId(1 << 32);
/// Seconds between a door's beats, and what each leaves of the longest stall that they showed.
const BEAT: (f64, f64) = (0.25, 0.99);
/// Seconds of settling that tell the pace of the fleet.
const SETTLE_SPAN: f64 = 2.0;
/// Long against an answer, short against a failure.
const REST: Ticks = Ticks(80_000);
/// Further submissions for each first one, and the most saved up: enough for one silent backend's txns.
const COPIES: (f64, f64) = (0.1, 12.0);

pub struct Balancer {
    told: BalancerConfig,
    now: Ticks,
    chance: SmallRng,
    desk: Desk,
    till: Till,
    yard: BTreeMap<BackendId, Backend>,
    /// Those with notes in their inboxes, and those to whom time alone may matter.
    posted: VecDeque<BackendId>,
    stirring: BTreeSet<BackendId>,
    actions: Vec<Action>,
    heard: Ticks,
}

impl Balancer {
    pub fn new(told: BalancerConfig) -> Balancer {
        let guess = |mean| Norm { mean, spread: mean, seen: 0.0 };
        let norms = told.products.iter().map(|product| guess(product.sla_time.seconds() / 4.0)).collect();
        let desk = Desk { norms, rated_at: told.started_at, spare: COPIES.1, ..Desk::default() };
        let fits = vec![0.5; told.plans.len()];
        let till = Till { calling: 1.0, reach: 1.0, answered: 1.0, fits, ..Till::default() };
        let (now, yard) = (told.started_at, BTreeMap::new());
        let (posted, stirring, actions) = (VecDeque::new(), BTreeSet::new(), Vec::new());
        let chance = SmallRng::seed_from_u64(told.seed);
        let mut door =
            Balancer { now, told, desk, till, yard, posted, stirring, chance, actions, heard: now };
        door.beat();
        door
    }

    pub fn decide(&mut self, now: Ticks, events: Vec<Event>) -> Vec<Action> {
        self.now = self.now.max(now);
        // Against holding txns that no stall leaves time for: the next one may come at any moment.
        self.till.stall = self.till.stall.max(self.now - self.heard);
        self.heard = self.now;
        for event in events {
            match event {
                Event::BackendList(entries) => {
                    let named = |id: &BackendId| entries.iter().any(|entry| entry.backend == *id);
                    let missing: Vec<_> = self.yard.keys().copied().filter(|id| !named(id)).collect();
                    self.list(entries);
                    missing.into_iter().for_each(|id| self.post(id, ToBackend::Unlisted));
                }
                Event::BackendChanges(entries) => self.list(entries),
                Event::RequestArrived(arrival) => self.desk.inbox.push_back(ToDesk::Arrived(arrival)),
                Event::AttemptEnded(ending) => self.desk.inbox.push_back(ToDesk::Ended(ending)),
                Event::ClientDisconnected(txn) => self.desk.inbox.push_back(ToDesk::Left(txn)),
                Event::TimerFired(BEAT_TIMER) => self.beat(),
                Event::TimerFired(TimerId(ask)) => {
                    self.till.inbox.push_back(ToTill::Overdue(QuotaRequestId(ask as u32)))
                }
                Event::PeerMessageReceived { from, message: word } => {
                    self.till.inbox.push_back(ToTill::Heard(from, word))
                }
                Event::CounterReplied { key: name, reply: counted } => {
                    self.till.inbox.push_back(ToTill::Counted(name, counted))
                }
            }
        }
        self.settle_mail();
        // Judged after the events: a door held up itself must not take its own backlog for silence.
        self.tick();
        self.settle_mail();
        std::mem::take(&mut self.actions)
    }

    /// Where txns are held for other doors' words, a door must know when it stood still itself.
    fn beat(&mut self) {
        if self.told.peer_messages {
            self.till.stall = self.till.stall.times(BEAT.1);
            self.actions.push(Action::SetTimer { after: Ticks::SECOND.times(BEAT.0), timer: BEAT_TIMER });
        }
    }

    fn list(&mut self, entries: Vec<BackendInfo>) {
        for entry in entries {
            self.yard.entry(entry.backend).or_insert_with(|| Backend::new(self.now));
            self.post(entry.backend, ToBackend::Listed(entry));
        }
    }

    fn post(&mut self, id: BackendId, note: ToBackend) {
        if let Some(actor) = self.yard.get_mut(&id) {
            actor.inbox.push_back(note);
            self.posted.push_back(id);
        }
    }

    /// Time is told to those alone that have something out, rest or warm up: in a wide fleet few of all.
    fn tick(&mut self) {
        let warm = self.desk.board.values().filter(|offer| !offer.cold && !offer.bad);
        let (rate, size) = warm.fold((0.0, 1e-6), |(rate, size), offer| {
            (rate + offer.sent_rate * faded(offer.rated_at, self.now), size + offer.size)
        });
        let (warm_rate, patience) = (rate / size, self.desk.patience());
        // The random part keeps doors that rested a backend together from returning to it together.
        let rest = REST.times(1.0 + 0.5 * self.chance.random::<f64>());
        for id in std::mem::take(&mut self.stirring) {
            self.post(id, ToBackend::Tick { patience, warm_rate, rest });
        }
    }

    /// Backends first, then the till, so that the desk never acts on a board that is behind.
    fn settle_mail(&mut self) {
        loop {
            while let Some(id) = self.posted.pop_front() {
                let Some(actor) = self.yard.get_mut(&id).filter(|actor| !actor.inbox.is_empty()) else {
                    continue;
                };
                while let Some(note) = actor.inbox.pop_front() {
                    actor.hear(note, self.now, &self.told.warm_up);
                }
                if actor.stirs(self.now, &self.told.warm_up) {
                    self.stirring.insert(id);
                }
                let offer = actor.listed.then(|| actor.offer(self.now, &self.told.warm_up));
                if !actor.listed && actor.out.is_empty() {
                    self.yard.remove(&id);
                }
                self.desk.board.remove(&id);
                self.desk.board.extend(offer.map(|offer| (id, offer)));
            }
            if let Some(note) = self.till.inbox.pop_front() {
                if let Some(answer) = self.till.hear(note, self.now, &self.told) {
                    self.desk.inbox.push_front(answer);
                }
                self.actions.append(&mut self.till.calls);
            } else if let Some(note) = self.desk.inbox.pop_front() {
                self.hear(note);
            } else {
                return;
            }
        }
    }
}

fn faded(since: Ticks, now: Ticks) -> f64 {
    (-(now - since).seconds() / SETTLE_SPAN).exp()
}
