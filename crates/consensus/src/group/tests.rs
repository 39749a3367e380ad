use super::*;
use vanewharf_protocol::messages::{Ballot, Revision};

fn body(revision: u64, mark: &str) -> Box<RawValue> {
    RawValue::from_string(format!("{{\"mark\":\"{mark}\",\"revision\":\"r{revision}\"}}")).expect("JSON")
}

fn replace(revision: u64, mark: &str) -> OperatorChange {
    OperatorChange::Replace { revision: ConfigRevision(revision), config: body(revision, mark) }
}

fn evacuate(zone: &str, begin: bool) -> OperatorChange {
    OperatorChange::Evacuate { zone: zone.to_owned(), begin }
}

fn held(group: &GroupCommit) -> (&str, Vec<&str>) {
    let config = group.register.config.as_ref().map_or("", |config| config.get());
    (config, group.register.evacuated.iter().map(String::as_str).collect())
}

use ChangeOutcome::{Acknowledged, Conflict};

#[test]
fn a_group_is_the_sum_of_its_orders_and_each_has_its_own_outcome() {
    let group = apply_changes(
        &Register::empty(),
        &[replace(3, "a"), evacuate("x", true), replace(3, "b"), replace(2, "c"), evacuate("y", true)],
    );
    assert_eq!(group.outcomes, [Acknowledged, Acknowledged, Conflict, Acknowledged, Acknowledged]);
    assert_eq!(held(&group), (body(3, "a").get(), vec!["x", "y"]));
    // The lower number was taken before the higher one of its group, and both are known again.
    let again = apply_changes(&group.register, &[replace(2, "c"), replace(3, "a"), replace(2, "d")]);
    assert_eq!((again.changed, again.outcomes), (false, vec![Acknowledged, Acknowledged, Conflict]));
}

#[test]
fn evacuations_of_one_zone_are_taken_as_they_came() {
    let group =
        apply_changes(&Register::empty(), &[evacuate("x", true), evacuate("x", false), evacuate("y", false)]);
    assert_eq!(held(&group), ("", vec![]));
    let group = apply_changes(&group.register, &[evacuate("x", false), evacuate("x", true)]);
    assert_eq!(held(&group), ("", vec!["x"]));
    assert!(!apply_changes(&group.register, &[evacuate("x", true)]).changed);
}

#[test]
fn groups_one_after_the_other_come_to_what_one_group_does() {
    let changes =
        [replace(2, "a"), evacuate("x", true), replace(4, "b"), evacuate("x", false), replace(9, "c")];
    let whole = apply_changes(&Register::empty(), &changes);
    for cut in 0..=changes.len() {
        let first = apply_changes(&Register::empty(), &changes[..cut]);
        let second = apply_changes(&first.register, &changes[cut..]);
        assert_eq!(held(&second), held(&whole), "cut at {cut}");
        assert_eq!(second.register.accepted_configs, whole.register.accepted_configs);
    }
}

#[test]
fn what_lost_its_number_is_never_acknowledged_after_newer_ones() {
    let mut register = apply_changes(&Register::empty(), &[replace(5, "won")]).register;
    for revision in 6..200 {
        register = apply_changes(&register, &[replace(revision, "next")]).register;
        let outcomes = apply_changes(&register, &[replace(5, "lost"), replace(5, "won")]).outcomes;
        assert_eq!(outcomes, [Conflict, Acknowledged], "after r{revision}");
    }
}

#[test]
fn a_number_that_was_passed_over_or_is_forgotten_is_acknowledged_and_changes_nothing() {
    let mut register = apply_changes(&Register::empty(), &[replace(1, "first")]).register;
    for revision in 2..2 + RETAINED_REVISIONS as u64 {
        register = apply_changes(&register, &[replace(revision * 2, "next")]).register;
    }
    assert_eq!(register.accepted_configs.len(), RETAINED_REVISIONS);
    let group = apply_changes(&register, &[replace(1, "other"), replace(9, "never sent")]);
    assert_eq!((group.changed, group.outcomes), (false, vec![Acknowledged, Acknowledged]));
}

#[test]
fn a_register_of_before_names_the_one_that_it_holds() {
    let old = Register {
        ballot: Ballot(3),
        revision: Revision(8),
        config: Some(body(7, "held")),
        ..Register::empty()
    };
    let outcomes =
        apply_changes(&old, &[replace(7, "held"), replace(7, "other"), replace(6, "older")]).outcomes;
    assert_eq!(outcomes, [Acknowledged, Conflict, Acknowledged]);
}
