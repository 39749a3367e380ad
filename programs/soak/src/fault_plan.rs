//! Generates the faults of one run from its seed.

use crate::malformed_answers::{CUT_BEFORE_A_CHUNK, STATUS_000, STATUS_999_NOT_EXECUTED};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use std::time::Duration;
use vanewharf_testkit::backend::Behavior;

/// Number of controllers in a cluster.
pub const CONTROLLERS: usize = 3;
/// Number of proxies in a cluster, each with its agent.
pub const PROXIES: usize = 2;
/// Number of machines. The controllers have the first numbers, the proxies the following ones.
pub const MACHINES: usize = CONTROLLERS + PROXIES;
/// Time before the first fault.
const INITIAL_DELAY: Duration = Duration::from_millis(500);
/// Upper bound of the time between the starts of two faults. Faults last longer, so that two or three overlap.
const MAX_FAULT_INTERVAL_MS: u64 = 700;
const FAULT_DURATION_MS: std::ops::Range<u64> = 300..2500;
/// Response times of slow backends.
const SLOW_RESPONSE_MS: std::ops::Range<u64> = 100..1500;
/// Time after which a killed machine is restarted.
const DOWNTIME_MS: std::ops::Range<u64> = 50..1200;
/// Time after SIGTERM within which every program must have exited. Exceeds the grace period.
pub const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(2600);
/// Probability of [`Action::LoseResponses`] while responses are lost.
const RESPONSE_LOSS_RATE: f64 = 0.2;

/// An action on the cluster.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Sends SIGKILL to all programs of a machine.
    Kill(usize),
    /// Sends SIGTERM to all programs of a machine.
    Terminate(usize),
    /// Starts the programs of a machine that are not running.
    Start(usize),
    /// Sends SIGSTOP to all programs of a machine.
    Pause(usize),
    /// Sends SIGCONT to all programs of a machine.
    Resume(usize),
    /// Kills a controller and deletes its data directory.
    WipeDisk(usize),
    /// Blocks the connections that the first machine opens to the second.
    Partition(usize, usize),
    /// Ends the partition between the first machine and the second.
    Heal(usize, usize),
    /// Sets the probability with which connections that a machine opens are reset instead of delivering a response.
    LoseResponses(usize, f64),
    /// Sets the behavior of all backends.
    SetBackends(Behavior),
}

/// An action and its time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScheduledAction {
    /// Time of the action since the start of the fault phase.
    pub at: Duration,
    /// The action.
    pub action: Action,
}

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FaultKind {
    Kill,
    Termination,
    Pause,
    Partition,
    LostResponses,
    LostDisk,
    Backends,
}

/// Faults of even seeds: all kinds, weighted by the number of occurrences.
const MIXED_FAULTS: [FaultKind; 11] = [
    FaultKind::Kill,
    FaultKind::Kill,
    FaultKind::Termination,
    FaultKind::Termination,
    FaultKind::Pause,
    FaultKind::Partition,
    FaultKind::Partition,
    FaultKind::LostResponses,
    FaultKind::LostDisk,
    FaultKind::Backends,
    FaultKind::Backends,
];
/// Faults of odd seeds: mostly graceful restarts of machines while backends are faulty.
const ROLLING_RESTART_FAULTS: [FaultKind; 8] = [
    FaultKind::Termination,
    FaultKind::Termination,
    FaultKind::Termination,
    FaultKind::Backends,
    FaultKind::Backends,
    FaultKind::Backends,
    FaultKind::Partition,
    FaultKind::LostResponses,
];

/// Generates the actions of a run.
struct Planner {
    kinds: &'static [FaultKind],
    random: StdRng,
    actions: Vec<ScheduledAction>,
    /// Whether a disk has been lost. At most one may be lost in a run.
    has_wiped: bool,
}

/// Returns the actions of a run in order of time. Faults begin before `length`, and those with a duration end by then;
/// restarts of machines may follow later.
pub fn plan(seed: u64, length: Duration) -> Vec<ScheduledAction> {
    let kinds: &[FaultKind] = if seed.is_multiple_of(2) { &MIXED_FAULTS } else { &ROLLING_RESTART_FAULTS };
    let random = StdRng::seed_from_u64(seed);
    let mut planner = Planner { kinds, random, actions: Vec::new(), has_wiped: false };
    let mut at = INITIAL_DELAY;
    while at < length {
        planner.add_fault(at, length);
        at += Duration::from_millis(planner.random.random_range(0..MAX_FAULT_INTERVAL_MS));
    }
    planner.actions.sort_by_key(|scheduled| scheduled.at);
    planner.actions
}

