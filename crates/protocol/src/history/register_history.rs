//! The last changes of the register.

use super::{ConfigDocument, MAX_RETAINED_CHANGES};
use crate::messages::{ConfigEdit, Register, RegisterChange, Revision};
use serde_json::value::RawValue;
use std::collections::VecDeque;

/// The approximate size of all retained changes together, at most.
const MAX_RETAINED_BYTES: usize = 256 * 1024;
/// The approximate size of an edit beside its value.
const EDIT_OVERHEAD_BYTES: usize = 60;

/// Changes that lead to the current register, without a gap between one and the next.
#[derive(Clone, Debug, Default)]
pub struct RegisterHistory {
    /// The current configuration; the next change is computed against it.
    document: Option<ConfigDocument>,
    /// Of the document's text, where it is known.
    checksum: Option<u32>,
    changes: VecDeque<SizedChange>,
}

#[derive(Clone, Debug)]
struct SizedChange {
    change: RegisterChange,
    bytes: usize,
}

impl RegisterHistory {
    /// Records that the current register was replaced by a newer one. Where the difference between the two is
    /// not much shorter than the newer one, all changes are dropped.
    pub fn record_replacement(&mut self, old: Option<&Register>, new: &Register) {
        let document = new.config.as_ref().and_then(|config| ConfigDocument::parse(config));
        let change = match (old, &self.document, &document) {
            (Some(old), Some(old_document), Some(document)) => {
                change_between(old, new, old_document, document)
            }
            _ => None,
        };
        self.document = document;
        self.checksum = change.as_ref().map(|sized| sized.change.checksum);
        match change {
            Some(change) => self.retain(change),
            None => self.changes.clear(),
        }
    }

    /// The changes from that revision to the current register; none where they are not retained.
    pub fn changes_since(&self, revision: Revision) -> Option<Vec<RegisterChange>> {
        let first = self.changes.iter().position(|sized| sized.change.from == revision)?;
        Some(self.changes.iter().skip(first).map(|sized| sized.change.clone()).collect())
    }

    /// The register that results from these changes. None, without any effect, where they do not start from
    /// the current one or the result's checksum is not theirs.
    pub fn apply_changes(&mut self, register: &Register, changes: Vec<RegisterChange>) -> Option<Register> {
        let mut revision = register.revision;
        for change in &changes {
            if change.from != revision {
                return None;
            }
            revision = change.revision;
        }
        let last = changes.last()?;
        let config = self.edited_config(register, &changes, last.checksum)?;
        let result = Register {
            ballot: last.ballot,
            revision,
            config: Some(config),
            evacuated: last.evacuated.clone(),
            membership: last.membership.clone(),
            accepted_configs: Vec::new(),
        };
        for change in changes {
            let bytes = approximate_bytes(&change.edits);
            self.retain(SizedChange { change, bytes });
        }
        Some(result)
    }

    fn edited_config(
        &mut self,
        register: &Register,
        changes: &[RegisterChange],
        checksum: u32,
    ) -> Option<Box<RawValue>> {
        // Where only membership or evacuations have changed, the text need not be made again.
        if self.checksum == Some(checksum) && changes.iter().all(|change| change.edits.is_empty()) {
            return register.config.clone();
        }
        let mut document = self.document.clone()?;
        changes.iter().for_each(|change| document.apply(&change.edits));
        let text = document.text()?;
        if checksum_of(&text) != checksum {
            return None;
        }
        self.document = Some(document);
        self.checksum = Some(checksum);
        Some(text)
    }

    fn retain(&mut self, change: SizedChange) {
        self.changes.push_back(change);
        while self.changes.len() > MAX_RETAINED_CHANGES || self.retained_bytes() > MAX_RETAINED_BYTES {
            self.changes.pop_front();
        }
    }

    fn retained_bytes(&self) -> usize {
        self.changes.iter().map(|sized| sized.bytes).sum()
    }
}

/// None where the newer register has no configuration, or a snapshot of it is less than twice as long.
fn change_between(
    old: &Register,
    new: &Register,
    old_document: &ConfigDocument,
    new_document: &ConfigDocument,
) -> Option<SizedChange> {
    let edits = old_document.edits_to(new_document);
    let bytes = approximate_bytes(&edits);
    let snapshot_bytes = new.config.as_ref()?.get().len();
    let change = RegisterChange {
        from: old.revision,
        revision: new.revision,
        ballot: new.ballot,
        evacuated: new.evacuated.clone(),
        membership: new.membership.clone(),
        edits,
        checksum: checksum_of(&new_document.text()?),
    };
    (bytes * 2 < snapshot_bytes).then_some(SizedChange { change, bytes })
}

fn checksum_of(text: &RawValue) -> u32 {
    crc32fast::hash(text.get().as_bytes())
}

fn approximate_bytes(edits: &[ConfigEdit]) -> usize {
    let value_bytes = |edit: &ConfigEdit| edit.value.as_ref().map_or(0, |value| value.get().len());
    edits.iter().map(|edit| EDIT_OVERHEAD_BYTES + value_bytes(edit)).sum()
}
