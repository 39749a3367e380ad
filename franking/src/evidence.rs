//! What many doors saw of one backend. A door that sends it a request every few seconds cannot tell one that fails a part of
//! them from chance; all doors together can. It is evidence, weighed: it lowers odds, bars nothing, and fades.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use vanewharf_mailroom::clock::At;
use vanewharf_mailroom::words::Tried;

/// What a door tells is of so long, in steps of this.
const SPAN: Duration = Duration::from_millis(3000);
const STEP: Duration = Duration::from_millis(500);
/// Backends that one door tells of, those that failed it most.
const MOST_TOLD: usize = 24;
/// Below so many tries over all doors nothing is said.
const LEAST_TRIED: u32 = 6;
/// By how many doors at least a backend must have failed somebody; with fewer doors than twice that, by half of them.
const LEAST_DOORS: usize = 3;
/// A part below this is usual.
const USUAL: f64 = 0.25;
/// How fast a share fades that nothing new is said of, by seconds for a half.
const HALVED: f64 = 3.0;
const FORGOTTEN: f64 = 0.1;

/// One door's own counts.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    steps: VecDeque<(At, BTreeMap<String, Tried>)>,
}

impl Seen {
    pub fn ended(&mut self, backend: &str, failed: bool, now: At) {
        if self.steps.back().is_none_or(|(begun, _)| now.since(*begun) >= STEP) {
            self.steps.push_back((now, BTreeMap::new()));
        }
        while self.steps.front().is_some_and(|(begun, _)| now.since(*begun) > SPAN) {
            self.steps.pop_front();
        }
        let Some((_, step)) = self.steps.back_mut() else {
            return;
        };
        if !step.contains_key(backend) {
            step.insert(backend.to_owned(), Tried::default());
        }
        if let Some(tried) = step.get_mut(backend) {
            tried.tried += 1;
            tried.failed += u32::from(failed);
        }
    }

    /// Of the backends that failed it lately.
    pub fn told(&self, now: At) -> BTreeMap<String, Tried> {
        let mut sums: BTreeMap<&String, Tried> = BTreeMap::new();
        let fresh = self.steps.iter().filter(|(begun, _)| now.since(*begun) <= SPAN);
        for (backend, tried) in fresh.flat_map(|(_, step)| step) {
            let sum = sums.entry(backend).or_default();
            (sum.tried, sum.failed) = (sum.tried + tried.tried, sum.failed + tried.failed);
        }
        let mut failed: Vec<_> = sums.into_iter().filter(|(_, sum)| sum.failed > 0).collect();
        failed.sort_by_key(|(_, sum)| std::cmp::Reverse(sum.failed));
        failed.into_iter().take(MOST_TOLD).map(|(backend, sum)| (backend.clone(), sum)).collect()
    }
}

/// All doors' evidence, as the holder weighs it.
#[derive(Clone, Debug, Default)]
pub struct Weighed {
    shares: BTreeMap<String, f64>,
    at: At,
}

impl Weighed {
    /// What the holder before had weighed.
    pub fn inherit(&mut self, ill: &BTreeMap<String, f64>, now: At) {
        (self.shares, self.at) = (ill.clone(), now);
    }

    /// The part of its requests that each backend fails, of those that are ill, out of so many doors' words.
    pub fn weigh<'a>(
        &mut self,
        told: impl Iterator<Item = &'a BTreeMap<String, Tried>>,
        doors: usize,
        now: At,
    ) -> BTreeMap<String, f64> {
        let mut sums: BTreeMap<&String, (Tried, usize)> = BTreeMap::new();
        for (backend, tried) in told.flatten() {
            let (sum, failing) = sums.entry(backend).or_default();
            (sum.tried, sum.failed) = (sum.tried + tried.tried, sum.failed + tried.failed);
            *failing += 1;
        }
        let fade = 0.5_f64.powf(now.since(self.at).as_secs_f64() / HALVED);
        self.at = now;
        self.shares.values_mut().for_each(|share| *share *= fade);
        let least = LEAST_DOORS.min(doors.div_ceil(2)).max(1);
        for (backend, (sum, failing)) in sums {
            let share = f64::from(sum.failed) / f64::from(sum.tried.max(1));
            if sum.tried >= LEAST_TRIED && failing >= least && share > USUAL {
                let known = self.shares.entry(backend.clone()).or_default();
                *known = known.max(share);
            }
        }
        self.shares.retain(|_, share| *share >= FORGOTTEN);
        self.shares
            .iter()
            .map(|(backend, share)| (backend.clone(), (share * 100.0).round() / 100.0))
            .collect()
    }
}

/// The part of its size that a backend is counted with, which fails that part of its requests; never nothing, so that
/// it is seen to be well again.
pub fn worth_of(share: f64) -> f64 {
    (1.0 - share.clamp(0.0, 1.0)).powi(2).max(0.04)
}

/// Where more than half of those that could serve are ill, the cause is shared and none is spared.
pub fn shared_cause(ill: usize, all: usize) -> bool {
    ill * 2 > all
}

#[cfg(test)]
mod tests {
    use super::*;

    const START: At = At(1_000_000_000);

    fn at(ms: u64) -> At {
        START.after(Duration::from_millis(ms))
    }

    #[test]
    fn a_backend_that_fails_a_part_is_seen_by_all_doors_together_and_by_none_alone() {
        // Each door tries each of two backends once in 600 ms; one fails four in ten, the other one in fifty.
        let mut doors = vec![Seen::default(); 20];
        let mut weighed = Weighed::default();
        let mut ill = BTreeMap::new();
        for round in 0..10u64 {
            for (no, door) in doors.iter_mut().enumerate() {
                let now = at(round * 600 + no as u64);
                door.ended("grey", (round + no as u64) % 5 < 2, now);
                door.ended("well", (round * 20 + no as u64).is_multiple_of(50), now);
            }
            let now = at(round * 600 + 50);
            let told: Vec<_> = doors.iter().map(|door| door.told(now)).collect();
            ill = weighed.weigh(told.iter(), 20, now);
            let alone = Weighed::default().weigh(told.iter().take(1), 20, now);
            assert!(alone.is_empty(), "one door's word is no verdict: {alone:?}");
        }
        assert_eq!(ill.keys().collect::<Vec<_>>(), ["grey"]);
        assert!((0.35..0.75).contains(&ill["grey"]) && worth_of(ill["grey"]) < 0.45, "{ill:?}");
        let later = weighed.weigh(std::iter::empty(), 20, at(11_000));
        assert!(later["grey"] < ill["grey"] / 2.0, "it fades");
        assert!(weighed.weigh(std::iter::empty(), 20, at(30_000)).is_empty());
    }

    #[test]
    fn old_counts_are_told_no_more_and_a_shared_cause_spares_none() {
        let mut door = Seen::default();
        (0..8).for_each(|no| door.ended("b", true, at(no * 10)));
        assert_eq!(door.told(at(100))["b"], Tried { tried: 8, failed: 8 });
        assert!(door.told(at(3_600)).is_empty());
        door.ended("c", false, at(4_000));
        assert!(door.told(at(4_000)).is_empty(), "it failed nobody");
        assert!(shared_cause(3, 5) && !shared_cause(2, 5));
        assert!(worth_of(1.0) > 0.0 && worth_of(0.0) == 1.0);
    }
}
