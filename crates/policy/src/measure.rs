//! Averages, queues of pending counter calls, and weighted random choice. This module contains no tuning constants and
//! makes no decisions; callers pass time constants and weights.

use crate::interface::*;
use crate::state::{Context, PendingCounterCall};
use std::collections::{BTreeMap, VecDeque};

/// A rate per second, averaged exponentially.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingRate {
    /// The rate at the time `at`.
    pub per_second: f64,
    /// The time of the last addition.
    pub at: Ticks,
}

impl DecayingRate {
    /// Returns a rate of zero.
    pub fn new(at: Ticks) -> DecayingRate {
        DecayingRate { per_second: 0.0, at }
    }

    /// Returns the current rate for an averaging time constant of `span` seconds.
    pub fn value(self, span: f64, ctx: Context) -> f64 {
        self.per_second * ctx.decay(self.at, span)
    }

    /// Adds `amount` at the current time.
    pub fn add(&mut self, amount: f64, span: f64, ctx: Context) {
        self.per_second = self.value(span, ctx) + amount / span;
        self.at = ctx.now;
    }
}

/// An estimate of the latency of a product's responses at this gateway, in seconds.
#[derive(Clone, Copy, Debug)]
pub struct LatencyEstimate {
    /// The mean latency.
    pub mean: f64,
    /// The mean absolute deviation from the mean.
    pub deviation: f64,
    /// The number of responses.
    pub samples: f64,
}

impl LatencyEstimate {
    /// Returns the estimate to use before the first response.
    pub fn initial(mean: f64) -> LatencyEstimate {
        LatencyEstimate { mean, deviation: mean, samples: 0.0 }
    }

    /// Adds a response. All responses have the same weight until that weight falls below `min_weight`; from then on the
    /// newest response has `min_weight`.
    pub fn record(&mut self, latency: f64, min_weight: f64) {
        self.samples += 1.0;
        let weight = (1.0 / self.samples).max(min_weight);
        self.deviation += weight * ((latency - self.mean).abs() - self.deviation);
        self.mean += weight * (latency - self.mean);
    }
}

/// Pending calls to the shared counter, by key and in the order of the calls.
#[derive(Clone, Debug, Default)]
pub struct PendingCounterCalls(BTreeMap<CounterKey, VecDeque<PendingCounterCall>>);

impl PendingCounterCalls {
    /// Adds the newest call for a key.
    pub fn push(&mut self, key: CounterKey, pending: PendingCounterCall) {
        self.0.entry(key).or_default().push_back(pending);
    }

    /// Removes and returns the oldest call for a key.
    pub fn pop(&mut self, key: CounterKey) -> Option<PendingCounterCall> {
        let pending = self.0.get_mut(&key).and_then(VecDeque::pop_front)?;
        if self.0.get(&key).is_some_and(VecDeque::is_empty) {
            self.0.remove(&key);
        }
        Some(pending)
    }
}

/// Chooses an item with a probability proportional to its weight. `random` is uniform from 0 to 1. Returns the last item
/// if no weight is positive, and `None` if there are no items.
pub fn choose_weighted<T: Copy>(items: &[T], weight: impl Fn(&T) -> f64, random: f64) -> Option<T> {
    let mut remaining = random * items.iter().map(&weight).sum::<f64>();
    for item in items {
        remaining -= weight(item);
        if remaining < 0.0 {
            return Some(*item);
        }
    }
    items.last().copied()
}
