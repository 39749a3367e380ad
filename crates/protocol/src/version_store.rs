//! The versions of each source that a process has, and what it passes on to readers.
//!
//! Invariants: what is in hand never goes back to an older version, and [`VersionStore::attested_at`] is never later
//! than the time at which the register in hand was in fact the newest acknowledged one.

use crate::history::{BackendListHistory, RegisterHistory, TakenList};
use crate::messages::{
    BackendList, BackendListChange, FleetSummary, PullResponse, Register, RegisterChange, Revision,
    VersionVector,
};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use vanewharf_clock::Timestamp;

/// The newest version of each source in hand, with the history of their last changes.
#[derive(Clone, Debug, Default)]
pub struct VersionStore {
    /// None until there was one.
    pub register: Option<Rc<Register>>,
    register_history: RegisterHistory,
    backend_list_history: BackendListHistory,
    /// Changes that came do not apply to what is in hand: the next pull requests a snapshot.
    needs_register_snapshot: bool,
    needs_backend_list_snapshot: bool,
    /// None until there was one.
    pub backend_list: Option<Rc<BackendList>>,
    /// When the list was taken from the platform, at the latest.
    pub backend_list_taken_at: Timestamp,
    /// None until there was one.
    pub fleet_summary: Option<Rc<FleetSummary>>,
    /// When the summary came.
    pub fleet_summary_received_at: Timestamp,
    /// When the register in hand was attested to be the newest acknowledged one, and the list of backends at least the one
    /// that the leaseholder had; none: never.
    pub attested_at: Option<Timestamp>,
    /// The address of the leaseholder for internal calls, as far as is known.
    pub leaseholder: Option<SocketAddr>,
}

/// What of a response was newer than what was in hand.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AppliedUpdates {
    /// The register was replaced.
    pub register: bool,
    /// The list of backends was replaced.
    pub backend_list: bool,
    /// The fleet's summary was replaced.
    pub fleet_summary: bool,
    /// When the register that the sender has was attested to be the newest one, whatever is in hand here.
    pub attested_at: Option<Timestamp>,
}

impl AppliedUpdates {
    /// Whether anything was replaced.
    pub fn any(self) -> bool {
        self.register || self.backend_list || self.fleet_summary
    }
}

/// How a reader wants the register.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegisterForm {
    /// As the operator sent it, with the list of accepted configurations: for controllers, which store it.
    Verbatim,
    /// As changes where they are retained, else a snapshot without the accepted configurations.
    Incremental,
}

impl VersionStore {
    /// The versions in hand, for a pull; of a source whose snapshot is needed, that there is nothing.
    pub fn versions(&self) -> VersionVector {
        let register = self.register.as_ref().filter(|_| !self.needs_register_snapshot);
        let backend_list = self.backend_list.as_ref().filter(|_| !self.needs_backend_list_snapshot);
        VersionVector {
            register: register.map_or(Revision(0), |register| register.revision),
            backend_list: backend_list.map(|list| list.version).unwrap_or_default(),
            fleet_summary: self.fleet_summary.as_ref().map(|summary| summary.version).unwrap_or_default(),
        }
    }

    /// Whether any source is newer here than at a reader with these versions.
    pub fn is_newer_than(&self, reader: &VersionVector) -> bool {
        let own = self.versions();
        own.register > reader.register
            || own.backend_list > reader.backend_list
            || own.fleet_summary > reader.fleet_summary
    }

    /// Replaces the register, where this one is newer, and says whether it was.
    pub fn set_register(&mut self, register: Rc<Register>) -> bool {
        let is_newer = self.register.as_ref().is_none_or(|current| register.revision > current.revision);
        if is_newer {
            self.register_history.record_replacement(self.register.as_deref(), &register);
            self.register = Some(register);
            self.needs_register_snapshot = false;
        }
        is_newer
    }

    /// Replaces the list of backends, where this one is newer, and says whether it was.
    pub fn set_backend_list(&mut self, list: BackendList, now: Timestamp) -> bool {
        let is_newer = self.backend_list.as_ref().is_none_or(|current| list.version > current.version);
        if is_newer {
            let taken_at = now.before(Duration::from_millis(list.age_ms));
            let current = self.backend_list.as_deref();
            let current = current.map(|list| TakenList { list, taken_at: self.backend_list_taken_at });
            self.backend_list_history.record_replacement(current, TakenList { list: &list, taken_at });
            self.backend_list = Some(Rc::new(list));
            self.backend_list_taken_at = taken_at;
            self.needs_backend_list_snapshot = false;
        }
        is_newer
    }

