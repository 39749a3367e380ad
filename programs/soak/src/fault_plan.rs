//! The faults of one run, drawn by its seed.

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use std::time::Duration;
use vanewharf_testkit::backend::Behavior;

/// How many controllers a cluster has.
pub const CONTROLLERS: usize = 3;
/// How many proxies, each with its agent.
pub const PROXIES: usize = 2;
/// Machines: the controllers, and then the proxies'.
pub const MACHINES: usize = CONTROLLERS + PROXIES;
/// Before the first fault.
const LEAD_TIME: Duration = Duration::from_millis(500);
/// The longest time between two faults. They last longer, so that two or three overlap.
const MAX_GAP_MS: u64 = 700;
const SPAN_MS: std::ops::Range<u64> = 300..2500;
const SLOW_WORK_MS: std::ops::Range<u64> = 100..1500;
/// A machine that was killed or ended is started again after this time.
const DOWN_MS: std::ops::Range<u64> = 50..1200;
/// Longer than a program may take to end in order.
pub const TERMINATION_TIME: Duration = Duration::from_millis(2600);

/// What is done to the cluster.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// SIGKILL to all programs of a machine.
    Kill(usize),
    /// SIGTERM to all programs of a machine.
    Terminate(usize),
    /// Starts those of a machine's programs that do not run.
    Start(usize),
    /// SIGSTOP to all programs of a machine.
    Pause(usize),
    /// SIGCONT.
    Resume(usize),
    /// Deletes the disk of a controller that was killed.
    WipeDisk(usize),
    /// Holds up the connections that the first machine opens to the second.
    Cut(usize, usize),
    /// Ends that.
    Heal(usize, usize),
    /// A machine's connections lose this part of the answers.
    LoseAnswers(usize, f64),
    /// All backends behave like this.
    SetBackends(Behavior),
}

/// An action and when it is due.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScheduledAction {
    /// Since the start of the run.
    pub at: Duration,
    /// What is done.
    pub action: Action,
}

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FaultKind {
    Kill,
    Termination,
    Pause,
    Cut,
    LostAnswers,
    LostDisk,
    Backends,
}

/// Faults of even seeds: all kinds.
const MIXED: [FaultKind; 11] = [
    FaultKind::Kill,
    FaultKind::Kill,
    FaultKind::Termination,
    FaultKind::Termination,
    FaultKind::Pause,
    FaultKind::Cut,
    FaultKind::Cut,
    FaultKind::LostAnswers,
    FaultKind::LostDisk,
    FaultKind::Backends,
    FaultKind::Backends,
];
/// Faults of odd seeds: machines are restarted in order while backends are slow or silent.
const ROLLING: [FaultKind; 8] = [
    FaultKind::Termination,
    FaultKind::Termination,
    FaultKind::Termination,
    FaultKind::Backends,
    FaultKind::Backends,
    FaultKind::Backends,
    FaultKind::Cut,
    FaultKind::LostAnswers,
];

/// Draws the faults of a run.
struct Planner {
    kinds: &'static [FaultKind],
    random: StdRng,
    actions: Vec<ScheduledAction>,
    /// No more than one disk may be lost in a run.
    has_wiped: bool,
}

/// The actions of a run of that length, in their order. All faults are over at its end.
pub fn plan(seed: u64, length: Duration) -> Vec<ScheduledAction> {
    let kinds: &[FaultKind] = if seed.is_multiple_of(2) { &MIXED } else { &ROLLING };
    let random = StdRng::seed_from_u64(seed);
    let mut planner = Planner { kinds, random, actions: Vec::new(), has_wiped: false };
    let mut at = LEAD_TIME;
    while at < length {
        planner.add_fault(at, length);
        at += Duration::from_millis(planner.random.random_range(0..MAX_GAP_MS));
    }
    planner.actions.sort_by_key(|scheduled| scheduled.at);
    planner.actions
}

impl Planner {
    fn add_fault(&mut self, at: Duration, length: Duration) {
        let until = (at + self.draw(SPAN_MS)).min(length);
        let machine = self.random.random_range(0..MACHINES);
        let controller = self.random.random_range(0..CONTROLLERS);
        match self.kinds[self.random.random_range(0..self.kinds.len())] {
            FaultKind::Kill => self.add_kill(at, machine),
            FaultKind::Termination => self.add_termination(at, machine),
            FaultKind::Pause => self.add_span(at, until, Action::Pause(machine), Action::Resume(machine)),
            FaultKind::Cut => self.add_cut(at, until, controller),
            FaultKind::LostAnswers => {
                let (begin, end) = (Action::LoseAnswers(machine, 0.2), Action::LoseAnswers(machine, 0.0));
                self.add_span(at, until, begin, end);
            }
            FaultKind::LostDisk if !self.has_wiped => self.add_wipe(at, controller),
            FaultKind::LostDisk => self.add_kill(at, controller),
            FaultKind::Backends => self.add_backend_fault(at, until),
        }
    }

    fn add_backend_fault(&mut self, at: Duration, until: Duration) {
        let slow = Behavior::RespondsAfter(self.draw(SLOW_WORK_MS));
        let behaviors =
            [Behavior::NeverResponds, Behavior::ClosesWithoutResponse, Behavior::Sheds, slow, slow];
        let behavior = *behaviors.choose(&mut self.random).unwrap_or(&slow);
        self.add_span(at, until, Action::SetBackends(behavior), Action::SetBackends(Behavior::Serves));
    }

    fn draw(&mut self, milliseconds: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.random.random_range(milliseconds))
    }

    fn add(&mut self, at: Duration, action: Action) {
        self.actions.push(ScheduledAction { at, action });
    }

    fn add_span(&mut self, from: Duration, until: Duration, begin: Action, end: Action) {
        self.add(from, begin);
        self.add(until, end);
    }

    fn add_kill(&mut self, at: Duration, machine: usize) {
        let down = self.draw(DOWN_MS);
        self.add_span(at, at + down, Action::Kill(machine), Action::Start(machine));
    }

    fn add_termination(&mut self, at: Duration, machine: usize) {
        self.add_span(at, at + TERMINATION_TIME, Action::Terminate(machine), Action::Start(machine));
    }

    fn add_wipe(&mut self, at: Duration, controller: usize) {
        self.has_wiped = true;
        self.add(at, Action::Kill(controller));
        self.add(at, Action::WipeDisk(controller));
        let down = self.draw(DOWN_MS);
        self.add(at + down, Action::Start(controller));
    }

    /// One controller is cut off from the others: in both directions, or in one.
    fn add_cut(&mut self, from: Duration, until: Duration, controller: usize) {
        let direction = self.random.random_range(0..3);
        for other in (0..CONTROLLERS).filter(|other| *other != controller) {
            if direction != 1 {
                self.add_span(from, until, Action::Cut(controller, other), Action::Heal(controller, other));
            }
            if direction != 2 {
                self.add_span(from, until, Action::Cut(other, controller), Action::Heal(other, controller));
            }
        }
    }
}

#[cfg(test)]
mod tests;
