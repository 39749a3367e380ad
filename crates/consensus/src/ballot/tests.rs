use super::*;
use crate::lease::LEASE_DURATION;
use crate::test_support::START;

#[test]
fn ballots_of_two_machines_differ() {
    let at = |ip: [u8; 4]| SocketAddr::from((ip, 7600));
    assert_ne!(next_ballot(Ballot(0), at([10, 1, 2, 3])), next_ballot(Ballot(0), at([11, 1, 2, 3])));
    let mine = next_ballot(Ballot(0), at([10, 1, 2, 3]));
    assert!(next_ballot(mine, at([0, 0, 0, 1])) > mine);
}

#[test]
fn renounced_ballot_is_never_valid_again() {
    let mut claim = BallotClaim::new(Ballot(7));
    let lease = Some(HeldLease::granted(Ballot(7), START));
    assert!(claim.answer_lease_query(Ballot(7), lease, START) && claim.is_valid_for(Ballot(7)));
    let held = claim.answer_lease_query(Ballot(3), lease, START);
    assert!(
        !held && claim.is_valid_for(Ballot(7)),
        "a query for an older ballot must not renounce the current one"
    );
    assert!(!claim.answer_lease_query(Ballot(7), None, START) && !claim.is_valid_for(Ballot(7)));
    let mut expired = BallotClaim::new(Ballot(7));
    let held = expired.answer_lease_query(Ballot(7), lease, START.after(LEASE_DURATION));
    assert!(!held && !expired.is_valid_for(Ballot(7)));
}
