//! Generates the faults of a stress schedule, except for overlapping losses.

use super::{ScheduleGenerator, Theme, Victim};
use crate::disk::{DiskCondition, UnsyncedData};
use crate::fault::SHUTDOWN_GRACE;
use crate::loss_budget::{DiskLoss, RECOVERY_TIME_S};
use crate::schedule::{FaultKind, FaultTrigger, MachineSelector};
use rand::Rng;
use rand::seq::IndexedRandom;
use std::collections::BTreeSet;

/// The maximum duration of a shutdown.
const SHUTDOWN_GRACE_S: f64 = SHUTDOWN_GRACE.as_secs_f64();
/// The duration of a long partition or freeze.
const LONG_SPAN_S: f64 = 20.0;
/// The duration of the power loss of all machines at the end of a run.
const FINAL_BLACKOUT_S: f64 = 1.0;
/// The time reserved for it in the loss budget, most of which the fault may wait for an acknowledgement.
const FINAL_BLACKOUT_RESERVED_S: f64 = 4.0;
const SLOW_LINK_BYTES_PER_SECOND: [u64; 3] = [20_000, 60_000, 250_000];
const DISK_CONDITIONS: [DiskCondition; 3] = [DiskCondition::Slow, DiskCondition::Hung, DiskCondition::Full];

/// The kinds of fault that are drawn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DrawnFault {
    Kill,
    KillAll,
    PowerLoss,
    DiskLoss,
    Freeze,
    DiskFault,
    Partition,
    OneWayCut,
    KillWithOtherSeeds,
    Replacement,
    SlowLink,
    Blackout,
    Shutdown,
    ProxyCut,
    ProxyKill,
}

/// All kinds, indexed by a random number; a kind that is listed twice is drawn twice as often.
const ALL_FAULTS: [DrawnFault; 16] = [
    DrawnFault::Kill,
    DrawnFault::KillAll,
    DrawnFault::PowerLoss,
    DrawnFault::DiskLoss,
    DrawnFault::Freeze,
    DrawnFault::DiskFault,
    DrawnFault::Partition,
    DrawnFault::OneWayCut,
    DrawnFault::KillWithOtherSeeds,
    DrawnFault::Replacement,
    DrawnFault::ProxyKill,
    DrawnFault::SlowLink,
    DrawnFault::Blackout,
    DrawnFault::Shutdown,
    DrawnFault::ProxyCut,
    DrawnFault::ProxyKill,
];

impl Theme {
    /// The kinds of fault that a run with this theme has most often.
    fn fault_kinds(self) -> &'static [DrawnFault] {
        use DrawnFault::*;
        match self {
            Theme::Membership => {
                &[Replacement, Replacement, Replacement, KillWithOtherSeeds, Kill, DiskLoss, Partition]
            }
            Theme::DiskLosses => &[DiskLoss, DiskLoss, DiskLoss, Blackout, KillWithOtherSeeds, DiskFault],
            Theme::Changes => &[Kill, PowerLoss, KillWithOtherSeeds, SlowLink, Shutdown, Freeze, Partition],
            Theme::Partitions => &[Partition, Partition, OneWayCut, OneWayCut, Freeze],
            Theme::Clocks => &[Partition, Freeze, Freeze, Kill, Shutdown],
            // `draw_overlapping_losses` draws the faults of this theme.
            Theme::OverlappingLosses => &[],
            Theme::LostAcknowledgements => {
                &[Kill, KillAll, PowerLoss, Freeze, DiskFault, Partition, Shutdown]
            }
        }
    }
}

impl ScheduleGenerator {
    /// Draws the faults of a schedule.
    pub(super) fn draw_faults(&mut self) {
        let count = self.rng.random_range(1..=self.parameters.max_faults.max(1));
        let mut times: Vec<f64> = (0..count).map(|_| self.draw_time()).collect();
        times.sort_by(f64::total_cmp);
        for at in times {
            self.draw_fault(at);
        }
        if self.rng.random_bool(0.3) {
            self.final_blackout(self.start() + self.span());
        }
    }

