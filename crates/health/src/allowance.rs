//! What all doors together may send, divided among them with nobody asked: to a cold backend, and as repeats to a
//! service. Each door keeps its part, so that the sum holds whoever is cut off.

use std::time::Duration;
use vanewharf_clock::Timestamp;

/// Of the rules' figures, what is used: clocks and rounding have the rest.
const USED: f64 = 0.9;
const COLD_USED: f64 = 0.95;

/// A door's part of what a cold backend bears.
#[derive(Clone, Copy, Debug)]
pub struct SlowStart {
    tokens: f64,
    last: Timestamp,
}

/// What a door may send to one cold backend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartShare {
    pub per_s: f64,
    pub depth: f64,
}

/// In any second all doors send at most doors × (depth + per_s): no more than the rules' bound.
pub fn slow_start_share(per_s: f64, overshoot: f64, allowance: f64, doors: f64) -> SlowStartShare {
    let part = COLD_USED * (per_s * overshoot + allowance) / doors;
    // What it bears for long is less than what it bears in one second; below a depth of one nothing is ever sent.
    let rate = (per_s / doors).min((part - 1.0).max(0.0));
    SlowStartShare { per_s: rate, depth: (part - rate).min(2.0) }
}

impl SlowStart {
    pub fn new(part: SlowStartShare, now: Timestamp) -> SlowStart {
        SlowStart { tokens: part.depth, last: now }
    }

    pub fn try_spend(&mut self, part: SlowStartShare, now: Timestamp) -> bool {
        let gap = now.since(self.last).as_secs_f64();
        self.tokens = (self.tokens + part.per_s * gap).min(part.depth);
        self.last = now;
        let may = self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(may));
        may
    }
}

/// A door's part of the repeats that a service may get.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    tokens: f64,
}

/// The figures of the rule: repeats for each request, and how many more in a window.
#[derive(Clone, Copy, Debug)]
pub struct RetryPolicy {
    pub ratio: f64,
    pub allowance: f64,
    pub proxies: f64,
}

impl RetryPolicy {
    fn most(&self) -> f64 {
        // Against a door's part below one repeat: it saves up for a whole one.
        (USED * 0.8 * self.allowance / self.proxies).max(1.0)
    }
}

impl RetryBudget {
    /// A restarted door may have spent its part just before.
    pub fn new(rule: &RetryPolicy, full: bool) -> RetryBudget {
        RetryBudget { tokens: if full { rule.most() } else { 0.0 } }
    }

    pub fn record_request(&mut self, rule: &RetryPolicy) {
        self.tokens = (self.tokens + USED * 0.8 * rule.ratio).min(rule.most());
    }

    pub fn try_spend(&mut self) -> bool {
        let may = self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(may));
        may
    }
}

/// Of services with weights, the one that a draw from 0 to 1 falls on.
pub fn pick_weighted(weights: impl Iterator<Item = f64> + Clone, draw: f64) -> usize {
    let mut left = draw * weights.clone().sum::<f64>();
    let mut last = 0;
    for (no, weight) in weights.enumerate() {
        if weight <= 0.0 {
            continue;
        }
        last = no;
        left -= weight;
        if left < 0.0 {
            break;
        }
    }
    last
}

/// When a request may no longer be let in by its key: the right lapses where nothing was heard in time.
pub fn key_authorization_lapsed(
    global: bool,
    revocation: Duration,
    sure: Option<Timestamp>,
    now: Timestamp,
) -> bool {
    const KEPT_BACK: Duration = Duration::from_millis(600);
    global && sure.is_none_or(|sure| now.since(sure) + KEPT_BACK >= revocation)
}

#[cfg(test)]
mod tests;
