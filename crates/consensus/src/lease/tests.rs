use super::*;
use crate::test_support::START;

#[test]
fn a_held_lease_lasts_from_when_it_was_requested() {
    let lease = HeldLease::granted(Ballot(1), START);
    let end = START.after(LEASE_DURATION - LEASE_SAFETY_MARGIN);
    assert!(lease.is_valid(end.before(Duration::from_millis(1))) && !lease.is_valid(end));
    assert!(!lease.may_serve(START), "not before the register that was found is committed under it");
    let later = lease.renewed(START.after(LEASE_DURATION / 2));
    assert!(later.is_valid(end) && later.renewed(START) == later, "an older round shortens nothing");
}
