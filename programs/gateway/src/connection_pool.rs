//! The backends' addresses and the idle connections to them.

use crate::messages::IdleConnection;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use vanewharf_policy::interface::{BackendId, BackendInfo, BackendStatus, Ticks};

#[derive(Default)]
struct Peer {
    address: Option<SocketAddr>,
    ready: bool,
    booted: Option<Ticks>,
    /// Newest last: the newest is the least likely to have been closed by the other side.
    idle: VecDeque<IdleConnection>,
}

pub struct ConnectionPool {
    peers: BTreeMap<BackendId, Peer>,
    /// Now, and where nothing has shown it to be too long.
    most_idle: Ticks,
    told_idle: Ticks,
}

impl ConnectionPool {
    /// `closes`: when a backend closes an idle connection, at the latest.
    pub fn new(closes: Ticks) -> ConnectionPool {
        let most_idle = vanewharf_gateway_settings::idle_reuse_limit(closes);
        ConnectionPool { peers: BTreeMap::new(), most_idle, told_idle: most_idle }
    }

    pub fn list(&mut self, entry: &BackendInfo, address: Option<SocketAddr>) {
        if entry.status == BackendStatus::Gone {
            self.peers.remove(&entry.backend);
            return;
        }
        let peer = self.peers.entry(entry.backend).or_default();
        let moved = address.is_some() && address != peer.address;
        if moved || entry.started_at != peer.booted || entry.status != BackendStatus::Ready {
            // To a process that is gone or may take nothing more.
            peer.idle.clear();
        }
        peer.address = address.or(peer.address);
        peer.booted = entry.started_at;
        peer.ready = entry.status == BackendStatus::Ready;
    }

    /// Those that a whole list does not name are gone.
    pub fn keep_only(&mut self, named: impl Fn(BackendId) -> bool) {
        self.peers.retain(|id, _| named(*id));
    }

    pub fn ready(&self, id: BackendId) -> bool {
        self.peers.get(&id).is_some_and(|peer| peer.ready)
    }

    pub fn address(&self, id: BackendId) -> Option<SocketAddr> {
        self.peers.get(&id)?.address
    }

    pub fn put(&mut self, id: BackendId, idle: IdleConnection) {
        if let Some(peer) = self.peers.get_mut(&id).filter(|peer| peer.ready) {
            peer.idle.push_back(idle);
        }
    }

    pub fn take(&mut self, id: BackendId, now: Ticks) -> Option<IdleConnection> {
        let idle = &mut self.peers.get_mut(&id)?.idle;
        while let Some(one) = idle.pop_back() {
            if now - one.since > self.most_idle {
                // All others have waited longer.
                idle.clear();
                return None;
            }
            if !one.next.is_closed() {
                return Some(one);
            }
        }
        None
    }

    /// A connection that had been idle so long ended under its next submission, which may have run: whatever ends
    /// them out there, half as long is kept clear of it.
    pub fn broke(&mut self, idle: Ticks) {
        self.most_idle = self.most_idle.min(idle.times(0.5));
    }

    /// Closes what has been idle too long and forgets what has ended; how many were dropped. Twice as long is tried
    /// again at each, so that what ended connections for a while is not held against them for good.
    pub fn sweep(&mut self, now: Ticks) -> usize {
        self.most_idle = self.most_idle.max(Ticks(5)).times(2.0).min(self.told_idle);
        let mut dropped = 0;
        for peer in self.peers.values_mut() {
            let before = peer.idle.len();
            peer.idle.retain(|one| !one.next.is_closed() && now - one.since <= self.most_idle);
            dropped += before - peer.idle.len();
        }
        dropped
    }

    /// Closes the one that has been idle longest.
    pub fn shed(&mut self) {
        let oldest = self.peers.values_mut().filter(|peer| !peer.idle.is_empty());
        if let Some(peer) = oldest.min_by_key(|peer| peer.idle[0].since) {
            peer.idle.pop_front();
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::messages::Attempt;
    use tokio::sync::oneshot;

    const ONE: BackendId = BackendId(1);

    fn listed(standing: BackendStatus, booted: Option<Ticks>) -> BackendInfo {
        BackendInfo { backend: ONE, status: standing, capacity: 1.0, local: true, started_at: booted }
    }

    /// A pool told 40 ms, with connections idle since each of the times.
    fn pool(since: &[i64]) -> (ConnectionPool, Vec<oneshot::Receiver<Attempt>>) {
        let mut pool = ConnectionPool::new(Ticks(400));
        pool.list(&listed(BackendStatus::Ready, None), "127.0.0.1:1".parse().ok());
        let mut idle = |&since: &i64| {
            let (next, connection) = oneshot::channel();
            pool.put(ONE, IdleConnection { next, since: Ticks(since) });
            connection
        };
        let connections = since.iter().map(&mut idle).collect();
        (pool, connections)
    }

    #[test]
    fn the_newest_goes_first_and_none_is_used_near_its_end() {
        let (mut pool, mut connections) = pool(&[0, 50, 60, 70]);
        connections.pop();
        assert_eq!(pool.take(ONE, Ticks(100)).map(|idle| idle.since), Some(Ticks(60)), "70 has ended");
        assert_eq!(pool.sweep(Ticks(101)), 1);
        assert!(connections[0].try_recv().is_err_and(|gone| gone == oneshot::error::TryRecvError::Closed));
        assert!(pool.take(ONE, Ticks(151)).is_none());
    }

    #[test]
    fn nothing_is_kept_to_what_moved_started_anew_or_takes_nothing_more() {
        let here = "127.0.0.1:1".parse().ok();
        for (entry, address, kept) in [
            (listed(BackendStatus::Ready, None), here, true),
            (listed(BackendStatus::Ready, Some(Ticks(5))), here, false),
            (listed(BackendStatus::Ready, None), "127.0.0.1:2".parse().ok(), false),
            (listed(BackendStatus::Draining, None), here, false),
            (listed(BackendStatus::Gone, None), None, false),
        ] {
            let (mut pool, _connections) = pool(&[0]);
            pool.list(&entry, address);
            assert_eq!(pool.take(ONE, Ticks(1)).is_some(), kept, "{entry:?}");
        }
        let (mut pool, _connections) = pool(&[0]);
        pool.keep_only(|_| false);
        assert!(!pool.ready(ONE) && pool.take(ONE, Ticks(1)).is_none());
        assert!(pool.peers.is_empty(), "nothing is kept of what is gone");
    }

    #[test]
    fn what_was_idle_too_long_for_another_is_not_used() {
        let (mut pool, _connections) = pool(&[0, 60]);
        pool.broke(Ticks(70));
        assert_eq!(pool.take(ONE, Ticks(95)).map(|idle| idle.since), Some(Ticks(60)));
        assert!(pool.take(ONE, Ticks(95)).is_none(), "idle for 95, where 70 was too long");
        let (mut pool, _connections) = self::pool(&[30]);
        pool.broke(Ticks(70));
        assert_eq!(pool.sweep(Ticks(95)), 0, "tried again for 70");
        assert!(pool.take(ONE, Ticks(95)).is_some());
    }

    #[test]
    fn the_one_idle_longest_is_shed() {
        let (mut pool, _connections) = pool(&[3, 5]);
        pool.shed();
        assert_eq!(pool.take(ONE, Ticks(6)).map(|idle| idle.since), Some(Ticks(5)));
        assert!(pool.take(ONE, Ticks(6)).is_none());
    }
}
