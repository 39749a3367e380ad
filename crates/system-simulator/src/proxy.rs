//! A proxy with simulated clients and backends. Admission, routing, quotas and backend pools are those of the real
//! proxy, and the real agent updates them over the real link. Only the sockets to clients and backends are simulated.

use crate::ground_truth::GroundTruth;
use crate::history::{ClientRequest, Execution, ReceivedRegister};
use crate::network::SimulatedNetwork;
use bytes::BytesMut;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep};
use tokio_util::codec::Decoder;
use vanewharf_config::configuration::Config;
use vanewharf_config::settings::Settings;
use vanewharf_gateway::dialect::{Admission, HttpDialect};
use vanewharf_gateway::router::RoutingPolicy;
use vanewharf_http1::{Request, ServerCodec};
use vanewharf_policy::interface::{
    Action, AttemptNumber, AttemptReport, BackendId, Event, Outcome, Ticks, TxnId,
};
use vanewharf_protocol::messages::Register;
use vanewharf_proxy::data_plane::DataPlane;
use vanewharf_proxy::request_gate::RequestGate;
use vanewharf_proxy::update::Update;
use vanewharf_runtime::environment::Environment;

/// How long a client waits for a response.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(2000);
/// Minimum time that a backend takes to execute a request.
const MIN_SERVICE_TIME: Duration = Duration::from_millis(40);
/// Upper bound of the random time that is added to `MIN_SERVICE_TIME`.
const SERVICE_TIME_SPREAD_MS: u64 = 60;
/// How long a connection attempt to a backend that does not exist or is cut off takes to fail.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
const MICROSECONDS_PER_TICK: u128 = 100;

/// A request that a client sends.
#[derive(Clone, Debug)]
pub(crate) struct SimulatedRequest {
    pub(crate) attempt: u64,
    /// Whether it must be executed at most once.
    pub(crate) mutating: bool,
    pub(crate) path: String,
    pub(crate) access_key: String,
    pub(crate) sent: Instant,
}

impl SimulatedRequest {
    /// The request as the proxy's HTTP parser returns it.
    fn to_http(&self) -> Option<Request> {
        const MAX_BODY: usize = 1024;
        let text = format!(
            "GET {} HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {:016x}\r\nRemaining-Milliseconds: {}\r\nX-Api-Key: {}\r\n\r\n",
            self.path,
            self.attempt,
            CLIENT_TIMEOUT.as_millis(),
            self.access_key
        );
        let mut bytes = BytesMut::from(text.as_bytes());
        ServerCodec::with_max_body(MAX_BODY).decode(&mut bytes).ok().flatten()
    }
}

/// The channel to a proxy for clients' requests; `None` while the proxy is not running.
pub(crate) type RequestInbox = Rc<RefCell<Option<mpsc::UnboundedSender<SimulatedRequest>>>>;

/// The arguments with which a proxy's process is started.
pub(crate) struct ProxyContext {
    pub(crate) proxy: usize,
    pub(crate) ground_truth: Rc<GroundTruth>,
    pub(crate) network: SimulatedNetwork,
    pub(crate) environment: Environment,
}

/// Why a proxy exited.
#[derive(Debug, Error)]
pub(crate) enum ProxyError {
    #[error(transparent)]
    Settings(#[from] vanewharf_config::document::DocumentError),
    #[error("all event channels of the proxy closed at {at:?}")]
    QueuesClosed { at: Ticks },
}

/// A client's request that the proxy has accepted.
struct Transaction {
    request: SimulatedRequest,
    /// How many attempts were sent to backends so far.
    attempts: u32,
}

/// The state of a proxy's process.
pub(crate) struct SimulatedProxy {
    number: usize,
    ip: IpAddr,
    ground_truth: Rc<GroundTruth>,
    network: SimulatedNetwork,
    environment: Environment,
    data_plane: DataPlane,
    incarnation: u64,
    last_transaction: u64,
    /// The revision of the configuration in force.
    revision: u64,
    transactions: BTreeMap<TxnId, Transaction>,
    attempt_reports: mpsc::UnboundedSender<AttemptReport>,
}

impl SimulatedProxy {
    /// Runs the proxy. Sets `inbox` to the channel on which it receives clients' requests.
    pub(crate) async fn run(
        context: ProxyContext,
        settings: Settings,
        inbox: RequestInbox,
    ) -> Result<(), ProxyError> {
        let ProxyContext { proxy: number, ground_truth, network, environment } = context;
        let settings = Rc::new(settings);
        let frontend = settings.listen_address("frontend")?;
        let data_plane = DataPlane::start(&settings, &environment, frontend);
        ground_truth.publishers.borrow_mut().insert(number, data_plane.publisher.clone());
        let (request_sender, mut requests) = mpsc::unbounded_channel();
        *inbox.borrow_mut() = Some(request_sender);
        let (attempt_reports, mut reports) = mpsc::unbounded_channel();
        let mut proxy = SimulatedProxy {
            number,
            ip: settings.ip,
            ground_truth,
            network,
            incarnation: environment.random_incarnation(),
            environment,
            data_plane,
            last_transaction: 0,
            revision: 0,
            transactions: BTreeMap::new(),
            attempt_reports,
        };
        loop {
            let at = proxy.now();
            // Cancel safety: each branch waits on a channel's `recv`, which loses no message when it is dropped.
            tokio::select! {
                biased;
                Some(update) = proxy.data_plane.updates.recv() => proxy.apply_update(update),
                Some(report) = reports.recv() => proxy.handle_attempt_report(report),
                Some(request) = requests.recv() => proxy.handle_request(request),
                else => return Err(ProxyError::QueuesClosed { at }),
            }
        }
    }

