//! One tenant's token bucket in one process: `tokens = min(B, tokens + r × elapsed)`.

use crate::quota::{Quota, QuotaExceeded};
use vanewharf_clock::Timestamp;

/// The fraction of a full bucket that admits a request where the bucket never holds a whole token; the rest is debt. By
/// it the first requests at all proxies together may exceed the burst; afterwards the debts bind.
const ADMITTING_FRACTION: f64 = 0.5;

/// A bucket, with the counters from which its share of the quota is rescaled.
#[derive(Clone, Debug)]
pub(crate) struct Bucket {
    /// The process's share of the tenant's quota, as a fraction.
    pub(crate) share: f64,
    /// Tokens in the bucket; negative: debt.
    pub(crate) tokens: f64,
    refilled_at: Timestamp,
    /// Requests admitted since the process started.
    pub(crate) admitted: u64,
    /// `admitted` as of the last rescaling.
    pub(crate) admitted_before: u64,
    /// Requests that this process admits per second, averaged.
    pub(crate) own_rate: f64,
    /// Requests that all processes admit per second by the summaries, averaged.
    pub(crate) metered_rate: f64,
}

impl Bucket {
    pub(crate) fn new(share: f64, tokens: f64, now: Timestamp) -> Bucket {
        Bucket {
            share,
            tokens,
            refilled_at: now,
            admitted: 0,
            admitted_before: 0,
            own_rate: 0.0,
            metered_rate: 0.0,
        }
    }

    /// The depth `B`, in tokens; `extra_depth` is what it has beyond its share of the burst.
    pub(crate) fn depth(&self, quota: Quota, extra_depth: f64) -> f64 {
        quota.burst * self.share + extra_depth
    }

    pub(crate) fn refill(&mut self, quota: Quota, extra_depth: f64, now: Timestamp) {
        let elapsed = now.since(self.refilled_at).as_secs_f64();
        let depth = self.depth(quota, extra_depth);
        self.tokens = (self.tokens + quota.rate * self.share * elapsed).min(depth);
        self.refilled_at = now;
    }

    /// Takes a token. `even_depth` is the depth that a bucket has at the even share, in tokens.
    ///
    /// A bucket that is less than one token deep would never admit a request. There a part of the depth suffices, and the
    /// token is taken as debt.
    pub(crate) fn take(&mut self, quota: Quota, even_depth: f64) -> Result<(), QuotaExceeded> {
        let needed = (ADMITTING_FRACTION * even_depth).min(1.0);
        if self.tokens < needed {
            return Err(QuotaExceeded::until_refilled(needed - self.tokens, quota.rate * self.share));
        }
        self.tokens -= 1.0;
        self.admitted += 1;
        Ok(())
    }

    /// Undoes `take`.
    pub(crate) fn put_back(&mut self) {
        self.tokens += 1.0;
        self.admitted = self.admitted.saturating_sub(1);
    }
}
