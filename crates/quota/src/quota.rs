//! A tenant's quota, and the rejection of a request that exceeds it.

use std::time::Duration;
use thiserror::Error;

/// The longest time after which a rejected client is told to retry. Shares are rescaled about each 700 ms, so that a
/// longer estimate would say nothing.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// A refill rate below this, in tokens per second, counts as this: the time until the next token stays finite.
const MIN_REFILL_RATE: f64 = 1e-3;

/// A tenant's quota over all proxies.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Tokens per second; 0: no limit.
    pub rate: f64,
    /// Tokens that may be spent at once.
    pub burst: f64,
}

impl Quota {
    /// No limit.
    pub const UNLIMITED: Quota = Quota { rate: 0.0, burst: 0.0 };

    /// Whether there is no limit.
    pub fn is_unlimited(&self) -> bool {
        self.rate <= 0.0
    }
}

/// A request was not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("not admitted, retry after {retry_after:?}")]
pub struct QuotaExceeded {
    /// When a retry may be admitted.
    pub retry_after: Duration,
}

impl QuotaExceeded {
    /// A bucket that lacks `missing` tokens and is refilled with `rate` tokens per second.
    pub(crate) fn until_refilled(missing: f64, rate: f64) -> QuotaExceeded {
        let seconds = missing / rate.max(MIN_REFILL_RATE);
        QuotaExceeded { retry_after: Duration::from_secs_f64(seconds.min(MAX_RETRY_AFTER.as_secs_f64())) }
    }
}
