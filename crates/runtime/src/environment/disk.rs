//! A data directory in the machine's file system. File operations block, so a dedicated thread executes them.

use super::{BoxFuture, Directory, FileOperation};
use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::mpsc;
use std::thread;
use tokio::sync::oneshot;

const THREAD_NAME: &str = "disk";
const THREAD_STACK_BYTES: usize = 256 << 10;

/// A batch of operations for the disk thread, and the channel for its result.
struct Job {
    operations: Vec<FileOperation>,
    result: oneshot::Sender<io::Result<()>>,
}

pub(super) struct DiskDirectory {
    path: PathBuf,
    /// The queue of the disk thread. The thread ends when the sender is dropped.
    jobs: mpsc::Sender<Job>,
}

impl DiskDirectory {
    /// Creates the directory if it does not exist, and starts the disk thread.
    pub(super) fn open(path: PathBuf) -> io::Result<DiskDirectory> {
        fs::create_dir_all(&path)?;
        let (jobs, received) = mpsc::channel::<Job>();
        let thread_path = path.clone();
        let thread = thread::Builder::new().name(THREAD_NAME.to_owned()).stack_size(THREAD_STACK_BYTES);
        thread.spawn(move || {
            while let Ok(Job { operations, result }) = received.recv() {
                let _ = result.send(execute_all(&thread_path, &operations));
            }
        })?;
        Ok(DiskDirectory { path, jobs })
    }
}

/// The file that was written last. It is kept open so that a following sync does not have to open it again.
struct WrittenFile {
    name: String,
    file: File,
}

fn execute_all(directory: &Path, operations: &[FileOperation]) -> io::Result<()> {
    let mut written = None;
    operations.iter().try_for_each(|operation| execute_one(directory, operation, &mut written))
}

fn execute_one(
    directory: &Path,
    operation: &FileOperation,
    written: &mut Option<WrittenFile>,
) -> io::Result<()> {
    match operation {
        FileOperation::Write { file: name, bytes } => {
            let path = directory.join(name);
            let mut file = OpenOptions::new().write(true).create(true).truncate(true).open(path)?;
            file.write_all(bytes)?;
            *written = Some(WrittenFile { name: name.clone(), file });
            Ok(())
        }
        FileOperation::Sync { file: name } => match written.take().filter(|written| written.name == *name) {
            Some(written) => written.file.sync_all(),
            None => File::open(directory.join(name))?.sync_all(),
        },
        FileOperation::Rename { from, to } => fs::rename(directory.join(from), directory.join(to)),
        FileOperation::SyncDirectory => File::open(directory)?.sync_all(),
    }
}

fn thread_ended() -> io::Error {
    io::Error::other("the disk thread has terminated")
}

impl Directory for DiskDirectory {
    fn read_all(&self) -> io::Result<BTreeMap<String, Vec<u8>>> {
        let mut files = BTreeMap::new();
        for entry in fs::read_dir(&self.path)? {
            let entry = entry?;
            if entry.file_type()?.is_file() {
                files.insert(entry.file_name().to_string_lossy().into_owned(), fs::read(entry.path())?);
            }
        }
        Ok(files)
    }

    fn execute(&self, operations: Vec<FileOperation>) -> BoxFuture<'static, io::Result<()>> {
        let (result, received) = oneshot::channel();
        let sent = self.jobs.send(Job { operations, result });
        Box::pin(async move {
            sent.map_err(|_| thread_ended())?;
            received.await.map_err(|_| thread_ended())?
        })
    }
}
