//! The monotonic clock of a process, and timestamps that it returns.
//!
//! A [`Timestamp`] counts ticks of 0.1 ms and is valid only within the process that took it. Messages to other
//! processes therefore contain durations, never timestamps.

#![forbid(unsafe_code)]

use serde::{Deserialize, Serialize};
use std::time::Duration;
use tokio::time::Instant;

/// The length of a tick, the unit of [`Timestamp`], in microseconds.
const MICROS_PER_TICK: u64 = 100;

/// The timestamp at which every clock starts. It is far above 0, so that instants before the start of the process
/// can be represented.
const START_TICKS: u64 = 1_000_000_000;

/// An instant on the [`MonotonicClock`] of one process, in ticks of 0.1 ms.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Timestamp(pub u64);

impl Timestamp {
    /// Adds a duration, which is rounded down to whole ticks.
    pub fn after(self, duration: Duration) -> Timestamp {
        Timestamp(self.0 + ticks(duration))
    }

    /// Subtracts a duration, which is rounded down to whole ticks; saturates at timestamp 0.
    pub fn before(self, duration: Duration) -> Timestamp {
        Timestamp(self.0.saturating_sub(ticks(duration)))
    }

    /// Returns the time from `earlier` to this instant, or zero if `earlier` is the later one.
    pub fn since(self, earlier: Timestamp) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0) * MICROS_PER_TICK)
    }
}

/// Converts a duration to ticks, rounding down.
fn ticks(duration: Duration) -> u64 {
    (duration.as_micros() / u128::from(MICROS_PER_TICK)) as u64
}

/// A clock whose timestamps never decrease.
#[derive(Clone, Copy, Debug)]
pub struct MonotonicClock {
    started: Instant,
    /// Seconds that this clock advances per second of real time: 1 in production; simulations set other rates to
    /// model clock drift.
    rate: f64,
}

impl MonotonicClock {
    /// Starts a clock that advances at the rate of real time.
    pub fn start() -> MonotonicClock {
        MonotonicClock::with_rate(1.0)
    }

    /// Starts a clock that advances faster (`rate` above 1) or slower (below 1) than real time.
    pub fn with_rate(rate: f64) -> MonotonicClock {
        MonotonicClock { started: Instant::now(), rate }
    }

    /// Returns the current timestamp.
    pub fn now(&self) -> Timestamp {
        Timestamp(START_TICKS + ticks(self.started.elapsed().mul_f64(self.rate)))
    }

    /// Converts a timestamp to the instant of the async runtime at which this clock reaches it, for use with timers.
    pub fn instant(&self, at: Timestamp) -> Instant {
        let elapsed = Duration::from_micros(at.0.saturating_sub(START_TICKS) * MICROS_PER_TICK);
        // The division may round down. A timer that fired before this clock reaches the timestamp would be set again
        // at once by its caller, in a busy loop, so 1 µs is added.
        let rounding = if self.rate == 1.0 { Duration::ZERO } else { Duration::from_micros(1) };
        self.started + elapsed.div_f64(self.rate) + rounding
    }
}
