//! Group commit: pending operators' changes are applied together and committed as one register, in one accept round. They
//! are applied to the newest proposed register one after the other, and each has an outcome of its own.
//!
//! All changes of a group are concurrent, so any order among them is valid. Configurations are applied in the order of their
//! revisions, so that none is superseded by another one of its own group; evacuations in the order in which they came.

use serde_json::value::RawValue;
use vanewharf_config::configuration::ConfigRevision;
use vanewharf_protocol::messages::{AcceptedConfig, Register};

/// How many accepted configurations a register remembers: at most 7 KB, and more than were ever observed within a day.
const RETAINED_REVISIONS: usize = 256;

/// A change that an operator wants made.
#[derive(Clone, Debug)]
pub enum OperatorChange {
    /// Replaces the configuration, unless one of a higher revision is in force.
    ReplaceConfig {
        /// The revision that the configuration itself names.
        revision: ConfigRevision,
        /// Its text as it was sent.
        config: Box<RawValue>,
    },
    /// Takes a zone out of service.
    BeginEvacuation {
        /// The zone's name.
        zone: String,
    },
    /// Takes a zone back into service.
    EndEvacuation {
        /// The zone's name.
        zone: String,
    },
}

impl OperatorChange {
    fn revision(&self) -> Option<ConfigRevision> {
        match self {
            OperatorChange::ReplaceConfig { revision, .. } => Some(*revision),
            OperatorChange::BeginEvacuation { .. } | OperatorChange::EndEvacuation { .. } => None,
        }
    }
}

/// The outcome of a change once the register with it is committed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// It is in force, or was, or is superseded by a higher revision.
    Acknowledged,
    /// Another configuration was accepted under its revision.
    Conflict,
}

/// The result of a group of changes.
#[derive(Clone, Debug)]
pub struct GroupCommit {
    /// The register with all changes, still under the ballot and the revision of the base register.
    pub register: Register,
    /// Whether it differs from the base register.
    pub changed: bool,
    /// One outcome for each change, in the order in which the changes were given.
    pub outcomes: Vec<ChangeOutcome>,
}

/// Applies all changes to the base register.
pub fn apply_changes(base: &Register, changes: &[OperatorChange]) -> GroupCommit {
    let mut register = base.clone();
    remember_config_in_force(&mut register);
    let mut order: Vec<usize> = (0..changes.len()).collect();
    // The sort is stable: of two configurations under one revision the one that came first is applied.
    order.sort_by_key(|index| changes[*index].revision());
    let mut group =
        GroupCommit { register, changed: false, outcomes: vec![ChangeOutcome::Acknowledged; changes.len()] };
    for index in order {
        let applied = apply_change(&mut group.register, &changes[index]);
        group.outcomes[index] = applied.outcome;
        group.changed |= applied.changed;
    }
    group
}

struct AppliedChange {
    outcome: ChangeOutcome,
    changed: bool,
}

impl AppliedChange {
    fn acknowledged(changed: bool) -> AppliedChange {
        AppliedChange { outcome: ChangeOutcome::Acknowledged, changed }
    }
}

fn apply_change(register: &mut Register, change: &OperatorChange) -> AppliedChange {
    match change {
        OperatorChange::BeginEvacuation { zone } => {
            AppliedChange::acknowledged(register.evacuated.insert(zone.clone()))
        }
        OperatorChange::EndEvacuation { zone } => {
            AppliedChange::acknowledged(register.evacuated.remove(zone))
        }
        OperatorChange::ReplaceConfig { revision, config } => replace_config(register, *revision, config),
    }
}

fn replace_config(register: &mut Register, revision: ConfigRevision, config: &RawValue) -> AppliedChange {
    let proposed = AcceptedConfig { revision: revision.0, digest: digest(config) };
    if register.accepted_configs.last().is_none_or(|in_force| in_force.revision < proposed.revision) {
        register.config = Some(config.to_owned());
        register.accepted_configs.push(proposed);
        let excess = register.accepted_configs.len().saturating_sub(RETAINED_REVISIONS);
        register.accepted_configs.drain(..excess);
        return AppliedChange::acknowledged(true);
    }
    // One that is not above the revision in force changes nothing. It is a repetition, and acknowledged, unless another
    // configuration is known to have been accepted under its revision.
    let accepted = register.accepted_configs.iter().find(|accepted| accepted.revision == proposed.revision);
    let conflicts = accepted.is_some_and(|accepted| *accepted != proposed);
    let outcome = if conflicts { ChangeOutcome::Conflict } else { ChangeOutcome::Acknowledged };
    AppliedChange { outcome, changed: false }
}

/// Registers that were written before accepted configurations were remembered name at least the one in force.
fn remember_config_in_force(register: &mut Register) {
    if !register.accepted_configs.is_empty() {
        return;
    }
    let Some(config) = register.config.as_deref() else {
        return;
    };
    if let Some(revision) = config_revision(config) {
        register.accepted_configs.push(AcceptedConfig { revision: revision.0, digest: digest(config) });
    }
}

/// The revision that an accepted configuration names.
fn config_revision(config: &RawValue) -> Option<ConfigRevision> {
    #[derive(serde::Deserialize)]
    struct Head {
        revision: String,
    }
    let head: Head = serde_json::from_str(config.get()).ok()?;
    Some(ConfigRevision(head.revision.strip_prefix('r')?.parse().ok()?))
}

const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// FNV-1a of the text, byte for byte: a configuration that is sent again is sent just as it was. Stored in registers on
/// disk, so that it must stay the same function.
fn digest(config: &RawValue) -> u64 {
    let mix = |sum: u64, byte: u8| (sum ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
    config.get().bytes().fold(FNV_OFFSET_BASIS, mix)
}

#[cfg(test)]
mod tests;
