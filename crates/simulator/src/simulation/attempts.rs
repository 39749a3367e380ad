//! Attempts: a gateway sends a request to a backend, which processes it and responds.

use super::clients::ClientTry;
use super::event_queue::SimEvent;
use super::gateways::IDLE_TIMEOUT_FRACTION;
use super::{MAX_REQUEST_AGE_S, Simulation};
use crate::arrivals::FirstTry;
use crate::backends::{Cancellation, Reception, State};
use crate::experiment::Repeat;
use crate::policy::Policy;
use crate::random::{millis, seconds};
use crate::rules::Rule;
use vanewharf_policy::interface::{
    AttemptNumber, AttemptReport, BackendId, BackendStatus, Event, Outcome, Ticks, TxnId,
};

/// Fraction of the work that overloads a backend during its warm-up which must come from informed gateways for the overload
/// to count as a violation. A gateway is informed if it had been told of the backend's start.
const MIN_INFORMED_FRACTION: f64 = 2.0 / 3.0;

/// An attempt of a gateway to have a request processed by a backend.
#[derive(Default)]
pub(super) struct Attempt {
    pub(super) client_try: usize,
    number: u32,
    pub(super) backend: usize,
    pub(super) sent_at: Ticks,
    /// Whether its outcome was put into the gateway's inbox or was processed there.
    pub(super) ended: bool,
    pub(super) may_have_run: bool,
    /// The backend's incarnation when the attempt reached it.
    incarnation: u32,
    /// Whether a core is processing it.
    running: bool,
}

/// Idle connections from a gateway to a backend.
pub(super) struct IdleConnections {
    count: u32,
    /// Time at which the gateway closes them.
    open_until: Ticks,
}

