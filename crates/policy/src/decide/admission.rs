//! Admission control: load shedding, random choice of a backend weighted by spare capacity, and retries.

use super::*;

/// Timeout of a query to a quota owner, as a fraction of the SLA time: longer than messages take, shorter than a stall.
const OWNER_TIMEOUT_RATIO: f64 = 0.1;
/// The load above which requests of the lowest value are shed; the limit is up to 0.5 higher for more valuable ones.
const MIN_LOAD_LIMIT: f64 = 0.1;
/// Requests queue if latencies are this many times as long as without queueing: random peaks are lower.
const QUEUEING_FACTOR: f64 = 1.4;
/// Under queueing, a client that leaves within this many mean latencies is seldom served, and its retry counts as new.
const MIN_WAIT_FACTOR: f64 = 3.0;
/// Averages over fewer responses than this are not used.
const MIN_SAMPLES: f64 = 8.0;
/// An average is discarded if it has led to rejections, but to no response for this long.
const LATENCY_LIFETIME_SECONDS: f64 = 2.0;
/// Time constant with which the latency without queueing rises: longer than an overload.
const UNLOADED_RISE_SECONDS: f64 = 60.0;
/// The least weight of a new response in the average latency.
const MIN_LATENCY_WEIGHT: f64 = 0.03;
/// The fraction of a latency assumed to be queueing if too few attempts are in flight to estimate it.
const DEFAULT_QUEUED_FRACTION: f64 = 0.5;
/// Attempts in flight are averaged over this many mean latencies: over one or two, random peaks would look like load.
const IN_FLIGHT_EMA_LATENCIES: f64 = 5.0;
/// Weight of an idle backend with an open connection, unless it warms up: a new connection costs work and time.
const CONNECTED_WEIGHT: f64 = 8.0;
/// Weight of a backend in this gateway's zone: traffic to another zone costs a little.
const LOCAL_WEIGHT: f64 = 5.0;

