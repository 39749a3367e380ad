use super::*;
use std::time::Duration;

#[test]
fn limits_a_flood_to_the_configured_rate() {
    let start = Instant::now();
    let mut rate = RateLimiter::new(40.0, start);
    let acquired =
        (0..4_000).filter(|number| rate.try_acquire(start + Duration::from_millis(*number / 2))).count();
    assert!((115..=125).contains(&acquired), "expected a burst of 40 and 40 per second for 2 s: {acquired}");
}
