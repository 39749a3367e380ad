use super::*;
use crate::test_support::{address, address_set, addresses, membership, register, response};
use vanewharf_protocol::messages::{Membership, RegisterRank};

fn known(number: u64, membership: &Membership) -> VoteResponse {
    let register = register(number << 8, number, membership.clone());
    response(Vote::Recovered { promised: Ballot(number << 8), register })
}

fn amnesic(seeds: &[u8]) -> VoteResponse {
    response(Vote::Amnesic { seeds: addresses(seeds) })
}

/// Each case: who responded what, and the revision of the register that may be recovered, or who has to be heard first.
#[test]
fn a_member_with_amnesia_recovers_from_a_majority_of_the_newest_set_that_is_named() {
    let (first, later) = (membership(1, &[1, 2, 3], &[]), membership(3, &[1, 3, 4], &[]));
    let change = membership(2, &[1, 3, 4], &[1, 2, 3]);
    type Case<'a> = (&'a str, Vec<(u8, VoteResponse)>, Result<u64, &'a [u8]>);
    let cases: [Case<'_>; 10] = [
        ("both others", vec![(2, known(3, &first)), (3, known(3, &first))], Ok(3)),
        ("one of two may remember less", vec![(2, known(3, &first)), (3, amnesic(&[1, 2, 3]))], Err(&[3])),
        ("nothing was ever accepted", vec![(2, known(0, &first)), (3, amnesic(&[1, 2, 3]))], Ok(0)),
        ("nobody remembers anything", vec![(2, amnesic(&[3, 2, 1])), (3, amnesic(&[1, 2, 3]))], Ok(0)),
        (
            "another one was configured with other seeds",
            vec![(2, amnesic(&[1, 2, 3])), (3, amnesic(&[1, 3, 4]))],
            Err(&[2, 3]),
        ),
        ("one did not respond", vec![(2, known(0, &first))], Err(&[3])),
        ("nobody responded", vec![], Err(&[2, 3])),
        (
            "a seed that has left names an old set, and one of the new responds",
            vec![(2, known(3, &first)), (3, known(5, &later))],
            Err(&[4]),
        ),
        (
            "a majority of the new set",
            vec![(2, known(3, &first)), (3, known(5, &later)), (4, known(4, &change))],
            Ok(5),
        ),
        (
            "a change that was begun needs both sets",
            vec![(3, known(4, &change)), (4, known(4, &change))],
            Err(&[2]),
        ),
    ];
    for (what, responses, expected) in cases {
        let responses = responses.into_iter().map(|(number, response)| (address(number), response)).collect();
        match (decide_recovery(address(1), &addresses(&[1, 2, 3]), &responses), expected) {
            (RecoveryDecision::Recover { register, .. }, Ok(revision)) => {
                assert_eq!(register.revision, Revision(revision), "{what}")
            }
            (RecoveryDecision::Query(missing), Err(members)) => {
                assert_eq!(missing, address_set(members), "{what}")
            }
            (decision, expected) => panic!("{what}: {decision:?}, not {expected:?}"),
        }
    }
}

#[test]
fn a_member_with_amnesia_begins_anew_above_an_incarnation_that_is_already_known() {
    let seeds = vec![address(1), address(2), address(3)];
    let mut recovery = RecoveryRound::start(address(1), seeds, 0);
    let first = recovery.incarnation();
    let known = || {
        let register = register(4, 6, membership(1, &[1, 2, 3], &[]));
        response(Vote::Recovered { promised: Ballot(5), register })
    };
    recovery.record_response(address(2), known());
    recovery.record_response(address(3), response(Vote::Superseded { incarnation: first + 1 }));
    assert_eq!(recovery.next_step(0), RecoveryStep::Query([2, 3].map(address).into()));
    assert!(recovery.incarnation() > first + 1 && recovery.respondents().is_empty());
    recovery.record_response(address(2), known());
    assert!(matches!(recovery.next_step(0), RecoveryStep::Query(_)), "one other is no majority");
    recovery.record_response(address(3), known());
    let RecoveryStep::Restore(record, register) = recovery.next_step(0) else {
        panic!("both others responded")
    };
    assert_eq!((record.ballot, record.incarnation), (Ballot(5), recovery.incarnation()));
    assert_eq!(register.rank(), RegisterRank { ballot: Ballot(4), revision: Revision(6) });
}
