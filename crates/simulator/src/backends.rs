//! Backends as models: cores that work, a queue that waits, a process that dies and comes back cold.

use crate::experiment::{Fleet, Rules, Stops};
use std::collections::VecDeque;
use vanewharf_policy::interface::Ticks;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum State {
    Up,
    /// Takes work and answers nothing.
    Silent,
    Down,
}

#[derive(Debug, PartialEq)]
pub enum Reached {
    Begins,
    Waits,
    TurnedAway,
    /// Nobody hears it.
    Unheard,
    /// No process is there.
    Refused,
}

pub struct Backend {
    pub place: usize,
    pub cell: usize,
    pub speed: f64,
    pub state: State,
    pub slow: f64,
    /// Part of the answers that are cut off.
    pub cut_off: f64,
    pub draining: bool,
    pub booted: Option<Ticks>,
    /// Each start of its process; what ran before means nothing any more.
    pub life: u32,
    pub working: usize,
    pub waiting: VecDeque<usize>,
    pub worked_ms: f64,
    recent: VecDeque<(Ticks, f64, bool)>,
    recent_ms: f64,
    /// Pushed over while cold: it stays down.
    pub fallen: bool,
}

impl Backend {
    pub fn new(place: usize, cell: usize, speed: f64) -> Backend {
        Backend {
            place,
            cell,
            speed,
            state: State::Up,
            slow: 1.0,
            cut_off: 0.0,
            draining: false,
            booted: None,
            life: 0,
            working: 0,
            waiting: VecDeque::new(),
            worked_ms: 0.0,
            recent: VecDeque::new(),
            recent_ms: 0.0,
            fallen: false,
        }
    }

    pub fn warmth(&self, now: Ticks, fleet: &Fleet) -> f64 {
        let Some(booted) = self.booted else {
            return 1.0;
        };
        let age = (now - booted).seconds() / fleet.ramp_s.max(1e-6);
        (fleet.cold_from + (1.0 - fleet.cold_from) * age.max(0.0)).min(1.0)
    }

    /// Milliseconds of work a second.
    pub fn capacity(&self, now: Ticks, fleet: &Fleet) -> f64 {
        fleet.cores as f64 * 1_000.0 * self.speed * self.warmth(now, fleet) / self.slow
    }

    pub fn outstanding(&self) -> usize {
        self.working + self.waiting.len()
    }

    /// How long this much work takes one of its cores now, in seconds.
    pub fn takes(&self, work_ms: f64, now: Ticks, fleet: &Fleet) -> f64 {
        let crowd = self.waiting.len().saturating_sub(12) as f64;
        let pace = self.speed * self.warmth(now, fleet) / self.slow;
        work_ms * (1.0 + fleet.thrash * crowd / fleet.queue.max(1) as f64) / pace / 1_000.0
    }

    pub fn reached(&mut self, attempt: usize, fleet: &Fleet) -> Reached {
        match self.state {
            State::Down => Reached::Refused,
            State::Silent => Reached::Unheard,
            State::Up if self.working < fleet.cores => {
                self.working += 1;
                Reached::Begins
            }
            State::Up if self.waiting.len() < fleet.queue => {
                self.waiting.push_back(attempt);
                Reached::Waits
            }
            State::Up => Reached::TurnedAway,
        }
    }

    /// A core is free: the next that waits, if any.
    pub fn frees(&mut self) -> Option<usize> {
        match self.waiting.pop_front() {
            Some(next) => Some(next),
            None => {
                self.working = self.working.saturating_sub(1);
                None
            }
        }
    }

    /// Whether what is called off stops: it waited and is gone, or its core is free (`true`).
    pub fn calls_off(&mut self, attempt: usize, begun: bool, stops: Stops) -> Option<bool> {
        if stops == Stops::Nothing {
            return None;
        }
        if let Some(place) = self.waiting.iter().position(|waits| *waits == attempt) {
            self.waiting.remove(place);
            return Some(false);
        }
        (begun && stops == Stops::All).then_some(true)
    }

    /// How near a cold one is to being pushed over; 1 is over.
    pub fn pushed(&self, now: Ticks, fleet: &Fleet, rules: &Rules) -> f64 {
        let bound = rules.fall_multiple * self.capacity(now, fleet) * rules.fall_ms / 1_000.0;
        if self.state == State::Up && self.warmth(now, fleet) < 1.0 {
            self.recent_ms / bound.max(1e-9)
        } else {
            0.0
        }
    }

