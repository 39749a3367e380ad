//! Discrete-event simulation of a fleet. Events are processed in order of their times, and events with the same time in
//! the order in which they were scheduled. The same experiment, seed and policy give the same results.
//!
//! [`Simulation`] owns all state. Its submodules implement gateways, client tries, attempts at backends, discovery, the
//! supporting services (shared counter and peer messages), and faults.

mod attempts;
mod clients;
mod discovery;
mod event_queue;
mod faults;
mod gateways;
mod services;

use crate::arrivals::Arrivals;
use crate::backends::{Backend, State};
use crate::experiment::Experiment;
use crate::policy::{FleetView, Policy};
use crate::quotas::CustomerQuota;
use crate::random::{RandomStream, Stream, millis, seconds};
use crate::rules::{Rule, RuleViolation};
use crate::score::{RunRecord, ScoreRecorder};
use attempts::{Attempt, IdleConnections};
use clients::ClientTry;
use discovery::{KnownBackend, Publication};
use event_queue::{EventQueue, SimEvent};
use gateways::Gateway;
use services::{CounterShard, PeerMessageLimiter};
use std::collections::{BTreeMap, HashMap};
use vanewharf_policy::interface::{BackendStatus, Outcome, Ticks};

/// Time at which a run starts. It is far from 0 because real gateways do not start at the origin of their clock either.
pub(crate) const RUN_START: Ticks = Ticks(10_000_000);
/// Interval in seconds at which the fleet is sampled for the policy and the score.
const VIEW_INTERVAL_S: f64 = 0.1;
/// Minimum duration in seconds for which a run continues after the last client deadline.
const RUN_OUT_TIME_S: f64 = 5.0;
/// Maximum age of open requests, in seconds. Searches for open requests skip older ones.
const MAX_REQUEST_AGE_S: f64 = 60.0;

/// Random streams, one per purpose.
struct RandomStreams {
    net: RandomStream,
    clients: RandomStream,
    faults: RandomStream,
    discovery: RandomStream,
    services: RandomStream,
    policy: RandomStream,
}

impl RandomStreams {
    fn new(seed: u64) -> RandomStreams {
        let stream = |stream| RandomStream::new(seed, stream);
        RandomStreams {
            net: stream(Stream::Net),
            clients: stream(Stream::Clients),
            faults: stream(Stream::Faults),
            discovery: stream(Stream::Discovery),
            services: stream(Stream::Services),
            policy: stream(Stream::Policy),
        }
    }
}

/// Active faults that are not part of the state of a backend or gateway.
#[derive(Default)]
struct ActiveFaults {
    counter_down: bool,
    /// Additional delay of discovery and meter readings, in seconds.
    extra_delay_s: f64,
    /// Zone that is partitioned from the others.
    cut_zone: Option<usize>,
    /// Selected targets, by index of the fault.
    targets: BTreeMap<usize, Vec<usize>>,
}

/// A run of an experiment with one policy.
pub struct Simulation<'a, P: Policy> {
    experiment: &'a Experiment,
    arrivals: &'a Arrivals,
    policy: P,
    now: Ticks,
    queue: EventQueue,
    gateways: Vec<Gateway>,
    backends: Vec<Backend>,
    /// Latest published status of each backend.
    published: Vec<Publication>,
    quotas: Vec<CustomerQuota>,
    tries: Vec<ClientTry>,
    attempts: Vec<Attempt>,
    /// Idle connections, by gateway and backend.
    idle_connections: HashMap<(usize, usize), IdleConnections>,
    counter: Vec<CounterShard>,
    faults: ActiveFaults,
    view: FleetView,
    random: RandomStreams,
    score: ScoreRecorder,
}

