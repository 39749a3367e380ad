//! A proxy's recent attempts at each backend, for its reports.

use std::cmp::Reverse;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use vanewharf_clock::Timestamp;
use vanewharf_protocol::messages::AttemptCounts;

/// Attempts are counted over this span: a few reports long, so that each attempt is in more than one of them.
const HISTORY_SPAN: Duration = Duration::from_millis(3000);

/// The span slides in steps of this.
const STEP: Duration = Duration::from_millis(500);

/// Backends in a report at most, those with most failures: reports of hundreds of proxies come together at the
/// leaseholder.
const MAX_REPORTED_BACKENDS: usize = 24;

/// The attempts of one step, by the backend's id.
#[derive(Clone, Debug)]
struct HistoryStep {
    started_at: Timestamp,
    attempts: BTreeMap<String, AttemptCounts>,
}

/// The attempts of the last few seconds, oldest step first.
#[derive(Clone, Debug, Default)]
pub struct AttemptHistory {
    steps: VecDeque<HistoryStep>,
}

impl AttemptHistory {
    /// Records that an attempt at a backend completed.
    pub fn record_attempt(&mut self, backend: &str, failed: bool, now: Timestamp) {
        let counts = self.counts_mut(backend, now);
        counts.attempts += 1;
        counts.failed += u32::from(failed);
    }

    /// The backend's counts in the current step.
    fn counts_mut(&mut self, backend: &str, now: Timestamp) -> &mut AttemptCounts {
        let is_current = |step: &HistoryStep| now.since(step.started_at) < STEP;
        if !self.steps.back().is_some_and(is_current) {
            self.steps.push_back(HistoryStep { started_at: now, attempts: BTreeMap::new() });
        }
        while self.steps.front().is_some_and(|step| now.since(step.started_at) > HISTORY_SPAN) {
            self.steps.pop_front();
        }
        let step = self.steps.back_mut().expect("the current step started less than a span ago");
        // The key is copied only where it is new: this runs for each attempt.
        if !step.attempts.contains_key(backend) {
            step.attempts.insert(backend.to_owned(), AttemptCounts::default());
        }
        step.attempts.get_mut(backend).expect("inserted above where it was missing")
    }

    /// The recent attempts at backends that failed some of them, by the backend's id.
    pub fn failing_backends(&self, now: Timestamp) -> BTreeMap<String, AttemptCounts> {
        let mut sums: BTreeMap<&String, AttemptCounts> = BTreeMap::new();
        let recent = self.steps.iter().filter(|step| now.since(step.started_at) <= HISTORY_SPAN);
        for (backend, counts) in recent.flat_map(|step| &step.attempts) {
            let sum = sums.entry(backend).or_default();
            sum.attempts += counts.attempts;
            sum.failed += counts.failed;
        }
        let mut failing: Vec<_> = sums.into_iter().filter(|(_, sum)| sum.failed > 0).collect();
        failing.sort_by_key(|(_, sum)| Reverse(sum.failed));
        failing.truncate(MAX_REPORTED_BACKENDS);
        failing.into_iter().map(|(backend, sum)| (backend.clone(), sum)).collect()
    }
}

#[cfg(test)]
mod tests;
