use super::*;

#[test]
fn next_incarnation_exceeds_known_one_for_any_random_bits() {
    let known = 7 << 32 | 9;
    let (one, other) = (next_incarnation(known, 1), next_incarnation(known, u64::MAX));
    assert!(one > known && other > one && other < 9 << 32);
}