impl Planner {
    fn add_fault(&mut self, at: Duration, length: Duration) {
        let until = (at + self.random_duration(FAULT_DURATION_MS)).min(length);
        let machine = self.random.random_range(0..MACHINES);
        let controller = self.random.random_range(0..CONTROLLERS);
        match self.kinds[self.random.random_range(0..self.kinds.len())] {
            FaultKind::Kill => self.add_kill(at, machine),
            FaultKind::Termination => self.add_termination(at, machine),
            FaultKind::Pause => self.add_pair(at, until, Action::Pause(machine), Action::Resume(machine)),
            FaultKind::Partition => self.add_partition(at, until, controller),
            FaultKind::LostResponses => {
                let (begin, end) =
                    (Action::LoseResponses(machine, RESPONSE_LOSS_RATE), Action::LoseResponses(machine, 0.0));
                self.add_pair(at, until, begin, end);
            }
            FaultKind::LostDisk if !self.has_wiped => self.add_wipe(at, controller),
            FaultKind::LostDisk => self.add_kill(at, controller),
            FaultKind::Backends => self.add_backend_fault(at, until),
        }
    }

    fn add_backend_fault(&mut self, at: Duration, until: Duration) {
        let slow = Behavior::RespondsAfter(self.random_duration(SLOW_RESPONSE_MS));
        let behaviors = [
            Behavior::NeverResponds,
            Behavior::ClosesWithoutResponse,
            Behavior::Sheds,
            Behavior::RespondsBeforeBody,
            Behavior::ResetsBeforeBody,
            Behavior::StallsBeforeBody,
            Behavior::SendsRaw(STATUS_000),
            Behavior::SendsRaw(STATUS_999_NOT_EXECUTED),
            Behavior::SendsRaw(CUT_BEFORE_A_CHUNK),
            slow,
            slow,
        ];
        let behavior = *behaviors.choose(&mut self.random).unwrap_or(&slow);
        self.add_pair(at, until, Action::SetBackends(behavior), Action::SetBackends(Behavior::Serves));
    }

    fn random_duration(&mut self, milliseconds: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.random.random_range(milliseconds))
    }

    fn add(&mut self, at: Duration, action: Action) {
        self.actions.push(ScheduledAction { at, action });
    }

    fn add_pair(&mut self, from: Duration, until: Duration, begin: Action, end: Action) {
        self.add(from, begin);
        self.add(until, end);
    }

    fn add_kill(&mut self, at: Duration, machine: usize) {
        let down = self.random_duration(DOWNTIME_MS);
        self.add_pair(at, at + down, Action::Kill(machine), Action::Start(machine));
    }

    fn add_termination(&mut self, at: Duration, machine: usize) {
        self.add_pair(at, at + SHUTDOWN_TIMEOUT, Action::Terminate(machine), Action::Start(machine));
    }

    fn add_wipe(&mut self, at: Duration, controller: usize) {
        self.has_wiped = true;
        self.add(at, Action::Kill(controller));
        self.add(at, Action::WipeDisk(controller));
        let down = self.random_duration(DOWNTIME_MS);
        self.add(at + down, Action::Start(controller));
    }

    /// Partitions one controller from the others, in one direction or in both.
    fn add_partition(&mut self, from: Duration, until: Duration, controller: usize) {
        let direction = self.random.random_range(0..3);
        for other in (0..CONTROLLERS).filter(|other| *other != controller) {
            if direction != 1 {
                self.add_pair(
                    from,
                    until,
                    Action::Partition(controller, other),
                    Action::Heal(controller, other),
                );
            }
            if direction != 2 {
                self.add_pair(
                    from,
                    until,
                    Action::Partition(other, controller),
                    Action::Heal(other, controller),
                );
            }
        }
    }
}

#[cfg(test)]
mod tests;
