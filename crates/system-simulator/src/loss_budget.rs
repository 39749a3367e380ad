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
#[derive(Clone)]
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
        let loss = Loss { from, until: from + span + RECOVERY_TIME_S, machines, disk };
        let allowed = is_tolerated(&self.losses, &loss, self.tolerated);
        if allowed {
            self.losses.push(loss);
        }
        allowed
    }

    /// For `span` seconds nobody can recover: all controllers are down, or a disk of those who have to write down that
    /// another one recovers takes no writes. That counts for no loss, but whoever has lost its disk, or is new, counts as
    /// lost until it has had the time to recover afterwards. Refused where too many would be lost at once with that.
    pub(crate) fn try_delay_recovery(&mut self, from: f64, span: f64) -> bool {
        let (stopped_until, until) = (from + span, from + span + RECOVERY_TIME_S);
        let is_delayed = |loss: &Loss| {
            loss.disk == DiskLoss::DiskLost
                && loss.from <= stopped_until
                && (from..until).contains(&loss.until)
        };
        let mut losses = self.losses.clone();
        losses.iter_mut().filter(|loss| is_delayed(loss)).for_each(|loss| loss.until = until);
        let delayed = losses.iter().filter(|loss| loss.until == until);
        let allowed = delayed.into_iter().all(|loss| is_tolerated(&losses, loss, self.tolerated));
        if allowed {
            self.losses = losses;
        }
        allowed
    }
}

/// Whether no more controllers than that are lost at once with this loss, where one of them loses its disk.
fn is_tolerated(losses: &[Loss], loss: &Loss, tolerated: usize) -> bool {
    let mut lost_at_once = loss.machines.clone();
    let mut any_disk_lost = loss.disk == DiskLoss::DiskLost;
    for other in losses.iter().filter(|other| other.from <= loss.until && loss.from <= other.until) {
        lost_at_once.extend(&other.machines);
        any_disk_lost |= other.disk == DiskLoss::DiskLost;
    }
    !any_disk_lost || lost_at_once.len() <= tolerated
}
