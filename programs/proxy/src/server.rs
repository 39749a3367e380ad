//! The process of the proxy: listeners, readiness probe and graceful shutdown.

use crate::data_plane::DataPlane;
use crate::error::ProxyError;
use crate::gate_state::GateState;
use crate::pools::ProxyPolicy;
use crate::readiness::Readiness;
use crate::request_gate::RequestGate;
use crate::ticks::to_ticks;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::{Notify, mpsc};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};
use vanewharf_config::settings::Settings;
use vanewharf_gateway::clock::{Clock, TICKS_PER_MS};
use vanewharf_gateway::drain::{DrainDeadlines, FINISH_GRACE_FRACTION, answer_clients};
use vanewharf_gateway::listener::accept_clients;
use vanewharf_gateway::messages::{BackendUpdate, RouterMessage};
use vanewharf_gateway::open_requests::{OpenRequestState, RequestStage};
use vanewharf_gateway::resources::{ResourceLimits, Resources};
use vanewharf_gateway::router::Router;
use vanewharf_gateway::shared::Shared;
use vanewharf_gateway_settings::ConnectionTimeouts;
use vanewharf_policy::interface::Ticks;
use vanewharf_rpc::{RpcResponse, serve};
use vanewharf_runtime::environment::Environment;
use vanewharf_runtime::invariants::Invariant;
use vanewharf_runtime::program::ShutdownSignal;

/// The length of the operating system's queue of client connections to be accepted.
const ACCEPT_BACKLOG: u32 = 1024;
/// The number of file descriptors reserved for listeners, logs and calls to the control plane.
const RESERVED_DESCRIPTORS: u64 = 256;
/// Timeouts of backend connections: 8 s without a request, the shortest idle timeout known of any backend, and 300 ms
/// for connecting.
const CONNECTION_TIMEOUTS: ConnectionTimeouts =
    ConnectionTimeouts { idle: Ticks(80_000), dial: Ticks(3_000) };
/// The fraction of the grace period during which new connections are still accepted, because clients use an outdated
/// list of proxies for a while.
const ACCEPT_GRACE_FRACTION: f64 = 0.7;
/// The time allowed for the last answers to leave the socket buffers.
const FLUSH_DELAY: Duration = Duration::from_millis(10);

/// Runs the proxy until `shutdown` completes, then drains client connections within the grace period.
///
/// # Errors
///
/// If a listener is missing from the settings or cannot be opened, or if the routing task ends.
pub async fn run(
    settings: Settings,
    environment: Environment,
    shutdown: ShutdownSignal,
) -> Result<(), ProxyError> {
    start_data_plane_log();
    let settings = Rc::new(settings);
    let frontend = settings.listen_address("frontend")?;
    let readiness = settings.listen_address("readiness")?;
    let DataPlane { gate_state, status, publisher, policy, updates } =
        DataPlane::start(&settings, &environment, frontend);

    let (shared, messages) = shared_state(&settings, &gate_state);
    let mut routing = tokio::task::spawn_local(router(&shared, policy).run(messages, updates));
    let listener = listen(frontend).map_err(|source| ProxyError::Listen { address: frontend, source })?;
    let stop_accepting = Rc::new(Notify::new());
    let accepting = accept_clients(listener, Rc::clone(&shared), Rc::clone(&stop_accepting));
    let accepting = tokio::task::spawn_local(accepting);
    serve_readiness(&environment, readiness, Readiness::new(&gate_state, &status, &publisher))?;

    // Cancel safe: `routing` is polled by reference, and `shutdown` is not used again.
    tokio::select! {
        _ = shutdown => {}
        ended = &mut routing => return Err(ProxyError::RoutingTaskEnded(ended)),
    }
    let shutdown_at = shared.clock.now();
    status.draining.set(true);
    let grace = settings.limits_table.grace_period;
    // Requests that may not be answered before this deadline are no longer admitted.
    gate_state.admission_deadline.set(Some(shutdown_at + to_ticks(grace.mul_f64(FINISH_GRACE_FRACTION))));
    drain(&shared, accepting, &stop_accepting, grace).await;
    check_answered(&shared, shutdown_at);
    Ok(())
}

