//! What a program finds where it runs: the network, a disk and chance. On a machine these are the system's own; the lab
//! stands in for all three, so that the same programs run there on a network, a clock and disks that it makes up.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::future::Future;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::pin::Pin;
use std::rc::Rc;
use std::sync::mpsc;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::oneshot;
use vanewharf_clock::MonotonicClock;

pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;

pub trait Wire: AsyncRead + AsyncWrite + Unpin {}

impl<T: AsyncRead + AsyncWrite + Unpin> Wire for T {}

pub type Stream = Box<dyn Wire>;

/// Where callers come in.
pub trait Listener {
    fn accept(&mut self) -> BoxFuture<'_, io::Result<Stream>>;
}

pub trait Network {
    fn connect(&self, to: SocketAddr) -> BoxFuture<'static, io::Result<Stream>>;

    fn listen(&self, at: SocketAddr) -> io::Result<Box<dyn Listener>>;

    /// Another number each time, for what must be told apart from all others of its kind on this network.
    fn unique_id(&self) -> u64;
}

/// One thing done to a disk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FileOperation {
    /// The file's whole content, in place of what it held; it lasts with its sync.
    Write {
        file: String,
        bytes: Vec<u8>,
    },
    Sync {
        file: String,
    },
    /// Out of the way; it lasts when the folder is synced.
    Rename {
        from: String,
        to: String,
    },
    SyncDirectory,
}

/// The folder for what is to outlast the process; none of its files has another one's name.
pub trait Directory {
    /// All files, at the start.
    fn read_all(&self) -> io::Result<BTreeMap<String, Vec<u8>>>;

    /// In this order, and no further than the first that fails.
    fn execute(&self, operations: Vec<FileOperation>) -> BoxFuture<'static, io::Result<()>>;
}

/// All of it, for one process.
#[derive(Clone)]
pub struct Environment {
    pub network: Rc<dyn Network>,
    /// None where the machine has no disk.
    pub directory: Option<Rc<dyn Directory>>,
    chance: Rc<RefCell<SmallRng>>,
    /// How fast its steady clock runs.
    rate: f64,
}

impl Environment {
    pub fn new(network: Rc<dyn Network>, directory: Option<Rc<dyn Directory>>, seed: u64) -> Environment {
        Environment {
            network,
            directory,
            chance: Rc::new(RefCell::new(SmallRng::seed_from_u64(seed))),
            rate: 1.0,
        }
    }

    /// The same with a steady clock that is fast or slow.
    pub fn with_clock_rate(self, rate: f64) -> Environment {
        Environment { rate, ..self }
    }

    /// The process' clock, from now on.
    pub fn clock(&self) -> MonotonicClock {
        MonotonicClock::with_rate(self.rate)
    }

    /// The machine's own.
    pub fn of_machine(data: Option<PathBuf>) -> io::Result<Environment> {
        let folder =
            data.map(|dir| Files::at(dir).map(|files| Rc::new(files) as Rc<dyn Directory>)).transpose()?;
        Ok(Environment::new(Rc::new(Tcp), folder, rand::random()))
    }

    /// A whole number below `end`.
    pub fn random_below(&self, end: u64) -> u64 {
        self.chance.borrow_mut().random_range(0..end.max(1))
    }

    /// What tells one life of a process from the others.
    pub fn random_incarnation(&self) -> u64 {
        self.random_below(u64::MAX >> 1)
    }

    pub fn shuffle<T>(&self, of: &mut [T]) {
        for last in (1..of.len()).rev() {
            of.swap(last, self.random_below(last as u64 + 1) as usize);
        }
    }
}

struct Tcp;

const BACKLOG: u32 = 512;

impl Network for Tcp {
    fn connect(&self, to: SocketAddr) -> BoxFuture<'static, io::Result<Stream>> {
        Box::pin(async move {
            let stream = TcpStream::connect(to).await?;
            let _ = stream.set_nodelay(true);
            Ok(Box::new(stream) as Stream)
        })
    }

    fn listen(&self, at: SocketAddr) -> io::Result<Box<dyn Listener>> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(at)?;
        Ok(Box::new(socket.listen(BACKLOG)?))
    }

    fn unique_id(&self) -> u64 {
        rand::random()
    }
}

impl Listener for TcpListener {
    fn accept(&mut self) -> BoxFuture<'_, io::Result<Stream>> {
        Box::pin(async move {
            let (stream, _) = TcpListener::accept(self).await?;
            let _ = stream.set_nodelay(true);
            Ok(Box::new(stream) as Stream)
        })
    }
}

type Job = (Vec<FileOperation>, oneshot::Sender<io::Result<()>>);

/// Plain files; a thread of their own waits for the disk.
struct Files {
    dir: PathBuf,
    jobs: mpsc::Sender<Job>,
}

impl Files {
    fn at(dir: PathBuf) -> io::Result<Files> {
        fs::create_dir_all(&dir)?;
        let (jobs, taken) = mpsc::channel::<Job>();
        let there = dir.clone();
        std::thread::Builder::new().name("disk".to_owned()).stack_size(256 << 10).spawn(move || {
            let mut open = None;
            while let Ok((operations, done)) = taken.recv() {
                let _ = done
                    .send(operations.iter().try_for_each(|operation| do_it(&there, operation, &mut open)));
                open = None;
            }
        })?;
        Ok(Files { dir, jobs })
    }
}

/// What was written last is synced where it is open.
fn do_it(dir: &Path, operation: &FileOperation, open: &mut Option<(String, File)>) -> io::Result<()> {
    match operation {
        FileOperation::Write { file: name, bytes } => {
            let mut file = OpenOptions::new().write(true).create(true).truncate(true).open(dir.join(name))?;
            file.write_all(bytes)?;
            *open = Some((name.clone(), file));
            Ok(())
        }
        FileOperation::Sync { file } => match open.take().filter(|(name, _)| name == file) {
            Some((_, written)) => written.sync_all(),
            None => File::open(dir.join(file))?.sync_all(),
        },
        FileOperation::Rename { from, to } => fs::rename(dir.join(from), dir.join(to)),
        FileOperation::SyncDirectory => File::open(dir)?.sync_all(),
    }
}

impl Directory for Files {
    fn read_all(&self) -> io::Result<BTreeMap<String, Vec<u8>>> {
        let mut files = BTreeMap::new();
        for entry in fs::read_dir(&self.dir)? {
            let entry = entry?;
            if entry.file_type()?.is_file() {
                files.insert(entry.file_name().to_string_lossy().into_owned(), fs::read(entry.path())?);
            }
        }
        Ok(files)
    }

    fn execute(&self, operations: Vec<FileOperation>) -> BoxFuture<'static, io::Result<()>> {
        let (done, told) = oneshot::channel();
        let taken = self.jobs.send((operations, done));
        let gone = || io::Error::other("the disk's thread has ended");
        Box::pin(async move {
            taken.map_err(|_| gone())?;
            told.await.map_err(|_| gone())?
        })
    }
}
