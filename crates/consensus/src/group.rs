//! GroupCommit commit: orders that wait are carried out together, as one register that a majority keeps in one round. What each
//! of them does is worked out here, in order, on the newest register that was proposed; each has an outcome of its own.
//!
//! All orders of a group are under way at the same time, so that any order among them is a true one. Configurations are
//! taken by their numbers, so that none is overtaken by a member of its own group; evacuations as they came.

use serde_json::value::RawValue;
use vanewharf_config::config::ConfigRevision;
use vanewharf_protocol::messages::{AcceptedConfig, Register};

/// So many configurations that were taken are remembered: over 7 KB of the register at most, and more than the changes
/// of the longest day that was seen.
const RETAINED_REVISIONS: usize = 256;

/// What an operator's order changes.
#[derive(Clone, Debug)]
pub enum OperatorChange {
    Replace { revision: ConfigRevision, config: Box<RawValue> },
    Evacuate { zone: String, begin: bool },
}

/// What becomes of an order once the register that it was worked out on is certain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// It is in force, or was, or is overtaken by a higher number.
    Acknowledged,
    /// Another configuration was taken under its number.
    Conflict,
}

/// What a group comes to.
#[derive(Clone, Debug)]
pub struct GroupCommit {
    /// Under the ballot and the number that it was worked out on.
    pub register: Register,
    /// Whether it differs from that.
    pub changed: bool,
    /// In the order in which the changes were given.
    pub outcomes: Vec<ChangeOutcome>,
}

/// Carries all of them out on a register.
pub fn apply_changes(on: &Register, changes: &[OperatorChange]) -> GroupCommit {
    let mut register = on.clone();
    remember_held(&mut register);
    let number = |change: &OperatorChange| match change {
        OperatorChange::Replace { revision, .. } => Some(*revision),
        OperatorChange::Evacuate { .. } => None,
    };
    let mut turns: Vec<usize> = (0..changes.len()).collect();
    // Of two under one number the one that came first is taken.
    turns.sort_by_key(|turn| number(&changes[*turn]));
    let (mut changed, mut outcomes) = (false, vec![ChangeOutcome::Acknowledged; changes.len()]);
    for turn in turns {
        let (outcome, news) = match &changes[turn] {
            OperatorChange::Evacuate { zone, begin: true } => {
                (ChangeOutcome::Acknowledged, register.evacuated.insert(zone.clone()))
            }
            OperatorChange::Evacuate { zone, begin: false } => {
                (ChangeOutcome::Acknowledged, register.evacuated.remove(zone))
            }
            OperatorChange::Replace { revision, config } => replace(&mut register, *revision, config),
        };
        outcomes[turn] = outcome;
        changed |= news;
    }
    GroupCommit { register, changed, outcomes }
}

/// A register of before this was remembered names the one that it holds.
fn remember_held(register: &mut Register) {
    let held = register.config.as_deref().filter(|_| register.accepted_configs.is_empty());
    let held =
        held.and_then(|held| Some(AcceptedConfig { revision: revision(held)?.0, digest: digest(held) }));
    register.accepted_configs.extend(held);
}

fn replace(register: &mut Register, revision: ConfigRevision, config: &RawValue) -> (ChangeOutcome, bool) {
    let this = AcceptedConfig { revision: revision.0, digest: digest(config) };
    if register.accepted_configs.last().is_none_or(|held| held.revision < this.revision) {
        register.config = Some(config.to_owned());
        register.accepted_configs.push(this);
        let over = register.accepted_configs.len().saturating_sub(RETAINED_REVISIONS);
        register.accepted_configs.drain(..over);
        return (ChangeOutcome::Acknowledged, true);
    }
    // What is not above the one held changes nothing; it is told so unless another one was taken under its number.
    let under = register.accepted_configs.iter().find(|taken| taken.revision == this.revision);
    let conflict = under.is_some_and(|taken| *taken != this);
    (if conflict { ChangeOutcome::Conflict } else { ChangeOutcome::Acknowledged }, false)
}

/// The number of a configuration that was read whole before.
fn revision(config: &RawValue) -> Option<ConfigRevision> {
    #[derive(serde::Deserialize)]
    struct Head {
        revision: String,
    }
    let head: Head = serde_json::from_str(config.get()).ok()?;
    Some(ConfigRevision(head.revision.strip_prefix('r')?.parse().ok()?))
}

/// FNV-1a, of the text byte for byte: what is sent again is sent just as it was.
fn digest(config: &RawValue) -> u64 {
    let step = |sum: u64, byte: u8| (sum ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    config.get().bytes().fold(0xcbf2_9ce4_8422_2325, step)
}

#[cfg(test)]
mod tests;
