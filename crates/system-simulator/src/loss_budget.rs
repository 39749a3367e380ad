//! Limits how many controllers a run's faults take out at the same time. If one of them loses its disk, they are no
//! more than the system is designed to tolerate.

use crate::topology::SimulationParameters;
use std::collections::BTreeSet;

/// How long a machine still counts as lost after it has started again, as it has to catch up first.
pub(crate) const RECOVERY_TIME_S: f64 = 4.0;

/// Whether a lost machine has lost its disk as well.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DiskLoss {
    DiskLost,
    DiskKept,
}

/// Controllers that count as lost for a period, in seconds from the start of the run.
#[derive(Clone)]
struct Loss {
    from: f64,
    until: f64,
    machines: BTreeSet<usize>,
    disk: DiskLoss,
}

/// The losses that the faults of a run cause, and their limit.
pub(crate) struct LossBudget {
    tolerated: usize,
    losses: Vec<Loss>,
}

impl LossBudget {
    pub(crate) fn new(parameters: &SimulationParameters) -> LossBudget {
        LossBudget { tolerated: parameters.tolerated_losses(), losses: Vec::new() }
    }

    /// How many controllers may be lost at once if one of them loses its disk.
    pub(crate) fn tolerated(&self) -> usize {
        self.tolerated
    }

    /// Reserves the loss of these machines for `span` seconds. Returns false, and reserves nothing, if too many
    /// machines would be lost at once.
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

    /// Reserves a period of `span` seconds in which no controller can recover: either all controllers are down, or the
    /// disk of a controller that has to persist another one's recovery accepts no writes. The period itself is not a
    /// loss, but every controller that has lost its disk, or is new, counts as lost until it has had the time to
    /// recover after the period. Returns false, and reserves nothing, if too many machines would be lost at once then.
    pub(crate) fn try_delay_recovery(&mut self, from: f64, span: f64) -> bool {
        let (blocked_until, until) = (from + span, from + span + RECOVERY_TIME_S);
        let is_delayed = |loss: &Loss| {
            loss.disk == DiskLoss::DiskLost
                && loss.from <= blocked_until
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

/// Whether at most `tolerated` controllers are lost together with this loss, or none of them loses its disk.
fn is_tolerated(losses: &[Loss], loss: &Loss, tolerated: usize) -> bool {
    let mut lost_at_once = loss.machines.clone();
    let mut any_disk_lost = loss.disk == DiskLoss::DiskLost;
    for other in losses.iter().filter(|other| other.from <= loss.until && loss.from <= other.until) {
        lost_at_once.extend(&other.machines);
        any_disk_lost |= other.disk == DiskLoss::DiskLost;
    }
    !any_disk_lost || lost_at_once.len() <= tolerated
}
