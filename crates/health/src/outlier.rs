//! Detection of unhealthy backends from what many proxies saw of them.
//!
//! A proxy that sends a backend one request in a few seconds cannot tell one that fails a part of them from chance; all
//! proxies together can. The result lowers a backend's odds of being chosen, never excludes it, and decays.

use std::collections::BTreeMap;
use vanewharf_clock::Timestamp;
use vanewharf_protocol::messages::AttemptCounts;

/// Attempts over all proxies without which a backend is not judged: of fewer, a quarter fails by chance too often.
const MIN_ATTEMPTS: u32 = 6;

/// Proxies that must have seen a backend fail, so that no single proxy's own fault is taken for the backend's. With fewer
/// than twice as many proxies, half of them.
const MIN_FAILING_PROXIES: usize = 3;

/// A backend is unhealthy when it fails more than this fraction of the attempts that proxies report. Only proxies that
/// saw it fail report any, so that the fraction is above the real one.
const UNHEALTHY_FAILURE_SHARE: f64 = 0.25;

/// Half-life, in seconds, of a failure share that no new report confirms.
const HALF_LIFE: f64 = 3.0;

/// A failure share below this is dropped.
const MIN_FAILURE_SHARE: f64 = 0.1;

/// The least weight of an unhealthy backend: it must go on getting some requests, to be seen to have recovered.
const MIN_WEIGHT: f64 = 0.04;

/// What all proxies together report of one backend.
#[derive(Clone, Copy, Debug, Default)]
struct BackendReports {
    attempts: u32,
    failed: u32,
    /// Proxies that saw it fail.
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

/// The unhealthy backends, as the leaseholder judges them by all proxies' reports.
#[derive(Clone, Debug, Default)]
pub struct OutlierDetector {
    /// The fraction of attempts that fail, by the backend's id.
    failure_shares: BTreeMap<String, f64>,
    updated_at: Timestamp,
}

impl OutlierDetector {
    /// Takes over what the previous leaseholder published.
    pub fn inherit(&mut self, failure_shares: &BTreeMap<String, f64>, now: Timestamp) {
        self.failure_shares = failure_shares.clone();
        self.updated_at = now;
    }

    /// Judges backends by the proxies' current reports, each of which names only backends that failed there.
    ///
    /// Returns the unhealthy ones by id, each with the fraction of attempts that fail, rounded to hundredths.
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
            let known = self.failure_shares.entry(backend.clone()).or_default();
            *known = known.max(reports.failure_share());
        }
        self.failure_shares.retain(|_, share| *share >= MIN_FAILURE_SHARE);
        let rounded = |share: &f64| (share * 100.0).round() / 100.0;
        self.failure_shares.iter().map(|(backend, share)| (backend.clone(), rounded(share))).collect()
    }

    fn decay(&mut self, now: Timestamp) {
        let factor = 0.5_f64.powf(now.since(self.updated_at).as_secs_f64() / HALF_LIFE);
        self.updated_at = now;
        self.failure_shares.values_mut().for_each(|share| *share *= factor);
    }
}

/// The factor by which a backend's size counts that fails this fraction of its attempts, from 0.04 to 1.
pub fn weight_for_failure_share(failure_share: f64) -> f64 {
    (1.0 - failure_share.clamp(0.0, 1.0)).powi(2).max(MIN_WEIGHT)
}

/// Whether so many of a service's backends are unhealthy that the cause is likely to be shared: then none is avoided, as
/// the others would be overloaded for nothing.
pub fn is_shared_cause(unhealthy: usize, all: usize) -> bool {
    unhealthy * 2 > all
}

#[cfg(test)]
mod tests;
