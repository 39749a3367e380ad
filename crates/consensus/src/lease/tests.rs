use super::*;
use crate::test_support::START;

#[test]
fn held_lease_is_valid_from_its_request_time() {
    let lease = HeldLease::granted(Ballot(1), START);
    let end = START.after(LEASE_DURATION - LEASE_SAFETY_MARGIN);
    assert!(lease.is_valid(end.before(Duration::from_millis(1))) && !lease.is_valid(end));
    assert!(!lease.may_serve(START), "may serve before the found register is committed under the lease");
    let later = lease.renewed(START.after(LEASE_DURATION / 2));
    assert!(
        later.is_valid(end) && later.renewed(START) == later,
        "a renewal round that began earlier must not shorten the lease"
    );
}
