//! Tests how much clock drift the safety margin allows, with the crate's own lease and voter, in steps of a tenth of a
//! millisecond.

use crate::cluster::address;
use std::time::Duration;
use vanewharf_clock::Timestamp;
use vanewharf_consensus::{HeldLease, LEASE_DURATION, LEASE_SAFETY_MARGIN, StartKind, Voter};
use vanewharf_protocol::messages::{Ballot, Vote, VoteRequest};
use yare::parameterized;

/// The time that both clocks show at the start, in tenths of a millisecond.
const START: u64 = 1_000_000_000;
/// The observed time in tenths of a millisecond: 2 s, which is more than a lease duration.
const OBSERVED_TENTHS_MS: u64 = 20_000;

/// Returns the time that a clock shows after some true time. `drift_ppm` is how much too fast it runs, in parts per
/// million; a negative drift is that of a slow clock.
fn clock_after(true_time: Duration, drift_ppm: i64) -> Timestamp {
    let tenths = true_time.as_micros() as i64 / 100;
    Timestamp((START as i64 + tenths + tenths * drift_ppm / 1_000_000) as u64)
}

/// Returns whether at some moment the leaseholder still acts on its lease while its voter grants another one.
fn two_leaseholders_at_once(leaseholder_drift: i64, voter_drift: i64) -> bool {
    let lease =
        |ballot, candidate| VoteRequest::Lease { ballot: Ballot(ballot), candidate: address(candidate) };
    let seeds: Vec<_> = (0..3).map(address).collect();
    (0..OBSERVED_TENTHS_MS).any(|tenths| {
        let true_time = Duration::from_micros(tenths * 100);
        let mut voter = Voter::start(None, None, &seeds, StartKind::Initial, Timestamp(START));
        // The lease is granted at the moment of the request, which is the worst case.
        let vote = voter.handle_vote_request(lease(1, 0), Timestamp(START)).vote;
        assert!(matches!(vote, Vote::Granted { .. }));
        let time_at_voter = clock_after(true_time, voter_drift);
        let vote = voter.handle_vote_request(lease(2, 1), time_at_voter).vote;
        let held = HeldLease::granted(Ballot(1), Timestamp(START));
        matches!(vote, Vote::Granted { .. }) && held.is_valid(clock_after(true_time, leaseholder_drift))
    })
}

/// The voter's clock may run LEASE_DURATION / (LEASE_DURATION - LEASE_SAFETY_MARGIN) = 1.2 times as fast as the
/// leaseholder's: a fifth faster, or 9% if both clocks drift in opposite directions.
#[parameterized(
    no_drift = { 0, 0, false },
    both_by_nine_percent = { -90_000, 90_000, false },
    voter_by_one_fifth = { 0, 200_000, false },
    voter_by_more_than_one_fifth = { 0, 202_000, true },
    both_by_ten_percent = { -100_000, 100_000, true },
    leaseholder_faster_than_voter = { 500_000, -300_000, false },
)]
fn safety_margin_allows_clock_drift_of_one_fifth(leaseholder_drift: i64, voter_drift: i64, expected: bool) {
    assert_eq!(LEASE_DURATION.as_secs_f64() / (LEASE_DURATION - LEASE_SAFETY_MARGIN).as_secs_f64(), 1.2);
    assert_eq!(two_leaseholders_at_once(leaseholder_drift, voter_drift), expected);
}
