//! Model of a backend: cores, a queue, and a process that can crash, restart and warm up.

use crate::experiment::{Fleet, Rules, Stops};
use std::collections::VecDeque;
use vanewharf_policy::interface::Ticks;

/// Queue length up to which `fleet.thrash` does not increase the service time.
const UNSLOWED_QUEUE_LENGTH: usize = 12;

/// State of a backend's process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum State {
    /// The process runs.
    Up,
    /// The process accepts requests but does not respond.
    Unresponsive,
    /// The process is not running.
    Down,
}

/// What a backend does with an attempt that arrives.
#[derive(Debug, PartialEq)]
pub enum Reception {
    /// A core starts to process it.
    Started,
    /// It is queued.
    Queued,
    /// It is rejected because the queue is full.
    Rejected,
    /// It is never processed because the process is unresponsive.
    Lost,
    /// The connection is refused because no process is running.
    Refused,
}

/// Effect of a cancellation on an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Cancellation {
    /// The attempt was queued and is removed from the queue.
    Dequeued,
    /// The attempt was in service and is aborted; its core is free.
    CoreFreed,
}

/// Work that a backend received during its warm-up.
struct RecentWork {
    received_at: Ticks,
    work_ms: f64,
    /// Whether the sending gateway had been told of the backend's latest start.
    informed: bool,
}

/// A simulated backend.
pub struct Backend {
    /// Index of its zone.
    pub zone: usize,
    /// Index of its cell, the group of backends that some faults affect together.
    pub cell: usize,
    /// Relative speed of its cores; 1 is nominal.
    pub speed: f64,
    /// State of its process.
    pub state: State,
    /// Factor by which a fault slows it down; 1 without a fault.
    pub slowdown: f64,
    /// Fraction of its responses that are lost because of a fault.
    pub lost_response_fraction: f64,
    /// Whether it is draining.
    pub draining: bool,
    /// Start of its process; none if it was started before the run.
    pub started_at: Option<Ticks>,
    /// Incremented whenever its process starts or stops, so that events of earlier processes can be ignored.
    pub incarnation: u32,
    /// Number of cores that process an attempt.
    pub busy_cores: usize,
    /// Queued attempts.
    pub queue: VecDeque<usize>,
    /// Total work that its cores have started, in milliseconds at speed 1.
    pub worked_ms: f64,
    recent_work: VecDeque<RecentWork>,
    recent_work_ms: f64,
    /// Whether it was overloaded during its warm-up. If so, it stays down for the rest of the run.
    pub overloaded: bool,
}

impl Backend {
    /// Creates a backend that has completed its warm-up.
    pub fn new(zone: usize, cell: usize, speed: f64) -> Backend {
        Backend {
            zone,
            cell,
            speed,
            state: State::Up,
            slowdown: 1.0,
            lost_response_fraction: 0.0,
            draining: false,
            started_at: None,
            incarnation: 0,
            busy_cores: 0,
            queue: VecDeque::new(),
            worked_ms: 0.0,
            recent_work: VecDeque::new(),
            recent_work_ms: 0.0,
            overloaded: false,
        }
    }

    /// Returns the fraction of its full capacity that the backend has at a time of its warm-up; 1 after it.
    pub fn warm_fraction(&self, now: Ticks, fleet: &Fleet) -> f64 {
        let Some(started_at) = self.started_at else {
            return 1.0;
        };
        let age = (now - started_at).seconds() / fleet.ramp_s.max(1e-6);
        (fleet.cold_from + (1.0 - fleet.cold_from) * age.max(0.0)).min(1.0)
    }

    /// Returns the current capacity, in milliseconds of work per second.
    pub fn capacity(&self, now: Ticks, fleet: &Fleet) -> f64 {
        fleet.cores as f64 * 1_000.0 * self.speed * self.warm_fraction(now, fleet) / self.slowdown
    }

    /// Returns the number of attempts that are in service or queued.
    pub fn outstanding(&self) -> usize {
        self.busy_cores + self.queue.len()
    }

    /// Returns how long one core currently takes for an amount of work, in seconds.
    pub fn work_time_s(&self, work_ms: f64, now: Ticks, fleet: &Fleet) -> f64 {
        let excess_queue = self.queue.len().saturating_sub(UNSLOWED_QUEUE_LENGTH) as f64;
        let speed = self.speed * self.warm_fraction(now, fleet) / self.slowdown;
        work_ms * (1.0 + fleet.thrash * excess_queue / fleet.queue.max(1) as f64) / speed / 1_000.0
    }

