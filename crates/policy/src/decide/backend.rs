//! One backend; mechanisms 3, ejection (unresponsive or failing, it rests), and 4, its part of a budget while warming up.

use super::*;

/// One failure is chance, three with no success between are not.
const MAX_FAILURES: f64 = 3.0;

impl Backend {
    pub(crate) fn handle(&mut self, message: BackendMessage, ctx: Context) {
        match message {
            BackendMessage::Listed(entry) => self.update(entry, ctx.now),
            BackendMessage::Unlisted => self.ready = false,
            BackendMessage::AttemptSent { txn, attempt, work } => {
                self.in_flight.insert((txn, attempt), ctx.now);
                self.sent_rate.add(work, RATE_SPAN, ctx);
                self.warm_up_credit -= work;
            }
            BackendMessage::AttemptEnded { txn, attempt, outcome, relative_latency } => {
                if let Some(sent_at) = self.in_flight.remove(&(txn, attempt)) {
                    self.record_outcome(outcome, sent_at, relative_latency, ctx);
                }
            }
            BackendMessage::Tick { patience, ready_rate, ejection } => {
                let stuck = self.in_flight.values().filter(|&&sent| ctx.now - sent > patience.times(2.0));
                self.stuck = stuck.count() as f64;
                self.refill_warm_up_credit(ready_rate, ctx);
                self.review_ejection(patience, ejection, ctx.now);
            }
        }
    }

    fn record_outcome(&mut self, outcome: Outcome, sent_at: Ticks, relative_latency: f64, ctx: Context) {
        match outcome {
            Outcome::Succeeded => {
                self.last_success = ctx.now;
                self.connected_until = ctx.now + ctx.config.idle_timeout;
                self.failures *= 0.5;
                self.relative_latency += 0.1 * (relative_latency.min(20.0) - self.relative_latency);
            }
            Outcome::Cancelled | Outcome::NotSent => {}
            // A backend that rejects all at once has nothing in flight and would look the emptiest.
            _ if sent_at >= self.observed_since => self.failures += 1.0,
            _ => {}
        }
    }

    fn warmth(&self, ctx: Context) -> f64 {
        let age = self.started_at.map_or(f64::MAX, |started| ctx.since(started).max(0.0));
        ctx.config.warm_up.capacity_after(age)
    }

    fn refill_warm_up_credit(&mut self, ready_rate: f64, ctx: Context) {
        let gap = ctx.since(self.ticked_at);
        self.ticked_at = ctx.now;
        let budget = ready_rate * self.capacity * self.warmth(ctx);
        self.warm_up_credit = (self.warm_up_credit + budget * gap).min(budget * 0.5);
        // Against a whole fleet started anew: nobody to go by, so one at a time shows what it can do.
        if ready_rate == 0.0 && self.in_flight.is_empty() {
            self.warm_up_credit = self.warm_up_credit.max(1e-6);
        }
    }

    fn review_ejection(&mut self, patience: Ticks, ejection: Ticks, now: Ticks) {
        if self.ejected_until.is_some_and(|until| now >= until) {
            self.ejected_until = None;
            self.failures = MAX_FAILURES - 1.0;
            self.observed_since = now;
        }
        if self.ejected_until.is_none() && self.is_unhealthy(now, patience) {
            self.ejected_until = Some(now + ejection);
        }
    }

    /// Whether time alone may change what it shows.
    pub(crate) fn is_active(&self, ctx: Context) -> bool {
        let failing = self.failures >= MAX_FAILURES;
        !self.in_flight.is_empty() || failing || self.ejected_until.is_some() || self.warmth(ctx) < 1.0
    }

    fn is_unhealthy(&self, now: Ticks, patience: Ticks) -> bool {
        // One request long overdue tells as much as several a little: in a wide fleet a gateway has only one there.
        let ages =
            self.in_flight.values().filter(|&&sent| sent >= self.observed_since).map(|&sent| now - sent);
        let overdue = ages.filter(|&age| age > patience).map(|age| age.seconds() / patience.seconds());
        let unresponsive = now - self.last_success > patience && overdue.sum::<f64>() >= 2.0;
        unresponsive || self.failures >= MAX_FAILURES
    }

    pub(crate) fn snapshot(&self, ctx: Context) -> BackendSnapshot {
        let warmth = self.warmth(ctx);
        let in_flight = self.in_flight.len() as f64;
        BackendSnapshot {
            local: self.local,
            capacity: self.capacity,
            strength: self.capacity * warmth / self.relative_latency.max(0.1),
            in_flight,
            stuck: self.stuck.min(in_flight),
            warming_up: warmth < 1.0,
            ejected: self.ejected_until.is_some(),
            exhausted: warmth < 1.0 && self.warm_up_credit <= 0.0,
            sent_rate: self.sent_rate,
            connected_until: self.connected_until,
        }
    }
}
