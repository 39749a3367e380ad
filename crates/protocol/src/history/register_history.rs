//! The most recent changes of the register.

use super::{ConfigDocument, MAX_RETAINED_CHANGES};
use crate::messages::{ConfigEdit, Register, RegisterChange, Revision};
use serde_json::value::RawValue;
use std::collections::VecDeque;

/// The maximum size of all retained changes together, which is computed approximately.
const MAX_RETAINED_BYTES: usize = 256 * 1024;
/// The approximate size of an edit without its value.
const EDIT_OVERHEAD_BYTES: usize = 60;

/// A gapless sequence of changes, the last of which results in the current register.
#[derive(Clone, Debug, Default)]
pub struct RegisterHistory {
    /// The current configuration, against which the next change is computed.
    document: Option<ConfigDocument>,
    /// The checksum of the document's text, if it is known.
    checksum: Option<u32>,
    changes: VecDeque<SizedChange>,
}

#[derive(Clone, Debug)]
struct SizedChange {
    change: RegisterChange,
    bytes: usize,
}

impl RegisterHistory {
    /// Records that a newer register replaced the current one. Drops all changes if the difference between the
    /// two is at least half as long as the newer one.
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

    /// Returns the changes from that revision to the current register, or `None` if they are not retained.
    pub fn changes_since(&self, revision: Revision) -> Option<Vec<RegisterChange>> {
        let first = self.changes.iter().position(|sized| sized.change.from == revision)?;
        Some(self.changes.iter().skip(first).map(|sized| sized.change.clone()).collect())
    }

    /// Applies the changes to the register and returns the result. Returns `None`, and changes nothing, if they do
    /// not start from this register or the checksum of the result does not match.
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
        // If only the membership or the evacuated zones have changed, the text stays the same.
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

/// Returns the change from the old register to the new one, or `None` if the new one has no configuration or if
/// its snapshot is not more than twice as long as the change.
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
