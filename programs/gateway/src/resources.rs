//! Accounting of the process's sockets and buffer memory, their limits, and the shutdown state.
//!
//! Each open socket holds a [`SocketGuard`]; the totals here are the sums over all guards.

use crate::counters::{Counter, Counters, Invariant};
use std::cell::Cell;
use std::fmt;
use std::rc::Rc;
use tokio::sync::Notify;

/// The size up to which a connection's buffers are kept while it is idle, and up to which an incomplete request is kept
/// when memory is short.
pub const SMALL_BUFFER_BYTES: usize = 16 * 1024;

/// The maximum number of requests that are sent to their end after their reply was received, so that backends which never
/// read on occupy few sockets and little memory.
const MAX_UNFINISHED_REQUESTS: usize = 128;
/// File descriptors reserved for the runtime and the log.
const RESERVED_DESCRIPTORS: usize = 16;
const MIN_USABLE_SOCKETS: usize = 8;
const MIN_MEMORY_MB: usize = 8;
const BYTES_PER_MB: usize = 1 << 20;

/// The limits on the process's sockets and buffer memory, less a reserve.
#[derive(Clone, Copy, Debug)]
pub struct ResourceLimits {
    /// File descriptors of any kind.
    max_descriptors: usize,
    /// Number of sockets from which no connection to a backend is opened.
    dial_sockets: usize,
    /// Number of sockets from which idle connections are closed.
    close_idle_sockets: usize,
    /// Number of sockets from which no client is accepted.
    pause_accept_sockets: usize,
    /// Memory for connections' buffers, in bytes.
    buffer_bytes: usize,
}

impl ResourceLimits {
    /// Derives the limits from the number of file descriptors and the memory that the process may use. Some
    /// descriptors are reserved for the runtime, and some for connections to backends while clients use all of their
    /// share.
    pub fn within(descriptors: usize, memory_mb: usize) -> ResourceLimits {
        let usable = descriptors.saturating_sub(RESERVED_DESCRIPTORS).max(MIN_USABLE_SOCKETS);
        ResourceLimits {
            max_descriptors: descriptors,
            dial_sockets: usable,
            close_idle_sockets: usable * 3 / 4,
            pause_accept_sockets: usable * 7 / 8,
            buffer_bytes: memory_mb.max(MIN_MEMORY_MB).saturating_mul(BYTES_PER_MB) / 2,
        }
    }
}

/// The resources in use, and the process's counters.
pub struct Resources {
    counters: Counters,
    limits: ResourceLimits,
    sockets: Cell<usize>,
    buffer_bytes: Cell<usize>,
    clients: Cell<usize>,
    idle_clients: Cell<usize>,
    /// The number of requests that are still being sent although their reply was received.
    unfinished_requests: Cell<usize>,
    draining: Cell<bool>,
    /// Notified whenever a socket is closed.
    pub socket_closed: Notify,
    /// Notifies the client connection that has been idle longest, or all idle ones when draining begins.
    pub close_idle_client: Notify,
}

/// Counts a client connection as idle until dropped.
pub struct IdleClientGuard<'a>(&'a Cell<usize>);

impl Drop for IdleClientGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Counts a request as unfinished until dropped.
pub struct UnfinishedRequestGuard<'a>(&'a Resources);

impl Drop for UnfinishedRequestGuard<'_> {
    fn drop(&mut self) {
        let unfinished = &self.0.unfinished_requests;
        unfinished.set(unfinished.get() - 1);
        self.0.socket_closed.notify_waiters();
    }
}

impl Resources {
    /// Creates the accounting with nothing in use.
    pub fn new(limits: ResourceLimits) -> Resources {
        Resources {
            counters: Counters::default(),
            limits,
            sockets: Cell::new(0),
            buffer_bytes: Cell::new(0),
            clients: Cell::new(0),
            idle_clients: Cell::new(0),
            unfinished_requests: Cell::new(0),
            draining: Cell::new(false),
            socket_closed: Notify::new(),
            close_idle_client: Notify::new(),
        }
    }

    /// Counts one event.
    pub fn count(&self, counter: Counter) {
        self.counters.increment(counter);
    }

    /// The number of violations of any invariant since the start.
    pub fn violations(&self) -> u64 {
        self.counters.violations()
    }

    /// Counts and logs a violation of the invariant, unless it holds.
    ///
    /// # Panics
    ///
    /// In debug builds, if the invariant does not hold.
    pub fn check(&self, holds: bool, invariant: Invariant) {
        self.counters.check(holds, invariant);
    }

