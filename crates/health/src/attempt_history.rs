//! Sliding-window counts of a proxy's attempts at each backend, for its reports.

use std::cmp::Reverse;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use vanewharf_clock::Timestamp;
use vanewharf_protocol::messages::AttemptCounts;

/// Length of the sliding window. It spans a few reports, so that each attempt appears in more than one of them.
const WINDOW_LENGTH: Duration = Duration::from_millis(3000);

/// Step by which the window slides.
const STEP_LENGTH: Duration = Duration::from_millis(500);

/// Maximum number of backends in a report; those with the most failures are kept. The leaseholder receives the
/// reports of hundreds of proxies.
const MAX_REPORTED_BACKENDS: usize = 24;

/// The attempts of one step, by backend id.
#[derive(Clone, Debug)]
struct HistoryStep {
    started_at: Timestamp,
    attempts: BTreeMap<String, AttemptCounts>,
}

/// The attempts within the sliding window, oldest step first.
#[derive(Clone, Debug, Default)]
pub struct AttemptHistory {
    steps: VecDeque<HistoryStep>,
}

impl AttemptHistory {
    /// Records a completed attempt at a backend.
    pub fn record_attempt(&mut self, backend: &str, failed: bool, now: Timestamp) {
        let counts = self.counts_mut(backend, now);
        counts.attempts += 1;
        counts.failed += u32::from(failed);
    }

    /// Returns the backend's counts in the current step, after starting a new step and dropping expired ones as needed.
    fn counts_mut(&mut self, backend: &str, now: Timestamp) -> &mut AttemptCounts {
        let is_current = |step: &HistoryStep| now.since(step.started_at) < STEP_LENGTH;
        if !self.steps.back().is_some_and(is_current) {
            self.steps.push_back(HistoryStep { started_at: now, attempts: BTreeMap::new() });
        }
        while self.steps.front().is_some_and(|step| now.since(step.started_at) > WINDOW_LENGTH) {
            self.steps.pop_front();
        }
        let step = self.steps.back_mut().expect("the current step is within the window");
        // This runs for each attempt, so the key is copied only if it is new.
        if !step.attempts.contains_key(backend) {
            step.attempts.insert(backend.to_owned(), AttemptCounts::default());
        }
        step.attempts.get_mut(backend).expect("inserted above if it was missing")
    }

    /// Returns the recent attempts at backends that failed at least one of them, by backend id.
    pub fn failing_backends(&self, now: Timestamp) -> BTreeMap<String, AttemptCounts> {
        let mut sums: BTreeMap<&String, AttemptCounts> = BTreeMap::new();
        let recent = self.steps.iter().filter(|step| now.since(step.started_at) <= WINDOW_LENGTH);
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
