//! Who decides: the project's own module, one instance a door; and two to hold it against, the plainest there
//! is and one that sees what no door can.

use std::collections::BTreeMap;
use vanewharf_policy::decide::Balancer;
use vanewharf_policy::interface::{
    Action, Arrival, AttemptReport, BackendId, BackendStatus, BalancerConfig, Event, Idempotency, Outcome,
    Ticks, TxnId,
};

/// What the one that sees is shown: the fleet as it was a moment ago, and the quotas as they are.
pub struct Seen {
    /// For each backend, seconds that a newcomer would wait, or none where nothing should go.
    pub waits: Vec<Option<f64>>,
    /// Seconds of a newcomer's own work and what it adds to the wait, for a second of work.
    pub paces: Vec<f64>,
}

/// Whether one that sees all would let a try in, by the true stores.
pub type Inside<'a> = dyn FnMut(&Arrival) -> bool + 'a;

pub trait Policy {
    fn starts(&mut self, door: usize, told: BalancerConfig);
    fn stops(&mut self, door: usize);
    /// The fleet was looked at anew.
    fn looks(&mut self, _now: Ticks, _backends: usize) {}
    fn decide(
        &mut self,
        door: usize,
        now: Ticks,
        events: Vec<Event>,
        seen: &Seen,
        inside: &mut Inside<'_>,
    ) -> Vec<Action>;
}

/// The module itself.
#[derive(Default)]
pub struct Module {
    doors: BTreeMap<usize, Balancer>,
}

impl Policy for Module {
    fn starts(&mut self, door: usize, told: BalancerConfig) {
        self.doors.insert(door, Balancer::new(told));
    }

    fn stops(&mut self, door: usize) {
        self.doors.remove(&door);
    }

    fn decide(
        &mut self,
        door: usize,
        now: Ticks,
        events: Vec<Event>,
        _: &Seen,
        _: &mut Inside<'_>,
    ) -> Vec<Action> {
        self.doors.get_mut(&door).map_or_else(Vec::new, |door| door.decide(now, events))
    }
}

/// What both baselines keep of a door.
#[derive(Default)]
struct Known {
    told: Option<BalancerConfig>,
    ready: Vec<BackendId>,
    next: usize,
    open: BTreeMap<TxnId, (Arrival, Vec<(BackendId, bool)>)>,
}

impl Known {
    fn listed(&mut self, entries: &[vanewharf_policy::interface::BackendInfo], whole: bool) {
        if whole {
            self.ready.clear();
        }
        for entry in entries {
            self.ready.retain(|id| *id != entry.backend);
            if entry.status == BackendStatus::Ready {
                self.ready.push(entry.backend);
            }
        }
        self.ready.sort_unstable();
    }

    fn submit(&mut self, txn: TxnId, backend: BackendId, actions: &mut Vec<Action>) {
        if let Some((_, sent)) = self.open.get_mut(&txn) {
            sent.push((backend, true));
            actions.push(Action::SendAttempt { txn, backend, timeout: None });
        }
    }

    fn give_up(&mut self, txn: TxnId, actions: &mut Vec<Action>) {
        let Some((arrival, sent)) = self.open.remove(&txn) else {
            return;
        };
        let told = self.told.as_ref().expect("it started");
        let ran = sent.iter().any(|(_, may_have_run)| *may_have_run);
        let harmless = !ran || told.products[arrival.product.0].idempotency != Idempotency::NonIdempotent;
        let decline = Action::Reject { txn, retry_after: None };
        actions.push(if harmless { decline } else { Action::Fail { txn } });
    }

    /// The ended submission's txn, where it is still to be answered and may be sent again.
    fn ended(&mut self, ending: &AttemptReport) -> Option<TxnId> {
        if ending.complete {
            self.open.remove(&ending.txn);
            return None;
        }
        let (arrival, sent) = self.open.get_mut(&ending.txn)?;
        sent.get_mut(ending.attempt.0 as usize)?.1 = !ending.outcome.never_ran();
        let told = self.told.as_ref()?;
        let repeatable = told.products[arrival.product.0].idempotency == Idempotency::Idempotent
            || !sent.iter().any(|(_, may_have_run)| *may_have_run);
        let may = repeatable
            && sent.len() < told.allowed.max_attempts
            && ending.outcome != Outcome::TimedOut
            && ending.outcome != Outcome::NotSent;
        may.then_some(ending.txn)
    }
}

/// Lets all in, in turn, and sends nothing again.
#[derive(Default)]
pub struct Plainest {
    doors: BTreeMap<usize, Known>,
}

