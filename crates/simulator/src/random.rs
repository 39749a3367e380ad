//! Random draws from one seed. Each use has a stream of its own, so that one that draws more does not move another, and
//! the conversion of spans in seconds and milliseconds into ticks.

use crate::experiment::Span;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, LogNormal};
use vanewharf_policy::interface::Ticks;

/// What a stream of draws is for. The order of the variants is part of each result: it gives the streams their numbers.
#[derive(Clone, Copy, Debug)]
pub enum Stream {
    /// The backends' speeds.
    Fleet,
    /// The customers.
    Customers,
    /// The first tries.
    Arrivals,
    /// Whom faults strike.
    Faults,
    /// Delays on the network.
    Net,
    /// The work of requests.
    Work,
    /// The retries of clients.
    Clients,
    /// Delays of discovery.
    Discovery,
    /// Delays of meter and peer messages.
    Services,
    /// The gateways' own seeds.
    Policy,
}

/// A stream of random draws; the same for the same seed and use.
pub struct RandomStream(ChaCha8Rng);

impl RandomStream {
    /// The stream of a seed for one use.
    pub fn new(seed: u64, stream: Stream) -> RandomStream {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(stream as u64);
        RandomStream(rng)
    }

    /// A number from 0 up to and without 1.
    pub fn unit(&mut self) -> f64 {
        self.0.random()
    }

    /// A seed for something else.
    pub fn seed(&mut self) -> u64 {
        self.0.random()
    }

    /// An index below `count`; 0 where that is 0.
    pub fn below(&mut self, count: usize) -> usize {
        self.0.random_range(0..count.max(1))
    }

    /// A number within a span.
    pub fn span(&mut self, span: Span) -> f64 {
        span.min() + (span.max() - span.min()) * self.unit()
    }

    /// A lognormal number with this mean and coefficient of variation; never 0.
    pub fn lognormal(&mut self, mean: f64, variation: f64) -> f64 {
        if variation <= 0.0 {
            return mean;
        }
        let variance = (1.0 + variation * variation).ln();
        let normal = LogNormal::new(mean.ln() - variance / 2.0, variance.sqrt()).expect("a finite variation");
        normal.sample(&mut self.0).max(1e-6)
    }

    /// The seconds until the next of events that come at this rate a second.
    pub fn gap(&mut self, per_s: f64) -> f64 {
        if per_s <= 0.0 { f64::INFINITY } else { Exp::new(per_s).expect("a rate").sample(&mut self.0) }
    }

    /// So many distinct indices below `of`, in random order.
    pub fn sample(&mut self, count: usize, of: usize) -> Vec<usize> {
        let mut all: Vec<usize> = (0..of).collect();
        let count = count.min(of);
        for place in 0..count {
            let other = place + self.below(of - place);
            all.swap(place, other);
        }
        all.truncate(count);
        all
    }
}

/// A span in seconds, as ticks.
pub fn seconds(span: f64) -> Ticks {
    Ticks((span * 10_000.0).round() as i64)
}

/// A span in milliseconds, as ticks.
pub fn millis(span: f64) -> Ticks {
    Ticks((span * 10.0).round() as i64)
}

#[cfg(test)]
mod tests;
