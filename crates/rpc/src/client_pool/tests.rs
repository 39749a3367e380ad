use super::*;
use crate::client::tests::{TestNetwork, TestServer, run_with_deadline};
use std::time::Duration;
use tokio::sync::mpsc;
use vanewharf_protocol::deduplication::{CallHistory, CallId, CallStatus};

const INACTIVITY_TIMEOUT: Duration = Duration::from_millis(300);

fn pool_and_connections() -> (ClientPool, mpsc::UnboundedReceiver<vanewharf_runtime::environment::Stream>) {
    let (connections, arriving) = mpsc::unbounded_channel();
    let network: Rc<dyn Network> = Rc::new(TestNetwork::new(connections));
    (ClientPool::new(&network), arriving)
}

fn server() -> SocketAddr {
    "10.0.0.1:7600".parse().expect("an address")
}

#[tokio::test(start_paused = true)]
async fn a_failed_call_that_arrives_after_the_next_one_is_recognized() {
    run_with_deadline(async {
        let (pool, mut arriving) = pool_and_connections();
        let failed = pool.client(server()).call::<_, ()>("/lend", &1, INACTIVITY_TIMEOUT).await;
        assert!(failed.is_err(), "the call must fail, as no server answers");
        let cancelled = tokio::time::timeout(INACTIVITY_TIMEOUT / 2, async {
            pool.client(server()).call::<_, ()>("/lend", &2, INACTIVITY_TIMEOUT).await
        });
        assert!(cancelled.await.is_err(), "the call must be cancelled by its caller");
        let _unanswered = pool.client(server()).call::<_, ()>("/lend", &3, INACTIVITY_TIMEOUT).await;
        let mut ids: Vec<CallId> = Vec::new();
        for _ in 0..3 {
            let (_, id) = TestServer::accept(&mut arriving).await.receive().await;
            ids.push(id.expect("the call has an id").parse().expect("the id is well-formed"));
        }
        // The network delivers the last call first.
        let mut history: CallHistory<()> = CallHistory::default();
        let now = tokio::time::Instant::now();
        assert_eq!(history.observe(ids[2], now), CallStatus::New);
        for late in [ids[0], ids[1]] {
            assert_eq!(history.observe(late, now), CallStatus::Repeated, "{late} after {}", ids[2]);
        }
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn overlapping_calls_use_separate_clients_and_few_idle_ones_are_kept() {
    run_with_deadline(async {
        let (pool, _arriving) = pool_and_connections();
        let clients: Vec<_> = (0..MAX_IDLE_PER_SERVER + 5).map(|_| pool.client(server())).collect();
        assert_eq!(pool.idle.borrow().len(), 0);
        drop(clients);
        let other = "10.0.0.2:7600".parse().expect("an address");
        drop(pool.client(other));
        assert_eq!(pool.idle.borrow().len(), MAX_IDLE_PER_SERVER + 1);
        assert_eq!(pool.client(server()).address, server());
        assert_eq!(pool.client(other).address, other);
    })
    .await;
}
