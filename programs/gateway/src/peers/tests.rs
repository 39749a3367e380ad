use super::*;
use std::time::Duration;

#[test]
fn a_flood_is_taken_in_at_the_told_rate() {
    let at = Instant::now();
    let mut rate = RateLimiter::new(40.0, at);
    let taken = (0..4_000).filter(|no| rate.try_acquire(at + Duration::from_millis(*no / 2))).count();
    assert!((115..=125).contains(&taken), "40 at once and 40 a second for 2 s: {taken}");
}
