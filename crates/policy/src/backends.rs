//! The table of backends that this gateway tracks, and the delivery of their messages. [`crate::decide`] decides what a
//! message does to a backend; this module tracks which backends have messages, and updates the snapshots that admission
//! control reads.
//!
//! Invariants: each backend with a message in its inbox is in `notified`. A backend is removed when discovery does not
//! report it as ready and none of its attempts is in flight.

use crate::interface::*;
use crate::messages::BackendMessage;
use crate::state::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// All backends that discovery reports or that have attempts in flight.
#[derive(Default)]
pub(crate) struct BackendTable {
    backends: BTreeMap<BackendId, Backend>,
    /// Backends with messages in their inboxes.
    notified: VecDeque<BackendId>,
    /// Backends whose state may change with time alone.
    active: BTreeSet<BackendId>,
}

impl BackendTable {
    /// Applies discovery's complete list; backends that it does not contain are unlisted.
    pub(crate) fn replace(&mut self, entries: Vec<BackendInfo>, now: Ticks) {
        let listed: BTreeSet<_> = entries.iter().map(|entry| entry.backend).collect();
        let missing: Vec<_> = self.backends.keys().copied().filter(|id| !listed.contains(id)).collect();
        self.update(entries, now);
        missing.into_iter().for_each(|id| self.notify(id, BackendMessage::Unlisted));
    }

    /// Applies changed and new backends from discovery.
    pub(crate) fn update(&mut self, entries: Vec<BackendInfo>, now: Ticks) {
        for entry in entries {
            self.backends.entry(entry.backend).or_insert_with(|| Backend::new(now));
            self.notify(entry.backend, BackendMessage::Listed(entry));
        }
    }

    /// Puts a message into a backend's inbox, or drops it if the backend is unknown.
    pub(crate) fn notify(&mut self, id: BackendId, message: BackendMessage) {
        if let Some(backend) = self.backends.get_mut(&id) {
            backend.inbox.push_back(message);
            self.notified.push_back(id);
        }
    }

    /// Puts a message into the inboxes of all backends whose state may change with time alone.
    pub(crate) fn notify_active(&mut self, message: BackendMessage) {
        for id in std::mem::take(&mut self.active) {
            self.notify(id, message.clone());
        }
    }

    /// Lets backends handle the messages in their inboxes, and updates the snapshots of these backends.
    pub(crate) fn deliver(&mut self, snapshots: &mut Snapshots, ctx: Context) {
        while let Some(id) = self.notified.pop_front() {
            let Some(backend) = self.backends.get_mut(&id).filter(|backend| !backend.inbox.is_empty()) else {
                continue;
            };
            while let Some(message) = backend.inbox.pop_front() {
                backend.handle(message, ctx);
            }
            if backend.is_active(ctx) {
                self.active.insert(id);
            }
            let snapshot = backend.ready.then(|| backend.snapshot(ctx));
            if !backend.ready && backend.in_flight.is_empty() {
                self.backends.remove(&id);
            }
            snapshots.remove(&id);
            snapshots.extend(snapshot.map(|snapshot| (id, snapshot)));
        }
    }
}
