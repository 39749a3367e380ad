//! The current version of each dataset in one process, updated from pull responses and served to readers. The datasets
//! are the register, the list of backends and the fleet summary.
//!
//! Invariants: no dataset is replaced by an older version, and the current register was the newest acknowledged
//! one at [`VersionStore::attested_at`].

use crate::history::{BackendListHistory, RegisterHistory, TimedBackendList};
use crate::messages::{
    BackendList, BackendListChange, FleetSummary, PullResponse, Register, RegisterChange, Revision, Version,
    VersionVector,
};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use vanewharf_clock::Timestamp;

/// The current version of each dataset, with the histories of recent changes.
#[derive(Clone, Debug, Default)]
pub struct VersionStore {
    /// The current register; `None` until one is set.
    pub register: Option<Rc<Register>>,
    register_history: RegisterHistory,
    backend_list_history: BackendListHistory,
    /// Whether received changes did not apply to the current register. The next pull then requests a snapshot.
    needs_register_snapshot: bool,
    /// Whether received changes did not apply to the current list. The next pull then requests a snapshot.
    needs_backend_list_snapshot: bool,
    /// The current list of backends; `None` until one is set.
    pub backend_list: Option<Rc<BackendList>>,
    /// The latest time at which the current list may have been read from the platform API.
    pub backend_list_read_at: Timestamp,
    /// The current fleet summary; `None` until one is set.
    pub fleet_summary: Option<Rc<FleetSummary>>,
    /// When the current fleet summary was received.
    pub fleet_summary_received_at: Timestamp,
    /// The time at which the current register was the newest acknowledged one and the current list of backends
    /// was no older than the leaseholder's, by the latest attestation. `None` if there was none yet.
    pub attested_at: Option<Timestamp>,
    /// The leaseholder's address for internal calls, if it is known.
    pub leaseholder: Option<SocketAddr>,
}

/// The effects of applying a pull response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AppliedUpdates {
    /// Whether the register was replaced.
    pub register: bool,
    /// Whether the list of backends was replaced.
    pub backend_list: bool,
    /// Whether the fleet summary was replaced.
    pub fleet_summary: bool,
    /// Whether a snapshot is needed because changes could not be applied. The next pull requests it.
    pub needs_snapshot: bool,
    /// When the register of the response's sender was attested to be the newest one, whether or not the response
    /// could be applied.
    pub attested_at: Option<Timestamp>,
}

impl AppliedUpdates {
    /// Whether any dataset was replaced.
    pub fn any(self) -> bool {
        self.register || self.backend_list || self.fleet_summary
    }
}

/// The form in which a reader receives the register.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegisterForm {
    /// As a snapshot in the operator's wording, with the accepted configurations. For controllers, which store it.
    Verbatim,
    /// As changes if they are retained, otherwise as a snapshot without the accepted configurations.
    Incremental,
}

impl VersionStore {
    /// Returns the current version of each dataset.
    pub fn versions(&self) -> VersionVector {
        VersionVector {
            register: self.register.as_ref().map_or(Revision(0), |register| register.revision),
            backend_list: self.backend_list.as_ref().map(|list| list.version).unwrap_or_default(),
            fleet_summary: self.fleet_summary.as_ref().map(|summary| summary.version).unwrap_or_default(),
        }
    }

    /// Returns the versions to send in a pull request: the current ones, but the lowest version for each dataset of
    /// which a snapshot is needed. To learn what this process has, use [`versions`](Self::versions).
    pub fn versions_for_pull(&self) -> VersionVector {
        let mut versions = self.versions();
        if self.needs_register_snapshot {
            versions.register = Revision(0);
        }
        if self.needs_backend_list_snapshot {
            versions.backend_list = Version::default();
        }
        versions
    }

