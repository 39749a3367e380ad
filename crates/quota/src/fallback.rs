//! Token buckets that a proxy falls back to while no controller answers its requests for leased tokens. They admit a
//! small fraction of the quota, only by whole tokens, and never go into debt.

use crate::quota::{Quota, QuotaExceeded};
use std::collections::BTreeMap;
use vanewharf_clock::Timestamp;

/// The fraction of a quota's rate that the fallback buckets of all proxies admit together. It is small because it comes
/// on top of the tokens that controllers lease to other proxies at the same time.
const FALLBACK_RATE_FRACTION: f64 = 0.1;

/// Depth of each bucket.
const DEPTH_TOKENS: f64 = 1.0;

#[derive(Clone, Debug)]
struct FallbackBucket {
    tokens: f64,
    refilled_at: Timestamp,
}

/// The fallback buckets of all tenants in one proxy.
#[derive(Clone, Debug, Default)]
pub(crate) struct FallbackBuckets {
    buckets: BTreeMap<String, FallbackBucket>,
}

impl FallbackBuckets {
    /// Takes a token. A bucket is empty at `refilled_from`, when a controller last answered: if buckets refilled earlier,
    /// one token in each of many proxies would add to the tokens leased just before. `proxies` is the number of proxies.
    pub(crate) fn take(
        &mut self,
        tenant: &str,
        quota: Quota,
        proxies: f64,
        refilled_from: Timestamp,
        now: Timestamp,
    ) -> Result<(), QuotaExceeded> {
        let empty = FallbackBucket { tokens: 0.0, refilled_at: refilled_from };
        let bucket = self.buckets.entry(tenant.to_owned()).or_insert_with(|| empty.clone());
        if bucket.refilled_at < refilled_from {
            *bucket = empty;
        }
        let rate = quota.rate * FALLBACK_RATE_FRACTION / proxies;
        let elapsed = now.since(bucket.refilled_at).as_secs_f64();
        bucket.tokens = (bucket.tokens + rate * elapsed).min(DEPTH_TOKENS);
        bucket.refilled_at = now;
        if bucket.tokens < 1.0 {
            return Err(QuotaExceeded::until_refilled(1.0 - bucket.tokens, rate));
        }
        bucket.tokens -= 1.0;
        Ok(())
    }

    /// Returns a token that was taken for a request that was not forwarded.
    pub(crate) fn refund(&mut self, tenant: &str) {
        if let Some(bucket) = self.buckets.get_mut(tenant) {
            bucket.tokens += 1.0;
        }
    }

    pub(crate) fn clear(&mut self) {
        self.buckets.clear();
    }
}
