use super::*;
use crate::attempt_history::AttemptHistory;
use std::time::Duration;

const START: Timestamp = Timestamp(1_000_000_000);

fn at(ms: u64) -> Timestamp {
    START.after(Duration::from_millis(ms))
}

#[test]
fn partial_failure_is_detected_from_all_reports_but_not_from_one() {
    // Each proxy sends one request per 600 ms to each of two backends. One fails 4 in 10, the other 1 in 50.
    let mut proxies = vec![AttemptHistory::default(); 20];
    let mut detector = OutlierDetector::default();
    let mut unhealthy = BTreeMap::new();
    for round in 0..10u64 {
        for (index, proxy) in proxies.iter_mut().enumerate() {
            let now = at(round * 600 + index as u64);
            proxy.record_attempt("failing", (round + index as u64) % 5 < 2, now);
            proxy.record_attempt("healthy", (round * 20 + index as u64).is_multiple_of(50), now);
        }
        let now = at(round * 600 + 50);
        let reports: Vec<_> = proxies.iter().map(|proxy| proxy.failing_backends(now)).collect();
        unhealthy = detector.update(reports.iter(), 20, now);
        let from_one = OutlierDetector::default().update(reports.iter().take(1), 20, now);
        assert!(from_one.is_empty(), "detected from one proxy's report: {from_one:?}");
    }
    assert_eq!(unhealthy.keys().collect::<Vec<_>>(), ["failing"]);
    let share = unhealthy["failing"];
    assert!((0.35..0.75).contains(&share) && weight_for_failure_share(share) < 0.45, "{unhealthy:?}");
    let later = detector.update(std::iter::empty(), 20, at(11_000));
    assert!(later["failing"] < share / 2.0, "the share does not decay");
    assert!(detector.update(std::iter::empty(), 20, at(30_000)).is_empty());
}

#[test]
fn a_majority_is_a_shared_cause_and_no_weight_is_zero() {
    assert!(is_shared_cause(3, 5) && !is_shared_cause(2, 5));
    assert!(weight_for_failure_share(1.0) > 0.0 && weight_for_failure_share(0.0) == 1.0);
}
