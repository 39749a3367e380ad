//! Policies that decide for the gateways of a simulation: the project's balancer, with one instance per gateway, and two
//! baselines for comparison. Round robin is the lower baseline; the omniscient policy is the upper one, with knowledge of
//! queues and quotas that no gateway has.

use std::collections::BTreeMap;
use vanewharf_policy::decide::Balancer;
use vanewharf_policy::interface::{
    Action, Arrival, AttemptReport, BackendId, BackendInfo, BackendStatus, BalancerConfig, Event,
    Idempotency, Outcome, Ticks, TxnId,
};

/// Offset between the initial backends of two round-robin gateways, so that they don't all start with the same backend.
const ROUND_ROBIN_STRIDE: usize = 7;

/// Snapshot of the backends for the omniscient policy. It is refreshed periodically.
pub struct FleetView {
    /// For each backend, the estimated time in seconds until a new request is finished, or none if the backend is down,
    /// unresponsive or draining.
    pub waits: Vec<Option<f64>>,
    /// For each backend, the seconds by which a new request increases that time.
    pub service_times: Vec<f64>,
}

/// Decides admission by the exact state of the customers' quotas. Only the omniscient policy uses it.
pub type QuotaOracle<'a> = dyn FnMut(&Arrival) -> bool + 'a;

/// A policy that decides for all gateways of a simulation.
pub trait Policy {
    /// Initializes the policy of a gateway that starts.
    fn start_gateway(&mut self, gateway: usize, config: BalancerConfig);

    /// Discards the state of a gateway that stops.
    fn stop_gateway(&mut self, gateway: usize);

    /// Notifies the policy that the snapshot of the backends was refreshed.
    fn view_refreshed(&mut self, _now: Ticks, _backends: usize) {}

    /// Processes a batch of events of a gateway and returns its actions.
    fn decide(
        &mut self,
        gateway: usize,
        now: Ticks,
        events: Vec<Event>,
        view: &FleetView,
        admits: &mut QuotaOracle<'_>,
    ) -> Vec<Action>;
}

/// The project's balancer.
#[derive(Default)]
pub struct BalancerPolicy {
    gateways: BTreeMap<usize, Balancer>,
}

impl Policy for BalancerPolicy {
    fn start_gateway(&mut self, gateway: usize, config: BalancerConfig) {
        self.gateways.insert(gateway, Balancer::new(config));
    }

    fn stop_gateway(&mut self, gateway: usize) {
        self.gateways.remove(&gateway);
    }

    fn decide(
        &mut self,
        gateway: usize,
        now: Ticks,
        events: Vec<Event>,
        _: &FleetView,
        _: &mut QuotaOracle<'_>,
    ) -> Vec<Action> {
        self.gateways.get_mut(&gateway).map_or_else(Vec::new, |balancer| balancer.decide(now, events))
    }
}

/// An attempt that a baseline has sent.
struct SentAttempt {
    backend: BackendId,
    may_have_run: bool,
}

struct OpenRequest {
    arrival: Arrival,
    attempts: Vec<SentAttempt>,
}

/// State of a gateway under either baseline.
struct BaselineGateway {
    config: BalancerConfig,
    ready: Vec<BackendId>,
    /// Round-robin position.
    position: usize,
    open: BTreeMap<TxnId, OpenRequest>,
}

impl BaselineGateway {
    fn new(config: BalancerConfig, position: usize) -> BaselineGateway {
        BaselineGateway { config, ready: Vec::new(), position, open: BTreeMap::new() }
    }

    fn replace_backends(&mut self, entries: &[BackendInfo]) {
        self.ready.clear();
        self.update_backends(entries);
    }

    fn update_backends(&mut self, entries: &[BackendInfo]) {
        for entry in entries {
            self.ready.retain(|id| *id != entry.backend);
            if entry.status == BackendStatus::Ready {
                self.ready.push(entry.backend);
            }
        }
        self.ready.sort_unstable();
    }

    fn add_request(&mut self, arrival: Arrival) {
        self.open.insert(arrival.txn, OpenRequest { arrival, attempts: Vec::new() });
    }

    fn send(&mut self, txn: TxnId, backend: BackendId, actions: &mut Vec<Action>) {
        if let Some(request) = self.open.get_mut(&txn) {
            request.attempts.push(SentAttempt { backend, may_have_run: true });
            actions.push(Action::SendAttempt { txn, backend, timeout: None });
        }
    }

    fn idempotency(&self, request: &OpenRequest) -> Idempotency {
        self.config.products[request.arrival.product.0].idempotency
    }

    /// Ends a request without a response: rejects it if a retry is safe, else fails it.
    fn refuse(&mut self, txn: TxnId, actions: &mut Vec<Action>) {
        let Some(request) = self.open.remove(&txn) else {
            return;
        };
        let may_have_run = request.attempts.iter().any(|attempt| attempt.may_have_run);
        let retry_is_safe = !may_have_run || self.idempotency(&request) != Idempotency::NonIdempotent;
        let rejection = Action::Reject { txn, retry_after: None };
        actions.push(if retry_is_safe { rejection } else { Action::Fail { txn } });
    }

    /// Records the end of an attempt, and returns whether its request may be sent again.
    fn end_attempt(&mut self, report: &AttemptReport) -> bool {
        if report.complete {
            self.open.remove(&report.txn);
            return false;
        }
        let Some(request) = self.open.get_mut(&report.txn) else {
            return false;
        };
        let Some(attempt) = request.attempts.get_mut(report.attempt.0 as usize) else {
            return false;
        };
        attempt.may_have_run = !report.outcome.never_ran();
        let request = &self.open[&report.txn];
        let retry_is_safe = self.idempotency(request) == Idempotency::Idempotent
            || !request.attempts.iter().any(|attempt| attempt.may_have_run);
        retry_is_safe
            && request.attempts.len() < self.config.allowed.max_attempts
            && report.outcome != Outcome::TimedOut
            && report.outcome != Outcome::NotSent
    }
}

