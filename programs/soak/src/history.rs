//! The history of a run: outcomes observed by clients and operators, kills, and violations by processes.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// How a client's request ended.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientOutcome {
    /// The connection could not be established, or the request could not be sent completely.
    NotSent,
    /// A complete response was received.
    Answered {
        /// The status of the response.
        status: u16,
        /// The `Attempt-Id` of the response.
        attempt: Option<String>,
    },
    /// The request was sent, but the connection ended or timed out before a complete response.
    Unanswered,
}

/// A request of a client and its outcome.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// The `Attempt-Id` of the request.
    pub attempt: String,
    /// Whether the request is mutating and must not be executed twice.
    pub mutating: bool,
    /// The number of the machine whose proxy received the request.
    pub machine: usize,
    /// Time at which the client started to send it.
    pub sent: Instant,
    /// Time at which the outcome was known.
    pub completed: Instant,
    /// The outcome.
    pub outcome: ClientOutcome,
}

/// A configuration that an operator sent until its outcome was definite or the run ended.
#[derive(Clone, Copy, Debug)]
pub struct ConfigurationReplacement {
    /// The revision of the configuration.
    pub revision: u64,
    /// Time of the acknowledgement, if there was one.
    pub acknowledged: Option<Instant>,
    /// The status of the rejection, if there was one.
    pub rejected: Option<u16>,
}

/// A successful read of the configuration.
#[derive(Clone, Copy, Debug)]
pub struct ConfigurationRead {
    /// Time at which the read was sent.
    pub sent: Instant,
    /// The revision that was read.
    pub revision: u64,
}

/// A kill of all programs of a machine.
#[derive(Clone, Copy, Debug)]
pub struct Kill {
    /// The number of the machine.
    pub machine: usize,
    /// Time at which the kill was recorded.
    pub at: Instant,
}

/// Everything recorded in a run.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Requests of clients, in the order of completion.
    pub requests: Vec<ClientRequest>,
    /// Configurations sent by operators.
    pub replacements: Vec<ConfigurationReplacement>,
    /// Successful reads of the configuration.
    pub reads: Vec<ConfigurationRead>,
    /// Kills by SIGKILL.
    pub kills: Vec<Kill>,
    /// Violations by processes: unexpected exits, and log lines that report violations.
    pub process_violations: Vec<String>,
}

/// A history that several threads append to. Clones share it.
#[derive(Clone, Default)]
pub struct SharedHistory(Arc<Mutex<History>>);

impl SharedHistory {
    /// Locks the history. Other threads wait while the guard is held.
    pub fn lock(&self) -> MutexGuard<'_, History> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
