//! A configuration parsed as a JSON document to a depth of two levels, and the edits from one document to another.

use crate::messages::ConfigEdit;
use serde_json::value::RawValue;
use std::collections::{BTreeMap, BTreeSet};

/// A configuration, split into its top-level fields and the entries of those fields that are tables. Deeper values
/// are stored as text. Equal documents have the same [`text`](ConfigDocument::text).
#[derive(Clone, Debug, Default)]
pub struct ConfigDocument {
    parts: BTreeMap<String, Part>,
}

#[derive(Clone, Debug)]
enum Part {
    /// A JSON object, as its values by name.
    Table(BTreeMap<String, Box<RawValue>>),
    /// Any other JSON value.
    Plain(Box<RawValue>),
}

impl Part {
    fn parse(value: &RawValue) -> Part {
        let is_object = value.get().starts_with('{');
        let table = serde_json::from_str(value.get()).ok().filter(|_| is_object);
        table.map_or_else(|| Part::Plain(value.to_owned()), Part::Table)
    }

    fn to_raw(&self) -> Option<Box<RawValue>> {
        match self {
            Part::Plain(value) => Some(value.clone()),
            Part::Table(table) => serde_json::value::to_raw_value(table).ok(),
        }
    }
}

impl ConfigDocument {
    /// Parses a configuration; returns `None` if it is not a JSON object.
    pub fn parse(config: &RawValue) -> Option<ConfigDocument> {
        let raw: BTreeMap<String, Box<RawValue>> = serde_json::from_str(config.get()).ok()?;
        let parts = raw.into_iter().map(|(name, value)| (name, Part::parse(&value))).collect();
        Some(ConfigDocument { parts })
    }

    /// Formats the document in its canonical form: names of both levels sorted, no whitespace between them and
    /// their values.
    pub fn text(&self) -> Option<Box<RawValue>> {
        let mut text = String::from("{");
        for (index, (name, part)) in self.parts.iter().enumerate() {
            push_name(&mut text, index, name)?;
            match part {
                Part::Plain(value) => text.push_str(value.get()),
                Part::Table(table) => push_table(&mut text, table)?,
            }
        }
        text.push('}');
        RawValue::from_string(text).ok()
    }

    /// Returns the edits that turn this document into the newer one.
    pub(super) fn edits_to(&self, newer: &ConfigDocument) -> Vec<ConfigEdit> {
        let mut edits = Vec::new();
        let names: BTreeSet<_> = self.parts.keys().chain(newer.parts.keys()).collect();
        for name in names {
            match (self.parts.get(name), newer.parts.get(name)) {
                (Some(Part::Table(old)), Some(Part::Table(new))) => edits.extend(table_edits(name, old, new)),
                (Some(Part::Plain(old)), Some(Part::Plain(new))) if old.get() == new.get() => {}
                (_, new) => {
                    let value = new.and_then(Part::to_raw);
                    edits.push(ConfigEdit { part: name.clone(), entry: None, value });
                }
            }
        }
        edits
    }

    /// Applies the edits. An edit of an entry is ignored if its field is not a table.
    pub(super) fn apply(&mut self, edits: &[ConfigEdit]) {
        for ConfigEdit { part, entry, value } in edits {
            match (entry, value) {
                (None, None) => drop(self.parts.remove(part)),
                (None, Some(value)) => drop(self.parts.insert(part.clone(), Part::parse(value))),
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

fn push_name(text: &mut String, index: usize, name: &str) -> Option<()> {
    if index > 0 {
        text.push(',');
    }
    text.push_str(&serde_json::to_string(name).ok()?);
    text.push(':');
    Some(())
}

fn push_table(text: &mut String, table: &BTreeMap<String, Box<RawValue>>) -> Option<()> {
    text.push('{');
    for (index, (name, value)) in table.iter().enumerate() {
        push_name(text, index, name)?;
        text.push_str(value.get());
    }
    text.push('}');
    Some(())
}

/// Returns the edits from the old table to the new one: first the removed entries, then the added and changed ones.
fn table_edits(
    part: &str,
    old: &BTreeMap<String, Box<RawValue>>,
    new: &BTreeMap<String, Box<RawValue>>,
) -> Vec<ConfigEdit> {
    let edit = |entry: &String, value: Option<&Box<RawValue>>| ConfigEdit {
        part: part.to_owned(),
        entry: Some(entry.clone()),
        value: value.cloned(),
    };
    let removed = old.keys().filter(|name| !new.contains_key(*name)).map(|name| edit(name, None));
    let changed = new
        .iter()
        .filter(|(name, value)| old.get(*name).is_none_or(|old_value| old_value.get() != value.get()))
        .map(|(name, value)| edit(name, Some(value)));
    removed.chain(changed).collect()
}
