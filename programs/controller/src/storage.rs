//! Durable storage of a controller's records.
//!
//! Each record has two files, and writes alternate between them: a write that is torn by a loss of power, or that fails,
//! leaves the other copy as it was. One task owns the write counters and carries out one operation at a time, so a file is
//! never written by two operations at once.
//!
//! A copy that cannot be read is one of two things. Either its write was never finished, then nothing was acknowledged by
//! it and the older copy stands. Or it was durable and is damaged; then the disk has forgotten something, and a voter that
//! went by the older copy would break its promises. [`synced_marks`] tell which: such a disk counts as lost
//! ([`StoredRecords::lost_records`]), as a whole.
//!
//! Invariant: a save is acknowledged only once the copy, and the directory entry that names it, have been synced.

mod record_file;
mod stored_records;
mod synced_marks;

pub use stored_records::{LossReason, LostRecord, StoredRecords};

use record_file::encode_copy;
use serde::Serialize;
use std::collections::BTreeSet;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use synced_marks::SyncedMarks;
use thiserror::Error;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;
use vanewharf_runtime::environment::{Directory, FileOperation};

/// A kind of record that is stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Record {
    /// What the voter has promised, and the initial members.
    Voter,
    /// The newest register that the voter has accepted.
    Register,
}

const RECORDS: [Record; 2] = [Record::Voter, Record::Register];
/// How many files each record alternates between.
const COPIES: u64 = 2;
/// Marks are written when nothing was requested for so long, so that no vote waits for them.
const MARK_DELAY: Duration = Duration::from_millis(250);
/// Marks that could not be written are tried again after this.
const MARK_RETRY_INTERVAL: Duration = Duration::from_secs(5);

impl Record {
    /// The name of the file that holds the copy which the write of that number goes to. File names are fixed by what is on
    /// the disks of installations.
    fn file_name(self, write_number: u64) -> String {
        let stem = match self {
            Record::Voter => "promise",
            Record::Register => "register",
        };
        format!("{stem}-{}.json", write_number % COPIES)
    }
}