    /// Whether sockets or memory are so short that idle connections must be closed.
    pub fn should_close_idle(&self) -> bool {
        self.sockets.get() >= self.limits.close_idle_sockets || self.is_memory_short()
    }

    /// Whether sockets or memory are so short that accepting clients must pause.
    pub fn is_accept_paused(&self) -> bool {
        self.sockets.get() >= self.limits.pause_accept_sockets || self.is_memory_short()
    }

    /// Whether there is a socket left for a connection to a backend.
    pub fn can_dial(&self) -> bool {
        self.sockets.get() < self.limits.dial_sockets
    }

    /// Whether the buffers have reached their memory limit.
    pub fn is_memory_short(&self) -> bool {
        self.buffer_bytes.get() >= self.limits.buffer_bytes
    }

    /// Counts a client connection as idle until the guard is dropped.
    pub fn track_idle_client(&self) -> IdleClientGuard<'_> {
        self.idle_clients.set(self.idle_clients.get() + 1);
        IdleClientGuard(&self.idle_clients)
    }

    /// Counts a request that is still being sent although its reply was received, until the guard is dropped. Returns `None`
    /// if there are [`MAX_UNFINISHED_REQUESTS`] of them, or sockets or memory are short.
    pub fn try_track_unfinished_request(&self) -> Option<UnfinishedRequestGuard<'_>> {
        let unfinished = self.unfinished_requests.get();
        if unfinished >= MAX_UNFINISHED_REQUESTS || self.should_close_idle() {
            return None;
        }
        self.unfinished_requests.set(unfinished + 1);
        Some(UnfinishedRequestGuard(self))
    }

    /// Whether no client is connected and no request is still being sent.
    pub fn is_drained(&self) -> bool {
        self.clients.get() == 0 && self.unfinished_requests.get() == 0
    }

    /// Closes the client connection that has been idle longest; returns false if none is idle.
    pub fn close_longest_idle_client(&self) -> bool {
        let any_idle = self.idle_clients.get() > 0;
        if any_idle {
            self.close_idle_client.notify_one();
        }
        any_idle
    }

    /// Whether the process is shutting down; each client connection then closes after its next answer.
    pub fn is_draining(&self) -> bool {
        self.draining.get()
    }

    /// Marks the process as shutting down and notifies all idle client connections.
    pub fn begin_drain(&self) {
        self.draining.set(true);
        self.close_idle_client.notify_waiters();
    }
}

impl fmt::Display for Resources {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.counters.fmt(f)?;
        let (sockets, bytes, clients) = (self.sockets.get(), self.buffer_bytes.get(), self.clients.get());
        write!(f, "sockets={sockets} clients={clients} bytes={bytes}")
    }
}

/// Which side of the gateway a socket is on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SocketKind {
    /// The socket is connected to a client.
    Client,
    /// The socket is connected to a backend or to the discovery agent.
    Upstream,
}

/// Counts a socket and the bytes of its buffers until dropped.
pub struct SocketGuard {
    resources: Rc<Resources>,
    buffer_bytes: usize,
    kind: SocketKind,
}

impl SocketGuard {
    /// Counts a socket that is open or about to be opened.
    pub fn new(resources: &Rc<Resources>, kind: SocketKind) -> SocketGuard {
        resources.sockets.set(resources.sockets.get() + 1);
        resources
            .check(resources.sockets.get() <= resources.limits.max_descriptors, Invariant::WithinSockets);
        if kind == SocketKind::Client {
            resources.clients.set(resources.clients.get() + 1);
        }
        SocketGuard { resources: Rc::clone(resources), buffer_bytes: 0, kind }
    }

    /// Sets the current size of the socket's buffers.
    pub fn set_buffer_bytes(&mut self, bytes: usize) {
        let total = &self.resources.buffer_bytes;
        total.set(total.get() - self.buffer_bytes + bytes);
        self.buffer_bytes = bytes;
    }
}

impl Drop for SocketGuard {
    fn drop(&mut self) {
        self.set_buffer_bytes(0);
        let resources = &self.resources;
        resources.sockets.set(resources.sockets.get() - 1);
        if self.kind == SocketKind::Client {
            resources.clients.set(resources.clients.get() - 1);
        }
        resources.socket_closed.notify_waiters();
    }
}

#[cfg(test)]
mod tests;
