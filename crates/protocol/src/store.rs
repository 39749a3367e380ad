//! What a process has of each source, and how it is passed on: the newest version of each, never one that is older than
//! what it had.

use crate::changes::{ListChanges, RegisterChanges};
use crate::messages::{
    BackendList, BackendListChange, FleetSummary, PullResponse, Register, RegisterChange, Revision,
    VersionVector,
};
use std::rc::Rc;
use std::time::Duration;
use vanewharf_clock::Timestamp;

#[derive(Clone, Debug, Default)]
pub struct VersionStore {
    pub register: Option<Rc<Register>>,
    register_changes: RegisterChanges,
    list_changes: ListChanges,
    /// Changes that came lead nowhere from here: the next pull asks for a snapshot.
    lost_register: bool,
    lost_list: bool,
    pub backend_list: Option<Rc<BackendList>>,
    /// When the list was taken, at the latest.
    pub backend_list_taken_at: Timestamp,
    pub fleet_summary: Option<Rc<FleetSummary>>,
    pub fleet_summary_received_at: Timestamp,
    /// When the register was certainly the newest acknowledged, and the list at least the one that its holder
    /// had.
    pub attested_at: Option<Timestamp>,
    pub leaseholder: Option<std::net::SocketAddr>,
}

/// What of a mail was new.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AppliedUpdates {
    pub register: bool,
    pub backend_list: bool,
    pub fleet_summary: bool,
    /// When what its sender has was certainly the newest: the sender's own word, whatever is in hand here.
    pub attested_at: Option<Timestamp>,
}

impl AppliedUpdates {
    pub fn any(self) -> bool {
        self.register || self.backend_list || self.fleet_summary
    }
}

impl VersionStore {
    pub fn versions(&self) -> VersionVector {
        let register = self.register.as_ref().filter(|_| !self.lost_register);
        let list = self.backend_list.as_ref().filter(|_| !self.lost_list);
        VersionVector {
            register: register.map_or(Revision(0), |register| register.revision),
            backend_list: list.map(|list| list.version).unwrap_or_default(),
            fleet_summary: self.fleet_summary.as_ref().map(|ledger| ledger.version).unwrap_or_default(),
        }
    }

    pub fn is_newer_than(&self, have: &VersionVector) -> bool {
        let mine = self.versions();
        mine.register > have.register
            || mine.backend_list > have.backend_list
            || mine.fleet_summary > have.fleet_summary
    }

    pub fn set_register(&mut self, register: Rc<Register>) -> bool {
        let newer = self.register.as_ref().is_none_or(|mine| register.revision > mine.revision);
        if newer {
            self.register_changes.moved(self.register.as_deref(), &register);
            (self.register, self.lost_register) = (Some(register), false);
        }
        newer
    }

    fn follow_register(&mut self, changes: Vec<RegisterChange>) -> bool {
        let followed =
            self.register.as_deref().and_then(|register| self.register_changes.follow(register, changes));
        self.lost_register = followed.is_none();
        let changed = followed.is_some();
        self.register = followed.map(Rc::new).or(self.register.take());
        changed
    }

    fn follow_list(&mut self, changes: Vec<BackendListChange>, now: Timestamp) -> bool {
        let taken = changes.last().map(|last| now.before(Duration::from_millis(last.age_ms))).unwrap_or(now);
        let times = (self.backend_list_taken_at, taken);
        let followed =
            self.backend_list.as_deref().and_then(|list| self.list_changes.follow(list, changes, times));
        self.lost_list = followed.is_none();
        let changed = followed.is_some();
        if let Some(list) = followed {
            (self.backend_list, self.backend_list_taken_at) = (Some(Rc::new(list)), taken);
        }
        changed
    }

    pub fn set_backend_list(&mut self, list: BackendList, now: Timestamp) -> bool {
        let newer = self.backend_list.as_ref().is_none_or(|mine| list.version > mine.version);
        if newer {
            let taken = now.before(Duration::from_millis(list.age_ms));
            self.list_changes.moved(self.backend_list.as_deref(), &list, (self.backend_list_taken_at, taken));
            (self.backend_list, self.backend_list_taken_at, self.lost_list) =
                (Some(Rc::new(list)), taken, false);
        }
        newer
    }

