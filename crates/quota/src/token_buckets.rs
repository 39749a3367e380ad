//! The token buckets of all tenants in one process: a proxy, or a controller that leases tokens.
//!
//! Invariants: no request is admitted before the process knows the divisor of the quotas. Except at the first start of the
//! whole system, a new bucket holds only the tokens refilled since the process started, so that a restart does not grant
//! a burst twice.

use crate::bucket::Bucket;
use crate::fallback::FallbackBuckets;
use crate::quota::{Quota, QuotaExceeded};
use crate::share::{MIN_FRACTION_OF_EVEN_SHARE, Rescaling};
use std::collections::BTreeMap;
use std::time::Duration;
use vanewharf_clock::Timestamp;
use vanewharf_protocol::messages::{FleetSummary, TenantUsage};

/// The fraction of the allowance (requests beyond the quotas that the whole system may admit) by which the buckets of all
/// processes together are deeper than the burst. The rest of the allowance covers the time in which the shares sum to more
/// than the quota because readings are late.
const EXTRA_DEPTH_FRACTION: f64 = 0.6;

/// The retry time given before the divisor of the quotas is known: a process receives a fleet summary soon after it starts.
const RETRY_AFTER_BEFORE_FIRST_SUMMARY: Duration = Duration::from_millis(200);

/// A process that has received no fleet summary for this long counts as cut off and shrinks its shares. This is less than
/// the 60 s after which the other processes stop counting its shares and take them over.
const CUT_OFF_AFTER: Duration = Duration::from_secs(50);

/// A bucket that admits at least this many requests per second is not idle.
const IDLE_REQUESTS_PER_S: f64 = 0.01;

/// A bucket filled to less than this fraction of its depth is not idle.
const IDLE_FILL_FRACTION: f64 = 0.99;

/// A bucket whose share deviates from the even share by at least this fraction is not idle.
const IDLE_SHARE_DEVIATION: f64 = 0.05;

/// How full the bucket of a tenant not seen before is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InitialFill {
    /// Full; used only at the first start of the whole system.
    Full,
    /// Empty at the start of the process, and refilled since then.
    Empty,
}

impl InitialFill {
    /// Returns `Full` at the first start of the whole system, otherwise `Empty`.
    pub fn at_start(is_first_start: bool) -> InitialFill {
        if is_first_start { InitialFill::Full } else { InitialFill::Empty }
    }
}

/// Who holds the shares of the quotas.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShareOwner {
    /// Each proxy holds a share and admits requests from it.
    Proxies,
    /// The controllers hold the shares and lease tokens to proxies, because there are too many proxies.
    Controllers,
}

impl ShareOwner {
    /// Returns the owner of the shares according to a fleet summary.
    pub fn of(summary: &FleetSummary) -> ShareOwner {
        if summary.token_lenders.is_some() { ShareOwner::Controllers } else { ShareOwner::Proxies }
    }
}

/// The token buckets of all tenants in one process.
#[derive(Clone, Debug)]
pub struct TokenBuckets {
    share_owner: ShareOwner,
    buckets: BTreeMap<String, Bucket>,
    /// Used by a proxy if the controllers hold the shares.
    fallback: FallbackBuckets,
    /// When a controller last answered a request for tokens.
    lender_answered_at: Timestamp,
    /// The number of processes among which quotas are divided.
    divisor: f64,
    /// Whether `divisor` is known; until then no request is admitted.
    is_divisor_known: bool,
    /// Requests beyond the quotas that the whole system may admit.
    allowance: f64,
    started_at: Timestamp,
    initial_fill: InitialFill,
    rescaled_at: Timestamp,
}

impl TokenBuckets {
    /// Creates a set without any buckets. `allowance` is the number of requests beyond the quotas that the whole system
    /// may admit.
    pub fn new(allowance: f64, initial_fill: InitialFill, now: Timestamp) -> TokenBuckets {
        TokenBuckets {
            share_owner: ShareOwner::Proxies,
            buckets: BTreeMap::new(),
            fallback: FallbackBuckets::default(),
            lender_answered_at: now,
            divisor: 1.0,
            is_divisor_known: false,
            allowance,
            started_at: now,
            initial_fill,
            rescaled_at: now,
        }
    }

    /// Returns the tokens by which each bucket is deeper than its share of the burst.
    fn extra_depth(&self) -> f64 {
        EXTRA_DEPTH_FRACTION * self.allowance / self.divisor
    }

    /// Returns the tenant's refilled bucket, after creating it if it is missing.
    fn refilled(&mut self, tenant: &str, quota: Quota, now: Timestamp) -> &mut Bucket {
        if !self.buckets.contains_key(tenant) {
            let bucket = self.new_bucket(quota, now);
            self.buckets.insert(tenant.to_owned(), bucket);
        }
        let extra_depth = self.extra_depth();
        let bucket = self.buckets.get_mut(tenant).expect("inserted above if it was missing");
        bucket.refill(quota, extra_depth, now);
        bucket
    }

    fn new_bucket(&self, quota: Quota, now: Timestamp) -> Bucket {
        let even_share = 1.0 / self.divisor;
        let depth = quota.burst * even_share + self.extra_depth();
        let refilled = now.since(self.started_at).as_secs_f64() * quota.rate * even_share;
        let tokens = match self.initial_fill {
            InitialFill::Full => depth,
            InitialFill::Empty => refilled.min(depth),
        };
        Bucket::new(even_share, tokens, now)
    }

