//! Writes the voter's records to disk in the order in which they were decided.
//!
//! A write is requested at the moment of its decision, before anything is awaited: were it requested by a task of its own, a
//! later decision could reach the disk first, and a restart would find the older one.
//!
//! Invariant: no write is requested that promises less, or holds an older register, than one that is on disk or on its way
//! there ([`Invariant::DiskNeverGoesBack`]).

use super::Replica;
use crate::storage::{PendingSave, Record, Storage, StorageError};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::mem::discriminant;
use std::net::SocketAddr;
use std::rc::Rc;
use vanewharf_consensus::{DurableWrite, Voter, VoterRecord};
use vanewharf_protocol::messages::{Ballot, RegisterRank};
use vanewharf_runtime::invariants::Invariant;

/// How far a record has come by a write.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Progress {
    Promised { ballot: Ballot, peer_incarnations: BTreeMap<SocketAddr, u64> },
    Accepted(RegisterRank),
}

impl Progress {
    fn of(write: &DurableWrite) -> Progress {
        match write {
            DurableWrite::VoterRecord(record) => Progress::of_record(record),
            DurableWrite::Register(register) => Progress::Accepted(register.rank()),
        }
    }

    fn of_record(record: &VoterRecord) -> Progress {
        let VoterRecord { ballot, peer_incarnations, .. } = record.clone();
        Progress::Promised { ballot, peer_incarnations }
    }

    /// Whether writing this after `earlier` takes something back.
    fn takes_back(&self, earlier: &Progress) -> bool {
        match (self, earlier) {
            (Progress::Accepted(rank), Progress::Accepted(earlier)) => rank < earlier,
            (
                Progress::Promised { ballot, peer_incarnations },
                Progress::Promised { ballot: earlier, peer_incarnations: known },
            ) => {
                let is_forgotten = |(member, incarnation): (&SocketAddr, &u64)| {
                    peer_incarnations.get(member).is_none_or(|kept| kept < incarnation)
                };
                ballot < earlier || known.iter().any(is_forgotten)
            }
            _ => false,
        }
    }
}

/// The writes that are on disk or on their way there. A write that failed binds nobody: its vote is not sent, and the next
/// write goes over the same copy.
struct RequestedWrites {
    durable: Vec<Progress>,
    /// By the number of the request.
    pending: BTreeMap<u64, Progress>,
    last_number: u64,
}

impl RequestedWrites {
    /// What a voter has found on its disk.
    fn of_voter(voter: &Voter) -> RequestedWrites {
        let promised = Progress::of_record(&voter.record());
        let durable = vec![promised, Progress::Accepted(voter.register().rank())];
        RequestedWrites { durable, pending: BTreeMap::new(), last_number: 0 }
    }

    /// Adds a write and returns its number, or nothing where it takes something back.
    fn request(&mut self, write: &DurableWrite) -> Option<u64> {
        let progress = Progress::of(write);
        let mut earlier = self.durable.iter().chain(self.pending.values());
        if earlier.any(|earlier| progress.takes_back(earlier)) {
            return None;
        }
        self.last_number += 1;
        self.pending.insert(self.last_number, progress);
        Some(self.last_number)
    }

    /// Records how a write ended. Those who wait for writes may be woken in any order.
    fn complete(&mut self, number: u64, is_durable: bool) {
        let Some(progress) = self.pending.remove(&number) else {
            return;
        };
        if is_durable {
            let is_same_record = |known: &&mut Progress| discriminant(*known) == discriminant(&progress);
            let known = self.durable.iter_mut().find(is_same_record);
            if let Some(known) = known.filter(|known| !progress.takes_back(known)) {
                *known = progress;
            }
        }
    }
}

/// Requests writes and marks them as persisted in the voter.
pub(super) struct RecordWriter {
    replica: Rc<Replica>,
    storage: Storage,
    requested: Rc<RefCell<RequestedWrites>>,
}

impl RecordWriter {
    /// A writer of the replica's records. They must be written by it alone from now on, but for a recovery from amnesia,
    /// during which the voter decides nothing.
    pub(super) fn new(replica: Rc<Replica>, storage: Storage) -> RecordWriter {
        let requested = RequestedWrites::of_voter(&replica.voter.borrow());
        RecordWriter { replica, storage, requested: Rc::new(RefCell::new(requested)) }
    }

    /// Makes what was found at the start certain to be on disk.
    pub(super) async fn sync_found(&self) -> Result<(), StorageError> {
        self.storage.sync_found().await
    }

    /// Requests a write. It is carried out after all that were requested before, also where the result is not waited for.
    pub(super) fn write(&self, write: DurableWrite) -> PendingWrite {
        let number = self.requested.borrow_mut().request(&write);
        Invariant::DiskNeverGoesBack.check(number.is_some());
        let saving = match (number, &write) {
            (None, _) => Err(StorageError::Outdated),
            (_, DurableWrite::VoterRecord(record)) => self.storage.begin_save(Record::Voter, record),
            (_, DurableWrite::Register(register)) => self.storage.begin_save(Record::Register, register),
        };
        let (replica, requested) = (Rc::clone(&self.replica), Rc::clone(&self.requested));
        PendingWrite { replica, requested, number, write, saving }
    }
}

/// A write that was requested.
pub(super) struct PendingWrite {
    replica: Rc<Replica>,
    requested: Rc<RefCell<RequestedWrites>>,
    /// Its number in `requested`; none where it was refused.
    number: Option<u64>,
    write: DurableWrite,
    saving: Result<PendingSave, StorageError>,
}

impl PendingWrite {
    /// Waits until the write is durable, and notes that in the voter.
    ///
    /// # Errors
    /// What the storage reports; the record may or may not be on disk then.
    ///
    /// # Cancel safety
    /// The write is carried out all the same. The voter does not learn that it is durable, and it counts as on its way for
    /// good.
    pub(super) async fn wait(self) -> Result<(), StorageError> {
        let result = match self.saving {
            Ok(saving) => saving.wait().await,
            Err(error) => Err(error),
        };
        if let Some(number) = self.number {
            self.requested.borrow_mut().complete(number, result.is_ok());
        }
        result?;
        self.replica.voter.borrow_mut().mark_persisted(self.write);
        Ok(())
    }
}

#[cfg(test)]
mod tests;
