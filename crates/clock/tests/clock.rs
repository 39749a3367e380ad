//! Timestamp arithmetic, and timers on clocks that advance faster or slower than real time.

use std::time::Duration;
use vanewharf_clock::{MonotonicClock, Timestamp};

#[test]
fn timestamp_arithmetic_rounds_to_ticks_and_saturates() {
    let start = Timestamp(1_000_000_000);
    let later = start.after(Duration::from_millis(250));
    assert_eq!(later, Timestamp(1_000_002_500));
    assert_eq!(later.since(start), Duration::from_millis(250));
    assert_eq!(start.since(later), Duration::ZERO);
    assert_eq!(later.before(Duration::from_millis(250)), start);
    assert_eq!(Timestamp(10).before(Duration::from_secs(1)), Timestamp(0));
    assert_eq!(start.after(Duration::from_micros(199)), Timestamp(1_000_000_001));
}

#[tokio::test(start_paused = true)]
async fn a_clock_has_reached_a_timestamp_at_its_instant() {
    for rate in [1.0, 0.999_7, 1.000_3, 3.0] {
        let clock = MonotonicClock::with_rate(rate);
        for millis in [1, 333, 60_000] {
            let deadline = clock.now().after(Duration::from_millis(millis));
            tokio::time::sleep_until(clock.instant(deadline)).await;
            assert!(clock.now() >= deadline, "rate {rate}, {millis} ms");
        }
    }
}
