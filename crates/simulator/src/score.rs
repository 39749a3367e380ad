//! The value of a run: the served fraction of the offered value, as a weighted mean over the complete run, its worst window,
//! product and plan, less prices for the resources used.

mod record;

use crate::arrivals::{Arrivals, FirstTry};
use crate::experiment::Experiment;
use crate::quotas::CustomerQuota;
use crate::random::TICKS_PER_MS;
use crate::rules::RuleViolation;
use crate::simulation::RUN_START;
use hdrhistogram::Histogram;
pub use record::{ResourceUsage, RunRecord, SecondStats};
use std::collections::{BTreeMap, HashMap};
use vanewharf_policy::interface::{CustomerId, Ticks};

/// Length of the sliding windows in seconds. The served fraction of the worst window is part of the value.
const WINDOW_S: usize = 10;
/// Upper bound of the latency histogram, in ticks: one hour.
const MAX_LATENCY_TICKS: u64 = 36_000_000;
/// Upper bound of the histogram of queue lengths. Longer queues are recorded with this length.
const MAX_QUEUE_LENGTH: u64 = 1_000_000;
/// Number of significant digits of the histograms.
const SIGNIFICANT_DIGITS: u8 = 3;

/// The value of a first try and what it and its retries have earned so far.
#[derive(Clone, Copy, Debug, Default)]
struct TryScore {
    product: usize,
    plan: usize,
    /// Second of the run in which it arrived.
    second: usize,
    arrived_at: Ticks,
    value: f64,
    offered: f64,
    within_quota: bool,
    earned: f64,
    /// Whether it has been answered or counted as a late failure; then it is not counted as a late failure again.
    closed: bool,
}

/// Collects the statistics of a run.
pub struct ScoreRecorder {
    experiment: Experiment,
    tries: Vec<TryScore>,
    /// Plan of each customer.
    plans: Vec<usize>,
    customers: HashMap<CustomerId, usize>,
    seconds: Vec<SecondStats>,
    /// Resources used so far.
    pub usage: ResourceUsage,
    /// Rule violations so far.
    pub violations: Vec<RuleViolation>,
    served_ms: f64,
    offered_ms: f64,
    over_quota_cost: f64,
    late_failed_value: f64,
    latency: Histogram<u64>,
    queue_lengths: Histogram<u64>,
}

fn ratio(part: f64, total: f64) -> f64 {
    if total > 0.0 { part / total } else { 1.0 }
}

fn capped_ratio(earned: f64, offered: f64) -> f64 {
    ratio(earned, offered).min(1.0)
}

/// Returns the second of a time that is relative to the start of the run.
fn second_of(at: Ticks) -> usize {
    (at.0.max(0) / Ticks::SECOND.0) as usize
}

impl ScoreRecorder {
    /// Creates a recorder for a run.
    pub fn new(experiment: &Experiment, arrivals: &Arrivals) -> ScoreRecorder {
        let first_tries = &arrivals.first_tries;
        let score = |first: &FirstTry| TryScore {
            product: first.product.0,
            plan: arrivals.customers[first.customer].plan.0,
            second: second_of(first.at),
            arrived_at: first.at,
            ..TryScore::default()
        };
        let customers = arrivals.customers.iter().enumerate();
        let length = (experiment.length_s.ceil() as usize).max(1);
        let histogram =
            |max| Histogram::new_with_bounds(1, max, SIGNIFICANT_DIGITS).expect("the bounds are valid");
        ScoreRecorder {
            tries: first_tries.iter().map(score).collect(),
            plans: arrivals.customers.iter().map(|customer| customer.plan.0).collect(),
            customers: customers.map(|(index, customer)| (customer.id, index)).collect(),
            seconds: vec![SecondStats::default(); length],
            usage: ResourceUsage::default(),
            violations: Vec::new(),
            served_ms: 0.0,
            offered_ms: first_tries.iter().map(|first| first.work_ms).sum(),
            over_quota_cost: 0.0,
            late_failed_value: 0.0,
            latency: histogram(MAX_LATENCY_TICKS),
            queue_lengths: histogram(MAX_QUEUE_LENGTH),
            experiment: experiment.clone(),
        }
    }

    /// Returns the index of a customer by its identifier.
    pub fn customer_index(&self, id: CustomerId) -> Option<usize> {
        self.customers.get(&id).copied()
    }

    /// Returns the statistics of the second in which a first try arrived.
    fn second_of_try(&mut self, first_try: usize) -> &mut SecondStats {
        self.clamped_second(self.tries[first_try].second)
    }

