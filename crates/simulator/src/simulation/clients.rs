//! Clients: their tries, the responses that they receive, and their retries.

use super::event_queue::SimEvent;
use super::{RUN_START, Simulation};
use crate::experiment::Repeat;
use crate::policy::Policy;
use crate::random::{millis, seconds};
use crate::rules::Rule;
use vanewharf_policy::interface::{Arrival, Event, Outcome, QuotaClaim, Ticks, TxnId};

/// Maximum number of times that the backoff is doubled.
const MAX_BACKOFF_DOUBLINGS: u32 = 8;

/// A try of a client: a request that it sends to a gateway. Its index is the request's transaction number there.
#[derive(Default)]
pub(super) struct ClientTry {
    /// Index of the first try that this is, or is a retry of.
    pub(super) first_try: usize,
    /// Number of earlier tries.
    pub(super) retries: u32,
    pub(super) gateway: usize,
    /// Incarnation of the gateway when the try was sent.
    pub(super) incarnation: u32,
    pub(super) deadline: Ticks,
    pub(super) answered: bool,
    pub(super) attempts: Vec<usize>,
    /// Whether it was within the quota when it was first sent to a backend; none until then.
    pub(super) within_quota: Option<bool>,
    /// How often a backend has started to process it.
    pub(super) executions: u32,
}

