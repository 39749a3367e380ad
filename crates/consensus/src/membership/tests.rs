use super::*;
use crate::test_support::{address_set, membership};

#[test]
fn change_needs_both_majorities_until_finished() {
    let now = membership(4, &[1, 2, 3], &[]);
    let change = begin_change(&now, &address_set(&[2, 3, 4]));
    assert_eq!(change, membership(5, &[2, 3, 4], &[1, 2, 3]));
    assert!(
        has_quorum(&change, &address_set(&[2, 3])),
        "majorities of both sets without the joining voter's vote are a quorum"
    );
    assert!(!has_quorum(&change, &address_set(&[1, 2])) && !has_quorum(&change, &address_set(&[3, 4])));
    let after = finish_change(&change);
    assert_eq!(after, membership(6, &[2, 3, 4], &[]));
    assert!(has_quorum(&after, &address_set(&[3, 4])) && !has_quorum(&after, &address_set(&[1, 2])));
    let unknown = Membership::default();
    assert!(!has_quorum(&unknown, &address_set(&[1, 2, 3])), "an unknown membership has no quorum");
    let one_may_oppose = !quorum_is_impossible(&change, &address_set(&[1]));
    assert!(quorum_is_impossible(&change, &address_set(&[1, 2])) && one_may_oppose);
}

#[test]
fn uncommitted_change_is_proposed_again_and_never_finished() {
    let (old, wanted) = (membership(1, &[1, 2, 3], &[]), address_set(&[1, 4, 5]));
    let change = begin_change(&old, &wanted);
    assert_eq!(
        next_membership(&old, &wanted),
        Some(change.clone()),
        "an uncommitted change on the leaseholder's disk is proposed again"
    );
    assert_eq!(next_membership(&change, &wanted), Some(membership(3, &[1, 4, 5], &[])));
    assert_eq!(
        next_membership(&change, &address_set(&[2, 3, 4])),
        Some(finish_change(&change)),
        "the change in progress is finished first"
    );
    assert_eq!(next_membership(&finish_change(&change), &wanted), None);
}
