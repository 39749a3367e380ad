//! What this machine has on disk: each record in two files that are written in turn, so that one whole copy stands
//! whatever happens to the other.

use serde::Serialize;
use serde::de::DeserializeOwned;
use std::collections::BTreeSet;
use std::io;
use std::rc::Rc;
use tokio::sync::{mpsc, oneshot};
use vanewharf_runtime::environment::{Directory, FileOperation};

/// A record by its name on disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Record {
    /// The newest ballot promised, and the set of voters.
    Promise,
    /// The operator's register.
    Register,
}

const RECORDS: [Record; 2] = [Record::Promise, Record::Register];

impl Record {
    fn file(self, copy: u64) -> String {
        let name = match self {
            Record::Promise => "promise",
            Record::Register => "register",
        };
        format!("{name}-{copy}.json")
    }
}

enum Work {
    /// What was found is to last, with the files' names.
    Confirm,
    Write {
        record: Record,
        body: Vec<u8>,
    },
}

struct Job {
    work: Work,
    done: oneshot::Sender<io::Result<()>>,
}

#[derive(Clone)]
pub struct Storage {
    jobs: mpsc::UnboundedSender<Job>,
}

/// What was found at the start.
#[derive(Debug, Default)]
pub struct StoredRecords {
    bodies: [Option<Vec<u8>>; RECORDS.len()],
    /// Copies that were torn or spoilt, to be set aside.
    pub spoilt: Vec<String>,
    writes: [u64; RECORDS.len()],
}

impl StoredRecords {
    pub fn record<T: DeserializeOwned>(&self, record: Record) -> Option<T> {
        serde_json::from_slice(self.bodies[record as usize].as_deref()?).ok()
    }

    pub fn nothing(&self) -> bool {
        self.bodies.iter().all(Option::is_none)
    }
}

/// The number of the write and the body, where the copy is whole.
fn whole(text: &[u8]) -> Option<(u64, &[u8])> {
    let head = text.iter().position(|&byte| byte == b'\n')?;
    let (head, body) = (std::str::from_utf8(&text[..head]).ok()?, &text[head + 1..]);
    let mut parts = head.split(' ');
    let (sum, write, length) = (parts.next()?, parts.next()?, parts.next()?);
    let sound = u32::from_str_radix(sum, 16).ok()? == checksum(write, body);
    (sound && length.parse() == Ok(body.len())).then_some((write.parse().ok()?, body))
}

fn checksum(write: &str, body: &[u8]) -> u32 {
    let mut sum = crc32fast::Hasher::new();
    sum.update(write.as_bytes());
    sum.update(body);
    sum.finalize()
}

pub fn find(folder: &dyn Directory) -> io::Result<StoredRecords> {
    let (mut found, mut files) = (StoredRecords::default(), folder.read_all()?);
    for record in RECORDS {
        for copy in 0..2 {
            let name = record.file(copy);
            let Some(text) = files.remove(&name) else {
                continue;
            };
            match whole(&text) {
                Some((write, body)) if write >= found.writes[record as usize] => {
                    found.writes[record as usize] = write;
                    found.bodies[record as usize] = Some(body.to_vec());
                }
                Some(_) => {}
                // An empty one was begun and never written.
                None if text.is_empty() => {}
                None => found.spoilt.push(name),
            }
        }
    }
    Ok(found)
}

/// One copy, and not before it is on disk for good; a new file's name, too, which lasts with its folder's sync alone.
fn copy(record: Record, write: u64, body: &[u8], named: bool) -> Vec<FileOperation> {
    let (file, number) = (record.file(write % 2), write.to_string());
    let head = format!("{:08x} {number} {}\n", checksum(&number, body), body.len());
    let bytes = [head.as_bytes(), body].concat();
    let folder = (!named).then_some(FileOperation::SyncDirectory);
    [FileOperation::Write { file: file.clone(), bytes }, FileOperation::Sync { file }]
        .into_iter()
        .chain(folder)
        .collect()
}

impl Storage {
    pub fn start(folder: Rc<dyn Directory>, found: &StoredRecords) -> Storage {
        let (jobs, mut taken) = mpsc::unbounded_channel::<Job>();
        let mut writes = found.writes;
        let aside: Vec<_> =
            found.spoilt.iter().map(|name| (name.clone(), format!("{name}.spoilt"))).collect();
        tokio::task::spawn_local(async move {
            for (from, to) in aside {
                // Left where it is, it is written over in its turn.
                let _ = folder
                    .execute(vec![FileOperation::Rename { from, to }, FileOperation::SyncDirectory])
                    .await;
            }
            // Whose names are in the folder for good.
            let mut named = BTreeSet::new();
            while let Some(Job { work, done }) = taken.recv().await {
                let carried_out = match work {
                    Work::Confirm => folder.execute(vec![FileOperation::SyncDirectory]).await,
                    Work::Write { record, body } => {
                        // A write that failed is tried over the same copy, never over the one that stands.
                        let next = writes[record as usize] + 1;
                        let file = record.file(next % 2);
                        let deeds = copy(record, next, &body, named.contains(&file));
                        let written = folder.execute(deeds).await;
                        if written.is_ok() {
                            writes[record as usize] = next;
                            named.insert(file);
                        }
                        written
                    }
                };
                // Whoever gave up waiting asks again.
                let _ = done.send(carried_out);
            }
        });
        Storage { jobs }
    }

    /// Whether it is on disk for good.
    pub async fn save<T: Serialize>(&self, record: Record, what: &T) -> io::Result<()> {
        let body = serde_json::to_vec(what).map_err(io::Error::other)?;
        self.carried_out(Work::Write { record, body }).await
    }

    /// Whether what was found at the start lasts: the program may have ended between a file's sync and its folder's.
    pub async fn confirm(&self) -> io::Result<()> {
        self.carried_out(Work::Confirm).await
    }

    async fn carried_out(&self, work: Work) -> io::Result<()> {
        let (done, saved) = oneshot::channel();
        let gone = || io::Error::other("nothing is written any more");
        self.jobs.send(Job { work, done }).map_err(|_| gone())?;
        saved.await.map_err(|_| gone())?
    }
}

#[cfg(test)]
mod tests;
