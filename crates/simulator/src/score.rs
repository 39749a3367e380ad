//! What a run is worth: the worth answered in time over the worth asked for inside quotas, mixed as the experiment
//! weighs it, less its prices.

use crate::arrivals::{Arrivals, First};
use crate::experiment::Experiment;
use crate::rules::{Broken, Rule};
use crate::stores::Books;
use hdrhistogram::Histogram;
use std::collections::{BTreeMap, HashMap};
use vanewharf_policy::interface::Ticks;

const START: i64 = 10_000_000;
/// Seconds of the windows that the worst is looked for in.
const WINDOW: usize = 10;

/// What was used of what has a price.
#[derive(Clone, Debug, Default)]
pub struct Bill {
    pub submissions: u64,
    pub crossing: u64,
    pub handshakes: u64,
    pub calls: u64,
    pub calls_unanswered: u64,
    pub words: u64,
    pub word_bytes: u64,
    pub words_dropped: u64,
    pub unreached: u64,
    pub fallen: u64,
}

/// One second of a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Second {
    pub firsts: u64,
    pub offered: f64,
    pub served: f64,
    pub settled: u64,
    pub late: u64,
    pub declined: u64,
    pub failed: u64,
    pub inside_units: f64,
    pub beyond_units: f64,
    /// Milliseconds of work begun, and what the backends that were up could do, as a mean over looks.
    pub worked_ms: f64,
    pub capacity_ms: f64,
    looks: u32,
    /// How near a ceiling and a cold backend's fall it came; 1 is over.
    pub nearest_ceiling: f64,
    pub nearest_fall: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Asked {
    worth: f64,
    offered: f64,
    inside: bool,
    earned: f64,
    over: bool,
}

pub struct Ledger {
    experiment: Experiment,
    asked: Vec<Asked>,
    who: Vec<(usize, usize, usize)>,
    /// When each first try came, and each customer's plan.
    ats: Vec<i64>,
    plan_of: Vec<usize>,
    seconds: Vec<Second>,
    pub bill: Bill,
    pub broken: Vec<Broken>,
    /// Whose customer an id is.
    pub by_id: HashMap<u64, usize>,
    pub served_ms: f64,
    over_cost: f64,
    late_failed: f64,
    latency: Histogram<u64>,
    lines: Histogram<u64>,
    work_offered: f64,
}

/// A run's figures.
#[derive(Clone, Debug)]
pub struct Record {
    pub g: f64,
    pub whole: f64,
    pub worst_window: f64,
    pub worst_product: f64,
    pub worst_plan: f64,
    pub prices: BTreeMap<&'static str, f64>,
    pub seconds: Vec<Second>,
    pub products: Vec<f64>,
    pub plans: Vec<f64>,
    pub bill: Bill,
    pub broken: Vec<Broken>,
    pub firsts: u64,
    /// Whole tenths of a millisecond, from a client's first try to its answer.
    pub latency: Histogram<u64>,
    /// Txns in hand at a backend, ten times a second.
    pub lines: Histogram<u64>,
}

impl Ledger {
    pub fn new(experiment: &Experiment, arrivals: &Arrivals) -> Ledger {
        let who = arrivals.firsts.iter().map(|first| {
            let plan = arrivals.customers[first.customer].plan.0;
            (first.product.0, plan, ((first.at.0.max(0)) / 10_000) as usize)
        });
        let by_id = arrivals.customers.iter().enumerate().map(|(no, customer)| (customer.id.0, no)).collect();
        let length = (experiment.length_s.ceil() as usize).max(1);
        Ledger {
            asked: vec![Asked::default(); arrivals.firsts.len()],
            who: who.collect(),
            ats: arrivals.firsts.iter().map(|first| first.at.0).collect(),
            plan_of: arrivals.customers.iter().map(|customer| customer.plan.0).collect(),
            seconds: vec![Second::default(); length],
            bill: Bill::default(),
            broken: Vec::new(),
            by_id,
            served_ms: 0.0,
            over_cost: 0.0,
            late_failed: 0.0,
            latency: Histogram::new_with_bounds(1, 36_000_000, 3).expect("bounds that fit"),
            lines: Histogram::new_with_bounds(1, 1_000_000, 3).expect("bounds that fit"),
            work_offered: arrivals.firsts.iter().map(|first| first.work_ms).sum(),
            experiment: experiment.clone(),
        }
    }

