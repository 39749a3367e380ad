//! The environment of a program: the network, the data directory, the clock and random numbers.
//!
//! In production, the operating system provides them. A simulator implements [`Network`] and [`Directory`] itself, so
//! that the same programs run on simulated networks, clocks and disks.

mod disk;
mod tcp;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::pin::Pin;
use std::rc::Rc;
use tokio::io::{AsyncRead, AsyncWrite};
use vanewharf_clock::MonotonicClock;

/// A boxed future. Programs are single-threaded, so it does not have to be `Send`.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;

/// A bidirectional stream of bytes.
pub trait ByteStream: AsyncRead + AsyncWrite + Unpin {}

impl<T: AsyncRead + AsyncWrite + Unpin> ByteStream for T {}

/// A network connection.
pub type Stream = Box<dyn ByteStream>;

/// A socket that accepts connections.
pub trait Listener {
    /// Waits for the next connection.
    ///
    /// # Errors
    ///
    /// If the network reports an error. The listener can still be used afterwards.
    ///
    /// # Cancel safety
    ///
    /// No connection is lost if the future is dropped before it completes.
    fn accept(&mut self) -> BoxFuture<'_, io::Result<Stream>>;
}

/// The network as seen from one machine.
pub trait Network {
    /// Opens a connection. There is no timeout; callers set their own.
    ///
    /// # Errors
    ///
    /// If the address cannot be reached or refuses the connection.
    fn connect(&self, to: SocketAddr) -> BoxFuture<'static, io::Result<Stream>>;

    /// Listens on an address of the machine.
    ///
    /// # Errors
    ///
    /// If the address is in use or does not belong to the machine.
    fn listen(&self, at: SocketAddr) -> io::Result<Box<dyn Listener>>;

    /// Returns a number that is unique among all numbers that this network has returned.
    fn unique_id(&self) -> u64;
}

/// One operation on a [`Directory`]. File names do not contain paths.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FileOperation {
    /// Replaces the content of a file. The new content is durable after a `Sync` of the file.
    Write {
        /// The name of the file.
        file: String,
        /// The complete new content.
        bytes: Vec<u8>,
    },
    /// Makes the content of a file durable.
    Sync {
        /// The name of the file.
        file: String,
    },
    /// Renames a file, replacing any file with the new name. The rename is durable after `SyncDirectory`.
    Rename {
        /// The old name.
        from: String,
        /// The new name.
        to: String,
    },
    /// Makes renames durable.
    SyncDirectory,
}

/// A directory for data that must survive restarts of the process.
pub trait Directory {
    /// Reads all files and returns their contents by name. Blocks the thread, so it must only be used during start-up.
    ///
    /// # Errors
    ///
    /// If the disk cannot be read.
    fn read_all(&self) -> io::Result<BTreeMap<String, Vec<u8>>>;

    /// Executes the operations in order and stops at the first that fails.
    ///
    /// # Errors
    ///
    /// The error of the operation that failed. The operations before it have been executed.
    ///
    /// # Cancel safety
    ///
    /// The operations are executed even if the future is dropped.
    fn execute(&self, operations: Vec<FileOperation>) -> BoxFuture<'static, io::Result<()>>;
}

/// The network, data directory, clock and random numbers of one process.
#[derive(Clone)]
pub struct Environment {
    /// The network as seen from the machine of the process.
    pub network: Rc<dyn Network>,
    /// The data directory; `None` if the machine has no disk.
    pub directory: Option<Rc<dyn Directory>>,
    random: Rc<RefCell<SmallRng>>,
    clock_rate: f64,
}

impl Environment {
    /// Creates an environment whose random numbers are determined by `seed`.
    pub fn new(network: Rc<dyn Network>, directory: Option<Rc<dyn Directory>>, seed: u64) -> Environment {
        let random = Rc::new(RefCell::new(SmallRng::seed_from_u64(seed)));
        Environment { network, directory, random, clock_rate: 1.0 }
    }

    /// Returns the environment with a clock that advances faster (above 1) or slower (below 1) than real time.
    pub fn with_clock_rate(self, clock_rate: f64) -> Environment {
        Environment { clock_rate, ..self }
    }

    /// Returns the environment with another network.
    pub fn with_network(self, network: Rc<dyn Network>) -> Environment {
        Environment { network, ..self }
    }

    /// Creates the environment that the operating system provides. The data directory is created if it does not exist.
    ///
    /// # Errors
    ///
    /// If the data directory cannot be created.
    pub fn of_machine(data_directory: Option<PathBuf>) -> io::Result<Environment> {
        let directory = match data_directory {
            Some(path) => Some(Rc::new(disk::DiskDirectory::open(path)?) as Rc<dyn Directory>),
            None => None,
        };
        Ok(Environment::new(Rc::new(tcp::TcpNetwork), directory, rand::random()))
    }

    /// Starts a monotonic clock.
    pub fn clock(&self) -> MonotonicClock {
        MonotonicClock::with_rate(self.clock_rate)
    }

    /// Returns a random number below `end`, or 0 if `end` is 0.
    pub fn random_below(&self, end: u64) -> u64 {
        self.random.borrow_mut().random_range(0..end.max(1))
    }

    /// Returns a random number that identifies one incarnation of a process.
    pub fn random_incarnation(&self) -> u64 {
        self.random_below(u64::MAX >> 1)
    }

    /// Shuffles the items.
    pub fn shuffle<T>(&self, items: &mut [T]) {
        for last in (1..items.len()).rev() {
            items.swap(last, self.random_below(last as u64 + 1) as usize);
        }
    }
}
