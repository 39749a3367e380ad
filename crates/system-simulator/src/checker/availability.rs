//! When the system owes something: while a majority of the controllers is connected that have their disks, and a proxy with
//! it.

use super::amnesia::AmnesiaPeriods;
use super::{CONTACT_TIME, Observation};
use crate::cluster::{ControllerChangeKind, FaultRecord, FaultScope};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Deref;
use tokio::time::Instant;

/// An observation, and what follows from it about when the system owes something.
pub(super) struct Availability<'a> {
    observation: &'a Observation<'a>,
    amnesia: AmnesiaPeriods,
}

impl<'a> Availability<'a> {
    pub(super) fn new(observation: &'a Observation<'a>) -> Availability<'a> {
        Availability { observation, amnesia: AmnesiaPeriods::of(observation) }
    }

    /// Whether a majority of the controllers was connected at that time that remembered what they had persisted, and
    /// nothing changed among the controllers in the `CONTACT_TIME` before.
    pub(super) fn is_stable(&self, at: Instant) -> bool {
        let members = self.controllers_at(at);
        let concerns_controllers = |scope: &FaultScope| match scope {
            FaultScope::Down(machine) | FaultScope::SlowLink(machine) => members.contains(machine),
            FaultScope::Degraded(_) | FaultScope::DiskLost(_) => false,
            FaultScope::Partitioned(_) => true,
        };
        let from = at.checked_sub(CONTACT_TIME).unwrap_or(self.started);
        let is_recent = |when: Instant| when >= from && when <= at;
        if self.controller_changes.iter().any(|change| is_recent(change.at)) {
            return false;
        }
        let faults: Vec<_> = self.faults.iter().filter(|fault| concerns_controllers(&fault.scope)).collect();
        if faults.iter().any(|fault| is_recent(fault.started) || fault.ended.is_some_and(is_recent)) {
            return false;
        }
        let has_slow_link =
            |fault: &&FaultRecord| matches!(fault.scope, FaultScope::SlowLink(_)) && fault.lasts(at);
        if faults.iter().any(has_slow_link) {
            return false;
        }
        let groups = connected_groups(&members, faults.into_iter().filter(|fault| fault.lasts(at)));
        groups.iter().any(|group| {
            let remembering = group.iter().filter(|machine| !self.amnesia.include(**machine, at)).count();
            remembering * 2 > members.len()
        })
    }

    /// Whether a proxy was connected to a stable system at that time, and for `CONTACT_TIME` before.
    pub(super) fn proxy_is_in_touch(&self, proxy: usize, at: Instant) -> bool {
        let proxy_machine = proxy + self.controllers;
        let concerns_proxy = |scope: &FaultScope| match scope {
            FaultScope::Down(machine) | FaultScope::Degraded(machine) | FaultScope::SlowLink(machine) => {
                *machine == proxy_machine
            }
            FaultScope::Partitioned(_) | FaultScope::DiskLost(_) => false,
        };
        at.duration_since(self.started) > CONTACT_TIME
            && !self.had_recent_fault(at, concerns_proxy)
            && self.is_stable(at)
    }

    /// Whether there was such a fault at any time in the `CONTACT_TIME` before.
    fn had_recent_fault(&self, at: Instant, concerns: impl Fn(&FaultScope) -> bool) -> bool {
        let from = at.checked_sub(CONTACT_TIME).unwrap_or(self.started);
        let is_recent =
            |fault: &FaultRecord| fault.started <= at && fault.ended.is_none_or(|ended| ended >= from);
        self.faults.iter().any(|fault| is_recent(fault) && concerns(&fault.scope))
    }
}

impl<'a> Deref for Availability<'a> {
    type Target = Observation<'a>;

    fn deref(&self) -> &Observation<'a> {
        self.observation
    }
}

impl Observation<'_> {
    /// The controllers of that time.
    pub(super) fn controllers_at(&self, at: Instant) -> BTreeSet<usize> {
        let mut controllers: BTreeSet<usize> = (0..self.controllers).collect();
        for change in self.controller_changes.iter().filter(|change| change.at <= at) {
            match change.kind {
                ControllerChangeKind::Added => controllers.insert(change.machine),
                ControllerChangeKind::Removed => controllers.remove(&change.machine),
            };
        }
        controllers
    }
}

impl FaultRecord {
    /// Whether it has begun and is not over.
    pub(super) fn lasts(&self, at: Instant) -> bool {
        self.started <= at && self.ended.is_none_or(|ended| ended > at)
    }
}

/// The controllers that run, in groups of those that reach each other while these faults last.
pub(super) fn connected_groups<'a>(
    members: &BTreeSet<usize>,
    faults: impl Iterator<Item = &'a FaultRecord>,
) -> Vec<BTreeSet<usize>> {
    let (mut down, mut partitions) = (BTreeSet::new(), Vec::new());
    for fault in faults {
        match &fault.scope {
            FaultScope::Down(machine) => drop(down.insert(*machine)),
            FaultScope::Partitioned(side) => partitions.push(side),
            FaultScope::SlowLink(_) | FaultScope::Degraded(_) | FaultScope::DiskLost(_) => {}
        }
    }
    // Controllers reach each other that are on the same side of every partition.
    let mut sides: BTreeMap<Vec<bool>, BTreeSet<usize>> = BTreeMap::new();
    for machine in members.iter().filter(|machine| !down.contains(machine)) {
        let side = partitions.iter().map(|partition| partition.contains(machine)).collect();
        sides.entry(side).or_default().insert(*machine);
    }
    sides.into_values().collect()
}