    /// Whether this store has a newer version of any dataset than the reader.
    pub fn is_newer_than(&self, reader: &VersionVector) -> bool {
        let own = self.versions();
        own.register > reader.register
            || own.backend_list > reader.backend_list
            || own.fleet_summary > reader.fleet_summary
    }

    /// Replaces the register if the given one is newer, and returns whether it was.
    pub fn set_register(&mut self, register: Rc<Register>) -> bool {
        let is_newer = self.register.as_ref().is_none_or(|current| register.revision > current.revision);
        if is_newer {
            self.register_history.record_replacement(self.register.as_deref(), &register);
            self.register = Some(register);
            self.needs_register_snapshot = false;
        }
        is_newer
    }

    /// Replaces the list of backends if the given one is newer, and returns whether it was.
    pub fn set_backend_list(&mut self, list: BackendList, now: Timestamp) -> bool {
        let is_newer = self.backend_list.as_ref().is_none_or(|current| list.version > current.version);
        if is_newer {
            let read_at = now.before(Duration::from_millis(list.age_ms));
            let current = self.backend_list.as_deref();
            let current = current.map(|list| TimedBackendList { list, read_at: self.backend_list_read_at });
            self.backend_list_history.record_replacement(current, TimedBackendList { list: &list, read_at });
            self.backend_list = Some(Rc::new(list));
            self.backend_list_read_at = read_at;
            self.needs_backend_list_snapshot = false;
        }
        is_newer
    }

    /// Replaces the fleet summary if the given one is newer, and returns whether it was.
    pub fn set_fleet_summary(&mut self, summary: FleetSummary, now: Timestamp) -> bool {
        let is_newer = self.fleet_summary.as_ref().is_none_or(|current| summary.version > current.version);
        if is_newer {
            self.fleet_summary = Some(Rc::new(summary));
            self.fleet_summary_received_at = now;
        }
        is_newer
    }

    /// Records that the current register was the newest acknowledged one at that time.
    pub fn attest(&mut self, at: Timestamp) {
        self.attested_at = self.attested_at.max(Some(at));
    }

    /// Applies every newer dataset in the response to a pull that was sent at `sent_at`.
    pub fn apply(&mut self, response: PullResponse, sent_at: Timestamp, now: Timestamp) -> AppliedUpdates {
        let attested_at = response.attested_at(sent_at);
        let leaseholder = response.leaseholder;
        let mut updates = AppliedUpdates {
            register: self.apply_register(response.register, response.register_changes),
            backend_list: self.apply_backend_list(response.backend_list, response.backend_list_changes, now),
            fleet_summary: response.fleet_summary.is_some_and(|summary| self.set_fleet_summary(summary, now)),
            needs_snapshot: false,
            attested_at,
        };
        updates.needs_snapshot = self.needs_register_snapshot || self.needs_backend_list_snapshot;
        // The attestation covers everything in the response. If changes could not be applied, the current
        // register or list is older than what was attested.
        if let Some(attested_at) = updates.attested_at.filter(|_| !updates.needs_snapshot) {
            self.attest(attested_at);
        }
        self.leaseholder = leaseholder.or(self.leaseholder);
        updates
    }

    fn apply_register(&mut self, snapshot: Option<Register>, changes: Vec<RegisterChange>) -> bool {
        match (snapshot, changes.last()) {
            (Some(register), _) => {
                self.needs_register_snapshot = false;
                self.set_register(Rc::new(register))
            }
            (None, Some(newest)) if newest.revision > self.versions().register => {
                self.apply_register_changes(changes)
            }
            // There are no changes, or they result in a version that is not newer: the response is to an older pull.
            _ => false,
        }
    }

    fn apply_backend_list(
        &mut self,
        snapshot: Option<BackendList>,
        changes: Vec<BackendListChange>,
        now: Timestamp,
    ) -> bool {
        match (snapshot, changes.last()) {
            (Some(list), _) => {
                self.needs_backend_list_snapshot = false;
                self.set_backend_list(list, now)
            }
            (None, Some(newest)) if newest.version > self.versions().backend_list => {
                self.apply_backend_list_changes(changes, now)
            }
            // There are no changes, or they result in a version that is not newer: the response is to an older pull.
            _ => false,
        }
    }

