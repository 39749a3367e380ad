//! The lifecycle of a request: arrival, admission, the pools of one region after the other, the attempts in each pool,
//! and the final answer. Each step appends the actions that the router has to carry out.

use super::admission::Verdict;
use super::request::{Attempt, RequestInFlight};
use super::{BackendPools, PoolKey, warm_up};
use crate::snapshot::AuthorizedRequest;
use crate::update::{TokenGrants, WaitingAnswer};
use rand::Rng;
use std::rc::Rc;
use vanewharf_health::pick_weighted;
use vanewharf_policy::interface::{
    Action, Arrival, AttemptNumber, AttemptReport, BackendId, Event, Outcome, Ticks, TxnId,
};

impl BackendPools {
    /// Handles the arrival of a request that the gate has authorized.
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

    /// Applies the lenders' answers. The resulting actions are carried out with the next batch of events.
    pub(super) fn apply_token_grants(&mut self, grants: TokenGrants, now: Ticks) {
        let at = self.clock.now();
        self.admission.record_grants(&grants, at);
        let mut actions = Vec::new();
        for WaitingAnswer { txn, answer } in grants.waiting {
            if let Some(verdict) = self.admission.resume(txn, answer, now, at) {
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

    /// Picks one of the route's services at random by weight and offers the request to the first pool.
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

    /// Offers the request to the pool of the next region, or rejects the request if none is left.
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

    /// Rejects a request that no pool accepts. Its quota token is returned unless an attempt reached a backend.
    fn reject(&mut self, txn: TxnId, actions: &mut Vec<Action>) {
        if let Some(request) = self.requests.get(&txn)
            && let Some(tenant) = request.tenant.as_ref().filter(|_| !request.reached_backend)
        {
            self.admission.refund(&tenant.name, self.clock.now());
        }
        self.conclude(txn);
        actions.push(Action::Reject { txn, retry_after: None });
    }

    /// Replaces a pool by a new one with the same backends and without what was learnt about their latencies.
    fn restart_pool(&mut self, key: &PoolKey, now: Ticks) {
        self.pools.remove(key);
        let backends = self.backends.published_in(key);
        self.pool(key, now).decide(now, Event::BackendList(backends));
    }

    /// Marks a request as concluded. It is retained until all its attempts have ended, because the balancers must be
    /// notified of each end.
    fn conclude(&mut self, txn: TxnId) {
        if let Some(request) = self.requests.get_mut(&txn) {
            request.conclude();
            self.concluded.push(txn);
        }
    }

    /// Translates a balancer's decision into actions for the router.
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

    /// Sends an attempt that a balancer requests, or notifies the balancer that the attempt was not sent.
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
        // The balancer then chooses another backend or rejects the request.
        let event = Event::AttemptEnded(not_sent(txn, number_in_pool));
        let decision = self.pool(key, now).decide(now, event);
        self.carry_out(key, decision, now, actions);
    }

    /// Whether one more attempt may be sent, by the route's maximum, the backend's slow start and, once an attempt has
    /// reached a backend, the service's retry budget. Takes the tokens for it.
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

    /// Handles the end of an attempt: its pool's balancer decides what follows.
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

    /// Counts an attempt for outlier detection. Rejections for lack of capacity and attempts that were not
    /// completed say nothing about a backend's health.
    fn record_backend_health(&mut self, backend: BackendId, outcome: Outcome) {
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
            self.carry_out(&key, decision, now, actions);
        }
    }
}

/// The report on an attempt that was not sent.
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
