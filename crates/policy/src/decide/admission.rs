//! The requests; mechanisms 2, room (drawn in step with it; what is late is rejected), and 5, retries.

use super::*;

/// The part of the SLA time that an owner's response may take: longer than messages do, shorter than a stall.
const OWNER_TIMEOUT: f64 = 0.1;
/// The part of the SLA time that the cheapest may be expected to take; the dearest up to half of it more.
const MIN_LOAD_LIMIT: f64 = 0.1;
/// A client that leaves sooner than so many usual latencies is seldom served, and its retry counts anew.
const MIN_STAY: f64 = 3.0;
/// Responses of which averages tell something.
const MIN_SAMPLES: f64 = 8.0;
/// What a response weighs at least in the average latency.
const MIN_LATENCY_WEIGHT: f64 = 0.03;
/// The part of a latency taken for waiting where too few attempts are in flight to see a queue.
const QUEUED_PART: f64 = 0.5;
/// Usual latencies over which attempts in flight are averaged: chance fills a gateway with few in one or two.
const IN_FLIGHT_SPAN: f64 = 5.0;
/// An open connection is so much more room, as a new one costs work and time; not while warming up.
const CONNECTED_ODDS: f64 = 8.0;
/// The way to another zone costs a little.
const LOCAL_ODDS: f64 = 5.0;

impl Balancer {
    pub(super) fn handle(&mut self, message: AdmissionMessage) {
        match message {
            AdmissionMessage::RequestArrived(arrival) => self.handle_arrival(arrival),
            AdmissionMessage::QuotaGranted(id) => self.handle_grant(id),
            AdmissionMessage::QuotaRefused(id, wait) => self.reject(id, wait),
            AdmissionMessage::AttemptEnded(report) => self.handle_attempt_end(report),
            AdmissionMessage::ClientDisconnected(id) => self.finish(id),
        }
    }

    fn handle_grant(&mut self, id: TxnId) {
        if self.send_attempt(id).is_some() {
            return;
        }
        let claim = self.admission.requests.get(&id).map(|request| request.arrival.claim);
        self.quota.inbox.extend(claim.map(QuotaMessage::refund));
        self.reject(id, None);
    }

    fn handle_arrival(&mut self, mut arrival: Arrival) {
        let ctx = Context { now: self.now, config: &self.config };
        if arrival.claim.subset_size == 0 {
            arrival.claim.subset_size = ctx.config.gateway_count.max(1);
        }
        let (txn, claim, product) = (arrival.txn, arrival.claim, &ctx.config.products[arrival.product.0]);
        let (latency, stay) = (self.admission.latencies[arrival.product.0], arrival.deadline - self.now);
        let plan = ctx.plan(claim.plan);
        // By the time it takes: a long request that keeps a backend busy stands in the way of several short ones.
        let value = product.value * plan.value_factor / latency.mean;
        let leaves = latency.samples >= MIN_SAMPLES && stay.seconds() < MIN_STAY * latency.mean;
        self.admission.update_load(value, ctx);
        let sheds = self.admission.sheds(value) || leaves;
        let has_room = !self.admission.sheds(value * plan.excess_value);
        let request = Request { arrival, arrived_at: self.now, ..Request::default() };
        self.admission.requests.insert(txn, request);
        if sheds || self.admission.backends.is_empty() {
            return self.reject(txn, None);
        }
        let (random, owner_timeout) = (self.rng.random(), product.sla_time.min(stay).times(OWNER_TIMEOUT));
        let check = QuotaCheck { txn, claim, random, stay, owner_timeout, has_room, ..Default::default() };
        self.quota.inbox.push_back(QuotaMessage::Check(check));
    }

    /// A rejection says that another try is harmless, so it is kept from what may have run and must not again.
    fn reject(&mut self, id: TxnId, wait: Option<Ticks>) {
        let Some(request) = self.admission.requests.get(&id) else {
            return;
        };
        let idempotency = self.config.products[request.arrival.product.0].idempotency;
        let may_have_run = request.first_that_may_have_run().is_some();
        let harmless = !may_have_run || idempotency != Idempotency::NonIdempotent;
        let allowed = &self.config.allowed;
        let retry_after = wait.filter(|_| allowed.retry_after).map(|span| span.min(allowed.max_retry_after));
        let rejection = Action::Reject { txn: id, retry_after };
        self.actions.push(if harmless { rejection } else { Action::Fail { txn: id } });
        self.finish(id);
    }

