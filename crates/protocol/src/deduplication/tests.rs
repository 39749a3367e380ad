use super::*;
use std::time::Duration;
use yare::parameterized;

fn id(life: u64, no: u64) -> CallId {
    CallId { caller: life, sequence: no }
}

#[test]
fn a_call_that_comes_again_changes_nothing_and_is_answered_as_before() {
    let (mut heard, now) = (CallHistory::default(), Instant::now());
    assert_eq!(heard.observe(id(1, 1), now), CallStatus::New);
    assert_eq!(heard.observe(id(1, 1), now), CallStatus::Repeated, "while the first is under way");
    heard.record_answer(id(1, 1), "first");
    assert_eq!(heard.observe(id(1, 1), now), CallStatus::Answered("first"));
    assert_eq!(heard.observe(id(2, 1), now), CallStatus::New, "another caller's");
    assert_eq!(heard.observe(id(1, 3), now), CallStatus::New);
    assert_eq!(heard.observe(id(1, 1), now), CallStatus::Repeated, "it has gone on");
    assert_eq!(heard.observe(id(1, 2), now), CallStatus::Repeated, "late, and its caller no longer waits");
    heard.record_answer(id(1, 1), "late");
    assert_eq!(
        heard.observe(id(1, 3), now),
        CallStatus::Repeated,
        "an answer to an earlier one is not this one's"
    );
}

#[test]
fn those_heard_of_longest_ago_are_forgotten_when_there_are_too_many() {
    let (mut heard, begun) = (CallHistory::<()>::default(), Instant::now());
    for life in 0..3 * MOST_CALLERS as u64 {
        heard.observe(id(life, 1), begun + Duration::from_millis(life));
        assert!(heard.callers.len() <= MOST_CALLERS);
    }
    let last = 3 * MOST_CALLERS as u64 - 1;
    assert_eq!(heard.observe(id(last, 1), begun), CallStatus::Repeated);
    assert_eq!(heard.observe(id(0, 1), begun), CallStatus::New);
}

#[parameterized(
    nothing = { "" },
    one_number = { "12" },
    no_number = { "1-x" },
    three = { "1-2-3" },
    too_large = { "1-10000000000000000" },
)]
fn what_is_no_id_is_not_read(text: &str) {
    assert!(text.parse::<CallId>().is_err());
}

#[test]
fn an_id_is_read_as_it_was_written() {
    assert_eq!(id(u64::MAX, 17).to_string().parse(), Ok(id(u64::MAX, 17)));
}
