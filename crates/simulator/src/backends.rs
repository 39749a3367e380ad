//! A model of a backend: cores that work, a queue that waits, and a process that dies and comes back to warm up.

use crate::experiment::{Fleet, Rules, Stops};
use std::collections::VecDeque;
use vanewharf_policy::interface::Ticks;

/// Requests in the queue up to which work is not slowed by crowding.
const UNCROWDED_QUEUE: usize = 12;

/// Whether a backend's process runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum State {
    /// It runs.
    Up,
    /// It takes work and answers nothing.
    Unresponsive,
    /// There is no process.
    Down,
}

/// What becomes of an attempt that reaches a backend.
#[derive(Debug, PartialEq)]
pub enum Reception {
    /// A core begins to work on it.
    Started,
    /// It waits in the queue.
    Queued,
    /// The queue is full.
    Rejected,
    /// Nobody reads it.
    Lost,
    /// No process is there.
    Refused,
}

/// What a cancellation does to an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Cancellation {
    /// It waited and has left the queue.
    Dequeued,
    /// It was worked on, and its core is free.
    CoreFreed,
}

/// Work that has reached a backend while it warms up.
struct RecentWork {
    at: Ticks,
    work_ms: f64,
    /// Whether its gateway knew of the backend's start.
    informed: bool,
}

/// One backend.
pub struct Backend {
    /// Its zone, as an index.
    pub zone: usize,
    /// The cell with which it fails.
    pub cell: usize,
    /// How fast its cores are, around 1.
    pub speed: f64,
    /// Whether its process runs.
    pub state: State,
    /// By how much a fault slows it; 1 without.
    pub slowdown: f64,
    /// The part of its answers that a fault cuts off.
    pub lost_answers: f64,
    /// Whether it drains.
    pub draining: bool,
    /// When its process started, if after the run's start.
    pub started_at: Option<Ticks>,
    /// Goes up at each start and end of its process; what ran before means nothing any more.
    pub incarnation: u32,
    /// Cores at work.
    pub working: usize,
    /// Attempts in its queue.
    pub queue: VecDeque<usize>,
    /// Milliseconds of work done so far.
    pub worked_ms: f64,
    recent: VecDeque<RecentWork>,
    recent_ms: f64,
    /// Whether it was overloaded while it warmed up: then it stays down.
    pub overloaded: bool,
}

impl Backend {
    /// A backend that has been up for long.
    pub fn new(zone: usize, cell: usize, speed: f64) -> Backend {
        Backend {
            zone,
            cell,
            speed,
            state: State::Up,
            slowdown: 1.0,
            lost_answers: 0.0,
            draining: false,
            started_at: None,
            incarnation: 0,
            working: 0,
            queue: VecDeque::new(),
            worked_ms: 0.0,
            recent: VecDeque::new(),
            recent_ms: 0.0,
            overloaded: false,
        }
    }

    /// The part of its capacity that it has by now.
    pub fn warmth(&self, now: Ticks, fleet: &Fleet) -> f64 {
        let Some(started_at) = self.started_at else {
            return 1.0;
        };
        let age = (now - started_at).seconds() / fleet.ramp_s.max(1e-6);
        (fleet.cold_from + (1.0 - fleet.cold_from) * age.max(0.0)).min(1.0)
    }

    /// Milliseconds of work a second that it can do by now.
    pub fn capacity(&self, now: Ticks, fleet: &Fleet) -> f64 {
        fleet.cores as f64 * 1_000.0 * self.speed * self.warmth(now, fleet) / self.slowdown
    }

    /// Attempts at work or in the queue.
    pub fn outstanding(&self) -> usize {
        self.working + self.queue.len()
    }

    /// How long so much work takes one of its cores now, in seconds.
    pub fn work_time(&self, work_ms: f64, now: Ticks, fleet: &Fleet) -> f64 {
        let crowd = self.queue.len().saturating_sub(UNCROWDED_QUEUE) as f64;
        let pace = self.speed * self.warmth(now, fleet) / self.slowdown;
        work_ms * (1.0 + fleet.thrash * crowd / fleet.queue.max(1) as f64) / pace / 1_000.0
    }