/// Prints the lines of the gateway's crate, which serves the connections, to standard error: warnings and errors, and with
/// `VANEWHARF_LOG=debug` a line for each attempt.
fn start_data_plane_log() {
    let debug = vanewharf_runtime::log::is_debug_selected();
    let level = if debug { tracing::Level::DEBUG } else { tracing::Level::WARN };
    // Fails only if another proxy of this process has set it up already.
    let _ = vanewharf_gateway::log::to_stderr(level).try_init();
}

/// Creates the state shared by the gateway's tasks, and the queue of their messages to the router.
fn shared_state(
    settings: &Settings,
    gate_state: &Rc<GateState>,
) -> (Rc<Shared>, mpsc::UnboundedReceiver<RouterMessage>) {
    let sockets = settings.file_descriptors.saturating_sub(RESERVED_DESCRIPTORS) as usize;
    let limits = ResourceLimits::within(sockets, settings.memory_mb as usize);
    let resources = Rc::new(Resources::new(limits));
    let (messages, received) = mpsc::unbounded_channel();
    let dialect = Box::new(RequestGate::new(Rc::clone(gate_state)));
    let shared = Shared::new(Clock::start(), resources, dialect, CONNECTION_TIMEOUTS, messages);
    (Rc::new(shared), received)
}

/// Creates the router with the given routing policy. It starts without backends and uses no quota counter or peers.
fn router(shared: &Rc<Shared>, policy: ProxyPolicy) -> Router<ProxyPolicy> {
    Router::new(Rc::clone(shared), policy, BackendUpdate::Changes(Vec::new()), None, None)
}

fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_BACKLOG)
}

/// Spawns a task that answers the platform's readiness probes.
fn serve_readiness(
    environment: &Environment,
    address: SocketAddr,
    readiness: Readiness,
) -> Result<(), ProxyError> {
    let listener = environment.network.listen(address);
    let listener = listener.map_err(|source| ProxyError::Listen { address, source })?;
    tokio::task::spawn_local(serve(listener, move |request| {
        let is_probe = request.method() == "GET" && request.target() == "/-/readiness";
        let ready = is_probe.then(|| readiness.is_ready());
        async move {
            match ready {
                Some(true) => RpcResponse::empty(),
                Some(false) => RpcResponse::error(503, "not ready"),
                None => RpcResponse::error(404, "there is no such call"),
            }
        }
    }));
    Ok(())
}

/// Closes each client connection after its next answer. Returns when all connections are closed, at the latest by the
/// end of the grace period.
async fn drain(shared: &Shared, accepting: JoinHandle<()>, stop_accepting: &Notify, grace: Duration) {
    let shutdown_at = Instant::now();
    let deadlines = DrainDeadlines::within(shutdown_at, grace);
    shared.resources.begin_drain();
    sleep_until(shutdown_at + grace.mul_f64(ACCEPT_GRACE_FRACTION)).await;
    stop_accepting.notify_one();
    let _ = timeout_at(deadlines.finish_at, accepting).await;
    answer_clients(shared, deadlines).await;
    sleep(FLUSH_DELAY).await;
}

/// Checks, just before the process exits, that a decision was made on every request that was read. Logs each unanswered
/// request, with the time at which it was read and its stage.
fn check_answered(shared: &Shared, shutdown_at: Ticks) {
    let now = shared.clock.now();
    let unanswered = shared.open_requests.states();
    for OpenRequestState { read_at, stage } in &unanswered {
        spdlog::error!(
            "request left unanswered at shutdown",
            kv: {
                event = "request_unanswered",
                read_after_shutdown_ms = (*read_at - shutdown_at).0 / TICKS_PER_MS,
                open_ms = (now - *read_at).0 / TICKS_PER_MS,
                stage:? = stage
            }
        );
    }
    // An answer that is being written does not count: it is delayed only by its own client, which does not read.
    let all_decided = unanswered.iter().all(|request| request.stage == RequestStage::Answering);
    Invariant::AnsweredBeforeExit.check(all_decided);
    // The gateway's tasks log through `tracing`, for which only the gateway's program installs a subscriber. Therefore
    // the counters are logged here, which show the invariant that was violated.
    if !Invariant::ProxyStages.check(shared.resources.violations() == 0) {
        spdlog::error!("counters", kv: { event = "counters", counters: = shared.resources });
    }
}