/// Admits all requests, sends them to the backends round robin, and never retries.
#[derive(Default)]
pub struct RoundRobin {
    gateways: BTreeMap<usize, BaselineGateway>,
}

impl Policy for RoundRobin {
    fn start_gateway(&mut self, gateway: usize, config: BalancerConfig) {
        let state = BaselineGateway::new(config, gateway * ROUND_ROBIN_STRIDE);
        self.gateways.insert(gateway, state);
    }

    fn stop_gateway(&mut self, gateway: usize) {
        self.gateways.remove(&gateway);
    }

    fn decide(
        &mut self,
        gateway: usize,
        _: Ticks,
        events: Vec<Event>,
        _: &FleetView,
        _: &mut QuotaOracle<'_>,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        let Some(state) = self.gateways.get_mut(&gateway) else {
            return actions;
        };
        for event in events {
            match event {
                Event::BackendList(entries) => state.replace_backends(&entries),
                Event::BackendChanges(entries) => state.update_backends(&entries),
                Event::RequestArrived(arrival) => {
                    let txn = arrival.txn;
                    state.add_request(arrival);
                    if state.ready.is_empty() {
                        state.refuse(txn, &mut actions);
                    } else {
                        state.position += 1;
                        let backend = state.ready[state.position % state.ready.len()];
                        state.send(txn, backend, &mut actions);
                    }
                }
                Event::AttemptEnded(report) => {
                    state.end_attempt(&report);
                    if !report.complete {
                        state.refuse(report.txn, &mut actions);
                    }
                }
                Event::ClientDisconnected(txn) => drop(state.open.remove(&txn)),
                _ => {}
            }
        }
        actions
    }
}

/// Knows the recent queue of every backend and the exact state of every quota, and sends each request to the backend with
/// the shortest wait.
#[derive(Default)]
pub struct Omniscient {
    gateways: BTreeMap<usize, BaselineGateway>,
    /// For each backend, the wait in seconds that requests sent since the last snapshot add to it.
    added_waits: Vec<f64>,
}

impl Omniscient {
    /// Returns the ready backend with the shortest wait that the request was not sent to yet, and that wait in seconds.
    fn best_backend(
        &self,
        ready: &[BackendId],
        view: &FleetView,
        request: &OpenRequest,
    ) -> Option<(BackendId, f64)> {
        let wait = |id: &BackendId| {
            let backend = id.0 as usize;
            let added = self.added_waits.get(backend).copied().unwrap_or_default();
            view.waits.get(backend)?.map(|wait| (*id, wait + added))
        };
        let tried = |id: &BackendId| request.attempts.iter().any(|attempt| attempt.backend == *id);
        let untried = ready.iter().filter(|id| !tried(id));
        untried.filter_map(wait).min_by(|left, right| left.1.total_cmp(&right.1))
    }

    /// Sends a request to the backend with the shortest wait if that is below the SLA and the deadline, else refuses it.
    fn send_or_refuse(
        &mut self,
        state: &mut BaselineGateway,
        txn: TxnId,
        now: Ticks,
        view: &FleetView,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = state.open.get(&txn) else {
            return;
        };
        let sla = state.config.products[request.arrival.product.0].sla_time.seconds();
        let time_limit = sla.min((request.arrival.deadline - now).seconds());
        match self.best_backend(&state.ready, view, request) {
            Some((backend, wait)) if wait < time_limit => {
                let index = backend.0 as usize;
                if let (Some(added), Some(service_time)) =
                    (self.added_waits.get_mut(index), view.service_times.get(index))
                {
                    *added += service_time;
                }
                state.send(txn, backend, actions);
            }
            _ => state.refuse(txn, actions),
        }
    }
}

impl Policy for Omniscient {
    fn start_gateway(&mut self, gateway: usize, config: BalancerConfig) {
        self.gateways.insert(gateway, BaselineGateway::new(config, 0));
    }

    fn stop_gateway(&mut self, gateway: usize) {
        self.gateways.remove(&gateway);
    }

    fn view_refreshed(&mut self, _: Ticks, backends: usize) {
        self.added_waits = vec![0.0; backends];
    }

    fn decide(
        &mut self,
        gateway: usize,
        now: Ticks,
        events: Vec<Event>,
        view: &FleetView,
        admits: &mut QuotaOracle<'_>,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        let Some(mut state) = self.gateways.remove(&gateway) else {
            return actions;
        };
        for event in events {
            match event {
                Event::BackendList(entries) => state.replace_backends(&entries),
                Event::BackendChanges(entries) => state.update_backends(&entries),
                Event::RequestArrived(arrival) => {
                    let (txn, admitted) = (arrival.txn, admits(&arrival));
                    state.add_request(arrival);
                    if admitted {
                        self.send_or_refuse(&mut state, txn, now, view, &mut actions);
                    } else {
                        state.refuse(txn, &mut actions);
                    }
                }
                Event::AttemptEnded(report) => {
                    if state.end_attempt(&report) {
                        self.send_or_refuse(&mut state, report.txn, now, view, &mut actions);
                    } else if !report.complete {
                        state.refuse(report.txn, &mut actions);
                    }
                }
                Event::ClientDisconnected(txn) => drop(state.open.remove(&txn)),
                _ => {}
            }
        }
        self.gateways.insert(gateway, state);
        actions
    }
}
