//! Rates at which the owners of token buckets admit requests, computed from the cumulative counters in their reports.
//!
//! An owner is a proxy or, where controllers lease tokens, a controller. Its counters start from zero at each start
//! of its process, so counters of two incarnations are never subtracted from each other.

use std::collections::BTreeMap;
use std::time::Duration;
use vanewharf_clock::Timestamp;
use vanewharf_protocol::messages::TenantUsage;

/// Shortest interval over which a rate is computed. Proxies read their counters once per summary (every 700 ms) but
/// report more often, so over a shorter interval the rate would alternate between zero and too high a value.
const MIN_RATE_WINDOW: Duration = Duration::from_millis(900);

/// After this long without a report, an owner's rate is unknown and is left out of the sum. Its quota share still
/// counts and bounds what it can admit.
const RATE_EXPIRY: Duration = Duration::from_millis(2000);

/// Incarnation of an owner that is known only from the previous leaseholder's summary and has not reported to this
/// process yet.
const UNKNOWN_INCARNATION: u64 = 0;

/// The counters and quota shares from one report of an owner.
#[derive(Clone, Debug)]
pub(crate) struct CounterSnapshot {
    /// Id of the owner's process, drawn at each start.
    pub(crate) incarnation: u64,
    /// Requests admitted since the process started, by tenant.
    pub(crate) admitted: BTreeMap<String, u64>,
    /// The owner's share of each tenant's quota, as a fraction of the quota.
    pub(crate) quota_shares: BTreeMap<String, f64>,
    /// When the counters were read.
    pub(crate) taken_at: Timestamp,
}

/// The admission rates of one owner, and its latest report.
#[derive(Clone, Debug)]
pub(crate) struct AdmissionRates {
    latest: CounterSnapshot,
    /// The earlier counters that the next rates are computed against, and when these were read.
    baseline: BTreeMap<String, u64>,
    baseline_at: Timestamp,
    /// Requests per second, by tenant.
    rates: BTreeMap<String, f64>,
}

impl AdmissionRates {
    pub(crate) fn new(snapshot: CounterSnapshot) -> AdmissionRates {
        AdmissionRates {
            baseline: snapshot.admitted.clone(),
            baseline_at: snapshot.taken_at,
            rates: BTreeMap::new(),
            latest: snapshot,
        }
    }

    /// Creates the state of an owner that has not reported to this process. Its quota shares are unknown.
    pub(crate) fn not_yet_reported(now: Timestamp) -> AdmissionRates {
        AdmissionRates::new(CounterSnapshot {
            incarnation: UNKNOWN_INCARNATION,
            admitted: BTreeMap::new(),
            quota_shares: BTreeMap::new(),
            taken_at: now,
        })
    }

    pub(crate) fn latest(&self) -> &CounterSnapshot {
        &self.latest
    }

    pub(crate) fn has_reported(&self) -> bool {
        self.latest.incarnation != UNKNOWN_INCARNATION
    }

    /// Returns the age of the latest report.
    pub(crate) fn age(&self, now: Timestamp) -> Duration {
        now.since(self.latest.taken_at)
    }

    /// Returns whether a snapshot supersedes the latest one. Reports arrive over several paths, possibly late.
    pub(crate) fn is_superseded_by(&self, incarnation: u64, taken_at: Timestamp) -> bool {
        taken_at > self.latest.taken_at || self.latest.incarnation != incarnation
    }

    /// Records a snapshot, unless it is no newer than the latest one. A new incarnation resets the rates.
    pub(crate) fn record(&mut self, snapshot: CounterSnapshot) {
        if snapshot.incarnation != self.latest.incarnation {
            *self = AdmissionRates::new(snapshot);
            return;
        }
        if snapshot.taken_at <= self.latest.taken_at {
            return;
        }
        self.latest = snapshot;
        let window = self.latest.taken_at.since(self.baseline_at);
        if window >= MIN_RATE_WINDOW {
            self.update_rates(window);
        }
    }

    fn update_rates(&mut self, window: Duration) {
        let rate = |(tenant, count): (&String, &u64)| {
            let previous = self.baseline.get(tenant).copied().unwrap_or(0);
            (tenant.clone(), count.saturating_sub(previous) as f64 / window.as_secs_f64())
        };
        self.rates = self.latest.admitted.iter().map(rate).collect();
        self.baseline = self.latest.admitted.clone();
        self.baseline_at = self.latest.taken_at;
    }

    /// Returns the requests of a tenant admitted per second; zero if the latest report is older than [`RATE_EXPIRY`].
    fn current_rate(&self, tenant: &str, now: Timestamp) -> f64 {
        if self.age(now) > RATE_EXPIRY {
            return 0.0;
        }
        self.rates.get(tenant).copied().unwrap_or(0.0)
    }
}

/// Sums each tenant's admission rate (requests per second) and quota shares over all owners.
///
/// `owner_count` is the number of owners that quotas are divided by; it may exceed the number that have reported. The
/// sum of the shares errs on the high side: owners may grow their shares only into the part of the quota that the sum
/// leaves free, so too low a sum would let them exceed the quota together.
pub(crate) fn sum_usage<'a>(
    owners: impl Iterator<Item = &'a AdmissionRates> + Clone,
    owner_count: usize,
    now: Timestamp,
) -> BTreeMap<String, TenantUsage> {
    let reported = owners.clone().filter(|owner| owner.has_reported()).count();
    let mut tenants: BTreeMap<String, TenantUsage> = BTreeMap::new();
    for owner in owners.clone() {
        for (tenant, share) in &owner.latest.quota_shares {
            let sum = tenants.entry(tenant.clone()).or_default();
            sum.quota_shares += share;
            sum.requests_per_s += owner.current_rate(tenant, now);
        }
    }
    for (tenant, sum) in &mut tenants {
        // An owner without a bucket for the tenant may create one at any time, with the even share of the quota.
        let with_bucket =
            owners.clone().filter(|owner| owner.latest.quota_shares.contains_key(tenant)).count();
        sum.quota_shares += owner_count.saturating_sub(with_bucket) as f64 / owner_count as f64;
        // An owner that has not reported may hold the whole rest of the quota.
        if owner_count > reported {
            sum.quota_shares = sum.quota_shares.max(1.0);
        }
        // Rounding keeps the summary small, as it is sent to all proxies.
        sum.requests_per_s = (sum.requests_per_s * 100.0).round() / 100.0;
        sum.quota_shares = (sum.quota_shares * 1000.0).round() / 1000.0;
    }
    tenants
}