    fn clamped_second(&mut self, second: usize) -> &mut SecondStats {
        let last = self.seconds.len() - 1;
        &mut self.seconds[second.min(last)]
    }

    /// Returns the statistics of the second of a simulation time, or none after the last second.
    fn second_at(&mut self, now: Ticks) -> Option<&mut SecondStats> {
        self.seconds.get_mut(((now.0 - RUN_START.0) / Ticks::SECOND.0).max(0) as usize)
    }

    /// Records the arrival of a first try, with its value and whether that is offered within the quota.
    pub fn record_offer(
        &mut self,
        first_try: usize,
        first: &FirstTry,
        quota: &mut CustomerQuota,
        now: Ticks,
    ) {
        let score = &mut self.tries[first_try];
        let plan = &self.experiment.plan[score.plan];
        let product = &self.experiment.product[score.product];
        score.value = product.value * plan.value_factor * first.true_units;
        score.within_quota = quota.ideal.try_take(first.true_units, now);
        score.offered = score.value * if score.within_quota { 1.0 } else { plan.beyond_worth };
        let offered = score.offered;
        let second = self.second_of_try(first_try);
        second.first_tries += 1;
        second.offered_value += offered;
    }

    /// Records the first attempt of a request. A request over the quota is charged the plan's cost.
    pub fn record_sent(&mut self, first: &FirstTry, within_quota: bool) {
        let plan = &self.experiment.plan[self.plans[first.customer]];
        let value = self.experiment.product[first.product.0].value * plan.value_factor * first.units;
        if !within_quota {
            self.over_quota_cost += plan.beyond_cost * value;
        }
        let second = self.clamped_second(second_of(first.at));
        *(if within_quota { &mut second.within_quota_units } else { &mut second.over_quota_units }) +=
            first.units;
    }

    /// Records a successful response with its latency since the first try.
    pub fn record_answer(&mut self, first_try: usize, first: &FirstTry, within_quota: bool, latency: Ticks) {
        let score = &mut self.tries[first_try];
        let plan = &self.experiment.plan[score.plan];
        let product = &self.experiment.product[score.product];
        let in_time = latency.seconds() * 1_000.0 <= product.sla_ms;
        let timeliness = if in_time { 1.0 } else { product.late_worth };
        let value = product.value * plan.value_factor * first.true_units;
        let earned = value * timeliness * if within_quota { 1.0 } else { plan.beyond_worth };
        let before = score.earned;
        score.earned = before.max(earned);
        score.closed = true;
        // An error means that the latency exceeds the histogram's bounds, which no client deadline allows.
        let _ = self.latency.record(latency.0.max(1) as u64);
        self.served_ms += first.work_ms;
        let second = self.second_of_try(first_try);
        second.in_time += u64::from(in_time);
        second.late += u64::from(!in_time);
        second.served_value += (earned - before).max(0.0);
    }

    /// Records work that a backend starts.
    pub fn record_work(&mut self, now: Ticks, work_ms: f64) {
        if let Some(second) = self.second_at(now) {
            second.worked_ms += work_ms;
        }
    }

    /// Records a sample of the fleet's capacity and of the backends' queue lengths.
    pub fn record_sample(
        &mut self,
        now: Ticks,
        capacity_ms: f64,
        queue_lengths: impl Iterator<Item = usize>,
    ) {
        queue_lengths.for_each(|length| self.queue_lengths.saturating_record(length as u64));
        if let Some(second) = self.second_at(now) {
            second.samples += 1;
            second.capacity_ms += (capacity_ms - second.capacity_ms) / f64::from(second.samples);
        }
    }

    /// Records the load of a backend in warm-up, relative to the load that overloads it.
    pub fn record_overload(&mut self, now: Ticks, ratio: f64) {
        if let Some(second) = self.second_at(now) {
            second.max_overload_ratio = second.max_overload_ratio.max(ratio);
        }
    }

    /// Records a customer's usage relative to its hard limit including the slack.
    pub fn record_hard_limit(&mut self, first: &FirstTry, ratio: f64) {
        let ratio = if ratio.is_finite() { ratio } else { 0.0 };
        if let Some(second) = self.seconds.get_mut(second_of(first.at)) {
            second.max_hard_limit_ratio = second.max_hard_limit_ratio.max(ratio);
        }
    }

    /// Returns whether a first try or one of its retries has earned any value.
    pub fn has_earned(&self, first_try: usize) -> bool {
        self.tries[first_try].earned > 0.0
    }

