//! Which clock drift the safety margin allows, shown on the crate's own lease and voter, to a tenth of a millisecond.

use crate::cluster::address;
use std::time::Duration;
use vanewharf_clock::Timestamp;
use vanewharf_consensus::{HeldLease, LEASE_DURATION, LEASE_SAFETY_MARGIN, StartKind, Voter};
use vanewharf_protocol::messages::{Ballot, Vote, VoteRequest};
use yare::parameterized;

const START: u64 = 1_000_000_000;
/// The observed time, in tenths of a millisecond: 2 s.
const OBSERVED_TENTHS: u64 = 20_000;

/// What a clock shows after some true time, if it runs that many millionths too fast (or, negative, too slow).
fn clock_after(true_time: Duration, drift_millionths: i64) -> Timestamp {
    let tenths = true_time.as_micros() as i64 / 100;
    Timestamp((START as i64 + tenths + tenths * drift_millionths / 1_000_000) as u64)
}

/// Whether there is a moment at which the leaseholder still acts on its lease and its voter grants another one.
fn two_leaseholders_at_once(leaseholder_drift: i64, voter_drift: i64) -> bool {
    let lease =
        |ballot, candidate| VoteRequest::Lease { ballot: Ballot(ballot), candidate: address(candidate) };
    let seeds: Vec<_> = (0..3).map(address).collect();
    (0..OBSERVED_TENTHS).any(|tenths| {
        let true_time = Duration::from_micros(tenths * 100);
        let mut voter = Voter::start(None, None, &seeds, StartKind::Initial, Timestamp(START));
        // Requested and granted at the same moment: the worst case.
        let vote = voter.handle_vote_request(lease(1, 0), Timestamp(START)).vote;
        assert!(matches!(vote, Vote::Granted { .. }));
        let time_at_voter = clock_after(true_time, voter_drift);
        let vote = voter.handle_vote_request(lease(2, 1), time_at_voter).vote;
        let held = HeldLease::granted(Ballot(1), Timestamp(START));
        matches!(vote, Vote::Granted { .. }) && held.is_valid(clock_after(true_time, leaseholder_drift))
    })
}

/// The voter's clock may run faster than the leaseholder's by LEASE_DURATION / (LEASE_DURATION - LEASE_SAFETY_MARGIN) = 1.2: a
/// fifth, or 9% each.
#[parameterized(
    alike = { 0, 0, false },
    both_by_nine_percent = { -90_000, 90_000, false },
    voter_by_a_fifth = { 0, 200_000, false },
    a_little_more = { 0, 202_000, true },
    both_by_ten_percent = { -100_000, 100_000, true },
    the_other_way_is_harmless = { 500_000, -300_000, false },
)]
fn the_safety_margin_allows_a_drift_of_a_fifth(leaseholder_drift: i64, voter_drift: i64, two: bool) {
    assert_eq!(LEASE_DURATION.as_secs_f64() / (LEASE_DURATION - LEASE_SAFETY_MARGIN).as_secs_f64(), 1.2);
    assert_eq!(two_leaseholders_at_once(leaseholder_drift, voter_drift), two);
}