    /// An attempt reaches it.
    pub fn receive(&mut self, attempt: usize, fleet: &Fleet) -> Reception {
        match self.state {
            State::Down => Reception::Refused,
            State::Unresponsive => Reception::Lost,
            State::Up if self.working < fleet.cores => {
                self.working += 1;
                Reception::Started
            }
            State::Up if self.queue.len() < fleet.queue => {
                self.queue.push_back(attempt);
                Reception::Queued
            }
            State::Up => Reception::Rejected,
        }
    }

    /// A core is free: the attempt that it goes on with, if any waits.
    pub fn next_in_queue(&mut self) -> Option<usize> {
        let next = self.queue.pop_front();
        if next.is_none() {
            self.working = self.working.saturating_sub(1);
        }
        next
    }

    /// An attempt is cancelled; none where it goes on. `begun`: a core works on it.
    pub fn cancel(&mut self, attempt: usize, begun: bool, stops: Stops) -> Option<Cancellation> {
        if stops == Stops::Nothing {
            return None;
        }
        if let Some(position) = self.queue.iter().position(|queued| *queued == attempt) {
            self.queue.remove(position);
            return Some(Cancellation::Dequeued);
        }
        (begun && stops == Stops::All).then_some(Cancellation::CoreFreed)
    }

    /// How near it is to being overloaded while it warms up; 1 is over.
    pub fn overload(&self, now: Ticks, fleet: &Fleet, rules: &Rules) -> f64 {
        let bound = rules.fall_multiple * self.capacity(now, fleet) * rules.fall_ms / 1_000.0;
        if self.state == State::Up && self.warmth(now, fleet) < 1.0 {
            self.recent_ms / bound.max(1e-9)
        } else {
            0.0
        }
    }

    /// Its process ends, with all that it works on.
    pub fn stop(&mut self) {
        self.state = State::Down;
        self.incarnation += 1;
        self.working = 0;
        self.queue.clear();
    }

    /// A process starts in its place and warms up; not where it was overloaded.
    pub fn start(&mut self, now: Ticks) {
        if self.overloaded {
            return;
        }
        self.state = State::Up;
        self.incarnation += 1;
        self.started_at = Some(now);
        self.draining = false;
        self.working = 0;
        self.queue.clear();
        self.recent.clear();
        self.recent_ms = 0.0;
    }

    /// Counts work that reaches it while it warms up; `informed`: its gateway knew of the start. Where that overloads the
    /// backend, it stops for good, and the part of the work that came from informed gateways is given.
    pub fn record_load(
        &mut self,
        work_ms: f64,
        informed: bool,
        now: Ticks,
        fleet: &Fleet,
        rules: &Rules,
    ) -> Option<f64> {
        if self.state == State::Down || self.warmth(now, fleet) >= 1.0 {
            self.recent.clear();
            self.recent_ms = 0.0;
            return None;
        }
        self.recent.push_back(RecentWork { at: now, work_ms, informed });
        self.recent_ms += work_ms;
        let window = rules.fall_ms / 1_000.0;
        while let Some(oldest) = self.recent.front().filter(|oldest| (now - oldest.at).seconds() > window) {
            self.recent_ms -= oldest.work_ms;
            self.recent.pop_front();
        }
        // A little more, for chance: one request on each core.
        let slack = fleet.cores as f64 * work_ms;
        let bound = rules.fall_multiple * self.capacity(now, fleet) * window + slack;
        if self.recent_ms <= bound {
            return None;
        }
        let informed: f64 = self.recent.iter().filter(|work| work.informed).map(|work| work.work_ms).sum();
        let part = informed / self.recent_ms.max(1e-9);
        self.overloaded = true;
        self.stop();
        Some(part)
    }
}

#[cfg(test)]
mod tests;
