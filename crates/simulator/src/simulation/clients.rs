//! Clients: their tries, the answers that they get, and when they come again.

use super::event_queue::SimEvent;
use super::{START, Simulation};
use crate::experiment::Repeat;
use crate::policy::Policy;
use crate::random::{millis, seconds};
use crate::rules::Rule;
use vanewharf_policy::interface::{Arrival, Event, Outcome, QuotaClaim, Ticks, TxnId};

/// Doublings of the backoff at most.
const MAX_BACKOFF_DOUBLINGS: u32 = 8;

/// One try of a client. Its index is its request's number at the gateway.
#[derive(Default)]
pub(super) struct ClientTry {
    /// The first try that it is or repeats.
    pub(super) first_try: usize,
    /// How many tries were before it.
    pub(super) retries: u32,
    pub(super) gateway: usize,
    /// The gateway's incarnation when the try came.
    pub(super) incarnation: u32,
    pub(super) deadline: Ticks,
    pub(super) answered: bool,
    pub(super) attempts: Vec<usize>,
    /// Whether it was inside the quota when it was first sent to a backend.
    pub(super) inside: Option<bool>,
    /// How often a backend has begun to run it.
    pub(super) runs: u32,
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

    /// The front end passes a client's try on to one of its customer's gateways.
    pub(super) fn send_try(&mut self, client_try: usize) {
        let first = self.arrivals.first_tries[self.tries[client_try].first_try];
        let customer = &self.arrivals.customers[first.customer];
        let is_retry = self.tries[client_try].retries > 0;
        let draw = if is_retry { self.random.clients.unit() } else { first.gateway_draw };
        let gateway = self.choose_gateway(first.customer, draw);
        let product = &self.experiment.product[first.product.0];
        let deadline = self.now + millis(product.expiry_ms * first.stays);
        let incarnation = self.gateways[gateway].incarnation;
        let one = &mut self.tries[client_try];
        (one.gateway, one.incarnation, one.deadline) = (gateway, incarnation, deadline);
        if !self.gateways[gateway].up {
            self.score.usage.unreached += 1;
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
        self.schedule(deadline, SimEvent::ClientGivesUp { client_try });
        let slack = millis(self.experiment.rules.answer_slack_ms);
        self.schedule(deadline + slack, SimEvent::AnswerOverdue { client_try });
    }

    /// The customer's gateway by a draw, or the next one that is not known to be down.
    fn choose_gateway(&self, customer: usize, draw: f64) -> usize {
        let customer = &self.arrivals.customers[customer];
        let (gateways, start, size) = (self.gateways.len(), customer.subset_start, customer.subset_size);
        let front = seconds(self.experiment.clients.front_late_s);
        let mut gateway = customer.gateway(self.now - START, draw, gateways);
        for step in 0..size {
            let state = &self.gateways[gateway];
            let known_down = !state.up && self.now - state.down_since > front;
            if !known_down {
                break;
            }
            gateway = (start + (gateway + gateways - start + 1 + step) % size) % gateways;
        }
        gateway
    }

    /// A client comes again, unless it has tried often enough or has an answer.
    pub(super) fn retry(&mut self, client_try: usize, advice: Option<Ticks>) {
        let clients = &self.experiment.clients;
        let ClientTry { first_try, retries, .. } = self.tries[client_try];
        if retries >= clients.retries || self.score.has_earned(first_try) {
            return;
        }
        let first = self.arrivals.first_tries[first_try];
        let doublings = f64::from(1 << retries.min(MAX_BACKOFF_DOUBLINGS));
        let backoff = millis(self.random.clients.span(clients.backoff_ms) * doublings);
        let wait = advice.filter(|_| first.honours_advice).map_or(backoff, |advice| advice.max(backoff));
        self.tries.push(ClientTry { first_try, retries: retries + 1, ..ClientTry::default() });
        let client_try = self.tries.len() - 1;
        self.schedule(self.now + wait, SimEvent::Retry { client_try });
    }

    /// The client stops waiting: its attempts time out.
    pub(super) fn give_up(&mut self, client_try: usize) {
        if self.tries[client_try].answered {
            return;
        }
        for attempt in self.tries[client_try].attempts.clone() {
            self.end_attempt(attempt, Outcome::TimedOut);
        }
    }

    /// Past its deadline and its slack a try must have its answer, unless its gateway is dead or stalled.
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
            self.violate(Rule::OneAnswer, format!("txn {client_try} got no final answer in its time"));
        }
        self.score.record_failure(self.tries[client_try].first_try, self.now);
        self.retry(client_try, None);
    }

    /// A gateway answers a client without a response: `rejected` says that another try is harmless.
    pub(super) fn refuse_client(
        &mut self,
        gateway: usize,
        txn: TxnId,
        rejected: bool,
        advice: Option<Ticks>,
    ) {
        let client_try = txn.0 as usize;
        let Some(one) = self.tries.get(client_try) else {
            let what = format!("door {gateway} answers a txn never given to it: {client_try}");
            return self.violate(Rule::OneAnswer, what);
        };
        if one.answered || one.gateway != gateway {
            return;
        }
        if self.now > one.deadline + millis(self.experiment.rules.answer_slack_ms) {
            return;
        }
        let once_only = self.is_once_only(client_try);
        let may_have_run = one.attempts.iter().any(|&attempt| self.attempts[attempt].may_have_run);
        let first_try = one.first_try;
        if rejected && once_only && may_have_run {
            let what = format!("txn {client_try} is declined though it may have run");
            self.violate(Rule::NoEffectTwice, what);
        }
        self.tries[client_try].answered = true;
        self.score.record_refusal(first_try, rejected, self.now);
        if rejected || !once_only {
            self.retry(client_try, advice);
        }
    }

    /// The first good response goes to the client.
    pub(super) fn answer_client(&mut self, client_try: usize) {
        self.tries[client_try].answered = true;
        let first_try = self.tries[client_try].first_try;
        let first = self.arrivals.first_tries[first_try];
        let latency = self.now + self.client_delay() - (START + first.at);
        let inside = self.tries[client_try].inside.unwrap_or(true);
        self.score.record_answer(first_try, &first, inside, latency);
        if inside && first.true_units != first.units {
            self.quotas[first.customer].settle_estimate(first.units - first.true_units, self.now);
        }
    }
}
