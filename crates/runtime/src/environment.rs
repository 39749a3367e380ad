//! What a program finds where it runs: the network, a directory for its data, a clock and randomness.
//!
//! On a machine these are the operating system's. A simulator implements [`Network`] and [`Directory`]
//! itself, so that the same programs run on simulated networks, clocks and disks.

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

/// A future on the heap; programs are single-threaded, so it need not be `Send`.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;

/// A stream of bytes in both directions.
pub trait ByteStream: AsyncRead + AsyncWrite + Unpin {}

impl<T: AsyncRead + AsyncWrite + Unpin> ByteStream for T {}

/// A connection.
pub type Stream = Box<dyn ByteStream>;

/// Where connections of clients arrive.
pub trait Listener {
    /// Waits for the next connection.
    ///
    /// # Errors
    ///
    /// Where the network refuses; the listener can be used further.
    ///
    /// # Cancel safety
    ///
    /// A connection is not lost where the future is dropped before it is ready.
    fn accept(&mut self) -> BoxFuture<'_, io::Result<Stream>>;
}

/// A network, as a process on one machine sees it.
pub trait Network {
    /// Opens a connection. There is no deadline; the caller sets one.
    ///
    /// # Errors
    ///
    /// Where the other side cannot be reached or refuses.
    fn connect(&self, to: SocketAddr) -> BoxFuture<'static, io::Result<Stream>>;

    /// Listens at an address of the machine.
    ///
    /// # Errors
    ///
    /// Where the address is in use or not the machine's.
    fn listen(&self, at: SocketAddr) -> io::Result<Box<dyn Listener>>;

    /// A number that differs each time, from all others of its kind on this network.
    fn unique_id(&self) -> u64;
}

/// One operation on a [`Directory`]. File names have no path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FileOperation {
    /// Replaces a file's content. It is durable after `Sync` of that file.
    Write {
        /// The file's name.
        file: String,
        /// Its whole new content.
        bytes: Vec<u8>,
    },
    /// Makes a file's content durable.
    Sync {
        /// The file's name.
        file: String,
    },
    /// Renames a file, replacing one that has the new name. It is durable after `SyncDirectory`.
    Rename {
        /// The old name.
        from: String,
        /// The new name.
        to: String,
    },
    /// Makes renames durable.
    SyncDirectory,
}

/// The directory for data that outlasts the process.
pub trait Directory {
    /// All files by name; for the start, as it blocks.
    ///
    /// # Errors
    ///
    /// Where the disk cannot be read.
    fn read_all(&self) -> io::Result<BTreeMap<String, Vec<u8>>>;

    /// Executes the operations in their order, up to the first that fails.
    ///
    /// # Errors
    ///
    /// That of the operation that failed; those before it have been executed.
    ///
    /// # Cancel safety
    ///
    /// Operations are executed also where the future is dropped.
    fn execute(&self, operations: Vec<FileOperation>) -> BoxFuture<'static, io::Result<()>>;
}

/// Network, directory, clock and randomness of one process.
#[derive(Clone)]
pub struct Environment {
    /// The network, as seen from the process' machine.
    pub network: Rc<dyn Network>,
    /// None where the machine has no disk.
    pub directory: Option<Rc<dyn Directory>>,
    random: Rc<RefCell<SmallRng>>,
    clock_rate: f64,
}

impl Environment {
    /// One with that network and directory, whose random numbers are determined by the seed.
    pub fn new(network: Rc<dyn Network>, directory: Option<Rc<dyn Directory>>, seed: u64) -> Environment {
        let random = Rc::new(RefCell::new(SmallRng::seed_from_u64(seed)));
        Environment { network, directory, random, clock_rate: 1.0 }
    }

    /// The same with a clock that runs fast (above 1) or slow (below 1).
    pub fn with_clock_rate(self, clock_rate: f64) -> Environment {
        Environment { clock_rate, ..self }
    }

    /// The same on another network.
    pub fn with_network(self, network: Rc<dyn Network>) -> Environment {
        Environment { network, ..self }
    }

    /// That of the machine, with a data directory, which is created where it does not exist.
    ///
    /// # Errors
    ///
    /// Where the directory cannot be created.
    pub fn of_machine(data_directory: Option<PathBuf>) -> io::Result<Environment> {
        let directory = match data_directory {
            Some(path) => Some(Rc::new(disk::DiskDirectory::open(path)?) as Rc<dyn Directory>),
            None => None,
        };
        Ok(Environment::new(Rc::new(tcp::TcpNetwork), directory, rand::random()))
    }

    /// Starts a clock for the process.
    pub fn clock(&self) -> MonotonicClock {
        MonotonicClock::with_rate(self.clock_rate)
    }

    /// A random number below `end`; 0 where that is 0.
    pub fn random_below(&self, end: u64) -> u64 {
        self.random.borrow_mut().random_range(0..end.max(1))
    }

    /// A random number that identifies one incarnation of a process.
    pub fn random_incarnation(&self) -> u64 {
        self.random_below(u64::MAX >> 1)
    }

    /// Puts the items into a random order.
    pub fn shuffle<T>(&self, items: &mut [T]) {
        for last in (1..items.len()).rev() {
            items.swap(last, self.random_below(last as u64 + 1) as usize);
        }
    }
}
