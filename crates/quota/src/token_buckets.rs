//! All tenants' buckets in one process, a proxy or a controller that leases tokens.
//!
//! Invariants: nothing is admitted before the process knows by how many quotas are divided; a bucket that is created
//! after the very first start of the system holds only what has refilled since, so that a restart gives no burst twice.

use crate::bucket::Bucket;
use crate::fallback::FallbackBuckets;
use crate::quota::{Quota, QuotaExceeded};
use crate::share::{MIN_OF_EVEN, Rescaling};
use std::collections::BTreeMap;
use std::time::Duration;
use vanewharf_clock::Timestamp;
use vanewharf_protocol::messages::{FleetSummary, TenantUsage};

/// Of the requests beyond the quotas that the whole system may admit, the fraction by which the buckets of all processes
/// together are deeper than their shares of the burst. The rest is for shares that sum past the quota while readings are
/// late.
const DEPTH_OF_ALLOWANCE: f64 = 0.6;

/// When to retry at a process that does not know yet by how many quotas are divided: it receives a summary soon after it
/// starts.
const RETRY_BEFORE_FIRST_SUMMARY: Duration = Duration::from_millis(200);

/// A process that has received no summary for this long counts itself as cut off. Less than the 60 s after which its
/// shares are not counted any more and the others take them over.
const CUT_OFF_AFTER: Duration = Duration::from_secs(50);

/// A bucket may be dropped when it is as good as new: when it admits less than this per second, is at least this full, and
/// its share is this close to the even share.
const IDLE_RATE: f64 = 0.01;
const IDLE_FILL: f64 = 0.99;
const IDLE_SHARE_DEVIATION: f64 = 0.05;

/// What the bucket of a tenant not seen before holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InitialFill {
    /// The whole depth: at the first start of the whole system only.
    Full,
    /// What has refilled since the process started.
    Empty,
}

impl InitialFill {
    /// By whether this is the first start of the whole system.
    pub fn at_start(is_first_of_system: bool) -> InitialFill {
        if is_first_of_system { InitialFill::Full } else { InitialFill::Empty }
    }
}

/// Who holds the shares of the quotas.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShareOwner {
    /// Each proxy holds a share, and admits by it.
    Proxies,
    /// Proxies are too many: controllers hold the shares and lease tokens to proxies.
    Controllers,
}

impl ShareOwner {
    /// As a fleet summary has it.
    pub fn of(summary: &FleetSummary) -> ShareOwner {
        if summary.token_lenders.is_some() { ShareOwner::Controllers } else { ShareOwner::Proxies }
    }
}

/// All tenants' buckets in one process.
#[derive(Clone, Debug)]
pub struct TokenBuckets {
    share_owner: ShareOwner,
    buckets: BTreeMap<String, Bucket>,
    /// In use where the shares are the controllers' and this process is a proxy.
    fallback: FallbackBuckets,
    /// When a controller last answered a request for tokens.
    lender_answered_at: Timestamp,
    /// By how many processes quotas are divided.
    divisor: f64,
    /// Whether `divisor` is known; until then nothing is admitted.
    is_divisor_known: bool,
    /// Requests beyond the quotas that the whole system may admit.
    allowance: f64,
    started_at: Timestamp,
    initial_fill: InitialFill,
    rescaled_at: Timestamp,
}

impl TokenBuckets {
    /// Empty tables. `allowance` is the number of requests beyond the quotas that the whole system may admit.
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

    /// Tokens by which each bucket is deeper than its share of the burst.
    fn extra_depth(&self) -> f64 {
        DEPTH_OF_ALLOWANCE * self.allowance / self.divisor
    }

