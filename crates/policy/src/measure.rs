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

    /// Returns the current rate as if the additions since `start` were all that count. The correction is at most
    /// twentyfold.
    pub fn value_since(&self, start: Ticks, span: f64) -> f64 {
        let age = (self.at - start).seconds();
        self.per_second / (1.0 - (-age / span).exp()).max(0.05)
    }
}

/// A mean over time, averaged exponentially.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingMean {
    /// The mean at the time `at`.
    pub value: f64,
    /// The time of the last update.
    pub at: Ticks,
}

impl DecayingMean {
    /// Updates the mean with the present value, for an averaging time constant of `span` seconds, and returns it.
    pub fn update(&mut self, present: f64, span: f64, ctx: Context) -> f64 {
        self.value += (1.0 - ctx.decay(self.at, span)) * (present - self.value);
        self.at = ctx.now;
        self.value
    }
}

/// An estimate of the latency of a product's responses at this gateway, in seconds.
#[derive(Clone, Copy, Debug)]
pub struct LatencyEstimate {
    /// The mean latency.
    pub mean: f64,
    /// The mean absolute deviation from the mean.
    pub deviation: f64,
    /// The number of responses that the mean is made of.
    pub samples: f64,
    /// The latency without queueing: the lowest mean, which rises slowly towards higher ones. Infinite if it is unknown.
    pub unloaded: f64,
    /// The time of the last response.
    pub recorded_at: Ticks,
    /// The number of requests rejected since the last response.
    pub rejected: f64,
}

impl LatencyEstimate {
    /// Returns the estimate to use before the first response.
    pub fn initial(mean: f64) -> LatencyEstimate {
        let (unloaded, recorded_at) = (f64::INFINITY, Ticks(0));
        LatencyEstimate { mean, deviation: mean, samples: 0.0, unloaded, recorded_at, rejected: 0.0 }
    }

    /// Adds a response. All responses have the same weight until that weight falls below `min_weight`; from then on the
    /// newest response has `min_weight`, and the latency without queueing is known. It rises towards the mean with a time
    /// constant of `rise_span` seconds.
    pub fn record(&mut self, latency: f64, min_weight: f64, rise_span: f64, ctx: Context) {
        self.samples += 1.0;
        let weight = (1.0 / self.samples).max(min_weight);
        self.deviation += weight * ((latency - self.mean).abs() - self.deviation);
        self.mean += weight * (latency - self.mean);
        if self.samples * min_weight >= 1.0 {
            let risen = self.mean + (self.unloaded - self.mean) * ctx.decay(self.recorded_at, rise_span);
            self.unloaded = self.mean.min(risen);
        }
        (self.recorded_at, self.rejected) = (ctx.now, 0.0);
    }

    /// Records whether a request was rejected. The responses are discarded once `max_rejected` requests were rejected since
    /// the last one, and that one is older than `span` seconds; the latency without queueing is kept.
    pub fn record_decision(&mut self, rejected: bool, max_rejected: f64, span: f64, ctx: Context) {
        self.rejected += f64::from(u8::from(rejected));
        if self.rejected >= max_rejected && ctx.since(self.recorded_at) > span {
            (self.samples, self.rejected) = (0.0, 0.0);
        }
    }

    /// Returns the latency without queueing, or the mean while that is unknown.
    pub fn work(&self) -> f64 {
        self.mean.min(self.unloaded)
    }

    /// Returns how many times as long as without queueing responses take.
    pub fn stretch(&self) -> f64 {
        self.mean / self.work()
    }
}

/// Returns the mean latency without queueing over some products, or 0 if there are none.
pub fn mean_work<'a>(latencies: impl Iterator<Item = &'a LatencyEstimate>) -> f64 {
    let (sum, count) =
        latencies.fold((0.0, 0.0), |(sum, count), latency| (sum + latency.work(), count + 1.0));
    sum / f64::max(count, 1.0)
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
