//! The state of the policy, grouped by lifetime. This module makes no decisions: constructors set initial values, and
//! methods record and return what has happened.

use crate::interface::*;
use crate::measure::{DecayingMean, DecayingRate, LatencyEstimate, PendingCounterCalls};
use crate::messages::*;
use std::collections::{BTreeMap, VecDeque};

/// The inputs that all components need: the time of the current batch of events, and the configuration.
#[derive(Clone, Copy, Debug)]
pub struct Context<'a> {
    /// The time of the current batch of events.
    pub now: Ticks,
    /// The configuration of the gateway.
    pub config: &'a BalancerConfig,
}

impl<'a> Context<'a> {
    /// Returns the seconds from `earlier` to now.
    pub fn since(self, earlier: Ticks) -> f64 {
        (self.now - earlier).seconds()
    }

    /// Returns the weight that a value from `earlier` still has in an exponential average with a time constant of `span`
    /// seconds.
    pub fn decay(self, earlier: Ticks, span: f64) -> f64 {
        (-self.since(earlier) / span).exp()
    }

    /// Returns the configuration of a plan.
    pub fn plan(self, plan: PlanId) -> &'a Plan {
        &self.config.plans[plan.0]
    }

    /// Returns the gateway at `position` in the subset of the claim's customer.
    pub fn subset_member(self, claim: &QuotaClaim, position: u64) -> GatewayId {
        let gateway = (u64::from(claim.subset_start) + position) % u64::from(self.config.gateway_count);
        GatewayId(gateway as u32)
    }

    /// Returns whether plan, subset size and cost of a claim from another gateway are within their ranges.
    pub fn is_valid(self, claim: &QuotaClaim) -> bool {
        claim.plan.0 < self.config.plans.len()
            && (1..=self.config.gateway_count).contains(&claim.subset_size)
            && (0.0..=self.config.max_cost).contains(&claim.cost)
    }
}

// State with the lifetime of one quota check.

/// The check whether the quota admits one request, with its progress.
#[derive(Clone, Copy, Debug, Default)]
pub struct QuotaCheck {
    /// The request.
    pub txn: TxnId,
    /// The quota that the request needs.
    pub claim: QuotaClaim,
    /// A random number from 0 to 1, generated once for the request.
    pub random: f64,
    /// The time from the arrival of the request to its deadline, when its client stops waiting.
    pub time_left: Ticks,
    /// The timeout of a query to one owner.
    pub timeout: Ticks,
    /// Whether the load is too high for the request at the value that it has beyond its quota.
    pub sheds_excess: bool,
    /// The number of owners queried so far.
    pub owners_queried: u32,
    /// Whether an owner has rejected the claim.
    pub rejected: bool,
}

/// A request that waits for the reply to a call to the shared counter.
#[derive(Clone, Copy, Debug)]
pub struct PendingCounterCall {
    /// The check of the request.
    pub check: QuotaCheck,
    /// The number of the counter window that the call was for.
    pub window: i64,
    /// When the counter was called.
    pub called_at: Ticks,
}

impl PendingCounterCall {
    /// Returns the end of the window, if windows are `span` long.
    pub fn window_end(&self, span: Ticks) -> Ticks {
        Ticks((self.window + 1) * span.0)
    }
}

/// A request that waits for an owner's response.
#[derive(Clone, Copy, Debug)]
pub struct PendingOwnerRequest {
    /// The gateway that was queried.
    pub owner: GatewayId,
    /// The check of the request.
    pub check: QuotaCheck,
}

// State with the lifetime of one attempt.

/// One attempt to serve a request at a backend.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The backend that it was sent to.
    pub backend: BackendId,
    /// When it was sent.
    pub sent_at: Ticks,
    /// Whether it has not ended yet.
    pub in_flight: bool,
    /// Whether the backend may have run the request.
    pub may_have_run: bool,
}

// State with the lifetime of one request.

/// A request that has not ended.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// The request as it arrived.
    pub arrival: Arrival,
    /// When it arrived.
    pub arrived_at: Ticks,
    /// Whether the client has received the final answer or needs none.
    pub answered: bool,
    /// The attempts so far, indexed by [`AttemptNumber`].
    pub attempts: Vec<Attempt>,
}

impl Request {
    /// Records a new attempt and returns its number.
    pub fn begin_attempt(&mut self, backend: BackendId, now: Ticks) -> AttemptNumber {
        // Until the outcome shows otherwise, the backend may run the request at any moment.
        self.attempts.push(Attempt { backend, sent_at: now, in_flight: true, may_have_run: true });
        AttemptNumber(self.attempts.len() as u32 - 1)
    }

    /// Records the end of an attempt and returns its backend, or `None` if the attempt is not in flight.
    pub fn end_attempt(&mut self, number: AttemptNumber, outcome: Outcome) -> Option<BackendId> {
        let attempt = self.attempts.get_mut(number.0 as usize).filter(|attempt| attempt.in_flight)?;
        attempt.in_flight = false;
        attempt.may_have_run = !outcome.never_ran();
        Some(attempt.backend)
    }

