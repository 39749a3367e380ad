//! Who decides in a simulation: the project's own decisions, one instance a gateway, and two baselines to compare them
//! with, the plainest there is and one that sees what no gateway can.

use std::collections::BTreeMap;
use vanewharf_policy::decide::Balancer;
use vanewharf_policy::interface::{
    Action, Arrival, AttemptReport, BackendId, BackendInfo, BackendStatus, BalancerConfig, Event,
    Idempotency, Outcome, Ticks, TxnId,
};

/// Backends between the first choices of gateways that go round robin.
const ROUND_ROBIN_STRIDE: usize = 7;

/// What the omniscient policy sees of the fleet, as it was a moment ago.
pub struct FleetView {
    /// For each backend, seconds that a newcomer would wait, or none where nothing should go.
    pub waits: Vec<Option<f64>>,
    /// For each backend, the seconds that a newcomer adds to the wait.
    pub paces: Vec<f64>,
}

/// Whether one who sees all would admit a request, by the true quotas.
pub type QuotaOracle<'a> = dyn FnMut(&Arrival) -> bool + 'a;

/// The decisions of all gateways of a simulation.
pub trait Policy {
    /// A gateway starts.
    fn start_gateway(&mut self, gateway: usize, config: BalancerConfig);

    /// A gateway stops, and all that it knew is lost.
    fn stop_gateway(&mut self, gateway: usize);

    /// The fleet's view was renewed.
    fn observe(&mut self, _now: Ticks, _backends: usize) {}

    /// A gateway handles a batch of events.
    fn decide(
        &mut self,
        gateway: usize,
        now: Ticks,
        events: Vec<Event>,
        view: &FleetView,
        admits: &mut QuotaOracle<'_>,
    ) -> Vec<Action>;
}

/// The project's own decisions.
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

/// An attempt of a request, as a baseline keeps it.
struct SentAttempt {
    backend: BackendId,
    may_have_run: bool,
}

struct OpenRequest {
    arrival: Arrival,
    attempts: Vec<SentAttempt>,
}

/// What both baselines keep of a gateway.
struct BaselineGateway {
    config: BalancerConfig,
    ready: Vec<BackendId>,
    /// Where the round has got to.
    next: usize,
    open: BTreeMap<TxnId, OpenRequest>,
}

impl BaselineGateway {
    fn new(config: BalancerConfig, next: usize) -> BaselineGateway {
        BaselineGateway { config, ready: Vec::new(), next, open: BTreeMap::new() }
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

    fn reject(&mut self, txn: TxnId, actions: &mut Vec<Action>) {
        let Some(request) = self.open.remove(&txn) else {
            return;
        };
        let may_have_run = request.attempts.iter().any(|attempt| attempt.may_have_run);
        let harmless = !may_have_run || self.idempotency(&request) != Idempotency::NonIdempotent;
        let rejection = Action::Reject { txn, retry_after: None };
        actions.push(if harmless { rejection } else { Action::Fail { txn } });
    }

    /// Notes the end of an attempt; whether its request may be sent again.
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
        let repeatable = self.idempotency(request) == Idempotency::Idempotent
            || !request.attempts.iter().any(|attempt| attempt.may_have_run);
        repeatable
            && request.attempts.len() < self.config.allowed.max_attempts
            && report.outcome != Outcome::TimedOut
            && report.outcome != Outcome::NotSent
    }
}

/// Admits everything, sends it to the backends in turn, and never retries.
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
                        state.reject(txn, &mut actions);
                    } else {
                        state.next += 1;
                        let backend = state.ready[state.next % state.ready.len()];
                        state.send(txn, backend, &mut actions);
                    }
                }
                Event::AttemptEnded(report) => {
                    state.end_attempt(&report);
                    if !report.complete {
                        state.reject(report.txn, &mut actions);
                    }
                }
                Event::ClientDisconnected(txn) => drop(state.open.remove(&txn)),
                _ => {}
            }
        }
        actions
    }
}

/// Sees every backend's queue as it was a moment ago and every quota as it is, and sends where the wait is shortest.
#[derive(Default)]
pub struct Omniscient {
    gateways: BTreeMap<usize, BaselineGateway>,
    /// For each backend, what was sent since the view was renewed, in seconds of wait.
    added: Vec<f64>,
}

impl Omniscient {
    /// The open backend with the shortest wait, and that wait in seconds.
    fn best_backend(
        &self,
        ready: &[BackendId],
        view: &FleetView,
        request: &OpenRequest,
    ) -> Option<(BackendId, f64)> {
        let wait = |id: &BackendId| {
            let backend = id.0 as usize;
            let added = self.added.get(backend).copied().unwrap_or_default();
            view.waits.get(backend)?.map(|wait| (*id, wait + added))
        };
        let tried = |id: &BackendId| request.attempts.iter().any(|attempt| attempt.backend == *id);
        let open = ready.iter().filter(|id| !tried(id));
        open.filter_map(wait).min_by(|one, other| one.1.total_cmp(&other.1))
    }

    /// Sends a request where it waits least, if it can be answered in time there.
    fn place(
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
        let left = sla.min((request.arrival.deadline - now).seconds());
        match self.best_backend(&state.ready, view, request) {
            Some((backend, wait)) if wait < left => {
                let index = backend.0 as usize;
                if let (Some(added), Some(pace)) = (self.added.get_mut(index), view.paces.get(index)) {
                    *added += pace;
                }
                state.send(txn, backend, actions);
            }
            _ => state.reject(txn, actions),
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

    fn observe(&mut self, _: Ticks, backends: usize) {
        self.added = vec![0.0; backends];
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
                        self.place(&mut state, txn, now, view, &mut actions);
                    } else {
                        state.reject(txn, &mut actions);
                    }
                }
                Event::AttemptEnded(report) => {
                    if state.end_attempt(&report) {
                        self.place(&mut state, report.txn, now, view, &mut actions);
                    } else if !report.complete {
                        state.reject(report.txn, &mut actions);
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
