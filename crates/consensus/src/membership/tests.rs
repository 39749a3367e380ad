use super::*;
use std::net::IpAddr;
use vanewharf_protocol::messages::ControllerEntry;
use vanewharf_protocol::messages::RegisterRank;
use yare::parameterized;

const START: Timestamp = Timestamp(1_000_000_000);

fn addr(no: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, no], 7600))
}

fn set(of: &[u8]) -> BTreeSet<SocketAddr> {
    of.iter().copied().map(addr).collect()
}

fn list(of: &[u8]) -> Vec<SocketAddr> {
    of.iter().copied().map(addr).collect()
}

fn members(epoch: u64, voters: &[u8], outgoing: &[u8]) -> Membership {
    Membership { epoch, voters: list(voters), outgoing: list(outgoing) }
}

fn register(no: u64, membership: Membership) -> Register {
    Register { ballot: Ballot(no << 8), revision: Revision(no), membership, ..Register::empty() }
}

fn cast(vote: Vote) -> VoteResponse {
    VoteResponse { incarnation: 0, incarnations: BTreeMap::new(), vote }
}

fn known(no: u64, membership: &Membership) -> VoteResponse {
    cast(Vote::Recovered { promised: Ballot(no << 8), register: register(no, membership.clone()) })
}

fn amnesic(seeds: &[u8]) -> VoteResponse {
    cast(Vote::Amnesic { seeds: list(seeds) })
}

#[test]
fn during_a_change_both_sets_decide_and_after_it_the_new_one() {
    let now = members(4, &[1, 2, 3], &[]);
    let change = begin_change(&now, &set(&[2, 3, 4]));
    assert_eq!(change, members(5, &[2, 3, 4], &[1, 2, 3]));
    assert!(has_quorum(&change, &set(&[2, 3])), "the newcomer need not be there on the way");
    assert!(!has_quorum(&change, &set(&[1, 2])) && !has_quorum(&change, &set(&[3, 4])));
    let after = finish_change(&change);
    assert_eq!(after, members(6, &[2, 3, 4], &[]));
    assert!(has_quorum(&after, &set(&[3, 4])) && !has_quorum(&after, &set(&[1, 2])));
    assert!(!has_quorum(&Membership::default(), &set(&[1, 2, 3])), "a set that is not known has no quorum");
    assert!(quorum_is_impossible(&change, &set(&[1, 2])) && !quorum_is_impossible(&change, &set(&[1])));
}

#[test]
fn a_vote_cast_before_a_disk_was_lost_counts_for_nothing_beside_one_that_knows() {
    let old = (addr(1), cast(Vote::Accepted));
    let unaware = (addr(2), cast(Vote::Accepted));
    let aware = (addr(2), VoteResponse { incarnations: [(addr(1), 1)].into(), ..cast(Vote::Accepted) });
    let again = (addr(1), VoteResponse { incarnation: 1, ..cast(Vote::Accepted) });
    assert_eq!(assenting_voters(&[old.clone(), unaware.clone()]), set(&[1, 2]));
    assert_eq!(assenting_voters(&[old, aware.clone()]), set(&[2]));
    assert_eq!(assenting_voters(&[again.clone(), aware]), set(&[1, 2]));
    assert_eq!(
        assenting_voters(&[again, unaware]),
        set(&[1, 2]),
        "one that was not asked knows nothing of it"
    );
}

