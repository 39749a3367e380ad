//! Durable storage of a controller's records.
//!
//! Each record has two files, and writes alternate between them. A write that fails, or is torn by a power loss, leaves the
//! other copy intact. One task owns the write counters and executes one operation at a time, so a file is never written by
//! two operations concurrently.
//!
//! There are two reasons why a copy may be unreadable. If its write never completed, it was not acknowledged, and the older
//! copy is valid. If it had been durable and was damaged later, the disk has lost acknowledged data, and a voter that used
//! the older copy would break its promises. The watermarks of [`synced_marks`] distinguish the two cases. In the second one
//! all records on the disk are treated as lost ([`StoredRecords::lost_records`]).
//!
//! Invariant: a save is acknowledged only after the copy and its directory entry have been synced.

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

/// The stored records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Record {
    /// The voter's promises and the initial members.
    Voter,
    /// The newest register that the voter has accepted.
    Register,
}

const RECORDS: [Record; 2] = [Record::Voter, Record::Register];
/// Number of files among which the writes of a record alternate.
const COPIES: u64 = 2;
/// The watermarks are written after the storage has been idle for this time, so that no vote waits for them.
const WATERMARK_IDLE_DELAY: Duration = Duration::from_millis(250);
/// Delay before a failed write of the watermarks is retried.
const WATERMARK_RETRY_INTERVAL: Duration = Duration::from_secs(5);

impl Record {
    /// Returns the name of the file to which the write of this number goes. The names are part of the on-disk format and
    /// must not change.
    fn file_name(self, write_number: u64) -> String {
        let stem = match self {
            Record::Voter => "promise",
            Record::Register => "register",
        };
        format!("{stem}-{}.json", write_number % COPIES)
    }
}

