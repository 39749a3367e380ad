//! One customer's store: the design, and mechanism 1, ceiling: an even part by this instance's own time.

use super::*;

/// Seconds over a few meter readings, so that one reading moves a slice little.
const SLICE_SPAN: f64 = 2.0;
/// Seconds that readings come late; longer than most, as an early share sums past the quota.
const METER_LAG: f64 = 1.5;
/// A share out of fewer txns than this is mostly chance.
const PRIOR_TXNS: f64 = 12.0;
/// A door must be able to learn that traffic has come back to it.
const SLICE_FLOOR: f64 = 0.25;
/// The part of a slice's burst that lets in a txn of any size.
const ENOUGH: f64 = 0.5;
/// The part of a whole burst that lending leaves, for each part of its worth that use beyond the quota costs.
const KEPT: f64 = 0.25;
/// Seconds of asking that show a surge.
const SURGE_SPAN: f64 = 0.5;

impl Account {
    pub(super) fn new(plan: PlanId, width: f64, now: Ticks, told: &BalancerConfig) -> Account {
        let figures = &told.plans[plan.0];
        let (slice, tokens, filled, reviewed) = (1.0 / width, figures.burst / width, now, now);
        let mut account = Account { plan, width, slice, tokens, filled, reviewed, ..Account::default() };
        // What was spent before this instance began is unknown, so only time since then counts as refilled.
        let since = (now - told.started_at).seconds();
        // What others spent before is unknown too: of what may be lent, the even part.
        account.unclaimed = figures.burst * (KEPT + (1.0 - KEPT) / width);
        account.ceiling = (since * figures.hard_limit_rate / width).min(account.ceiling_most(figures));
        account
    }

    pub(super) fn ceiling_most(&self, plan: &Plan) -> f64 {
        plan.hard_limit_burst / self.width
    }

    pub(super) fn refill(&mut self, now: Ticks, plan: &Plan, told: &BalancerConfig) {
        let gap = (now - self.filled).seconds();
        self.filled = now;
        self.tokens = (self.tokens + plan.rate * self.slice * gap).min(plan.burst * self.slice);
        // The meter is late: others have half of a surge at once, and with no reading all that is theirs.
        self.asked *= (-gap / SURGE_SPAN).exp();
        let surging = 0.5 * self.asked * (1.0 / self.slice - 1.0);
        let others = surging.max(self.metered * plan.rate - self.let_aligned);
        let others = if self.current(now) { others } else { plan.rate * (1.0 - 1.0 / self.width) };
        self.unclaimed = (self.unclaimed + (plan.rate - others) * gap).min(plan.burst);
        let ceiling = self.ceiling + plan.hard_limit_rate / self.width * gap;
        self.ceiling = ceiling.min(self.ceiling_most(plan));
        let period = told.meter_period.max(Ticks::SECOND.times(0.5));
        if now - self.reviewed >= period {
            self.review(now, plan);
        }
    }

    pub(super) fn current(&self, now: Ticks) -> bool {
        self.read_at.is_some_and(|at| (now - at).seconds() < SLICE_SPAN)
    }

    /// The design's slice: this door's share of what all doors let through.
    fn review(&mut self, now: Ticks, plan: &Plan) {
        let gap = (now - self.reviewed).seconds();
        self.reviewed = now;
        let weight = 1.0 - (-gap / SLICE_SPAN).exp();
        self.let_through += weight * (self.let_since / gap - self.let_through);
        self.let_since = 0.0;
        // Readings come late: what is compared with them is held back as long.
        let lag = 1.0 - (-gap / METER_LAG).exp();
        self.let_aligned += lag * (self.let_through - self.let_aligned);
        let current = self.current(now);
        if current {
            self.metered += weight * (self.reading - self.metered);
        }
        let even = 1.0 / self.width;
        if current && plan.rate > 0.0 {
            // Few txns tell little of a share: the even one counts as so many more of them.
            let prior = PRIOR_TXNS * self.mean_cost / SLICE_SPAN;
            let share = (self.let_aligned + prior * even) / (self.metered * plan.rate + prior);
            self.slice = share.clamp(SLICE_FLOOR * even, (2.0 * self.slice).min(1.0));
        } else {
            self.slice += weight * (even - self.slice);
        }
    }

    pub(super) fn ask(&mut self, cost: f64, again: bool, plan: &Plan) -> QuotaDecision {
        // The next try may come through any of the customer's doors: some other one has refilled sooner.
        self.asked += cost / SURGE_SPAN;
        // A repeat counts from its first try and often comes past the SLA time, so it must find more left.
        let again = f64::from(u8::from(again));
        let others = (self.width - 1.0).max(1.0);
        let wait = |missing: f64, rate: f64| {
            let span = Ticks::SECOND.times(missing / rate.max(1e-6) / others);
            QuotaRejection { retry_after: Some(span) }
        };
        if self.passes_ceiling(cost, plan) {
            return Err(wait(cost - self.ceiling, plan.hard_limit_rate / self.width));
        }
        // Else a slice below one txn never admits it: a fair part of a full one is enough, the rest is debt.
        let needed = cost.min(ENOUGH * plan.burst * self.slice) * (1.0 + again);
        // A quota mostly unclaimed is lent from, down to what being wrong costs; the slice is left no debt.
        let beyond = plan.excess_cost - plan.excess_value;
        let kept = KEPT * (beyond.max(0.0) + again);
        let lent = self.unclaimed - cost.min(ENOUGH * plan.burst) >= kept * plan.burst;
        if plan.rate > 0.0 && !lent && self.tokens < needed - 1e-9 {
            return Err(wait(needed - self.tokens, plan.rate * self.slice));
        }
        let weight = if self.mean_cost > 0.0 { 0.1 } else { 1.0 };
        self.mean_cost += weight * (cost - self.mean_cost);
        let least = if self.tokens < needed - 1e-9 { self.tokens.min(0.0) } else { f64::MIN };
        self.take(cost, least);
        Ok(())
    }

    /// A first submission's units, from the ceiling too; the slice is left with `least` at least.
    pub(super) fn take(&mut self, cost: f64, least: f64) {
        self.ceiling -= cost;
        self.spend(cost);
        self.tokens = self.tokens.max(least);
    }

    pub(super) fn passes_ceiling(&self, cost: f64, plan: &Plan) -> bool {
        plan.hard_limit_rate > 0.0 && self.ceiling < cost
    }

    pub(super) fn spend(&mut self, cost: f64) {
        self.tokens -= cost;
        self.unclaimed -= cost;
        self.let_since += cost;
    }
}
