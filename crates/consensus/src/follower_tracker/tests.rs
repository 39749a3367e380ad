use super::*;
use crate::planner::{FAILURE_TIMEOUT, PROMOTION_DELAY, majority_in_sync};
use crate::test_support::{START, address, address_set, addresses};
use vanewharf_protocol::messages::{Ballot, ControllerEntry, RegisterRank};

const LOCAL_ZONE: &str = "z";

fn follower(number: u8, on_disk: Option<u64>) -> Follower {
    Follower {
        controller: ControllerEntry { ip: address(number).ip(), zone: LOCAL_ZONE.to_owned() },
        persisted: on_disk.map(|revision| RegisterRank { ballot: Ballot(1), revision: Revision(revision) }),
    }
}

fn candidates(tracker: &FollowerTracker, voters: &[u8], now: Timestamp) -> Vec<VoterCandidate> {
    let local = LocalMember { address: address(1), zone: LOCAL_ZONE };
    tracker.candidates(&addresses(voters), local, |ip| SocketAddr::new(ip, 7600), now)
}

fn candidate(candidates: &[VoterCandidate], number: u8) -> &VoterCandidate {
    candidates.iter().find(|one| one.address == address(number)).expect("it is known")
}

#[test]
fn a_follower_in_sync_may_vote_and_one_that_lags_or_has_amnesia_is_out_of_sync() {
    let mut tracker = FollowerTracker::default();
    tracker.lease_acquired(START);
    // Changes come faster than they are written: 2 is one behind each time, 3 stays where it was, 4 has amnesia.
    let mut now = START;
    for revision in 1..40u64 {
        now = now.after(Duration::from_millis(100));
        tracker.record_pull(&follower(2, Some(revision - 1)), Revision(revision), now);
        tracker.record_pull(&follower(3, Some(2)), Revision(revision), now);
        tracker.record_pull(&follower(4, None), Revision(revision), now);
    }
    let all = candidates(&tracker, &[1, 2, 5], now);
    let of = |number: u8| candidate(&all, number);
    assert!(of(2).out_of_sync_for.is_zero() && of(2).in_sync_for > PROMOTION_DELAY, "{:?}", of(2));
    assert!(of(3).out_of_sync_for > Duration::from_secs(2) && of(3).in_sync_for.is_zero(), "{:?}", of(3));
    let have_failed = of(4).out_of_sync_for > FAILURE_TIMEOUT && of(5).out_of_sync_for > FAILURE_TIMEOUT;
    assert!(have_failed, "for as long as the lease is held");
    assert!(of(1).out_of_sync_for.is_zero());
    let in_sync = |numbers: &[u8]| majority_in_sync(&address_set(numbers), &all);
    assert!(in_sync(&[1, 2, 3]) && !in_sync(&[1, 3, 4]) && !in_sync(&[1, 5]));
    tracker.lease_acquired(now);
    let all = candidates(&tracker, &[1, 2], now);
    let in_sync = majority_in_sync(&address_set(&[1, 2]), &all);
    assert!(!in_sync, "one that was not heard from is not taken to be in sync");
    let nobody_failed = all.iter().all(|one| one.out_of_sync_for < FAILURE_TIMEOUT);
    assert!(nobody_failed, "a new leaseholder takes nobody to have failed yet");
}

#[test]
fn a_lease_regained_soon_continues_with_what_was_known_of_followers() {
    let mut tracker = FollowerTracker::default();
    let after = |milliseconds: u64| START.after(Duration::from_millis(milliseconds));
    let pull = |tracker: &mut FollowerTracker, now| {
        tracker.record_pull(&follower(2, Some(1)), Revision(1), now);
    };
    tracker.lease_acquired(START);
    (0..20).for_each(|pulls| pull(&mut tracker, after(pulls * 100)));
    tracker.lease_lost(after(2_000));
    tracker.lease_acquired(after(7_000));
    pull(&mut tracker, after(7_100));
    let out_of_sync_and_in_sync = |tracker: &FollowerTracker, number: u8, now| {
        let all = candidates(tracker, &[1, 2, 3], now);
        let one = candidate(&all, number);
        (one.out_of_sync_for, one.in_sync_for)
    };
    let (out_of_sync_for, _) = out_of_sync_and_in_sync(&tracker, 3, after(8_100));
    assert!(out_of_sync_for >= FAILURE_TIMEOUT, "2 s before and 1.1 s now");
    let (out_of_sync_for, in_sync_for) = out_of_sync_and_in_sync(&tracker, 2, after(8_100));
    assert!(
        out_of_sync_for < FAILURE_TIMEOUT && in_sync_for > PROMOTION_DELAY,
        "it was there all along: {out_of_sync_for:?} {in_sync_for:?}"
    );
    tracker.lease_lost(after(8_200));
    tracker.lease_acquired(after(8_200 + 11_000));
    let (out_of_sync_for, _) = out_of_sync_and_in_sync(&tracker, 3, after(8_200 + 11_100));
    assert!(out_of_sync_for < FAILURE_TIMEOUT, "too long ago");
}