    fn apply_register_changes(&mut self, changes: Vec<RegisterChange>) -> bool {
        let current = self.register.as_deref();
        let result = current.and_then(|register| self.register_history.apply_changes(register, changes));
        self.needs_register_snapshot = result.is_none();
        let is_applied = result.is_some();
        if let Some(register) = result {
            self.register = Some(Rc::new(register));
        }
        is_applied
    }

    fn apply_backend_list_changes(&mut self, changes: Vec<BackendListChange>, now: Timestamp) -> bool {
        let age = changes.last().map_or(Duration::ZERO, |last| Duration::from_millis(last.age_ms));
        let read_at = now.before(age);
        let current = self.backend_list.as_deref();
        let current = current.map(|list| TimedBackendList { list, read_at: self.backend_list_read_at });
        let result = current.and_then(|list| self.backend_list_history.apply_changes(list, changes, read_at));
        self.needs_backend_list_snapshot = result.is_none();
        let is_applied = result.is_some();
        if let Some(list) = result {
            self.backend_list = Some(Rc::new(list));
            self.backend_list_read_at = read_at;
        }
        is_applied
    }

    /// Returns the response to a reader with these versions, which contains every newer dataset. `delay` is the
    /// time for which the response was delayed.
    pub fn response_to(
        &self,
        reader: &VersionVector,
        form: RegisterForm,
        delay: Duration,
        now: Timestamp,
    ) -> PullResponse {
        let (register, register_changes) = self.newer_register(reader, form);
        let (backend_list, backend_list_changes) = self.newer_backend_list(reader, now);
        let fleet_summary =
            self.fleet_summary.as_ref().filter(|summary| summary.version > reader.fleet_summary);
        PullResponse {
            register,
            register_changes,
            backend_list,
            backend_list_changes,
            fleet_summary: fleet_summary.map(|summary| FleetSummary::clone(summary)),
            // The age is rounded up, so that the register never appears fresher than it is.
            attested_age_ms: self.attested_at.map(|at| now.since(at).as_millis() as u64 + 1),
            delay_ms: delay.as_millis() as u64,
            leaseholder: self.leaseholder,
        }
    }

    /// Returns a snapshot or changes of the register if it is newer than the reader's.
    fn newer_register(
        &self,
        reader: &VersionVector,
        form: RegisterForm,
    ) -> (Option<Register>, Vec<RegisterChange>) {
        let Some(register) = self.register.as_ref().filter(|register| register.revision > reader.register)
        else {
            return (None, Vec::new());
        };
        if form == RegisterForm::Verbatim {
            return (Some(Register::clone(register)), Vec::new());
        }
        match self.register_history.changes_since(reader.register) {
            Some(changes) => (None, changes),
            None => {
                let snapshot = Register { accepted_configs: Vec::new(), ..Register::clone(register) };
                (Some(snapshot), Vec::new())
            }
        }
    }

    /// Returns a snapshot or changes of the list of backends if it is newer than the reader's.
    fn newer_backend_list(
        &self,
        reader: &VersionVector,
        now: Timestamp,
    ) -> (Option<BackendList>, Vec<BackendListChange>) {
        let Some(list) = self.backend_list.as_ref().filter(|list| list.version > reader.backend_list) else {
            return (None, Vec::new());
        };
        let read_at = self.backend_list_read_at;
        match self.backend_list_history.changes_since(reader.backend_list, read_at, now) {
            Some(changes) => (None, changes),
            None => {
                let age_ms = now.since(read_at).as_millis() as u64;
                (Some(BackendList { age_ms, ..BackendList::clone(list) }), Vec::new())
            }
        }
    }
}

#[cfg(test)]
mod tests;