    fn now(&self) -> Ticks {
        Ticks(self.data_plane.gate_state.clock.now().0 as i64)
    }

    fn apply_update(&mut self, update: Update) {
        if let Update::Register(register) = &update {
            self.record_register(register);
        }
        let now = self.now();
        self.data_plane.policy.apply_update(now, update);
        let actions = self.data_plane.policy.decide(now, Vec::new());
        self.execute_actions(actions);
    }

    fn record_register(&mut self, register: &Register) {
        let config = register.config.as_ref().and_then(|config| Config::parse(config.get().as_bytes()).ok());
        self.revision = config.map_or(0, |config| config.revision.0);
        let mut hasher = DefaultHasher::new();
        let config_text = register.config.as_ref().map(|config| config.get());
        (config_text, &register.evacuated, &register.membership).hash(&mut hasher);
        self.ground_truth.history.borrow_mut().received_registers.push(ReceivedRegister {
            proxy: self.number,
            incarnation: self.incarnation,
            at: Instant::now(),
            register: register.revision.0,
            configuration: self.revision,
            digest: hasher.finish(),
        });
    }

    fn handle_attempt_report(&mut self, report: AttemptReport) {
        let (txn, succeeded) = (report.txn, report.outcome == Outcome::Succeeded);
        let now = self.now();
        let actions = self.data_plane.policy.decide(now, vec![Event::AttemptEnded(report)]);
        if succeeded {
            self.respond(txn, 200);
        }
        self.execute_actions(actions);
    }

    fn handle_request(&mut self, request: SimulatedRequest) {
        self.last_transaction += 1;
        let (txn, now) = (TxnId(self.last_transaction), self.now());
        self.record_request(&request);
        let gate = RequestGate::new(Rc::clone(&self.data_plane.gate_state));
        let admission = request.to_http().map(|request| gate.admit(&request, now, txn));
        self.transactions.insert(txn, Transaction { request, attempts: 0 });
        match admission {
            Some(Admission::Route(arrival)) => {
                let actions = self.data_plane.policy.decide(now, vec![Event::RequestArrived(arrival)]);
                self.execute_actions(actions);
            }
            Some(Admission::Reject { status, .. }) => self.respond(txn, status),
            Some(Admission::RetryAfter(_)) => self.respond(txn, 503),
            Some(Admission::Health) | None => self.respond(txn, 500),
        }
    }

    fn record_request(&self, request: &SimulatedRequest) {
        let record = ClientRequest {
            sent: request.sent,
            proxy: self.number,
            revision: self.revision,
            attempt: request.attempt,
            status: None,
            latency: Duration::ZERO,
        };
        self.ground_truth.history.borrow_mut().requests.insert(request.attempt, record);
    }

    /// Records the response to a client, unless one was recorded before.
    fn respond(&mut self, txn: TxnId, status: u16) {
        if let Some(transaction) = self.transactions.get(&txn)
            && let attempt = transaction.request.attempt
            && let Some(record) = self.ground_truth.history.borrow_mut().requests.get_mut(&attempt)
            && record.status.is_none()
        {
            record.status = Some(status);
            record.latency = record.sent.elapsed();
        }
    }

