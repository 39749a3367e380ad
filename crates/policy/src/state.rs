//! The data that the decisions keep, grouped by how long it lives. Nothing is decided here: constructors fill in the
//! time, and methods note and read what has happened.

use crate::interface::*;
use crate::measure::{DecayingRate, LatencyEstimate, PendingCounts};
use crate::messages::*;
use std::collections::{BTreeMap, VecDeque};

/// What every part of the decisions goes by: the batch's time and the configuration.
#[derive(Clone, Copy, Debug)]
pub struct Context<'a> {
    /// The time of the batch.
    pub now: Ticks,
    /// What the gateway was started with.
    pub config: &'a BalancerConfig,
}

impl<'a> Context<'a> {
    /// Seconds from `earlier` to now.
    pub fn since(self, earlier: Ticks) -> f64 {
        (self.now - earlier).seconds()
    }

    /// What an exponential average over `span` seconds leaves by now of a value from `earlier`.
    pub fn decay(self, earlier: Ticks, span: f64) -> f64 {
        (-self.since(earlier) / span).exp()
    }

    /// The figures of a plan.
    pub fn plan(self, plan: PlanId) -> &'a Plan {
        &self.config.plans[plan.0]
    }

    /// The gateway at a position in the subset through which the claim's customer comes.
    pub fn subset_member(self, claim: &QuotaClaim, position: u64) -> GatewayId {
        let gateway = (u64::from(claim.subset_start) + position) % u64::from(self.config.gateway_count);
        GatewayId(gateway as u32)
    }

    /// Whether a claim that another gateway sent names a plan, a subset and a cost that there can be.
    pub fn is_valid(self, claim: &QuotaClaim) -> bool {
        claim.plan.0 < self.config.plans.len()
            && (1..=self.config.gateway_count).contains(&claim.subset_size)
            && (0.0..=self.config.max_cost).contains(&claim.cost)
    }
}

// For one check of a quota.

/// Whether one request may be admitted, and how far the question has got.
#[derive(Clone, Copy, Debug, Default)]
pub struct QuotaCheck {
    /// The request.
    pub txn: TxnId,
    /// What it takes of its customer's quota.
    pub claim: QuotaClaim,
    /// Drawn evenly from 0 to 1, once for the request.
    pub random: f64,
    /// How long its client stays.
    pub stay: Ticks,
    /// How long one owner's response may take.
    pub owner_timeout: Ticks,
    /// Whether there is room for it beyond its quota, by what it is worth there.
    pub has_room: bool,
    /// How many owners were asked.
    pub owners_asked: u32,
    /// Whether an owner has refused it.
    pub refused: bool,
}

/// A request held for the shared counter's total, in the order of the calls for its key.
#[derive(Clone, Copy, Debug)]
pub struct PendingCount {
    /// The request.
    pub check: QuotaCheck,
    /// The number of the customer's counter window.
    pub window: i64,
    /// When the counter was called.
    pub called_at: Ticks,
}

impl PendingCount {
    /// When its window ends, if windows are `span` long.
    pub fn window_end(&self, span: Ticks) -> Ticks {
        Ticks((self.window + 1) * span.0)
    }
}

/// A request held for an owner's response.
#[derive(Clone, Copy, Debug)]
pub struct PendingRequest {
    /// The gateway that was asked.
    pub owner: GatewayId,
    /// The request.
    pub check: QuotaCheck,
}

// For one attempt.

/// A request as sent to one backend.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Where it was sent.
    pub backend: BackendId,
    /// When it was sent.
    pub sent_at: Ticks,
    /// Whether its end is not known yet.
    pub in_flight: bool,
    /// Whether the backend may have run it.
    pub may_have_run: bool,
}

// For one request.

/// A request under way.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// What was asked for.
    pub arrival: Arrival,
    /// When it came.
    pub arrived_at: Ticks,
    /// Whether it has its final answer, or needs none.
    pub answered: bool,
    /// The attempts so far, by [`AttemptNumber`].
    pub attempts: Vec<Attempt>,
}