    pub fn dies(&mut self) {
        self.state = State::Down;
        self.life += 1;
        self.working = 0;
        self.waiting.clear();
    }

    pub fn boots(&mut self, now: Ticks) {
        if self.fallen {
            return;
        }
        self.state = State::Up;
        self.life += 1;
        self.booted = Some(now);
        self.draining = false;
        self.working = 0;
        self.waiting.clear();
        self.recent.clear();
        self.recent_ms = 0.0;
    }

    /// Counts work that reaches it; while it is cold, whether that pushes it over, and the part that came from
    /// doors that knew of its start.
    pub fn bears(
        &mut self,
        work_ms: f64,
        told: bool,
        now: Ticks,
        fleet: &Fleet,
        rules: &Rules,
    ) -> Option<f64> {
        if self.state == State::Down || self.warmth(now, fleet) >= 1.0 {
            self.recent.clear();
            self.recent_ms = 0.0;
            return None;
        }
        self.recent.push_back((now, work_ms, told));
        self.recent_ms += work_ms;
        let window = rules.fall_ms / 1_000.0;
        while let Some(&(at, work, _)) = self.recent.front() {
            if (now - at).seconds() <= window {
                break;
            }
            self.recent.pop_front();
            self.recent_ms -= work;
        }
        // A little more, for chance: one txn on each core.
        let slack = fleet.cores as f64 * work_ms;
        let bound = rules.fall_multiple * self.capacity(now, fleet) * window + slack;
        if self.recent_ms <= bound {
            return None;
        }
        let knew: f64 = self.recent.iter().filter(|(.., told)| *told).map(|(_, work, _)| work).sum();
        let part = knew / self.recent_ms.max(1e-9);
        self.fallen = true;
        self.dies();
        Some(part)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::draw::seconds;
    use crate::experiment::Experiment;

    fn fleet() -> (Fleet, Rules) {
        let text = "name = \"a\"\nlength_s = 20\n[fleet]\ndoors = 2\nbackends = 2\nqueue = 3\n[[product]]\nname = \"look\"\nshare = 1\n\
             work_ms = 20\nsla_ms = 400\nexpiry_ms = 1500\nrepeat = \"inquiry-like\"\n[[plan]]\nname = \"basic\"\n\
             share = 1\nrate = 4\nburst = 8\n[load]\nof_capacity = 0.5\n";
        let experiment = Experiment::parse(text).expect("good");
        (experiment.fleet, experiment.rules)
    }

    #[test]
    fn cores_work_the_queue_waits_and_more_is_turned_away() {
        let (fleet, _) = fleet();
        let mut backend = Backend::new(0, 0, 1.0);
        let reached: Vec<_> = (0..6).map(|attempt| backend.reached(attempt, &fleet)).collect();
        use Reached::*;
        assert_eq!(reached, [Begins, Begins, Waits, Waits, Waits, TurnedAway]);
        assert_eq!(backend.calls_off(3, false, Stops::Waiting), Some(false));
        assert_eq!(backend.calls_off(0, true, Stops::Waiting), None, "what runs runs on");
        assert_eq!(backend.calls_off(0, true, Stops::All), Some(true));
        assert_eq!(backend.calls_off(2, false, Stops::Nothing), None);
        assert_eq!((backend.frees(), backend.frees(), backend.frees()), (Some(2), Some(4), None));
    }

    #[test]
    fn a_cold_one_warms_up_and_falls_when_pushed() {
        let (fleet, rules) = fleet();
        let mut backend = Backend::new(0, 0, 1.0);
        backend.dies();
        backend.boots(seconds(10.0));
        assert_eq!(backend.warmth(seconds(10.0), &fleet), 0.25);
        assert!((backend.warmth(seconds(15.0), &fleet) - 0.625).abs() < 1e-9);
        // A quarter of 2000 ms a second, three times: 1500 ms within a second, and a little more.
        let mut push = |from: i64, count: i64, told| {
            (0..count).find_map(|no| backend.bears(20.0, told, Ticks(from + no), &fleet, &rules))
        };
        assert_eq!(push(100_000, 70, true), None);
        let part = push(100_100, 20, true).expect("it falls");
        assert!(part > 0.9);
        assert_eq!(backend.state, State::Down);
        backend.boots(seconds(30.0));
        assert_eq!(backend.state, State::Down, "what has fallen stays down");
    }
}
