//! From when until when a controller that has lost its disk cannot help to decide anything.
//!
//! It has amnesia until it has been connected for `CONTACT_TIME` without a break to a majority of the controllers that
//! remember what they have persisted: it cannot recover without one. Where so many disks and machines are lost at once
//! that no such majority is left, which is more than the system is built to tolerate, nothing is acknowledged until one is
//! together again; nothing may be lost meanwhile, and the checker excuses no more than the missing acknowledgements.

use super::availability::connected_groups;
use super::{CONTACT_TIME, Observation};
use crate::cluster::{FaultRecord, FaultScope};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// How often it is looked at who is connected.
const STEP: Duration = Duration::from_millis(100);

/// One controller's amnesia.
struct AmnesiaPeriod {
    machine: usize,
    from: Instant,
    /// `None` where it did not recover.
    until: Option<Instant>,
}

/// All times at which controllers had amnesia.
pub(super) struct AmnesiaPeriods(Vec<AmnesiaPeriod>);

impl AmnesiaPeriods {
    pub(super) fn of(observation: &Observation<'_>) -> AmnesiaPeriods {
        let mut losses: Vec<(Instant, usize)> = observation.faults.iter().filter_map(disk_loss).collect();
        losses.sort_by_key(|(at, _)| *at);
        let mut periods = AmnesiaPeriods(Vec::new());
        let Some((first, _)) = losses.first().copied() else {
            return periods;
        };
        let last_event = observation.faults.iter().map(|fault| fault.ended.unwrap_or(fault.started)).max();
        let end = last_event.unwrap_or(first) + CONTACT_TIME * 2;
        let mut losses = losses.into_iter().peekable();
        let mut connected_since: BTreeMap<usize, Instant> = BTreeMap::new();
        let mut at = first;
        while at <= end {
            while let Some((from, machine)) = losses.next_if(|(lost_at, _)| *lost_at <= at) {
                connected_since.remove(&machine);
                periods.begin(machine, from);
            }
            periods.end_where_recovered(observation, &mut connected_since, at);
            at += STEP;
        }
        periods
    }

    /// Whether this machine had amnesia at that time.
    pub(super) fn include(&self, machine: usize, at: Instant) -> bool {
        let lasts = |period: &AmnesiaPeriod| period.from <= at && period.until.is_none_or(|until| at < until);
        self.0.iter().any(|period| period.machine == machine && lasts(period))
    }

    fn begin(&mut self, machine: usize, from: Instant) {
        if !self.include(machine, from) {
            self.0.push(AmnesiaPeriod { machine, from, until: None });
        }
    }

    fn end_where_recovered(
        &mut self,
        observation: &Observation<'_>,
        connected_since: &mut BTreeMap<usize, Instant>,
        at: Instant,
    ) {
        let members = observation.controllers_at(at);
        let groups = connected_groups(&members, observation.faults.iter().filter(|fault| fault.lasts(at)));
        let with_majority: Vec<usize> = groups
            .iter()
            .filter(|group| {
                let remembering = group.iter().filter(|machine| !self.include(**machine, at)).count();
                remembering * 2 > members.len()
            })
            .flatten()
            .copied()
            .collect();
        connected_since.retain(|machine, _| with_majority.contains(machine));
        for period in self.0.iter_mut().filter(|period| period.until.is_none()) {
            if with_majority.contains(&period.machine) {
                let since = *connected_since.entry(period.machine).or_insert(at);
                let has_recovered = at.duration_since(since) >= CONTACT_TIME;
                period.until = has_recovered.then_some(at);
            }
        }
    }
}

fn disk_loss(fault: &FaultRecord) -> Option<(Instant, usize)> {
    match fault.scope {
        FaultScope::DiskLost(machine) => Some((fault.started, machine)),
        _ => None,
    }
}
