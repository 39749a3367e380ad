//! How many controllers may be lost at the same time: where a disk is lost, no more than the system is built to tolerate.

use crate::topology::SimulationParameters;
use std::collections::BTreeSet;

/// Seconds for which a machine counts as lost after it is back, until it is in sync again.
pub(crate) const RECOVERY_TIME_S: f64 = 4.0;

/// Whether a lost machine has lost its disk, too.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DiskLoss {
    DiskLost,
    DiskKept,
}

/// Controllers that count as lost for a while, in seconds of the run.
struct Loss {
    from: f64,
    until: f64,
    machines: BTreeSet<usize>,
    disk: DiskLoss,
}

/// The losses that a run's faults cause.
pub(crate) struct LossBudget {
    tolerated: usize,
    losses: Vec<Loss>,
}

impl LossBudget {
    pub(crate) fn new(parameters: &SimulationParameters) -> LossBudget {
        LossBudget { tolerated: parameters.tolerated_losses(), losses: Vec::new() }
    }

    /// How many controllers may be lost at once where one of them loses its disk.
    pub(crate) fn tolerated(&self) -> usize {
        self.tolerated
    }

    /// Reserves a loss of these machines for `span` seconds, unless too many would be lost at once with it.
    pub(crate) fn try_reserve(
        &mut self,
        from: f64,
        span: f64,
        machines: BTreeSet<usize>,
        disk: DiskLoss,
    ) -> bool {
        let until = from + span + RECOVERY_TIME_S;
        let mut lost_at_once = machines.clone();
        let mut any_disk_lost = disk == DiskLoss::DiskLost;
        for other in self.losses.iter().filter(|other| other.from <= until && from <= other.until) {
            lost_at_once.extend(&other.machines);
            any_disk_lost |= other.disk == DiskLoss::DiskLost;
        }
        let allowed = !any_disk_lost || lost_at_once.len() <= self.tolerated;
        if allowed {
            self.losses.push(Loss { from, until, machines, disk });
        }
        allowed
    }
}
