use super::*;

const START: Timestamp = Timestamp(1_000_000_000);

fn at(ms: u64) -> Timestamp {
    START.after(Duration::from_millis(ms))
}

#[test]
fn old_attempts_and_backends_without_failures_are_not_reported() {
    let mut history = AttemptHistory::default();
    (0..8).for_each(|attempt| history.record_attempt("b", true, at(attempt * 10)));
    assert_eq!(history.failing_backends(at(100))["b"], AttemptCounts { attempts: 8, failed: 8 });
    assert!(history.failing_backends(at(3_600)).is_empty());
    history.record_attempt("c", false, at(4_000));
    assert!(history.failing_backends(at(4_000)).is_empty(), "no attempt failed");
}
