use super::*;
use std::time::Duration;
use yare::parameterized;

const START: Timestamp = Timestamp(1_000_000_000);

#[parameterized(
    low_rate = { 7.5, 5.0, 8 },
    high_rate = { 21.0, 5.0, 9 },
    few_proxies = { 7.5, 5.0, 2 },
)]
fn all_proxies_together_stay_within_the_limit(rate_per_s: f64, allowance: f64, proxies: usize) {
    let policy = SlowStartPolicy { rate_per_s, overshoot: 1.5, allowance, proxies: proxies as f64 };
    let limit = SlowStartLimit::per_proxy(policy);
    let mut buckets = vec![SlowStart::new(limit, START); proxies];
    let mut sent = Vec::new();
    for ms in 0..4000u64 {
        let now = START.after(Duration::from_millis(ms));
        for bucket in &mut buckets {
            if bucket.try_spend(limit, now) {
                sent.push(ms);
            }
        }
    }
    let max_per_second =
        sent.iter().map(|at| sent.iter().filter(|other| (*at..at + 1000).contains(other)).count()).max();
    assert!(
        max_per_second.is_some_and(|attempts| attempts as f64 <= rate_per_s * 1.5 + allowance),
        "{max_per_second:?} attempts in one second"
    );
    assert!(sent.len() as f64 >= 2.0 * rate_per_s, "only {} attempts in 4 s", sent.len());
}
