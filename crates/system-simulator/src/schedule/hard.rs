//! Draws hard schedules from a seed: commands that race, are repeated and change the voters, hundreds of changes, wiped
//! and replaced machines with other seed nodes, second losses as soon as they are allowed, partitions of the leaseholder,
//! clocks that drift. No more is lost at once than the system is built to tolerate.
//!
//! The order of the draws decides every schedule: a draw that is added, left out or moved changes all outcomes by seed.

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

/// Separates these draws from others of the same seed.
const SEED_SALT: u64 = 0x4a2d;
/// Separates the draw of overlapping losses from the others, which are the same with and without it.
const OVERLAP_SEED_SALT: u64 = 0x0e1a;
/// How often losses overlap beyond what is tolerated.
const OVERLAP_PROBABILITY: f64 = 0.2;
const ERRATIC_SEED_SALT: u64 = 0xe44a;
/// How often disk operations and messages complete in any order.
const ERRATIC_PROBABILITY: f64 = 0.35;
/// By which part clocks are off, where they are.
const CLOCK_DRIFT: f64 = 0.05;
/// Which part of the acknowledgements is lost, where some are.
const ACKNOWLEDGEMENT_LOSS: f64 = 0.4;
const SPARES: usize = 2;
const SEED_NODES: usize = 3;
/// Stands in the loss budget for whoever holds the lease then.
const ANY_LEASEHOLDER: usize = usize::MAX;

/// What a run is mostly about; each has a little of everything.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Theme {
    Membership,
    DiskLosses,
    Changes,
    Partitions,
    Clocks,
    LostAcknowledgements,
    /// Losses overlap beyond what the system is built to tolerate, but for disks.
    OverlappingLosses,
}

/// Each theme and how often it is drawn; runs with hundreds of changes take the longest.
const THEME_WEIGHTS: [(Theme, u32); 6] = [
    (Theme::Membership, 3),
    (Theme::DiskLosses, 3),
    (Theme::Changes, 1),
    (Theme::Partitions, 2),
    (Theme::Clocks, 1),
    (Theme::LostAcknowledgements, 2),
];

/// The name that a schedule has.
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
    /// As the loss budget counts it.
    lost: BTreeSet<usize>,
}

struct ScheduleGenerator {
    rng: SmallRng,
    parameters: SimulationParameters,
    theme: Theme,
    losses: LossBudget,
    faults: Vec<ScheduledFault>,
    /// The active controllers in the order of the operators' list.
    controllers: Vec<usize>,
    removed: Vec<usize>,
    /// The next is the last.
    spares: Vec<usize>,
}

/// Draws the schedule of a seed.
pub fn draw_schedule(parameters: SimulationParameters, seed: u64) -> Schedule {
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

/// A draw that changes none of the others.
fn draw_separately(seed: u64, salt: u64, probability: f64) -> bool {
    SmallRng::seed_from_u64(seed ^ salt).random_bool(probability)
}

impl ScheduleGenerator {
    /// When the first fault or command may come, in seconds.
    fn start(&self) -> f64 {
        TRAFFIC_START.as_secs_f64()
    }

    /// How many seconds after that the last one may come.
    fn span(&self) -> f64 {
        self.parameters.seconds as f64
    }

    /// A time at which a fault or command may come.
    fn draw_time(&mut self) -> f64 {
        self.start() + self.rng.random_range(0.0..self.parameters.seconds as f64)
    }

    fn draw_controller(&mut self) -> usize {
        *self.controllers.choose(&mut self.rng).expect("there are controllers")
    }

    /// A controller, and often the leaseholder.
    fn draw_victim(&mut self) -> Victim {
        if self.rng.random_bool(0.4) {
            return Victim { selector: MachineSelector::Leaseholder, lost: [ANY_LEASEHOLDER].into() };
        }
        let controller = self.draw_controller();
        Victim { selector: MachineSelector::Number(controller), lost: [controller].into() }
    }

    /// Three active controllers in any order; they may be down or cut off.
    fn draw_seeds(&mut self) -> Vec<MachineSelector> {
        self.draw_distinct(SEED_NODES)
    }

    /// This many different active controllers in any order, or all that there are.
    fn draw_distinct(&mut self, count: usize) -> Vec<MachineSelector> {
        let mut remaining = self.controllers.clone();
        let mut drawn = Vec::new();
        while drawn.len() < count && !remaining.is_empty() {
            let index = self.rng.random_range(0..remaining.len());
            drawn.push(MachineSelector::Number(remaining.remove(index)));
        }
        drawn
    }

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