    /// Handles the arrival of an attempt: a free core starts it, else it is queued, or rejected if the queue is full.
    pub fn receive(&mut self, attempt: usize, fleet: &Fleet) -> Reception {
        match self.state {
            State::Down => Reception::Refused,
            State::Unresponsive => Reception::Lost,
            State::Up if self.busy_cores < fleet.cores => {
                self.busy_cores += 1;
                Reception::Started
            }
            State::Up if self.queue.len() < fleet.queue => {
                self.queue.push_back(attempt);
                Reception::Queued
            }
            State::Up => Reception::Rejected,
        }
    }

    /// Releases a core, and returns the queued attempt that it processes next, if there is any.
    pub fn release_core(&mut self) -> Option<usize> {
        let next = self.queue.pop_front();
        if next.is_none() {
            self.busy_cores = self.busy_cores.saturating_sub(1);
        }
        next
    }

    /// Cancels an attempt. `in_service` tells whether a core is processing it. Returns none if the attempt continues.
    pub fn cancel(&mut self, attempt: usize, in_service: bool, stops: Stops) -> Option<Cancellation> {
        if stops == Stops::Nothing {
            return None;
        }
        if let Some(position) = self.queue.iter().position(|queued| *queued == attempt) {
            self.queue.remove(position);
            return Some(Cancellation::Dequeued);
        }
        (in_service && stops == Stops::All).then_some(Cancellation::CoreFreed)
    }

    /// Returns the recent work as a fraction of the amount that overloads the backend during its warm-up; 0 if it is not
    /// warming up. The tolerance of one request per core that [`Backend::record_load`] adds is not included.
    pub fn overload_ratio(&self, now: Ticks, fleet: &Fleet, rules: &Rules) -> f64 {
        let bound = rules.fall_multiple * self.capacity(now, fleet) * rules.fall_ms / 1_000.0;
        if self.state == State::Up && self.warm_fraction(now, fleet) < 1.0 {
            self.recent_work_ms / bound.max(1e-9)
        } else {
            0.0
        }
    }

    /// Stops the process, which loses all attempts in service and in the queue.
    pub fn stop(&mut self) {
        self.state = State::Down;
        self.incarnation += 1;
        self.busy_cores = 0;
        self.queue.clear();
    }

    /// Starts a new process, which warms up. Does nothing if the backend was overloaded earlier.
    pub fn start(&mut self, now: Ticks) {
        if self.overloaded {
            return;
        }
        self.state = State::Up;
        self.incarnation += 1;
        self.started_at = Some(now);
        self.draining = false;
        self.busy_cores = 0;
        self.queue.clear();
        self.recent_work.clear();
        self.recent_work_ms = 0.0;
    }

    /// Records work that arrives during the warm-up. `informed` tells whether the sending gateway had been told of the
    /// backend's start. If the work overloads the backend, the backend stops for the rest of the run, and the fraction of
    /// the recent work that came from informed gateways is returned.
    pub fn record_load(
        &mut self,
        work_ms: f64,
        informed: bool,
        now: Ticks,
        fleet: &Fleet,
        rules: &Rules,
    ) -> Option<f64> {
        if self.state == State::Down || self.warm_fraction(now, fleet) >= 1.0 {
            self.recent_work.clear();
            self.recent_work_ms = 0.0;
            return None;
        }
        self.recent_work.push_back(RecentWork { received_at: now, work_ms, informed });
        self.recent_work_ms += work_ms;
        let window = rules.fall_ms / 1_000.0;
        while let Some(oldest) =
            self.recent_work.front().filter(|oldest| (now - oldest.received_at).seconds() > window)
        {
            self.recent_work_ms -= oldest.work_ms;
            self.recent_work.pop_front();
        }
        // One request per core is tolerated on top, as arrivals are random.
        let slack = fleet.cores as f64 * work_ms;
        let bound = rules.fall_multiple * self.capacity(now, fleet) * window + slack;
        if self.recent_work_ms <= bound {
            return None;
        }
        let informed: f64 =
            self.recent_work.iter().filter(|work| work.informed).map(|work| work.work_ms).sum();
        let informed_fraction = informed / self.recent_work_ms.max(1e-9);
        self.overloaded = true;
        self.stop();
        Some(informed_fraction)
    }
}

#[cfg(test)]
mod tests;
