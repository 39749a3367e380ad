use super::*;
use crate::messages::Attempt;
use tokio::sync::oneshot;

const BACKEND: BackendId = BackendId(1);

fn backend_info(status: BackendStatus, started_at: Option<Ticks>) -> BackendInfo {
    BackendInfo { backend: BACKEND, status, capacity: 1.0, local: true, started_at }
}

/// A pool for an idle timeout of 40 ms with one connection for each time in `since`, at which it became idle.
fn pool(since: &[i64]) -> (ConnectionPool, Vec<oneshot::Receiver<Attempt>>) {
    let mut pool = ConnectionPool::new(Ticks(400));
    pool.update_backend(&backend_info(BackendStatus::Ready, None), "127.0.0.1:1".parse().ok());
    let mut idle = |&since: &i64| {
        let (next, connection) = oneshot::channel();
        pool.add_idle(BACKEND, IdleConnection { next, since: Ticks(since) });
        connection
    };
    let connections = since.iter().map(&mut idle).collect();
    (pool, connections)
}

#[test]
fn reuses_the_newest_connection_and_none_beyond_the_idle_limit() {
    let (mut pool, mut connections) = pool(&[0, 50, 60, 70]);
    connections.pop();
    assert_eq!(
        pool.take_idle(BACKEND, Ticks(100)).map(|idle| idle.since),
        Some(Ticks(60)),
        "the connection idle since 70 has ended"
    );
    assert_eq!(pool.sweep(Ticks(101)), 1);
    assert!(connections[0].try_recv().is_err_and(|error| error == oneshot::error::TryRecvError::Closed));
    assert!(pool.take_idle(BACKEND, Ticks(151)).is_none());
}

#[test]
fn drops_idle_connections_to_a_moved_restarted_or_draining_backend() {
    let address_1 = "127.0.0.1:1".parse().ok();
    for (info, address, reused) in [
        (backend_info(BackendStatus::Ready, None), address_1, true),
        (backend_info(BackendStatus::Ready, Some(Ticks(5))), address_1, false),
        (backend_info(BackendStatus::Ready, None), "127.0.0.1:2".parse().ok(), false),
        (backend_info(BackendStatus::Draining, None), address_1, false),
        (backend_info(BackendStatus::Gone, None), None, false),
    ] {
        let (mut pool, _connections) = pool(&[0]);
        pool.update_backend(&info, address);
        assert_eq!(pool.take_idle(BACKEND, Ticks(1)).is_some(), reused, "{info:?}");
    }
    let (mut pool, _connections) = pool(&[0]);
    pool.retain(|_| false);
    assert!(!pool.is_ready(BACKEND) && pool.take_idle(BACKEND, Ticks(1)).is_none());
    assert!(pool.backends.is_empty(), "an unlisted backend is removed");
}

#[test]
fn lowers_the_idle_limit_after_a_loss() {
    let (mut pool, _connections) = pool(&[0, 60]);
    pool.record_idle_loss(Ticks(70));
    assert_eq!(pool.take_idle(BACKEND, Ticks(95)).map(|idle| idle.since), Some(Ticks(60)));
    assert!(pool.take_idle(BACKEND, Ticks(95)).is_none(), "idle for 95, but a connection was lost after 70");
    let (mut pool, _connections) = self::pool(&[30]);
    pool.record_idle_loss(Ticks(70));
    assert_eq!(pool.sweep(Ticks(95)), 0, "the sweep raised the limit to 70");
    assert!(pool.take_idle(BACKEND, Ticks(95)).is_some());
}

#[test]
fn closes_the_connection_idle_longest() {
    let (mut pool, _connections) = pool(&[3, 5]);
    pool.close_longest_idle();
    assert_eq!(pool.take_idle(BACKEND, Ticks(6)).map(|idle| idle.since), Some(Ticks(5)));
    assert!(pool.take_idle(BACKEND, Ticks(6)).is_none());
}
