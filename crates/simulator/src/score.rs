//! What a run is worth: the value answered in time over the value asked for inside quotas, mixed as the experiment weighs
//! it, less its prices.

mod record;

use crate::arrivals::{Arrivals, FirstTry};
use crate::experiment::Experiment;
use crate::quotas::CustomerQuota;
use crate::rules::RuleViolation;
use crate::simulation::START;
use hdrhistogram::Histogram;
pub use record::{ResourceUsage, RunRecord, SecondStats};
use std::collections::{BTreeMap, HashMap};
use vanewharf_policy::interface::{CustomerId, Ticks};

/// Seconds of the windows of which the worst is looked for.
const WINDOW: usize = 10;
/// The longest latency that the histogram tells apart, in ticks.
const MAX_LATENCY: u64 = 36_000_000;
/// The longest queue that the histogram tells apart.
const MAX_QUEUE_LENGTH: u64 = 1_000_000;
/// Digits that the histograms keep.
const SIGNIFICANT_DIGITS: u8 = 3;

/// A first try, with what it is worth and what it earned.
#[derive(Clone, Copy, Debug, Default)]
struct TryScore {
    product: usize,
    plan: usize,
    /// The second in which it came.
    second: usize,
    came_at: Ticks,
    value: f64,
    offered: f64,
    inside: bool,
    earned: f64,
    /// Whether it has an answer, or failed too late to count again.
    closed: bool,
}

/// Records what happens in a run.
pub struct ScoreRecorder {
    experiment: Experiment,
    tries: Vec<TryScore>,
    /// Each customer's plan.
    plans: Vec<usize>,
    customers: HashMap<CustomerId, usize>,
    seconds: Vec<SecondStats>,
    /// What was used so far.
    pub usage: ResourceUsage,
    /// The breaches of rules so far.
    pub violations: Vec<RuleViolation>,
    served_ms: f64,
    offered_ms: f64,
    excess_cost: f64,
    failed_late: f64,
    latency: Histogram<u64>,
    queue_lengths: Histogram<u64>,
}

fn ratio(part: f64, total: f64) -> f64 {
    if total > 0.0 { part / total } else { 1.0 }
}

fn capped_ratio(earned: f64, offered: f64) -> f64 {
    ratio(earned, offered).min(1.0)
}

/// The second of a time since the run's start.
fn second_of(at: Ticks) -> usize {
    (at.0.max(0) / Ticks::SECOND.0) as usize
}

impl ScoreRecorder {
    /// A recorder at a run's start.
    pub fn new(experiment: &Experiment, arrivals: &Arrivals) -> ScoreRecorder {
        let first_tries = &arrivals.first_tries;
        let score = |first: &FirstTry| TryScore {
            product: first.product.0,
            plan: arrivals.customers[first.customer].plan.0,
            second: second_of(first.at),
            came_at: first.at,
            ..TryScore::default()
        };
        let customers = arrivals.customers.iter().enumerate();
        let length = (experiment.length_s.ceil() as usize).max(1);
        let histogram =
            |most| Histogram::new_with_bounds(1, most, SIGNIFICANT_DIGITS).expect("bounds that fit");
        ScoreRecorder {
            tries: first_tries.iter().map(score).collect(),
            plans: arrivals.customers.iter().map(|customer| customer.plan.0).collect(),
            customers: customers.map(|(index, customer)| (customer.id, index)).collect(),
            seconds: vec![SecondStats::default(); length],
            usage: ResourceUsage::default(),
            violations: Vec::new(),
            served_ms: 0.0,
            offered_ms: first_tries.iter().map(|first| first.work_ms).sum(),
            excess_cost: 0.0,
            failed_late: 0.0,
            latency: histogram(MAX_LATENCY),
            queue_lengths: histogram(MAX_QUEUE_LENGTH),
            experiment: experiment.clone(),
        }
    }

