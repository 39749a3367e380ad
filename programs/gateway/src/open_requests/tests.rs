use super::*;

#[test]
fn a_request_is_open_until_its_guard_is_dropped() {
    let requests = OpenRequests::default();
    let first = requests.open(Ticks(10));
    let second = requests.open(Ticks(20));
    second.begin_answer();
    let undecided = OpenRequestState { read_at: Ticks(10), stage: RequestStage::Undecided };
    let answering = OpenRequestState { read_at: Ticks(20), stage: RequestStage::Answering };
    assert_eq!(requests.states(), [undecided, answering]);
    drop(first);
    assert_eq!(requests.states(), [answering]);
    drop(second);
    assert!(requests.states().is_empty());
}