impl<'a, P: Policy> Simulation<'a, P> {
    /// Creates a fleet whose backends are all warmed up, and schedules all first tries and faults.
    pub fn new(
        experiment: &'a Experiment,
        arrivals: &'a Arrivals,
        seed: u64,
        policy: P,
    ) -> Simulation<'a, P> {
        let fleet = &experiment.fleet;
        let plan = |plan: usize| CustomerQuota::new(&experiment.plan[plan], experiment, RUN_START);
        let shards = experiment.counter.as_ref().map_or(0, |counter| counter.parts);
        let mut simulation = Simulation {
            experiment,
            arrivals,
            policy,
            now: RUN_START,
            queue: EventQueue::default(),
            gateways: new_gateways(experiment),
            backends: new_backends(experiment, seed),
            published: vec![Publication::default(); fleet.backends],
            quotas: arrivals.customers.iter().map(|customer| plan(customer.plan.0)).collect(),
            tries: Vec::new(),
            attempts: Vec::new(),
            idle_connections: HashMap::new(),
            counter: (0..shards).map(|_| CounterShard::default()).collect(),
            faults: ActiveFaults::default(),
            view: FleetView { waits: Vec::new(), service_times: Vec::new() },
            random: RandomStreams::new(seed),
            score: ScoreRecorder::new(experiment, arrivals),
        };
        simulation.schedule_initial_events();
        simulation
    }

    fn schedule_initial_events(&mut self) {
        for gateway in 0..self.gateways.len() {
            self.start_gateway(gateway);
        }
        self.refresh_view();
        for (first_try, first) in self.arrivals.first_tries.iter().enumerate() {
            self.schedule(RUN_START + first.at, SimEvent::FirstTry { first_try });
        }
        for (fault, settings) in self.experiment.fault.iter().enumerate() {
            self.schedule(RUN_START + seconds(settings.at_s), SimEvent::FaultBegins { fault, step: 0 });
        }
    }

    fn schedule(&mut self, at: Ticks, event: SimEvent) {
        self.queue.push(at.max(self.now), event);
    }

    /// Runs until no events are left, but at most for three times the longest product expiry plus the run-out time after the
    /// end of the arrivals.
    pub fn run(mut self) -> RunRecord {
        let max_expiry_ms =
            self.experiment.product.iter().map(|product| product.expiry_ms).fold(0.0, f64::max);
        let end =
            RUN_START + seconds(self.experiment.length_s + max_expiry_ms / 1_000.0 * 3.0 + RUN_OUT_TIME_S);
        while let Some((at, event)) = self.queue.pop() {
            if at > end {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        let worked_ms: f64 = self.backends.iter().map(|backend| backend.worked_ms).sum();
        self.score.finish(worked_ms)
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::FirstTry { first_try } => self.begin_first_try(first_try),
            SimEvent::Retry { client_try } => self.send_try(client_try),
            SimEvent::GatewayRuns { gateway, incarnation } => self.run_gateway(gateway, incarnation),
            SimEvent::GatewayReceives { gateway, incarnation, event } => {
                self.deliver(gateway, incarnation, event);
            }
            SimEvent::GatewayRestarts { gateway } => self.restart_gateway(gateway),
            SimEvent::AttemptArrives { attempt } => self.receive_attempt(attempt),
            SimEvent::WorkEnds { attempt, incarnation } => self.finish_work(attempt, incarnation),
            SimEvent::AttemptAnswered { attempt, outcome } => self.answer_attempt(attempt, outcome),
            SimEvent::CancellationArrives { attempt } => self.cancel_at_backend(attempt),
            SimEvent::AttemptTimesOut { attempt } => self.end_attempt(attempt, Outcome::TimedOut),
            SimEvent::ClientTimesOut { client_try } => self.expire_try(client_try),
            SimEvent::AnswerOverdue { client_try } => self.check_answered(client_try),
            SimEvent::FaultBegins { fault, step } => self.begin_fault(fault, step),
            SimEvent::FaultEnds { fault, step } => self.end_fault(fault, step),
            SimEvent::DiscoveryAnnounces { backend, version } => self.announce(backend, version),
            SimEvent::CounterReceives(call) => self.handle_counter_call(call),
            SimEvent::RefreshView => self.refresh_view(),
        }
    }

    fn record_violation(&mut self, rule: Rule, description: String) {
        self.score.violations.push(RuleViolation { rule, at: self.now - RUN_START, description });
    }

    /// Draws a one-way network delay within the fleet.
    fn one_way_delay(&mut self, cross_zone: bool) -> Ticks {
        let net = &self.experiment.net;
        let mean = if cross_zone { net.cross_ms } else { net.same_ms };
        millis(mean * (1.0 + net.jitter * (2.0 * self.random.net.unit() - 1.0))).max(Ticks(1))
    }

    /// Returns the one-way network delay between a client and a gateway.
    fn client_delay(&self) -> Ticks {
        millis(self.experiment.net.client_ms)
    }

    fn crosses_zones(&self, gateway: usize, backend: usize) -> bool {
        self.gateways[gateway].zone != self.backends[backend].zone
    }

    /// Takes a snapshot of the backends for the policy and the score.
    fn refresh_view(&mut self) {
        let fleet = &self.experiment.fleet;
        let products = &self.experiment.product;
        let shares: f64 = products.iter().map(|product| product.share).sum();
        let mean_work_ms =
            products.iter().map(|product| product.share * product.work_ms).sum::<f64>() / shares;
        let service_time = |backend: &Backend| mean_work_ms / backend.capacity(self.now, fleet).max(1e-6);
        let wait = |backend: &Backend| {
            let accepting = backend.state == State::Up && !backend.draining;
            let ahead = backend.outstanding() as f64 + 1.0 - fleet.cores as f64 * 0.5;
            accepting.then(|| ahead.max(0.0) * service_time(backend) + mean_work_ms / 1_000.0)
        };
        self.view.waits = self.backends.iter().map(wait).collect();
        self.view.service_times = self.backends.iter().map(service_time).collect();
        self.policy.view_refreshed(self.now, self.backends.len());
        let up = self.backends.iter().filter(|backend| backend.state == State::Up);
        let capacity: f64 = up.map(|backend| backend.capacity(self.now, fleet)).sum();
        let queue_lengths = self.backends.iter().map(|backend| backend.outstanding());
        self.score.record_sample(self.now, capacity, queue_lengths);
        if self.now < RUN_START + seconds(self.experiment.length_s) {
            self.schedule(self.now + seconds(VIEW_INTERVAL_S), SimEvent::RefreshView);
        }
    }
}

fn new_backends(experiment: &Experiment, seed: u64) -> Vec<Backend> {
    let fleet = &experiment.fleet;
    let mut speeds = RandomStream::new(seed, Stream::Fleet);
    let zones = fleet.places.len();
    let backend = |index: usize| Backend::new(index % zones, index / fleet.cell, speeds.span(fleet.speed));
    (0..fleet.backends).map(backend).collect()
}

fn new_gateways(experiment: &Experiment) -> Vec<Gateway> {
    let fleet = &experiment.fleet;
    let known =
        KnownBackend { listed: true, status: BackendStatus::Ready, started_at: None, stopped_at: None };
    let gateway = |index: usize| Gateway {
        up: true,
        incarnation: 0,
        zone: index % fleet.places.len(),
        stalled_until: RUN_START,
        down_since: RUN_START,
        inbox: Vec::new(),
        run_scheduled: false,
        backends: vec![known.clone(); fleet.backends],
        peer_message_limiter: PeerMessageLimiter::new(RUN_START),
    };
    (0..fleet.doors).map(gateway).collect()
}
