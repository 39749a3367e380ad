//! Time by the steady clock, in tenths of a millisecond since the program began; it never goes back.

use serde::{Deserialize, Serialize};
use std::time::Duration;
use tokio::time::Instant;

/// An instant of this process alone: what others are told is always a span.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Timestamp(pub u64);

impl Timestamp {
    pub fn after(self, span: Duration) -> Timestamp {
        Timestamp(self.0 + tenths(span))
    }

    /// How long after the other; nothing where it is not.
    pub fn since(self, other: Timestamp) -> Duration {
        Duration::from_micros(self.0.saturating_sub(other.0) * 100)
    }

    pub fn before(self, span: Duration) -> Timestamp {
        Timestamp(self.0.saturating_sub(tenths(span)))
    }
}

fn tenths(span: Duration) -> u64 {
    (span.as_micros() / 100) as u64
}

#[derive(Clone, Copy, Debug)]
pub struct MonotonicClock {
    begun: Instant,
    /// Seconds of this clock in one of time; 1 on a machine, another in the lab.
    rate: f64,
}

/// So that spans before the start can be told apart from it.
const ORIGIN: u64 = 1_000_000_000;

impl MonotonicClock {
    pub fn start() -> MonotonicClock {
        MonotonicClock::with_rate(1.0)
    }

    /// One that runs fast or slow.
    pub fn with_rate(rate: f64) -> MonotonicClock {
        MonotonicClock { begun: Instant::now(), rate }
    }

    pub fn now(&self) -> Timestamp {
        Timestamp(ORIGIN + tenths(self.begun.elapsed().mul_f64(self.rate)))
    }

    pub fn instant(&self, at: Timestamp) -> Instant {
        let span = Duration::from_micros(at.0.saturating_sub(ORIGIN) * 100);
        // Not before this clock shows it, whatever rounding leaves: whoever waits until then would wait again.
        let rounding = if self.rate == 1.0 { Duration::ZERO } else { Duration::from_micros(1) };
        self.begun + span.div_f64(self.rate) + rounding
    }
}
