//! The path of a request through the pools: from its arrival to its admission, from region to region, attempt by
//! attempt, to its answer. Each step appends to the actions that the router is to carry out.

use super::admission::Verdict;
use super::request::{Attempt, RequestInFlight};
use super::{BackendPools, PoolKey, warm_up};
use crate::snapshot::AuthorizedRequest;
use crate::update::TokenGrants;
use rand::Rng;
use std::rc::Rc;
use vanewharf_health::pick_weighted;
use vanewharf_policy::interface::{
    Action, Arrival, AttemptNumber, AttemptReport, BackendId, Event, Outcome, Ticks, TxnId,
};

impl BackendPools {
    /// A request has arrived that the gate has authorized.
    pub(super) fn handle_arrival(&mut self, arrival: &Arrival, now: Ticks, actions: &mut Vec<Action>) {
        let txn = arrival.txn;
        let Some(request) = self.snapshot.take_authorized(txn) else {
            return actions.push(Action::Reject { txn, retry_after: None });
        };
        self.status.count_request(&request.rule);
        let request = AuthorizedRequest { expiry: arrival.deadline, ..request };
        let verdict = self.admission.admit(txn, request, now, self.clock.now());
        self.apply_verdict(txn, verdict, now, actions);
    }

    /// Lenders have answered: requests that waited for a token go on with the next batch of events.
    pub(super) fn apply_token_grants(&mut self, grants: TokenGrants, now: Ticks) {
        let at = self.clock.now();
        self.admission.record_grants(&grants, at);
        let mut actions = Vec::new();
        for (txn, answer) in grants.waiting {
            if let Some(verdict) = self.admission.resume(txn, answer, at) {
                self.apply_verdict(txn, verdict, now, &mut actions);
            }
        }
        self.pending.append(&mut actions);
    }

    fn apply_verdict(&mut self, txn: TxnId, verdict: Verdict, now: Ticks, actions: &mut Vec<Action>) {
        match verdict {
            Verdict::Admitted(request) => self.start_request(txn, request, now, actions),
            Verdict::Waiting => {}
            Verdict::Rejected { retry_after } => {
                actions.push(Action::Reject { txn, retry_after: Some(retry_after) });
            }
        }
    }

    /// Draws the service that serves the request, and offers it to the first pool.
    fn start_request(
        &mut self,
        txn: TxnId,
        request: AuthorizedRequest,
        now: Ticks,
        actions: &mut Vec<Action>,
    ) {
        let draw = self.random.random::<f64>();
        let services = &request.rule.services;
        let drawn = pick_weighted(services.iter().map(|service| service.weight), draw);
        let service = Rc::clone(&services[drawn].name);
        self.retry_budgets.record_request(&service, self.proxy_count);
        self.requests.insert(txn, RequestInFlight::new(request, service, &self.location));
        self.offer_to_next_pool(txn, now, actions);
    }

