//! One tenant's token bucket in one process: `tokens = min(B, tokens + r × elapsed)`.

use crate::quota::{Quota, QuotaExceeded};
use vanewharf_clock::Timestamp;

/// A bucket too shallow to hold a whole token admits a request when it is filled to this fraction of its depth; the rest
/// of the token becomes debt. The first requests at all proxies together may therefore exceed the burst; after that the
/// debt holds them to the quota.
const ADMITTING_FRACTION: f64 = 0.5;

/// A token bucket, with the counters from which its share of the quota is rescaled.
#[derive(Clone, Debug)]
pub(crate) struct Bucket {
    /// This process's share of the tenant's quota, as a fraction.
    pub(crate) share: f64,
    /// Tokens in the bucket; a negative number is debt.
    pub(crate) tokens: f64,
    refilled_at: Timestamp,
    /// Requests admitted since the process started.
    pub(crate) admitted: u64,
    /// The value of `admitted` at the last rescaling.
    pub(crate) admitted_at_rescaling: u64,
    /// Requests per second that this process admits, averaged.
    pub(crate) own_rate: f64,
    /// Requests per second that all processes admit according to the fleet summaries, averaged.
    pub(crate) metered_rate: f64,
}

impl Bucket {
    pub(crate) fn new(share: f64, tokens: f64, now: Timestamp) -> Bucket {
        Bucket {
            share,
            tokens,
            refilled_at: now,
            admitted: 0,
            admitted_at_rescaling: 0,
            own_rate: 0.0,
            metered_rate: 0.0,
        }
    }

    /// Returns the depth `B` in tokens: the share of the burst plus `extra_depth`.
    pub(crate) fn depth(&self, quota: Quota, extra_depth: f64) -> f64 {
        quota.burst * self.share + extra_depth
    }

    pub(crate) fn refill(&mut self, quota: Quota, extra_depth: f64, now: Timestamp) {
        let elapsed = now.since(self.refilled_at).as_secs_f64();
        let depth = self.depth(quota, extra_depth);
        self.tokens = (self.tokens + quota.rate * self.share * elapsed).min(depth);
        self.refilled_at = now;
    }

    /// Takes a token. `even_depth` is the depth in tokens of a bucket with the even share.
    ///
    /// A bucket less than one token deep would never admit a request. If it is filled to [`ADMITTING_FRACTION`] of its
    /// depth, it admits one and goes into debt.
    pub(crate) fn take(&mut self, quota: Quota, even_depth: f64) -> Result<(), QuotaExceeded> {
        let needed = (ADMITTING_FRACTION * even_depth).min(1.0);
        if self.tokens < needed {
            return Err(QuotaExceeded::until_refilled(needed - self.tokens, quota.rate * self.share));
        }
        self.tokens -= 1.0;
        self.admitted += 1;
        Ok(())
    }

    /// Returns a token that was taken for a request that was not forwarded.
    pub(crate) fn refund(&mut self) {
        self.tokens += 1.0;
        self.admitted = self.admitted.saturating_sub(1);
    }
}
