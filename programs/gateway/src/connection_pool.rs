//! The backends' addresses and the idle connections to them.
//!
//! An idle connection is reused for a limited time only, so that a request rarely crosses with the backend's closing of
//! it. The limit is lowered when a reused connection is lost all the same, and raised again by and by.

use crate::messages::IdleConnection;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use vanewharf_gateway_settings::idle_reuse_limit;
use vanewharf_policy::interface::{BackendId, BackendInfo, BackendStatus, Ticks};

/// From this limit on doubling raises it again, where a loss had lowered it to next to nothing.
const MIN_RAISED_LIMIT: Ticks = Ticks(5);
const LIMIT_AFTER_LOSS: f64 = 0.5;
const LIMIT_GROWTH: f64 = 2.0;

#[derive(Default)]
struct PooledBackend {
    address: Option<SocketAddr>,
    ready: bool,
    started_at: Option<Ticks>,
    /// Newest last: the newest is the least likely to have been closed by the backend.
    idle: VecDeque<IdleConnection>,
}

/// The connections that can be reused, by backend.
pub struct ConnectionPool {
    backends: BTreeMap<BackendId, PooledBackend>,
    /// For how long an idle connection is reused now.
    idle_limit: Ticks,
    /// The limit where no connection was lost.
    configured_limit: Ticks,
}

impl ConnectionPool {
    /// An empty pool for backends that close idle connections after `backend_idle_timeout` at the latest.
    pub fn new(backend_idle_timeout: Ticks) -> ConnectionPool {
        let idle_limit = idle_reuse_limit(backend_idle_timeout);
        ConnectionPool { backends: BTreeMap::new(), idle_limit, configured_limit: idle_limit }
    }

    /// Takes in what was published of a backend. Its idle connections are closed where they lead to a process that is
    /// gone or accepts no more requests.
    pub fn update_backend(&mut self, entry: &BackendInfo, address: Option<SocketAddr>) {
        if entry.status == BackendStatus::Gone {
            self.backends.remove(&entry.backend);
            return;
        }
        let backend = self.backends.entry(entry.backend).or_default();
        let moved = address.is_some() && address != backend.address;
        if moved || entry.started_at != backend.started_at || entry.status != BackendStatus::Ready {
            backend.idle.clear();
        }
        backend.address = address.or(backend.address);
        backend.started_at = entry.started_at;
        backend.ready = entry.status == BackendStatus::Ready;
    }

    /// Removes the backends that are not listed any more.
    pub fn retain(&mut self, is_listed: impl Fn(BackendId) -> bool) {
        self.backends.retain(|id, _| is_listed(*id));
    }

    /// Whether the backend accepts requests.
    pub fn is_ready(&self, id: BackendId) -> bool {
        self.backends.get(&id).is_some_and(|backend| backend.ready)
    }

    /// Where the backend listens, if it is known.
    pub fn address(&self, id: BackendId) -> Option<SocketAddr> {
        self.backends.get(&id)?.address
    }

    /// Adds a connection that has become idle; it is closed where the backend is not ready.
    pub fn add_idle(&mut self, id: BackendId, connection: IdleConnection) {
        if let Some(backend) = self.backends.get_mut(&id).filter(|backend| backend.ready) {
            backend.idle.push_back(connection);
        }
    }

    /// Takes the connection that has become idle last, unless that is too long ago.
    pub fn take_idle(&mut self, id: BackendId, now: Ticks) -> Option<IdleConnection> {
        let idle = &mut self.backends.get_mut(&id)?.idle;
        while let Some(connection) = idle.pop_back() {
            if now - connection.since > self.idle_limit {
                // All others have been idle for longer.
                idle.clear();
                return None;
            }
            if !connection.next.is_closed() {
                return Some(connection);
            }
        }
        None
    }

    /// Lowers the limit after a reused connection was lost that had been idle for `idle`: its request may have run.
    pub fn record_idle_loss(&mut self, idle: Ticks) {
        self.idle_limit = self.idle_limit.min(idle.times(LIMIT_AFTER_LOSS));
    }

    /// Raises the limit, then closes the connections beyond it and forgets those that have ended; returns how many.
    pub fn sweep(&mut self, now: Ticks) -> usize {
        let raised = self.idle_limit.max(MIN_RAISED_LIMIT).times(LIMIT_GROWTH);
        self.idle_limit = raised.min(self.configured_limit);
        let mut dropped = 0;
        for backend in self.backends.values_mut() {
            let before = backend.idle.len();
            let limit = self.idle_limit;
            backend.idle.retain(|idle| !idle.next.is_closed() && now - idle.since <= limit);
            dropped += before - backend.idle.len();
        }
        dropped
    }

    /// Closes the connection that has been idle longest.
    pub fn close_longest_idle(&mut self) {
        let with_idle = self.backends.values_mut().filter(|backend| !backend.idle.is_empty());
        if let Some(backend) = with_idle.min_by_key(|backend| backend.idle[0].since) {
            backend.idle.pop_front();
        }
    }
}

#[cfg(test)]
mod tests;
