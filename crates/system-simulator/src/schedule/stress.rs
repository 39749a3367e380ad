//! Generates stress schedules from a seed: concurrent and repeated commands, voter replacements, hundreds of
//! configuration changes, wiped and replaced machines that start with other seed nodes, second losses as soon as the
//! loss budget allows them, partitions of the leaseholder, and clock drift. Unless losses are meant to overlap, no more
//! machines are lost at the same time than the system is built to tolerate.
//!
//! Every schedule depends on the order of the random draws: adding, removing or moving a draw changes the outcomes of
//! all seeds.

mod commands;
mod faults;
mod overlapping_losses;

use super::{FaultKind, FaultTrigger, MachineSelector, Schedule, ScheduledFault};
use crate::loss_budget::LossBudget;
use crate::run::TRAFFIC_START;
use crate::topology::SimulationParameters;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use std::collections::BTreeSet;
use std::fmt;

/// Makes the random stream of the generator independent of other streams of the same seed.
const SEED_SALT: u64 = 0x4a2d;
/// Draws overlapping losses from a stream of their own, so that the other draws are the same with and without them.
const OVERLAP_SEED_SALT: u64 = 0x0e1a;
/// Probability that a schedule has overlapping losses beyond what the system tolerates.
const OVERLAP_PROBABILITY: f64 = 0.2;
/// Draws erratic latencies from a stream of their own, like `OVERLAP_SEED_SALT`.
const ERRATIC_SEED_SALT: u64 = 0xe44a;
/// Probability that disk operations and messages of a run complete out of order.
const ERRATIC_PROBABILITY: f64 = 0.35;
/// Relative deviation of clock rates in runs with clock drift.
const CLOCK_DRIFT: f64 = 0.05;
/// Probability with which an acknowledgement is lost in runs that lose acknowledgements.
const ACKNOWLEDGEMENT_LOSS: f64 = 0.4;
/// Spare controllers of a run that has any.
const SPARES: usize = 2;
/// Seed nodes of a machine that starts again with other ones.
const SEED_NODES: usize = 3;
/// Machine number that stands in the loss budget for the controller that holds the lease when the fault begins.
const ANY_LEASEHOLDER: usize = usize::MAX;

/// The emphasis of a run. Every run may have faults and commands of all kinds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Theme {
    Membership,
    DiskLosses,
    Changes,
    Partitions,
    Clocks,
    LostAcknowledgements,
    /// More machines are lost at the same time than the system is built to tolerate, but no more disks than that.
    OverlappingLosses,
}

/// The relative frequency of each theme. `Changes` is rare because runs with hundreds of changes take the longest.
const THEME_WEIGHTS: [(Theme, u32); 6] = [
    (Theme::Membership, 3),
    (Theme::DiskLosses, 3),
    (Theme::Changes, 1),
    (Theme::Partitions, 2),
    (Theme::Clocks, 1),
    (Theme::LostAcknowledgements, 2),
];

/// The theme's name, which is part of the schedule's name.
impl fmt::Display for Theme {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Theme::Membership => "membership",
            Theme::DiskLosses => "wipes",
            Theme::Changes => "changes",
            Theme::Partitions => "cuts",
            Theme::Clocks => "clocks",
            Theme::LostAcknowledgements => "answers",
            Theme::OverlappingLosses => "overlaps",
        })
    }
}

/// A controller that is about to be lost.
struct Victim {
    selector: MachineSelector,
    /// The machines that the loss budget counts as lost.
    lost: BTreeSet<usize>,
}

struct ScheduleGenerator {
    rng: SmallRng,
    parameters: SimulationParameters,
    theme: Theme,
    losses: LossBudget,
    faults: Vec<ScheduledFault>,
    /// The active controllers, in the order in which operators know them.
    controllers: Vec<usize>,
    /// Controllers that were removed permanently.
    removed: Vec<usize>,
    /// Unused spare controllers; the last one is used next.
    spares: Vec<usize>,
}