impl Policy for Plainest {
    fn starts(&mut self, door: usize, told: BalancerConfig) {
        // Not all doors begin with the same backend.
        let next = door * 7;
        self.doors.insert(door, Known { told: Some(told), next, ..Known::default() });
    }

    fn stops(&mut self, door: usize) {
        self.doors.remove(&door);
    }

    fn decide(
        &mut self,
        door: usize,
        _: Ticks,
        events: Vec<Event>,
        _: &Seen,
        _: &mut Inside<'_>,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        let Some(known) = self.doors.get_mut(&door) else {
            return actions;
        };
        for event in events {
            match event {
                Event::BackendList(entries) => known.listed(&entries, true),
                Event::BackendChanges(entries) => known.listed(&entries, false),
                Event::RequestArrived(arrival) => {
                    let txn = arrival.txn;
                    known.open.insert(txn, (arrival, Vec::new()));
                    if known.ready.is_empty() {
                        known.give_up(txn, &mut actions);
                    } else {
                        known.next += 1;
                        let backend = known.ready[known.next % known.ready.len()];
                        known.submit(txn, backend, &mut actions);
                    }
                }
                Event::AttemptEnded(ending) => {
                    known.ended(&ending);
                    if !ending.complete {
                        known.give_up(ending.txn, &mut actions);
                    }
                }
                Event::ClientDisconnected(txn) => drop(known.open.remove(&txn)),
                _ => {}
            }
        }
        actions
    }
}

/// Sees every backend's line as it was a moment ago and every quota as it is, and sends where the wait is least.
#[derive(Default)]
pub struct Seeing {
    doors: BTreeMap<usize, Known>,
    /// What was sent since the fleet was last seen, in seconds of wait.
    added: Vec<f64>,
}

impl Seeing {
    fn best(&self, known: &Known, seen: &Seen, but: &[(BackendId, bool)]) -> Option<(BackendId, f64)> {
        let wait = |id: &BackendId| {
            let no = id.0 as usize;
            seen.waits.get(no)?.map(|wait| (*id, wait + self.added.get(no).copied().unwrap_or_default()))
        };
        let open = known.ready.iter().filter(|id| !but.iter().any(|(tried, _)| tried == *id));
        open.filter_map(wait).min_by(|one, other| one.1.total_cmp(&other.1))
    }
}

impl Policy for Seeing {
    fn starts(&mut self, door: usize, told: BalancerConfig) {
        self.doors.insert(door, Known { told: Some(told), ..Known::default() });
    }

    fn stops(&mut self, door: usize) {
        self.doors.remove(&door);
    }

    fn looks(&mut self, _: Ticks, backends: usize) {
        self.added = vec![0.0; backends];
    }

    fn decide(
        &mut self,
        door: usize,
        now: Ticks,
        events: Vec<Event>,
        seen: &Seen,
        inside: &mut Inside<'_>,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        let Some(mut known) = self.doors.remove(&door) else {
            return actions;
        };
        for event in events {
            let again = match event {
                Event::BackendList(entries) => {
                    known.listed(&entries, true);
                    None
                }
                Event::BackendChanges(entries) => {
                    known.listed(&entries, false);
                    None
                }
                Event::RequestArrived(arrival) => {
                    let txn = arrival.txn;
                    let lets_in = inside(&arrival);
                    known.open.insert(txn, (arrival, Vec::new()));
                    if !lets_in {
                        known.give_up(txn, &mut actions);
                    }
                    lets_in.then_some(txn)
                }
                Event::AttemptEnded(ending) => {
                    let again = known.ended(&ending);
                    if again.is_none() && !ending.complete {
                        known.give_up(ending.txn, &mut actions);
                    }
                    again
                }
                Event::ClientDisconnected(txn) => {
                    known.open.remove(&txn);
                    None
                }
                _ => None,
            };
            let Some(txn) = again else {
                continue;
            };
            let Some((arrival, sent)) = known.open.get(&txn) else {
                continue;
            };
            let told = known.told.as_ref().expect("it started");
            let sla = told.products[arrival.product.0].sla_time.seconds();
            let left = sla.min((arrival.deadline - now).seconds());
            match self.best(&known, seen, sent) {
                Some((backend, wait)) if wait < left => {
                    let no = backend.0 as usize;
                    if let (Some(added), Some(pace)) = (self.added.get_mut(no), seen.paces.get(no)) {
                        *added += pace;
                    }
                    known.submit(txn, backend, &mut actions);
                }
                _ => known.give_up(txn, &mut actions),
            }
        }
        self.doors.insert(door, known);
        actions
    }
}