    /// The second in which a first try came.
    fn second(&mut self, no: usize) -> &mut Second {
        let at = self.who[no].2.min(self.seconds.len() - 1);
        &mut self.seconds[at]
    }

    pub fn offers(&mut self, no: usize, first: &First, books: &mut Books, now: Ticks) {
        let (product, plan, _) = self.who[no];
        let (product, plan) = (&self.experiment.product[product], &self.experiment.plan[plan]);
        let worth = product.value * plan.value_factor * first.true_units;
        let inside = books.ideal.takes(first.true_units, now);
        let offered = worth * if inside { 1.0 } else { plan.beyond_worth };
        self.asked[no] = Asked { worth, offered, inside, ..Asked::default() };
        let second = self.second(no);
        second.firsts += 1;
        second.offered += offered;
    }

    /// A try is sent on for the first time.
    pub fn sends(&mut self, first: &First, inside: bool) {
        let plan = &self.experiment.plan[self.plan_of[first.customer]];
        let worth = self.experiment.product[first.product.0].value * plan.value_factor * first.units;
        if !inside {
            self.over_cost += plan.beyond_cost * worth;
        }
        let at = ((first.at.0.max(0)) / 10_000) as usize;
        let last = self.seconds.len() - 1;
        let second = &mut self.seconds[at.min(last)];
        *(if inside { &mut second.inside_units } else { &mut second.beyond_units }) += first.units;
    }

    pub fn settled(&mut self, no: usize, first: &First, inside: bool, took: Ticks, _: Ticks) {
        let (product_no, plan_no, _) = self.who[no];
        let (product, plan) = (&self.experiment.product[product_no], &self.experiment.plan[plan_no]);
        let in_time = took.seconds() * 1_000.0 <= product.sla_ms;
        let part = if in_time { 1.0 } else { product.late_worth };
        let worth = product.value * plan.value_factor * first.true_units;
        let earns = worth * part * if inside { 1.0 } else { plan.beyond_worth };
        let _ = self.latency.record(took.0.max(1) as u64);
        let before = self.asked[no].earned;
        self.asked[no].earned = before.max(earns);
        self.asked[no].over = true;
        let gain = earns - before;
        let second = self.second(no);
        second.settled += u64::from(in_time);
        second.late += u64::from(!in_time);
        second.served += gain.max(0.0);
    }

    /// The second that it is now; after the last one, none.
    fn now(&mut self, now: Ticks) -> Option<&mut Second> {
        self.seconds.get_mut(((now.0 - START) / 10_000).max(0) as usize)
    }

    pub fn works(&mut self, now: Ticks, work_ms: f64) {
        if let Some(second) = self.now(now) {
            second.worked_ms += work_ms;
        }
    }

    pub fn looks(&mut self, now: Ticks, capacity_ms: f64, lines: impl Iterator<Item = usize>) {
        lines.for_each(|line| self.lines.saturating_record(line as u64));
        if let Some(second) = self.now(now) {
            second.looks += 1;
            second.capacity_ms += (capacity_ms - second.capacity_ms) / f64::from(second.looks);
        }
    }

    pub fn pushes(&mut self, now: Ticks, near: f64) {
        if let Some(second) = self.now(now) {
            second.nearest_fall = second.nearest_fall.max(near);
        }
    }

    pub fn nears_ceiling(&mut self, first: &First, near: f64) {
        let near = if near.is_finite() { near } else { 0.0 };
        if let Some(second) = self.seconds.get_mut((first.at.0 / 10_000).max(0) as usize) {
            second.nearest_ceiling = second.nearest_ceiling.max(near);
        }
    }

    pub fn earned(&self, no: usize) -> bool {
        self.asked[no].earned > 0.0
    }

    pub fn declined(&mut self, no: usize, decline: bool, now: Ticks) {
        self.late_fails(no, now);
        let second = self.second(no);
        second.declined += u64::from(decline);
        second.failed += u64::from(!decline);
    }