    /// The request needs no answer any more; it is kept while an attempt is in flight.
    fn finish(&mut self, id: TxnId) {
        let Some(request) = self.admission.requests.get_mut(&id) else {
            return;
        };
        let first = !std::mem::replace(&mut request.answered, true);
        if !request.attempts.last().is_some_and(|last| last.in_flight) {
            self.admission.requests.remove(&id);
        } else if first && self.config.allowed.cancel {
            let attempt = AttemptNumber(request.attempts.len() as u32 - 1);
            self.actions.push(Action::CancelAttempt { txn: id, attempt });
        }
    }

    fn handle_attempt_end(&mut self, report: AttemptReport) {
        let AttemptReport { txn, attempt, outcome, .. } = report;
        let Some(request) = self.admission.requests.get_mut(&txn) else {
            return;
        };
        let Some(backend) = request.end_attempt(attempt, outcome) else {
            return;
        };
        let answered = request.answered;
        let Arrival { claim, product, .. } = request.arrival;
        let succeeded = outcome == Outcome::Succeeded;
        let owed = report.actual_cost.filter(|_| succeeded).map_or(0.0, |cost| cost - claim.cost);
        // What did not get through fed no overload, so sending it again is not charged.
        self.admission.retry_budget += f64::from(u8::from(outcome == Outcome::ConnectFailed));
        let metered_usage = report.metered_usage;
        self.quota.inbox.push_back(QuotaMessage::AttemptEnded { claim, metered_usage, owed });
        let latency = report.latency.seconds();
        let relative_latency = latency / self.admission.latencies[product.0].mean.max(1e-4);
        if succeeded {
            let ctx = Context { now: self.now, config: &self.config };
            self.admission.latencies[product.0].record(latency, MIN_LATENCY_WEIGHT);
            self.admission.success_rate.add(1.0, RATE_SPAN, ctx);
        }
        self.backends
            .notify(backend, BackendMessage::AttemptEnded { txn, attempt, outcome, relative_latency });
        if answered || report.complete {
            self.finish(txn);
        } else if !(self.try_spend_retry(txn) && self.send_attempt(txn).is_some()) {
            self.reject(txn, None);
        }
    }

    /// Against effects twice, and against retries that feed an overload or come too late to be of value.
    fn try_spend_retry(&mut self, id: TxnId) -> bool {
        let Some(request) = self.admission.requests.get(&id) else {
            return false;
        };
        let product = &self.config.products[request.arrival.product.0];
        let may_have_run = request.first_that_may_have_run().is_some();
        let in_time = request.arrived_at + product.sla_time;
        let mean = self.admission.latencies[request.arrival.product.0].mean;
        let response = self.now + Ticks::SECOND.times(mean);
        let allowed = !(may_have_run && product.idempotency == Idempotency::NonIdempotent)
            && request.attempts.len() < self.config.allowed.max_attempts
            && response <= in_time.min(request.arrival.deadline)
            && self.admission.retry_budget >= 1.0;
        self.admission.retry_budget -= f64::from(u8::from(allowed));
        allowed
    }

    /// Sends a request to a backend drawn at random; none where no backend may take it.
    fn send_attempt(&mut self, id: TxnId) -> Option<BackendId> {
        let random = self.rng.random::<f64>();
        let request = self.admission.requests.get_mut(&id)?;
        let idempotency = self.config.products[request.arrival.product.0].idempotency;
        if let (Idempotency::Deduplicated { window }, Some(first)) =
            (idempotency, request.first_that_may_have_run())
            && self.now - first.sent_at >= window
        {
            return None;
        }
        let backend = choose_backend(&self.admission.backends, request, self.now, random)?;
        let attempt = request.begin_attempt(backend, self.now);
        // Without hedging only a timeout frees a request from an unresponsive backend.
        let latency = self.admission.latencies[request.arrival.product.0];
        let wait = Ticks::SECOND.times(2.0 * latency.mean + 5.0 * latency.deviation);
        let waits = idempotency == Idempotency::NonIdempotent || self.config.allowed.hedging;
        let timeout = (!waits).then_some(wait.max(Ticks(10)));
        self.actions.push(Action::SendAttempt { txn: id, backend, timeout });
        if attempt.0 == 0 {
            let retry_budget = self.admission.retry_budget + RETRY_RATIO;
            self.admission.retry_budget = retry_budget.min(MAX_RETRY_BUDGET);
        }
        self.backends.notify(backend, BackendMessage::AttemptSent { txn: id, attempt, work: latency.mean });
        Some(backend)
    }
}

