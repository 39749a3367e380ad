//! A proxy's own buckets where controllers hold the shares and lease tokens: they admit requests only while no controller
//! answers, by a small part of the quota, by whole tokens and never by debt.

use crate::quota::{Quota, QuotaExceeded};
use std::collections::BTreeMap;
use vanewharf_clock::Timestamp;

/// The fraction of a quota that all proxies together admit by their own buckets. Small, as it comes on top of what
/// controllers lease to other proxies at the same time.
const QUOTA_FRACTION: f64 = 0.1;

/// Depth of each bucket, in tokens.
const DEPTH: f64 = 1.0;

#[derive(Clone, Debug)]
struct FallbackBucket {
    tokens: f64,
    refilled_at: Timestamp,
}

/// All tenants' buckets of one proxy.
#[derive(Clone, Debug, Default)]
pub(crate) struct FallbackBuckets {
    buckets: BTreeMap<String, FallbackBucket>,
}

impl FallbackBuckets {
    /// Takes a token. Buckets start empty at `refilled_from`, when a controller last answered: filled before, a token in
    /// each of many proxies would come on top of all that was leased just before. `proxies` is the number of proxies.
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
        let rate = quota.rate * QUOTA_FRACTION / proxies;
        let elapsed = now.since(bucket.refilled_at).as_secs_f64();
        bucket.tokens = (bucket.tokens + rate * elapsed).min(DEPTH);
        bucket.refilled_at = now;
        if bucket.tokens < 1.0 {
            return Err(QuotaExceeded::until_refilled(1.0 - bucket.tokens, rate));
        }
        bucket.tokens -= 1.0;
        Ok(())
    }

    /// Undoes `take`.
    pub(crate) fn put_back(&mut self, tenant: &str) {
        if let Some(bucket) = self.buckets.get_mut(tenant) {
            bucket.tokens += 1.0;
        }
    }

    pub(crate) fn clear(&mut self) {
        self.buckets.clear();
    }
}
