use super::*;
use crate::test_support::{accepted, address, membership, refused};

fn start() -> RenewalRound {
    RenewalRound::start(Ballot(4), membership(1, &[1, 2, 3], &[]))
}

#[test]
fn renewal_needs_majority_and_is_superseded_by_higher_ballot() {
    let mut round = start();
    assert!(round.record_response(address(1), accepted()).is_continue());
    assert!(round.record_response(address(2), refused(3)).is_continue());
    assert_eq!(
        round.outcome(),
        RenewalOutcome::Incomplete,
        "the refusing voter has promised no higher ballot"
    );
    assert!(round.record_response(address(3), refused(5)).is_continue());
    assert_eq!(round.outcome(), RenewalOutcome::Superseded);
    let mut round = start();
    assert!(round.record_response(address(1), refused(5)).is_continue());
    assert!(round.record_response(address(2), accepted()).is_continue());
    assert!(round.record_response(address(3), accepted()).is_break(), "a majority is enough");
    assert_eq!(round.outcome(), RenewalOutcome::Renewed);
}
