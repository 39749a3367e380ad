//! When discovery is called, and when again after a call that failed. Nothing here calls it.
//!
//! Against doors that started together: each call of one is harmless, but where lists come only on request,
//! all of them in one moment are more than discovery can answer, and again at each fixed pause after it. So
//! waits and pauses there have a random part, and a call turned away is made again ever later.

use crate::clock::to_duration;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;
use vanewharf_policy::interface::Ticks;

/// How long a watch may wait where lists are pushed to the agent and cost nothing: short, so that an agent
/// gone silent is soon asked anew.
const WAIT: Duration = Duration::from_secs(2);
/// The longest wait that an agent takes.
const LONGEST: Duration = Duration::from_secs(60);
/// Between two calls where the first failed or told nothing at once; within the time in which the next call
/// must come.
pub const PAUSE: Duration = Duration::from_millis(100);
/// Of the time within which a door must ask: the first pause after a call turned away, and the longest. A
/// door whose call failed may take four times that time.
const AWAY: (f64, f64) = (0.4, 2.0);

pub struct DiscoveryPacing {
    /// Where lists come only on request: how often a door must ask.
    ask_within: Option<Duration>,
    turned_away: i32,
    chance: SmallRng,
}

impl DiscoveryPacing {
    pub fn new(ask_within: Option<Ticks>, seed: u64) -> DiscoveryPacing {
        DiscoveryPacing {
            ask_within: ask_within.map(to_duration),
            turned_away: 0,
            chance: SmallRng::seed_from_u64(seed),
        }
    }

    /// How long the next watch waits. What is told meanwhile comes at once, so longer is only cheaper.
    pub fn wait(&mut self) -> Duration {
        let spread = 1.0 + self.chance.random::<f64>();
        self.ask_within.map_or(WAIT, |within| within.mul_f64(spread).clamp(WAIT, LONGEST))
    }

    pub fn answered(&mut self) {
        self.turned_away = 0;
    }

    /// Until discovery, which is there and turned the call away, is called again.
    pub fn away(&mut self) -> Duration {
        let doubled = AWAY.0 * 2f64.powi(self.turned_away.min(16));
        self.turned_away += 1;
        let spread = 0.5 + 0.5 * self.chance.random::<f64>();
        self.ask_within.unwrap_or(WAIT).mul_f64(doubled.min(AWAY.1) * spread).clamp(PAUSE, LONGEST)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const WITHIN: Option<Ticks> = Some(Ticks(100_000));

    /// How many of a hundred doors call in the busiest second, where each is turned away at every call.
    fn busiest(mut next: impl FnMut(u64) -> Box<dyn FnMut() -> Duration>) -> usize {
        let mut seconds = [0; 120];
        for door in 0..100 {
            let (mut pause, mut at) = (next(door), Duration::ZERO);
            while at.as_secs() < 120 {
                seconds[at.as_secs() as usize] += 1;
                at += pause();
            }
        }
        seconds[30..].iter().copied().max().unwrap_or_default()
    }

    #[test]
    fn doors_turned_away_together_call_ever_more_seldom_and_apart() {
        let fixed = busiest(|_| Box::new(|| PAUSE));
        let paced = busiest(|door| {
            let mut recall = DiscoveryPacing::new(WITHIN, door);
            Box::new(move || recall.away())
        });
        assert!(fixed == 1000 && (1..=20).contains(&paced), "{fixed} and {paced}");
    }

    #[test]
    fn an_answer_makes_the_next_pause_short_again_and_each_within_its_bounds() {
        let mut recall = DiscoveryPacing::new(WITHIN, 7);
        let pauses: Vec<_> = (0..40).map(|_| recall.away()).collect();
        assert!(pauses.iter().all(|pause| (2..=20).contains(&pause.as_secs())), "{pauses:?}");
        assert!(pauses[39] >= Duration::from_secs(10), "{pauses:?}");
        recall.answered();
        assert!(recall.away() <= Duration::from_secs(4));
    }

    #[test]
    fn watches_wait_as_told_where_lists_cost_and_apart_from_one_another() {
        let waits: Vec<_> = (0..100).map(|door| DiscoveryPacing::new(WITHIN, door).wait()).collect();
        assert!(waits.iter().all(|wait| (10..=20).contains(&wait.as_secs())), "{waits:?}");
        let same = waits.iter().filter(|wait| wait.as_secs() == waits[0].as_secs()).count();
        assert!(same < 30, "{same} of 100 end in one second");
        assert_eq!(DiscoveryPacing::new(None, 7).wait(), WAIT, "pushed lists cost nothing");
        assert_eq!(DiscoveryPacing::new(Some(Ticks(i64::MAX)), 7).wait(), LONGEST);
    }
}
