//! The sockets and the buffer memory that the process has in use, their limits, and the state of its shutdown.
//!
//! Each socket holds a [`SocketGuard`] for as long as it is open, so the totals here are those of the guards alive.

use crate::counters::{Counter, Counters, Invariant};
use std::cell::Cell;
use std::fmt;
use std::rc::Rc;
use tokio::sync::Notify;

/// What a connection's buffers may retain while idle, and hold when memory is short, in bytes.
pub const SMALL_BUFFER_BYTES: usize = 16 * 1024;

/// Descriptors that the runtime and the log need.
const RESERVED_DESCRIPTORS: usize = 16;
const MIN_USABLE_SOCKETS: usize = 8;
const MIN_MEMORY_MB: usize = 8;
const BYTES_PER_MB: usize = 1 << 20;

/// What the process may use, with a reserve taken off each limit.
#[derive(Clone, Copy, Debug)]
pub struct ResourceLimits {
    /// Descriptors of any kind.
    max_descriptors: usize,
    /// Backends are dialled up to this number of sockets.
    dial_sockets: usize,
    /// From this number of sockets on, idle connections are closed.
    crowded_sockets: usize,
    /// From this number of sockets on, no client is accepted.
    full_sockets: usize,
    /// Memory in connections' buffers.
    buffer_bytes: usize,
}

impl ResourceLimits {
    /// The limits within a number of descriptors and an amount of memory. Some descriptors are the runtime's own, and
    /// dialling needs some when clients use all that they are allowed.
    pub fn within(descriptors: usize, memory_mb: usize) -> ResourceLimits {
        let usable = descriptors.saturating_sub(RESERVED_DESCRIPTORS).max(MIN_USABLE_SOCKETS);
        ResourceLimits {
            max_descriptors: descriptors,
            dial_sockets: usable,
            crowded_sockets: usable * 3 / 4,
            full_sockets: usable * 7 / 8,
            buffer_bytes: memory_mb.max(MIN_MEMORY_MB).saturating_mul(BYTES_PER_MB) / 2,
        }
    }
}

/// What is in use, and the process's counters.
pub struct Resources {
    counters: Counters,
    limits: ResourceLimits,
    sockets: Cell<usize>,
    buffer_bytes: Cell<usize>,
    clients: Cell<usize>,
    idle_clients: Cell<usize>,
    draining: Cell<bool>,
    /// Notified whenever a socket was closed.
    pub socket_closed: Notify,
    /// Wakes the client connection that has been idle longest; all of them when draining begins.
    pub close_idle_client: Notify,
}

/// Counts a client connection as idle until this is dropped.
pub struct IdleClientGuard<'a>(&'a Cell<usize>);

impl Drop for IdleClientGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Resources {
    /// Nothing in use yet.
    pub fn new(limits: ResourceLimits) -> Resources {
        Resources {
            counters: Counters::default(),
            limits,
            sockets: Cell::new(0),
            buffer_bytes: Cell::new(0),
            clients: Cell::new(0),
            idle_clients: Cell::new(0),
            draining: Cell::new(false),
            socket_closed: Notify::new(),
            close_idle_client: Notify::new(),
        }
    }

    /// Counts one event.
    pub fn count(&self, counter: Counter) {
        self.counters.increment(counter);
    }

    /// How often any invariant was found violated since the start.
    pub fn violations(&self) -> u64 {
        self.counters.violations()
    }

    /// Counts and logs a violated invariant.
    ///
    /// # Panics
    ///
    /// In debug builds, where the invariant does not hold.
    pub fn check(&self, holds: bool, invariant: Invariant) {
        self.counters.check(holds, invariant);
    }

    /// Whether idle connections are to be closed.
    pub fn is_crowded(&self) -> bool {
        self.sockets.get() >= self.limits.crowded_sockets || self.is_memory_short()
    }

    /// Whether no client is to be accepted.
    pub fn is_full(&self) -> bool {
        self.sockets.get() >= self.limits.full_sockets || self.is_memory_short()
    }

    /// Whether a socket is left to dial a backend with.
    pub fn can_dial(&self) -> bool {
        self.sockets.get() < self.limits.dial_sockets
    }

    /// Whether the buffers take as much memory as they may.
    pub fn is_memory_short(&self) -> bool {
        self.buffer_bytes.get() >= self.limits.buffer_bytes
    }

    /// The number of open client connections.
    pub fn client_count(&self) -> usize {
        self.clients.get()
    }

    /// Counts a client connection as idle for as long as the guard lives.
    pub fn idle_client(&self) -> IdleClientGuard<'_> {
        self.idle_clients.set(self.idle_clients.get() + 1);
        IdleClientGuard(&self.idle_clients)
    }

    /// Closes the client connection that has been idle longest; false where none is idle.
    pub fn close_longest_idle_client(&self) -> bool {
        let any_idle = self.idle_clients.get() > 0;
        if any_idle {
            self.close_idle_client.notify_one();
        }
        any_idle
    }

    /// Whether the process is shutting down: each connection ends with its next answer.
    pub fn is_draining(&self) -> bool {
        self.draining.get()
    }

    /// Begins the shutdown and wakes all idle client connections.
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
    /// A client connected to it.
    Client,
    /// It is connected to a backend or to discovery.
    Upstream,
}

/// Counts one socket and the bytes of its buffers until this is dropped.
pub struct SocketGuard {
    resources: Rc<Resources>,
    buffer_bytes: usize,
    kind: SocketKind,
}

impl SocketGuard {
    /// Counts a socket that was opened or is about to be.
    pub fn new(resources: &Rc<Resources>, kind: SocketKind) -> SocketGuard {
        resources.sockets.set(resources.sockets.get() + 1);
        resources
            .check(resources.sockets.get() <= resources.limits.max_descriptors, Invariant::WithinSockets);
        if kind == SocketKind::Client {
            resources.clients.set(resources.clients.get() + 1);
        }
        SocketGuard { resources: Rc::clone(resources), buffer_bytes: 0, kind }
    }

    /// Sets how many bytes the socket's buffers take now.
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