impl<P: Policy> Simulation<'_, P> {
    /// Sends a request from a gateway to a backend, and checks the rules that apply to sending.
    pub(super) fn send_attempt(
        &mut self,
        gateway: usize,
        txn: TxnId,
        backend: BackendId,
        timeout: Option<Ticks>,
    ) {
        let (client_try, backend) = (txn.0 as usize, backend.0 as usize);
        let known = self.tries.get(client_try).is_some_and(|state| state.gateway == gateway);
        if !known || backend >= self.backends.len() {
            let description = format!(
                "gateway {gateway} sends unknown request {client_try} or uses unknown backend {backend}"
            );
            return self.record_violation(Rule::OneAnswer, description);
        }
        if self.tries[client_try].answered {
            let description = format!("request {client_try} is sent to a backend after its final response");
            return self.record_violation(Rule::OneAnswer, description);
        }
        let earlier = self.tries[client_try].attempts.clone();
        let number = earlier.len() as u32;
        let max_attempts = self.experiment.allow.most_submissions as u32;
        let not_sent = number >= max_attempts || self.now >= self.tries[client_try].deadline;
        let attempt = self.attempts.len();
        let (sent_at, may_have_run) = (self.now, !not_sent);
        let new = Attempt { client_try, number, backend, sent_at, may_have_run, ..Attempt::default() };
        self.attempts.push(new);
        self.tries[client_try].attempts.push(attempt);
        if not_sent {
            return self.end_attempt(attempt, Outcome::NotSent);
        }
        self.check_repeat(client_try, &earlier);
        self.check_drain(gateway, backend);
        if number == 0 {
            self.charge_quota(client_try);
        }
        self.transmit(attempt, gateway, backend, timeout);
    }

    /// Checks whether the earlier attempts of a request allow another one.
    fn check_repeat(&mut self, client_try: usize, earlier: &[usize]) {
        let first = self.arrivals.first_tries[self.tries[client_try].first_try];
        let product = &self.experiment.product[first.product.0];
        let in_flight = earlier.iter().any(|&other| !self.attempts[other].ended);
        if in_flight && !self.experiment.allow.second_copies {
            self.record_violation(
                Rule::NoEffectTwice,
                format!("request {client_try} has two attempts in flight"),
            );
        }
        let may_have_run = earlier.iter().find(|&&other| self.attempts[other].may_have_run);
        match (product.repeat, may_have_run) {
            (Repeat::OnceOnly, Some(_)) => {
                let description =
                    format!("once-only request {client_try} is sent again though it may have run");
                self.record_violation(Rule::NoEffectTwice, description);
            }
            (Repeat::Referenced, Some(&other))
                if self.now - self.attempts[other].sent_at > millis(product.window_ms) =>
            {
                let description =
                    format!("request {client_try} is sent again after its deduplication window");
                self.record_violation(Rule::NoEffectTwice, description);
            }
            _ => {}
        }
    }

    /// Checks whether a gateway sends to a backend that it has known to be draining or gone for longer than the grace period.
    fn check_drain(&mut self, gateway: usize, backend: usize) {
        let grace = millis(self.experiment.rules.drain_grace_ms);
        let stopped_at = self.gateways[gateway].backends[backend].stopped_at;
        if let Some(stopped_at) = stopped_at.filter(|stopped_at| self.now - *stopped_at > grace) {
            let elapsed_s = (self.now - stopped_at).seconds();
            let description = format!(
                "gateway {gateway} sends to backend {backend} {elapsed_s:.1} s after it was told of its stop"
            );
            self.record_violation(Rule::Drains, description);
        }
    }

    /// Charges a request to the exact account of its customer's quota when its first attempt is sent, and checks the hard
    /// limit.
    fn charge_quota(&mut self, client_try: usize) {
        let first: FirstTry = self.arrivals.first_tries[self.tries[client_try].first_try];
        let (now, meter) = (self.now, self.experiment.meter.as_ref());
        let quota = &mut self.quotas[first.customer];
        let within_quota = quota.sent.try_take(first.units, now);
        quota.record_usage(first.units, now, meter);
        let limit = quota.hard_limit.as_mut();
        let debt = limit.map_or(f64::MIN, |limit| limit.overdraw(first.units, now));
        let (slack, burst) = (quota.hard_limit_slack, quota.hard_limit_burst);
        self.tries[client_try].within_quota = Some(within_quota);
        self.score.record_sent(&first, within_quota);
        // Usage as a fraction of the hard limit's burst and slack.
        self.score.record_hard_limit(&first, (debt + burst) / (burst + slack).max(1e-9));
        if debt > slack + 1e-6 {
            let customer = first.customer;
            let description = format!("customer {customer} is {debt:.1} units over its hard limit");
            self.record_violation(Rule::HardLimits, description);
        }
    }

    /// Sends an attempt over an idle connection if there is one, else over a new connection.
    fn transmit(&mut self, attempt: usize, gateway: usize, backend: usize, timeout: Option<Ticks>) {
        let cross_zone = self.crosses_zones(gateway, backend);
        self.score.usage.attempts += 1;
        self.score.usage.cross_zone += u64::from(cross_zone);
        let delay = self.one_way_delay(cross_zone);
        let cut = self.is_cut_off(gateway, backend);
        let arrives_after = if self.take_idle_connection(gateway, backend) {
            delay
        } else if self.connect(attempt, gateway, backend, delay, cut) {
            // The handshake takes a round trip before the request is sent.
            delay.times(3.0)
        } else {
            return;
        };
        if let Some(timeout) = timeout {
            self.schedule(self.now + timeout, SimEvent::AttemptTimesOut { attempt });
        }
        if !cut {
            self.schedule(self.now + arrives_after, SimEvent::AttemptArrives { attempt });
        }
    }

    fn take_idle_connection(&mut self, gateway: usize, backend: usize) -> bool {
        let idle = self.idle_connections.get_mut(&(gateway, backend));
        let Some(idle) = idle.filter(|idle| idle.count > 0 && idle.open_until > self.now) else {
            return false;
        };
        idle.count -= 1;
        true
    }

    /// Opens a connection and returns whether that succeeds. If it fails, the attempt ends with a connect error.
    fn connect(&mut self, attempt: usize, gateway: usize, backend: usize, delay: Ticks, cut: bool) -> bool {
        self.score.usage.handshakes += 1;
        let fails_after = match self.backends[backend].state {
            _ if cut => Some(millis(self.experiment.net.dial_ms)),
            State::Unresponsive => Some(millis(self.experiment.net.dial_ms)),
            State::Down => Some(delay.times(2.0)),
            State::Up => None,
        };
        if let Some(delay) = fails_after {
            let outcome = Outcome::ConnectFailed;
            self.schedule(self.now + delay, SimEvent::AttemptAnswered { attempt, outcome });
            return false;
        }
        self.add_load(gateway, backend, self.experiment.fleet.handshake_ms);
        true
    }

    fn is_cut_off(&self, gateway: usize, backend: usize) -> bool {
        let zones = (self.gateways[gateway].zone, self.backends[backend].zone);
        self.faults.cut_zone.is_some_and(|cut| zones.0 != zones.1 && (zones.0 == cut || zones.1 == cut))
    }

    /// Records work that reaches a backend. If the work overloads the backend during its warm-up, the backend goes down.
    fn add_load(&mut self, gateway: usize, backend: usize, work_ms: f64) {
        let known = self.gateways[gateway].backends[backend].started_at;
        let informed = known == self.backends[backend].started_at;
        let (fleet, rules) = (&self.experiment.fleet, &self.experiment.rules);
        self.score.record_overload(self.now, self.backends[backend].overload_ratio(self.now, fleet, rules));
        let overloaded = self.backends[backend].record_load(work_ms, informed, self.now, fleet, rules);
        if let Some(informed_fraction) = overloaded {
            self.score.usage.overloaded_backends += 1;
            if informed_fraction >= MIN_INFORMED_FRACTION {
                self.record_violation(
                    Rule::WarmUp,
                    format!("backend {backend} is overloaded during its warm-up"),
                );
            }
            self.publish(backend, BackendStatus::Gone, self.experiment.discovery.silent_late_s);
            self.reset_connections(backend);
        }
    }

    /// Handles the arrival of an attempt at its backend.
    pub(super) fn receive_attempt(&mut self, attempt: usize) {
        let Attempt { client_try, backend, ended, .. } = self.attempts[attempt];
        if ended {
            return;
        }
        let gateway = self.tries[client_try].gateway;
        let work = self.arrivals.first_tries[self.tries[client_try].first_try].work_ms;
        self.add_load(gateway, backend, work);
        self.attempts[attempt].incarnation = self.backends[backend].incarnation;
        let reception = self.backends[backend].receive(attempt, &self.experiment.fleet);
        let delay = self.one_way_delay(self.crosses_zones(gateway, backend));
        let outcome = match reception {
            Reception::Started => return self.begin_work(attempt),
            Reception::Queued | Reception::Lost => return,
            Reception::Rejected => Outcome::Rejected,
            Reception::Refused => Outcome::ConnectionLost,
        };
        self.schedule(self.now + delay, SimEvent::AttemptAnswered { attempt, outcome });
    }

    fn begin_work(&mut self, attempt: usize) {
        self.attempts[attempt].running = true;
        let Attempt { client_try, backend, .. } = self.attempts[attempt];
        let work = self.arrivals.first_tries[self.tries[client_try].first_try].work_ms;
        let work_time_s = self.backends[backend].work_time_s(work, self.now, &self.experiment.fleet);
        self.backends[backend].worked_ms += work;
        self.score.record_work(self.now, work);
        self.tries[client_try].executions += 1;
        if self.is_once_only(client_try) && self.tries[client_try].executions > 1 {
            self.record_violation(
                Rule::NoEffectTwice,
                format!("once-only request {client_try} is executed twice"),
            );
        }
        let incarnation = self.backends[backend].incarnation;
        let ends_at = self.now + seconds(work_time_s).max(Ticks(1));
        self.schedule(ends_at, SimEvent::WorkEnds { attempt, incarnation });
    }

    /// Frees the core that has finished an attempt, and sends the response.
    pub(super) fn finish_work(&mut self, attempt: usize, incarnation: u32) {
        let Attempt { client_try, backend, running, .. } = self.attempts[attempt];
        let state = &self.backends[backend];
        if state.incarnation != incarnation || state.state == State::Unresponsive {
            return;
        }
        // The attempt was cancelled while in service, which has freed its core already.
        if !running {
            return;
        }
        self.free_core(attempt, backend);
        let gateway = self.tries[client_try].gateway;
        let delay = self.one_way_delay(self.crosses_zones(gateway, backend));
        if self.is_cut_off(gateway, backend) {
            return;
        }
        let lost_response_fraction = self.backends[backend].lost_response_fraction;
        let lost = lost_response_fraction > 0.0 && self.random.net.unit() < lost_response_fraction;
        let outcome = if lost { Outcome::ConnectionLost } else { Outcome::Succeeded };
        self.schedule(self.now + delay, SimEvent::AttemptAnswered { attempt, outcome });
    }

    fn free_core(&mut self, attempt: usize, backend: usize) {
        self.attempts[attempt].running = false;
        if let Some(next) = self.backends[backend].release_core() {
            self.begin_work(next);
        }
    }

    /// Handles the arrival of an attempt's outcome at its gateway. After a successful response the connection becomes idle.
    pub(super) fn answer_attempt(&mut self, attempt: usize, outcome: Outcome) {
        let Attempt { client_try, backend, ended, .. } = self.attempts[attempt];
        if outcome == Outcome::Succeeded && !ended {
            let open_until = self.now + seconds(self.experiment.fleet.idle_s * IDLE_TIMEOUT_FRACTION);
            let key = (self.tries[client_try].gateway, backend);
            let new = || IdleConnections { count: 0, open_until };
            let idle = self.idle_connections.entry(key).or_insert_with(new);
            let count = if idle.open_until > self.now { idle.count + 1 } else { 1 };
            *idle = IdleConnections { count, open_until };
        }
        self.end_attempt(attempt, outcome);
    }

    /// Delivers an attempt's outcome to its gateway, unless one was delivered before. After a cancellation or timeout, the
    /// backend is notified with a network delay.
    pub(super) fn end_attempt(&mut self, attempt: usize, outcome: Outcome) {
        let Attempt { client_try, number, backend, sent_at, ended, .. } = self.attempts[attempt];
        if ended {
            return;
        }
        // `may_have_run` stays set until the gateway processes the outcome, as the gateway does not know it before.
        self.attempts[attempt].ended = true;
        if matches!(outcome, Outcome::Cancelled | Outcome::TimedOut) {
            let cross_zone = self.crosses_zones(self.tries[client_try].gateway, backend);
            let delay = self.one_way_delay(cross_zone);
            self.schedule(self.now + delay, SimEvent::CancellationArrives { attempt });
        }
        let first = self.arrivals.first_tries[self.tries[client_try].first_try];
        let estimated = self.experiment.product[first.product.0].guess > 0.0;
        let report = AttemptReport {
            txn: TxnId(client_try as u64),
            attempt: AttemptNumber(number),
            outcome,
            latency: self.now - sent_at,
            complete: false,
            metered_usage: self.metered_usage(first.customer, outcome),
            actual_cost: (estimated && outcome == Outcome::Succeeded).then_some(first.true_units),
        };
        let ClientTry { gateway, incarnation, .. } = self.tries[client_try];
        self.deliver(gateway, incarnation, Event::AttemptEnded(report));
    }

    /// Returns the meter reading that a backend's response carries.
    fn metered_usage(&mut self, customer: usize, outcome: Outcome) -> Option<f64> {
        if !matches!(outcome, Outcome::Succeeded | Outcome::Error | Outcome::Rejected) {
            return None;
        }
        let meter = self.experiment.meter.as_ref()?;
        let delay_s = self.random.services.span(meter.late_s) + self.faults.extra_delay_s;
        self.quotas[customer].metered_usage(self.now, seconds(delay_s), meter)
    }

    /// Handles the arrival of a cancellation at the attempt's backend.
    pub(super) fn cancel_at_backend(&mut self, attempt: usize) {
        let Attempt { backend, incarnation, running, .. } = self.attempts[attempt];
        if incarnation != self.backends[backend].incarnation {
            return;
        }
        let stops = self.experiment.fleet.stops;
        let cancelled = self.backends[backend].cancel(attempt, running, stops);
        if cancelled == Some(Cancellation::CoreFreed) {
            self.free_core(attempt, backend);
        }
    }

    /// Resets all connections to a backend whose process has ended, which ends its attempts in flight.
    pub(super) fn reset_connections(&mut self, backend: usize) {
        self.idle_connections.retain(|(_, to), _| *to != backend);
        let in_flight: Vec<_> = (0..self.attempts.len())
            .rev()
            .take_while(|&attempt| self.now - self.attempts[attempt].sent_at < seconds(MAX_REQUEST_AGE_S))
            .filter(|&attempt| self.attempts[attempt].backend == backend && !self.attempts[attempt].ended)
            .collect();
        for attempt in in_flight {
            let delay = self.one_way_delay(false);
            let outcome = Outcome::ConnectionLost;
            self.schedule(self.now + delay, SimEvent::AttemptAnswered { attempt, outcome });
        }
    }
}
