//! Starts the gateway's tasks, handles signals while they run, and shuts them down in order.

use crate::clock::Clock;
use crate::config::{GatewayConfig, Settings};
use crate::counters::Counter;
use crate::discovery::{Discovery, DiscoveryPacing};
use crate::drain::{DrainDeadlines, answer_clients};
use crate::listener::accept_clients;
use crate::operator_config::PeerAddresses;
use crate::peers::PeerSocket;
use crate::platform_config::PlatformConfig;
use crate::platform_dialect::PlatformDialect;
use crate::quota_counter::{self, Call};
use crate::resources::{ResourceLimits, Resources};
use crate::router::{PlatformPolicy, Router};
use crate::shared::Shared;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{Notify, mpsc, watch};
use tokio::task::{JoinError, JoinHandle, spawn_local};
use tokio::time::Instant;
use vanewharf_policy::decide::Balancer;
use vanewharf_policy::interface::{GatewayId, Ticks};

/// How long clients are accepted after SIGTERM. The load balancer in front keeps sending new ones for a while after
/// it was notified of the shutdown.
const ACCEPT_DURING_SHUTDOWN: Duration = Duration::from_millis(500);
/// The length of the operating system's queue of client connections to be accepted.
const ACCEPT_BACKLOG: u32 = 1024;

/// Why the gateway cannot serve.
#[derive(Debug, Error)]
pub enum ServeError {
    /// The signal handlers cannot be registered.
    #[error("cannot register signal handlers: {0}")]
    Signals(#[source] std::io::Error),
    /// The listening socket for clients cannot be opened.
    #[error("cannot listen on {address}: {error}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The operating system's error.
        #[source]
        error: std::io::Error,
    },
    /// The socket for messages from other gateways cannot be bound.
    #[error("cannot receive peer messages on {address}: {error}")]
    BindPeers {
        /// The address.
        address: SocketAddr,
        /// The operating system's error.
        #[source]
        error: std::io::Error,
    },
    /// The router task ended; requests would wait forever.
    #[error("the router task ended: {0:?}")]
    RouterEnded(Result<(), JoinError>),
    /// The discovery task ended; the list of backends would never change again.
    #[error("the discovery task ended: {0:?}")]
    DiscoveryEnded(Result<(), JoinError>),
}

/// The signals that the gateway handles.
pub struct Signals {
    /// SIGHUP: reload the platform's file.
    reload: Signal,
    /// SIGTERM: shut down.
    terminate: Signal,
    /// SIGUSR1: log the counters.
    log_counters: Signal,
}

impl Signals {
    /// Registers the handlers. Before this, each of these signals terminates the process.
    ///
    /// # Errors
    ///
    /// If the operating system refuses to register a handler.
    pub fn register() -> Result<Signals, ServeError> {
        let register = |kind| signal(kind).map_err(ServeError::Signals);
        Ok(Signals {
            reload: register(SignalKind::hangup())?,
            terminate: register(SignalKind::terminate())?,
            log_counters: register(SignalKind::user_defined1())?,
        })
    }
}

/// A running gateway.
pub struct Server {
    shared: Rc<Shared>,
    router: JoinHandle<()>,
    discovery: JoinHandle<()>,
    listener: JoinHandle<()>,
    stop_accepting: Rc<Notify>,
    /// Sends the discovery agent's address to the discovery task after a reload.
    agent_address: watch::Sender<SocketAddr>,
    /// How long after SIGTERM the supervisor kills the process.
    kill_after: Duration,
}