    fn draw_fault(&mut self, at: f64) {
        let drawn = if self.rng.random_bool(0.7) {
            *self.theme.fault_kinds().choose(&mut self.rng).expect("there are kinds")
        } else {
            ALL_FAULTS[self.rng.random_range(0..ALL_FAULTS.len() as u32) as usize]
        };
        let span = self.rng.random_range(0.3..5.0);
        match drawn {
            DrawnFault::Kill | DrawnFault::KillWithOtherSeeds | DrawnFault::Shutdown => {
                self.restart(drawn, at, span)
            }
            DrawnFault::KillAll => {
                let all = self.controllers.iter().copied().map(MachineSelector::Number).collect();
                if self.losses.try_delay_recovery(at, span / 4.0) {
                    self.push_fault(at, span / 4.0, FaultKind::Kill, all);
                }
            }
            DrawnFault::PowerLoss => self.power_loss(at, span),
            DrawnFault::DiskLoss => self.disk_loss(at, span),
            DrawnFault::Freeze => self.freeze(at, span),
            DrawnFault::DiskFault => self.disk_fault(at, span),
            DrawnFault::Partition => self.partition(at),
            DrawnFault::OneWayCut => self.one_way_cut(at, span),
            DrawnFault::Replacement => self.replacement(at, span),
            DrawnFault::SlowLink => self.slow_link(at, span * 3.0),
            DrawnFault::Blackout => {
                let wiped = self.draw_wiped(at, span / 3.0);
                if self.losses.try_delay_recovery(at, span / 3.0) {
                    self.push_fault(at, span / 3.0, FaultKind::Blackout(UnsyncedData::Lost), wiped);
                }
            }
            DrawnFault::ProxyCut => {
                let proxy = self.draw_proxy();
                self.push_fault(at, span * 2.0, FaultKind::ProxyCut { proxy }, Vec::new());
            }
            DrawnFault::ProxyKill => {
                let proxy = self.draw_proxy();
                self.push_fault(at, span, FaultKind::ProxyKill { proxy }, Vec::new());
            }
        }
    }

    /// Reserves a loss of these machines without their disks; returns whether the loss budget allows it.
    fn try_reserve_machines(&mut self, at: f64, span: f64, lost: BTreeSet<usize>) -> bool {
        self.losses.try_reserve(at, span, lost, DiskLoss::DiskKept)
    }

    fn restart(&mut self, drawn: DrawnFault, at: f64, span: f64) {
        let Victim { selector, lost } = self.draw_victim();
        if !self.try_reserve_machines(at, span + SHUTDOWN_GRACE_S, lost) {
            return;
        }
        let seeds = if drawn == DrawnFault::KillWithOtherSeeds { self.draw_seeds() } else { Vec::new() };
        let kind = if drawn == DrawnFault::Shutdown { FaultKind::Shutdown } else { FaultKind::Kill };
        self.push_fault(at, span, kind, vec![selector]).seeds = seeds;
    }

    fn power_loss(&mut self, at: f64, span: f64) {
        let Victim { selector, lost } = self.draw_victim();
        let choices = [UnsyncedData::Lost, UnsyncedData::Kept, UnsyncedData::Torn(self.rng.random())];
        let unsynced = *choices.choose(&mut self.rng).expect("there are three");
        if self.try_reserve_machines(at, span, lost) {
            self.push_fault(at, span, FaultKind::PowerLoss(unsynced), vec![selector]);
        }
    }

    fn freeze(&mut self, at: f64, span: f64) {
        let Victim { selector, lost } = self.draw_victim();
        let span = if self.rng.random_bool(0.5) { LONG_SPAN_S } else { span };
        if self.try_reserve_machines(at, span, lost) {
            self.push_fault(at, span, FaultKind::Freeze, vec![selector]);
        }
    }

    fn one_way_cut(&mut self, at: f64, span: f64) {
        let Victim { selector, lost } = self.draw_victim();
        let span = *[LONG_SPAN_S, LONG_SPAN_S, span].choose(&mut self.rng).expect("there are three");
        let kind = if self.rng.random_bool(0.5) { FaultKind::OutboundCut } else { FaultKind::InboundCut };
        if self.try_reserve_machines(at, span, lost) {
            self.push_fault(at, span, kind, vec![selector]);
        }
    }

    fn slow_link(&mut self, at: f64, span: f64) {
        let Victim { selector, lost } = self.draw_victim();
        let rate = *SLOW_LINK_BYTES_PER_SECOND.choose(&mut self.rng).expect("there are three");
        if self.try_reserve_machines(at, span, lost) {
            self.push_fault(at, span, FaultKind::SlowLink(rate), vec![selector]);
        }
    }

    fn disk_fault(&mut self, at: f64, span: f64) {
        let condition = *DISK_CONDITIONS.choose(&mut self.rng).expect("there are three");
        let selector = self.draw_victim().selector;
        let takes_writes = condition == DiskCondition::Slow;
        if takes_writes || self.losses.try_delay_recovery(at, span) {
            self.push_fault(at, span, FaultKind::Disk(condition), vec![selector]);
        }
    }

    /// Draws as many controllers as may lose their disks at the same time; none if other losses at that time use up the
    /// budget.
    fn draw_wiped(&mut self, at: f64, span: f64) -> Vec<MachineSelector> {
        let (mut remaining, mut wiped) = (self.controllers.clone(), BTreeSet::new());
        while wiped.len() < self.losses.tolerated() {
            wiped.insert(remaining.remove(self.rng.random_range(0..remaining.len())));
        }
        let allowed = self.losses.try_reserve(at, span, wiped.clone(), DiskLoss::DiskLost);
        wiped.into_iter().filter(|_| allowed).map(MachineSelector::Number).collect()
    }