impl Request {
    /// Notes that a further attempt is sent, and gives its number.
    pub fn begin_attempt(&mut self, backend: BackendId, now: Ticks) -> AttemptNumber {
        // Until its outcome says otherwise an attempt may run at any moment.
        self.attempts.push(Attempt { backend, sent_at: now, in_flight: true, may_have_run: true });
        AttemptNumber(self.attempts.len() as u32 - 1)
    }

    /// Notes the end of an attempt, and gives its backend; none where it is not in flight.
    pub fn end_attempt(&mut self, number: AttemptNumber, outcome: Outcome) -> Option<BackendId> {
        let attempt = self.attempts.get_mut(number.0 as usize).filter(|attempt| attempt.in_flight)?;
        attempt.in_flight = false;
        attempt.may_have_run = !outcome.never_ran();
        Some(attempt.backend)
    }

    /// The first of its attempts that may have run.
    pub fn first_that_may_have_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.may_have_run)
    }
}

// For one backend.

/// What this gateway keeps of one backend.
#[derive(Clone, Debug, Default)]
pub struct Backend {
    /// Messages not handled yet.
    pub inbox: VecDeque<BackendMessage>,
    /// Its capacity relative to other backends.
    pub capacity: f64,
    /// Whether it stands in this gateway's own zone.
    pub local: bool,
    /// When it started, where that is known.
    pub started_at: Option<Ticks>,
    /// Whether discovery says that it takes requests.
    pub ready: bool,
    /// When each attempt in flight was sent.
    pub in_flight: BTreeMap<(TxnId, AttemptNumber), Ticks>,
    /// How many of these are in flight for so long that they stand in nobody's way.
    pub stuck: f64,
    /// When it last succeeded.
    pub last_success: Ticks,
    /// Until when an idle connection to it stays open.
    pub connected_until: Ticks,
    /// Attempts sent earlier tell nothing of it.
    pub observed_since: Ticks,
    /// The average of its latencies, as a multiple of their products' means.
    pub relative_latency: f64,
    /// Failures, halved by each success.
    pub failures: f64,
    /// Until when it is ejected.
    pub ejected_until: Option<Ticks>,
    /// Seconds of work a second that were sent to it.
    pub sent_rate: DecayingRate,
    /// The time of the last tick.
    pub ticked_at: Ticks,
    /// Seconds of work that it may be sent while it warms up.
    pub warm_up_credit: f64,
}

impl Backend {
    /// A backend first heard of at `now`.
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

