//! Gateways: starts and crashes, inboxes, and execution of the actions that the policy returns.
//!
//! A gateway processes its inbox at most once per tick, unless it is stalled. Events for an earlier incarnation are dropped.

use super::discovery::KnownBackend;
use super::event_queue::SimEvent;
use super::services::PeerMessageLimiter;
use super::{MAX_REQUEST_AGE_S, RUN_START, Simulation};
use crate::experiment::{Experiment, Repeat};
use crate::policy::Policy;
use crate::random::{millis, seconds};
use vanewharf_policy::interface::{
    Action, AllowedActions, Arrival, AttemptReport, BackendInfo, BackendStatus, BalancerConfig, Event,
    GatewayId, Idempotency, Outcome, Plan, Product, Ticks, WarmUp,
};

/// Ticks by which the phases of consecutive gateways differ, modulo the length of a round. A prime spreads the phases.
const PHASE_STRIDE_TICKS: i64 = 7919;
/// Fraction of the backends' idle timeout after which gateways close an idle connection.
pub(super) const IDLE_TIMEOUT_FRACTION: f64 = 0.25;

/// A simulated gateway.
pub(super) struct Gateway {
    pub(super) up: bool,
    pub(super) incarnation: u32,
    pub(super) zone: usize,
    pub(super) stalled_until: Ticks,
    pub(super) down_since: Ticks,
    pub(super) inbox: Vec<Event>,
    pub(super) run_scheduled: bool,
    pub(super) backends: Vec<KnownBackend>,
    pub(super) peer_message_limiter: PeerMessageLimiter,
}

