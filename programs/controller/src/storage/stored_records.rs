//! Loads the records from disk at the start, and detects the loss of durable records.

use super::record_file::decode_copy;
use super::synced_marks::{self, SyncedMarks};
use super::{COPIES, RECORDS, Record};
use serde::de::DeserializeOwned;
use std::io;
use thiserror::Error;
use vanewharf_runtime::environment::Directory;

/// The records loaded from disk at the start.
#[derive(Debug, Default)]
pub struct StoredRecords {
    bodies: [Option<Vec<u8>>; RECORDS.len()],
    /// Number of the newest write of each record.
    pub(super) write_numbers: [u64; RECORDS.len()],
    pub(super) watermarks: SyncedMarks,
    pub(super) intact_files: Vec<String>,
    /// Files that are torn or corrupt, and all files of a disk that has lost a durable record.
    /// [`Storage::start`](super::Storage::start) renames them.
    pub corrupt_files: Vec<String>,
    /// Records that were durable and are missing from this disk. If there are any, the whole disk counts as lost, and the
    /// other records are withheld.
    pub lost_records: Vec<LostRecord>,
}

/// A record that was durable and has been lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LostRecord {
    /// The lost record.
    pub record: Record,
    /// The reason why the record counts as lost.
    pub reason: LossReason,
}

/// The reason why a record counts as lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum LossReason {
    /// The newest intact copy is older than the watermark of durable writes.
    #[error("write {durable} was durable, but the newest intact copy is of write {intact}")]
    OlderThanWatermark {
        /// Number of the newest write known to be durable.
        durable: u64,
        /// Write number of the newest intact copy, or 0 if there is none.
        intact: u64,
    },
    /// The two copies are not of consecutive writes, so one of them was not written by this program on this disk.
    #[error("the copies are of writes {older} and {newer}, which are not consecutive")]
    NotConsecutive {
        /// The lower write number.
        older: u64,
        /// The higher write number.
        newer: u64,
    },
    /// The record has a format that this version of the program cannot decode.
    #[error("the intact copy has a format that this version cannot decode")]
    UnknownFormat,
}

impl StoredRecords {
    /// Loads the newest intact copy of each record.
    ///
    /// # Errors
    /// Returns an error if the directory or one of its files cannot be read.
    pub fn load(directory: &dyn Directory) -> io::Result<StoredRecords> {
        let mut stored = StoredRecords::default();
        let mut files = directory.read_all()?;
        let watermarks = files.remove(synced_marks::FILE_NAME);
        stored.watermarks = watermarks.map(|content| SyncedMarks::decode(&content)).unwrap_or_default();
        for record in RECORDS {
            let mut intact_writes = Vec::new();
            for copy in 0..COPIES {
                let file_name = record.file_name(copy);
                if let Some(content) = files.remove(&file_name) {
                    intact_writes.extend(stored.add_copy(record, file_name, &content));
                }
            }
            if let Some(reason) = loss_reason(&intact_writes, stored.watermarks.for_record(record)) {
                stored.lost_records.push(LostRecord { record, reason });
            }
        }
        if !stored.lost_records.is_empty() {
            stored.discard_all();
        }
        Ok(stored)
    }

    /// Adds a copy, and keeps its body if it is the newest so far. Returns its write number if it is intact.
    fn add_copy(&mut self, record: Record, file_name: String, content: &[u8]) -> Option<u64> {
        let newest_write = &mut self.write_numbers[record as usize];
        match decode_copy(content) {
            // A copy whose write number belongs to the other file was not written by this program, and counts as corrupt.
            Some(copy) if record.file_name(copy.write_number) == file_name => {
                if copy.write_number >= *newest_write {
                    *newest_write = copy.write_number;
                    self.bodies[record as usize] = Some(copy.body.to_vec());
                }
                self.intact_files.push(file_name);
                Some(copy.write_number)
            }
            // The file was created, but power was lost before its content was written.
            None if content.is_empty() => None,
            Some(_) | None => {
                self.corrupt_files.push(file_name);
                None
            }
        }
    }

    /// Discards all copies, since no record of a disk that has lost durable data can be trusted. The numbers of later writes
    /// are above all previous ones.
    fn discard_all(&mut self) {
        self.corrupt_files.append(&mut self.intact_files);
        for record in RECORDS {
            self.bodies[record as usize] = None;
            let write_number = &mut self.write_numbers[record as usize];
            *write_number = self.watermarks.for_record(record).max(*write_number);
        }
    }

    /// Decodes a record. Returns `None` if it was never written or the disk counts as lost.
    ///
    /// # Errors
    /// Returns an error if the record has a format that this version of the program cannot decode.
    pub fn decode<T: DeserializeOwned>(&self, record: Record) -> serde_json::Result<Option<T>> {
        self.bodies[record as usize].as_deref().map(serde_json::from_slice).transpose()
    }

    /// Decodes both records. If one has an unknown format, the disk counts as lost from then on.
    pub fn decode_all<V: DeserializeOwned, R: DeserializeOwned>(&mut self) -> (Option<V>, Option<R>) {
        let (voter, register) = (self.decode(Record::Voter), self.decode(Record::Register));
        let results = [(Record::Voter, voter.is_err()), (Record::Register, register.is_err())];
        let unknown = results.into_iter().filter(|(_, is_unknown)| *is_unknown);
        let lost = unknown.map(|(record, _)| LostRecord { record, reason: LossReason::UnknownFormat });
        self.lost_records.extend(lost);
        match (voter, register) {
            (Ok(voter), Ok(register)) => (voter, register),
            _ => {
                self.discard_all();
                (None, None)
            }
        }
    }

    /// Returns whether the disk holds no record and shows no sign of a lost one.
    pub fn is_empty(&self) -> bool {
        self.lost_records.is_empty() && self.bodies.iter().all(Option::is_none)
    }

    /// If a record was lost, returns watermarks that make the disk count as lost until both records have been rewritten.
    pub(super) fn loss_watermarks(&self) -> Option<SyncedMarks> {
        let next_writes = self.write_numbers.map(|number| number + 1);
        (!self.lost_records.is_empty()).then(|| SyncedMarks::from_write_numbers(next_writes))
    }
}

/// Returns why a record with intact copies of these writes counts as lost, or `None` if it does not.
fn loss_reason(intact_writes: &[u64], durable: u64) -> Option<LossReason> {
    let newer = intact_writes.iter().copied().max().unwrap_or(0);
    let older = intact_writes.iter().copied().min().unwrap_or(0);
    if newer < durable {
        return Some(LossReason::OlderThanWatermark { durable, intact: newer });
    }
    (newer > older + 1).then_some(LossReason::NotConsecutive { older, newer })
}
