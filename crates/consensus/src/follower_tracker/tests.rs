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
    let mut candidates = candidates.iter();
    candidates.find(|candidate| candidate.address == address(number)).expect("the machine is a candidate")
}

#[test]
fn lagging_and_amnesic_followers_are_out_of_sync() {
    let mut tracker = FollowerTracker::default();
    tracker.lease_acquired(START);
    // Changes are committed faster than followers write them: follower 2 is always one revision behind, 3 stays at
    // revision 2, and 4 has amnesia. Voter 5 never pulls.
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
    assert!(have_failed, "the lease has been held for longer than the failure timeout");
    assert!(of(1).out_of_sync_for.is_zero());
    let in_sync = |numbers: &[u8]| majority_in_sync(&address_set(numbers), &all);
    assert!(in_sync(&[1, 2, 3]) && !in_sync(&[1, 3, 4]) && !in_sync(&[1, 5]));
    tracker.lease_acquired(now);
    let all = candidates(&tracker, &[1, 2], now);
    let in_sync = majority_in_sync(&address_set(&[1, 2]), &all);
    assert!(!in_sync, "a voter that has not pulled since the lease was acquired must not count as in sync");
    let none_failed = all.iter().all(|candidate| candidate.out_of_sync_for < FAILURE_TIMEOUT);
    assert!(none_failed, "no voter may count as failed right after the lease was acquired");
}

#[test]
fn tracking_resumes_if_lease_is_regained_soon() {
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
        let candidate = candidate(&all, number);
        (candidate.out_of_sync_for, candidate.in_sync_for)
    };
    let (out_of_sync_for, _) = out_of_sync_and_in_sync(&tracker, 3, after(8_100));
    assert!(
        out_of_sync_for >= FAILURE_TIMEOUT,
        "out of sync for 2 s before the lease was lost and for 1.1 s after"
    );
    let (out_of_sync_for, in_sync_for) = out_of_sync_and_in_sync(&tracker, 2, after(8_100));
    assert!(
        out_of_sync_for < FAILURE_TIMEOUT && in_sync_for > PROMOTION_DELAY,
        "the follower was in sync both times: {out_of_sync_for:?} {in_sync_for:?}"
    );
    tracker.lease_lost(after(8_200));
    tracker.lease_acquired(after(8_200 + 11_000));
    let (out_of_sync_for, _) = out_of_sync_and_in_sync(&tracker, 3, after(8_200 + 11_100));
    assert!(out_of_sync_for < FAILURE_TIMEOUT, "a lease regained after 11 s must start tracking anew");
}
