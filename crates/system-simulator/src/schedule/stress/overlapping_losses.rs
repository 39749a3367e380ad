//! Generates losses of machines that overlap beyond what the system is built to tolerate, while no more disks are lost
//! than it tolerates. The system may be unavailable then, but must not lose an acknowledged change or return an older
//! state.
//!
//! Disks are lost at no more than one point of a run, so that no second disk is lost before the first machine has
//! recovered, however long the other machines are down.

use super::ScheduleGenerator;
use crate::disk::UnsyncedData;
use crate::schedule::{FaultKind, FaultTrigger, MachineSelector};
use rand::Rng;
use rand::seq::IndexedRandom;

/// The losses begin within this many seconds of each other.
const WINDOW_S: f64 = 6.0;
/// Durations of a loss.
const SPANS_S: [f64; 4] = [0.5, 3.0, 8.0, 15.0];
const SLOW_LINK_BYTES_PER_SECOND: u64 = 60_000;

/// The point of a run at which disks are lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DiskLossMoment {
    /// Between the other losses.
    Amid,
    /// When all machines lose power between the other losses.
    Blackout,
    /// When all machines lose power after an acknowledgement at the end of the run.
    End,
}

impl ScheduleGenerator {
    /// Draws the faults of a schedule.
    pub(super) fn draw_overlapping_losses(&mut self) {
        let moments = [DiskLossMoment::Amid, DiskLossMoment::Blackout, DiskLossMoment::End];
        let moment = *moments.choose(&mut self.rng).expect("there are three");
        let latest = (self.span() - WINDOW_S).max(0.1);
        let from = self.start() + self.rng.random_range(0.0..latest);
        if self.rng.random_bool(0.6) {
            self.split_controllers(from);
        }
        for _ in 0..self.rng.random_range(2..=self.parameters.max_faults.max(2)) {
            let at = from + self.rng.random_range(0.0..WINDOW_S);
            self.overlapping_loss(at);
        }
        for _ in 0..self.rng.random_range(0..3) {
            self.proxy_power_loss(from);
        }
        let at = from + self.rng.random_range(0.0..WINDOW_S);
        match moment {
            DiskLossMoment::Amid => self.lose_disks(at),
            DiskLossMoment::Blackout => self.blackout(at, FaultTrigger::NextAcknowledgement),
            DiskLossMoment::End => {
                let end = self.start() + self.span();
                self.blackout(end, FaultTrigger::NextAcknowledgement);
            }
        }
    }

    fn draw_span(&mut self) -> f64 {
        *SPANS_S.choose(&mut self.rng).expect("there are four")
    }

    fn draw_unsynced(&mut self) -> UnsyncedData {
        match self.rng.random_range(0..4) {
            0 => UnsyncedData::Lost,
            1 => UnsyncedData::Kept,
            _ => UnsyncedData::Torn(self.rng.random()),
        }
    }

    /// Partitions the controllers into two halves that cannot reach each other.
    fn split_controllers(&mut self, at: f64) {
        let count = (self.controllers.len() / 2).max(1);
        let half = self.draw_distinct(count);
        let span = self.draw_span();
        self.push_fault(at, span, FaultKind::ControllerSplit, half);
    }

    fn overlapping_loss(&mut self, at: f64) {
        let victim = MachineSelector::Number(self.draw_controller());
        let span = self.draw_span();
        let kind = match self.rng.random_range(0..6) {
            0 => FaultKind::Kill,
            1 => FaultKind::Freeze,
            2 => FaultKind::Partition { proxies: Vec::new() },
            3 => FaultKind::Shutdown,
            4 => FaultKind::SlowLink(SLOW_LINK_BYTES_PER_SECOND),
            _ => FaultKind::PowerLoss(self.draw_unsynced()),
        };
        self.push_fault(at, span, kind, vec![victim]);
    }

    fn proxy_power_loss(&mut self, from: f64) {
        let at = from + self.rng.random_range(0.0..WINDOW_S);
        let proxy = MachineSelector::Number(self.draw_proxy());
        let (span, unsynced) = (self.draw_span(), self.draw_unsynced());
        self.push_fault(at, span, FaultKind::PowerLoss(unsynced), vec![proxy]);
    }

    /// Schedules the loss of as many disks, with their machines, as may be lost at the same time.
    fn lose_disks(&mut self, at: f64) {
        for victim in self.draw_distinct(self.losses.tolerated()) {
            let offset = self.rng.random_range(0.0..1.0);
            let span = self.draw_span();
            self.push_fault(at + offset, span, FaultKind::DiskLoss, vec![victim]);
        }
    }

    /// Schedules a power loss of all machines, with the loss of as many disks as may be lost at the same time.
    fn blackout(&mut self, at: f64, trigger: FaultTrigger) {
        let wiped = self.draw_distinct(self.losses.tolerated());
        let unsynced = self.draw_unsynced();
        self.push_fault(at, 1.0, FaultKind::Blackout(unsynced), wiped).trigger = trigger;
    }
}
