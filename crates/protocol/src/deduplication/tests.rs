use super::*;
use std::time::Duration;
use yare::parameterized;

fn id(caller: u64, sequence: u64) -> CallId {
    CallId { caller, sequence }
}

#[test]
fn a_repeated_call_has_no_effect_and_gets_the_recorded_response() {
    let (mut history, now) = (CallHistory::default(), Instant::now());
    assert_eq!(history.observe(id(1, 1), now), CallStatus::New);
    assert_eq!(history.observe(id(1, 1), now), CallStatus::Repeated, "the first arrival is still in flight");
    history.record_response(id(1, 1), "first");
    assert_eq!(history.observe(id(1, 1), now), CallStatus::Answered("first"));
    assert_eq!(history.observe(id(2, 1), now), CallStatus::New, "the call of another caller");
    assert_eq!(history.observe(id(1, 3), now), CallStatus::New);
    assert_eq!(history.observe(id(1, 1), now), CallStatus::Repeated, "a later call has arrived");
    assert_eq!(
        history.observe(id(1, 2), now),
        CallStatus::Repeated,
        "a delayed call, for which its caller no longer waits"
    );
    history.record_response(id(1, 1), "late");
    assert_eq!(
        history.observe(id(1, 3), now),
        CallStatus::Repeated,
        "the response to an earlier call is not recorded for this one"
    );
}

#[test]
fn callers_that_called_longest_ago_are_evicted_beyond_the_limit() {
    let (mut history, start) = (CallHistory::<()>::default(), Instant::now());
    for caller in 0..3 * MAX_CALLERS as u64 {
        history.observe(id(caller, 1), start + Duration::from_millis(caller));
        assert!(history.callers.len() <= MAX_CALLERS);
    }
    let last = 3 * MAX_CALLERS as u64 - 1;
    assert_eq!(history.observe(id(last, 1), start), CallStatus::Repeated);
    assert_eq!(history.observe(id(0, 1), start), CallStatus::New);
}

#[parameterized(
    nothing = { "" },
    one_number = { "12" },
    no_number = { "1-x" },
    three = { "1-2-3" },
    too_large = { "1-10000000000000000" },
)]
fn a_malformed_id_is_refused(text: &str) {
    assert!(text.parse::<CallId>().is_err());
}

#[test]
fn an_id_is_parsed_as_it_was_written() {
    assert_eq!(id(u64::MAX, 17).to_string().parse(), Ok(id(u64::MAX, 17)));
}
