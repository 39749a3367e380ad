//! What changed from one version to the next: a reader that is little behind is told that alone and follows it; one that
//! is far behind, or whose result is not the teller's, takes a snapshot.

use crate::messages::{
    Backend, BackendList, BackendListChange, ConfigEdit, Register, RegisterChange, Revision, Version,
};
use serde_json::value::RawValue;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;
use vanewharf_clock::Timestamp;

/// Changes that are kept to be told, and their size altogether, in bytes about.
const MOST_KEPT: usize = 48;
const MOST_BYTES: usize = 256 * 1024;

/// A configuration in two levels: parts that are tables by name, and other parts. Its text has one form.
#[derive(Clone, Debug, Default)]
pub struct Document {
    parts: BTreeMap<String, Part>,
}

#[derive(Clone, Debug)]
enum Part {
    Table(BTreeMap<String, Box<RawValue>>),
    Plain(Box<RawValue>),
}

impl Part {
    fn of(value: &RawValue) -> Part {
        let table = serde_json::from_str(value.get()).ok().filter(|_| value.get().starts_with('{'));
        table.map_or_else(|| Part::Plain(value.to_owned()), Part::Table)
    }
}

impl Document {
    pub fn of(config: &RawValue) -> Option<Document> {
        let raw: BTreeMap<String, Box<RawValue>> = serde_json::from_str(config.get()).ok()?;
        let parts = raw.into_iter().map(|(name, value)| (name, Part::of(&value))).collect();
        Some(Document { parts })
    }

    pub fn text(&self) -> Option<Box<RawValue>> {
        let mut text = String::from("{");
        let quoted = |name: &String| serde_json::to_string(name).ok();
        for (no, (name, part)) in self.parts.iter().enumerate() {
            text.push_str(if no > 0 { "," } else { "" });
            text.push_str(&quoted(name)?);
            text.push(':');
            match part {
                Part::Plain(value) => text.push_str(value.get()),
                Part::Table(table) => {
                    text.push('{');
                    for (no, (name, value)) in table.iter().enumerate() {
                        text.push_str(if no > 0 { "," } else { "" });
                        text.push_str(&quoted(name)?);
                        text.push(':');
                        text.push_str(value.get());
                    }
                    text.push('}');
                }
            }
        }
        text.push('}');
        RawValue::from_string(text).ok()
    }

    /// What makes this one into the other.
    fn edits(&self, newer: &Document) -> Vec<ConfigEdit> {
        let mut edits = Vec::new();
        let names: BTreeSet<_> = self.parts.keys().chain(newer.parts.keys()).collect();
        for name in names {
            let whole = |value: Option<Box<RawValue>>| ConfigEdit { part: name.clone(), entry: None, value };
            match (self.parts.get(name), newer.parts.get(name)) {
                (Some(Part::Table(old)), Some(Part::Table(new))) => {
                    let entry = |entry: &String, value: Option<&Box<RawValue>>| ConfigEdit {
                        part: name.clone(),
                        entry: Some(entry.clone()),
                        value: value.cloned(),
                    };
                    let gone = old.keys().filter(|key| !new.contains_key(*key)).map(|key| entry(key, None));
                    edits.extend(gone);
                    for (key, value) in new {
                        if old.get(key).is_none_or(|known| known.get() != value.get()) {
                            edits.push(entry(key, Some(value)));
                        }
                    }
                }
                (Some(Part::Plain(old)), Some(Part::Plain(new))) if old.get() == new.get() => {}
                (_, Some(Part::Plain(new))) => edits.push(whole(Some(new.clone()))),
                (_, Some(Part::Table(new))) => {
                    let text = serde_json::value::to_raw_value(new).ok();
                    edits.push(whole(text));
                }
                (Some(_), None) => edits.push(whole(None)),
                (None, None) => {}
            }
        }
        edits
    }

