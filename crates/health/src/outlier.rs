//! Outlier detection: finds unhealthy backends from the attempts that all proxies report.
//!
//! A proxy that sends a backend one request every few seconds cannot tell partial failure from chance; all proxies
//! together can. The result lowers a backend's weight in load balancing, never excludes the backend, and decays over
//! time.

use std::collections::BTreeMap;
use vanewharf_clock::Timestamp;
use vanewharf_protocol::messages::AttemptCounts;

/// Minimum number of reported attempts, over all proxies, for a backend to be judged. Among fewer, a quarter fails by
/// chance too often.
const MIN_ATTEMPTS: u32 = 6;

/// Minimum number of proxies that must have seen a backend fail, so that one proxy's own fault is not attributed to the
/// backend. If there are fewer than twice as many proxies, half of them suffice.
const MIN_FAILING_PROXIES: usize = 3;

/// A backend is unhealthy if it fails more than this fraction of the reported attempts. The fraction is higher than the
/// real one, because only proxies that saw the backend fail report attempts at it.
const UNHEALTHY_FAILURE_SHARE: f64 = 0.25;

/// Half-life of a failure share that no new report confirms.
const HALF_LIFE_S: f64 = 3.0;

/// A backend whose failure share decays below this is no longer tracked.
const MIN_FAILURE_SHARE: f64 = 0.1;

/// Minimum weight of an unhealthy backend: it must keep receiving some requests, so that its recovery is detected.
const MIN_WEIGHT: f64 = 0.04;

/// The sum of the reports of all proxies about one backend.
#[derive(Clone, Copy, Debug, Default)]
struct BackendReports {
    attempts: u32,
    failed: u32,
    /// Number of proxies that saw it fail.
    failing_proxies: usize,
}

impl BackendReports {
    fn add(&mut self, counts: &AttemptCounts) {
        self.attempts += counts.attempts;
        self.failed += counts.failed;
        self.failing_proxies += 1;
    }

    fn failure_share(&self) -> f64 {
        f64::from(self.failed) / f64::from(self.attempts.max(1))
    }

    fn is_unhealthy(&self, min_failing_proxies: usize) -> bool {
        self.attempts >= MIN_ATTEMPTS
            && self.failing_proxies >= min_failing_proxies
            && self.failure_share() > UNHEALTHY_FAILURE_SHARE
    }
}

/// Tracks unhealthy backends on the leaseholder, from the reports of all proxies.
#[derive(Clone, Debug, Default)]
pub struct OutlierDetector {
    /// Fraction of attempts that fail, by backend id.
    failure_shares: BTreeMap<String, f64>,
    updated_at: Timestamp,
}

impl OutlierDetector {
    /// Takes over the failure shares that the previous leaseholder published.
    pub fn inherit(&mut self, failure_shares: &BTreeMap<String, f64>, now: Timestamp) {
        self.failure_shares = failure_shares.clone();
        self.updated_at = now;
    }

    /// Updates the failure shares from the current reports of the proxies. Each report contains only the backends of
    /// which that proxy saw failures. `proxies` is the number of all proxies, whether or not they have reported.
    ///
    /// Returns the unhealthy backends by id, each with the fraction of attempts that fail, rounded to hundredths.
    pub fn update<'a>(
        &mut self,
        reports: impl Iterator<Item = &'a BTreeMap<String, AttemptCounts>>,
        proxies: usize,
        now: Timestamp,
    ) -> BTreeMap<String, f64> {
        self.decay(now);
        let mut backends: BTreeMap<&String, BackendReports> = BTreeMap::new();
        for (backend, counts) in reports.flatten() {
            backends.entry(backend).or_default().add(counts);
        }
        let min_failing_proxies = MIN_FAILING_PROXIES.min(proxies.div_ceil(2)).max(1);
        backends.retain(|_, reports| reports.is_unhealthy(min_failing_proxies));
        for (backend, reports) in backends {
            let share = self.failure_shares.entry(backend.clone()).or_default();
            *share = share.max(reports.failure_share());
        }
        self.failure_shares.retain(|_, share| *share >= MIN_FAILURE_SHARE);
        let rounded = |share: &f64| (share * 100.0).round() / 100.0;
        self.failure_shares.iter().map(|(backend, share)| (backend.clone(), rounded(share))).collect()
    }

    fn decay(&mut self, now: Timestamp) {
        let factor = 0.5_f64.powf(now.since(self.updated_at).as_secs_f64() / HALF_LIFE_S);
        self.updated_at = now;
        self.failure_shares.values_mut().for_each(|share| *share *= factor);
    }
}

/// Returns the load-balancing weight factor, from 0.04 to 1, of a backend that fails this fraction of its attempts.
pub fn weight_for_failure_share(failure_share: f64) -> f64 {
    (1.0 - failure_share.clamp(0.0, 1.0)).powi(2).max(MIN_WEIGHT)
}

/// Returns whether more than half of a service's backends are unhealthy, so that they probably have a common cause.
/// Callers then do not lower any weights, as this would only overload the remaining backends.
pub fn is_shared_cause(unhealthy: usize, all: usize) -> bool {
    unhealthy * 2 > all
}

#[cfg(test)]
mod tests;
