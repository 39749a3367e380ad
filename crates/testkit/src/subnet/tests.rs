use super::*;
use std::collections::BTreeSet;

#[test]
fn a_subnet_is_reserved_only_once() {
    // No cluster draws these numbers.
    let range = 250..254;
    let reserved: BTreeSet<_> = (0..16).map(|_| reserve_numbers(range.clone())).collect();
    assert_eq!(reserved.len(), 16);
}