    /// Returns the first attempt that a backend may have run.
    pub fn first_that_may_have_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.may_have_run)
    }
}

// State with the lifetime of one backend.

/// The tracker of one backend.
#[derive(Clone, Debug, Default)]
pub struct Backend {
    /// Messages not handled yet.
    pub inbox: VecDeque<BackendMessage>,
    /// Its capacity relative to other backends.
    pub capacity: f64,
    /// Whether it is in this gateway's zone.
    pub local: bool,
    /// When it started, if known.
    pub started_at: Option<Ticks>,
    /// Whether discovery reports that it accepts requests.
    pub ready: bool,
    /// The attempts in flight, with the time when each was sent.
    pub in_flight: BTreeMap<(TxnId, AttemptNumber), Ticks>,
    /// How many attempts in flight are so old that they no longer delay new requests.
    pub stuck: f64,
    /// When an attempt last succeeded.
    pub last_success: Ticks,
    /// When the last idle connection to it closes.
    pub connected_until: Ticks,
    /// Attempts sent before this time do not count for an ejection.
    pub observed_since: Ticks,
    /// The average latency, as a multiple of the mean latency of the product.
    pub relative_latency: f64,
    /// The number of failures, halved by each success.
    pub failures: f64,
    /// When its ejection ends.
    pub ejected_until: Option<Ticks>,
    /// Work sent to it, in seconds per second.
    pub sent_rate: DecayingRate,
    /// The time of the last tick.
    pub ticked_at: Ticks,
    /// Work that may be sent to it while it warms up, in seconds.
    pub warm_up_credit: f64,
}

impl Backend {
    /// Returns the tracker of a backend that discovery first reports at `now`.
    pub fn new(now: Ticks) -> Backend {
        Backend {
            capacity: 1.0,
            relative_latency: 1.0,
            last_success: now,
            observed_since: now,
            sent_rate: DecayingRate::new(now),
            ticked_at: now,
            ..Backend::default()
        }
    }

    /// Applies a report from discovery. After a restart of the backend, all state except its messages and its attempts in
    /// flight is reset.
    pub fn update(&mut self, entry: BackendInfo, now: Ticks) {
        if entry.started_at != self.started_at && entry.started_at.is_some() {
            let (inbox, in_flight) = (std::mem::take(&mut self.inbox), std::mem::take(&mut self.in_flight));
            *self = Backend { inbox, in_flight, ..Backend::new(now) };
        }
        self.ready = entry.status == BackendStatus::Ready;
        self.capacity = if entry.capacity > 0.0 { entry.capacity } else { 1.0 };
        (self.started_at, self.local) = (entry.started_at, entry.local);
    }
}

/// The state of a backend that its tracker publishes to admission control.
#[derive(Clone, Copy, Debug)]
pub struct BackendSnapshot {
    /// Whether it is in this gateway's zone.
    pub local: bool,
    /// Its capacity relative to other backends.
    pub capacity: f64,
    /// Its capacity scaled by warm-up progress and divided by its relative latency.
    pub effective_capacity: f64,
    /// The number of attempts in flight.
    pub in_flight: f64,
    /// How many attempts in flight are so old that they no longer delay new requests.
    pub stuck: f64,
    /// Whether it is warming up.
    pub warming_up: bool,
    /// Whether it is ejected.
    pub ejected: bool,
    /// Whether it is warming up and has no credit for more work at the moment.
    pub out_of_credit: bool,
    /// Work sent to it, in seconds per second.
    pub sent_rate: DecayingRate,
    /// When the last idle connection to it closes.
    pub connected_until: Ticks,
}

impl BackendSnapshot {
    /// Returns whether the backend has warmed up and is not ejected.
    pub fn is_warm(&self) -> bool {
        !self.warming_up && !self.ejected
    }
}

/// The snapshots of all backends that accept requests.
pub type Snapshots = BTreeMap<BackendId, BackendSnapshot>;

// State with the lifetime of the gateway.

/// The account of one customer's quota at this gateway.
#[derive(Clone, Debug, Default)]
pub struct Account {
    /// The customer's plan.
    pub plan: PlanId,
    /// The number of gateways at which the customer's requests arrive.
    pub subset_size: f64,
    /// This gateway's share of the quota, as a fraction.
    pub share: f64,
    /// Units left in the share; a negative number is debt.
    pub tokens: f64,
    /// Estimated units of the whole quota that no gateway uses; requests may borrow from them.
    pub unused_quota: f64,
    /// Units per second requested recently, averaged.
    pub demand_rate: f64,
    /// The fraction of claims that this gateway rejects as an owner, averaged.
    pub reject_ratio: f64,
    /// When this gateway, as an owner, last notified the customer's gateways that the quota is exhausted.
    pub exhausted_sent_at: Ticks,
    /// Units left in this gateway's part of the hard limit.
    pub hard_limit_tokens: f64,
    /// The time up to which all tokens are refilled.
    pub refilled_at: Ticks,
    /// The mean cost of an admitted request, in units.
    pub mean_cost: f64,
    /// Units admitted since the last update of the share.
    pub admitted: f64,
    /// Units per second admitted at this gateway, averaged.
    pub admitted_rate: f64,
    /// `admitted_rate`, delayed as much as the meter readings are.
    pub lagged_rate: f64,
    /// The metered usage at all gateways as a fraction of the quota, averaged.
    pub metered_usage: f64,
    /// The last meter reading, as a fraction of the quota.
    pub meter_reading: f64,
    /// When the last meter reading arrived.
    pub meter_read_at: Option<Ticks>,
    /// The time of the last update of the share.
    pub share_updated_at: Ticks,
    /// The number of the counter window last reported.
    pub window: i64,
    /// The total in that window, in units.
    pub window_total: f64,
}