/// One draw at random, odds in step with room.
fn choose_backend(backends: &Snapshots, request: &Request, now: Ticks, random: f64) -> Option<BackendId> {
    // When most are ejected the cause is shared, and to avoid them would only crowd the rest.
    let ejected = backends.values().filter(|backend| backend.ejected).count();
    let avoids_ejected = 2 * ejected <= backends.len();
    let tried = |id: &BackendId| request.attempts.iter().any(|attempt| attempt.backend == *id);
    let avoided = |backend: &BackendSnapshot| backend.exhausted || backend.ejected && avoids_ejected;
    let open = backends.iter().filter(|(id, backend)| !(avoided(backend) || tried(id)));
    let open: Vec<_> = open.collect();
    let in_flight: f64 = open.iter().map(|(_, backend)| backend.in_flight).sum();
    let strength: f64 = open.iter().map(|(_, backend)| backend.strength).sum();
    let room = |(_, backend): &(&BackendId, &BackendSnapshot)| {
        let fair = backend.strength / strength * (in_flight + open.len() as f64);
        let idle = !backend.warming_up && backend.in_flight < 1.0;
        let connected_odds = if idle && backend.connected_until > now { CONNECTED_ODDS } else { 1.0 };
        let local_odds = if backend.local { LOCAL_ODDS } else { 1.0 };
        (fair - backend.in_flight).max(0.0) * connected_odds * local_odds
    };
    draw_weighted(&open, room, random).map(|(id, _)| *id)
}

impl AdmissionControl {
    /// Longer than nearly all responses take, so that a long request is not mistaken for silence.
    pub(super) fn patience(&self) -> Ticks {
        let longest = self.latencies.iter().map(|latency| latency.mean + 3.0 * latency.deviation);
        Ticks::SECOND.times(longest.fold(0.1, f64::max))
    }

    /// Attempts in flight over the rate of successes are how long a newcomer would wait. All products wait in the same
    /// queues, so the one tightest on time says when; the cheaper give way first.
    fn update_load(&mut self, value: f64, ctx: Context) {
        let mean =
            self.latencies.iter().map(|latency| latency.mean).sum::<f64>() / self.latencies.len() as f64;
        self.mean_value += 0.02 * (value - self.mean_value);
        // What is stuck at an unresponsive backend stands in nobody's way; a jammed one looks unresponsive too.
        let in_flight: f64 = self.backends.values().map(|backend| backend.in_flight - backend.stuck).sum();
        let weight = 1.0 - ctx.decay(self.in_flight_at, IN_FLIGHT_SPAN * mean);
        self.mean_in_flight += weight * (in_flight - self.mean_in_flight);
        self.in_flight_at = ctx.now;
        let in_flight = in_flight.min(self.mean_in_flight);
        // Against taking a gateway's first seconds, when little can have succeeded yet, for a crowd.
        let samples: f64 = self.latencies.iter().map(|latency| latency.samples).sum();
        let up = self.success_rate.at - ctx.config.started_at;
        let rate = self.success_rate.per_second / (1.0 - (-up.seconds() / RATE_SPAN).exp()).max(0.05);
        let load = in_flight / rate.max(1.0) / mean;
        // One gateway of many has too few in flight to tell; there the latencies speak for themselves.
        let load = QUEUED_PART + (load - QUEUED_PART) * (in_flight / 8.0).min(1.0);
        let times = ctx.config.products.iter().zip(&self.latencies);
        let times = times.map(|(product, latency)| latency.mean / product.sla_time.seconds());
        self.load = if samples >= MIN_SAMPLES { load * times.fold(0.0, f64::max) } else { 0.0 };
    }

    fn sheds(&self, value: f64) -> bool {
        self.load > MIN_LOAD_LIMIT + 0.5 * value / (value + self.mean_value)
    }
}