    fn apply(&mut self, edits: &[ConfigEdit]) {
        for ConfigEdit { part, entry, value } in edits {
            match (entry, value) {
                (None, None) => drop(self.parts.remove(part)),
                (None, Some(value)) => drop(self.parts.insert(part.clone(), Part::of(value))),
                (Some(entry), value) => {
                    if let Some(Part::Table(table)) = self.parts.get_mut(part) {
                        match value {
                            Some(value) => drop(table.insert(entry.clone(), value.clone())),
                            None => drop(table.remove(entry)),
                        }
                    }
                }
            }
        }
    }
}

fn checksum(text: &RawValue) -> u32 {
    crc32fast::hash(text.get().as_bytes())
}

/// In bytes, about.
fn size(edits: &[ConfigEdit]) -> usize {
    edits.iter().map(|edit| 60 + edit.value.as_ref().map_or(0, |value| value.get().len())).sum()
}

/// None where one of them has no configuration, or it would be no shorter than the whole.
fn between(
    from: &Register,
    to: &Register,
    old: &Document,
    new: &Document,
) -> Option<(RegisterChange, usize)> {
    let edits = old.edits(new);
    let size = size(&edits);
    let whole = to.config.as_ref()?.get().len();
    let change = RegisterChange {
        from: from.revision,
        revision: to.revision,
        ballot: to.ballot,
        evacuated: to.evacuated.clone(),
        membership: to.membership.clone(),
        edits,
        checksum: checksum(&new.text()?),
    };
    (size * 2 < whole).then_some((change, size))
}

/// The words' changes that can be told, and what the next one is taken against.
#[derive(Clone, Debug, Default)]
pub struct RegisterChanges {
    document: Option<Document>,
    /// Of the document's text, where it is known.
    sum: Option<u32>,
    kept: VecDeque<(RegisterChange, usize)>,
}

impl RegisterChanges {
    /// The register in hand is replaced by a newer one.
    pub fn moved(&mut self, from: Option<&Register>, to: &Register) {
        let newer = to.config.as_ref().and_then(|config| Document::of(config));
        let change = match (from, &self.document, &newer) {
            (Some(from), Some(old), Some(new)) => between(from, to, old, new),
            _ => None,
        };
        self.document = newer;
        self.sum = change.as_ref().map(|(change, _)| change.checksum);
        self.keep(change);
    }

    fn keep(&mut self, change: Option<(RegisterChange, usize)>) {
        match change {
            Some(change) => self.kept.push_back(change),
            // What came before leads nowhere any more.
            None => self.kept.clear(),
        }
        while self.kept.len() > MOST_KEPT
            || self.kept.iter().map(|(_, size)| size).sum::<usize>() > MOST_BYTES
        {
            self.kept.pop_front();
        }
    }

    /// What leads from that register to the newest.
    pub fn since(&self, have: Revision) -> Option<Vec<RegisterChange>> {
        let first = self.kept.iter().position(|(change, _)| change.from == have)?;
        Some(self.kept.iter().skip(first).map(|(change, _)| change.clone()).collect())
    }

    /// The register after these changes; none where they do not start from the one in hand or lead elsewhere than they say.
    pub fn follow(&mut self, from: &Register, changes: Vec<RegisterChange>) -> Option<Register> {
        let mut no = from.revision;
        for change in &changes {
            if change.from != no {
                return None;
            }
            no = change.revision;
        }
        let last = changes.last()?;
        // Where voters or evacuations alone have changed, the configuration costs nothing.
        let text = if self.sum == Some(last.checksum) && changes.iter().all(|change| change.edits.is_empty())
        {
            from.config.clone()?
        } else {
            let mut document = self.document.clone()?;
            changes.iter().for_each(|change| document.apply(&change.edits));
            let text = document.text()?;
            if checksum(&text) != last.checksum {
                return None;
            }
            self.document = Some(document);
            self.sum = Some(last.checksum);
            text
        };
        let (ballot, evacuated) = (last.ballot, last.evacuated.clone());
        let membership = last.membership.clone();
        for change in changes {
            let size = size(&change.edits);
            self.keep(Some((change, size)));
        }
        Some(Register {
            ballot,
            revision: no,
            config: Some(text),
            evacuated,
            membership,
            accepted_configs: Vec::new(),
        })
    }
}