impl Account {
    /// Records the cost of an admitted request, also against the hard limit; the share keeps at least `min_tokens`.
    pub fn charge(&mut self, cost: f64, min_tokens: f64) {
        self.hard_limit_tokens -= cost;
        self.spend(cost);
        self.tokens = self.tokens.max(min_tokens);
    }

    /// Records units that were used, or returned if `cost` is negative.
    pub fn spend(&mut self, cost: f64) {
        self.tokens -= cost;
        self.unused_quota -= cost;
        self.admitted += cost;
    }

    /// Records a meter reading, if there is one.
    pub fn record_reading(&mut self, reading: Option<f64>, now: Ticks) {
        if let Some(reading) = reading {
            (self.meter_reading, self.meter_read_at) = (reading, Some(now));
        }
    }
}

/// The state of admission control: the requests that have not ended, and estimates of the load of the backends.
#[derive(Clone, Debug, Default)]
pub struct AdmissionControl {
    /// Messages not handled yet.
    pub inbox: VecDeque<AdmissionMessage>,
    /// The requests that have not ended.
    pub requests: BTreeMap<TxnId, Request>,
    /// The backends that accept requests.
    pub backends: Snapshots,
    /// Latencies, indexed by [`ProductId`].
    pub latencies: Vec<LatencyEstimate>,
    /// Work of successful attempts, in seconds of latency without queueing per second.
    pub work_rate: DecayingRate,
    /// The average number of attempts in flight.
    pub mean_in_flight: DecayingMean,
    /// The mean value per second of work.
    pub mean_value: f64,
    /// The expected latency of a new request as a fraction of the SLA time, for the product where it is largest; zero if
    /// requests do not queue.
    pub load: f64,
    /// The number of retries that may be sent.
    pub retry_budget: f64,
}

/// Replaces the item at `index`, or adds it if `index` is the number of items.
pub(crate) fn set_or_push<T>(items: &mut Vec<T>, index: usize, item: T) {
    match items.get_mut(index) {
        Some(replaced) => *replaced = item,
        None => items.push(item),
    }
}

/// The state of quota enforcement.
#[derive(Clone, Debug, Default)]
pub struct QuotaEnforcer {
    /// Messages not handled yet.
    pub inbox: VecDeque<QuotaMessage>,
    /// The customers' accounts at this gateway.
    pub accounts: BTreeMap<CustomerId, Account>,
    /// When idle accounts were last evicted.
    pub evicted_at: Ticks,
    /// Requests that wait for the shared counter.
    pub pending_counter_calls: PendingCounterCalls,
    /// Actions not returned to the program yet.
    pub actions: Vec<Action>,
    /// Accounts of the parts of customers' quotas that this gateway owns.
    pub owned_accounts: BTreeMap<CustomerId, Account>,
    /// Requests that wait for owners.
    pub pending_owner_requests: BTreeMap<QuotaRequestId, PendingOwnerRequest>,
    /// The number of quota requests sent; the id of the next one.
    pub requests_sent: u32,
    /// Customers that demand far more than their quotas, with the time of the last notification from an owner.
    pub exhausted_customers: BTreeMap<CustomerId, Ticks>,
    /// The longest recent interval between two batches of events; each heartbeat reduces it a little.
    pub longest_stall: Ticks,
    /// The fraction of the checks that call the counter, at the time `call_ratio_at`. Each call that fails or waits in
    /// a queue halves it; it recovers to 1 over seconds.
    pub call_ratio: f64,
    /// The time of `call_ratio` and `coverage`.
    pub call_ratio_at: Ticks,
    /// The mean cost of a check, in units. If not all checks call the counter, those with a higher cost are preferred.
    pub mean_cost: f64,
    /// From 0 to 1: the larger it is, the larger a customer's share may be for its checks to call the counter. It is
    /// reduced with `call_ratio`, but recovers over minutes.
    pub coverage: f64,
    /// The fraction of the checks that the counter answered, averaged.
    pub counted_ratio: f64,
    /// For each plan, the fraction of the answered checks that were granted, averaged.
    pub grant_ratios: Vec<f64>,
}

impl QuotaEnforcer {
    /// Returns the state of a gateway that has just started, with these grant ratios.
    pub fn new(grant_ratios: Vec<f64>) -> QuotaEnforcer {
        let (call_ratio, coverage, counted_ratio) = (1.0, 1.0, 1.0);
        QuotaEnforcer { call_ratio, coverage, counted_ratio, grant_ratios, ..QuotaEnforcer::default() }
    }
}
