//! Determines the periods in which a controller that has lost its disk cannot take part in decisions.
//!
//! Such a controller has amnesia until it has been connected, for `MAX_RECONNECT_TIME` without interruption, to a
//! majority of controllers whose persisted state is intact, as it cannot recover without such a majority. If so many
//! disks and machines are lost at once that no such majority is left, which is more than the system is designed to
//! tolerate, nothing is acknowledged until such a majority is connected again. The checker then accepts missing
//! acknowledgements, but no loss of data.

use super::availability::connected_groups;
use super::{MAX_RECONNECT_TIME, Observation};
use crate::cluster::{FaultRecord, FaultScope};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// Interval at which the connections between controllers are evaluated.
const SAMPLING_INTERVAL: Duration = Duration::from_millis(100);

/// A period in which a controller had amnesia.
struct AmnesiaPeriod {
    machine: usize,
    from: Instant,
    /// `None` if it did not recover.
    until: Option<Instant>,
}

/// All periods in which controllers had amnesia.
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
        let end = last_event.unwrap_or(first) + MAX_RECONNECT_TIME * 2;
        let mut losses = losses.into_iter().peekable();
        let mut connected_since: BTreeMap<usize, Instant> = BTreeMap::new();
        let mut at = first;
        while at <= end {
            while let Some((from, machine)) = losses.next_if(|(lost_at, _)| *lost_at <= at) {
                connected_since.remove(&machine);
                periods.begin(machine, from);
            }
            periods.end_where_recovered(observation, &mut connected_since, at);
            at += SAMPLING_INTERVAL;
        }
        periods
    }

    /// Whether this machine had amnesia at that time.
    pub(super) fn has_amnesia(&self, machine: usize, at: Instant) -> bool {
        let is_active =
            |period: &AmnesiaPeriod| period.from <= at && period.until.is_none_or(|until| at < until);
        self.0.iter().any(|period| period.machine == machine && is_active(period))
    }

    fn begin(&mut self, machine: usize, from: Instant) {
        if !self.has_amnesia(machine, from) {
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
        let groups =
            connected_groups(&members, observation.faults.iter().filter(|fault| fault.is_active_at(at)));
        let with_majority: Vec<usize> = groups
            .iter()
            .filter(|group| {
                let intact = group.iter().filter(|machine| !self.has_amnesia(**machine, at)).count();
                intact * 2 > members.len()
            })
            .flatten()
            .copied()
            .collect();
        connected_since.retain(|machine, _| with_majority.contains(machine));
        for period in self.0.iter_mut().filter(|period| period.until.is_none()) {
            if with_majority.contains(&period.machine) {
                let since = *connected_since.entry(period.machine).or_insert(at);
                let has_recovered = at.duration_since(since) >= MAX_RECONNECT_TIME;
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
