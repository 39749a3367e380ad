//! The tracker of one backend: ejection if it is unresponsive or failing, and a work budget while it warms up.

use super::*;

/// The failures that eject a backend: one may be chance, three without a success in between are not.
const FAILURES_TO_EJECT: f64 = 3.0;

impl Backend {
    pub(crate) fn handle(&mut self, message: BackendMessage, ctx: Context) {
        match message {
            BackendMessage::Listed(entry) => self.update(entry, ctx.now),
            BackendMessage::Unlisted => self.ready = false,
            BackendMessage::AttemptSent { txn, attempt, work } => {
                self.in_flight.insert((txn, attempt), ctx.now);
                self.sent_rate.add(work, RATE_EMA_SECONDS, ctx);
                self.warm_up_credit -= work;
            }
            BackendMessage::AttemptEnded { txn, attempt, outcome, relative_latency } => {
                if let Some(sent_at) = self.in_flight.remove(&(txn, attempt)) {
                    self.record_outcome(outcome, sent_at, relative_latency, ctx);
                }
            }
            BackendMessage::Tick { overdue_after, warm_rate, ejection_time } => {
                let stuck = self.in_flight.values().filter(|&&at| ctx.now - at > overdue_after.times(2.0));
                self.stuck = stuck.count() as f64;
                self.refill_warm_up_credit(warm_rate, ctx);
                self.update_ejection(overdue_after, ejection_time, ctx.now);
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
            // Rejections count too: a backend that rejects all has nothing in flight and would look the least loaded.
            _ if sent_at >= self.observed_since => self.failures += 1.0,
            _ => {}
        }
    }

    fn warm_up_ratio(&self, ctx: Context) -> f64 {
        let age = self.started_at.map_or(f64::MAX, |started| ctx.since(started).max(0.0));
        ctx.config.warm_up.capacity_after(age)
    }

    fn refill_warm_up_credit(&mut self, warm_rate: f64, ctx: Context) {
        let gap = ctx.since(self.ticked_at);
        self.ticked_at = ctx.now;
        let budget = warm_rate * self.capacity * self.warm_up_ratio(ctx);
        self.warm_up_credit = (self.warm_up_credit + budget * gap).min(budget * 0.5);
        // If all backends have just started, none gives a rate to compare with: one attempt at a time.
        if warm_rate == 0.0 && self.in_flight.is_empty() {
            self.warm_up_credit = self.warm_up_credit.max(1e-6);
        }
    }

    fn update_ejection(&mut self, overdue_after: Ticks, ejection_time: Ticks, now: Ticks) {
        if self.ejected_until.is_some_and(|until| now >= until) {
            self.ejected_until = None;
            self.failures = FAILURES_TO_EJECT - 1.0;
            self.observed_since = now;
        }
        if self.ejected_until.is_none() && self.is_unhealthy(now, overdue_after) {
            self.ejected_until = Some(now + ejection_time);
        }
    }

    /// Returns whether the snapshot may change with time alone.
    pub(crate) fn is_active(&self, ctx: Context) -> bool {
        let failing = self.failures >= FAILURES_TO_EJECT;
        !self.in_flight.is_empty() || failing || self.ejected_until.is_some() || self.warm_up_ratio(ctx) < 1.0
    }

    fn is_unhealthy(&self, now: Ticks, overdue_after: Ticks) -> bool {
        // One long overdue attempt counts as much as several short ones: one of many gateways has only one in flight.
        let ages = self.in_flight.values().filter(|&&at| at >= self.observed_since).map(|&at| now - at);
        let late = ages.filter(|&age| age > overdue_after).map(|age| age.seconds() / overdue_after.seconds());
        let unresponsive = now - self.last_success > overdue_after && late.sum::<f64>() >= 2.0;
        unresponsive || self.failures >= FAILURES_TO_EJECT
    }

    pub(crate) fn snapshot(&self, ctx: Context) -> BackendSnapshot {
        let warm_up_ratio = self.warm_up_ratio(ctx);
        let in_flight = self.in_flight.len() as f64;
        BackendSnapshot {
            local: self.local,
            capacity: self.capacity,
            effective_capacity: self.capacity * warm_up_ratio / self.relative_latency.max(0.1),
            in_flight,
            stuck: self.stuck.min(in_flight),
            warming_up: warm_up_ratio < 1.0,
            ejected: self.ejected_until.is_some(),
            out_of_credit: warm_up_ratio < 1.0 && self.warm_up_credit <= 0.0,
            sent_rate: self.sent_rate,
            connected_until: self.connected_until,
        }
    }
}
