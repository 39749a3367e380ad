//! Retry budget of one proxy for one service.
//!
//! The policy bounds the retries of all proxies together in any window to `ratio × requests + allowance`. Each
//! request adds to the budget of the proxy that admits it; each retry takes one token.

/// Fraction of the policy's bound that is used. The rest covers rounding, differences between clocks, and windows that
/// begin at other times.
const LIMIT_UTILIZATION: f64 = 0.9 * 0.8;

/// The limit on retries to a service, over all proxies.
#[derive(Clone, Copy, Debug)]
pub struct RetryPolicy {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Additional retries allowed in any window, over all proxies.
    pub allowance: f64,
    /// Number of proxies that the allowance is divided by.
    pub proxies: f64,
}

impl RetryPolicy {
    /// Returns the maximum number of tokens that one proxy may accumulate.
    fn max_tokens(&self) -> f64 {
        // A proxy whose part is below one retry accumulates tokens for a whole one.
        (LIMIT_UTILIZATION * self.allowance / self.proxies).max(1.0)
    }
}

/// The retries that a proxy has left for a service.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    /// Creates a full budget. Valid only at the first start of the whole system.
    pub fn full(policy: &RetryPolicy) -> RetryBudget {
        RetryBudget { tokens: policy.max_tokens() }
    }

    /// Creates an empty budget, for a restarted proxy: it may have spent all its tokens before.
    pub fn empty() -> RetryBudget {
        RetryBudget { tokens: 0.0 }
    }

    /// Adds the part of a token that one request earns.
    pub fn record_request(&mut self, policy: &RetryPolicy) {
        let earned = LIMIT_UTILIZATION * policy.ratio;
        self.tokens = (self.tokens + earned).min(policy.max_tokens());
    }

    /// Takes the token for one retry; returns false if there is none.
    pub fn try_spend(&mut self) -> bool {
        let has_token = self.tokens >= 1.0;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }
}

#[cfg(test)]
mod tests;
