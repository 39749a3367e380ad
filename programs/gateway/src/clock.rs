//! Monotonic time, anchored once to Unix time: what other machines say of theirs can be compared.

use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;
use vanewharf_policy::interface::Tenths;

#[derive(Clone, Copy)]
pub struct Clock {
    origin: Instant,
    unix: Tenths,
}

fn whole(span: Duration) -> Tenths {
    Tenths((span.as_micros() / 100) as i64)
}

impl Clock {
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { origin: Instant::now(), unix: whole(unix) }
    }

    pub fn now(&self) -> Tenths {
        self.unix + whole(self.origin.elapsed())
    }

    pub fn instant(&self, at: Tenths) -> Instant {
        self.origin + span(at - self.unix)
    }
}

/// Nothing, where the span is below nothing.
pub fn span(tenths: Tenths) -> Duration {
    Duration::from_micros(tenths.0.clamp(0, i64::MAX / 100) as u64 * 100)
}
