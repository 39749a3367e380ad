//! The most recent changes of the list of backends.

use super::MAX_RETAINED_CHANGES;
use crate::messages::{Backend, BackendList, BackendListChange, Version};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;
use vanewharf_clock::Timestamp;

/// A backend does not count as changed if its remaining warm-up time exceeds the expected one by no more than this.
const WARMUP_TOLERANCE_MS: u64 = 200;

/// A list of backends with the time at which it was read from the platform API, by this process's clock.
#[derive(Clone, Copy, Debug)]
pub struct TimedBackendList<'a> {
    /// The list of backends.
    pub list: &'a BackendList,
    /// The latest time at which the list may have been read.
    pub read_at: Timestamp,
}

/// A gapless sequence of changes, the last of which results in the current list.
#[derive(Clone, Debug, Default)]
pub struct BackendListHistory {
    changes: VecDeque<TimedChange>,
}

#[derive(Clone, Debug)]
struct TimedChange {
    change: BackendListChange,
    /// When the resulting list was read from the platform API; the warm-up times in the change are as of then.
    read_at: Timestamp,
}

impl BackendListHistory {
    /// Records that a newer list replaced the current one. Drops all changes if half of the backends or more
    /// have changed.
    pub fn record_replacement(&mut self, old: Option<TimedBackendList<'_>>, new: TimedBackendList<'_>) {
        let Some(old) = old else {
            return self.changes.clear();
        };
        let elapsed = new.read_at.since(old.read_at);
        let old_backends: BTreeMap<&str, &Backend> =
            old.list.backends.iter().map(|backend| (backend.id.as_str(), backend)).collect();
        let new_ids: BTreeSet<&str> = new.list.backends.iter().map(|backend| backend.id.as_str()).collect();
        let is_changed = |backend: &&Backend| {
            let known = old_backends.get(backend.id.as_str());
            known.is_none_or(|known| !is_unchanged(known, backend, elapsed))
        };
        let upserted: Vec<_> = new.list.backends.iter().filter(is_changed).cloned().collect();
        if upserted.len() * 2 >= new.list.backends.len() {
            return self.changes.clear();
        }
        let removed = old_backends.keys().filter(|id| !new_ids.contains(*id));
        let change = BackendListChange {
            from: old.list.version,
            version: new.list.version,
            age_ms: 0,
            upserted,
            removed: removed.map(|id| (*id).to_owned()).collect(),
        };
        self.retain(change, new.read_at);
    }

    /// Returns the changes from that version to the current list, which was read at `read_at`, or `None` if they
    /// are not retained. The changes get the age of the current list, and warm-up times as of `read_at`.
    pub fn changes_since(
        &self,
        version: Version,
        read_at: Timestamp,
        now: Timestamp,
    ) -> Option<Vec<BackendListChange>> {
        let first = self.changes.iter().position(|timed| timed.change.from == version)?;
        let age_ms = now.since(read_at).as_millis() as u64;
        let aged = |timed: &TimedChange| {
            let mut change = BackendListChange { age_ms, ..timed.change.clone() };
            let elapsed = read_at.since(timed.read_at);
            change.upserted.iter_mut().for_each(|backend| advance_warmup(backend, elapsed));
            change
        };
        Some(self.changes.iter().skip(first).map(aged).collect())
    }

    /// Applies the changes to the old list and returns the result, which was read at `read_at`. Returns `None`,
    /// and changes nothing, if they do not start from the old list.
    pub fn apply_changes(
        &mut self,
        old: TimedBackendList<'_>,
        changes: Vec<BackendListChange>,
        read_at: Timestamp,
    ) -> Option<BackendList> {
        let elapsed = read_at.since(old.read_at);
        let mut backends: BTreeMap<String, Backend> = BTreeMap::new();
        for backend in &old.list.backends {
            let mut backend = backend.clone();
            advance_warmup(&mut backend, elapsed);
            backends.insert(backend.id.clone(), backend);
        }
        let mut version = old.list.version;
        for change in &changes {
            if change.from != version {
                return None;
            }
            change.removed.iter().for_each(|id| drop(backends.remove(id)));
            backends.extend(change.upserted.iter().map(|backend| (backend.id.clone(), backend.clone())));
            version = change.version;
        }
        let age_ms = changes.last()?.age_ms;
        changes.into_iter().for_each(|change| self.retain(change, read_at));
        Some(BackendList { version, age_ms, backends: backends.into_values().collect() })
    }

    fn retain(&mut self, change: BackendListChange, read_at: Timestamp) {
        self.changes.push_back(TimedChange { change, read_at });
        if self.changes.len() > MAX_RETAINED_CHANGES {
            self.changes.pop_front();
        }
    }
}

fn advance_warmup(backend: &mut Backend, elapsed: Duration) {
    backend.warmup_left_ms = backend.warmup_left_ms.saturating_sub(elapsed.as_millis() as u64);
}

/// Whether the two entries differ only in the remaining warm-up time, which is no longer than expected after
/// `elapsed` plus the tolerance.
fn is_unchanged(old: &Backend, new: &Backend, elapsed: Duration) -> bool {
    let expected = old.warmup_left_ms.saturating_sub(elapsed.as_millis() as u64);
    let same_otherwise = Backend { warmup_left_ms: old.warmup_left_ms, ..new.clone() } == *old;
    same_otherwise && new.warmup_left_ms <= expected + WARMUP_TOLERANCE_MS
}