/// An error that leaves it uncertain whether a record, or its directory entry, is on disk.
#[derive(Debug, Error)]
pub enum StorageError {
    /// The record cannot be encoded as JSON.
    #[error("cannot encode the record: {0}")]
    Encode(#[from] serde_json::Error),
    /// Writing or syncing a file, or syncing the directory, failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The record is older than one whose write was requested before, and is not written.
    #[error("the record is older than one whose write was requested before")]
    Outdated,
    /// A durable record was lost from this disk, and the watermarks that record the loss cannot be written.
    #[error("cannot mark the data directory as lost: {0}")]
    LossNotPersisted(#[source] io::Error),
    /// The storage task has ended, which happens only when the program exits.
    #[error("the storage task has ended")]
    Stopped,
}

enum Operation {
    SyncLoaded,
    Write { record: Record, body: Vec<u8> },
}

struct Request {
    operation: Operation,
    reply: oneshot::Sender<Result<(), StorageError>>,
}

/// Handle to the storage task, which writes the records. Clones refer to the same task.
#[derive(Clone)]
pub struct Storage {
    requests: mpsc::UnboundedSender<Request>,
}

impl Storage {
    /// Starts the storage task on the current `LocalSet`. Corrupt files are renamed before the first operation.
    pub fn start(directory: Rc<dyn Directory>, stored: &StoredRecords) -> Storage {
        let (requests, received) = mpsc::unbounded_channel();
        let task = StorageTask {
            directory,
            write_numbers: stored.write_numbers,
            files_with_synced_entry: BTreeSet::new(),
            unsynced_files: stored.intact_files.clone(),
            watermarks: stored.watermarks,
            loss_watermarks: stored.loss_watermarks(),
        };
        tokio::task::spawn_local(task.run(stored.corrupt_files.clone(), received));
        Storage { requests }
    }

    /// Writes a record and waits until it is durable.
    ///
    /// # Errors
    /// After an error the record may or may not be on disk; the previously durable copy remains intact.
    ///
    /// # Cancel safety
    /// The write is executed even if the caller is cancelled.
    pub async fn save<T: Serialize>(&self, record: Record, value: &T) -> Result<(), StorageError> {
        self.begin_save(record, value)?.wait().await
    }

    /// Requests a write. Writes are executed in the order of the requests.
    ///
    /// # Errors
    /// Returns an error, and requests no write, if the record cannot be encoded or the storage task has ended.
    pub fn begin_save<T: Serialize>(&self, record: Record, value: &T) -> Result<PendingSave, StorageError> {
        let body = serde_json::to_vec(value)?;
        self.request(Operation::Write { record, body })
    }

    /// Syncs the files that were loaded at the start, and their directory. A process that was killed before syncing may have
    /// written them, in which case a power loss could still revert them.
    ///
    /// # Errors
    /// Returns an error if a file or the directory cannot be synced.
    pub async fn sync_loaded(&self) -> Result<(), StorageError> {
        self.request(Operation::SyncLoaded)?.wait().await
    }

    fn request(&self, operation: Operation) -> Result<PendingSave, StorageError> {
        let (reply, result) = oneshot::channel();
        self.requests.send(Request { operation, reply }).map_err(|_| StorageError::Stopped)?;
        Ok(PendingSave { result })
    }
}

/// A requested operation.
pub struct PendingSave {
    result: oneshot::Receiver<Result<(), StorageError>>,
}

impl PendingSave {
    /// Waits until the operation has been executed.
    ///
    /// # Errors
    /// Returns an error if it failed. The record may or may not be on disk then; the previously durable copy remains intact.
    ///
    /// # Cancel safety
    /// The operation is executed even if the caller is cancelled.
    pub async fn wait(self) -> Result<(), StorageError> {
        self.result.await.map_err(|_| StorageError::Stopped)?
    }
}

/// State of the storage task, which executes operations in the order of their requests.
struct StorageTask {
    directory: Rc<dyn Directory>,
    /// Number of the last successful write of each record.
    write_numbers: [u64; RECORDS.len()],
    /// Files whose directory entry this process has synced.
    files_with_synced_entry: BTreeSet<String>,
    /// Files that were loaded at the start and may not be durable yet.
    unsynced_files: Vec<String>,
    /// The watermarks that are known to be on disk.
    watermarks: SyncedMarks,
    /// Set if the disk has lost a record. These watermarks must be durable before any other write, so that a restart still
    /// detects the loss.
    loss_watermarks: Option<SyncedMarks>,
}

impl StorageTask {
    async fn run(mut self, corrupt_files: Vec<String>, mut requests: mpsc::UnboundedReceiver<Request>) {
        for from in corrupt_files {
            let to = format!("{from}.spoilt");
            let operations = vec![FileOperation::Rename { from, to }, FileOperation::SyncDirectory];
            // A failure is ignored: a later write overwrites the file.
            let _ = self.directory.execute(operations).await;
        }
        while let Some(Request { operation, reply }) = self.next_request(&mut requests).await {
            let result = self.execute(operation).await;
            // Sending fails only if the caller has stopped waiting.
            let _ = reply.send(result);
        }
    }

    /// Waits for the next request, and writes the watermarks while the storage is idle. Returns `None` once all handles have
    /// been dropped.
    async fn next_request(&mut self, requests: &mut mpsc::UnboundedReceiver<Request>) -> Option<Request> {
        let mut delay = WATERMARK_IDLE_DELAY;
        while self.loss_watermarks.is_none() && self.watermarks != self.current_watermarks() {
            // `recv` is cancel safe: no request is lost if the timeout expires.
            if let Ok(request) = timeout(delay, requests.recv()).await {
                return request;
            }
            if self.write_watermarks(self.current_watermarks()).await.is_err() {
                delay = WATERMARK_RETRY_INTERVAL;
            }
        }
        requests.recv().await
    }

    /// Returns the watermarks that cover all writes known to be durable.
    fn current_watermarks(&self) -> SyncedMarks {
        self.watermarks.max(SyncedMarks::from_write_numbers(self.write_numbers))
    }

    async fn execute(&mut self, operation: Operation) -> Result<(), StorageError> {
        match operation {
            Operation::SyncLoaded => Ok(self.sync_loaded_files().await?),
            Operation::Write { record, body } => {
                self.ensure_loaded_files_synced().await?;
                self.persist_loss().await?;
                Ok(self.write(record, &body).await?)
            }
        }
    }

    async fn sync_loaded_files(&mut self) -> io::Result<()> {
        let files = self.unsynced_files.iter().cloned();
        let mut operations: Vec<_> = files.map(|file| FileOperation::Sync { file }).collect();
        operations.push(FileOperation::SyncDirectory);
        self.directory.execute(operations).await?;
        self.unsynced_files.clear();
        Ok(())
    }

    /// Syncs the loaded files unless that has been done. A record must not be written, nor a watermark raised, while a power
    /// loss could still revert the loaded copy.
    async fn ensure_loaded_files_synced(&mut self) -> io::Result<()> {
        if self.unsynced_files.is_empty() { Ok(()) } else { self.sync_loaded_files().await }
    }

    /// If a record was lost, writes the watermarks that make the disk count as lost until both records have been rewritten.
    async fn persist_loss(&mut self) -> Result<(), StorageError> {
        if let Some(watermarks) = self.loss_watermarks {
            self.write_watermarks(watermarks).await.map_err(StorageError::LossNotPersisted)?;
            self.loss_watermarks = None;
        }
        Ok(())
    }

    async fn write_watermarks(&mut self, watermarks: SyncedMarks) -> io::Result<()> {
        self.ensure_loaded_files_synced().await?;
        let file = synced_marks::FILE_NAME.to_owned();
        let bytes = watermarks.encode()?;
        let is_new = !self.files_with_synced_entry.contains(&file);
        self.directory.execute(write_and_sync(file.clone(), bytes, is_new)).await?;
        self.files_with_synced_entry.insert(file);
        self.watermarks = watermarks;
        Ok(())
    }

    /// Writes a record. The write number advances only on success, so a retry overwrites the copy whose write failed and
    /// never the durable one.
    async fn write(&mut self, record: Record, body: &[u8]) -> io::Result<()> {
        let write_number = self.write_numbers[record as usize] + 1;
        let file_name = record.file_name(write_number);
        let entry_is_synced = self.files_with_synced_entry.contains(&file_name);
        let operations = write_operations(record, write_number, body, entry_is_synced);
        self.directory.execute(operations).await?;
        self.write_numbers[record as usize] = write_number;
        self.files_with_synced_entry.insert(file_name);
        Ok(())
    }
}

/// Returns the operations that write and sync one copy. The directory entry of a new file becomes durable only when the
/// directory is synced.
fn write_operations(
    record: Record,
    write_number: u64,
    body: &[u8],
    entry_is_synced: bool,
) -> Vec<FileOperation> {
    write_and_sync(record.file_name(write_number), encode_copy(write_number, body), !entry_is_synced)
}

fn write_and_sync(file: String, bytes: Vec<u8>, entry_is_new: bool) -> Vec<FileOperation> {
    let mut operations =
        vec![FileOperation::Write { file: file.clone(), bytes }, FileOperation::Sync { file }];
    if entry_is_new {
        operations.push(FileOperation::SyncDirectory);
    }
    operations
}

#[cfg(test)]
mod tests;
