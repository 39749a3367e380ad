use super::*;
use crate::test_support::{address, address_set, membership};
use yare::parameterized;

/// `1a+` is machine 1 in zone a that has just been in sync for long enough, `-` one that has failed, `?` one that was out
/// of sync for a moment, `=` one that has been stable for long.
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
    nothing_to_do = { "1a= 2b= 3c= 4a=", 3, None },
    a_moment_out_of_sync_is_no_failure = { "1a+ 2b? 3c+ 4d+", 3, None },
    failed_and_replaced = { "1a+ 2b- 3c+ 4d+", 3, Some(&[1, 3, 4]) },
    no_standby_in_sync = { "1a+ 2b- 3c+ 4d?", 3, None },
    replaced_so_that_zones_are_spread = { "1a+ 2b- 3c+ 4a+ 5c+ 6d+", 3, Some(&[1, 3, 6]) },
    one_after_the_other = { "1a+ 2b- 3c- 4d+ 5e+", 3, Some(&[1, 3, 4]) },
    grown_at_once = { "1a+ 2b+ 3c+ 4d+ 5e+", 5, Some(&[1, 2, 3, 4, 5]) },
    never_to_four = { "1a+ 2b+ 3c+ 4d+", 5, None },
    never_to_six = { "1a+ 2b+ 3c+ 4d+ 5e+ 6f+", 7, Some(&[1, 2, 3, 4, 5]) },
    moved_out_of_a_crowded_zone = { "1a= 2a= 3c= 4d=", 3, Some(&[2, 3, 4]) },
    not_moved_while_one_has_just_come = { "1a= 2a= 3c= 4d+", 3, None }
)]
fn the_set_of_voters_changes_one_step_at_a_time(text: &str, target_size: usize, expected: Option<&[u8]>) {
    let now = membership(1, &[1, 2, 3], &[]);
    assert_eq!(plan_next_voters(&now, &machines(text), target_size), expected.map(address_set));
}

#[parameterized(
    one_that_has_failed = { "1a+ 2b- 3c+ 4d+", false },
    one_that_keeps_up = { "1a+ 2b+ 3c+ 4d+", true },
)]
fn it_is_told_whether_a_voter_that_keeps_up_leaves(text: &str, expected: bool) {
    let now = membership(1, &[1, 2, 3], &[]);
    assert_eq!(removes_voter_in_sync(&now, &address_set(&[1, 3, 4]), &machines(text)), expected);
    assert!(!removes_voter_in_sync(&now, &address_set(&[1, 2, 3, 4, 5]), &machines(text)), "none leaves");
}
