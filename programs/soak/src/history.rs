//! What clients and operators saw in a run, and what was done to the processes.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// How a client's request ended.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientOutcome {
    /// No connection, or not all of the request was sent.
    NotSent,
    /// A complete answer.
    Answered {
        /// Its status.
        status: u16,
        /// Its `Attempt-Id`.
        attempt: Option<String>,
    },
    /// The connection ended, or nothing came for seconds.
    Unanswered,
}

/// A request of a client.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// Its `Attempt-Id`.
    pub attempt: String,
    /// Whether it must not run twice.
    pub mutating: bool,
    /// The machine of the proxy that it was sent to.
    pub machine: usize,
    /// When it was sent.
    pub sent: Instant,
    /// When its outcome was known.
    pub completed: Instant,
    /// How it ended.
    pub outcome: ClientOutcome,
}

/// A configuration that an operator has sent, until its outcome was clear.
#[derive(Clone, Copy, Debug)]
pub struct Order {
    /// The configuration's number.
    pub revision: u64,
    /// When it was acknowledged.
    pub acknowledged: Option<Instant>,
    /// The status by which it was refused.
    pub refused: Option<u16>,
}

/// A configuration that was read.
#[derive(Clone, Copy, Debug)]
pub struct ConfigurationRead {
    /// When the read was sent.
    pub sent: Instant,
    /// The configuration's number.
    pub revision: u64,
}

/// A machine whose programs were killed.
#[derive(Clone, Copy, Debug)]
pub struct Kill {
    /// The machine.
    pub machine: usize,
    /// When.
    pub at: Instant,
}

/// All that was seen.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// In the order in which they ended.
    pub requests: Vec<ClientRequest>,
    /// Configurations.
    pub orders: Vec<Order>,
    /// Successful reads.
    pub reads: Vec<ConfigurationRead>,
    /// SIGKILLs.
    pub kills: Vec<Kill>,
    /// What processes did that they must not: how they ended, and lines of their logs.
    pub complaints: Vec<String>,
}

/// A history that threads add to. Clones share it.
#[derive(Clone, Default)]
pub struct SharedHistory(Arc<Mutex<History>>);

impl SharedHistory {
    /// The history. The guard must not be held for long.
    pub fn lock(&self) -> MutexGuard<'_, History> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
