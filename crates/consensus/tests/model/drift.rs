//! Which drift of clocks the margin bears, on the product's own lease and voter, to a tenth of a millisecond.

use crate::machine::addr;
use std::time::Duration;
use vanewharf_clock::Timestamp;
use vanewharf_consensus::HeldLease;
use vanewharf_consensus::{LEASE_DURATION, LEASE_SAFETY_MARGIN, StartKind, Voter};
use vanewharf_protocol::messages::{Ballot, Vote, VoteRequest};
use yare::parameterized;

const START: u64 = 1_000_000_000;

/// By a steady clock that runs so many millionths too fast (or too slow).
fn at(truly: Duration, millionths: i64) -> Timestamp {
    let tenths = truly.as_micros() as i64 / 100;
    Timestamp((START as i64 + tenths + tenths * millionths / 1_000_000) as u64)
}

/// Whether there is a moment at which the holder still goes by its lease and its voter grants another.
fn two_at_once(holder: i64, voter: i64) -> bool {
    let lease = |ballot, place| VoteRequest::Lease { ballot: Ballot(ballot), candidate: addr(place) };
    let seeds: Vec<_> = (0..3).map(addr).collect();
    (0..20_000u64).any(|tenths| {
        let truly = Duration::from_micros(tenths * 100);
        let mut one = Voter::start(None, None, &seeds, StartKind::Initial, Timestamp(START));
        // Asked and granted at one moment: the worst for the holder.
        assert!(matches!(one.handle_vote_request(lease(1, 0), Timestamp(START)).vote, Vote::Granted { .. }));
        let granted =
            matches!(one.handle_vote_request(lease(2, 1), at(truly, voter)).vote, Vote::Granted { .. });
        granted && HeldLease::granted(Ballot(1), Timestamp(START)).is_valid(at(truly, holder))
    })
}

/// The voter's clock may run faster than the holder's by LEASE_DURATION / (LEASE_DURATION - LEASE_SAFETY_MARGIN) = 1.2: a fifth, or 9% each.
#[parameterized(
    alike = { 0, 0, false },
    both_by_nine_in_a_hundred = { -90_000, 90_000, false },
    voter_by_a_fifth = { 0, 200_000, false },
    a_little_more = { 0, 202_000, true },
    both_by_ten_in_a_hundred = { -100_000, 100_000, true },
    the_other_way_nothing_happens = { 500_000, -300_000, false },
)]
fn a_fifth_of_drift_is_borne(holder: i64, voter: i64, two: bool) {
    assert_eq!(LEASE_DURATION.as_secs_f64() / (LEASE_DURATION - LEASE_SAFETY_MARGIN).as_secs_f64(), 1.2);
    assert_eq!(two_at_once(holder, voter), two);
}