impl<P: Policy> Simulation<'_, P> {
    pub(super) fn begin_first_try(&mut self, first_try: usize) {
        let first = self.arrivals.first_tries[first_try];
        self.score.record_offer(first_try, &first, &mut self.quotas[first.customer], self.now);
        self.tries.push(ClientTry { first_try, ..ClientTry::default() });
        self.send_try(self.tries.len() - 1);
    }

    pub(super) fn is_once_only(&self, client_try: usize) -> bool {
        let first = &self.arrivals.first_tries[self.tries[client_try].first_try];
        self.experiment.product[first.product.0].repeat == Repeat::OnceOnly
    }

    /// Routes a client's try to a gateway of its customer's subset, as the front end does.
    pub(super) fn send_try(&mut self, client_try: usize) {
        let first = self.arrivals.first_tries[self.tries[client_try].first_try];
        let customer = &self.arrivals.customers[first.customer];
        let is_retry = self.tries[client_try].retries > 0;
        let draw = if is_retry { self.random.clients.unit() } else { first.gateway_draw };
        let gateway = self.choose_gateway(first.customer, draw);
        let product = &self.experiment.product[first.product.0];
        let deadline = self.now + millis(product.expiry_ms * first.deadline_fraction);
        let incarnation = self.gateways[gateway].incarnation;
        let state = &mut self.tries[client_try];
        (state.gateway, state.incarnation, state.deadline) = (gateway, incarnation, deadline);
        if !self.gateways[gateway].up {
            self.score.usage.unreached_tries += 1;
            self.tries[client_try].answered = true;
            return self.retry(client_try, None);
        }
        let claim = QuotaClaim {
            customer: customer.id,
            plan: customer.plan,
            subset_start: customer.subset_start as u32,
            subset_size: customer.subset_size as u32,
            cost: first.units,
            retry: is_retry && self.experiment.clients.marks_retry,
        };
        let arrival = Arrival { txn: TxnId(client_try as u64), product: first.product, claim, deadline };
        let event = Event::RequestArrived(arrival);
        let arrives_at = self.now + self.client_delay();
        self.schedule(arrives_at, SimEvent::GatewayReceives { gateway, incarnation, event });
        self.schedule(deadline, SimEvent::ClientTimesOut { client_try });
        let slack = millis(self.experiment.rules.answer_slack_ms);
        self.schedule(deadline + slack, SimEvent::AnswerOverdue { client_try });
    }

    /// Returns the customer's gateway for a random draw, or the next one in the subset that the front end doesn't know to be
    /// down.
    fn choose_gateway(&self, customer: usize, draw: f64) -> usize {
        let customer = &self.arrivals.customers[customer];
        let (gateways, start, size) = (self.gateways.len(), customer.subset_start, customer.subset_size);
        let detection_delay = seconds(self.experiment.clients.front_late_s);
        let mut gateway = customer.gateway(self.now - RUN_START, draw, gateways);
        for step in 0..size {
            let state = &self.gateways[gateway];
            let known_down = !state.up && self.now - state.down_since > detection_delay;
            if !known_down {
                break;
            }
            gateway = (start + (gateway + gateways - start + 1 + step) % size) % gateways;
        }
        gateway
    }

    /// Schedules a client's retry, unless its retries are used up or it has received a response.
    pub(super) fn retry(&mut self, client_try: usize, retry_after: Option<Ticks>) {
        let clients = &self.experiment.clients;
        let ClientTry { first_try, retries, .. } = self.tries[client_try];
        if retries >= clients.retries || self.score.has_earned(first_try) {
            return;
        }
        let first = self.arrivals.first_tries[first_try];
        let doublings = f64::from(1 << retries.min(MAX_BACKOFF_DOUBLINGS));
        let backoff = millis(self.random.clients.span(clients.backoff_ms) * doublings);
        let wait = retry_after
            .filter(|_| first.honours_retry_after)
            .map_or(backoff, |retry_after| retry_after.max(backoff));
        self.tries.push(ClientTry { first_try, retries: retries + 1, ..ClientTry::default() });
        let client_try = self.tries.len() - 1;
        self.schedule(self.now + wait, SimEvent::Retry { client_try });
    }

    /// Handles the client's deadline: all attempts of its try time out.
    pub(super) fn expire_try(&mut self, client_try: usize) {
        if self.tries[client_try].answered {
            return;
        }
        for attempt in self.tries[client_try].attempts.clone() {
            self.end_attempt(attempt, Outcome::TimedOut);
        }
    }

    /// Checks that a try has been answered by its deadline plus the slack, unless its gateway has crashed or stalled. Fails
    /// the try if it has not.
    pub(super) fn check_answered(&mut self, client_try: usize) {
        if self.tries[client_try].answered {
            return;
        }
        self.tries[client_try].answered = true;
        let gateway = &self.gateways[self.tries[client_try].gateway];
        let running = gateway.up && gateway.incarnation == self.tries[client_try].incarnation;
        let slack = millis(self.experiment.rules.answer_slack_ms);
        let rounds = millis(2.0 * self.experiment.tick_ms);
        let stalled = gateway.stalled_until + slack + rounds > self.now;
        if running && !stalled {
            self.record_violation(
                Rule::OneAnswer,
                format!("request {client_try} got no final response by its deadline"),
            );
        }
        self.score.record_failure(self.tries[client_try].first_try, self.now);
        self.retry(client_try, None);
    }

    /// Ends a try without a backend's response. `rejected` means that a retry is safe; otherwise the try has failed.
    pub(super) fn refuse_client(
        &mut self,
        gateway: usize,
        txn: TxnId,
        rejected: bool,
        retry_after: Option<Ticks>,
    ) {
        let client_try = txn.0 as usize;
        let Some(state) = self.tries.get(client_try) else {
            let description =
                format!("gateway {gateway} answers request {client_try}, which it did not receive");
            return self.record_violation(Rule::OneAnswer, description);
        };
        if state.answered || state.gateway != gateway {
            return;
        }
        if self.now > state.deadline + millis(self.experiment.rules.answer_slack_ms) {
            return;
        }
        let once_only = self.is_once_only(client_try);
        let may_have_run = state.attempts.iter().any(|&attempt| self.attempts[attempt].may_have_run);
        let first_try = state.first_try;
        if rejected && once_only && may_have_run {
            let description = format!("request {client_try} is rejected though it may have been executed");
            self.record_violation(Rule::NoEffectTwice, description);
        }
        self.tries[client_try].answered = true;
        self.score.record_refusal(first_try, rejected, self.now);
        if rejected || !once_only {
            self.retry(client_try, retry_after);
        }
    }

    /// Sends the first successful response to the client.
    pub(super) fn answer_client(&mut self, client_try: usize) {
        self.tries[client_try].answered = true;
        let first_try = self.tries[client_try].first_try;
        let first = self.arrivals.first_tries[first_try];
        let latency = self.now + self.client_delay() - (RUN_START + first.at);
        let within_quota = self.tries[client_try].within_quota.unwrap_or(true);
        self.score.record_answer(first_try, &first, within_quota, latency);
        if within_quota && first.true_units != first.units {
            self.quotas[first.customer].settle_estimate(first.units - first.true_units, self.now);
        }
    }
}
