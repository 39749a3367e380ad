//! Measures that the decisions are made by: averages, waiting queues and weighted draws. They hold no figures of their
//! own and decide nothing; spans and weights are passed in.

use crate::interface::*;
use crate::state::{Context, PendingCount};
use std::collections::{BTreeMap, VecDeque};

/// An exponentially averaged rate.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingRate {
    /// The rate, a second, as of `at`.
    pub per_second: f64,
    /// When something was last added.
    pub at: Ticks,
}

impl DecayingRate {
    /// A rate of zero.
    pub fn new(at: Ticks) -> DecayingRate {
        DecayingRate { per_second: 0.0, at }
    }

    /// The rate by now, averaged over `span` seconds.
    pub fn value(self, span: f64, ctx: Context) -> f64 {
        self.per_second * ctx.decay(self.at, span)
    }

    /// Adds something that happens now.
    pub fn add(&mut self, amount: f64, span: f64, ctx: Context) {
        self.per_second = self.value(span, ctx) + amount / span;
        self.at = ctx.now;
    }
}

/// How long a product's responses take at this gateway, in seconds.
#[derive(Clone, Copy, Debug)]
pub struct LatencyEstimate {
    /// The mean.
    pub mean: f64,
    /// The mean deviation from it.
    pub deviation: f64,
    /// How many responses there were.
    pub samples: f64,
}

impl LatencyEstimate {
    /// An estimate before the first response.
    pub fn guess(mean: f64) -> LatencyEstimate {
        LatencyEstimate { mean, deviation: mean, samples: 0.0 }
    }

    /// Counts a response: evenly with those before it, but by `min_weight` at least.
    pub fn record(&mut self, latency: f64, min_weight: f64) {
        self.samples += 1.0;
        let weight = (1.0 / self.samples).max(min_weight);
        self.deviation += weight * ((latency - self.mean).abs() - self.deviation);
        self.mean += weight * (latency - self.mean);
    }
}

/// Requests held for the shared counter, by the key of their calls and in the order of these.
#[derive(Clone, Debug, Default)]
pub struct PendingCounts(BTreeMap<CounterKey, VecDeque<PendingCount>>);

impl PendingCounts {
    /// Adds the request of the newest call for a key.
    pub fn push(&mut self, key: CounterKey, pending: PendingCount) {
        self.0.entry(key).or_default().push_back(pending);
    }

    /// Takes out the request of the oldest call for a key.
    pub fn pop(&mut self, key: CounterKey) -> Option<PendingCount> {
        let pending = self.0.get_mut(&key).and_then(VecDeque::pop_front)?;
        if self.0.get(&key).is_some_and(VecDeque::is_empty) {
            self.0.remove(&key);
        }
        Some(pending)
    }
}

/// Draws one of some items, odds in step with their weights; `random` is from 0 to 1. The last one where no weight is
/// above zero, none where there are no items.
pub fn draw_weighted<T: Copy>(items: &[T], weight: impl Fn(&T) -> f64, random: f64) -> Option<T> {
    let mut left = random * items.iter().map(&weight).sum::<f64>();
    for item in items {
        left -= weight(item);
        if left < 0.0 {
            return Some(*item);
        }
    }
    items.last().copied()
}