    /// Schedules the loss of a disk, often followed by a second loss as soon as the first one does not count as lost
    /// any more. Another disk may be faulty while the first machine recovers.
    fn disk_loss(&mut self, at: f64, span: f64) {
        let controller = self.draw_controller();
        if !self.losses.try_reserve(at, span, [controller].into(), DiskLoss::DiskLost) {
            return;
        }
        let seeds = if self.rng.random_bool(0.6) { self.draw_seeds() } else { Vec::new() };
        let machines = vec![MachineSelector::Number(controller)];
        self.push_fault(at, span, FaultKind::DiskLoss, machines).seeds = seeds;
        if self.rng.random_bool(0.4) {
            let second = at + span + self.rng.random_range(-0.5..RECOVERY_TIME_S);
            self.disk_fault(second.max(at), 2.5);
        }
        if self.rng.random_bool(0.7) {
            self.second_loss(at + span + RECOVERY_TIME_S);
        }
    }

    /// Schedules another loss as soon as the previous one does not count as lost any more.
    fn second_loss(&mut self, earliest: f64) {
        let at = earliest + self.rng.random_range(0.01..0.3);
        let span = self.rng.random_range(0.5..8.0);
        let controller = self.draw_controller();
        let (kind, disk) = match self.rng.random_range(0..6) {
            0 => (FaultKind::Kill, DiskLoss::DiskKept),
            1 => (FaultKind::PowerLoss(UnsyncedData::Lost), DiskLoss::DiskKept),
            2 => (FaultKind::Partition { proxies: Vec::new() }, DiskLoss::DiskKept),
            3 => (FaultKind::Freeze, DiskLoss::DiskKept),
            _ => (FaultKind::DiskLoss, DiskLoss::DiskLost),
        };
        if self.losses.try_reserve(at, span, [controller].into(), disk) {
            let other_seeds = disk == DiskLoss::DiskLost && self.rng.random_bool(0.5);
            let seeds = if other_seeds { self.draw_seeds() } else { Vec::new() };
            let machines = vec![MachineSelector::Number(controller)];
            self.push_fault(at, span, kind, machines).seeds = seeds;
        }
    }

    /// Schedules a partition of a minority of the controllers, often with the leaseholder, and some proxies from all
    /// other machines.
    fn partition(&mut self, at: f64) {
        let spans = [LONG_SPAN_S, LONG_SPAN_S, 3.0, 8.0];
        let span = *spans.choose(&mut self.rng).expect("there are four");
        let Victim { selector, mut lost } = self.draw_victim();
        let mut machines = vec![selector];
        if self.losses.tolerated() > 1 && self.rng.random_bool(0.5) {
            let other = self.draw_controller();
            machines.push(MachineSelector::Number(other));
            lost.insert(other);
        }
        let proxies = (0..self.parameters.proxies).filter(|_| self.rng.random_bool(0.25));
        let proxies = proxies.map(|proxy| proxy + self.parameters.controllers).collect();
        if self.try_reserve_machines(at, span, lost) {
            self.push_fault(at, span, FaultKind::Partition { proxies }, machines);
        }
    }

    /// Schedules the permanent removal of a controller and the addition of a spare with another address.
    fn replacement(&mut self, at: f64, span: f64) {
        let Some(new) = self.spares.last().copied() else {
            return;
        };
        let old = self.draw_controller();
        // The controller counts as lost until its replacement has had time to recover.
        let lost_for = span + SHUTDOWN_GRACE_S;
        if !self.losses.try_reserve(at, lost_for, [old].into(), DiskLoss::DiskLost) {
            return;
        }
        self.spares.pop();
        self.controllers.retain(|controller| *controller != old);
        self.controllers.push(new);
        self.removed.push(old);
        let mut seeds = self.draw_seeds();
        seeds.retain(|seed| *seed != MachineSelector::Number(new));
        let machines = vec![MachineSelector::Number(old)];
        self.push_fault(at, span, FaultKind::Replacement { new }, machines).seeds = seeds;
        if self.rng.random_bool(0.6) {
            self.second_loss(at + span + SHUTDOWN_GRACE_S + RECOVERY_TIME_S);
        }
    }

    /// Schedules a power loss of all machines after an acknowledgement, with the loss of as many disks as may be lost
    /// at the same time.
    fn final_blackout(&mut self, at: f64) {
        let wiped = self.draw_wiped(at, FINAL_BLACKOUT_RESERVED_S);
        if self.losses.try_delay_recovery(at, FINAL_BLACKOUT_RESERVED_S) {
            self.push_fault(at, FINAL_BLACKOUT_S, FaultKind::Blackout(UnsyncedData::Lost), wiped).trigger =
                FaultTrigger::NextAcknowledgement;
        }
    }
}