impl<P: Policy> Simulation<'_, P> {
    pub(super) fn start_gateway(&mut self, gateway: usize) {
        let config = self.balancer_config(gateway);
        let state = &mut self.gateways[gateway];
        (state.up, state.inbox, state.run_scheduled) = (true, Vec::new(), false);
        let entries = self.known_backends(gateway);
        self.policy.start_gateway(gateway, config);
        let incarnation = self.gateways[gateway].incarnation;
        self.deliver(gateway, incarnation, Event::BackendList(entries));
        // The initial list is the one that the gateway last knew. Later changes are announced with the usual delay.
        for backend in 0..self.backends.len() {
            let published = self.published[backend];
            if !self.gateways[gateway].backends[backend].matches(&published) {
                let delay = seconds(self.random.discovery.span(self.experiment.discovery.late_s));
                let version = published.version;
                self.schedule(self.now + delay, SimEvent::DiscoveryAnnounces { backend, version });
            }
        }
    }

    fn known_backends(&self, gateway: usize) -> Vec<BackendInfo> {
        let known = self.gateways[gateway].backends.iter().enumerate().filter(|(_, known)| known.listed);
        let entry = |(backend, known): (usize, &KnownBackend)| {
            self.backend_info(gateway, backend, known.status, known.started_at)
        };
        known.map(entry).collect()
    }

    fn balancer_config(&mut self, gateway: usize) -> BalancerConfig {
        let experiment = self.experiment;
        let allow = &experiment.allow;
        let max_cost = experiment.product.iter().map(|product| product.units * (1.0 + product.guess));
        BalancerConfig {
            seed: self.random.policy.seed(),
            started_at: self.now,
            gateway: GatewayId(gateway as u32),
            gateway_count: experiment.fleet.doors as u32,
            products: products(experiment),
            plans: plans(experiment),
            allowed: AllowedActions {
                cancel: allow.cancel,
                hedging: allow.second_copies,
                retry_after: allow.retry_after,
                max_retry_after: millis(allow.max_retry_after_ms),
                max_attempts: allow.most_submissions,
            },
            warm_up: WarmUp {
                initial_capacity: experiment.fleet.cold_from,
                ramp_time: seconds(experiment.fleet.ramp_s),
            },
            idle_timeout: seconds(experiment.fleet.idle_s * IDLE_TIMEOUT_FRACTION),
            meter_period: experiment.meter.as_ref().map_or(Ticks(0), |meter| seconds(meter.period_s)),
            counter_timeout: experiment.counter.as_ref().map(|counter| millis(counter.wait_ms)),
            peer_messages: experiment.peers.is_some(),
            max_cost: max_cost.fold(0.0, f64::max).ceil(),
        }
    }

    /// Puts an event into a gateway's inbox, and schedules the gateway's next run.
    pub(super) fn deliver(&mut self, gateway: usize, incarnation: u32, event: Event) {
        let state = &mut self.gateways[gateway];
        if !state.up || state.incarnation != incarnation {
            return;
        }
        state.inbox.push(event);
        if state.run_scheduled {
            return;
        }
        state.run_scheduled = true;
        let round_ticks = millis(self.experiment.tick_ms).0.max(1);
        // Gateways process their inboxes at different phases of a round.
        let phase = (gateway as i64 * PHASE_STRIDE_TICKS) % round_ticks;
        let due = Ticks((self.now.0 - phase).div_euclid(round_ticks) * round_ticks + round_ticks + phase);
        let due = due.max(state.stalled_until);
        self.schedule(due, SimEvent::GatewayRuns { gateway, incarnation });
    }

    /// Passes a gateway's inbox to the policy, and executes the returned actions.
    pub(super) fn run_gateway(&mut self, gateway: usize, incarnation: u32) {
        let state = &mut self.gateways[gateway];
        if !state.up || state.incarnation != incarnation {
            return;
        }
        if state.stalled_until > self.now {
            let until = state.stalled_until;
            return self.schedule(until, SimEvent::GatewayRuns { gateway, incarnation });
        }
        state.run_scheduled = false;
        let mut events = std::mem::take(&mut state.inbox);
        for event in &mut events {
            self.record_delivery(gateway, event);
        }
        let Simulation { policy, view, quotas, now, experiment, score, .. } = self;
        let mut admits = |arrival: &Arrival| {
            let customer = score.customer_index(arrival.claim.customer);
            debug_assert!(customer.is_none_or(|customer| customer < quotas.len()));
            let plan = &experiment.plan[arrival.claim.plan.0];
            customer.is_some_and(|customer| quotas[customer].admits(arrival.claim.cost, plan, *now))
        };
        let actions = policy.decide(gateway, *now, events, view, &mut admits);
        for action in actions {
            self.execute(gateway, action);
        }
    }

    /// Records what a gateway learns from an event, and sends the first successful response to the client.
    fn record_delivery(&mut self, gateway: usize, event: &mut Event) {
        match event {
            Event::BackendChanges(entries) | Event::BackendList(entries) => {
                for entry in entries.iter() {
                    let known = &mut self.gateways[gateway].backends[entry.backend.0 as usize];
                    let stops = entry.status != BackendStatus::Ready;
                    known.stopped_at = if stops { known.stopped_at.or(Some(self.now)) } else { None };
                    (known.status, known.started_at) = (entry.status, entry.started_at);
                    known.listed = entry.status != BackendStatus::Gone;
                }
            }
            Event::AttemptEnded(report) => self.record_attempt_end(report),
            _ => {}
        }
    }

    fn record_attempt_end(&mut self, report: &mut AttemptReport) {
        let client_try = report.txn.0 as usize;
        let attempt = self.tries[client_try].attempts[report.attempt.0 as usize];
        self.attempts[attempt].ended = true;
        self.attempts[attempt].may_have_run = !report.outcome.never_ran();
        if report.outcome == Outcome::Succeeded && !self.tries[client_try].answered {
            self.answer_client(client_try);
        }
        report.complete = self.tries[client_try].answered;
    }

    fn execute(&mut self, gateway: usize, action: Action) {
        match action {
            Action::SendAttempt { txn, backend, timeout } => {
                self.send_attempt(gateway, txn, backend, timeout);
            }
            Action::CancelAttempt { txn, attempt } => {
                let client_try = self.tries.get(txn.0 as usize);
                let attempt = client_try.and_then(|state| state.attempts.get(attempt.0 as usize));
                if let Some(&attempt) = attempt {
                    self.end_attempt(attempt, Outcome::Cancelled);
                }
            }
            Action::Reject { txn, retry_after } => self.refuse_client(gateway, txn, true, retry_after),
            Action::Fail { txn } => self.refuse_client(gateway, txn, false, None),
            Action::SetTimer { after, timer } => {
                let incarnation = self.gateways[gateway].incarnation;
                let event = Event::TimerFired(timer);
                self.schedule(self.now + after, SimEvent::GatewayReceives { gateway, incarnation, event });
            }
            Action::IncrementCounter { key, amount, expire_after } => {
                self.call_counter(gateway, key, amount, expire_after);
            }
            Action::SendPeerMessage { to, message } => self.send_peer_message(gateway, to, message),
        }
    }

    /// Crashes a gateway's process, which aborts all of its open requests.
    pub(super) fn crash_gateway(&mut self, gateway: usize) {
        if !self.gateways[gateway].up {
            return;
        }
        self.policy.stop_gateway(gateway);
        let state = &mut self.gateways[gateway];
        (state.up, state.down_since, state.run_scheduled) = (false, self.now, false);
        state.incarnation += 1;
        state.inbox.clear();
        self.idle_connections.retain(|(of, _), _| *of != gateway);
        for client_try in self.open_tries(gateway) {
            self.abort_try(client_try);
        }
    }

    /// Returns the open tries at a gateway, newest first.
    fn open_tries(&self, gateway: usize) -> Vec<usize> {
        let arrived_at =
            |client_try: usize| RUN_START + self.arrivals.first_tries[self.tries[client_try].first_try].at;
        let open = |client_try: &usize| {
            let state = &self.tries[*client_try];
            state.gateway == gateway && !state.answered && state.deadline > self.now
        };
        let newest = (0..self.tries.len()).rev();
        newest
            .take_while(|&client_try| self.now - arrived_at(client_try) < seconds(MAX_REQUEST_AGE_S))
            .filter(open)
            .collect()
    }

    /// Fails a try whose gateway has crashed: its attempts are cancelled, and its client may retry.
    fn abort_try(&mut self, client_try: usize) {
        self.tries[client_try].answered = true;
        for attempt in self.tries[client_try].attempts.clone() {
            if !self.attempts[attempt].ended {
                self.attempts[attempt].ended = true;
                let delay = self.one_way_delay(false);
                self.schedule(self.now + delay, SimEvent::CancellationArrives { attempt });
            }
        }
        self.score.record_failure(self.tries[client_try].first_try, self.now);
        // The client may retry only requests that may be executed twice or that were never sent to a backend.
        if !self.is_once_only(client_try) || self.tries[client_try].attempts.is_empty() {
            self.retry(client_try, None);
        }
    }

    pub(super) fn restart_gateway(&mut self, gateway: usize) {
        if !self.gateways[gateway].up {
            self.gateways[gateway].stalled_until = self.now;
            self.start_gateway(gateway);
        }
    }
}

fn products(experiment: &Experiment) -> Vec<Product> {
    let product = |product: &crate::experiment::Product| Product {
        sla_time: millis(product.sla_ms),
        value: product.value,
        idempotency: match product.repeat {
            Repeat::InquiryLike => Idempotency::Idempotent,
            Repeat::OnceOnly => Idempotency::NonIdempotent,
            Repeat::Referenced => Idempotency::Deduplicated { window: millis(product.window_ms) },
        },
    };
    experiment.product.iter().map(product).collect()
}

fn plans(experiment: &Experiment) -> Vec<Plan> {
    let plan = |plan: &crate::experiment::Plan| Plan {
        rate: plan.rate,
        burst: plan.burst,
        value_factor: plan.value_factor,
        excess_value: plan.beyond_worth,
        excess_cost: plan.beyond_cost,
        hard_limit_rate: plan.ceiling * plan.rate,
        hard_limit_burst: plan.ceiling * plan.burst,
    };
    experiment.plan.iter().map(plan).collect()
}
