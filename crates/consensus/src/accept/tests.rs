use super::*;
use crate::test_support::{accepted, address, membership, refused, register};

fn start() -> AcceptRound {
    AcceptRound::start(&register(1, 2, membership(1, &[1, 2, 3], &[])))
}

#[test]
fn majority_commits_or_rejects_register() {
    let mut round = start();
    assert!(round.record_response(address(1), accepted()).is_continue());
    assert!(round.record_response(address(2), refused(2)).is_continue());
    assert_eq!(round.record_response(address(3), accepted()), ControlFlow::Break(AcceptOutcome::Committed));
    let mut round = start();
    assert!(round.record_response(address(1), refused(2)).is_continue());
    assert!(round.record_response(address(2), accepted()).is_continue());
    assert_eq!(round.record_response(address(3), refused(2)), ControlFlow::Break(AcceptOutcome::Rejected));
}
