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
fn election_is_won_with_newest_register_of_majority() {
    let mut election = Election::start(address(1), voters(&[1, 2, 3]), rank(1, 1));
    assert!(election.record_response(address(1), granted(register(1, 1, voters(&[1, 2, 3])))).is_continue());
    assert!(election.record_response(address(2), refused(9)).is_continue());
    let newer = register(2, 4, voters(&[1, 2, 3]));
    let outcome = election.record_response(address(3), granted(newer.clone()));
    assert_eq!(outcome, ControlFlow::Break(ElectionOutcome::Won(Box::new(newer))));
    assert_eq!((election.highest_ballot_in_refusals(), election.quota_divisor()), (Ballot(9), 8));
}

#[test]
fn newer_membership_has_to_grant_lease_too() {
    let mut election = Election::start(address(1), voters(&[1, 2, 3]), rank(1, 1));
    assert!(election.record_response(address(1), granted(register(1, 1, voters(&[1, 2, 3])))).is_continue());
    let change = begin_change(&voters(&[1, 2, 3]), &[address(1), address(4), address(5)].into());
    let newer = register(1, 2, change);
    let outcome = election.record_response(address(2), granted(newer.clone()));
    let others = [3, 4, 5].map(address).into();
    assert_eq!(outcome, ControlFlow::Break(ElectionOutcome::QueryMoreVoters(others)));
    assert!(
        election.record_response(address(3), granted(register(1, 1, voters(&[1, 2, 3])))).is_continue(),
        "of the new set only 1 has granted the lease"
    );
    let outcome = election.record_response(address(5), granted(register(0, 0, voters(&[1, 2, 3]))));
    assert_eq!(outcome, ControlFlow::Break(ElectionOutcome::Won(Box::new(newer))));
}

/// Guards against comparing memberships by the ranks of their registers alone: the candidate has published the initial
/// register under ballot 2 without an accept round, and finds a membership change that was begun under ballot 1.
#[test]
fn later_epoch_is_used_despite_lower_ballot() {
    let mut election = Election::start(address(1), voters(&[1, 2, 3]), rank(2, 0));
    assert!(election.record_response(address(1), granted(register(0, 0, voters(&[1, 2, 3])))).is_continue());
    let change = begin_change(&voters(&[1, 2, 3]), &[address(1), address(2), address(4)].into());
    let begun = register(1, 1, change);
    let outcome = election.record_response(address(3), granted(begun));
    let others = [2, 4].map(address).into();
    assert_eq!(outcome, ControlFlow::Break(ElectionOutcome::QueryMoreVoters(others)));
}

#[test]
fn candidate_outside_newest_membership_is_not_elected() {
    let mut election = Election::start(address(1), voters(&[1, 2, 3]), rank(1, 1));
    assert!(election.record_response(address(1), granted(register(1, 1, voters(&[1, 2, 3])))).is_continue());
    assert!(matches!(
        election.record_response(address(2), granted(register(1, 2, voters(&[2, 3, 4])))),
        ControlFlow::Break(ElectionOutcome::QueryMoreVoters(others)) if others == [3, 4].map(address).into()
    ));
    let outcome = election.record_response(address(3), granted(register(1, 1, voters(&[1, 2, 3]))));
    assert_eq!(outcome, ControlFlow::Break(ElectionOutcome::NotAVoter));
}