    /// Replaces the fleet's summary, where this one is newer, and says whether it was.
    pub fn set_fleet_summary(&mut self, summary: FleetSummary, now: Timestamp) -> bool {
        let is_newer = self.fleet_summary.as_ref().is_none_or(|current| summary.version > current.version);
        if is_newer {
            self.fleet_summary = Some(Rc::new(summary));
            self.fleet_summary_received_at = now;
        }
        is_newer
    }

    /// The register in hand was the newest acknowledged one at that time.
    pub fn attest(&mut self, at: Timestamp) {
        self.attested_at = self.attested_at.max(Some(at));
    }

    /// Takes over what is newer in the response to a pull that was sent at `sent_at`. The response was made no sooner than
    /// the delay that it names after that, from which follows what its ages are at least counted from.
    pub fn apply(&mut self, response: PullResponse, sent_at: Timestamp, now: Timestamp) -> AppliedUpdates {
        let answered_at = sent_at.after(Duration::from_millis(response.delay_ms));
        let attested_age = response.attested_age_ms.map(Duration::from_millis);
        let leaseholder = response.leaseholder;
        let updates = AppliedUpdates {
            register: self.apply_register(response.register, response.register_changes),
            backend_list: self.apply_backend_list(response.backend_list, response.backend_list_changes, now),
            fleet_summary: response.fleet_summary.is_some_and(|summary| self.set_fleet_summary(summary, now)),
            attested_at: attested_age.map(|age| answered_at.before(age)),
        };
        // It is attested of all that the response contains: where the register or the list could not be followed, what
        // is in hand is older.
        let follows_all = !self.needs_register_snapshot && !self.needs_backend_list_snapshot;
        if let Some(attested_at) = updates.attested_at.filter(|_| follows_all) {
            self.attest(attested_at);
        }
        self.leaseholder = leaseholder.or(self.leaseholder);
        updates
    }

    fn apply_register(&mut self, snapshot: Option<Register>, changes: Vec<RegisterChange>) -> bool {
        match snapshot {
            Some(register) => self.set_register(Rc::new(register)),
            None if changes.is_empty() => false,
            None => self.follow_register(changes),
        }
    }

    fn apply_backend_list(
        &mut self,
        snapshot: Option<BackendList>,
        changes: Vec<BackendListChange>,
        now: Timestamp,
    ) -> bool {
        match snapshot {
            Some(list) => self.set_backend_list(list, now),
            None if changes.is_empty() => false,
            None => self.follow_backend_list(changes, now),
        }
    }

    fn follow_register(&mut self, changes: Vec<RegisterChange>) -> bool {
        let current = self.register.as_deref();
        let result = current.and_then(|register| self.register_history.apply_changes(register, changes));
        self.needs_register_snapshot = result.is_none();
        let followed = result.is_some();
        if let Some(register) = result {
            self.register = Some(Rc::new(register));
        }
        followed
    }

    fn follow_backend_list(&mut self, changes: Vec<BackendListChange>, now: Timestamp) -> bool {
        let age = changes.last().map_or(Duration::ZERO, |last| Duration::from_millis(last.age_ms));
        let taken_at = now.before(age);
        let current = self.backend_list.as_deref();
        let current = current.map(|list| TakenList { list, taken_at: self.backend_list_taken_at });
        let result =
            current.and_then(|list| self.backend_list_history.apply_changes(list, changes, taken_at));
        self.needs_backend_list_snapshot = result.is_none();
        let followed = result.is_some();
        if let Some(list) = result {
            self.backend_list = Some(Rc::new(list));
            self.backend_list_taken_at = taken_at;
        }
        followed
    }

    /// What a reader with these versions lacks; the response was delayed by that long.
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
            // Rounded up, so that nothing passes for fresher than it is.
            attested_age_ms: self.attested_at.map(|at| now.since(at).as_millis() as u64 + 1),
            delay_ms: delay.as_millis() as u64,
            leaseholder: self.leaseholder,
        }
    }

    /// A snapshot or changes of the register, where it is newer here.
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

    /// A snapshot or changes of the list of backends, where it is newer here.
    fn newer_backend_list(
        &self,
        reader: &VersionVector,
        now: Timestamp,
    ) -> (Option<BackendList>, Vec<BackendListChange>) {
        let Some(list) = self.backend_list.as_ref().filter(|list| list.version > reader.backend_list) else {
            return (None, Vec::new());
        };
        let taken_at = self.backend_list_taken_at;
        match self.backend_list_history.changes_since(reader.backend_list, taken_at, now) {
            Some(changes) => (None, changes),
            None => {
                let age_ms = now.since(taken_at).as_millis() as u64;
                (Some(BackendList { age_ms, ..BackendList::clone(list) }), Vec::new())
            }
        }
    }
}

#[cfg(test)]
mod tests;