impl Balancer {
    pub(super) fn handle(&mut self, message: AdmissionMessage) {
        match message {
            AdmissionMessage::RequestArrived(arrival) => self.handle_arrival(arrival),
            AdmissionMessage::QuotaGranted(id) => self.handle_grant(id),
            AdmissionMessage::QuotaRejected(id, retry_after) => self.reject(id, retry_after),
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
        let (txn, claim, ProductId(index)) = (arrival.txn, arrival.claim, arrival.product);
        let (product, time_left) = (&ctx.config.products[index], arrival.deadline - self.now);
        let (latency, plan) = (self.admission.latencies[index], ctx.plan(claim.plan));
        // Value per second of work: one long request occupies a backend as long as several short ones.
        let value = product.value * plan.value_factor / latency.mean;
        self.admission.update_load(value, ctx);
        let wait_factor = if self.admission.load > 0.0 { MIN_WAIT_FACTOR } else { 1.0 };
        let leaves = latency.samples >= MIN_SAMPLES && time_left.seconds() < wait_factor * latency.mean;
        let sheds = self.admission.sheds(value) || leaves;
        let sheds_excess = self.admission.sheds(value * plan.excess_value);
        let request = Request { arrival, arrived_at: self.now, ..Request::default() };
        self.admission.requests.insert(txn, request);
        self.admission.latencies[index].record_decision(sheds, MIN_SAMPLES, LATENCY_LIFETIME_SECONDS, ctx);
        if sheds || self.admission.backends.is_empty() {
            return self.reject(txn, None);
        }
        let (random, timeout) =
            (self.rng.random(), product.sla_time.min(time_left).times(OWNER_TIMEOUT_RATIO));
        let check = QuotaCheck { txn, claim, random, time_left, timeout, sheds_excess, ..Default::default() };
        self.quota.inbox.push_back(QuotaMessage::Check(check));
    }

    /// Sends a final answer: a rejection, or a failure if a retry could run a non-idempotent request twice.
    fn reject(&mut self, id: TxnId, wait: Option<Ticks>) {
        let Some(request) = self.admission.requests.get(&id) else {
            return;
        };
        let idempotency = self.config.products[request.arrival.product.0].idempotency;
        let may_have_run = request.first_that_may_have_run().is_some();
        let may_be_retried = !may_have_run || idempotency != Idempotency::NonIdempotent;
        let allowed = &self.config.allowed;
        let retry_after = wait.filter(|_| allowed.retry_after).map(|wait| wait.min(allowed.max_retry_after));
        let rejection = Action::Reject { txn: id, retry_after };
        self.actions.push(if may_be_retried { rejection } else { Action::Fail { txn: id } });
        self.finish(id);
    }

    /// Marks a request as answered, cancels an attempt in flight, and removes the request when none is left.
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
        let AttemptReport { txn, attempt, outcome, metered_usage, .. } = report;
        let Some(request) = self.admission.requests.get_mut(&txn) else {
            return;
        };
        let Some(backend) = request.end_attempt(attempt, outcome) else {
            return;
        };
        let Request { answered, arrival: Arrival { claim, product, .. }, .. } = *request;
        let succeeded = outcome == Outcome::Succeeded;
        let extra_cost = report.actual_cost.filter(|_| succeeded).map_or(0.0, |cost| cost - claim.cost);
        // A failed connection puts no load on a backend, so its retry is not charged to the budget.
        self.admission.retry_budget += f64::from(u8::from(outcome == Outcome::ConnectFailed));
        self.quota.inbox.push_back(QuotaMessage::AttemptEnded { claim, metered_usage, extra_cost });
        let latency = report.latency.seconds();
        let relative_latency = latency / self.admission.latencies[product.0].mean.max(1e-4);
        if succeeded {
            let ctx = Context { now: self.now, config: &self.config };
            let estimate = &mut self.admission.latencies[product.0];
            estimate.record(latency, MIN_LATENCY_WEIGHT, UNLOADED_RISE_SECONDS, ctx);
            self.admission.work_rate.add(estimate.work(), RATE_EMA_SECONDS, ctx);
        }
        self.backends
            .notify(backend, BackendMessage::AttemptEnded { txn, attempt, outcome, relative_latency });
        if answered || report.complete {
            self.finish(txn);
        } else if !(self.try_spend_retry(txn) && self.send_attempt(txn).is_some()) {
            self.reject(txn, None);
        }
    }

    /// Takes a retry from the budget, unless the request could run twice or the retry would feed an overload or be late.
    fn try_spend_retry(&mut self, id: TxnId) -> bool {
        let Some(request) = self.admission.requests.get(&id) else {
            return false;
        };
        let product = &self.config.products[request.arrival.product.0];
        let may_have_run = request.first_that_may_have_run().is_some();
        let sla_deadline = request.arrived_at + product.sla_time;
        let latency = Ticks::SECOND.times(self.admission.latencies[request.arrival.product.0].mean);
        let allowed = !(may_have_run && product.idempotency == Idempotency::NonIdempotent)
            && request.attempts.len() < self.config.allowed.max_attempts
            && self.now + latency <= sla_deadline.min(request.arrival.deadline)
            && self.admission.retry_budget >= 1.0;
        self.admission.retry_budget -= f64::from(u8::from(allowed));
        allowed
    }

    /// Sends a request to a backend chosen at random. Returns `None` if no backend may take it.
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
        // Without hedging, a request at an unresponsive backend can be retried only after a timeout.
        let latency = self.admission.latencies[request.arrival.product.0];
        let timeout = Ticks::SECOND.times(2.0 * latency.mean + 5.0 * latency.deviation);
        let needs_none = idempotency == Idempotency::NonIdempotent || self.config.allowed.hedging;
        let timeout = (!needs_none).then_some(timeout.max(Ticks(10)));
        self.actions.push(Action::SendAttempt { txn: id, backend, timeout });
        if attempt.0 == 0 {
            self.admission.retry_budget = (self.admission.retry_budget + RETRY_RATIO).min(MAX_RETRY_BUDGET);
        }
        self.backends.notify(backend, BackendMessage::AttemptSent { txn: id, attempt, work: latency.mean });
        Some(backend)
    }
}

