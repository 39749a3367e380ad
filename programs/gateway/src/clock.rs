//! Monotonic time that starts at the current Unix time, so that it can be compared with other machines' timestamps.

use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;
use vanewharf_policy::interface::Ticks;

/// The number of ticks in a millisecond.
pub const TICKS_PER_MS: i64 = Ticks::SECOND.0 / 1000;
const MICROS_PER_TICK: i64 = 1000 / TICKS_PER_MS;

/// A clock that never goes back, even if the system's clock is set.
#[derive(Clone, Copy)]
pub struct Clock {
    origin: Instant,
    unix_origin: Ticks,
}

impl Clock {
    /// Creates a clock that starts at the system's Unix time and advances monotonically.
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { origin: Instant::now(), unix_origin: to_ticks(unix) }
    }

    /// The time since the Unix epoch.
    pub fn now(&self) -> Ticks {
        self.unix_origin + to_ticks(self.origin.elapsed())
    }

    /// Converts a time of this clock to the runtime's instant.
    pub fn instant(&self, at: Ticks) -> Instant {
        self.origin + to_duration(at - self.unix_origin)
    }
}

fn to_ticks(duration: Duration) -> Ticks {
    Ticks((duration.as_micros() / MICROS_PER_TICK as u128) as i64)
}

/// Converts ticks to a duration; negative ticks give zero.
pub fn to_duration(ticks: Ticks) -> Duration {
    Duration::from_micros((ticks.0.clamp(0, i64::MAX / MICROS_PER_TICK) * MICROS_PER_TICK) as u64)
}
