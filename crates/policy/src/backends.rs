//! The backends that this gateway tracks, with the delivery of their messages. What a message does to a backend is
//! decided in [`crate::decide`]; here is only kept which backends have messages, and which are shown to admission control.
//!
//! Invariants: each backend with a message in its inbox is in `notified`; a backend is forgotten once discovery does not
//! name it as ready and none of its attempts is in flight.

use crate::interface::*;
use crate::messages::BackendMessage;
use crate::state::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// All backends that discovery names or that have attempts in flight.
#[derive(Default)]
pub(crate) struct BackendTable {
    backends: BTreeMap<BackendId, Backend>,
    notified: VecDeque<BackendId>,
    active: BTreeSet<BackendId>,
}

impl BackendTable {
    /// Takes over discovery's complete list: backends that it does not name are unlisted.
    pub(crate) fn replace(&mut self, entries: Vec<BackendInfo>, now: Ticks) {
        let named: BTreeSet<_> = entries.iter().map(|entry| entry.backend).collect();
        let missing: Vec<_> = self.backends.keys().copied().filter(|id| !named.contains(id)).collect();
        self.update(entries, now);
        missing.into_iter().for_each(|id| self.notify(id, BackendMessage::Unlisted));
    }

    /// Takes over backends that have changed or are new.
    pub(crate) fn update(&mut self, entries: Vec<BackendInfo>, now: Ticks) {
        for entry in entries {
            self.backends.entry(entry.backend).or_insert_with(|| Backend::new(now));
            self.notify(entry.backend, BackendMessage::Listed(entry));
        }
    }

    /// Puts a message into a backend's inbox; it is dropped where the backend is not known.
    pub(crate) fn notify(&mut self, id: BackendId, message: BackendMessage) {
        if let Some(backend) = self.backends.get_mut(&id) {
            backend.inbox.push_back(message);
            self.notified.push_back(id);
        }
    }

    /// Puts a message into the inboxes of all backends that time alone may change.
    pub(crate) fn notify_active(&mut self, message: BackendMessage) {
        for id in std::mem::take(&mut self.active) {
            self.notify(id, message.clone());
        }
    }

    /// Lets all backends handle their messages, and updates the snapshots of those that did.
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
