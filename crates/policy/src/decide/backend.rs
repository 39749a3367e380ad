//! One backend; mechanisms 3, set aside (silent or failing, it rests), and 4, cold (its part of a budget).

use super::*;

/// One failure is chance, three with nothing settled between are not.
const STRIKES: f64 = 3.0;

impl Backend {
    pub(super) fn new(now: Ticks) -> Self {
        let (heard, since, rated_at, ticked) = (now, now, now, now);
        Backend { size: 1.0, pace: 1.0, heard, since, rated_at, ticked, ..Backend::default() }
    }

    fn warmth(&self, now: Ticks, cold: &WarmUp) -> f64 {
        let age = self.booted.map_or(f64::MAX, |booted| (now - booted).seconds().max(0.0));
        (cold.initial_capacity + (1.0 - cold.initial_capacity) * age / cold.ramp_time.seconds().max(1e-4))
            .min(1.0)
    }

    pub(super) fn hear(&mut self, note: ToBackend, now: Ticks, cold: &WarmUp) {
        match note {
            ToBackend::Listed(entry) => {
                if entry.started_at != self.booted && entry.started_at.is_some() {
                    let (inbox, out) = (std::mem::take(&mut self.inbox), std::mem::take(&mut self.out));
                    *self = Backend { inbox, out, ..Backend::new(now) };
                }
                self.listed = entry.status == BackendStatus::Ready;
                self.size = if entry.capacity > 0.0 { entry.capacity } else { 1.0 };
                (self.booted, self.near) = (entry.started_at, entry.local);
            }
            ToBackend::Unlisted => self.listed = false,
            ToBackend::Sent { txn, no, work } => {
                self.out.insert((txn, no), now);
                self.sent_rate = self.sent_rate * faded(self.rated_at, now) + work / SETTLE_SPAN;
                self.rated_at = now;
                self.cold_credit -= work;
            }
            ToBackend::Ended { txn, no, outcome, relative, kept } => {
                let Some(sent) = self.out.remove(&(txn, no)) else {
                    return;
                };
                match outcome {
                    Outcome::Succeeded => {
                        self.heard = now;
                        self.kept_until = now + kept;
                        self.strikes *= 0.5;
                        self.pace += 0.1 * (relative.min(20.0) - self.pace);
                    }
                    Outcome::Cancelled | Outcome::NotSent => {}
                    // A server that turns all away at once has nothing out and would look the emptiest.
                    _ if sent >= self.since => self.strikes += 1.0,
                    _ => {}
                }
            }
            ToBackend::Tick { patience, warm_rate, rest } => {
                let stuck = self.out.values().filter(|&&sent| now - sent > patience.times(2.0));
                self.stuck = stuck.count() as f64;
                let gap = (now - self.ticked).seconds();
                self.ticked = now;
                let budget = warm_rate * self.size * self.warmth(now, cold);
                self.cold_credit = (self.cold_credit + budget * gap).min(budget * 0.5);
                // Against a whole fleet started anew: nobody to go by, so one at a time shows what it can do.
                if warm_rate == 0.0 && self.out.is_empty() {
                    self.cold_credit = self.cold_credit.max(1e-6);
                }
                if self.aside_until.is_some_and(|until| now >= until) {
                    self.aside_until = None;
                    self.strikes = STRIKES - 1.0;
                    self.since = now;
                }
                if self.aside_until.is_none() && self.ails(now, patience) {
                    self.aside_until = Some(now + rest);
                }
            }
        }
    }

    pub(super) fn stirs(&self, now: Ticks, cold: &WarmUp) -> bool {
        let (idle, struck) = (self.out.is_empty(), self.strikes >= STRIKES);
        !idle || struck || self.aside_until.is_some() || self.warmth(now, cold) < 1.0
    }

    fn ails(&self, now: Ticks, patience: Ticks) -> bool {
        // One txn long overdue tells as much as several a little: in a wide fleet a door has only one there.
        let ages = self.out.values().filter(|&&sent| sent >= self.since).map(|&sent| now - sent);
        let overdue = ages.filter(|&age| age > patience).map(|age| age.seconds() / patience.seconds());
        let silent = now - self.heard > patience && overdue.sum::<f64>() >= 2.0;
        silent || self.strikes >= STRIKES
    }

    pub(super) fn offer(&self, now: Ticks, cold: &WarmUp) -> Offer {
        let warmth = self.warmth(now, cold);
        let out = self.out.len() as f64;
        Offer {
            near: self.near,
            size: self.size,
            strength: self.size * warmth / self.pace.max(0.1),
            out,
            stuck: self.stuck.min(out),
            cold: warmth < 1.0,
            bad: self.aside_until.is_some(),
            shut: warmth < 1.0 && self.cold_credit <= 0.0,
            sent_rate: self.sent_rate,
            rated_at: self.rated_at,
            kept_until: self.kept_until,
        }
    }
}
