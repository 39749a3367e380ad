//! Slow start: how much a backend that is warming up gets, over all proxies.
//!
//! The rule bounds the attempts in any one second over all proxies. In any second a bucket of depth `d` and rate `r`
//! passes at most `d + r`, so that the limits of all proxies are chosen to have `proxies × (depth + rate)` within it.

use vanewharf_clock::Timestamp;

/// The fraction of the rule's bound that is used; rounding and the differences between clocks have the rest.
const USED_FRACTION: f64 = 0.95;

/// The deepest bucket, in attempts: with deeper ones, few proxies would send a backend all that it bears at once.
const MAX_DEPTH: f64 = 2.0;

/// The rule for a backend that is warming up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartPolicy {
    /// Attempts per second that it bears for long, over all proxies.
    pub rate_per_s: f64,
    /// The factor by which one second may exceed that rate.
    pub overshoot: f64,
    /// Attempts that may come on top in any second.
    pub allowance: f64,
    /// Proxies that the limit is divided by.
    pub proxies: f64,
}

/// One proxy's part of the limit for one backend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartLimit {
    /// Attempts per second.
    rate_per_s: f64,
    /// Attempts at once.
    depth: f64,
}

impl SlowStartLimit {
    /// The part of one of the policy's proxies.
    pub fn per_proxy(policy: SlowStartPolicy) -> SlowStartLimit {
        let SlowStartPolicy { rate_per_s, overshoot, allowance, proxies } = policy;
        let per_second = USED_FRACTION * (rate_per_s * overshoot + allowance) / proxies;
        // A bucket less than one attempt deep would never pass any, so the rate has what is left beyond one.
        let rate = (rate_per_s / proxies).min((per_second - 1.0).max(0.0));
        SlowStartLimit { rate_per_s: rate, depth: (per_second - rate).min(MAX_DEPTH) }
    }
}

/// One proxy's token bucket for one backend that is warming up.
#[derive(Clone, Copy, Debug)]
pub struct SlowStart {
    tokens: f64,
    refilled_at: Timestamp,
}

impl SlowStart {
    /// A full bucket.
    pub fn new(limit: SlowStartLimit, now: Timestamp) -> SlowStart {
        SlowStart { tokens: limit.depth, refilled_at: now }
    }

    /// Takes the token for one attempt; false where there is none. The limit may change between calls, as the number of
    /// proxies does.
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
