//! A tenant's quota, and the error for a request that exceeds it.

use std::time::Duration;
use thiserror::Error;

/// The longest retry time that a rejected client is given. Shares are rescaled about every 700 ms, so a longer estimate
/// would be meaningless.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// The refill rate, in tokens per second, assumed for slower buckets, so that the time until the next token is finite.
const MIN_REFILL_RATE: f64 = 1e-3;

/// A tenant's quota, for all proxies together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Tokens per second; 0 means no limit.
    pub rate: f64,
    /// The most tokens that may be spent at once.
    pub burst: f64,
}

impl Quota {
    /// A quota that admits every request.
    pub const UNLIMITED: Quota = Quota { rate: 0.0, burst: 0.0 };

    /// Returns whether the quota admits every request.
    pub fn is_unlimited(&self) -> bool {
        self.rate <= 0.0
    }
}

/// The error for a request that the quota does not admit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("request not admitted by the quota; retry after {retry_after:?}")]
pub struct QuotaExceeded {
    /// The time after which a retry may be admitted.
    pub retry_after: Duration,
}

impl QuotaExceeded {
    /// Returns the error for a bucket that lacks `missing` tokens and refills at `rate` tokens per second.
    pub(crate) fn until_refilled(missing: f64, rate: f64) -> QuotaExceeded {
        let seconds = missing / rate.max(MIN_REFILL_RATE);
        QuotaExceeded { retry_after: Duration::from_secs_f64(seconds.min(MAX_RETRY_AFTER.as_secs_f64())) }
    }
}
