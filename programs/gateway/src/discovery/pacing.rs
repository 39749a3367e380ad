//! The timing of calls to discovery: the duration of long polls, and the pauses after failed calls.
//!
//! Gateways that start together must not stay synchronized. If lists are sent on request only, simultaneous calls of
//! all gateways exceed what discovery can answer, and would do so again after each fixed pause. Durations and pauses
//! therefore have a random part, and the pauses after refused calls grow exponentially.

use crate::clock::to_duration;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;
use vanewharf_policy::interface::Ticks;

/// The shortest long poll. It is used if lists are pushed to the agent, so that calls cost nothing: an agent that has
/// become unresponsive is then soon called again.
const MIN_LONG_POLL: Duration = Duration::from_secs(2);
/// The longest long poll that an agent accepts.
const MAX_LONG_POLL: Duration = Duration::from_secs(60);
/// The pause after a call that failed or that returned nothing without waiting. It is shorter than the interval at
/// which calls must be made.
pub(super) const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// The first pause after a refused call, in poll intervals.
const FIRST_REFUSAL_PAUSE_INTERVALS: f64 = 0.4;
/// The longest pause after a refused call, in poll intervals. After a failed call, a gateway has four intervals for the
/// next one.
const MAX_REFUSAL_PAUSE_INTERVALS: f64 = 2.0;
/// Bounds the exponent of the pause's growth.
const MAX_PAUSE_DOUBLINGS: i32 = 16;

/// The state from which one gateway's long polls and pauses are derived.
pub struct DiscoveryPacing {
    /// The interval at which a gateway must call, if lists are sent on request only.
    poll_interval: Option<Duration>,
    /// The number of calls refused since the last answered one.
    refusals: i32,
    random: SmallRng,
}

impl DiscoveryPacing {
    /// Creates the pacing for lists that must be requested at `poll_interval` or, if it is `None`, are pushed.
    pub fn new(poll_interval: Option<Ticks>, seed: u64) -> DiscoveryPacing {
        DiscoveryPacing {
            poll_interval: poll_interval.map(to_duration),
            refusals: 0,
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// The duration of the next long poll. Changes end it at once, so a longer one is cheaper and delays nothing.
    pub(super) fn long_poll_duration(&mut self) -> Duration {
        let jitter = 1.0 + self.random.random::<f64>();
        self.poll_interval
            .map_or(MIN_LONG_POLL, |interval| interval.mul_f64(jitter).clamp(MIN_LONG_POLL, MAX_LONG_POLL))
    }

    /// Records a call that was answered.
    pub(super) fn record_success(&mut self) {
        self.refusals = 0;
    }

    /// The pause after a call that a reachable discovery agent refused.
    pub(super) fn pause_after_refusal(&mut self) -> Duration {
        let doubled = FIRST_REFUSAL_PAUSE_INTERVALS * 2f64.powi(self.refusals.min(MAX_PAUSE_DOUBLINGS));
        self.refusals += 1;
        let jitter = 0.5 + 0.5 * self.random.random::<f64>();
        let interval = self.poll_interval.unwrap_or(MIN_LONG_POLL);
        interval.mul_f64(doubled.min(MAX_REFUSAL_PAUSE_INTERVALS) * jitter).clamp(RETRY_PAUSE, MAX_LONG_POLL)
    }
}

#[cfg(test)]
mod tests;
