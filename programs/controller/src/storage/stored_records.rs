//! The records that are found on disk at the start, and whether any that was durable is missing.

use super::record_file::read_copy;
use super::synced_marks::{self, SyncedMarks};
use super::{COPIES, RECORDS, Record};
use serde::de::DeserializeOwned;
use std::io;
use thiserror::Error;
use vanewharf_runtime::environment::Directory;

/// The records that were found on disk at the start.
#[derive(Debug, Default)]
pub struct StoredRecords {
    bodies: [Option<Vec<u8>>; RECORDS.len()],
    /// The number of the newest write of each record.
    pub(super) write_numbers: [u64; RECORDS.len()],
    pub(super) marks: SyncedMarks,
    pub(super) intact_files: Vec<String>,
    /// Files whose content is torn, corrupt or of a disk that has lost something; [`Storage::start`](super::Storage::start) renames them.
    pub corrupt_files: Vec<String>,
    /// Records that were durable and that this disk has no more. The disk counts as lost, and the other records are not
    /// given out.
    pub lost_records: Vec<LostRecord>,
}

/// A record that was durable and is not found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LostRecord {
    /// Which one.
    pub record: Record,
    /// Why it counts as lost.
    pub reason: LossReason,
}

/// Why a record counts as lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum LossReason {
    /// A later write was durable than that of the newest intact copy.
    #[error("write {marked} was durable, and the newest intact copy is of write {found}")]
    OlderThanMark {
        /// The write that was durable.
        marked: u64,
        /// The newest intact copy's; 0: there is none.
        found: u64,
    },
    /// The two copies are not of consecutive writes, so that one of them is not this program's.
    #[error("its copies are of writes {older} and {newer}")]
    NotConsecutive {
        /// The lower number.
        older: u64,
        /// The higher number.
        newer: u64,
    },
    /// Its form is not one that this program knows.
    #[error("its intact copy has another form than this program knows")]
    UnknownForm,
}

impl StoredRecords {
    /// Reads the newest intact copy of each record.
    ///
    /// # Errors
    /// Where the directory or one of its files cannot be read.
    pub fn load(directory: &dyn Directory) -> io::Result<StoredRecords> {
        let mut stored = StoredRecords::default();
        let mut files = directory.read_all()?;
        let marks = files.remove(synced_marks::FILE_NAME);
        stored.marks = marks.map(|content| SyncedMarks::read(&content)).unwrap_or_default();
        for record in RECORDS {
            let mut intact_writes = Vec::new();
            for copy in 0..COPIES {
                let file_name = record.file_name(copy);
                if let Some(content) = files.remove(&file_name) {
                    intact_writes.extend(stored.add_copy(record, file_name, &content));
                }
            }
            if let Some(reason) = loss_reason(&intact_writes, stored.marks.of_record(record)) {
                stored.lost_records.push(LostRecord { record, reason });
            }
        }
        if !stored.lost_records.is_empty() {
            stored.forget_all();
        }
        Ok(stored)
    }

    /// Takes over a copy where it is the newest so far. Returns the number of its write, where it is intact.
    fn add_copy(&mut self, record: Record, file_name: String, content: &[u8]) -> Option<u64> {
        let newest_write = &mut self.write_numbers[record as usize];
        match read_copy(content) {
            // A copy whose number belongs to the other file was not written there.
            Some(copy) if record.file_name(copy.write_number) == file_name => {
                if copy.write_number >= *newest_write {
                    *newest_write = copy.write_number;
                    self.bodies[record as usize] = Some(copy.body.to_vec());
                }
                self.intact_files.push(file_name);
                Some(copy.write_number)
            }
            // The file was created, and the power went before its content was written.
            None if content.is_empty() => None,
            Some(_) | None => {
                self.corrupt_files.push(file_name);
                None
            }
        }
    }

    /// Nothing on a disk that has lost something can be gone by: all copies are set aside. Later writes have numbers above
    /// all that was there.
    fn forget_all(&mut self) {
        self.corrupt_files.append(&mut self.intact_files);
        for record in RECORDS {
            self.bodies[record as usize] = None;
            let write_number = &mut self.write_numbers[record as usize];
            *write_number = self.marks.of_record(record).max(*write_number);
        }
    }

    /// The record, or `None` where it was never written or the disk counts as lost.
    ///
    /// # Errors
    /// Where the record has a form that this program does not know.
    pub fn decode<T: DeserializeOwned>(&self, record: Record) -> serde_json::Result<Option<T>> {
        self.bodies[record as usize].as_deref().map(serde_json::from_slice).transpose()
    }

    /// Decodes both records. Where one has an unknown form the disk counts as lost from then on.
    pub fn decode_all<V: DeserializeOwned, R: DeserializeOwned>(&mut self) -> (Option<V>, Option<R>) {
        let (voter, register) = (self.decode(Record::Voter), self.decode(Record::Register));
        let results = [(Record::Voter, voter.is_err()), (Record::Register, register.is_err())];
        let unknown = results.into_iter().filter(|(_, is_unknown)| *is_unknown);
        let lost = unknown.map(|(record, _)| LostRecord { record, reason: LossReason::UnknownForm });
        self.lost_records.extend(lost);
        match (voter, register) {
            (Ok(voter), Ok(register)) => (voter, register),
            _ => {
                self.forget_all();
                (None, None)
            }
        }
    }

    /// Whether nothing was ever written, as far as can be told.
    pub fn is_empty(&self) -> bool {
        self.lost_records.is_empty() && self.bodies.iter().all(Option::is_none)
    }

    /// Marks by which a disk that has lost something counts as lost until both records have been written anew.
    pub(super) fn marks_after_loss(&self) -> Option<SyncedMarks> {
        let next_writes = self.write_numbers.map(|number| number + 1);
        (!self.lost_records.is_empty()).then(|| SyncedMarks::of_write_numbers(next_writes))
    }
}

/// Whether a record was durable of which the disk has only these intact copies, or which cannot be what was written.
fn loss_reason(intact_writes: &[u64], marked: u64) -> Option<LossReason> {
    let newer = intact_writes.iter().copied().max().unwrap_or(0);
    let older = intact_writes.iter().copied().min().unwrap_or(0);
    if newer < marked {
        return Some(LossReason::OlderThanMark { marked, found: newer });
    }
    (newer > older + 1).then_some(LossReason::NotConsecutive { older, newer })
}