    /// Sets who holds the shares. A change clears all buckets, and new ones start empty: otherwise the tokens of both
    /// modes would add up.
    pub fn set_share_owner(&mut self, share_owner: ShareOwner) {
        if share_owner == self.share_owner {
            return;
        }
        self.share_owner = share_owner;
        self.buckets.clear();
        self.fallback.clear();
        self.initial_fill = InitialFill::Empty;
        self.started_at = self.rescaled_at;
    }

    /// Records that a controller answered a request for tokens, with or without a lease.
    pub fn record_lender_answer(&mut self, now: Timestamp) {
        self.lender_answered_at = now;
    }

    /// Leases up to `wanted` tokens to another process and returns their number.
    pub fn lease_tokens(&mut self, tenant: &str, wanted: u32, quota: Quota, now: Timestamp) -> u32 {
        (0..wanted).take_while(|_| self.try_admit(tenant, quota, now).is_ok()).count() as u32
    }

    /// Takes a token from the tenant's bucket in this process to admit one request.
    ///
    /// # Errors
    /// Returns an error with the retry time if there is no token, or if the divisor of the quotas is not known yet.
    pub fn try_admit(&mut self, tenant: &str, quota: Quota, now: Timestamp) -> Result<(), QuotaExceeded> {
        if quota.is_unlimited() {
            return Ok(());
        }
        if !self.is_divisor_known {
            return Err(QuotaExceeded { retry_after: RETRY_AFTER_BEFORE_FIRST_SUMMARY });
        }
        match self.share_owner {
            ShareOwner::Proxies => {
                let even_depth = quota.burst / self.divisor + self.extra_depth();
                self.refilled(tenant, quota, now).take(quota, even_depth)
            }
            ShareOwner::Controllers => {
                let refilled_from = self.started_at.max(self.lender_answered_at);
                self.fallback.take(tenant, quota, self.divisor, refilled_from, now)
            }
        }
    }

    /// Returns the token of a request that was admitted and never forwarded.
    pub fn refund(&mut self, tenant: &str) {
        match self.share_owner {
            ShareOwner::Proxies => self.buckets.get_mut(tenant).into_iter().for_each(Bucket::refund),
            ShareOwner::Controllers => self.fallback.refund(tenant),
        }
    }

    /// Applies a new fleet summary: sets the divisor of the quotas, and rescales all shares by each tenant's usage at all
    /// processes. `quota` returns a tenant's quota.
    pub fn apply_usage(
        &mut self,
        divisor: u32,
        usage: &BTreeMap<String, TenantUsage>,
        quota: impl Fn(&str) -> Quota,
        now: Timestamp,
    ) {
        // The sender of this summary has not received any report yet.
        if divisor == 0 {
            return;
        }
        let divisor = f64::from(divisor);
        self.is_divisor_known = true;
        if self.share_owner == ShareOwner::Proxies {
            self.rescale(1.0 / divisor, usage, &quota, now);
        }
        self.rescaled_at = now;
        self.divisor = divisor;
        self.drop_idle(&quota);
    }

    /// Refills each bucket with its old share and divisor, then sets the new share.
    fn rescale(
        &mut self,
        even_share: f64,
        usage: &BTreeMap<String, TenantUsage>,
        quota: impl Fn(&str) -> Quota,
        now: Timestamp,
    ) {
        let rescaling = Rescaling::new(now.since(self.rescaled_at).as_secs_f64(), even_share);
        let tenants: Vec<_> = self.buckets.keys().cloned().collect();
        for tenant in tenants {
            let bucket = self.refilled(&tenant, quota(&tenant), now);
            rescaling.apply(bucket, usage.get(&tenant).copied());
        }
    }

    /// Drops idle buckets that are equal to a new one, which is possible only if new buckets start full.
    fn drop_idle(&mut self, quota: impl Fn(&str) -> Quota) {
        if self.initial_fill == InitialFill::Empty {
            return;
        }
        let (extra_depth, even_share) = (self.extra_depth(), 1.0 / self.divisor);
        self.buckets.retain(|tenant, bucket| {
            let depth = bucket.depth(quota(tenant), extra_depth);
            let is_idle =
                bucket.own_rate < IDLE_REQUESTS_PER_S && bucket.tokens >= IDLE_FILL_FRACTION * depth;
            let is_even = (bucket.share / even_share - 1.0).abs() < IDLE_SHARE_DEVIATION;
            !(is_idle && is_even && bucket.admitted == 0)
        });
    }

    /// Reduces all shares to the minimum if this process has received no fleet summary for [`CUT_OFF_AFTER`], because the
    /// other processes are about to take over the rest. The caller calls this often.
    pub fn shrink_when_cut_off(&mut self, now: Timestamp) {
        if now.since(self.rescaled_at) < CUT_OFF_AFTER {
            return;
        }
        let min_share = MIN_FRACTION_OF_EVEN_SHARE / self.divisor;
        for bucket in self.buckets.values_mut() {
            bucket.share = bucket.share.min(min_share);
        }
    }

    /// Returns the requests admitted since the process started, by tenant. A leased token counts as admitted by the
    /// process that leased it to another.
    pub fn admitted_counts(&self) -> BTreeMap<String, u64> {
        self.buckets.iter().map(|(tenant, bucket)| (tenant.clone(), bucket.admitted)).collect()
    }

    /// Returns this process's share of each tenant's quota, as a fraction. It is rounded to keep the reports small.
    pub fn quota_shares(&self) -> BTreeMap<String, f64> {
        let rounded = |share: f64| (share * 1e4).round() / 1e4;
        self.buckets.iter().map(|(tenant, bucket)| (tenant.clone(), rounded(bucket.share))).collect()
    }
}

#[cfg(test)]
mod tests;
