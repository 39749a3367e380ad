//! Measures the cost of RPC calls over loopback to their server.

use crate::fleet::report;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use vanewharf_http1::Request;
use vanewharf_protocol::endpoints;
use vanewharf_protocol::messages::{PullRequest, PullResponse, TokenCounts, VersionVector};
use vanewharf_rpc::{RpcClient, RpcResponse, serve};
use vanewharf_runtime::environment::Environment;

const CLIENTS: usize = 32;
const CALLS_PER_CLIENT: usize = 1_500;
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(9);
/// The server responds to this path with the CPU time that its thread has used.
const CPU_TIME_PATH: &str = "/spent";
/// The server's port is the first one plus the process id modulo the range, so that concurrent runs use different
/// ports.
const FIRST_PORT: u16 = 30_000;
const PORT_RANGE: u32 = 20_000;

/// Prints a table of the calls by kind.
pub fn measure_all() {
    let address = SocketAddr::from(([127, 0, 0, 1], FIRST_PORT + (std::process::id() % PORT_RANGE) as u16));
    let (ready, is_ready) = std::sync::mpsc::channel();
    std::thread::spawn(move || run_server(address, ready));
    is_ready.recv().expect("the server listens");
    println!("\n| calls over loopback, 32 clients | calls | server's CPU µs per call | calls per second |");
    println!("| --- | --- | --- | --- |");
    let token = TokenCounts::from([("tenant-000123".to_owned(), 1)]);
    block_on(async {
        measure_calls::<_, TokenCounts>(address, "/lend, one token", endpoints::LEASE_TOKENS, token).await;
        for (name, tenants, pool) in [("/pull, no tenants", 0, 1), ("/pull, 100 tenants", 100, 10_000)] {
            let request = pull_request(tenants, pool);
            measure_calls::<_, PullResponse>(address, name, endpoints::PULL, request).await;
        }
    });
}

fn pull_request(tenants: usize, pool: usize) -> PullRequest {
    PullRequest {
        versions: VersionVector::default(),
        wait_ms: 300,
        follower: None,
        token_leases: None,
        reports: vec![report(1, tenants, pool, 1)],
    }
}

/// The CPU time that this thread has used.
fn thread_cpu_time() -> Duration {
    let statistics = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let nanoseconds = statistics.split(' ').next().and_then(|time| time.parse().ok()).unwrap_or(0);
    Duration::from_nanos(nanoseconds)
}

/// Serves until the process ends: grants all requested tokens, and responds to pulls with nothing new.
fn run_server(address: SocketAddr, ready: std::sync::mpsc::Sender<()>) {
    block_on(async {
        let network = Environment::of_machine(None).expect("it needs no disk").network;
        let listener = network.listen(address).expect("a free port");
        let _ = ready.send(());
        serve(listener, |request: Request| async move { respond(&request) }).await;
    });
}

fn respond(request: &Request) -> RpcResponse {
    match request.target() {
        endpoints::LEASE_TOKENS => {
            RpcResponse::json(&serde_json::from_slice::<TokenCounts>(request.body()).expect("tokens"))
        }
        endpoints::PULL => {
            let pull: PullRequest = serde_json::from_slice(request.body()).expect("a pull request");
            let response = PullResponse { delay_ms: pull.wait_ms, ..PullResponse::default() };
            RpcResponse::json(&response).compressed_for(request)
        }
        _ => RpcResponse::json(&thread_cpu_time()),
    }
}

fn block_on<T>(work: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, work)
}

/// Measures calls of concurrent clients and prints a row of the table.
async fn measure_calls<Q, A>(address: SocketAddr, name: &str, path: &'static str, request: Q)
where
    Q: Serialize + Clone + 'static,
    A: DeserializeOwned,
{
    let network = Environment::of_machine(None).expect("it needs no disk").network;
    let mut observer = RpcClient::new(address, &network);
    let cpu_before: Duration = observer.call(CPU_TIME_PATH, &(), RESPONSE_TIMEOUT).await.expect("answered");
    let started = Instant::now();
    call_repeatedly::<Q, A>(address, path, request).await;
    let seconds = started.elapsed().as_secs_f64();
    let cpu_after: Duration = observer.call(CPU_TIME_PATH, &(), RESPONSE_TIMEOUT).await.expect("answered");
    let calls = (CLIENTS * CALLS_PER_CLIENT) as f64;
    let microseconds = (cpu_after - cpu_before).as_secs_f64() * 1e6 / calls;
    println!("| {name} | {calls} | {microseconds:.1} | {:.0} |", calls / seconds);
}

async fn call_repeatedly<Q, A>(address: SocketAddr, path: &'static str, request: Q)
where
    Q: Serialize + Clone + 'static,
    A: DeserializeOwned,
{
    let network = Environment::of_machine(None).expect("it needs no disk").network;
    let spawn_client = |_| {
        let (mut client, request) = (RpcClient::new(address, &network), request.clone());
        tokio::task::spawn_local(async move {
            for _ in 0..CALLS_PER_CLIENT {
                let _: A = client.call(path, &request, RESPONSE_TIMEOUT).await.expect("answered");
            }
        })
    };
    for client in (0..CLIENTS).map(spawn_client).collect::<Vec<_>>() {
        client.await.expect("no task panics");
    }
}
