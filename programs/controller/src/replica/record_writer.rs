//! Writes the voter's records to disk in the order in which they were decided.
//!
//! A write is requested at the moment of its decision, before anything is awaited: were it requested by a task of its own, a
//! later decision could reach the disk first, and a restart would find the older one.
//!
//! Invariant: the newest copy on disk never promises less, and never holds an older register, than one that was requested
//! before ([`Invariant::DiskNeverGoesBack`]).

use super::Replica;
use crate::storage::{PendingSave, Record, Storage, StorageError};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use vanewharf_consensus::{DurableWrite, Voter, VoterRecord};
use vanewharf_protocol::messages::{Ballot, RegisterRank};
use vanewharf_runtime::invariants::Invariant;

/// How far the writes that were requested have come.
struct RequestedWrites {
    promised: Ballot,
    peer_incarnations: BTreeMap<SocketAddr, u64>,
    accepted: RegisterRank,
}

impl RequestedWrites {
    fn of_voter(voter: &Voter) -> RequestedWrites {
        let VoterRecord { ballot, peer_incarnations, .. } = voter.record();
        RequestedWrites { promised: ballot, peer_incarnations, accepted: voter.register().rank() }
    }

    /// Takes a write into account; returns whether it takes nothing back.
    fn advance(&mut self, write: &DurableWrite) -> bool {
        match write {
            DurableWrite::VoterRecord(record) => {
                let knows = |(member, incarnation): (&SocketAddr, &u64)| {
                    record.peer_incarnations.get(member).is_some_and(|known| known >= incarnation)
                };
                let holds = record.ballot >= self.promised && self.peer_incarnations.iter().all(knows);
                if holds {
                    self.promised = record.ballot;
                    self.peer_incarnations.clone_from(&record.peer_incarnations);
                }
                holds
            }
            DurableWrite::Register(register) => {
                let holds = register.rank() >= self.accepted;
                self.accepted = self.accepted.max(register.rank());
                holds
            }
        }
    }
}

/// Requests writes and marks them as persisted in the voter.
pub(super) struct RecordWriter {
    replica: Rc<Replica>,
    storage: Storage,
    requested: RequestedWrites,
}

impl RecordWriter {
    /// A writer of the replica's records. They must be written by it alone from now on, but for a recovery from amnesia,
    /// during which the voter decides nothing.
    pub(super) fn new(replica: Rc<Replica>, storage: Storage) -> RecordWriter {
        let requested = RequestedWrites::of_voter(&replica.voter.borrow());
        RecordWriter { replica, storage, requested }
    }

    /// Makes what was found at the start certain to be on disk.
    pub(super) async fn sync_directory(&self) -> Result<(), StorageError> {
        self.storage.sync_directory().await
    }

    /// Requests a write. It is carried out after all that were requested before, also where the result is not waited for.
    pub(super) fn write(&mut self, write: DurableWrite) -> PendingWrite {
        let saving = if Invariant::DiskNeverGoesBack.check(self.requested.advance(&write)) {
            match &write {
                DurableWrite::VoterRecord(record) => self.storage.begin_save(Record::Voter, record),
                DurableWrite::Register(register) => self.storage.begin_save(Record::Register, register),
            }
        } else {
            Err(StorageError::Outdated)
        };
        PendingWrite { replica: Rc::clone(&self.replica), write, saving }
    }
}

/// A write that was requested.
pub(super) struct PendingWrite {
    replica: Rc<Replica>,
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
    /// The write is carried out all the same; the voter does not learn that it is durable.
    pub(super) async fn wait(self) -> Result<(), StorageError> {
        self.saving?.wait().await?;
        self.replica.voter.borrow_mut().mark_persisted(self.write);
        Ok(())
    }
}

#[cfg(test)]
mod tests;
