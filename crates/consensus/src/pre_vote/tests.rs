use super::*;
use crate::test_support::{address, membership, refused, response};

fn willing(promised: u64) -> VoteResponse {
    response(Vote::WouldGrant { promised: Ballot(promised) })
}

#[test]
fn willing_majority_ends_round_with_highest_promised_ballot() {
    let mut round = PreVoteRound::start(membership(1, &[1, 2, 3], &[]));
    assert!(round.record_response(address(1), willing(2)).is_continue());
    assert!(
        round.record_response(address(2), refused(9)).is_continue(),
        "a refusal must not count as assent"
    );
    assert_eq!(round.record_response(address(3), willing(4)), ControlFlow::Break(Ballot(9)));
}