/// Why a record, or the directory of the records, is not certain to be on disk.
#[derive(Debug, Error)]
pub enum StorageError {
    /// The record has no JSON form.
    #[error("the record cannot be encoded: {0}")]
    Encode(#[from] serde_json::Error),
    /// Writing a file, or a sync of it or of the directory, failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The record is older than one that was to be written before it, and is not written.
    #[error("the record is older than one that was to be written before it")]
    Outdated,
    /// A record was lost from this disk, and the disk cannot be marked as lost.
    #[error("the disk cannot be marked as lost: {0}")]
    LossNotPersisted(#[source] io::Error),
    /// The task that writes records has ended, as it does with the program.
    #[error("the storage task has ended")]
    Stopped,
}

enum Operation {
    SyncFound,
    Write { record: Record, body: Vec<u8> },
}

struct Request {
    operation: Operation,
    reply: oneshot::Sender<Result<(), StorageError>>,
}

/// A handle of the task that writes records. Clones share the task.
#[derive(Clone)]
pub struct Storage {
    requests: mpsc::UnboundedSender<Request>,
}

impl Storage {
    /// Starts the task on the current local set. Corrupt files are renamed before the first operation.
    pub fn start(directory: Rc<dyn Directory>, stored: &StoredRecords) -> Storage {
        let (requests, received) = mpsc::unbounded_channel();
        let writer = Writer {
            directory,
            write_numbers: stored.write_numbers,
            synced_names: BTreeSet::new(),
            unsynced_found: stored.intact_files.clone(),
            marks: stored.marks,
            marks_after_loss: stored.marks_after_loss(),
        };
        tokio::task::spawn_local(writer.run(stored.corrupt_files.clone(), received));
        Storage { requests }
    }

    /// Writes a record and waits until it is durable.
    ///
    /// # Errors
    /// The record may or may not be on disk then; the copy that was durable before still is.
    ///
    /// # Cancel safety
    /// A write that was requested is carried out also where the caller stops waiting.
    pub async fn save<T: Serialize>(&self, record: Record, value: &T) -> Result<(), StorageError> {
        self.begin_save(record, value)?.wait().await
    }

    /// Requests a write, which is carried out after all that were requested before.
    ///
    /// # Errors
    /// Where the record has no JSON form or the task has ended; nothing was requested then.
    pub fn begin_save<T: Serialize>(&self, record: Record, value: &T) -> Result<PendingSave, StorageError> {
        let body = serde_json::to_vec(value)?;
        self.request(Operation::Write { record, body })
    }

    /// Syncs what was read at the start, and its directory: it may have been written by a process that was killed before
    /// it synced either, and a loss of power could still take it away.
    ///
    /// # Errors
    /// Where a file or the directory cannot be synced.
    pub async fn sync_found(&self) -> Result<(), StorageError> {
        self.request(Operation::SyncFound)?.wait().await
    }

    fn request(&self, operation: Operation) -> Result<PendingSave, StorageError> {
        let (reply, result) = oneshot::channel();
        self.requests.send(Request { operation, reply }).map_err(|_| StorageError::Stopped)?;
        Ok(PendingSave { result })
    }
}

/// An operation that was requested.
pub struct PendingSave {
    result: oneshot::Receiver<Result<(), StorageError>>,
}

impl PendingSave {
    /// Waits until the operation was carried out.
    ///
    /// # Errors
    /// Where it failed: the record may or may not be on disk then; the copy that was durable before still is.
    ///
    /// # Cancel safety
    /// The operation is carried out also where the caller stops waiting.
    pub async fn wait(self) -> Result<(), StorageError> {
        self.result.await.map_err(|_| StorageError::Stopped)?
    }
}

/// Owns the write counters and carries out operations in the order in which they are requested.
struct Writer {
    directory: Rc<dyn Directory>,
    write_numbers: [u64; RECORDS.len()],
    /// Files whose directory entry this process has synced.
    synced_names: BTreeSet<String>,
    /// Files that were read at the start and may not be durable.
    unsynced_found: Vec<String>,
    /// Those on disk, as far as this process knows.
    marks: SyncedMarks,
    /// The disk has lost a record: these have to be on disk before anything else is, so that a restart still knows.
    marks_after_loss: Option<SyncedMarks>,
}

impl Writer {
    async fn run(mut self, corrupt_files: Vec<String>, mut requests: mpsc::UnboundedReceiver<Request>) {
        for from in corrupt_files {
            let to = format!("{from}.spoilt");
            let operations = vec![FileOperation::Rename { from, to }, FileOperation::SyncDirectory];
            // Where this fails, the file is overwritten by a later write.
            let _ = self.directory.execute(operations).await;
        }
        while let Some(Request { operation, reply }) = self.next_request(&mut requests).await {
            let result = self.execute(operation).await;
            // A caller that has stopped waiting needs no result.
            let _ = reply.send(result);
        }
    }

    /// The next request. Marks are written when none comes for a while; `None` once all handles are gone.
    async fn next_request(&mut self, requests: &mut mpsc::UnboundedReceiver<Request>) -> Option<Request> {
        let mut delay = MARK_DELAY;
        while self.marks_after_loss.is_none() && self.marks != self.current_marks() {
            // `recv` is cancel safe: no request is lost where the timeout ends it.
            if let Ok(request) = timeout(delay, requests.recv()).await {
                return request;
            }
            if self.write_marks(self.current_marks()).await.is_err() {
                delay = MARK_RETRY_INTERVAL;
            }
        }
        requests.recv().await
    }

    /// Of all writes that are known to have been durable.
    fn current_marks(&self) -> SyncedMarks {
        self.marks.raised_to(SyncedMarks::of_write_numbers(self.write_numbers))
    }

    async fn execute(&mut self, operation: Operation) -> Result<(), StorageError> {
        match operation {
            Operation::SyncFound => Ok(self.sync_found().await?),
            Operation::Write { record, body } => {
                self.sync_found_once().await?;
                self.persist_loss().await?;
                Ok(self.write(record, &body).await?)
            }
        }
    }

    async fn sync_found(&mut self) -> io::Result<()> {
        let files = self.unsynced_found.iter().cloned();
        let mut operations: Vec<_> = files.map(|file| FileOperation::Sync { file }).collect();
        operations.push(FileOperation::SyncDirectory);
        self.directory.execute(operations).await?;
        self.unsynced_found.clear();
        Ok(())
    }

    /// Nothing is written, and nothing marked as durable, above a copy that a loss of power could still take away.
    async fn sync_found_once(&mut self) -> io::Result<()> {
        if self.unsynced_found.is_empty() { Ok(()) } else { self.sync_found().await }
    }

    /// Where a record was lost: makes sure that the disk counts as lost until both records have been written anew.
    async fn persist_loss(&mut self) -> Result<(), StorageError> {
        if let Some(marks) = self.marks_after_loss {
            self.write_marks(marks).await.map_err(StorageError::LossNotPersisted)?;
            self.marks_after_loss = None;
        }
        Ok(())
    }

    async fn write_marks(&mut self, marks: SyncedMarks) -> io::Result<()> {
        self.sync_found_once().await?;
        let file = synced_marks::FILE_NAME.to_owned();
        let bytes = marks.encode()?;
        let is_new = !self.synced_names.contains(&file);
        self.directory.execute(write_and_sync(file.clone(), bytes, is_new)).await?;
        self.synced_names.insert(file);
        self.marks = marks;
        Ok(())
    }

    /// A write that failed is retried over the same copy, so that the durable one is never overwritten.
    async fn write(&mut self, record: Record, body: &[u8]) -> io::Result<()> {
        let write_number = self.write_numbers[record as usize] + 1;
        let file_name = record.file_name(write_number);
        let name_is_synced = self.synced_names.contains(&file_name);
        let operations = write_operations(record, write_number, body, name_is_synced);
        self.directory.execute(operations).await?;
        self.write_numbers[record as usize] = write_number;
        self.synced_names.insert(file_name);
        Ok(())
    }
}

/// Writes and syncs one copy. The directory entry of a new file is durable only once the directory has been synced, too.
fn write_operations(
    record: Record,
    write_number: u64,
    body: &[u8],
    name_is_synced: bool,
) -> Vec<FileOperation> {
    write_and_sync(record.file_name(write_number), encode_copy(write_number, body), !name_is_synced)
}

fn write_and_sync(file: String, bytes: Vec<u8>, name_is_new: bool) -> Vec<FileOperation> {
    let mut operations =
        vec![FileOperation::Write { file: file.clone(), bytes }, FileOperation::Sync { file }];
    if name_is_new {
        operations.push(FileOperation::SyncDirectory);
    }
    operations
}

#[cfg(test)]
mod tests;