impl Server {
    /// Starts all tasks on the current thread's runtime.
    ///
    /// # Errors
    ///
    /// If a socket cannot be bound.
    pub async fn start(config: GatewayConfig, clock: Clock) -> Result<Server, ServeError> {
        let GatewayConfig { platform, operator, settings } = config;
        let PlatformConfig { name, listen, discovery, seed, limits, initial_backends, counter, .. } =
            platform;
        let Settings { mut balancer, names, timeouts, discovery_poll_interval, bounds, peer_messages_per_s } =
            settings;
        let resources = Rc::new(Resources::new(ResourceLimits::within(limits.sockets, limits.memory_mb)));
        let (router_messages, received_messages) = mpsc::unbounded_channel();
        let locality = names.locality.clone();
        let dialect = Box::new(PlatformDialect { names, bounds });
        let shared = Rc::new(Shared::new(clock, resources, dialect, timeouts, router_messages));
        let listener = listen_on(listen).map_err(|error| ServeError::Listen { address: listen, error })?;

        let (agent_address, agent_changes) = watch::channel(discovery);
        let pacing = DiscoveryPacing::new(discovery_poll_interval, seed);
        let (discovery, initial_update) =
            Discovery::start(agent_changes, Rc::clone(&shared), locality, initial_backends, pacing);
        // The policy calls the quota counter only if the settings allow it and the platform's file names one.
        balancer.counter_timeout = balancer.counter_timeout.filter(|_| counter.is_some());
        let quota_calls = counter
            .zip(balancer.counter_timeout)
            .map(|(address, call_timeout)| spawn_quota_counter(address, call_timeout, &shared));
        let peers = match operator.peers {
            Some(addresses) => {
                Some(spawn_peers(addresses, balancer.gateway, peer_messages_per_s, &shared).await?)
            }
            None => None,
        };
        let idempotency = balancer.products.iter().map(|product| product.idempotency).collect();
        let policy = PlatformPolicy { balancer: Balancer::new(balancer), idempotency };
        let router = Router::new(Rc::clone(&shared), policy, initial_update, quota_calls, peers);

        // The platform policy has no updates, so their queue is closed from the start.
        let (_, no_updates) = mpsc::unbounded_channel();
        let router = spawn_local(router.run(received_messages, no_updates));
        let discovery = spawn_local(discovery.run());
        let stop_accepting = Rc::new(Notify::new());
        let listener = spawn_local(accept_clients(listener, Rc::clone(&shared), Rc::clone(&stop_accepting)));
        tracing::info!(name, %listen, "serving");
        let kill_after = operator.kill_after;
        Ok(Server { shared, router, discovery, listener, stop_accepting, agent_address, kill_after })
    }

    /// Serves until SIGTERM, and then until the last client is answered or shortly before the supervisor kills the
    /// process.
    ///
    /// # Errors
    ///
    /// If the router or the discovery task ends.
    pub async fn run(mut self, mut signals: Signals) -> Result<(), ServeError> {
        loop {
            // Cancel safe: signals stay queued until they are received, and the join handles are polled by reference.
            tokio::select! {
                _ = signals.terminate.recv() => break,
                _ = signals.reload.recv() => self.reload(),
                _ = signals.log_counters.recv() => self.log_counters(),
                ended = &mut self.router => return Err(ServeError::RouterEnded(ended)),
                ended = &mut self.discovery => return Err(ServeError::DiscoveryEnded(ended)),
            }
        }
        self.shut_down().await;
        Ok(())
    }

    /// Reloads the platform's file and applies the discovery agent's address.
    fn reload(&self) {
        let resources = &self.shared.resources;
        match PlatformConfig::read() {
            Ok(config) => {
                resources.count(Counter::Reloads);
                tracing::info!(discovery = %config.discovery, "reloaded the platform's configuration file");
                self.agent_address.send_replace(config.discovery);
            }
            Err(error) => {
                resources.count(Counter::ReloadFailures);
                let reason = error.to_string();
                tracing::warn!(
                    reason,
                    "cannot reload the platform's configuration file; the previous configuration stays in effect"
                );
            }
        }
    }

    fn log_counters(&self) {
        tracing::info!("counters {}", self.shared.resources);
    }

    /// Accepts clients for [`ACCEPT_DURING_SHUTDOWN`], then waits until all clients are answered.
    async fn shut_down(&mut self) {
        tracing::info!("ending");
        let deadlines = DrainDeadlines::within(Instant::now(), self.kill_after);
        tokio::time::sleep(ACCEPT_DURING_SHUTDOWN).await;
        self.stop_accepting.notify_one();
        let _ = (&mut self.listener).await;
        self.shared.resources.begin_drain();
        answer_clients(&self.shared, deadlines).await;
        self.log_counters();
    }
}

fn listen_on(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_BACKLOG)
}

fn spawn_quota_counter(
    address: SocketAddr,
    call_timeout: Ticks,
    shared: &Rc<Shared>,
) -> mpsc::UnboundedSender<Call> {
    let (calls, received_calls) = mpsc::unbounded_channel();
    drop(spawn_local(quota_counter::run(address, call_timeout, received_calls, Rc::clone(shared))));
    calls
}

async fn spawn_peers(
    addresses: PeerAddresses,
    own_number: GatewayId,
    max_per_s: f64,
    shared: &Rc<Shared>,
) -> Result<Rc<PeerSocket>, ServeError> {
    let PeerAddresses { listen, gateways } = addresses;
    let socket = PeerSocket::bind(listen, gateways, own_number).await;
    let socket = socket.map_err(|error| ServeError::BindPeers { address: listen, error })?;
    let socket = Rc::new(socket);
    drop(spawn_local(Rc::clone(&socket).receive(max_per_s, Rc::clone(shared))));
    Ok(socket)
}