/// Each case: who told what, and what it may go by, as the number of a register; or whom it has to hear.
#[test]
fn one_with_amnesia_goes_by_a_majority_of_the_newest_set_that_is_told() {
    let (first, later) = (members(1, &[1, 2, 3], &[]), members(3, &[1, 3, 4], &[]));
    let change = members(2, &[1, 3, 4], &[1, 2, 3]);
    type Case<'a> = (&'a str, Vec<(u8, VoteResponse)>, Result<u64, &'a [u8]>);
    let cases: [Case<'_>; 10] = [
        ("both others", vec![(2, known(3, &first)), (3, known(3, &first))], Ok(3)),
        ("one of two may remember less", vec![(2, known(3, &first)), (3, amnesic(&[1, 2, 3]))], Err(&[3])),
        ("nothing was ever kept", vec![(2, known(0, &first)), (3, amnesic(&[1, 2, 3]))], Ok(0)),
        ("nobody remembers anything", vec![(2, amnesic(&[3, 2, 1])), (3, amnesic(&[1, 2, 3]))], Ok(0)),
        (
            "other seeds were told there",
            vec![(2, amnesic(&[1, 2, 3])), (3, amnesic(&[1, 3, 4]))],
            Err(&[2, 3]),
        ),
        ("one was not heard", vec![(2, known(0, &first))], Err(&[3])),
        ("nobody was heard", vec![], Err(&[2, 3])),
        (
            "a seed that has left tells an old set, and one of the new",
            vec![(2, known(3, &first)), (3, known(5, &later))],
            Err(&[4]),
        ),
        ("the new set's", vec![(2, known(3, &first)), (3, known(5, &later)), (4, known(4, &change))], Ok(5)),
        (
            "a change that was begun wants both sets",
            vec![(3, known(4, &change)), (4, known(4, &change))],
            Err(&[2]),
        ),
    ];
    for (what, told, expected) in cases {
        let told = told.into_iter().map(|(no, cast)| (addr(no), cast)).collect();
        match (recovery(addr(1), &list(&[1, 2, 3]), &told), expected) {
            (RecoveryDecision::Recover { register, .. }, Ok(no)) => {
                assert_eq!(register.revision, Revision(no), "{what}")
            }
            (RecoveryDecision::Query(missing), Err(whom)) => assert_eq!(missing, set(whom), "{what}"),
            (came, expected) => panic!("{what}: {came:?}, not {expected:?}"),
        }
    }
}

/// `1a+` is machine 1 in zone a that keeps up, `-` one that is lost, `?` one that was away for a moment, `=` long calm.
fn machines(text: &str) -> Vec<VoterCandidate> {
    let machine = |word: &str| {
        let mut letters = word.chars();
        let mut next = || letters.next().expect("three letters");
        let (no, zone, state) = (next(), next(), next());
        let (out_of_sync_for, in_sync_for) = match state {
            '+' => (Duration::ZERO, PROMOTION_DELAY),
            '=' => (Duration::ZERO, REBALANCE_DELAY),
            '?' => (FAILURE_TIMEOUT / 2, Duration::ZERO),
            _ => (FAILURE_TIMEOUT, Duration::ZERO),
        };
        let office = addr(no.to_digit(10).expect("a digit") as u8);
        VoterCandidate { address: office, zone: zone.to_string(), out_of_sync_for, in_sync_for }
    };
    text.split(' ').map(machine).collect()
}

#[parameterized(
    nothing_to_do = { "1a= 2b= 3c= 4a=", 3, None },
    a_moment_is_no_loss = { "1a+ 2b? 3c+ 4d+", 3, None },
    lost_and_replaced = { "1a+ 2b- 3c+ 4d+", 3, Some(&[1, 3, 4]) },
    nobody_stands_by = { "1a+ 2b- 3c+ 4d?", 3, None },
    where_the_zones_are_spread = { "1a+ 2b- 3c+ 4a+ 5c+ 6d+", 3, Some(&[1, 3, 6]) },
    one_after_the_other = { "1a+ 2b- 3c- 4d+ 5e+", 3, Some(&[1, 3, 4]) },
    grown_at_once = { "1a+ 2b+ 3c+ 4d+ 5e+", 5, Some(&[1, 2, 3, 4, 5]) },
    never_to_four = { "1a+ 2b+ 3c+ 4d+", 5, None },
    never_to_six = { "1a+ 2b+ 3c+ 4d+ 5e+ 6f+", 7, Some(&[1, 2, 3, 4, 5]) },
    moved_out_of_a_crowded_zone = { "1a= 2a= 3c= 4d=", 3, Some(&[2, 3, 4]) },
    not_while_one_has_just_come = { "1a= 2a= 3c= 4d+", 3, None }
)]
fn the_set_changes_one_step_at_a_time(text: &str, wanted: usize, expected: Option<&[u8]>) {
    let now = members(1, &[1, 2, 3], &[]);
    assert_eq!(plan_next_voters(&now, &machines(text), wanted), expected.map(set));
}

