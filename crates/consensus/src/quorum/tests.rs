use super::*;
use crate::test_support::{accepted, address, address_set, membership};

fn assenting(responses: &[(SocketAddr, VoteResponse)]) -> BTreeSet<SocketAddr> {
    let mut tally = QuorumTracker::new(membership(1, &[1, 2, 3], &[]));
    for (voter, response) in responses {
        tally.record(*voter, response.clone());
    }
    tally.assenting_voters()
}

#[test]
fn vote_of_superseded_incarnation_is_not_counted() {
    let old = (address(1), accepted());
    let unaware = (address(2), accepted());
    let aware = (address(2), VoteResponse { incarnations: [(address(1), 1)].into(), ..accepted() });
    let again = (address(1), VoteResponse { incarnation: 1, ..accepted() });
    assert_eq!(assenting(&[old.clone(), unaware.clone()]), address_set(&[1, 2]));
    assert_eq!(assenting(&[old, aware.clone()]), address_set(&[2]));
    assert_eq!(assenting(&[again.clone(), aware]), address_set(&[1, 2]));
    assert_eq!(
        assenting(&[again, unaware]),
        address_set(&[1, 2]),
        "a response without incarnations of others excludes no vote"
    );
}
