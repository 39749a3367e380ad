//! Random numbers derived from the seed of a run, and conversion of seconds and milliseconds to ticks. Each component has
//! its own stream of random numbers, so that additional draws of one component do not change those of another.

use crate::experiment::Span;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, LogNormal};
use vanewharf_policy::interface::Ticks;

/// Number of ticks per millisecond.
pub(crate) const TICKS_PER_MS: f64 = 10.0;

/// Purpose of a random stream. The order of the variants determines the stream numbers, and thereby the results of every
/// seed.
#[derive(Clone, Copy, Debug)]
pub enum Stream {
    /// Speeds of backends.
    Fleet,
    /// Properties of customers.
    Customers,
    /// Arrivals and properties of first tries.
    Arrivals,
    /// Selection of the targets of faults.
    Faults,
    /// Network delays and lost responses.
    Net,
    /// Unused by the simulation; keeps the numbers of the streams after it.
    Work,
    /// Gateways and backoffs of clients' retries.
    Clients,
    /// Discovery delays.
    Discovery,
    /// Delays of meter readings, and delays and losses of peer messages.
    Services,
    /// Seeds of the gateways' policies.
    Policy,
}

/// A reproducible stream of random numbers, determined by a seed and a purpose.
pub struct RandomStream(ChaCha8Rng);

impl RandomStream {
    /// Creates the stream of a seed for one purpose.
    pub fn new(seed: u64, stream: Stream) -> RandomStream {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(stream as u64);
        RandomStream(rng)
    }

    /// Draws a uniform number in [0, 1).
    pub fn unit(&mut self) -> f64 {
        self.0.random()
    }

    /// Draws a seed for another generator.
    pub fn seed(&mut self) -> u64 {
        self.0.random()
    }

    /// Draws a uniform index below `count`, or 0 if `count` is 0.
    pub fn below(&mut self, count: usize) -> usize {
        self.0.random_range(0..count.max(1))
    }

    /// Draws a uniform number in a range.
    pub fn span(&mut self, span: Span) -> f64 {
        span.min() + (span.max() - span.min()) * self.unit()
    }

    /// Draws a lognormal number with a mean and coefficient of variation. It is always positive.
    pub fn lognormal(&mut self, mean: f64, variation: f64) -> f64 {
        if variation <= 0.0 {
            return mean;
        }
        let variance = (1.0 + variation * variation).ln();
        let normal =
            LogNormal::new(mean.ln() - variance / 2.0, variance.sqrt()).expect("the variation is finite");
        normal.sample(&mut self.0).max(1e-6)
    }

    /// Draws the seconds until the next event of a Poisson process with this rate per second.
    pub fn interarrival_s(&mut self, per_s: f64) -> f64 {
        if per_s <= 0.0 {
            f64::INFINITY
        } else {
            Exp::new(per_s).expect("the rate is positive").sample(&mut self.0)
        }
    }

    /// Draws `count` distinct indices below `of`, in random order.
    pub fn sample(&mut self, count: usize, of: usize) -> Vec<usize> {
        let mut all: Vec<usize> = (0..of).collect();
        let count = count.min(of);
        for index in 0..count {
            let other = index + self.below(of - index);
            all.swap(index, other);
        }
        all.truncate(count);
        all
    }
}

/// Converts seconds to ticks.
pub fn seconds(seconds: f64) -> Ticks {
    Ticks((seconds * Ticks::SECOND.0 as f64).round() as i64)
}

/// Converts milliseconds to ticks.
pub fn millis(millis: f64) -> Ticks {
    Ticks((millis * TICKS_PER_MS).round() as i64)
}

#[cfg(test)]
mod tests;