    /// Offers the request to the pool of the next region; rejects it where none is left.
    fn offer_to_next_pool(&mut self, txn: TxnId, now: Ticks, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&txn) else {
            return;
        };
        let Some(key) = request.next_pool() else {
            return self.reject(txn, actions);
        };
        let (rule, expiry) = (Rc::clone(&request.rule), request.expiry);
        let at = self.clock.now();
        let pool = self.pool(&key, now);
        let decision = pool.offer(txn, &rule, expiry, now);
        if pool.has_stalled(&decision, at) {
            self.restart_pool(&key, now);
        }
        self.carry_out(&key, decision, now, actions);
    }

    /// Ends a request that no pool takes. Its token is given back unless it reached a backend.
    fn reject(&mut self, txn: TxnId, actions: &mut Vec<Action>) {
        if let Some(request) = self.requests.get(&txn)
            && let Some(tenant) = request.tenant.as_ref().filter(|_| !request.reached_backend)
        {
            self.admission.refund(&tenant.name, self.clock.now());
        }
        self.conclude(txn);
        actions.push(Action::Reject { txn, retry_after: None });
    }

    /// Replaces a pool's balancer by a new one, which knows the same backends and nothing of their latencies.
    fn restart_pool(&mut self, key: &PoolKey, now: Ticks) {
        self.pools.remove(key);
        let backends = self.backends.published_in(key);
        self.pool(key, now).decide(now, Event::BackendList(backends));
    }

    /// Marks a request as answered. It is kept until its attempts have ended, as the balancers must be told of each.
    fn conclude(&mut self, txn: TxnId) {
        if let Some(request) = self.requests.get_mut(&txn) {
            request.conclude();
            self.concluded.push(txn);
        }
    }

    /// Translates what a pool's balancer wants done into actions for the router.
    fn carry_out(&mut self, key: &PoolKey, decision: Vec<Action>, now: Ticks, actions: &mut Vec<Action>) {
        for action in decision {
            match action {
                Action::SendAttempt { txn, backend, .. } => {
                    self.send_attempt(key, txn, backend, now, actions);
                }
                Action::CancelAttempt { txn, attempt } => {
                    let request = self.requests.get(&txn);
                    let attempt = request.and_then(|request| request.attempt_number(key, attempt));
                    actions.extend(attempt.map(|attempt| Action::CancelAttempt { txn, attempt }));
                }
                Action::Reject { txn, .. } => self.offer_to_next_pool(txn, now, actions),
                Action::Fail { txn } => {
                    self.conclude(txn);
                    actions.push(Action::Fail { txn });
                }
                // Quota counters, peers and their timers belong to other deployments.
                Action::SetTimer { .. }
                | Action::IncrementCounter { .. }
                | Action::SendPeerMessage { .. } => {}
            }
        }
    }

    /// Sends the attempt that a balancer asks for, or notifies the balancer that it was not sent.
    fn send_attempt(
        &mut self,
        key: &PoolKey,
        txn: TxnId,
        backend: BackendId,
        now: Ticks,
        actions: &mut Vec<Action>,
    ) {
        let allowed = self.may_send(txn, backend);
        let Some(request) = self.requests.get_mut(&txn) else {
            return;
        };
        let number_in_pool = request.count_requested_attempt(key);
        if allowed {
            request.add_attempt(Attempt { pool: key.clone(), backend, number_in_pool, ended: false });
            if let Some(pool) = self.pools.get_mut(key) {
                pool.record_attempt_start();
            }
            return actions.push(Action::SendAttempt { txn, backend, timeout: None });
        }
        // The balancer looks for another backend, or gives up.
        let event = Event::AttemptEnded(not_sent(txn, number_in_pool));
        let decision = self.pool(key, now).decide(now, event);
        self.carry_out(key, decision, now, actions);
    }

    /// Whether one more attempt may be sent: within the route's attempts, the backend's slow start and, after an attempt
    /// that reached a backend, the service's retry budget. Spends what it needs.
    fn may_send(&mut self, txn: TxnId, backend: BackendId) -> bool {
        let at = self.clock.now();
        let Some(request) = self.requests.get(&txn).filter(|request| request.has_attempts_left()) else {
            return false;
        };
        let Some(backend) = self.backends.get_mut(backend) else {
            return false;
        };
        let (tables, limits, proxy_count) = (self.tables.as_deref(), &self.limits, self.proxy_count);
        let service = tables.and_then(|tables| tables.services.get(&backend.listed.service));
        let limit = || {
            let rate_per_s = service.map_or(0.0, |service| service.warmup_per_s);
            warm_up::proxy_limit(limits, rate_per_s, proxy_count)
        };
        if !backend.warm_up.try_send(limit, at) {
            return false;
        }
        !request.reached_backend || self.retry_budgets.try_spend(&request.service)
    }

    /// An attempt has ended: its pool's balancer decides what follows.
    pub(super) fn handle_attempt_end(
        &mut self,
        report: AttemptReport,
        now: Ticks,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get_mut(&report.txn) else {
            return;
        };
        let concluded = request.is_concluded();
        let Some(attempt) = request.end_attempt(report.attempt, report.outcome) else {
            return;
        };
        let (key, number_in_pool, backend) = (attempt.pool.clone(), attempt.number_in_pool, attempt.backend);
        self.record_backend_health(backend, report.outcome);
        if concluded || report.complete || report.outcome == Outcome::Succeeded {
            self.conclude(report.txn);
        }
        let Some(pool) = self.pools.get_mut(&key) else {
            return;
        };
        pool.record_attempt_end();
        let report = AttemptReport { attempt: number_in_pool, ..report };
        let decision = pool.decide(now, Event::AttemptEnded(report));
        self.carry_out(&key, decision, now, actions);
    }

    /// Counts an attempt for the detection of unhealthy backends. A backend that is full, or was not asked to the end,
    /// shows nothing of its health.
    fn record_backend_health(&mut self, backend: BackendId, outcome: Outcome) {
        if matches!(outcome, Outcome::Rejected | Outcome::Cancelled | Outcome::NotSent) {
            return;
        }
        if let Some(backend) = self.backends.get(backend) {
            let failed = outcome != Outcome::Succeeded;
            self.attempt_history.record_attempt(&backend.listed.id, failed, self.clock.now());
        }
    }

    /// A request's client has left without an answer.
    pub(super) fn handle_disconnect(&mut self, txn: TxnId, now: Ticks, actions: &mut Vec<Action>) {
        if self.admission.abandon(txn) {
            return;
        }
        let key = self.requests.get(&txn).and_then(|request| request.pool.clone());
        self.conclude(txn);
        let Some(key) = key else {
            return;
        };
        if let Some(pool) = self.pools.get_mut(&key) {
            let decision = pool.decide(now, Event::ClientDisconnected(txn));
            self.carry_out(&key, decision, now, actions);
        }
    }
}

/// The end of an attempt that was never sent.
fn not_sent(txn: TxnId, attempt: AttemptNumber) -> AttemptReport {
    AttemptReport {
        txn,
        attempt,
        outcome: Outcome::NotSent,
        latency: Ticks(0),
        complete: false,
        metered_usage: None,
        actual_cost: None,
    }
}
