use super::*;
use yare::parameterized;

const START: Timestamp = Timestamp(1_000_000_000);

#[parameterized(
    registry = { 7.5, 5.0, 8 },
    clinics = { 21.0, 5.0, 9 },
    few = { 7.5, 5.0, 2 },
)]
fn a_cold_backend_is_not_pressed_by_all_doors_together(per_s: f64, allowance: f64, doors: usize) {
    let part = slow_start_share(per_s, 1.5, allowance, doors as f64);
    let mut all = vec![SlowStart::new(part, START); doors];
    let mut sent = Vec::new();
    for step in 0..4000u64 {
        let now = START.after(Duration::from_millis(step));
        for door in &mut all {
            if door.try_spend(part, now) {
                sent.push(step);
            }
        }
    }
    let most =
        sent.iter().map(|at| sent.iter().filter(|other| (*at..at + 1000).contains(other)).count()).max();
    assert!(most.is_some_and(|most| most as f64 <= per_s * 1.5 + allowance), "{most:?}");
    assert!(sent.len() as f64 >= 2.0 * per_s, "and it gets some: {}", sent.len());
}

#[test]
fn repeats_stay_within_the_rule_over_all_doors() {
    let rule = RetryPolicy { ratio: 0.2, allowance: 56.0, proxies: 8.0 };
    let mut doors = vec![RetryBudget::new(&rule, true); 8];
    let mut repeats = 0;
    for _ in 0..125 {
        for door in &mut doors {
            door.record_request(&rule);
            while door.try_spend() {
                repeats += 1;
            }
        }
    }
    assert!(f64::from(repeats) <= 0.2 * 1000.0 + 56.0, "{repeats}");
    assert!(repeats >= 150);
}

#[parameterized(first = { 0.0, 1 }, second = { 0.5, 2 }, end = { 0.999, 2 })]
fn a_draw_falls_by_weight(draw: f64, no: usize) {
    assert_eq!(pick_weighted([0.0, 1.0, 3.0, 0.0].into_iter(), draw), no);
}

#[test]
fn keys_lapse_before_a_revocation_must_hold() {
    let second = Duration::from_secs(1);
    let sure = |seconds| Some(START.after(second * seconds));
    assert!(key_authorization_lapsed(true, second * 5, None, START), "never heard");
    assert!(!key_authorization_lapsed(true, second * 5, sure(0), START.after(second * 4)));
    assert!(key_authorization_lapsed(true, second * 5, sure(0), START.after(second * 4 + second / 2)));
    assert!(!key_authorization_lapsed(false, second * 5, None, START), "bound to machines in touch only");
}
