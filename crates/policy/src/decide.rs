//! The policy of one gateway. Backend trackers, quota enforcement and admission control each own their state and an inbox,
//! and communicate only by messages; `deliver` empties the inboxes in a fixed order.

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

/// The period of a gateway's heartbeats to itself.
const HEARTBEAT_SECONDS: f64 = 0.25;
/// The factor by which each heartbeat reduces the longest stall seen so far.
const STALL_DECAY_FACTOR: f64 = 0.99;
/// Time constant of the average rates of attempts and of completed work.
const RATE_EMA_SECONDS: f64 = 2.0;
/// The shortest ejection, 8 s: long compared with a response, short compared with a failure.
const MIN_EJECTION_TIME: Ticks = Ticks(80_000);
/// The retries that each first attempt adds to the budget.
const RETRY_RATIO: f64 = 0.1;
/// The largest retry budget: enough to retry all requests at one unresponsive backend.
const MAX_RETRY_BUDGET: f64 = 12.0;

/// The policy of one gateway. It is pure: the same configuration and events always give the same actions.
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
    /// Returns the policy of a gateway that has just started.
    pub fn new(mut config: BalancerConfig) -> Balancer {
        let products = std::mem::take(&mut config.products);
        let (now, rng) = (config.started_at, SmallRng::seed_from_u64(config.seed));
        let admission = AdmissionControl { retry_budget: MAX_RETRY_BUDGET, ..Default::default() };
        let quota = QuotaEnforcer::new(vec![0.5; config.plans.len()]);
        let backends = BackendTable::default();
        let mut balancer = Balancer { config, now, rng, admission, quota, backends, actions: Vec::new() };
        for (id, product) in products.into_iter().enumerate() {
            balancer.set_product(ProductId(id), product);
        }
        balancer.heartbeat();
        balancer
    }

    /// Adds a product or replaces one that no open request uses. Nothing is known about its latency.
    pub fn set_product(&mut self, id: ProductId, product: Product) {
        let latency = LatencyEstimate::initial(product.sla_time.seconds() / 4.0);
        set_or_push(&mut self.admission.latencies, id.0, latency);
        set_or_push(&mut self.config.products, id.0, product);
    }

    /// Returns whether an open request uses the product.
    pub fn uses_product(&self, id: ProductId) -> bool {
        self.admission.requests.values().any(|request| request.arrival.product == id)
    }

    /// Handles a batch of events that occur at `now`, and returns the actions to carry out, in order.
    pub fn decide(&mut self, now: Ticks, events: Vec<Event>) -> Vec<Action> {
        let last_batch_at = self.now;
        self.now = self.now.max(now);
        // A request waits for a quota owner only if its client would wait through another stall of this length.
        self.quota.longest_stall = self.quota.longest_stall.max(self.now - last_batch_at);
        events.into_iter().for_each(|event| self.dispatch(event));
        self.deliver();
        // Backends are ticked after the events: responses in this gateway's own backlog must not count as missing.
        self.tick();
        self.deliver();
        std::mem::take(&mut self.actions)
    }

    fn dispatch(&mut self, event: Event) {
        match RoutedEvent::from(event) {
            RoutedEvent::BackendList(entries) => self.backends.replace(entries, self.now),
            RoutedEvent::BackendChanges(entries) => self.backends.update(entries, self.now),
            RoutedEvent::Admission(message) => self.admission.inbox.push_back(message),
            RoutedEvent::Quota(message) => self.quota.inbox.push_back(message),
            RoutedEvent::Heartbeat => self.heartbeat(),
        }
    }

    /// Sets the timer of the next heartbeat. Heartbeats let a gateway that holds requests detect its own stalls.
    fn heartbeat(&mut self) {
        if self.config.peer_messages {
            self.quota.longest_stall = self.quota.longest_stall.times(STALL_DECAY_FACTOR);
            let after = Ticks::SECOND.times(HEARTBEAT_SECONDS);
            self.actions.push(Action::SetTimer { after, timer: HEARTBEAT_TIMER });
        }
    }

    /// Ticks only backends that are ejected, failing, warming up or have attempts in flight: few in a large fleet.
    fn tick(&mut self) {
        let ctx = Context { now: self.now, config: &self.config };
        let warm = self.admission.backends.values().filter(|backend| backend.is_warm());
        let (rate, capacity) = warm.fold((0.0, 1e-6), |(rate, capacity), backend| {
            (rate + backend.sent_rate.value(RATE_EMA_SECONDS, ctx), capacity + backend.capacity)
        });
        let (warm_rate, overdue_after) = (rate / capacity, self.admission.overdue_after());
        // Random times keep gateways that ejected a backend together from returning to it together.
        let ejection_time = MIN_EJECTION_TIME.times(1.0 + 0.5 * self.rng.random::<f64>());
        self.backends.notify_active(BackendMessage::Tick { overdue_after, warm_rate, ejection_time });
    }

    /// Empties the inboxes: backends first, then quotas, so that admission control never uses outdated snapshots.
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