/// Chooses a backend at random, with a probability proportional to its spare capacity times its weights.
fn choose_backend(backends: &Snapshots, request: &Request, now: Ticks, random: f64) -> Option<BackendId> {
    // If most backends are ejected, they share the cause, and avoiding them would only overload the rest.
    let ejected = backends.values().filter(|backend| backend.ejected).count();
    let avoids_ejected = 2 * ejected <= backends.len();
    let tried = |id: &BackendId| request.attempts.iter().any(|attempt| attempt.backend == *id);
    let avoided = |backend: &BackendSnapshot| backend.out_of_credit || backend.ejected && avoids_ejected;
    let eligible: Vec<_> = backends.iter().filter(|(id, backend)| !(avoided(backend) || tried(id))).collect();
    let in_flight: f64 = eligible.iter().map(|(_, backend)| backend.in_flight).sum();
    let capacity: f64 = eligible.iter().map(|(_, backend)| backend.effective_capacity).sum();
    let weight = |(_, backend): &(&BackendId, &BackendSnapshot)| {
        let fair_load = backend.effective_capacity / capacity * (in_flight + eligible.len() as f64);
        let idle = !backend.warming_up && backend.in_flight < 1.0;
        let connected_weight = if idle && backend.connected_until > now { CONNECTED_WEIGHT } else { 1.0 };
        let local_weight = if backend.local { LOCAL_WEIGHT } else { 1.0 };
        (fair_load - backend.in_flight).max(0.0) * connected_weight * local_weight
    };
    choose_weighted(&eligible, weight, random).map(|(id, _)| *id)
}

impl AdmissionControl {
    /// Returns a time longer than nearly all responses take: a long request must not look unresponsive.
    pub(super) fn overdue_after(&self) -> Ticks {
        let longest = self.latencies.iter().map(|latency| latency.mean + 3.0 * latency.deviation);
        Ticks::SECOND.times(longest.fold(0.1, f64::max))
    }

    /// Updates the load by Little's law. Products share the queues, so the one closest to its SLA time decides.
    fn update_load(&mut self, value: f64, ctx: Context) {
        let products = || ctx.config.products.iter().zip(&self.latencies);
        let measured = || products().filter(|(_, latency)| latency.samples >= MIN_SAMPLES);
        let work = mean_work(measured().map(|(_, latency)| latency)).max(1e-4);
        self.mean_value += 0.02 * (value - self.mean_value);
        // Stuck attempts delay no others. All others count, also at ejected backends: congestion can cause an ejection.
        let in_flight: f64 = self.backends.values().map(|backend| backend.in_flight - backend.stuck).sum();
        let in_flight =
            in_flight.min(self.mean_in_flight.update(in_flight, IN_FLIGHT_EMA_LATENCIES * work, ctx));
        // In a gateway's first seconds few attempts can have succeeded, which is no overload.
        let rate = self.work_rate.value_since(ctx.config.started_at, RATE_EMA_SECONDS);
        // One gateway of many has too few attempts in flight for an estimate; there the latencies show the load.
        let weight = (in_flight / 8.0).min(1.0);
        let load = weight * in_flight / rate.max(work);
        let queue = measured().filter(|(_, times)| load.max(times.stretch()) >= QUEUEING_FACTOR);
        let queued = |times: &LatencyEstimate| (1.0 - weight) * DEFAULT_QUEUED_FRACTION * times.mean;
        let latencies =
            queue.map(|(product, times)| (load * times.work() + queued(times)) / product.sla_time.seconds());
        self.load = latencies.fold(0.0, f64::max);
    }

    fn sheds(&self, value: f64) -> bool {
        self.load > MIN_LOAD_LIMIT + 0.5 * value / (value + self.mean_value)
    }
}
