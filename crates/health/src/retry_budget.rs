//! One proxy's budget of retries at one service.
//!
//! The rule bounds the retries of all proxies together in any window: `ratio × requests + allowance`. Each request adds
//! to the budget of the proxy that admits it, each retry takes one token.

/// The fraction of the rule's figures that is used; rounding, the differences between clocks, and windows that begin at
/// other times have the rest.
const USED_FRACTION: f64 = 0.9 * 0.8;

/// The rule for retries at a service.
#[derive(Clone, Copy, Debug)]
pub struct RetryPolicy {
    /// Retries for each request.
    pub ratio: f64,
    /// Retries on top in any window, over all proxies.
    pub allowance: f64,
    /// Proxies that the allowance is divided by.
    pub proxies: f64,
}

impl RetryPolicy {
    /// The most retries that one proxy may save up.
    fn max_tokens(&self) -> f64 {
        // With a part below one retry, a proxy saves up for a whole one.
        (USED_FRACTION * self.allowance / self.proxies).max(1.0)
    }
}

/// The retries that a proxy has left at a service.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    /// A full budget: at the first start of the whole system only.
    pub fn full(policy: &RetryPolicy) -> RetryBudget {
        RetryBudget { tokens: policy.max_tokens() }
    }

    /// An empty budget: before a restart the proxy may have spent all it had.
    pub fn empty() -> RetryBudget {
        RetryBudget { tokens: 0.0 }
    }

    /// Adds what one request earns.
    pub fn record_request(&mut self, policy: &RetryPolicy) {
        let earned = USED_FRACTION * policy.ratio;
        self.tokens = (self.tokens + earned).min(policy.max_tokens());
    }

    /// Takes the token for one retry; false where there is none.
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