    pub fn failed(&mut self, no: usize, now: Ticks) {
        self.late_fails(no, now);
        self.second(no).failed += 1;
    }

    fn late_fails(&mut self, no: usize, now: Ticks) {
        let (product, _, _) = self.who[no];
        let took = (now.0 - START - self.ats[no]) as f64 / 10.0;
        if took > self.experiment.product[product].sla_ms && !self.asked[no].over {
            self.asked[no].over = true;
            self.late_failed += self.asked[no].offered;
        }
    }

    pub fn close(mut self, worked_ms: f64) -> Record {
        let offered: f64 = self.asked.iter().map(|one| one.offered).sum();
        let over = |part: f64, whole: f64| if whole > 0.0 { part / whole } else { 1.0 };
        let capped = |earned: f64, offered: f64| over(earned, offered).min(1.0);
        let whole = capped(self.asked.iter().map(|one| one.earned).sum(), offered);
        let by = |of: &dyn Fn(usize) -> usize, count: usize, inside_only: bool| -> Vec<f64> {
            let mut sums = vec![(0.0, 0.0); count];
            for (no, one) in self.asked.iter().enumerate() {
                if inside_only && !one.inside {
                    continue;
                }
                let sum = &mut sums[of(no)];
                sum.0 += one.earned.min(one.worth);
                sum.1 += if inside_only { one.worth } else { one.offered };
            }
            sums.into_iter().map(|(earned, offered)| capped(earned, offered)).collect()
        };
        let products = by(&|no| self.who[no].0, self.experiment.product.len(), false);
        let plans = by(&|no| self.who[no].1, self.experiment.plan.len(), true);
        let least = |all: &[f64]| all.iter().copied().fold(1.0, f64::min);
        let window = WINDOW.min(self.seconds.len());
        let windows = self.seconds.windows(window).map(|seconds| {
            let served: f64 = seconds.iter().map(|second| second.served).sum();
            let offered: f64 = seconds.iter().map(|second| second.offered).sum();
            if offered > 0.0 { (served / offered).min(1.0) } else { 1.0 }
        });
        let worst_window = windows.fold(1.0, f64::min);
        let firsts = self.asked.len() as f64;
        let prices = &self.experiment.prices;
        let wasted = (worked_ms - self.served_ms).max(0.0);
        let bill = &self.bill;
        let prices = BTreeMap::from([
            ("beyond quotas", over(self.over_cost, offered)),
            ("cross place", prices.cross_place * over(bill.crossing as f64, firsts)),
            ("waste", prices.waste * over(wasted, self.work_offered)),
            ("handshakes", prices.handshake * over(bill.handshakes as f64, firsts)),
            ("counter", prices.counter * over(bill.calls as f64, firsts)),
            ("words", prices.word * over(bill.words as f64, firsts)),
            ("late fails", prices.late_fail * over(self.late_failed, offered)),
        ]);
        let weights = &self.experiment.weights;
        let all = weights.whole + weights.worst_window + weights.worst_product + weights.worst_plan;
        let (worst_product, worst_plan) = (least(&products), least(&plans));
        let mixed = weights.whole * whole
            + weights.worst_window * worst_window
            + weights.worst_product * worst_product
            + weights.worst_plan * worst_plan;
        self.broken.sort_by_key(|broken| broken.at);
        Record {
            g: mixed / all - prices.values().sum::<f64>(),
            whole,
            worst_window,
            worst_product,
            worst_plan,
            prices,
            products,
            plans,
            firsts: self.asked.len() as u64,
            seconds: self.seconds,
            bill: self.bill,
            broken: self.broken,
            latency: self.latency,
            lines: self.lines,
        }
    }
}

impl Record {
    /// How often each rule broke.
    pub fn breaches(&self) -> BTreeMap<Rule, usize> {
        let mut count = BTreeMap::new();
        self.broken.iter().for_each(|broken| *count.entry(broken.rule).or_insert(0) += 1);
        count
    }

    pub fn total(&self, of: impl Fn(&Second) -> f64) -> f64 {
        self.seconds.iter().map(of).sum()
    }
}