    /// Which customer has this number.
    pub fn customer_index(&self, id: CustomerId) -> Option<usize> {
        self.customers.get(&id).copied()
    }

    /// The second in which a first try came.
    fn second_of_try(&mut self, first_try: usize) -> &mut SecondStats {
        self.clamped_second(self.tries[first_try].second)
    }

    fn clamped_second(&mut self, second: usize) -> &mut SecondStats {
        let last = self.seconds.len() - 1;
        &mut self.seconds[second.min(last)]
    }

    /// The second of a time of the simulation; none after the last one.
    fn second_at(&mut self, now: Ticks) -> Option<&mut SecondStats> {
        self.seconds.get_mut(((now.0 - START.0) / Ticks::SECOND.0).max(0) as usize)
    }

    /// A client comes for the first time.
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
        score.inside = quota.ideal.try_take(first.true_units, now);
        score.offered = score.value * if score.inside { 1.0 } else { plan.beyond_worth };
        let offered = score.offered;
        let second = self.second_of_try(first_try);
        second.first_tries += 1;
        second.offered += offered;
    }

    /// A request is sent to a backend for the first time.
    pub fn record_sent(&mut self, first: &FirstTry, inside: bool) {
        let plan = &self.experiment.plan[self.plans[first.customer]];
        let value = self.experiment.product[first.product.0].value * plan.value_factor * first.units;
        if !inside {
            self.excess_cost += plan.beyond_cost * value;
        }
        let second = self.clamped_second(second_of(first.at));
        *(if inside { &mut second.inside_units } else { &mut second.excess_units }) += first.units;
    }

    /// A client has its response, so long after its first try.
    pub fn record_answer(&mut self, first_try: usize, first: &FirstTry, inside: bool, latency: Ticks) {
        let score = &mut self.tries[first_try];
        let plan = &self.experiment.plan[score.plan];
        let product = &self.experiment.product[score.product];
        let in_time = latency.seconds() * 1_000.0 <= product.sla_ms;
        let part = if in_time { 1.0 } else { product.late_worth };
        let value = product.value * plan.value_factor * first.true_units;
        let earns = value * part * if inside { 1.0 } else { plan.beyond_worth };
        let before = score.earned;
        score.earned = before.max(earns);
        score.closed = true;
        // Beyond the bounds no latency is recorded, as no client waits so long.
        let _ = self.latency.record(latency.0.max(1) as u64);
        self.served_ms += first.work_ms;
        let second = self.second_of_try(first_try);
        second.in_time += u64::from(in_time);
        second.late += u64::from(!in_time);
        second.served += (earns - before).max(0.0);
    }

    /// A backend begins with work.
    pub fn record_work(&mut self, now: Ticks, work_ms: f64) {
        if let Some(second) = self.second_at(now) {
            second.worked_ms += work_ms;
        }
    }

    /// The fleet as it is now.
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

    /// How near a backend is to its overload; 1 is over.
    pub fn record_overload(&mut self, now: Ticks, nearness: f64) {
        if let Some(second) = self.second_at(now) {
            second.nearest_overload = second.nearest_overload.max(nearness);
        }
    }

    /// How near a customer is to its hard limit; 1 is over.
    pub fn record_hard_limit(&mut self, first: &FirstTry, nearness: f64) {
        let nearness = if nearness.is_finite() { nearness } else { 0.0 };
        if let Some(second) = self.seconds.get_mut(second_of(first.at)) {
            second.nearest_hard_limit = second.nearest_hard_limit.max(nearness);
        }
    }

    /// Whether a first try or one of its retries has earned something.
    pub fn has_earned(&self, first_try: usize) -> bool {
        self.tries[first_try].earned > 0.0
    }

    /// A gateway refuses a try: a rejection says that another is harmless, else it has failed.
    pub fn record_refusal(&mut self, first_try: usize, rejected: bool, now: Ticks) {
        self.record_late_failure(first_try, now);
        let second = self.second_of_try(first_try);
        second.rejected += u64::from(rejected);
        second.failed += u64::from(!rejected);
    }

    /// A try gets no answer.
    pub fn record_failure(&mut self, first_try: usize, now: Ticks) {
        self.record_late_failure(first_try, now);
        self.second_of_try(first_try).failed += 1;
    }

    /// What fails past its SLA time counts once.
    fn record_late_failure(&mut self, first_try: usize, now: Ticks) {
        let score = &mut self.tries[first_try];
        let latency_ms = (now.0 - START.0 - score.came_at.0) as f64 / 10.0;
        if latency_ms > self.experiment.product[score.product].sla_ms && !score.closed {
            score.closed = true;
            self.failed_late += score.offered;
        }
    }

    /// The part of the offered value that was served, by groups of tries.
    fn served_parts(&self, groups: usize, group: impl Fn(&TryScore) -> usize, inside_only: bool) -> Vec<f64> {
        let mut sums = vec![(0.0, 0.0); groups];
        for score in self.tries.iter().filter(|score| score.inside || !inside_only) {
            let (earned, offered) = &mut sums[group(score)];
            *earned += score.earned.min(score.value);
            *offered += if inside_only { score.value } else { score.offered };
        }
        sums.into_iter().map(|(earned, offered)| capped_ratio(earned, offered)).collect()
    }

    fn worst_window(&self) -> f64 {
        let window = WINDOW.min(self.seconds.len());
        let windows = self.seconds.windows(window).map(|seconds| {
            let served: f64 = seconds.iter().map(|second| second.served).sum();
            let offered: f64 = seconds.iter().map(|second| second.offered).sum();
            capped_ratio(served, offered)
        });
        windows.fold(1.0, f64::min)
    }

    /// What is taken off, by its name in reports.
    fn prices(&self, offered: f64, worked_ms: f64) -> BTreeMap<&'static str, f64> {
        let (prices, usage) = (&self.experiment.prices, &self.usage);
        let first_tries = self.tries.len() as f64;
        let wasted_ms = (worked_ms - self.served_ms).max(0.0);
        BTreeMap::from([
            ("beyond quotas", ratio(self.excess_cost, offered)),
            ("cross place", prices.cross_place * ratio(usage.cross_zone as f64, first_tries)),
            ("waste", prices.waste * ratio(wasted_ms, self.offered_ms)),
            ("handshakes", prices.handshake * ratio(usage.handshakes as f64, first_tries)),
            ("counter", prices.counter * ratio(usage.counter_calls as f64, first_tries)),
            ("words", prices.word * ratio(usage.peer_messages as f64, first_tries)),
            ("late fails", prices.late_fail * ratio(self.failed_late, offered)),
        ])
    }

    /// The run has ended; `worked_ms` is all work that backends began.
    pub fn finish(mut self, worked_ms: f64) -> RunRecord {
        let offered: f64 = self.tries.iter().map(|score| score.offered).sum();
        let complete_run = capped_ratio(self.tries.iter().map(|score| score.earned).sum(), offered);
        let products = self.served_parts(self.experiment.product.len(), |score| score.product, false);
        let plans = self.served_parts(self.experiment.plan.len(), |score| score.plan, true);
        let worst = |parts: &[f64]| parts.iter().copied().fold(1.0, f64::min);
        let (worst_window, worst_product, worst_plan) =
            (self.worst_window(), worst(&products), worst(&plans));
        let prices = self.prices(offered, worked_ms);
        let weights = &self.experiment.weights;
        let all = weights.whole + weights.worst_window + weights.worst_product + weights.worst_plan;
        let mixed = weights.whole * complete_run
            + weights.worst_window * worst_window
            + weights.worst_product * worst_product
            + weights.worst_plan * worst_plan;
        self.violations.sort_by_key(|violation| violation.at);
        RunRecord {
            g: mixed / all - prices.values().sum::<f64>(),
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
