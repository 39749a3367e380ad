use super::*;

const START: Timestamp = Timestamp(1_000_000_000);

fn at(ms: u64) -> Timestamp {
    START.after(Duration::from_millis(ms))
}

#[test]
fn a_backend_that_fails_a_part_is_seen_by_all_doors_together_and_by_none_alone() {
    // Each door tries each of two backends once in 600 ms; one fails four in ten, the other one in fifty.
    let mut doors = vec![AttemptHistory::default(); 20];
    let mut detector = OutlierDetector::default();
    let mut ill = BTreeMap::new();
    for round in 0..10u64 {
        for (no, door) in doors.iter_mut().enumerate() {
            let now = at(round * 600 + no as u64);
            door.record_attempt("grey", (round + no as u64) % 5 < 2, now);
            door.record_attempt("well", (round * 20 + no as u64).is_multiple_of(50), now);
        }
        let now = at(round * 600 + 50);
        let told: Vec<_> = doors.iter().map(|door| door.failing_backends(now)).collect();
        ill = detector.update(told.iter(), 20, now);
        let alone = OutlierDetector::default().update(told.iter().take(1), 20, now);
        assert!(alone.is_empty(), "one door's register is no verdict: {alone:?}");
    }
    assert_eq!(ill.keys().collect::<Vec<_>>(), ["grey"]);
    assert!((0.35..0.75).contains(&ill["grey"]) && weight_for_failure_share(ill["grey"]) < 0.45, "{ill:?}");
    let later = detector.update(std::iter::empty(), 20, at(11_000));
    assert!(later["grey"] < ill["grey"] / 2.0, "it fades");
    assert!(detector.update(std::iter::empty(), 20, at(30_000)).is_empty());
}

#[test]
fn old_counts_are_told_no_more_and_a_shared_cause_spares_none() {
    let mut door = AttemptHistory::default();
    (0..8).for_each(|no| door.record_attempt("b", true, at(no * 10)));
    assert_eq!(door.failing_backends(at(100))["b"], AttemptCounts { attempts: 8, failed: 8 });
    assert!(door.failing_backends(at(3_600)).is_empty());
    door.record_attempt("c", false, at(4_000));
    assert!(door.failing_backends(at(4_000)).is_empty(), "it failed nobody");
    assert!(is_shared_cause(3, 5) && !is_shared_cause(2, 5));
    assert!(weight_for_failure_share(1.0) > 0.0 && weight_for_failure_share(0.0) == 1.0);
}
