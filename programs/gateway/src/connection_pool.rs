//! The backends' addresses and the idle connections to them.
//!
//! An idle connection is reused for a limited time only, so that a request is rarely written while the backend closes
//! the connection. The limit is lowered when a reused connection is lost, and raised again at each sweep.

use crate::messages::IdleConnection;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use vanewharf_gateway_settings::idle_reuse_limit;
use vanewharf_policy::interface::{BackendId, BackendInfo, BackendStatus, Ticks};

/// The value (0.5 ms) from which a lower limit is raised, because doubling a limit close to zero would take too long.
const MIN_RAISE_START: Ticks = Ticks(5);
/// After a loss, the limit is at most this fraction of the time for which the lost connection had been idle.
const LIMIT_FRACTION_AFTER_LOSS: f64 = 0.5;
/// Each sweep multiplies a lowered limit by this factor.
const LIMIT_GROWTH_FACTOR: f64 = 2.0;

#[derive(Default)]
struct PooledBackend {
    address: Option<SocketAddr>,
    ready: bool,
    started_at: Option<Ticks>,
    /// Ordered by idle time, newest last. The newest is taken first: it is the least likely to have been closed.
    idle: VecDeque<IdleConnection>,
}

/// Addresses and reusable connections, by backend.
pub struct ConnectionPool {
    backends: BTreeMap<BackendId, PooledBackend>,
    /// How long a connection may have been idle to be reused, at present.
    idle_limit: Ticks,
    /// The limit as long as no reused connection is lost.
    configured_limit: Ticks,
}

impl ConnectionPool {
    /// Creates an empty pool. Backends close an idle connection after `backend_idle_timeout` at the latest.
    pub fn new(backend_idle_timeout: Ticks) -> ConnectionPool {
        let idle_limit = idle_reuse_limit(backend_idle_timeout);
        ConnectionPool { backends: BTreeMap::new(), idle_limit, configured_limit: idle_limit }
    }

    /// Applies a backend's published state. Closes its idle connections if it moved, restarted or is not ready.
    pub fn update_backend(&mut self, info: &BackendInfo, address: Option<SocketAddr>) {
        if info.status == BackendStatus::Gone {
            self.backends.remove(&info.backend);
            return;
        }
        let backend = self.backends.entry(info.backend).or_default();
        let moved = address.is_some() && address != backend.address;
        if moved || info.started_at != backend.started_at || info.status != BackendStatus::Ready {
            backend.idle.clear();
        }
        backend.address = address.or(backend.address);
        backend.started_at = info.started_at;
        backend.ready = info.status == BackendStatus::Ready;
    }

    /// Removes the backends that are no longer listed.
    pub fn retain(&mut self, is_listed: impl Fn(BackendId) -> bool) {
        self.backends.retain(|id, _| is_listed(*id));
    }

    /// Whether the backend accepts requests.
    pub fn is_ready(&self, id: BackendId) -> bool {
        self.backends.get(&id).is_some_and(|backend| backend.ready)
    }

    /// The backend's address, if it is known.
    pub fn address(&self, id: BackendId) -> Option<SocketAddr> {
        self.backends.get(&id)?.address
    }

    /// Adds a connection that has become idle; closes it if the backend is not ready.
    pub fn add_idle(&mut self, id: BackendId, connection: IdleConnection) {
        if let Some(backend) = self.backends.get_mut(&id).filter(|backend| backend.ready) {
            backend.idle.push_back(connection);
        }
    }

    /// Takes the connection that became idle last, unless it has been idle for too long.
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

    /// Lowers the limit after a reused connection that had been idle for `idle` was lost, because its request may have
    /// run.
    pub fn record_idle_loss(&mut self, idle: Ticks) {
        self.idle_limit = self.idle_limit.min(idle.times(LIMIT_FRACTION_AFTER_LOSS));
    }

    /// Raises the limit, then removes the connections beyond it and those that have ended. Returns how many it removed.
    pub fn sweep(&mut self, now: Ticks) -> usize {
        let raised = self.idle_limit.max(MIN_RAISE_START).times(LIMIT_GROWTH_FACTOR);
        self.idle_limit = raised.min(self.configured_limit);
        let mut removed = 0;
        for backend in self.backends.values_mut() {
            let before = backend.idle.len();
            let limit = self.idle_limit;
            backend.idle.retain(|idle| !idle.next.is_closed() && now - idle.since <= limit);
            removed += before - backend.idle.len();
        }
        removed
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