    /// Records a try that ends without a response, as rejected or failed.
    pub fn record_refusal(&mut self, first_try: usize, rejected: bool, now: Ticks) {
        self.record_late_failure(first_try, now);
        let second = self.second_of_try(first_try);
        second.rejected += u64::from(rejected);
        second.failed += u64::from(!rejected);
    }

    /// Records a try that failed without an answer of its gateway.
    pub fn record_failure(&mut self, first_try: usize, now: Ticks) {
        self.record_late_failure(first_try, now);
        self.second_of_try(first_try).failed += 1;
    }

    /// Adds the offered value of a try that fails after its SLA to the late failures, once per first try.
    fn record_late_failure(&mut self, first_try: usize, now: Ticks) {
        let score = &mut self.tries[first_try];
        let elapsed_ms = (now.0 - RUN_START.0 - score.arrived_at.0) as f64 / TICKS_PER_MS;
        if elapsed_ms > self.experiment.product[score.product].sla_ms && !score.closed {
            score.closed = true;
            self.late_failed_value += score.offered;
        }
    }

    /// Returns the served fraction of the offered value for each group of first tries.
    fn served_fractions(
        &self,
        groups: usize,
        group: impl Fn(&TryScore) -> usize,
        within_quota_only: bool,
    ) -> Vec<f64> {
        let mut sums = vec![(0.0, 0.0); groups];
        for score in self.tries.iter().filter(|score| score.within_quota || !within_quota_only) {
            let (earned, offered) = &mut sums[group(score)];
            *earned += score.earned.min(score.value);
            *offered += if within_quota_only { score.value } else { score.offered };
        }
        sums.into_iter().map(|(earned, offered)| capped_ratio(earned, offered)).collect()
    }

    fn worst_window(&self) -> f64 {
        let window = WINDOW_S.min(self.seconds.len());
        let windows = self.seconds.windows(window).map(|seconds| {
            let served: f64 = seconds.iter().map(|second| second.served_value).sum();
            let offered: f64 = seconds.iter().map(|second| second.offered_value).sum();
            capped_ratio(served, offered)
        });
        windows.fold(1.0, f64::min)
    }

    /// Returns the deductions from the value, by their names in reports.
    fn prices(&self, offered: f64, worked_ms: f64) -> BTreeMap<&'static str, f64> {
        let (prices, usage) = (&self.experiment.prices, &self.usage);
        let first_tries = self.tries.len() as f64;
        let wasted_ms = (worked_ms - self.served_ms).max(0.0);
        BTreeMap::from([
            ("beyond quotas", ratio(self.over_quota_cost, offered)),
            ("cross zone", prices.cross_place * ratio(usage.cross_zone as f64, first_tries)),
            ("waste", prices.waste * ratio(wasted_ms, self.offered_ms)),
            ("handshakes", prices.handshake * ratio(usage.handshakes as f64, first_tries)),
            ("counter", prices.counter * ratio(usage.counter_calls as f64, first_tries)),
            ("words", prices.word * ratio(usage.peer_messages as f64, first_tries)),
            ("late failures", prices.late_fail * ratio(self.late_failed_value, offered)),
        ])
    }

    /// Computes the record of a finished run. `worked_ms` is the total work that backends have started.
    pub fn finish(mut self, worked_ms: f64) -> RunRecord {
        let offered: f64 = self.tries.iter().map(|score| score.offered).sum();
        let complete_run = capped_ratio(self.tries.iter().map(|score| score.earned).sum(), offered);
        let products = self.served_fractions(self.experiment.product.len(), |score| score.product, false);
        let plans = self.served_fractions(self.experiment.plan.len(), |score| score.plan, true);
        let worst = |fractions: &[f64]| fractions.iter().copied().fold(1.0, f64::min);
        let (worst_window, worst_product, worst_plan) =
            (self.worst_window(), worst(&products), worst(&plans));
        let prices = self.prices(offered, worked_ms);
        let weights = &self.experiment.weights;
        let weight_sum = weights.whole + weights.worst_window + weights.worst_product + weights.worst_plan;
        let weighted = weights.whole * complete_run
            + weights.worst_window * worst_window
            + weights.worst_product * worst_product
            + weights.worst_plan * worst_plan;
        self.violations.sort_by_key(|violation| violation.at);
        RunRecord {
            net_value: weighted / weight_sum - prices.values().sum::<f64>(),
            complete_run,
            worst_window,
            worst_product,
            worst_plan,
            prices,
            products,
            plans,
            first_tries: self.tries.len() as u64,
            seconds: self.seconds,
            usage: self.usage,
            violations: self.violations,
            latency: self.latency,
            queue_lengths: self.queue_lengths,
        }
    }
}