/// The lists' changes that can be told.
#[derive(Clone, Debug, Default)]
pub struct ListChanges {
    /// With the time at which the newer list was taken: what a change says of warmth counts from then.
    kept: VecDeque<(BackendListChange, Timestamp)>,
}

fn warmed(server: &mut Backend, since: Duration) {
    server.warmup_left_ms = server.warmup_left_ms.saturating_sub(since.as_millis() as u64);
}

/// What merely grew warm in that time is no change.
fn same(old: &Backend, new: &Backend, since: Duration) -> bool {
    const SLACK_MS: u64 = 200;
    let expected = old.warmup_left_ms.saturating_sub(since.as_millis() as u64);
    Backend { warmup_left_ms: old.warmup_left_ms, ..new.clone() } == *old
        && new.warmup_left_ms <= expected + SLACK_MS
}

impl ListChanges {
    /// The list in hand is replaced by a newer one; with the times at which they were taken.
    pub fn moved(
        &mut self,
        from: Option<&BackendList>,
        to: &BackendList,
        (before, taken): (Timestamp, Timestamp),
    ) {
        let later = taken.since(before);
        let Some(from) = from else {
            return self.kept.clear();
        };
        let old: BTreeMap<&str, &Backend> =
            from.backends.iter().map(|server| (server.id.as_str(), server)).collect();
        let new: BTreeSet<&str> = to.backends.iter().map(|server| server.id.as_str()).collect();
        let known =
            |server: &&Backend| !old.get(server.id.as_str()).is_some_and(|one| same(one, server, later));
        let set: Vec<_> = to.backends.iter().filter(known).cloned().collect();
        let gone: Vec<_> = old.keys().filter(|id| !new.contains(*id)).map(|id| (*id).to_owned()).collect();
        if set.len() * 2 >= to.backends.len() {
            return self.kept.clear();
        }
        self.keep(
            BackendListChange {
                from: from.version,
                version: to.version,
                age_ms: 0,
                upserted: set,
                removed: gone,
            },
            taken,
        );
    }

    fn keep(&mut self, change: BackendListChange, taken: Timestamp) {
        self.kept.push_back((change, taken));
        if self.kept.len() > MOST_KEPT {
            self.kept.pop_front();
        }
    }

    /// What leads from that list to the newest, with its age; what it says of warmth counts from when that was taken.
    pub fn since(&self, have: Version, listed: Timestamp, now: Timestamp) -> Option<Vec<BackendListChange>> {
        let first = self.kept.iter().position(|(change, _)| change.from == have)?;
        let age_ms = now.since(listed).as_millis() as u64;
        let told = |(change, taken): &(BackendListChange, Timestamp)| {
            let mut change = BackendListChange { age_ms, ..change.clone() };
            change.upserted.iter_mut().for_each(|server| warmed(server, listed.since(*taken)));
            change
        };
        Some(self.kept.iter().skip(first).map(told).collect())
    }

    /// The list after these changes; with the times at which the one in hand and the newest were taken.
    pub fn follow(
        &mut self,
        from: &BackendList,
        changes: Vec<BackendListChange>,
        (before, taken): (Timestamp, Timestamp),
    ) -> Option<BackendList> {
        let mut servers: BTreeMap<String, Backend> = BTreeMap::new();
        for server in &from.backends {
            let mut server = server.clone();
            warmed(&mut server, taken.since(before));
            servers.insert(server.id.clone(), server);
        }
        let mut version = from.version;
        for change in &changes {
            if change.from != version {
                return None;
            }
            change.removed.iter().for_each(|id| drop(servers.remove(id)));
            servers.extend(change.upserted.iter().map(|server| (server.id.clone(), server.clone())));
            version = change.version;
        }
        let age_ms = changes.last()?.age_ms;
        changes.into_iter().for_each(|change| self.keep(change, taken));
        Some(BackendList { version, age_ms, backends: servers.into_values().collect() })
    }
}

#[cfg(test)]
mod tests;
