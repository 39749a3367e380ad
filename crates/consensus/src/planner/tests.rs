use super::*;
use crate::test_support::{address, address_set, membership};
use yare::parameterized;

/// Parses machines separated by spaces. `1a+` is machine 1 in zone a. The sign gives its state: `+` has been in sync
/// for just [`PROMOTION_DELAY`], `=` for [`REBALANCE_DELAY`], `?` is out of sync for half of [`FAILURE_TIMEOUT`], `-`
/// has failed.
fn machines(text: &str) -> Vec<VoterCandidate> {
    let machine = |word: &str| {
        let mut letters = word.chars();
        let mut next = || letters.next().expect("three letters");
        let (number, zone, state) = (next(), next(), next());
        let (out_of_sync_for, in_sync_for) = match state {
            '+' => (Duration::ZERO, PROMOTION_DELAY),
            '=' => (Duration::ZERO, REBALANCE_DELAY),
            '?' => (FAILURE_TIMEOUT / 2, Duration::ZERO),
            _ => (FAILURE_TIMEOUT, Duration::ZERO),
        };
        let address = address(number.to_digit(10).expect("a digit") as u8);
        VoterCandidate { address, zone: zone.to_string(), out_of_sync_for, in_sync_for }
    };
    text.split(' ').map(machine).collect()
}

#[parameterized(
    no_change_needed = { "1a= 2b= 3c= 4a=", 3, None },
    briefly_out_of_sync_is_not_failed = { "1a+ 2b? 3c+ 4d+", 3, None },
    failed_voter_replaced = { "1a+ 2b- 3c+ 4d+", 3, Some(&[1, 3, 4]) },
    no_standby_in_sync = { "1a+ 2b- 3c+ 4d?", 3, None },
    replacement_spreads_zones = { "1a+ 2b- 3c+ 4a+ 5c+ 6d+", 3, Some(&[1, 3, 6]) },
    one_replaced_per_change = { "1a+ 2b- 3c- 4d+ 5e+", 3, Some(&[1, 3, 4]) },
    grown_in_one_change = { "1a+ 2b+ 3c+ 4d+ 5e+", 5, Some(&[1, 2, 3, 4, 5]) },
    not_grown_to_four = { "1a+ 2b+ 3c+ 4d+", 5, None },
    not_grown_to_six = { "1a+ 2b+ 3c+ 4d+ 5e+ 6f+", 7, Some(&[1, 2, 3, 4, 5]) },
    moved_out_of_fullest_zone = { "1a= 2a= 3c= 4d=", 3, Some(&[2, 3, 4]) },
    not_moved_to_recent_standby = { "1a= 2a= 3c= 4d+", 3, None }
)]
fn next_voters_are_planned_one_change_at_a_time(text: &str, target_size: usize, expected: Option<&[u8]>) {
    let now = membership(1, &[1, 2, 3], &[]);
    assert_eq!(plan_next_voters(&now, &machines(text), target_size), expected.map(address_set));
}

#[parameterized(
    failed_voter = { "1a+ 2b- 3c+ 4d+", false },
    voter_in_sync = { "1a+ 2b+ 3c+ 4d+", true },
)]
fn removal_of_voter_in_sync_is_detected(text: &str, expected: bool) {
    let now = membership(1, &[1, 2, 3], &[]);
    assert_eq!(removes_voter_in_sync(&now, &address_set(&[1, 3, 4]), &machines(text)), expected);
    assert!(
        !removes_voter_in_sync(&now, &address_set(&[1, 2, 3, 4, 5]), &machines(text)),
        "growth removes no voter"
    );
}
