//! Slow start: limits the attempts that all proxies together send to a backend that is warming up.
//!
//! The policy bounds the attempts of all proxies in any one second. A token bucket of depth `d` and rate `r` passes
//! at most `d + r` attempts in a second, so the per-proxy limit is chosen to keep `proxies × (depth + rate)` within
//! the bound.

use vanewharf_clock::Timestamp;

/// Fraction of the policy's bound that is used. The rest covers rounding and differences between clocks.
const LIMIT_UTILIZATION: f64 = 0.95;

/// Maximum depth of a bucket. With deeper buckets, a few proxies could send a backend the attempts of a
/// whole second at once.
const MAX_DEPTH_ATTEMPTS: f64 = 2.0;

/// The limit on attempts at a backend that is warming up, over all proxies.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartPolicy {
    /// Sustained rate of attempts per second, over all proxies.
    pub rate_per_s: f64,
    /// Factor by which the attempts in any single second may exceed that rate.
    pub overshoot: f64,
    /// Additional attempts allowed in any single second.
    pub allowance: f64,
    /// Number of proxies that the limit is divided by.
    pub proxies: f64,
}

/// One proxy's part of the limit on one backend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartLimit {
    /// Attempts per second.
    rate_per_s: f64,
    /// Maximum burst of attempts.
    depth: f64,
}

impl SlowStartLimit {
    /// Computes the part of the limit that each proxy may use.
    pub fn per_proxy(policy: SlowStartPolicy) -> SlowStartLimit {
        let SlowStartPolicy { rate_per_s, overshoot, allowance, proxies } = policy;
        let per_second = LIMIT_UTILIZATION * (rate_per_s * overshoot + allowance) / proxies;
        // A bucket less than one attempt deep would never pass any, so the rate only gets what exceeds one attempt.
        let rate = (rate_per_s / proxies).min((per_second - 1.0).max(0.0));
        SlowStartLimit { rate_per_s: rate, depth: (per_second - rate).min(MAX_DEPTH_ATTEMPTS) }
    }
}

/// One proxy's token bucket for one backend that is warming up.
#[derive(Clone, Copy, Debug)]
pub struct SlowStart {
    tokens: f64,
    refilled_at: Timestamp,
}

impl SlowStart {
    /// Creates a full bucket.
    pub fn new(limit: SlowStartLimit, now: Timestamp) -> SlowStart {
        SlowStart { tokens: limit.depth, refilled_at: now }
    }

    /// Takes the token for one attempt; returns false if there is none. The limit may differ between calls, as the
    /// number of proxies changes.
    pub fn try_spend(&mut self, limit: SlowStartLimit, now: Timestamp) -> bool {
        let elapsed = now.since(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + limit.rate_per_s * elapsed).min(limit.depth);
        self.refilled_at = now;
        let has_token = self.tokens >= 1.0;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }
}

#[cfg(test)]
mod tests;
