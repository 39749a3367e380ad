use super::*;
use vanewharf_protocol::messages::{Ballot, Revision};

fn body(revision: u64, mark: &str) -> Box<RawValue> {
    RawValue::from_string(format!("{{\"mark\":\"{mark}\",\"revision\":\"r{revision}\"}}")).expect("JSON")
}

fn replace(revision: u64, mark: &str) -> OperatorChange {
    OperatorChange::ReplaceConfig { revision: ConfigRevision(revision), config: body(revision, mark) }
}

fn begin_evacuation(zone: &str) -> OperatorChange {
    OperatorChange::BeginEvacuation { zone: zone.to_owned() }
}

fn end_evacuation(zone: &str) -> OperatorChange {
    OperatorChange::EndEvacuation { zone: zone.to_owned() }
}

fn content(group: &GroupCommit) -> (&str, Vec<&str>) {
    let config = group.register.config.as_ref().map_or("", |config| config.get());
    (config, group.register.evacuated.iter().map(String::as_str).collect())
}

use ChangeOutcome::{Acknowledged, Conflict};

#[test]
fn group_applies_all_changes_with_one_outcome_each() {
    let group = apply_changes(
        &Register::empty(),
        &[replace(3, "a"), begin_evacuation("x"), replace(3, "b"), replace(2, "c"), begin_evacuation("y")],
    );
    assert_eq!(group.outcomes, [Acknowledged, Acknowledged, Conflict, Acknowledged, Acknowledged]);
    assert_eq!(content(&group), (body(3, "a").get(), vec!["x", "y"]));
    // The lower revision was applied before the higher one of its group, and the register lists both.
    let again = apply_changes(&group.register, &[replace(2, "c"), replace(3, "a"), replace(2, "d")]);
    assert_eq!((again.changed, again.outcomes), (false, vec![Acknowledged, Acknowledged, Conflict]));
}

#[test]
fn evacuations_are_applied_in_order_of_arrival() {
    let group =
        apply_changes(&Register::empty(), &[begin_evacuation("x"), end_evacuation("x"), end_evacuation("y")]);
    assert_eq!(content(&group), ("", vec![]));
    let group = apply_changes(&group.register, &[end_evacuation("x"), begin_evacuation("x")]);
    assert_eq!(content(&group), ("", vec!["x"]));
    assert!(!apply_changes(&group.register, &[begin_evacuation("x")]).changed);
}

#[test]
fn splitting_a_group_yields_the_same_register() {
    let changes =
        [replace(2, "a"), begin_evacuation("x"), replace(4, "b"), end_evacuation("x"), replace(9, "c")];
    let undivided = apply_changes(&Register::empty(), &changes);
    for split in 0..=changes.len() {
        let first = apply_changes(&Register::empty(), &changes[..split]);
        let second = apply_changes(&first.register, &changes[split..]);
        assert_eq!(content(&second), content(&undivided), "groups split at change {split}");
        assert_eq!(second.register.accepted_configs, undivided.register.accepted_configs);
    }
}

#[test]
fn conflict_is_detected_after_newer_revisions() {
    let mut register = apply_changes(&Register::empty(), &[replace(5, "won")]).register;
    for revision in 6..200 {
        register = apply_changes(&register, &[replace(revision, "next")]).register;
        let outcomes = apply_changes(&register, &[replace(5, "lost"), replace(5, "won")]).outcomes;
        assert_eq!(outcomes, [Conflict, Acknowledged], "after revision r{revision}");
    }
}

#[test]
fn unlisted_older_revision_is_acknowledged_without_effect() {
    let mut register = apply_changes(&Register::empty(), &[replace(1, "first")]).register;
    for revision in 2..2 + RETAINED_REVISIONS as u64 {
        register = apply_changes(&register, &[replace(revision * 2, "next")]).register;
    }
    assert_eq!(register.accepted_configs.len(), RETAINED_REVISIONS);
    let group = apply_changes(&register, &[replace(1, "other"), replace(9, "never sent")]);
    assert_eq!((group.changed, group.outcomes), (false, vec![Acknowledged, Acknowledged]));
}

#[test]
fn register_without_accepted_configs_lists_its_current_one() {
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