/// Generates the schedule of a seed.
pub fn generate_schedule(parameters: SimulationParameters, seed: u64) -> Schedule {
    let mut rng = SmallRng::seed_from_u64(seed ^ SEED_SALT);
    let drawn = THEME_WEIGHTS.choose_weighted(&mut rng, |(_, weight)| *weight).expect("there are themes").0;
    let losses_overlap = draw_separately(seed, OVERLAP_SEED_SALT, OVERLAP_PROBABILITY);
    let theme = if losses_overlap { Theme::OverlappingLosses } else { drawn };
    let spare_probability = if theme == Theme::Membership { 0.8 } else { 0.15 };
    let spares = if rng.random_bool(spare_probability) { SPARES } else { 0 };
    let first_spare = parameters.controllers + parameters.proxies;
    let mut generator = ScheduleGenerator {
        rng,
        parameters,
        theme,
        losses: LossBudget::new(&parameters),
        faults: Vec::new(),
        controllers: (0..parameters.controllers).collect(),
        removed: Vec::new(),
        spares: (first_spare..first_spare + spares).rev().collect(),
    };
    match theme {
        Theme::OverlappingLosses => generator.draw_overlapping_losses(),
        _ => generator.draw_faults(),
    }
    let commands = generator.draw_commands();
    let rng = &mut generator.rng;
    let drifting = theme == Theme::Clocks || rng.random_bool(0.1);
    let losing = theme == Theme::LostAcknowledgements || rng.random_bool(0.3);
    Schedule {
        name: format!("seed {seed}: {theme}"),
        seed,
        parameters,
        spares,
        clock_drift: if drifting { CLOCK_DRIFT } else { 0.0 },
        acknowledgement_loss: if losing { ACKNOWLEDGEMENT_LOSS } else { 0.0 },
        erratic: draw_separately(seed, ERRATIC_SEED_SALT, ERRATIC_PROBABILITY),
        commands,
        faults: generator.faults,
    }
}

/// Draws from a stream of its own, so that the other draws do not depend on it.
fn draw_separately(seed: u64, salt: u64, probability: f64) -> bool {
    SmallRng::seed_from_u64(seed ^ salt).random_bool(probability)
}

impl ScheduleGenerator {
    /// The earliest time of a fault or command, in seconds from the start of the run.
    fn start(&self) -> f64 {
        TRAFFIC_START.as_secs_f64()
    }

    /// Seconds after `start` in which faults and commands may begin.
    fn span(&self) -> f64 {
        self.parameters.seconds as f64
    }

    /// Draws the time of a fault or command.
    fn draw_time(&mut self) -> f64 {
        self.start() + self.rng.random_range(0.0..self.parameters.seconds as f64)
    }

    fn draw_controller(&mut self) -> usize {
        *self.controllers.choose(&mut self.rng).expect("there are controllers")
    }

    /// Draws a controller, with increased probability the leaseholder.
    fn draw_victim(&mut self) -> Victim {
        if self.rng.random_bool(0.4) {
            return Victim { selector: MachineSelector::Leaseholder, lost: [ANY_LEASEHOLDER].into() };
        }
        let controller = self.draw_controller();
        Victim { selector: MachineSelector::Number(controller), lost: [controller].into() }
    }

    /// Draws distinct active controllers as seed nodes, in random order; they may be down or partitioned.
    fn draw_seeds(&mut self) -> Vec<MachineSelector> {
        self.draw_distinct(SEED_NODES)
    }

    /// Draws this many distinct active controllers in random order, or all if there are fewer.
    fn draw_distinct(&mut self, count: usize) -> Vec<MachineSelector> {
        let mut remaining = self.controllers.clone();
        let mut drawn = Vec::new();
        while drawn.len() < count && !remaining.is_empty() {
            let index = self.rng.random_range(0..remaining.len());
            drawn.push(MachineSelector::Number(remaining.remove(index)));
        }
        drawn
    }

    /// Draws the machine number of a proxy.
    fn draw_proxy(&mut self) -> usize {
        self.parameters.controllers + self.rng.random_range(0..self.parameters.proxies)
    }

    fn push_fault(
        &mut self,
        at: f64,
        span: f64,
        kind: FaultKind,
        machines: Vec<MachineSelector>,
    ) -> &mut ScheduledFault {
        let (seeds, trigger) = (Vec::new(), FaultTrigger::Time);
        self.faults.push(ScheduledFault { at, span, kind, machines, seeds, trigger });
        self.faults.last_mut().expect("it was pushed")
    }
}
