use super::*;
use std::time::Duration;
use yare::parameterized;

const START: Timestamp = Timestamp(1_000_000_000);

#[parameterized(
    registry = { 7.5, 5.0, 8 },
    clinics = { 21.0, 5.0, 9 },
    few = { 7.5, 5.0, 2 },
)]
fn all_proxies_together_keep_the_limit_of_a_backend_that_warms_up(
    rate_per_s: f64,
    allowance: f64,
    proxies: usize,
) {
    let policy = SlowStartPolicy { rate_per_s, overshoot: 1.5, allowance, proxies: proxies as f64 };
    let limit = SlowStartLimit::per_proxy(policy);
    let mut buckets = vec![SlowStart::new(limit, START); proxies];
    let mut sent = Vec::new();
    for step in 0..4000u64 {
        let now = START.after(Duration::from_millis(step));
        for bucket in &mut buckets {
            if bucket.try_spend(limit, now) {
                sent.push(step);
            }
        }
    }
    let most =
        sent.iter().map(|at| sent.iter().filter(|other| (*at..at + 1000).contains(other)).count()).max();
    assert!(most.is_some_and(|most| most as f64 <= rate_per_s * 1.5 + allowance), "{most:?}");
    assert!(sent.len() as f64 >= 2.0 * rate_per_s, "and it gets some: {}", sent.len());
}
