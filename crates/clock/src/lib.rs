//! Instants and durations by the process' monotonic clock.
//!
//! A [`Timestamp`] counts tenths of a millisecond and means something within one process only. What is sent
//! to others is always a duration.

#![forbid(unsafe_code)]

use serde::{Deserialize, Serialize};
use std::time::Duration;
use tokio::time::Instant;

/// The unit of a [`Timestamp`].
const TICK_MICROS: u64 = 100;

/// The timestamp of a clock's start. It is far above 0, so that instants before the start can be represented.
const ORIGIN: u64 = 1_000_000_000;

/// An instant by a process' [`MonotonicClock`], in tenths of a millisecond.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Timestamp(pub u64);

impl Timestamp {
    /// The instant that long after this one, to the tenth of a millisecond below.
    pub fn after(self, duration: Duration) -> Timestamp {
        Timestamp(self.0 + ticks(duration))
    }

    /// The instant that long before this one, but no earlier than timestamp 0.
    pub fn before(self, duration: Duration) -> Timestamp {
        Timestamp(self.0.saturating_sub(ticks(duration)))
    }

    /// How long this instant is after the earlier one; zero where it is not after it.
    pub fn since(self, earlier: Timestamp) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0) * TICK_MICROS)
    }
}

fn ticks(duration: Duration) -> u64 {
    (duration.as_micros() / u128::from(TICK_MICROS)) as u64
}

/// The clock of a process; it never goes back.
#[derive(Clone, Copy, Debug)]
pub struct MonotonicClock {
    started: Instant,
    /// Seconds of this clock in one of real time: 1 on a machine, possibly another in a simulation.
    rate: f64,
}

impl MonotonicClock {
    /// Starts a clock that runs at the rate of real time.
    pub fn start() -> MonotonicClock {
        MonotonicClock::with_rate(1.0)
    }

    /// Starts a clock that runs fast (above 1) or slow (below 1).
    pub fn with_rate(rate: f64) -> MonotonicClock {
        MonotonicClock { started: Instant::now(), rate }
    }

    /// The present instant.
    pub fn now(&self) -> Timestamp {
        Timestamp(ORIGIN + ticks(self.started.elapsed().mul_f64(self.rate)))
    }

    /// The runtime's instant at which this clock shows the timestamp, to wait until then.
    pub fn instant(&self, at: Timestamp) -> Instant {
        let elapsed = Duration::from_micros(at.0.saturating_sub(ORIGIN) * TICK_MICROS);
        // Never before this clock shows it, however the division rounds: else whoever waits until then would
        // find it too early and wait in a busy loop.
        let rounding = if self.rate == 1.0 { Duration::ZERO } else { Duration::from_micros(1) };
        self.started + elapsed.div_f64(self.rate) + rounding
    }
}
