//! What all doors together may send, divided among them with nobody asked: to a cold backend, and as repeats to a
//! service. Each door keeps its part, so that the sum holds whoever is cut off.

use std::time::Duration;
use vanewharf_mailroom::clock::At;

/// Of the rules' figures, what is used: clocks and rounding have the rest.
const USED: f64 = 0.9;
const COLD_USED: f64 = 0.95;

/// A door's part of what a cold backend bears.
#[derive(Clone, Copy, Debug)]
pub struct Cold {
    tokens: f64,
    last: At,
}

/// What a door may send to one cold backend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdPart {
    pub per_s: f64,
    pub depth: f64,
}

/// In any second all doors send at most doors × (depth + per_s): no more than the rules' bound.
pub fn cold_part(per_s: f64, overshoot: f64, allowance: f64, doors: f64) -> ColdPart {
    let part = COLD_USED * (per_s * overshoot + allowance) / doors;
    // What it bears for long is less than what it bears in one second; below a depth of one nothing is ever sent.
    let rate = (per_s / doors).min((part - 1.0).max(0.0));
    ColdPart { per_s: rate, depth: (part - rate).min(2.0) }
}

impl Cold {
    pub fn new(part: ColdPart, now: At) -> Cold {
        Cold { tokens: part.depth, last: now }
    }

    pub fn spend(&mut self, part: ColdPart, now: At) -> bool {
        let gap = now.since(self.last).as_secs_f64();
        self.tokens = (self.tokens + part.per_s * gap).min(part.depth);
        self.last = now;
        let may = self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(may));
        may
    }
}

/// A door's part of the repeats that a service may get.
#[derive(Clone, Copy, Debug)]
pub struct Repeats {
    tokens: f64,
}

/// The figures of the rule: repeats for each request, and how many more in a window.
#[derive(Clone, Copy, Debug)]
pub struct RepeatRule {
    pub ratio: f64,
    pub allowance: f64,
    pub doors: f64,
}

impl RepeatRule {
    fn most(&self) -> f64 {
        // Against a door's part below one repeat: it saves up for a whole one.
        (USED * 0.8 * self.allowance / self.doors).max(1.0)
    }
}

impl Repeats {
    /// A restarted door may have spent its part just before.
    pub fn start(rule: &RepeatRule, full: bool) -> Repeats {
        Repeats { tokens: if full { rule.most() } else { 0.0 } }
    }

    pub fn request(&mut self, rule: &RepeatRule) {
        self.tokens = (self.tokens + USED * 0.8 * rule.ratio).min(rule.most());
    }

    pub fn spend(&mut self) -> bool {
        let may = self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(may));
        may
    }
}

/// Of services with weights, the one that a draw from 0 to 1 falls on.
pub fn weighted(weights: impl Iterator<Item = f64> + Clone, draw: f64) -> usize {
    let mut left = draw * weights.clone().sum::<f64>();
    let mut last = 0;
    for (no, weight) in weights.enumerate() {
        if weight <= 0.0 {
            continue;
        }
        last = no;
        left -= weight;
        if left < 0.0 {
            break;
        }
    }
    last
}

/// When a request may no longer be let in by its key: the right lapses where nothing was heard in time.
pub fn lapsed(global: bool, revocation: Duration, sure: Option<At>, now: At) -> bool {
    const KEPT_BACK: Duration = Duration::from_millis(600);
    global && sure.is_none_or(|sure| now.since(sure) + KEPT_BACK >= revocation)
}

#[cfg(test)]
mod tests {
    use super::*;
    use yare::parameterized;

    const START: At = At(1_000_000_000);

    #[parameterized(
        registry = { 7.5, 5.0, 8 },
        clinics = { 21.0, 5.0, 9 },
        few = { 7.5, 5.0, 2 },
    )]
    fn a_cold_backend_is_not_pressed_by_all_doors_together(per_s: f64, allowance: f64, doors: usize) {
        let part = cold_part(per_s, 1.5, allowance, doors as f64);
        let mut all = vec![Cold::new(part, START); doors];
        let mut sent = Vec::new();
        for step in 0..4000u64 {
            let now = START.after(Duration::from_millis(step));
            for door in &mut all {
                if door.spend(part, now) {
                    sent.push(step);
                }
            }
        }
        let most =
            sent.iter().map(|at| sent.iter().filter(|other| (*at..at + 1000).contains(other)).count()).max();
        assert!(most.is_some_and(|most| most as f64 <= per_s * 1.5 + allowance), "{most:?}");
        assert!(sent.len() as f64 >= 2.0 * per_s, "and it gets some: {}", sent.len());
    }

    #[test]
    fn repeats_stay_within_the_rule_over_all_doors() {
        let rule = RepeatRule { ratio: 0.2, allowance: 56.0, doors: 8.0 };
        let mut doors = vec![Repeats::start(&rule, true); 8];
        let mut repeats = 0;
        for _ in 0..125 {
            for door in &mut doors {
                door.request(&rule);
                while door.spend() {
                    repeats += 1;
                }
            }
        }
        assert!(f64::from(repeats) <= 0.2 * 1000.0 + 56.0, "{repeats}");
        assert!(repeats >= 150);
    }

    #[parameterized(first = { 0.0, 1 }, second = { 0.5, 2 }, end = { 0.999, 2 })]
    fn a_draw_falls_by_weight(draw: f64, no: usize) {
        assert_eq!(weighted([0.0, 1.0, 3.0, 0.0].into_iter(), draw), no);
    }

    #[test]
    fn keys_lapse_before_a_revocation_must_hold() {
        let second = Duration::from_secs(1);
        let sure = |seconds| Some(START.after(second * seconds));
        assert!(lapsed(true, second * 5, None, START), "never heard");
        assert!(!lapsed(true, second * 5, sure(0), START.after(second * 4)));
        assert!(lapsed(true, second * 5, sure(0), START.after(second * 4 + second / 2)));
        assert!(!lapsed(false, second * 5, None, START), "bound to machines in touch only");
    }
}