    /// Takes over what discovery says; a backend that has started anew is tracked anew.
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

/// What a backend's tracker last showed admission control.
#[derive(Clone, Copy, Debug)]
pub struct BackendSnapshot {
    /// Whether it stands in this gateway's own zone.
    pub local: bool,
    /// Its capacity relative to other backends.
    pub capacity: f64,
    /// Its capacity as far as it has warmed up, by its latency.
    pub strength: f64,
    /// Attempts in flight.
    pub in_flight: f64,
    /// How many of these are stuck.
    pub stuck: f64,
    /// Whether it is warming up.
    pub warming_up: bool,
    /// Whether it is ejected.
    pub ejected: bool,
    /// Whether it is warming up and may be sent nothing more for now.
    pub exhausted: bool,
    /// Seconds of work a second that were sent to it.
    pub sent_rate: DecayingRate,
    /// Until when an idle connection to it stays open.
    pub connected_until: Ticks,
}

impl BackendSnapshot {
    /// Whether it has warmed up and is not ejected.
    pub fn is_ready(&self) -> bool {
        !self.warming_up && !self.ejected
    }
}

/// The backends that take requests.
pub type Snapshots = BTreeMap<BackendId, BackendSnapshot>;

// For the instance.

/// One customer's quota at this gateway.
#[derive(Clone, Debug, Default)]
pub struct Account {
    /// The customer's plan.
    pub plan: PlanId,
    /// How many gateways the customer comes through.
    pub subset_size: f64,
    /// This gateway's part of the quota.
    pub share: f64,
    /// Units left in the share.
    pub tokens: f64,
    /// Units of the complete quota that no gateway seems to claim.
    pub unclaimed: f64,
    /// Units a second asked for lately.
    pub demand: f64,
    /// The part refused of what this gateway was asked as an owner.
    pub refused: f64,
    /// When the customer's gateways were last notified that the quota is exhausted.
    pub exhausted_sent_at: Ticks,
    /// Units left in this gateway's part of the hard limit.
    pub limit_tokens: f64,
    /// The time up to which all tokens are refilled.
    pub refilled_at: Ticks,
    /// The mean cost of an admitted request, in units.
    pub mean_cost: f64,
    /// Units admitted since the last review.
    pub admitted: f64,
    /// Units a second admitted here, averaged.
    pub admitted_rate: f64,
    /// The same, as late as the meter's readings are.
    pub lagged_rate: f64,
    /// The averaged usage over all gateways, as a part of the quota.
    pub metered_usage: f64,
    /// The meter's last reading.
    pub reading: f64,
    /// When it came.
    pub read_at: Option<Ticks>,
    /// The time of the last review of the share.
    pub reviewed_at: Ticks,
    /// The counter window last reported.
    pub window: i64,
    /// Its total, in units.
    pub window_total: f64,
}

/// Admission control: the requests under way and what tells how loaded the backends are.
#[derive(Clone, Debug, Default)]
pub struct AdmissionControl {
    /// Messages not handled yet.
    pub inbox: VecDeque<AdmissionMessage>,
    /// The requests under way.
    pub requests: BTreeMap<TxnId, Request>,
    /// The backends that take requests.
    pub backends: Snapshots,
    /// Latencies by [`ProductId`].
    pub latencies: Vec<LatencyEstimate>,
    /// Successes a second.
    pub success_rate: DecayingRate,
    /// The average number of attempts in flight, as of `in_flight_at`.
    pub mean_in_flight: f64,
    /// The time of `mean_in_flight`.
    pub in_flight_at: Ticks,
    /// The mean value of a second of work.
    pub mean_value: f64,
    /// The time a newcomer would take, as a part of the SLA time of the product tightest on time.
    pub load: f64,
    /// Retries that may be sent.
    pub retry_budget: f64,
}

/// The enforcement of quotas.
#[derive(Clone, Debug, Default)]
pub struct QuotaEnforcer {
    /// Messages not handled yet.
    pub inbox: VecDeque<QuotaMessage>,
    /// The customers' accounts at this gateway.
    pub accounts: BTreeMap<CustomerId, Account>,
    /// When accounts were last swept.
    pub swept_at: Ticks,
    /// Requests that wait for the shared counter.
    pub pending_counts: PendingCounts,
    /// Actions not carried out yet.
    pub actions: Vec<Action>,
    /// The parts of customers' quotas that this gateway owns.
    pub owned_accounts: BTreeMap<CustomerId, Account>,
    /// Requests that wait for owners.
    pub pending_requests: BTreeMap<QuotaRequestId, PendingRequest>,
    /// How many quota requests were sent.
    pub requests_sent: u32,
    /// Customers that ask far more than their quotas, and when this gateway was notified of it.
    pub exhausted: BTreeMap<CustomerId, Ticks>,
    /// The longest that this gateway lately stood still.
    pub longest_stall: Ticks,
    /// The part of the checks that call the counter: halved by each call that fails or waits in a queue, back to all
    /// of them with time, as of `call_rate_at`.
    pub call_rate: f64,
    /// The time of `call_rate` and `counter_reach`.
    pub call_rate_at: Ticks,
    /// What a check usually costs: calls go first to what costs more.
    pub mean_cost: f64,
    /// How large a share may be whose customer is counted, from 0 to 1: as the calls, but back over minutes.
    pub counter_reach: f64,
    /// The part of the checks that the counter answered lately.
    pub counted_rate: f64,
    /// For each plan, the part of these that fit.
    pub fit_rates: Vec<f64>,
}