    /// The tenant's bucket, created where there is none, and refilled.
    fn refilled(&mut self, tenant: &str, quota: Quota, now: Timestamp) -> &mut Bucket {
        if !self.buckets.contains_key(tenant) {
            let bucket = self.new_bucket(quota, now);
            self.buckets.insert(tenant.to_owned(), bucket);
        }
        let extra_depth = self.extra_depth();
        let bucket = self.buckets.get_mut(tenant).expect("inserted above where it was missing");
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

    /// Says who holds the shares. With a change all buckets start anew, empty: tokens of both kinds would add up.
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

    /// Records that a controller answered a request for tokens, whether it leased any or not.
    pub fn record_lender_answer(&mut self, now: Timestamp) {
        self.lender_answered_at = now;
    }

    /// Leases tokens to another process: as many of `wanted` as there are.
    pub fn lease_tokens(&mut self, tenant: &str, wanted: u32, quota: Quota, now: Timestamp) -> u32 {
        (0..wanted).take_while(|_| self.try_admit(tenant, quota, now).is_ok()).count() as u32
    }

    /// Admits one request by the tenant's bucket in this process.
    ///
    /// # Errors
    /// There is no token; the error says when to retry.
    pub fn try_admit(&mut self, tenant: &str, quota: Quota, now: Timestamp) -> Result<(), QuotaExceeded> {
        if quota.is_unlimited() {
            return Ok(());
        }
        if !self.is_divisor_known {
            return Err(QuotaExceeded { retry_after: RETRY_BEFORE_FIRST_SUMMARY });
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
            ShareOwner::Proxies => self.buckets.get_mut(tenant).into_iter().for_each(Bucket::put_back),
            ShareOwner::Controllers => self.fallback.put_back(tenant),
        }
    }

    /// Rescales all shares by a new fleet summary: by how many processes quotas are divided, and each tenant's usage over
    /// all of them. `quota` gives a tenant's quota.
    pub fn apply_usage(
        &mut self,
        divisor: u32,
        usage: &BTreeMap<String, TenantUsage>,
        quota: impl Fn(&str) -> Quota,
        now: Timestamp,
    ) {
        // Whoever sent this has had no report of any process yet.
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

    /// Refills each bucket by its old share and divisor, then sets the new share.
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

    /// Drops buckets that a new one could replace without a difference. That is so only where new buckets start full.
    fn drop_idle(&mut self, quota: impl Fn(&str) -> Quota) {
        if self.initial_fill == InitialFill::Empty {
            return;
        }
        let (extra_depth, even_share) = (self.extra_depth(), 1.0 / self.divisor);
        self.buckets.retain(|tenant, bucket| {
            let depth = bucket.depth(quota(tenant), extra_depth);
            let is_idle = bucket.own_rate < IDLE_RATE && bucket.tokens >= IDLE_FILL * depth;
            let is_even = (bucket.share / even_share - 1.0).abs() < IDLE_SHARE_DEVIATION;
            !(is_idle && is_even && bucket.admitted == 0)
        });
    }

    /// Reduces all shares to the floor where this process has received no summary for long: by then the others take over
    /// the rest. To be called often.
    pub fn shrink_when_cut_off(&mut self, now: Timestamp) {
        if now.since(self.rescaled_at) < CUT_OFF_AFTER {
            return;
        }
        let floor = MIN_OF_EVEN / self.divisor;
        for bucket in self.buckets.values_mut() {
            bucket.share = bucket.share.min(floor);
        }
    }

    /// Requests admitted since the process started, by tenant; leased tokens are counted by who leased them.
    pub fn admitted_counts(&self) -> BTreeMap<String, u64> {
        self.buckets.iter().map(|(tenant, bucket)| (tenant.clone(), bucket.admitted)).collect()
    }

    /// This process's share of each tenant's quota, as a fraction; rounded, as it is sent with each report.
    pub fn quota_shares(&self) -> BTreeMap<String, f64> {
        let rounded = |share: f64| (share * 1e4).round() / 1e4;
        self.buckets.iter().map(|(tenant, bucket)| (tenant.clone(), rounded(bucket.share))).collect()
    }
}

#[cfg(test)]
mod tests;
