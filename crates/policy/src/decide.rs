//! All decisions of one gateway. Backends, quotas and admission control each own their state and an inbox and know each
//! other by messages only; `deliver` empties the inboxes in a fixed order.

mod account;
mod admission;
mod backend;
mod quota;

use crate::backends::BackendTable;
use crate::interface::*;
use crate::measure::*;
use crate::messages::*;
use crate::state::*;
use rand::{Rng, SeedableRng, rngs::SmallRng};

// Figures without a site of their own; docs/results.md and the journal have what else was tried.
/// Seconds between a gateway's heartbeats to itself, and what each leaves of the longest stall that they showed.
const HEARTBEAT_PERIOD: f64 = 0.25;
const STALL_DECAY: f64 = 0.99;
/// Seconds over which the rates of attempts and of successes are averaged.
const RATE_SPAN: f64 = 2.0;
/// Long against a response, short against a failure.
const EJECTION: Ticks = Ticks(80_000);
/// Retries for each first attempt, and the most saved up: enough for one unresponsive backend's requests.
const RETRY_RATIO: f64 = 0.1;
const MAX_RETRY_BUDGET: f64 = 12.0;

/// The decisions of one gateway: pure, and the same for the same configuration and events.
pub struct Balancer {
    config: BalancerConfig,
    now: Ticks,
    rng: SmallRng,
    admission: AdmissionControl,
    quota: QuotaEnforcer,
    backends: BackendTable,
    actions: Vec<Action>,
}

impl Balancer {
    /// A gateway that has just started.
    pub fn new(config: BalancerConfig) -> Balancer {
        let guess = |product: &Product| LatencyEstimate::guess(product.sla_time.seconds() / 4.0);
        let latencies = config.products.iter().map(guess).collect();
        let (now, retry_budget) = (config.started_at, MAX_RETRY_BUDGET);
        let success_rate = DecayingRate::new(now);
        let admission = AdmissionControl { latencies, success_rate, retry_budget, ..Default::default() };
        let (call_rate, counter_reach, counted_rate) = (1.0, 1.0, 1.0);
        let fit_rates = vec![0.5; config.plans.len()];
        let quota = QuotaEnforcer { call_rate, counter_reach, counted_rate, fit_rates, ..Default::default() };
        let (rng, backends) = (SmallRng::seed_from_u64(config.seed), BackendTable::default());
        let mut balancer = Balancer { config, now, rng, admission, quota, backends, actions: Vec::new() };
        balancer.heartbeat();
        balancer
    }

    /// Handles a batch of events at a time and gives the actions to carry out, in order.
    pub fn decide(&mut self, now: Ticks, events: Vec<Event>) -> Vec<Action> {
        let last_batch_at = self.now;
        self.now = self.now.max(now);
        // Against holding requests that no stall leaves time for: the next one may come at any moment.
        self.quota.longest_stall = self.quota.longest_stall.max(self.now - last_batch_at);
        events.into_iter().for_each(|event| self.dispatch(event));
        self.deliver();
        // Judged after the events: a gateway held up itself must not take its own backlog for a backend's silence.
        self.tick();
        self.deliver();
        std::mem::take(&mut self.actions)
    }

    fn dispatch(&mut self, event: Event) {
        match Notification::from(event) {
            Notification::BackendList(entries) => self.backends.replace(entries, self.now),
            Notification::BackendChanges(entries) => self.backends.update(entries, self.now),
            Notification::Admission(message) => self.admission.inbox.push_back(message),
            Notification::Quota(message) => self.quota.inbox.push_back(message),
            Notification::Heartbeat => self.heartbeat(),
        }
    }

    /// Where requests are held for other gateways' messages, a gateway must know when it stood still itself.
    fn heartbeat(&mut self) {
        if self.config.peer_messages {
            self.quota.longest_stall = self.quota.longest_stall.times(STALL_DECAY);
            let after = Ticks::SECOND.times(HEARTBEAT_PERIOD);
            self.actions.push(Action::SetTimer { after, timer: HEARTBEAT_TIMER });
        }
    }

    /// Only backends with attempts in flight, ejected or warming up are ticked: in a wide fleet few of all.
    fn tick(&mut self) {
        let ctx = Context { now: self.now, config: &self.config };
        let ready = self.admission.backends.values().filter(|backend| backend.is_ready());
        let (rate, capacity) = ready.fold((0.0, 1e-6), |(rate, capacity), backend| {
            (rate + backend.sent_rate.value(RATE_SPAN, ctx), capacity + backend.capacity)
        });
        let (ready_rate, patience) = (rate / capacity, self.admission.patience());
        // The random part keeps gateways that ejected a backend together from returning to it together.
        let ejection = EJECTION.times(1.0 + 0.5 * self.rng.random::<f64>());
        self.backends.notify_active(BackendMessage::Tick { patience, ready_rate, ejection });
    }

    /// Backends first, then quotas, so that admission control never acts on snapshots that are behind.
    fn deliver(&mut self) {
        loop {
            let ctx = Context { now: self.now, config: &self.config };
            self.backends.deliver(&mut self.admission.backends, ctx);
            if let Some(message) = self.quota.inbox.pop_front() {
                if let Some(answer) = self.quota.handle(message, ctx) {
                    self.admission.inbox.push_front(answer);
                }
                self.actions.append(&mut self.quota.actions);
            } else if let Some(message) = self.admission.inbox.pop_front() {
                self.handle(message);
            } else {
                return;
            }
        }
    }
}
