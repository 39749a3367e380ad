//! When discovery is called: how long a watch waits, and how long to pause after a call that failed.
//!
//! Gateways that start together must not stay synchronized. Where lists come only on request, the calls of all gateways
//! at one moment are more than discovery can answer, and so they are again after each fixed pause. Waits and pauses
//! therefore have a random part, and a call that was refused is repeated after ever longer pauses.

use crate::clock::to_duration;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;
use vanewharf_policy::interface::Ticks;

/// How long a watch waits where lists are pushed to the agent and cost nothing: short, so that an agent that has become
/// unresponsive is soon called again.
const PUSHED_WATCH: Duration = Duration::from_secs(2);
/// The longest watch that an agent accepts.
const MAX_WATCH: Duration = Duration::from_secs(60);
/// Between two calls where the first failed or returned nothing at once; it is shorter than the time within which the
/// next call must be made.
pub(super) const PAUSE: Duration = Duration::from_millis(100);
/// The first pause after a refused call, as a part of the interval at which a gateway must call.
const FIRST_REFUSAL_PAUSE: f64 = 0.4;
/// The longest such pause. A gateway whose call failed may take four intervals.
const MAX_REFUSAL_PAUSE: f64 = 2.0;
const MAX_DOUBLINGS: i32 = 16;

/// The state that the waits and pauses of one gateway depend on.
pub struct DiscoveryPacing {
    /// Where lists come only on request: how often a gateway must call.
    poll_interval: Option<Duration>,
    /// Calls refused since the last that was answered.
    refusals: i32,
    random: SmallRng,
}

impl DiscoveryPacing {
    /// Pacing for lists that must be requested at `poll_interval`, or are pushed where there is none.
    pub fn new(poll_interval: Option<Ticks>, seed: u64) -> DiscoveryPacing {
        DiscoveryPacing {
            poll_interval: poll_interval.map(to_duration),
            refusals: 0,
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// How long the next watch waits. Changes are returned at once, so a longer watch is only cheaper.
    pub(super) fn watch_duration(&mut self) -> Duration {
        let spread = 1.0 + self.random.random::<f64>();
        self.poll_interval
            .map_or(PUSHED_WATCH, |interval| interval.mul_f64(spread).clamp(PUSHED_WATCH, MAX_WATCH))
    }

    /// Records a call that was answered.
    pub(super) fn record_success(&mut self) {
        self.refusals = 0;
    }

    /// How long to pause after discovery, though reachable, refused a call.
    pub(super) fn pause_after_refusal(&mut self) -> Duration {
        let doubled = FIRST_REFUSAL_PAUSE * 2f64.powi(self.refusals.min(MAX_DOUBLINGS));
        self.refusals += 1;
        let spread = 0.5 + 0.5 * self.random.random::<f64>();
        let interval = self.poll_interval.unwrap_or(PUSHED_WATCH);
        interval.mul_f64(doubled.min(MAX_REFUSAL_PAUSE) * spread).clamp(PAUSE, MAX_WATCH)
    }
}

#[cfg(test)]
mod tests;
