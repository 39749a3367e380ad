use super::*;
use std::time::Duration;
use yare::parameterized;

fn controller(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7600))
}

fn candidate(number: u8, out_of_sync_for: Duration) -> VoterCandidate {
    let zone = String::new();
    VoterCandidate { address: controller(number), zone, out_of_sync_for, in_sync_for: Duration::ZERO }
}

fn membership(outgoing: Vec<SocketAddr>) -> Membership {
    Membership { epoch: 1, voters: [1, 2, 3].map(controller).to_vec(), outgoing }
}

/// Replaces a voter while controllers 1 to 4 are in sync.
fn replace(leaving: u8, joining: u8) -> Result<Option<BTreeSet<SocketAddr>>, RequestError> {
    let candidates = [1, 2, 3, 4].map(|number| candidate(number, Duration::ZERO));
    voters_after_replacement(&membership(Vec::new()), &candidates, controller(leaving), controller(joining))
}

#[test]
fn a_voter_is_replaced_by_an_in_sync_controller() {
    assert_eq!(replace(3, 4).expect("a change"), Some([1, 2, 4].map(controller).into()));
}

#[test]
fn a_completed_replacement_changes_nothing() {
    assert_eq!(replace(5, 1).expect("no error"), None);
}

#[parameterized(
    neither_votes = { 5, 4, "10.0.0.5:7600 is no voter; they are {10.0.0.1:7600, 10.0.0.2:7600, 10.0.0.3:7600}" },
    same = { 1, 1, "10.0.0.1:7600 cannot take its own place" },
    both_vote = { 1, 2, "10.0.0.2:7600 is a voter already; the set must not shrink" },
    joining_not_in_sync = { 1, 5, "no postmaster that keeps up is heard of at 10.0.0.5:7600" },
)]
fn an_impossible_replacement_is_refused_as_a_conflict(leaving: u8, joining: u8, text: &str) {
    let error = replace(leaving, joining).expect_err("refused");
    assert_eq!((error.status(), error.to_string().as_str()), (409, text));
}

#[test]
fn a_replacement_that_may_succeed_later_is_refused_as_unavailable() {
    let minute = Duration::from_secs(60);
    let candidates = [
        candidate(1, Duration::ZERO),
        candidate(2, minute),
        candidate(3, minute),
        candidate(4, Duration::ZERO),
    ];
    let replace_first = |membership: &Membership| {
        let error = voters_after_replacement(membership, &candidates, controller(1), controller(4));
        let error = error.expect_err("refused");
        (error.status(), error.to_string())
    };
    let too_few_in_sync = "too few of the new voters keep up now; send it again";
    assert_eq!(replace_first(&membership(Vec::new())), (503, too_few_in_sync.to_owned()));
    let in_progress = "another change of the voters is under way; send it again";
    assert_eq!(replace_first(&membership(vec![controller(1)])), (503, in_progress.to_owned()));
}

/// Voter 3 is out of sync: no in-sync voter may be removed before voter 3 is replaced.
#[test]
fn an_in_sync_voter_is_not_replaced_while_another_is_out_of_sync() {
    let candidates = [
        candidate(1, Duration::ZERO),
        candidate(2, Duration::ZERO),
        candidate(3, Duration::from_secs(2)),
        candidate(4, Duration::ZERO),
    ];
    let replace = |leaving| {
        let membership = membership(Vec::new());
        voters_after_replacement(&membership, &candidates, controller(leaving), controller(4))
    };
    let error = replace(1).expect_err("refused");
    let text = "10.0.0.3:7600 does not keep up: while it is a voter, no other voter that does is replaced; send it again";
    assert_eq!((error.status(), error.to_string().as_str()), (503, text));
    assert_eq!(replace(3).expect("a change"), Some([1, 2, 4].map(controller).into()));
}

#[parameterized(
    not_json = { b"{", 400 },
    not_text = { b"\xff", 400 },
    incomplete = { b"{}", 400 },
)]
fn an_invalid_configuration_is_refused_as_a_bad_request(body: &[u8], status: u16) {
    assert_eq!(parse_configuration_order(body).expect_err("refused").status(), status);
}
