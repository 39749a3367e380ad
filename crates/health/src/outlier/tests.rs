use super::*;
use crate::attempt_history::AttemptHistory;
use std::time::Duration;

const START: Timestamp = Timestamp(1_000_000_000);

fn at(ms: u64) -> Timestamp {
    START.after(Duration::from_millis(ms))
}

#[test]
fn a_backend_that_fails_a_part_is_detected_by_all_proxies_together_and_by_none_alone() {
    // Each proxy tries each of two backends once in 600 ms; one fails four in ten, the other one in fifty.
    let mut proxies = vec![AttemptHistory::default(); 20];
    let mut detector = OutlierDetector::default();
    let mut unhealthy = BTreeMap::new();
    for turn in 0..10u64 {
        for (no, proxy) in proxies.iter_mut().enumerate() {
            let now = at(turn * 600 + no as u64);
            proxy.record_attempt("failing", (turn + no as u64) % 5 < 2, now);
            proxy.record_attempt("healthy", (turn * 20 + no as u64).is_multiple_of(50), now);
        }
        let now = at(turn * 600 + 50);
        let reports: Vec<_> = proxies.iter().map(|proxy| proxy.failing_backends(now)).collect();
        unhealthy = detector.update(reports.iter(), 20, now);
        let alone = OutlierDetector::default().update(reports.iter().take(1), 20, now);
        assert!(alone.is_empty(), "one proxy's report is no verdict: {alone:?}");
    }
    assert_eq!(unhealthy.keys().collect::<Vec<_>>(), ["failing"]);
    let share = unhealthy["failing"];
    assert!((0.35..0.75).contains(&share) && weight_for_failure_share(share) < 0.45, "{unhealthy:?}");
    let later = detector.update(std::iter::empty(), 20, at(11_000));
    assert!(later["failing"] < share / 2.0, "it decays");
    assert!(detector.update(std::iter::empty(), 20, at(30_000)).is_empty());
}

#[test]
fn a_shared_cause_is_a_majority_and_no_backend_is_excluded() {
    assert!(is_shared_cause(3, 5) && !is_shared_cause(2, 5));
    assert!(weight_for_failure_share(1.0) > 0.0 && weight_for_failure_share(0.0) == 1.0);
}
