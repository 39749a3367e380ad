use super::*;
use std::time::Duration;

#[test]
fn limits_a_flood_to_the_configured_rate() {
    let at = Instant::now();
    let mut rate = RateLimiter::new(40.0, at);
    let taken = (0..4_000).filter(|no| rate.try_acquire(at + Duration::from_millis(*no / 2))).count();
    assert!((115..=125).contains(&taken), "40 at once and 40 a second for 2 s: {taken}");
}
