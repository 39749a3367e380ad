//! Exact accounting of the customers' quotas, as a single observer of all requests would keep it. The score and the rules
//! judge gateways by it. It also models the meter, which reports usage with a delay.

use crate::experiment::{Experiment, Meter, Plan};
use std::collections::VecDeque;
use vanewharf_policy::interface::Ticks;

/// Maximum number of finished periods that the meter keeps.
const MAX_METERED_PERIODS: usize = 8;

/// A token bucket of quota units. It starts full, refills at a rate, and holds its burst at most.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    rate: f64,
    burst: f64,
    units: f64,
    refilled_at: Ticks,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub fn new(rate: f64, burst: f64, now: Ticks) -> TokenBucket {
        TokenBucket { rate, burst, units: burst, refilled_at: now }
    }

    /// Refills the bucket up to now, and returns the available units.
    pub fn refill(&mut self, now: Ticks) -> f64 {
        self.units = (self.units + self.rate * (now - self.refilled_at).seconds().max(0.0)).min(self.burst);
        self.refilled_at = now;
        self.units
    }

    /// Takes the units if they are available, and returns whether they were.
    pub fn try_take(&mut self, units: f64, now: Ticks) -> bool {
        let within_quota = self.refill(now) >= units - 1e-9;
        self.units -= if within_quota { units } else { 0.0 };
        within_quota
    }

    /// Takes the units even if they are not available, and returns the resulting debt, which is negative if units are
    /// left.
    pub fn overdraw(&mut self, units: f64, now: Ticks) -> f64 {
        self.refill(now);
        self.units -= units;
        -self.units
    }

    /// Puts units back.
    pub fn refund(&mut self, units: f64, now: Ticks) {
        self.refill(now);
        self.units = (self.units + units).min(self.burst);
    }
}

/// Usage in a finished period of the meter.
struct MeteredPeriod {
    end: Ticks,
    units: f64,
}

/// A customer's token buckets and its metered usage.
pub struct CustomerQuota {
    /// Bucket that all first tries are charged to, in order of arrival. It determines which of them count as offered
    /// within the quota.
    pub ideal: TokenBucket,
    /// Bucket that requests are charged to when they are first sent to a backend.
    pub sent: TokenBucket,
    /// Bucket of the hard limit, charged with the same requests as `sent`.
    pub hard_limit: Option<TokenBucket>,
    /// Buckets of the omniscient policy. They are charged on admission instead of on sending.
    admitted: TokenBucket,
    admitted_hard_limit: Option<TokenBucket>,
    /// Units by which the hard limit may be exceeded without a violation.
    pub hard_limit_slack: f64,
    /// Burst of the hard limit, in units.
    pub hard_limit_burst: f64,
    rate: f64,
    /// Number of the current period, and the units sent in it.
    period: i64,
    period_units: f64,
    finished: VecDeque<MeteredPeriod>,
}

impl CustomerQuota {
    /// Creates the accounts of a customer without usage.
    pub fn new(plan: &Plan, experiment: &Experiment, now: Ticks) -> CustomerQuota {
        let largest = experiment.product.iter().map(|product| product.units).fold(0.0, f64::max);
        let hard_limit_burst = plan.ceiling * plan.burst;
        let quota = TokenBucket::new(plan.rate, plan.burst, now);
        let hard_limit =
            (plan.ceiling > 0.0).then(|| TokenBucket::new(plan.ceiling * plan.rate, hard_limit_burst, now));
        CustomerQuota {
            ideal: quota.clone(),
            sent: quota.clone(),
            admitted: quota,
            admitted_hard_limit: hard_limit.clone(),
            hard_limit,
            hard_limit_slack: (experiment.rules.ceiling_slack * hard_limit_burst).max(largest),
            hard_limit_burst,
            rate: plan.rate,
            period: 0,
            period_units: 0.0,
            finished: VecDeque::new(),
        }
    }

    /// Charges a request for the omniscient policy and returns whether that policy admits it: within the quota, or over it
    /// if the plan values such a request higher than its cost. The hard limit always applies.
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

    /// Refunds the units by which an estimate was too high, or charges them if the number is negative.
    pub fn settle_estimate(&mut self, units: f64, now: Ticks) {
        self.sent.refund(units, now);
        self.admitted.refund(units, now);
    }

    fn finish_periods(&mut self, now: Ticks, meter: &Meter) {
        let period_ticks = (meter.period_s * Ticks::SECOND.0 as f64) as i64;
        let period = now.0.div_euclid(period_ticks.max(1));
        if period > self.period {
            let end = Ticks((self.period + 1) * period_ticks);
            self.finished.push_back(MeteredPeriod { end, units: self.period_units });
            if period > self.period + 1 {
                self.finished.push_back(MeteredPeriod { end: Ticks(period * period_ticks), units: 0.0 });
            }
            self.period_units = 0.0;
            self.period = period;
        }
        while self.finished.len() > MAX_METERED_PERIODS {
            self.finished.pop_front();
        }
    }

    /// Adds units that were sent to a backend to the metered usage.
    pub fn record_usage(&mut self, units: f64, now: Ticks, meter: Option<&Meter>) {
        if let Some(meter) = meter {
            self.finish_periods(now, meter);
            self.period_units += units;
        }
    }

    /// Returns the usage in the latest period that ended at least `delay` ago, as a fraction of the quota's rate.
    pub fn metered_usage(&mut self, now: Ticks, delay: Ticks, meter: &Meter) -> Option<f64> {
        self.finish_periods(now, meter);
        let reported = self.finished.iter().rev().find(|period| period.end + delay <= now);
        reported.map(|period| period.units / meter.period_s / self.rate)
    }
}

#[cfg(test)]
mod tests;
