//! Rates at which the owners of token buckets admit requests, measured from the cumulative counters they report.
//!
//! An owner is a proxy or, where controllers lease tokens, a controller. Its counters start from zero with each
//! incarnation of its process, so counters of two incarnations are never subtracted from each other.

use std::collections::BTreeMap;
use std::time::Duration;
use vanewharf_clock::Timestamp;
use vanewharf_protocol::messages::TenantUsage;

/// The shortest span over which a rate is measured. Proxies read their counters out once per summary (each 700 ms) but
/// report more often: over a shorter span rates would alternate between zero and too much.
const MIN_RATE_WINDOW: Duration = Duration::from_millis(900);

/// After this long without a report an owner's rate is not known any more and is left out of the sum. Its share still
/// counts, and bounds what it can admit.
const RATE_VALIDITY: Duration = Duration::from_millis(2000);

/// Incarnation of an owner that is known from the previous leaseholder's summary only: it has not reported here yet.
const NOT_YET_REPORTED: u64 = 0;

/// One report of an owner's counters.
#[derive(Clone, Debug)]
pub(crate) struct CounterSnapshot {
    /// Process start id of the owner.
    pub(crate) incarnation: u64,
    /// Requests admitted since the process started, by tenant.
    pub(crate) admitted: BTreeMap<String, u64>,
    /// The owner's share of each tenant's quota, as a fraction of the quota.
    pub(crate) quota_shares: BTreeMap<String, f64>,
    /// When the counters were read.
    pub(crate) taken_at: Timestamp,
}

/// What one owner admits, and by which shares of the quotas.
#[derive(Clone, Debug)]
pub(crate) struct AdmissionRates {
    latest: CounterSnapshot,
    /// The counters that the next rates are measured from, and when they were read.
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

    /// An owner that others knew of and that has not reported here: its shares are not known.
    pub(crate) fn not_yet_reported(now: Timestamp) -> AdmissionRates {
        AdmissionRates::new(CounterSnapshot {
            incarnation: NOT_YET_REPORTED,
            admitted: BTreeMap::new(),
            quota_shares: BTreeMap::new(),
            taken_at: now,
        })
    }

    pub(crate) fn latest(&self) -> &CounterSnapshot {
        &self.latest
    }

    pub(crate) fn has_reported(&self) -> bool {
        self.latest.incarnation != NOT_YET_REPORTED
    }

    /// Age of the newest report.
    pub(crate) fn age(&self, now: Timestamp) -> Duration {
        now.since(self.latest.taken_at)
    }

    /// Whether a snapshot says more than the newest one here: reports come by several ways, and late.
    pub(crate) fn is_superseded_by(&self, incarnation: u64, taken_at: Timestamp) -> bool {
        taken_at > self.latest.taken_at || self.latest.incarnation != incarnation
    }

    /// Takes a snapshot in; one that is no newer than the latest is dropped.
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
            self.measure(window);
        }
    }

    fn measure(&mut self, window: Duration) {
        let rate = |(tenant, count): (&String, &u64)| {
            let before = self.baseline.get(tenant).copied().unwrap_or(0);
            (tenant.clone(), count.saturating_sub(before) as f64 / window.as_secs_f64())
        };
        self.rates = self.latest.admitted.iter().map(rate).collect();
        self.baseline = self.latest.admitted.clone();
        self.baseline_at = self.latest.taken_at;
    }

    /// Requests of a tenant admitted per second; zero where the last report is too old to tell.
    fn current_rate(&self, tenant: &str, now: Timestamp) -> f64 {
        if self.age(now) > RATE_VALIDITY {
            return 0.0;
        }
        self.rates.get(tenant).copied().unwrap_or(0.0)
    }
}

/// Sums each tenant's admission rate (requests per second) and quota shares over all owners.
///
/// `owner_count` is how many owners quotas are divided by; it may be more than have reported. The sum of shares errs
/// upwards, since shares grow only into what the sum leaves of the quota.
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
        // An owner without a bucket for the tenant may create one at any moment, at the even share.
        let with_bucket =
            owners.clone().filter(|owner| owner.latest.quota_shares.contains_key(tenant)).count();
        sum.quota_shares += owner_count.saturating_sub(with_bucket) as f64 / owner_count as f64;
        // An owner that has not reported may hold all that the others do not.
        if owner_count > reported {
            sum.quota_shares = sum.quota_shares.max(1.0);
        }
        // Rounded to keep the summary short: it is sent to all proxies.
        sum.requests_per_s = (sum.requests_per_s * 100.0).round() / 100.0;
        sum.quota_shares = (sum.quota_shares * 1000.0).round() / 1000.0;
    }
    tenants
}
