//! What many doors saw of one backend. A door that sends it a request every few seconds cannot tell one that fails a part of
//! them from chance; all doors together can. It is evidence, detector: it lowers odds, bars nothing, and fades.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use vanewharf_clock::Timestamp;
use vanewharf_protocol::messages::AttemptCounts;

/// What a door tells is of so long, in steps of this.
const SPAN: Duration = Duration::from_millis(3000);
const STEP: Duration = Duration::from_millis(500);
/// Backends that one door tells of, those that failed it most.
const MOST_TOLD: usize = 24;
/// Below so many tries over all doors nothing is said.
const LEAST_TRIED: u32 = 6;
/// By how many doors at least a backend must have failed somebody; with fewer doors than twice that, by half of them.
const LEAST_DOORS: usize = 3;
/// A part below this is usual.
const USUAL: f64 = 0.25;
/// How fast a share fades that nothing new is said of, by seconds for a half.
const HALVED: f64 = 3.0;
const FORGOTTEN: f64 = 0.1;

/// One door's own counts.
#[derive(Clone, Debug, Default)]
pub struct AttemptHistory {
    steps: VecDeque<(Timestamp, BTreeMap<String, AttemptCounts>)>,
}

impl AttemptHistory {
    pub fn record_attempt(&mut self, backend: &str, failed: bool, now: Timestamp) {
        if self.steps.back().is_none_or(|(begun, _)| now.since(*begun) >= STEP) {
            self.steps.push_back((now, BTreeMap::new()));
        }
        while self.steps.front().is_some_and(|(begun, _)| now.since(*begun) > SPAN) {
            self.steps.pop_front();
        }
        let Some((_, step)) = self.steps.back_mut() else {
            return;
        };
        if !step.contains_key(backend) {
            step.insert(backend.to_owned(), AttemptCounts::default());
        }
        if let Some(tried) = step.get_mut(backend) {
            tried.attempts += 1;
            tried.failed += u32::from(failed);
        }
    }

    /// Of the backends that failed it lately.
    pub fn failing_backends(&self, now: Timestamp) -> BTreeMap<String, AttemptCounts> {
        let mut sums: BTreeMap<&String, AttemptCounts> = BTreeMap::new();
        let fresh = self.steps.iter().filter(|(begun, _)| now.since(*begun) <= SPAN);
        for (backend, tried) in fresh.flat_map(|(_, step)| step) {
            let sum = sums.entry(backend).or_default();
            (sum.attempts, sum.failed) = (sum.attempts + tried.attempts, sum.failed + tried.failed);
        }
        let mut failed: Vec<_> = sums.into_iter().filter(|(_, sum)| sum.failed > 0).collect();
        failed.sort_by_key(|(_, sum)| std::cmp::Reverse(sum.failed));
        failed.into_iter().take(MOST_TOLD).map(|(backend, sum)| (backend.clone(), sum)).collect()
    }
}

/// All doors' evidence, as the holder weighs it.
#[derive(Clone, Debug, Default)]
pub struct OutlierDetector {
    shares: BTreeMap<String, f64>,
    at: Timestamp,
}

impl OutlierDetector {
    /// What the holder before had detector.
    pub fn inherit(&mut self, ill: &BTreeMap<String, f64>, now: Timestamp) {
        (self.shares, self.at) = (ill.clone(), now);
    }

    /// The part of its requests that each backend fails, of those that are ill, out of so many doors' words.
    pub fn update<'a>(
        &mut self,
        told: impl Iterator<Item = &'a BTreeMap<String, AttemptCounts>>,
        doors: usize,
        now: Timestamp,
    ) -> BTreeMap<String, f64> {
        let mut sums: BTreeMap<&String, (AttemptCounts, usize)> = BTreeMap::new();
        for (backend, tried) in told.flatten() {
            let (sum, failing) = sums.entry(backend).or_default();
            (sum.attempts, sum.failed) = (sum.attempts + tried.attempts, sum.failed + tried.failed);
            *failing += 1;
        }
        let fade = 0.5_f64.powf(now.since(self.at).as_secs_f64() / HALVED);
        self.at = now;
        self.shares.values_mut().for_each(|share| *share *= fade);
        let least = LEAST_DOORS.min(doors.div_ceil(2)).max(1);
        for (backend, (sum, failing)) in sums {
            let share = f64::from(sum.failed) / f64::from(sum.attempts.max(1));
            if sum.attempts >= LEAST_TRIED && failing >= least && share > USUAL {
                let known = self.shares.entry(backend.clone()).or_default();
                *known = known.max(share);
            }
        }
        self.shares.retain(|_, share| *share >= FORGOTTEN);
        self.shares
            .iter()
            .map(|(backend, share)| (backend.clone(), (share * 100.0).round() / 100.0))
            .collect()
    }
}

/// The part of its size that a backend is counted with, which fails that part of its requests; never nothing, so that
/// it is seen to be well again.
pub fn weight_for_failure_share(share: f64) -> f64 {
    (1.0 - share.clamp(0.0, 1.0)).powi(2).max(0.04)
}

/// Where more than half of those that could serve are ill, the cause is shared and none is spared.
pub fn is_shared_cause(ill: usize, all: usize) -> bool {
    ill * 2 > all
}

#[cfg(test)]
mod tests;
