use super::*;
use crate::membership::{begin_change, initial_membership};
use crate::test_support::{address, addresses, granted, refused, register};
use vanewharf_protocol::messages::Revision;

fn voters(numbers: &[u8]) -> Membership {
    initial_membership(addresses(numbers))
}

fn rank(ballot: u64, revision: u64) -> RegisterRank {
    RegisterRank { ballot: Ballot(ballot), revision: Revision(revision) }
}

#[test]
fn an_election_is_won_with_the_newest_register_of_a_majority() {
    let mut election = Election::start(address(1), voters(&[1, 2, 3]), rank(1, 1));
    assert!(election.record_response(address(1), granted(register(1, 1, voters(&[1, 2, 3])))).is_continue());
    assert!(election.record_response(address(2), refused(9)).is_continue());
    let newer = register(2, 4, voters(&[1, 2, 3]));
    let outcome = election.record_response(address(3), granted(newer.clone()));
    assert_eq!(outcome, ControlFlow::Break(ElectionOutcome::Won(Box::new(newer))));
    assert_eq!((election.highest_refused_ballot(), election.quota_divisor()), (Ballot(9), 8));
}

#[test]
fn voters_of_a_newer_membership_are_asked_too_and_their_majority_is_needed() {
    let mut election = Election::start(address(1), voters(&[1, 2, 3]), rank(1, 1));
    assert!(election.record_response(address(1), granted(register(1, 1, voters(&[1, 2, 3])))).is_continue());
    let change = begin_change(&voters(&[1, 2, 3]), &[address(1), address(4), address(5)].into());
    let newer = register(1, 2, change);
    let outcome = election.record_response(address(2), granted(newer.clone()));
    let others = [3, 4, 5].map(address).into();
    assert_eq!(outcome, ControlFlow::Break(ElectionOutcome::QueryAlso(others)));
    assert!(
        election.record_response(address(3), granted(register(1, 1, voters(&[1, 2, 3])))).is_continue(),
        "of the new set only 1 has granted the lease"
    );
    let outcome = election.record_response(address(5), granted(register(0, 0, voters(&[1, 2, 3]))));
    assert_eq!(outcome, ControlFlow::Break(ElectionOutcome::Won(Box::new(newer))));
}

/// The candidate has published the initial register under ballot 2, without having it accepted, and finds a change that was
/// begun under ballot 1.
#[test]
fn a_later_set_counts_also_where_it_was_named_under_a_lower_ballot() {
    let mut election = Election::start(address(1), voters(&[1, 2, 3]), rank(2, 0));
    assert!(election.record_response(address(1), granted(register(0, 0, voters(&[1, 2, 3])))).is_continue());
    let change = begin_change(&voters(&[1, 2, 3]), &[address(1), address(2), address(4)].into());
    let begun = register(1, 1, change);
    let outcome = election.record_response(address(3), granted(begun));
    let others = [2, 4].map(address).into();
    assert_eq!(outcome, ControlFlow::Break(ElectionOutcome::QueryAlso(others)));
}

#[test]
fn a_candidate_that_is_no_voter_of_the_newest_membership_does_not_lead() {
    let mut election = Election::start(address(1), voters(&[1, 2, 3]), rank(1, 1));
    assert!(election.record_response(address(1), granted(register(1, 1, voters(&[1, 2, 3])))).is_continue());
    assert!(matches!(
        election.record_response(address(2), granted(register(1, 2, voters(&[2, 3, 4])))),
        ControlFlow::Break(ElectionOutcome::QueryAlso(others)) if others == [3, 4].map(address).into()
    ));
    let outcome = election.record_response(address(3), granted(register(1, 1, voters(&[1, 2, 3]))));
    assert_eq!(outcome, ControlFlow::Break(ElectionOutcome::NotAVoter));
}