    fn execute_actions(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::SendAttempt { txn, backend, .. } => self.send_attempt(txn, backend),
                Action::Reject { txn, retry_after } => {
                    self.respond(txn, if retry_after.is_some() { 429 } else { 503 });
                }
                Action::Fail { txn } => self.respond(txn, 502),
                // Simulated attempts always end by themselves, so there is nothing to cancel.
                Action::CancelAttempt { .. }
                | Action::SetTimer { .. }
                | Action::IncrementCounter { .. }
                | Action::SendPeerMessage { .. } => {}
            }
        }
    }

    fn send_attempt(&mut self, txn: TxnId, backend: BackendId) {
        let headers = self.data_plane.policy.extra_headers(txn, backend);
        let header = |name: &str| {
            let found = headers.iter().find(|(known, _)| *known == name);
            found.map(|(_, value)| value.clone()).unwrap_or_default()
        };
        let (backend, tenant) = (header("Expected-Instance"), header("Customer-Name"));
        let Some(transaction) = self.transactions.get_mut(&txn) else {
            return;
        };
        let number = AttemptNumber(transaction.attempts);
        transaction.attempts += 1;
        let request = transaction.request.clone();
        let backend_ip =
            self.ground_truth.backends.borrow().get(&backend).map(|backend| backend.address.ip());
        let spread = Duration::from_millis(self.environment.random_below(SERVICE_TIME_SPREAD_MS));
        let attempt = BackendAttempt {
            txn,
            number,
            time_left: CLIENT_TIMEOUT.saturating_sub(request.sent.elapsed()),
            request,
            backend,
            backend_ip,
            tenant,
            delay: backend_ip.map_or(Duration::ZERO, |ip| self.network.delay(self.ip, ip)),
            service_time: MIN_SERVICE_TIME + spread,
            proxy: self.number,
            proxy_ip: self.ip,
            revision: self.revision,
            ground_truth: Rc::clone(&self.ground_truth),
            network: self.network.clone(),
            reports: self.attempt_reports.clone(),
        };
        tokio::task::spawn_local(attempt.run());
    }
}

/// One attempt to have a request executed by a backend.
struct BackendAttempt {
    txn: TxnId,
    number: AttemptNumber,
    request: SimulatedRequest,
    /// The time until the client gives up.
    time_left: Duration,
    backend: String,
    /// `None` if there is no such backend.
    backend_ip: Option<IpAddr>,
    tenant: String,
    /// The one-way network delay to the backend.
    delay: Duration,
    service_time: Duration,
    proxy: usize,
    proxy_ip: IpAddr,
    revision: u64,
    ground_truth: Rc<GroundTruth>,
    network: SimulatedNetwork,
    reports: mpsc::UnboundedSender<AttemptReport>,
}

impl BackendAttempt {
    async fn run(self) {
        let started = Instant::now();
        if self.backend_ip.is_none_or(|ip| !self.network.is_open(self.proxy_ip, ip)) {
            sleep(CONNECT_TIMEOUT).await;
            self.report(Outcome::ConnectFailed, started);
            return;
        }
        sleep(self.delay).await;
        // The backend may have stopped while the request was on its way.
        if !self.backend_is_running() {
            self.report(Outcome::ConnectFailed, started);
            return;
        }
        self.record_execution();
        let response_time = self.service_time + self.delay;
        let in_time = started.elapsed() + response_time <= self.time_left;
        sleep(response_time.min(self.time_left)).await;
        self.report(if in_time { Outcome::Succeeded } else { Outcome::TimedOut }, started);
    }

    fn backend_is_running(&self) -> bool {
        let backends = self.ground_truth.backends.borrow();
        backends.get(&self.backend).is_some_and(|backend| backend.stopped_at.is_none())
    }

    fn record_execution(&self) {
        self.ground_truth.history.borrow_mut().executions.push(Execution {
            at: Instant::now(),
            sent: self.request.sent,
            attempt: self.request.attempt,
            mutating: self.request.mutating,
            backend: self.backend.clone(),
            tenant: self.tenant.clone(),
            access_key: self.request.access_key.clone(),
            proxy: self.proxy,
            revision: self.revision,
        });
    }

    fn report(&self, outcome: Outcome, started: Instant) {
        let latency = Ticks((started.elapsed().as_micros() / MICROSECONDS_PER_TICK) as i64);
        // Sending fails if the proxy was killed in the meantime.
        let _ = self.reports.send(AttemptReport {
            txn: self.txn,
            attempt: self.number,
            outcome,
            latency,
            complete: outcome == Outcome::Succeeded,
            metered_usage: None,
            actual_cost: None,
        });
    }
}
