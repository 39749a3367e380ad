//! Durable storage of a controller's records.
//!
//! Each record has two files, and writes alternate between them: a write that is torn by a loss of power, or that fails,
//! leaves the other copy as it was. One task owns the write counters and carries out one operation at a time, so a file is
//! never written by two operations at once.
//!
//! Invariant: a save is acknowledged only once the copy, and the directory entry that names it, have been synced.

mod record_file;

use record_file::{encode_copy, read_copy};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::collections::BTreeSet;
use std::io;
use std::rc::Rc;
use thiserror::Error;
use tokio::sync::{mpsc, oneshot};
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
    /// The task that writes records has ended, as it does with the program.
    #[error("the storage task has ended")]
    Stopped,
}

/// The records that were found on disk at the start.
#[derive(Debug, Default)]
pub struct StoredRecords {
    bodies: [Option<Vec<u8>>; RECORDS.len()],
    /// The number of the newest write of each record.
    write_numbers: [u64; RECORDS.len()],
    /// Files whose content is torn or corrupt; [`Storage::start`] renames them.
    pub corrupt_files: Vec<String>,
}

impl StoredRecords {
    /// Reads the newest intact copy of each record.
    ///
    /// # Errors
    /// Where the directory or one of its files cannot be read.
    pub fn load(directory: &dyn Directory) -> io::Result<StoredRecords> {
        let mut stored = StoredRecords::default();
        let mut files = directory.read_all()?;
        for record in RECORDS {
            for copy in 0..COPIES {
                let file_name = record.file_name(copy);
                if let Some(content) = files.remove(&file_name) {
                    stored.add_copy(record, file_name, &content);
                }
            }
        }
        Ok(stored)
    }

    fn add_copy(&mut self, record: Record, file_name: String, content: &[u8]) {
        let newest_write = &mut self.write_numbers[record as usize];
        match read_copy(content) {
            Some(copy) if copy.write_number >= *newest_write => {
                *newest_write = copy.write_number;
                self.bodies[record as usize] = Some(copy.body.to_vec());
            }
            Some(_) => {}
            // The file was created, and the power went before its content was written.
            None if content.is_empty() => {}
            None => self.corrupt_files.push(file_name),
        }
    }

    /// The record, or `None` where it was never written or cannot be decoded.
    pub fn decode<T: DeserializeOwned>(&self, record: Record) -> Option<T> {
        serde_json::from_slice(self.bodies[record as usize].as_deref()?).ok()
    }

    /// Whether no record was found.
    pub fn is_empty(&self) -> bool {
        self.bodies.iter().all(Option::is_none)
    }
}

enum Operation {
    SyncDirectory,
    Write { record: Record, body: Vec<u8> },
}

struct Request {
    operation: Operation,
    reply: oneshot::Sender<io::Result<()>>,
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
        let writer = Writer { directory, write_numbers: stored.write_numbers, synced_names: BTreeSet::new() };
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

    /// Syncs the directory: what was read at the start may have been written by a process that ended between the sync of
    /// a file and the sync of its directory.
    ///
    /// # Errors
    /// Where the directory cannot be synced.
    pub async fn sync_directory(&self) -> Result<(), StorageError> {
        self.request(Operation::SyncDirectory)?.wait().await
    }

    fn request(&self, operation: Operation) -> Result<PendingSave, StorageError> {
        let (reply, result) = oneshot::channel();
        self.requests.send(Request { operation, reply }).map_err(|_| StorageError::Stopped)?;
        Ok(PendingSave { result })
    }
}

/// An operation that was requested.
pub struct PendingSave {
    result: oneshot::Receiver<io::Result<()>>,
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
        Ok(self.result.await.map_err(|_| StorageError::Stopped)??)
    }
}

/// Owns the write counters and carries out operations in the order in which they are requested.
struct Writer {
    directory: Rc<dyn Directory>,
    write_numbers: [u64; RECORDS.len()],
    /// Files whose directory entry this process has synced.
    synced_names: BTreeSet<String>,
}

impl Writer {
    async fn run(mut self, corrupt_files: Vec<String>, mut requests: mpsc::UnboundedReceiver<Request>) {
        for from in corrupt_files {
            let to = format!("{from}.spoilt");
            let operations = vec![FileOperation::Rename { from, to }, FileOperation::SyncDirectory];
            // Where this fails, the file is overwritten by a later write.
            let _ = self.directory.execute(operations).await;
        }
        while let Some(Request { operation, reply }) = requests.recv().await {
            let result = match operation {
                Operation::SyncDirectory => self.directory.execute(vec![FileOperation::SyncDirectory]).await,
                Operation::Write { record, body } => self.write(record, &body).await,
            };
            // A caller that has stopped waiting needs no result.
            let _ = reply.send(result);
        }
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
    let file = record.file_name(write_number);
    let bytes = encode_copy(write_number, body);
    let mut operations =
        vec![FileOperation::Write { file: file.clone(), bytes }, FileOperation::Sync { file }];
    if !name_is_synced {
        operations.push(FileOperation::SyncDirectory);
    }
    operations
}

#[cfg(test)]
mod tests;
