use super::*;
use crate::test_support::{address, address_set, addresses, membership, register, response};
use vanewharf_protocol::messages::{Membership, RegisterRank};

fn recovered(number: u64, membership: &Membership) -> VoteResponse {
    let register = register(number << 8, number, membership.clone());
    response(Vote::Recovered { promised: Ballot(number << 8), register })
}

fn amnesic(seeds: &[u8]) -> VoteResponse {
    response(Vote::Amnesic { seeds: addresses(seeds) })
}

/// Each case has a name, the responses by member, and either the revision of the recovered register or the members that
/// have to respond first.
#[test]
fn recovery_needs_majority_of_newest_named_set() {
    let (first, later) = (membership(1, &[1, 2, 3], &[]), membership(3, &[1, 3, 4], &[]));
    let change = membership(2, &[1, 3, 4], &[1, 2, 3]);
    type Case<'a> = (&'a str, Vec<(u8, VoteResponse)>, Result<u64, &'a [u8]>);
    let cases: [Case<'_>; 10] = [
        ("both other members remember", vec![(2, recovered(3, &first)), (3, recovered(3, &first))], Ok(3)),
        (
            "one of two has amnesia, and the other may have missed a register",
            vec![(2, recovered(3, &first)), (3, amnesic(&[1, 2, 3]))],
            Err(&[3]),
        ),
        ("no register was ever accepted", vec![(2, recovered(0, &first)), (3, amnesic(&[1, 2, 3]))], Ok(0)),
        ("all members have amnesia", vec![(2, amnesic(&[3, 2, 1])), (3, amnesic(&[1, 2, 3]))], Ok(0)),
        (
            "a member was configured with other seeds",
            vec![(2, amnesic(&[1, 2, 3])), (3, amnesic(&[1, 3, 4]))],
            Err(&[2, 3]),
        ),
        ("one member did not respond", vec![(2, recovered(0, &first))], Err(&[3])),
        ("no member responded", vec![], Err(&[2, 3])),
        (
            "a removed seed names the old set, and one voter of the new set responds",
            vec![(2, recovered(3, &first)), (3, recovered(5, &later))],
            Err(&[4]),
        ),
        (
            "a majority of the new set responds",
            vec![(2, recovered(3, &first)), (3, recovered(5, &later)), (4, recovered(4, &change))],
            Ok(5),
        ),
        (
            "a change in progress needs majorities of both sets",
            vec![(3, recovered(4, &change)), (4, recovered(4, &change))],
            Err(&[2]),
        ),
    ];
    for (case, responses, expected) in cases {
        let responses = responses.into_iter().map(|(number, response)| (address(number), response)).collect();
        match (decide_recovery(address(1), &addresses(&[1, 2, 3]), &responses), expected) {
            (RecoveryDecision::Recover { register, .. }, Ok(revision)) => {
                assert_eq!(register.revision, Revision(revision), "{case}")
            }
            (RecoveryDecision::Query(missing), Err(members)) => {
                assert_eq!(missing, address_set(members), "{case}")
            }
            (decision, expected) => panic!("{case}: got {decision:?}, expected {expected:?}"),
        }
    }
}

#[test]
fn recovery_restarts_above_known_incarnation() {
    let seeds = vec![address(1), address(2), address(3)];
    let mut recovery = RecoveryRound::start(address(1), seeds, 0);
    let first = recovery.incarnation();
    let recovered = || {
        let register = register(4, 6, membership(1, &[1, 2, 3], &[]));
        response(Vote::Recovered { promised: Ballot(5), register })
    };
    recovery.record_response(address(2), recovered());
    recovery.record_response(address(3), response(Vote::Superseded { incarnation: first + 1 }));
    assert_eq!(recovery.next_step(0), RecoveryStep::Query([2, 3].map(address).into()));
    assert!(recovery.incarnation() > first + 1 && recovery.respondents().is_empty());
    recovery.record_response(address(2), recovered());
    assert!(
        matches!(recovery.next_step(0), RecoveryStep::Query(_)),
        "one other member and the recovering one are no majority"
    );
    recovery.record_response(address(3), recovered());
    let RecoveryStep::Restore(record, register) = recovery.next_step(0) else {
        panic!("no recovery although both other members responded")
    };
    assert_eq!((record.ballot, record.incarnation), (Ballot(5), recovery.incarnation()));
    assert_eq!(register.rank(), RegisterRank { ballot: Ballot(4), revision: Revision(6) });
}
