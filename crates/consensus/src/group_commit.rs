//! Group commit: pending changes of operators are committed as one register, in one accept round. They are applied to
//! the newest proposed register one after the other, and each change has its own outcome.
//!
//! All changes of a group are concurrent, so any order among them is valid. Configurations are applied in the order of
//! their revisions, so that none is superseded by another one of its own group. Evacuations are applied in the order of
//! arrival.

use serde_json::value::RawValue;
use vanewharf_config::configuration::ConfigRevision;
use vanewharf_protocol::messages::{AcceptedConfig, Register};

/// How many accepted configurations a register lists: more than were observed within a day. They take at most 7 KB.
const RETAINED_REVISIONS: usize = 256;

/// A change requested by an operator.
#[derive(Clone, Debug)]
pub enum OperatorChange {
    /// Replaces the configuration, unless the current one has the same or a higher revision.
    ReplaceConfig {
        /// The revision that the configuration itself names.
        revision: ConfigRevision,
        /// The text of the configuration as the operator sent it.
        config: Box<RawValue>,
    },
    /// Takes a zone out of service.
    BeginEvacuation {
        /// The name of the zone.
        zone: String,
    },
    /// Takes a zone back into service.
    EndEvacuation {
        /// The name of the zone.
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

/// The outcome of a change, valid once the register that includes it is committed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// The change is in force, was in force before, or is superseded by a higher revision.
    Acknowledged,
    /// Another configuration was accepted under the same revision.
    Conflict,
}

/// The result of applying a group of changes, which is not committed yet.
#[derive(Clone, Debug)]
pub struct GroupCommit {
    /// The register with all changes applied, still under the ballot and the revision of the base register.
    pub register: Register,
    /// Whether the register differs from the base register.
    pub changed: bool,
    /// One outcome for each change, in the order in which the changes were passed in.
    pub outcomes: Vec<ChangeOutcome>,
}

/// Applies a group of changes to the base register.
pub fn apply_changes(base: &Register, changes: &[OperatorChange]) -> GroupCommit {
    let mut register = base.clone();
    add_current_config(&mut register);
    let mut order: Vec<usize> = (0..changes.len()).collect();
    // The sort is stable: of two configurations with the same revision, the one that arrived first is applied.
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
    if register.accepted_configs.last().is_none_or(|current| current.revision < proposed.revision) {
        register.config = Some(config.to_owned());
        register.accepted_configs.push(proposed);
        let excess = register.accepted_configs.len().saturating_sub(RETAINED_REVISIONS);
        register.accepted_configs.drain(..excess);
        return AppliedChange::acknowledged(true);
    }
    // A revision that is not above the current one changes nothing. It is taken for a repeated request and
    // acknowledged, unless another configuration is known to have been accepted under the same revision.
    let accepted = register.accepted_configs.iter().find(|accepted| accepted.revision == proposed.revision);
    let conflicts = accepted.is_some_and(|accepted| *accepted != proposed);
    let outcome = if conflicts { ChangeOutcome::Conflict } else { ChangeOutcome::Acknowledged };
    AppliedChange { outcome, changed: false }
}

/// Adds the current configuration to the accepted ones if the register lists none. Registers written by versions that
/// did not list accepted configurations need this.
fn add_current_config(register: &mut Register) {
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

/// Returns the revision that an accepted configuration names, or `None` if it names none.
fn config_revision(config: &RawValue) -> Option<ConfigRevision> {
    #[derive(serde::Deserialize)]
    struct ConfigHeader {
        revision: String,
    }
    let header: ConfigHeader = serde_json::from_str(config.get()).ok()?;
    Some(ConfigRevision(header.revision.strip_prefix('r')?.parse().ok()?))
}

const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Returns the FNV-1a hash of the configuration's text. Every byte counts, as a client that repeats a request sends the
/// same text. Digests are stored in registers on disk, so the function must not change.
fn digest(config: &RawValue) -> u64 {
    let add_byte = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
    config.get().bytes().fold(FNV_OFFSET_BASIS, add_byte)
}

#[cfg(test)]
mod tests;