    pub fn set_fleet_summary(&mut self, ledger: FleetSummary, now: Timestamp) -> bool {
        let newer = self.fleet_summary.as_ref().is_none_or(|mine| ledger.version > mine.version);
        if newer {
            (self.fleet_summary, self.fleet_summary_received_at) = (Some(Rc::new(ledger)), now);
        }
        newer
    }

    /// The register in hand was certainly the newest then.
    pub fn attest(&mut self, at: Timestamp) {
        self.attested_at = self.attested_at.max(Some(at));
    }

    /// Takes an answer to a pull that was sent at `asked`: the answer was given no sooner than it was held back for.
    pub fn apply(&mut self, mail: PullResponse, asked: Timestamp, now: Timestamp) -> AppliedUpdates {
        let PullResponse {
            register,
            register_changes,
            backend_list: list,
            backend_list_changes: list_changes,
            fleet_summary: ledger,
            attested_age_ms: sure_ms,
            delay_ms: held_ms,
            leaseholder: holder,
        } = mail;
        let mut news = AppliedUpdates::default();
        if let Some(register) = register {
            news.register = self.set_register(Rc::new(register));
        } else if !register_changes.is_empty() {
            news.register = self.follow_register(register_changes);
        }
        if let Some(list) = list {
            news.backend_list = self.set_backend_list(list, now);
        } else if !list_changes.is_empty() {
            news.backend_list = self.follow_list(list_changes, now);
        }
        if let Some(ledger) = ledger {
            news.fleet_summary = self.set_fleet_summary(ledger, now);
        }
        let given = asked.after(Duration::from_millis(held_ms));
        news.attested_at = sure_ms.map(|sure| given.before(Duration::from_millis(sure)));
        // It is said of all that came: where the register or the list could not be followed, what is here is
        // older.
        if let Some(sure) = news.attested_at.filter(|_| !self.lost_register && !self.lost_list) {
            self.attest(sure);
        }
        self.leaseholder = holder.or(self.leaseholder);
        news
    }

    /// What a reader lacks: what changed, where it is little behind; `verbatim`: the register as it was sent.
    pub fn response_to(
        &self,
        have: &VersionVector,
        verbatim: bool,
        held: Duration,
        now: Timestamp,
    ) -> PullResponse {
        let age = now.since(self.backend_list_taken_at);
        let newer_register = self.register.as_ref().filter(|register| register.revision > have.register);
        let newer_list = self.backend_list.as_ref().filter(|list| list.version > have.backend_list);
        let register_changes =
            newer_register.filter(|_| !verbatim).and_then(|_| self.register_changes.since(have.register));
        let list_changes = newer_list
            .and_then(|_| self.list_changes.since(have.backend_list, self.backend_list_taken_at, now));
        let register = newer_register.filter(|_| register_changes.is_none());
        let list = newer_list.filter(|_| list_changes.is_none()).map(|list| {
            let age_ms = age.as_millis() as u64;
            BackendList { age_ms, ..BackendList::clone(list) }
        });
        let ledger = self.fleet_summary.as_ref().filter(|ledger| ledger.version > have.fleet_summary);
        // Rounded so that nothing is taken for surer than it is.
        let sure_ms = self.attested_at.map(|sure| now.since(sure).as_millis() as u64 + 1);
        PullResponse {
            register: register.map(|register| {
                let taken = if verbatim { register.accepted_configs.clone() } else { Vec::new() };
                Register { accepted_configs: taken, ..Register::clone(register) }
            }),
            register_changes: register_changes.unwrap_or_default(),
            backend_list: list,
            backend_list_changes: list_changes.unwrap_or_default(),
            fleet_summary: ledger.map(|ledger| FleetSummary::clone(ledger)),
            attested_age_ms: sure_ms,
            delay_ms: held.as_millis() as u64,
            leaseholder: self.leaseholder,
        }
    }
}

#[cfg(test)]
mod tests;