#[test]
fn whoever_keeps_up_may_vote_and_who_lags_or_has_amnesia_is_missed() {
    let mut following = FollowerTracker::default();
    following.lease_acquired(START);
    let ip = |no: u8| IpAddr::from([10, 0, 0, no]);
    let follower = |no: u8, kept: Option<u64>| Follower {
        controller: ControllerEntry { ip: ip(no), zone: "z".to_owned() },
        persisted: kept.map(|no| RegisterRank { ballot: Ballot(1), revision: Revision(no) }),
    };
    // Changes come faster than they are kept: 2 is one behind each time, 3 stays where it was, 4 has amnesia.
    let mut now = START;
    for turn in 1..40u64 {
        now = now.after(Duration::from_millis(100));
        following.record_pull(&follower(2, Some(turn - 1)), Revision(turn), now);
        following.record_pull(&follower(3, Some(2)), Revision(turn), now);
        following.record_pull(&follower(4, None), Revision(turn), now);
    }
    let office = |ip| SocketAddr::new(ip, 7600);
    let all = following.candidates(&list(&[1, 2, 5]), (addr(1), "z"), office, now);
    let of = |no: u8| all.iter().find(|one| one.address == addr(no)).expect("it is known");
    assert!(of(2).out_of_sync_for.is_zero() && of(2).in_sync_for > PROMOTION_DELAY, "{:?}", of(2));
    assert!(of(3).out_of_sync_for > Duration::from_secs(2) && of(3).in_sync_for.is_zero(), "{:?}", of(3));
    assert!(
        of(4).out_of_sync_for > FAILURE_TIMEOUT && of(5).out_of_sync_for > FAILURE_TIMEOUT,
        "as long as the lease is held"
    );
    assert!(of(1).out_of_sync_for.is_zero());
    assert!(
        majority_in_sync(&set(&[1, 2, 3]), &all)
            && !majority_in_sync(&set(&[1, 3, 4]), &all)
            && !majority_in_sync(&set(&[1, 5]), &all)
    );
    following.lease_acquired(now);
    let all = following.candidates(&list(&[1, 2]), (addr(1), "z"), office, now);
    assert!(!majority_in_sync(&set(&[1, 2]), &all), "nor does it trust in one that it has not heard");
    assert!(all.iter().all(|one| one.out_of_sync_for < FAILURE_TIMEOUT), "a new holder misses nobody yet");
}

#[test]
fn a_change_that_is_not_settled_is_begun_again_and_never_concluded() {
    let (old, wanted) = (members(1, &[1, 2, 3], &[]), set(&[1, 4, 5]));
    let change = begin_change(&old, &wanted);
    assert_eq!(next_membership(&old, &wanted), Some(change.clone()), "whatever the holder's own disk says");
    assert_eq!(next_membership(&change, &wanted), Some(members(3, &[1, 4, 5], &[])));
    assert_eq!(
        next_membership(&change, &set(&[2, 3, 4])),
        Some(finish_change(&change)),
        "the one before comes first"
    );
    assert_eq!(next_membership(&finish_change(&change), &wanted), None);
}

#[test]
fn a_holder_that_has_the_lease_again_soon_misses_whom_it_missed_before() {
    let (mut following, ip) = (FollowerTracker::default(), |no: u8| IpAddr::from([10, 0, 0, no]));
    let office = |ip| SocketAddr::new(ip, 7600);
    let kept = Some(RegisterRank { ballot: Ballot(1), revision: Revision(1) });
    let hear = |following: &mut FollowerTracker, no: u8, now: Timestamp| {
        let row = ControllerEntry { ip: ip(no), zone: "z".to_owned() };
        following.record_pull(&Follower { controller: row, persisted: kept }, Revision(1), now);
    };
    let after = |span: u64| START.after(Duration::from_millis(span));
    following.lease_acquired(START);
    (0..20).for_each(|turn| hear(&mut following, 2, after(turn * 100)));
    following.lease_lost(after(2_000));
    following.lease_acquired(after(7_000));
    hear(&mut following, 2, after(7_100));
    let missing = |following: &FollowerTracker, no: u8, now: Timestamp| {
        let all = following.candidates(&list(&[1, 2, 3]), (addr(1), "z"), office, now);
        let one = all.into_iter().find(|one| one.address == addr(no)).expect("it is known");
        (one.out_of_sync_for, one.in_sync_for)
    };
    assert!(missing(&following, 3, after(8_100)).0 >= FAILURE_TIMEOUT, "2 s before and 1.1 s now");
    let (absent, in_sync_for) = missing(&following, 2, after(8_100));
    assert!(
        absent < FAILURE_TIMEOUT && in_sync_for > PROMOTION_DELAY,
        "it was there all along: {absent:?} {in_sync_for:?}"
    );
    following.lease_lost(after(8_200));
    following.lease_acquired(after(8_200 + 11_000));
    assert!(missing(&following, 3, after(8_200 + 11_100)).0 < FAILURE_TIMEOUT, "too long ago");
}
