//! The customers' quotas as one place that sees everything would keep them, to judge gateways by; and the meter, which
//! reports usage late.

use crate::experiment::{Experiment, Meter, Plan};
use std::collections::VecDeque;
use vanewharf_policy::interface::Ticks;

/// Periods of usage that the meter keeps.
const METERED_PERIODS: usize = 8;

/// Units that start full, refill at a rate, and are its burst at most.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    rate: f64,
    burst: f64,
    units: f64,
    refilled_at: Ticks,
}

impl TokenBucket {
    /// A full bucket.
    pub fn new(rate: f64, burst: f64, now: Ticks) -> TokenBucket {
        TokenBucket { rate, burst, units: burst, refilled_at: now }
    }

    /// Refills it up to now, and gives the units in it.
    pub fn refill(&mut self, now: Ticks) -> f64 {
        self.units = (self.units + self.rate * (now - self.refilled_at).seconds().max(0.0)).min(self.burst);
        self.refilled_at = now;
        self.units
    }

    /// Takes the units if they are there.
    pub fn try_take(&mut self, units: f64, now: Ticks) -> bool {
        let inside = self.refill(now) >= units - 1e-9;
        self.units -= if inside { units } else { 0.0 };
        inside
    }

    /// Takes the units, into debt if need be, and gives the debt; negative where there is none.
    pub fn overdraw(&mut self, units: f64, now: Ticks) -> f64 {
        self.refill(now);
        self.units -= units;
        -self.units
    }

    /// Returns units.
    pub fn refund(&mut self, units: f64, now: Ticks) {
        self.refill(now);
        self.units = (self.units + units).min(self.burst);
    }
}

/// Usage in one period of the meter.
struct MeteredPeriod {
    end: Ticks,
    units: f64,
}

/// One customer's buckets and its usage by periods.
pub struct CustomerQuota {
    /// What one gateway that saw all first tries would admit: it decides what counts as offered inside the quota.
    pub ideal: TokenBucket,
    /// Charged with what was sent to backends.
    pub sent: TokenBucket,
    /// The hard limit, charged with the same.
    pub hard_limit: Option<TokenBucket>,
    /// As the omniscient policy keeps them: charged when it admits, not when something is sent.
    admitted: TokenBucket,
    admitted_hard_limit: Option<TokenBucket>,
    /// Units by which the hard limit may be exceeded.
    pub slack: f64,
    /// Units of the hard limit's burst.
    pub depth: f64,
    rate: f64,
    /// The number of the period under way, and the units sent in it.
    period: i64,
    period_units: f64,
    finished: VecDeque<MeteredPeriod>,
}

impl CustomerQuota {
    /// A customer that has used nothing.
    pub fn new(plan: &Plan, experiment: &Experiment, now: Ticks) -> CustomerQuota {
        let largest = experiment.product.iter().map(|product| product.units).fold(0.0, f64::max);
        let depth = plan.ceiling * plan.burst;
        let quota = TokenBucket::new(plan.rate, plan.burst, now);
        let hard_limit = (plan.ceiling > 0.0).then(|| TokenBucket::new(plan.ceiling * plan.rate, depth, now));
        CustomerQuota {
            ideal: quota.clone(),
            sent: quota.clone(),
            admitted: quota,
            admitted_hard_limit: hard_limit.clone(),
            hard_limit,
            slack: (experiment.rules.ceiling_slack * depth).max(largest),
            depth,
            rate: plan.rate,
            period: 0,
            period_units: 0.0,
            finished: VecDeque::new(),
        }
    }

    /// Whether one who sees all would admit it: inside the quota, or beyond it where that pays.
    pub fn admits(&mut self, units: f64, plan: &Plan, now: Ticks) -> bool {
        if self.admitted_hard_limit.as_mut().is_some_and(|limit| !limit.try_take(units, now)) {
            return false;
        }
        let admits = self.admitted.try_take(units, now) || plan.beyond_worth > plan.beyond_cost;
        if let Some(limit) = self.admitted_hard_limit.as_mut().filter(|_| !admits) {
            limit.refund(units, now);
        }
        admits
    }

    /// Returns the units by which an estimate was too high; takes them where that is negative.
    pub fn settle_estimate(&mut self, units: f64, now: Ticks) {
        self.sent.refund(units, now);
        self.admitted.refund(units, now);
    }

    fn finish_periods(&mut self, now: Ticks, meter: &Meter) {
        let span = (meter.period_s * 10_000.0) as i64;
        let period = now.0.div_euclid(span.max(1));
        if period > self.period {
            let end = Ticks((self.period + 1) * span);
            self.finished.push_back(MeteredPeriod { end, units: self.period_units });
            if period > self.period + 1 {
                self.finished.push_back(MeteredPeriod { end: Ticks(period * span), units: 0.0 });
            }
            self.period_units = 0.0;
            self.period = period;
        }
        while self.finished.len() > METERED_PERIODS {
            self.finished.pop_front();
        }
    }

    /// Counts units that were sent to a backend.
    pub fn record_usage(&mut self, units: f64, now: Ticks, meter: Option<&Meter>) {
        if let Some(meter) = meter {
            self.finish_periods(now, meter);
            self.period_units += units;
        }
    }

    /// The usage in the last period that had ended by `late` ago, as a part of the quota's rate.
    pub fn metered_usage(&mut self, now: Ticks, late: Ticks, meter: &Meter) -> Option<f64> {
        self.finish_periods(now, meter);
        let reported = self.finished.iter().rev().find(|period| period.end + late <= now);
        reported.map(|period| period.units / meter.period_s / self.rate)
    }
}

#[cfg(test)]
mod tests;
