use super::*;
use crate::test_support::{address, membership, refused, response};

fn willing(promised: u64) -> VoteResponse {
    response(Vote::WouldGrant { promised: Ballot(promised) })
}

#[test]
fn a_willing_majority_tells_the_highest_ballot_that_any_respondent_promised() {
    let mut round = PreVoteRound::start(membership(1, &[1, 2, 3], &[]));
    assert!(round.record_response(address(1), willing(2)).is_continue());
    assert!(round.record_response(address(2), refused(9)).is_continue(), "a refusal is no assent");
    assert_eq!(round.record_response(address(3), willing(4)), ControlFlow::Break(Ballot(9)));
}
