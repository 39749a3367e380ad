//! Chance, from one seed: each use has a stream of its own, so that one that draws more does not move another.

use crate::experiment::Span;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, LogNormal};
use vanewharf_policy::interface::Ticks;

#[derive(Clone, Copy, Debug)]
pub enum Stream {
    Fleet,
    Customers,
    Arrivals,
    Faults,
    Net,
    Work,
    Clients,
    Discovery,
    Services,
    Policy,
}

pub struct Draw(ChaCha8Rng);

impl Draw {
    pub fn new(seed: u64, stream: Stream) -> Draw {
        let mut chance = ChaCha8Rng::seed_from_u64(seed);
        chance.set_stream(stream as u64);
        Draw(chance)
    }

    /// From 0 up to and without 1.
    pub fn unit(&mut self) -> f64 {
        self.0.random()
    }

    pub fn seed(&mut self) -> u64 {
        self.0.random()
    }

    pub fn below(&mut self, count: usize) -> usize {
        self.0.random_range(0..count.max(1))
    }

    pub fn span(&mut self, span: Span) -> f64 {
        span.least() + (span.most() - span.least()) * self.unit()
    }

    /// With this mean and coefficient of variation; never 0.
    pub fn lognormal(&mut self, mean: f64, spread: f64) -> f64 {
        if spread <= 0.0 {
            return mean;
        }
        let variance = (1.0 + spread * spread).ln();
        let normal = LogNormal::new(mean.ln() - variance / 2.0, variance.sqrt()).expect("a finite spread");
        normal.sample(&mut self.0).max(1e-6)
    }

    /// The wait for the next of so many a second.
    pub fn gap(&mut self, per_s: f64) -> f64 {
        if per_s <= 0.0 { f64::INFINITY } else { Exp::new(per_s).expect("a rate").sample(&mut self.0) }
    }

    /// That many of them, in an order of chance.
    pub fn some_of(&mut self, count: usize, of: usize) -> Vec<usize> {
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

pub fn seconds(span: f64) -> Ticks {
    Ticks((span * 10_000.0).round() as i64)
}

pub fn millis(span: f64) -> Ticks {
    Ticks((span * 10.0).round() as i64)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn streams_of_one_seed_are_each_their_own_and_come_again() {
        let first = |stream| Draw::new(7, stream).unit();
        assert_eq!(first(Stream::Net), first(Stream::Net));
        assert_ne!(first(Stream::Net), first(Stream::Work));
    }

    #[test]
    fn what_is_drawn_has_the_mean_asked_for() {
        let mut draw = Draw::new(1, Stream::Work);
        let mean = |of: &mut dyn FnMut() -> f64| (0..40_000).map(|_| of()).sum::<f64>() / 40_000.0;
        let lognormal = mean(&mut || draw.lognormal(20.0, 0.8));
        assert!((19.4..20.6).contains(&lognormal), "{lognormal}");
        let gap = mean(&mut || draw.gap(4.0));
        assert!((0.245..0.255).contains(&gap), "{gap}");
        let mut some = draw.some_of(5, 9);
        some.sort_unstable();
        some.dedup();
        assert_eq!(some.len(), 5);
    }
}
