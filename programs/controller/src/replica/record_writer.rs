//! Writes the voter's records to disk in the order in which the voter decided them.
//!
//! A write is requested synchronously with its decision, before any await point. If a spawned task requested it instead, a
//! later decision could reach the disk first and be overwritten by the earlier one, which a restart would then load.
//!
//! Invariant: no requested write promises less, or holds an older register, than a write that is durable or pending
//! ([`Invariant::DiskNeverGoesBack`]).

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

/// The part of a written record that a later write must not revert.
#[derive(Clone, Debug, PartialEq, Eq)]
enum WrittenState {
    Promised { ballot: Ballot, peer_incarnations: BTreeMap<SocketAddr, u64> },
    Accepted(RegisterRank),
}

impl WrittenState {
    fn of(write: &DurableWrite) -> WrittenState {
        match write {
            DurableWrite::VoterRecord(record) => WrittenState::of_record(record),
            DurableWrite::Register(register) => WrittenState::Accepted(register.rank()),
        }
    }

    fn of_record(record: &VoterRecord) -> WrittenState {
        let VoterRecord { ballot, peer_incarnations, .. } = record.clone();
        WrittenState::Promised { ballot, peer_incarnations }
    }

    /// Returns whether writing this state after `earlier` would revert part of it: a lower ballot, a lower or missing
    /// incarnation of a peer, or an older register.
    fn reverts(&self, earlier: &WrittenState) -> bool {
        match (self, earlier) {
            (WrittenState::Accepted(rank), WrittenState::Accepted(earlier)) => rank < earlier,
            (
                WrittenState::Promised { ballot, peer_incarnations },
                WrittenState::Promised { ballot: earlier, peer_incarnations: known },
            ) => {
                let is_reverted = |(member, incarnation): (&SocketAddr, &u64)| {
                    peer_incarnations.get(member).is_none_or(|written| written < incarnation)
                };
                ballot < earlier || known.iter().any(is_reverted)
            }
            _ => false,
        }
    }
}

/// The durable and the pending writes, against which new ones are checked. Failed writes are not among them: their votes are
/// not sent, and the next write overwrites the same copy.
struct RequestedWrites {
    durable: Vec<WrittenState>,
    /// Requested writes that have not completed, by request ID.
    pending: BTreeMap<u64, WrittenState>,
    last_request_id: u64,
}

impl RequestedWrites {
    /// Starts with the records that the voter was loaded from.
    fn from_voter(voter: &Voter) -> RequestedWrites {
        let promised = WrittenState::of_record(&voter.record());
        let durable = vec![promised, WrittenState::Accepted(voter.register().rank())];
        RequestedWrites { durable, pending: BTreeMap::new(), last_request_id: 0 }
    }

    /// Adds a write and returns its request ID, or `None` if it would revert an earlier write.
    fn request(&mut self, write: &DurableWrite) -> Option<u64> {
        let state = WrittenState::of(write);
        let mut earlier = self.durable.iter().chain(self.pending.values());
        if earlier.any(|earlier| state.reverts(earlier)) {
            return None;
        }
        self.last_request_id += 1;
        self.pending.insert(self.last_request_id, state);
        Some(self.last_request_id)
    }

    /// Records the result of a write. The tasks that wait for writes may be woken in any order, so results may be recorded
    /// out of order.
    fn complete(&mut self, request_id: u64, is_durable: bool) {
        let Some(state) = self.pending.remove(&request_id) else {
            return;
        };
        if is_durable {
            let is_same_record = |known: &&mut WrittenState| discriminant(*known) == discriminant(&state);
            let known = self.durable.iter_mut().find(is_same_record);
            if let Some(known) = known.filter(|known| !state.reverts(known)) {
                *known = state;
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
    /// Creates the writer of the replica's records. From now on nothing else may write them, except a recovery from amnesia,
    /// during which the voter makes no decisions.
    pub(super) fn new(replica: Rc<Replica>, storage: Storage) -> RecordWriter {
        let requested = RequestedWrites::from_voter(&replica.voter.borrow());
        RecordWriter { replica, storage, requested: Rc::new(RefCell::new(requested)) }
    }

    /// Syncs the records that were loaded at the start.
    pub(super) async fn sync_loaded(&self) -> Result<(), StorageError> {
        self.storage.sync_loaded().await
    }

    /// Requests a write. Writes are executed in the order of the requests, whether or not their results are awaited.
    pub(super) fn write(&self, write: DurableWrite) -> PendingWrite {
        let request_id = self.requested.borrow_mut().request(&write);
        Invariant::DiskNeverGoesBack.check(request_id.is_some());
        let save = match (request_id, &write) {
            (None, _) => Err(StorageError::Outdated),
            (_, DurableWrite::VoterRecord(record)) => self.storage.begin_save(Record::Voter, record),
            (_, DurableWrite::Register(register)) => self.storage.begin_save(Record::Register, register),
        };
        let (replica, requested) = (Rc::clone(&self.replica), Rc::clone(&self.requested));
        PendingWrite { replica, requested, request_id, write, save }
    }
}

/// A requested write.
pub(super) struct PendingWrite {
    replica: Rc<Replica>,
    requested: Rc<RefCell<RequestedWrites>>,
    /// Request ID in `requested`, or `None` if the write was rejected.
    request_id: Option<u64>,
    write: DurableWrite,
    save: Result<PendingSave, StorageError>,
}

impl PendingWrite {
    /// Waits until the write is durable, and marks it as persisted in the voter.
    ///
    /// # Errors
    /// Returns the error of the storage; the record may or may not be on disk.
    ///
    /// # Cancel safety
    /// The write is still executed, but it is not marked as persisted in the voter and stays in the list of pending writes.
    pub(super) async fn wait(self) -> Result<(), StorageError> {
        let result = match self.save {
            Ok(save) => save.wait().await,
            Err(error) => Err(error),
        };
        if let Some(request_id) = self.request_id {
            self.requested.borrow_mut().complete(request_id, result.is_ok());
        }
        result?;
        self.replica.voter.borrow_mut().mark_persisted(self.write);
        Ok(())
    }
}

#[cfg(test)]
mod tests;
