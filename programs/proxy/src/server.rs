//! The program around the decisions: listeners, the readiness probe and the graceful shutdown.

use crate::data_plane::DataPlane;
use crate::error::ProxyError;
use crate::pools::BackendPools;
use crate::readiness::Readiness;
use crate::request_gate::RequestGate;
use crate::snapshot::Snapshot;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::{Notify, mpsc};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout_at};
use vanewharf_config::settings::Settings;
use vanewharf_gateway::clock::Clock;
use vanewharf_gateway::listener::accept_clients;
use vanewharf_gateway::messages::{BackendUpdate, RouterMessage};
use vanewharf_gateway::resources::{ResourceLimits, Resources};
use vanewharf_gateway::router::Router;
use vanewharf_gateway::shared::Shared;
use vanewharf_gateway_settings::ConnectionTimeouts;
use vanewharf_policy::interface::Ticks;
use vanewharf_rpc::{RpcResponse, serve};
use vanewharf_runtime::environment::Environment;
use vanewharf_runtime::program::ShutdownSignal;

/// Client connections that the system queues until they are accepted.
const ACCEPT_BACKLOG: u32 = 1024;
/// File descriptors that are left to listeners, logs and the calls to the control plane.
const RESERVED_DESCRIPTORS: u64 = 256;
/// The soonest known at which backends close idle connections, and the time after which a connection never comes up.
const CONNECTION_TIMEOUTS: ConnectionTimeouts =
    ConnectionTimeouts { idle: Ticks(80_000), dial: Ticks(3_000) };
/// Shares of the grace period of a shutdown: until then new connections are still accepted, as clients go by an older
/// list of proxies for a while, and by the later one all answers must be out.
const ACCEPT_SHARE: f64 = 0.7;
const DRAIN_SHARE: f64 = 0.95;
/// For the last answers to leave the socket buffers.
const FLUSH_PAUSE: Duration = Duration::from_millis(10);

/// Runs the proxy until `end` comes, then drains its clients within the settings' grace period.
///
/// # Errors
///
/// Where the settings name no listener, a listener cannot be opened, or the routing task ends.
pub async fn run(
    settings: Settings,
    environment: Environment,
    end: ShutdownSignal,
) -> Result<(), ProxyError> {
    let settings = Rc::new(settings);
    let frontend = settings.listen_address("frontend")?;
    let readiness = settings.listen_address("readiness")?;
    let DataPlane { snapshot, status, feed, pools, updates } =
        DataPlane::start(&settings, &environment, frontend);

    let (shared, messages) = shared_state(&settings, &snapshot);
    let mut routing = tokio::task::spawn_local(router(&shared, pools).run(messages, updates));
    let listener = listen(frontend).map_err(|source| ProxyError::Listen { address: frontend, source })?;
    let stop_accepting = Rc::new(Notify::new());
    let accepting = accept_clients(listener, Rc::clone(&shared), Rc::clone(&stop_accepting));
    let accepting = tokio::task::spawn_local(accepting);
    serve_readiness(&environment, readiness, Readiness::new(&snapshot, &status, &feed))?;

    // Both are polled by reference or dropped for good, so that nothing is lost with the branch that loses.
    tokio::select! {
        _ = end => {}
        ended = &mut routing => return Err(ProxyError::RouteEnded(ended)),
    }
    status.draining.set(true);
    drain(&shared.resources, accepting, &stop_accepting, settings.limits_table.grace_period).await;
    Ok(())
}

/// What the gateway's stages share, and the queue of their messages to the router.
fn shared_state(
    settings: &Settings,
    snapshot: &Rc<Snapshot>,
) -> (Rc<Shared>, mpsc::UnboundedReceiver<RouterMessage>) {
    let sockets = settings.file_descriptors.saturating_sub(RESERVED_DESCRIPTORS) as usize;
    let limits = ResourceLimits::within(sockets, settings.memory_mb as usize);
    let resources = Rc::new(Resources::new(limits));
    let (messages, received) = mpsc::unbounded_channel();
    let dialect = Box::new(RequestGate(Rc::clone(snapshot)));
    let shared = Shared::new(Clock::start(), resources, dialect, CONNECTION_TIMEOUTS, messages);
    (Rc::new(shared), received)
}

/// The router over the given decisions; it starts with no backends and neither quota counter nor peers.
fn router(shared: &Rc<Shared>, pools: BackendPools) -> Router<BackendPools> {
    Router::new(Rc::clone(shared), pools, BackendUpdate::Changes(Vec::new()), None, None)
}

fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_BACKLOG)
}

/// Answers the platform's readiness probe in a task of its own.
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
                Some(true) => RpcResponse::with_status(200, ""),
                Some(false) => RpcResponse::with_status(503, "not ready"),
                None => RpcResponse::with_status(404, "there is no such call"),
            }
        }
    }));
    Ok(())
}

/// Ends client connections with their next answer, and waits until all have gone or the grace period runs out.
async fn drain(resources: &Resources, accepting: JoinHandle<()>, stop_accepting: &Notify, grace: Duration) {
    let deadline = Instant::now() + grace.mul_f64(DRAIN_SHARE);
    resources.begin_drain();
    sleep(grace.mul_f64(ACCEPT_SHARE)).await;
    stop_accepting.notify_one();
    let _ = timeout_at(deadline, accepting).await;
    let all_closed = async {
        while resources.client_count() > 0 {
            resources.socket_closed.notified().await;
        }
    };
    let _ = timeout_at(deadline, all_closed).await;
    sleep(FLUSH_PAUSE).await;
}
