//! Conversion of durations to ticks, the policy's unit of time.

use std::time::Duration;
use vanewharf_policy::interface::Ticks;

const MICROS_PER_TICK: u128 = 100;

/// Converts a duration to ticks, rounding down. Saturates at the largest number of ticks.
pub(crate) fn to_ticks(duration: Duration) -> Ticks {
    Ticks((duration.as_micros() / MICROS_PER_TICK).min(i64::MAX as u128) as i64)
}
