//! Determines when the system must be available: while a majority of the controllers is connected and has its
//! persisted state intact. A proxy must be up to date while it is connected to such a majority.

use super::amnesia::AmnesiaPeriods;
use super::{MAX_RECONNECT_TIME, Observation};
use crate::cluster::{ControllerChangeKind, FaultRecord, FaultScope};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Deref;
use tokio::time::Instant;

/// An observation, from which it can be determined when the system had to be available.
pub(super) struct Availability<'a> {
    observation: &'a Observation<'a>,
    amnesia: AmnesiaPeriods,
}

impl<'a> Availability<'a> {
    pub(super) fn new(observation: &'a Observation<'a>) -> Availability<'a> {
        Availability { observation, amnesia: AmnesiaPeriods::of(observation) }
    }

    /// Whether a majority of the controllers was connected at that time and had its persisted state intact, no
    /// controller's bandwidth was limited, and in the `MAX_RECONNECT_TIME` before no fault of the controllers began or
    /// ended and none of them was added or removed.
    pub(super) fn is_stable(&self, at: Instant) -> bool {
        let members = self.controllers_at(at);
        let affects_controllers = |scope: &FaultScope| match scope {
            FaultScope::Down(machine) | FaultScope::SlowLink(machine) => members.contains(machine),
            FaultScope::Degraded(_) | FaultScope::DiskLost(_) => false,
            FaultScope::Partitioned(_) => true,
        };
        let from = at.checked_sub(MAX_RECONNECT_TIME).unwrap_or(self.started);
        let is_recent = |when: Instant| when >= from && when <= at;
        if self.controller_changes.iter().any(|change| is_recent(change.at)) {
            return false;
        }
        let faults: Vec<_> = self.faults.iter().filter(|fault| affects_controllers(&fault.scope)).collect();
        if faults.iter().any(|fault| is_recent(fault.started) || fault.ended.is_some_and(is_recent)) {
            return false;
        }
        let has_slow_link =
            |fault: &&FaultRecord| matches!(fault.scope, FaultScope::SlowLink(_)) && fault.is_active_at(at);
        if faults.iter().any(has_slow_link) {
            return false;
        }
        let groups = connected_groups(&members, faults.into_iter().filter(|fault| fault.is_active_at(at)));
        groups.iter().any(|group| {
            let intact = group.iter().filter(|machine| !self.amnesia.has_amnesia(**machine, at)).count();
            intact * 2 > members.len()
        })
    }

    /// Whether a proxy was connected to a stable system at that time and in the `MAX_RECONNECT_TIME` before.
    pub(super) fn is_proxy_connected(&self, proxy: usize, at: Instant) -> bool {
        let proxy_machine = proxy + self.controllers;
        let affects_proxy = |scope: &FaultScope| match scope {
            FaultScope::Down(machine) | FaultScope::Degraded(machine) | FaultScope::SlowLink(machine) => {
                *machine == proxy_machine
            }
            FaultScope::Partitioned(_) | FaultScope::DiskLost(_) => false,
        };
        at.duration_since(self.started) > MAX_RECONNECT_TIME
            && !self.had_recent_fault(at, affects_proxy)
            && self.is_stable(at)
    }

    /// Whether a fault with a scope for which `is_relevant` holds was active at any time in the `MAX_RECONNECT_TIME`
    /// before.
    fn had_recent_fault(&self, at: Instant, is_relevant: impl Fn(&FaultScope) -> bool) -> bool {
        let from = at.checked_sub(MAX_RECONNECT_TIME).unwrap_or(self.started);
        let is_recent =
            |fault: &FaultRecord| fault.started <= at && fault.ended.is_none_or(|ended| ended >= from);
        self.faults.iter().any(|fault| is_recent(fault) && is_relevant(&fault.scope))
    }
}

impl<'a> Deref for Availability<'a> {
    type Target = Observation<'a>;

    fn deref(&self) -> &Observation<'a> {
        self.observation
    }
}

impl Observation<'_> {
    /// The controllers that the system had at that time.
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
    /// Whether the fault has begun and not yet ended at that time.
    pub(super) fn is_active_at(&self, at: Instant) -> bool {
        self.started <= at && self.ended.is_none_or(|ended| ended > at)
    }
}

/// Groups the running controllers by which of them can reach each other while these faults are active.
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
    // Two controllers can reach each other if they are on the same side of every partition.
    let mut sides: BTreeMap<Vec<bool>, BTreeSet<usize>> = BTreeMap::new();
    for machine in members.iter().filter(|machine| !down.contains(machine)) {
        let side = partitions.iter().map(|partition| partition.contains(machine)).collect();
        sides.entry(side).or_default().insert(*machine);
    }
    sides.into_values().collect()
}
