use super::*;

#[test]
fn a_next_incarnation_is_above_the_known_one_whatever_is_drawn() {
    let known = 7 << 32 | 9;
    let (one, other) = (next_incarnation(known, 1), next_incarnation(known, u64::MAX));
    assert!(one > known && other > one && other < 9 << 32);
}
