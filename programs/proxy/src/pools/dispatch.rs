//! The lifecycle of a request: arrival, admission, the pools of one region after the other, the attempts in each pool,
//! and the final answer. Each step appends the actions for the router to `actions`.

use super::admission::AdmissionDecision;
use super::request::{Attempt, RequestInFlight};
use super::{PoolKey, ProxyPolicy, warm_up};
use crate::gate_state::AuthorizedRequest;
use crate::update::{TokenGrants, WaitingAnswer};
use rand::Rng;
use std::rc::Rc;
use vanewharf_health::pick_weighted;
use vanewharf_policy::interface::{
    Action, Arrival, AttemptNumber, AttemptReport, BackendId, Event, Outcome, Ticks, TxnId,
};

impl ProxyPolicy {
    /// Handles the arrival of a request that the gate has authorized.
    pub(super) fn handle_arrival(&mut self, arrival: &Arrival, now: Ticks, actions: &mut Vec<Action>) {
        let txn = arrival.txn;
        let Some(request) = self.gate_state.take_authorized(txn) else {
            return actions.push(Action::Reject { txn, retry_after: None });
        };
        self.status.count_request(&request.rule);
        let request = AuthorizedRequest { expiry: arrival.deadline, ..request };
        let decision = self.admission.admit(txn, request, now, self.clock.now());
        self.apply_admission(txn, decision, now, actions);
    }

    /// Applies the answers to token requests. The resulting actions are returned with the next batch of events.
    pub(super) fn apply_token_grants(&mut self, grants: TokenGrants, now: Ticks) {
        let at = self.clock.now();
        self.admission.record_grants(&grants, at);
        let mut actions = Vec::new();
        for WaitingAnswer { txn, answer } in grants.waiting {
            if let Some(decision) = self.admission.resume(txn, answer, now, at) {
                self.apply_admission(txn, decision, now, &mut actions);
            }
        }
        self.pending_actions.append(&mut actions);
    }

    fn apply_admission(
        &mut self,
        txn: TxnId,
        decision: AdmissionDecision,
        now: Ticks,
        actions: &mut Vec<Action>,
    ) {
        match decision {
            AdmissionDecision::Admitted(request) => self.start_request(txn, request, now, actions),
            AdmissionDecision::Waiting => {}
            AdmissionDecision::Rejected { retry_after } => {
                actions.push(Action::Reject { txn, retry_after: Some(retry_after) });
            }
        }
    }

    /// Chooses one of the route's services at random by weight, and offers the request to the first of its pools.
    fn start_request(
        &mut self,
        txn: TxnId,
        request: AuthorizedRequest,
        now: Ticks,
        actions: &mut Vec<Action>,
    ) {
        let draw = self.random.random::<f64>();
        let services = &request.rule.services;
        let chosen = pick_weighted(services.iter().map(|service| service.weight), draw);
        let service = Rc::clone(&services[chosen].name);
        self.retry_budgets.record_request(&service, self.proxy_count);
        self.requests.insert(txn, RequestInFlight::new(request, service, &self.location));
        self.offer_to_next_pool(txn, now, actions);
    }

    /// Offers the request to the pool of the next region, or rejects it if none is left.
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
        if pool.detect_stall(&decision, at) {
            self.restart_pool(&key, now);
        }
        self.apply_decision(&key, decision, now, actions);
    }

    /// Rejects a request that no pool accepts. Its quota token is refunded unless an attempt reached a backend.
    fn reject(&mut self, txn: TxnId, actions: &mut Vec<Action>) {
        if let Some(request) = self.requests.get(&txn)
            && let Some(tenant) = request.tenant.as_ref().filter(|_| !request.reached_backend)
        {
            self.admission.refund(&tenant.name, self.clock.now());
        }
        self.conclude(txn);
        actions.push(Action::Reject { txn, retry_after: None });
    }

    /// Replaces a pool by a new one with the same backends, whose balancer has learnt nothing about their latencies.
    fn restart_pool(&mut self, key: &PoolKey, now: Ticks) {
        self.pools.remove(key);
        let backends = self.backends.published_in(key);
        self.pool(key, now).decide(now, Event::BackendList(backends));
    }

    /// Marks a request as concluded. Its state is kept until all its attempts have ended, because the balancers must be
    /// notified of the end of each.
    fn conclude(&mut self, txn: TxnId) {
        if let Some(request) = self.requests.get_mut(&txn) {
            request.conclude();
            self.concluded.push(txn);
        }
    }

    /// Translates a balancer's decision into actions for the router.
    fn apply_decision(
        &mut self,
        key: &PoolKey,
        decision: Vec<Action>,
        now: Ticks,
        actions: &mut Vec<Action>,
    ) {
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
                // Balancers in pools have no quota counters and peers, nor timers for them.
                Action::SetTimer { .. }
                | Action::IncrementCounter { .. }
                | Action::SendPeerMessage { .. } => {}
            }
        }
    }

    /// Sends an attempt that a balancer requests, or notifies the balancer that it was not sent.
    fn send_attempt(
        &mut self,
        key: &PoolKey,
        txn: TxnId,
        backend: BackendId,
        now: Ticks,
        actions: &mut Vec<Action>,
    ) {
        let allowed = self.try_reserve_attempt(txn, backend);
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
        // The balancer responds by choosing another backend or rejecting the request.
        let event = Event::AttemptEnded(not_sent_report(txn, number_in_pool));
        let decision = self.pool(key, now).decide(now, event);
        self.apply_decision(key, decision, now, actions);
    }

    /// Returns whether one more attempt may be sent, and spends the tokens for it. The attempt is limited by
    /// the route's maximum, by the limit on a backend that warms up and, once an attempt has reached a backend, by the
    /// service's retry budget.
    fn try_reserve_attempt(&mut self, txn: TxnId, backend: BackendId) -> bool {
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
        if !backend.warm_up.try_spend(limit, at) {
            return false;
        }
        !request.reached_backend || self.retry_budgets.try_spend(&request.service)
    }

    /// Handles the end of an attempt. The balancer of its pool decides what to do next.
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
        self.record_attempt_result(backend, report.outcome);
        if concluded || report.complete || report.outcome == Outcome::Succeeded {
            self.conclude(report.txn);
        }
        let Some(pool) = self.pools.get_mut(&key) else {
            return;
        };
        pool.record_attempt_end();
        let report = AttemptReport { attempt: number_in_pool, ..report };
        let decision = pool.decide(now, Event::AttemptEnded(report));
        self.apply_decision(&key, decision, now, actions);
    }

    /// Counts an attempt for outlier detection. Rejected, cancelled and unsent attempts are not counted,
    /// because they do not indicate whether the backend is healthy.
    fn record_attempt_result(&mut self, backend: BackendId, outcome: Outcome) {
        if matches!(outcome, Outcome::Rejected | Outcome::Cancelled | Outcome::NotSent) {
            return;
        }
        if let Some(backend) = self.backends.get(backend) {
            let failed = outcome != Outcome::Succeeded;
            self.attempt_history.record_attempt(&backend.listed.id, failed, self.clock.now());
        }
    }

    /// Handles the disconnect of a request's client.
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
            self.apply_decision(&key, decision, now, actions);
        }
    }
}

/// Creates the report on an attempt that was not sent.
fn not_sent_report(txn: TxnId, attempt: AttemptNumber) -> AttemptReport {
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
