//! One customer's account: the design's share, and mechanism 1, the hard limit: an even part, by this instance's time.

use super::*;

/// Seconds over a few meter readings, so that one reading moves a share little.
const SHARE_SPAN: f64 = 2.0;
/// Seconds that readings come late; longer than most, as an early share sums past the quota.
const METER_LAG: f64 = 1.5;
/// A share out of fewer requests than this is mostly chance.
const PRIOR_REQUESTS: f64 = 12.0;
/// Of the even share: a gateway must be able to learn that traffic has come back to it.
const MIN_SHARE: f64 = 0.25;
/// The part of a share's burst that admits a request of any cost.
const SUFFICIENT_PART: f64 = 0.5;
/// The part of a burst that lending leaves, for each part of its value that use beyond the quota costs.
const LENDING_RESERVE: f64 = 0.25;
/// Seconds of requests that show a surge.
const SURGE_SPAN: f64 = 0.5;

impl Account {
    pub(super) fn new(plan: PlanId, subset_size: f64, ctx: Context) -> Account {
        let limits = ctx.plan(plan);
        let (share, tokens) = (1.0 / subset_size, limits.burst / subset_size);
        let (refilled_at, reviewed_at) = (ctx.now, ctx.now);
        let mut account =
            Account { plan, subset_size, share, tokens, refilled_at, reviewed_at, ..Account::default() };
        // What was spent before this instance began is unknown, so only time since then counts as refilled.
        let since = ctx.since(ctx.config.started_at);
        // What others spent before is unknown too: of what may be lent, the even part.
        account.unclaimed = limits.burst * (LENDING_RESERVE + (1.0 - LENDING_RESERVE) / subset_size);
        let refilled = since * limits.hard_limit_rate / subset_size;
        account.limit_tokens = refilled.min(account.max_limit_tokens(limits));
        account
    }

    pub(super) fn max_limit_tokens(&self, plan: &Plan) -> f64 {
        plan.hard_limit_burst / self.subset_size
    }

    pub(super) fn refill(&mut self, plan: &Plan, ctx: Context) {
        let gap = ctx.since(self.refilled_at);
        self.refilled_at = ctx.now;
        self.tokens = (self.tokens + plan.rate * self.share * gap).min(plan.burst * self.share);
        // The meter is late: others have half of a surge at once, and with no reading all that is theirs.
        self.demand *= (-gap / SURGE_SPAN).exp();
        let surging = 0.5 * self.demand * (1.0 / self.share - 1.0);
        let others = surging.max(self.metered_usage * plan.rate - self.lagged_rate);
        let even_others = plan.rate * (1.0 - 1.0 / self.subset_size);
        let others = if self.has_current_reading(ctx) { others } else { even_others };
        self.unclaimed = (self.unclaimed + (plan.rate - others) * gap).min(plan.burst);
        let limit_tokens = self.limit_tokens + plan.hard_limit_rate / self.subset_size * gap;
        self.limit_tokens = limit_tokens.min(self.max_limit_tokens(plan));
        let period = ctx.config.meter_period.max(Ticks::SECOND.times(0.5));
        if ctx.now - self.reviewed_at >= period {
            self.review(plan, ctx);
        }
    }

    pub(super) fn has_current_reading(&self, ctx: Context) -> bool {
        self.read_at.is_some_and(|at| ctx.since(at) < SHARE_SPAN)
    }

    /// The design's share: this gateway's part of what all gateways admit.
    fn review(&mut self, plan: &Plan, ctx: Context) {
        let gap = ctx.since(self.reviewed_at);
        self.reviewed_at = ctx.now;
        let weight = 1.0 - (-gap / SHARE_SPAN).exp();
        self.admitted_rate += weight * (self.admitted / gap - self.admitted_rate);
        self.admitted = 0.0;
        // Readings come late: what is compared with them is held back as long.
        let lag = 1.0 - (-gap / METER_LAG).exp();
        self.lagged_rate += lag * (self.admitted_rate - self.lagged_rate);
        let current = self.has_current_reading(ctx);
        if current {
            self.metered_usage += weight * (self.reading - self.metered_usage);
        }
        let even = 1.0 / self.subset_size;
        if current && plan.rate > 0.0 {
            // Few requests tell little of a share: the even one counts as so many more of them.
            let prior = PRIOR_REQUESTS * self.mean_cost / SHARE_SPAN;
            let share = (self.lagged_rate + prior * even) / (self.metered_usage * plan.rate + prior);
            self.share = share.clamp(MIN_SHARE * even, (2.0 * self.share).min(1.0));
        } else {
            self.share += weight * (even - self.share);
        }
    }

    /// Charges a request if it is inside the share or the unclaimed quota, and inside the hard limit.
    pub(super) fn try_charge(&mut self, cost: f64, retry: bool, plan: &Plan) -> QuotaDecision {
        // The next try may come through any of the customer's gateways: some other one has refilled sooner.
        self.demand += cost / SURGE_SPAN;
        // A retry counts from its first try and often comes past the SLA time, so it must find more left.
        let retry = f64::from(u8::from(retry));
        let others = (self.subset_size - 1.0).max(1.0);
        let wait = |missing: f64, rate: f64| Ticks::SECOND.times(missing / rate.max(1e-6) / others);
        let rejection = |wait| QuotaRejection { retry_after: Some(wait) };
        if self.exceeds_hard_limit(cost, plan) {
            let rate = plan.hard_limit_rate / self.subset_size;
            return Err(rejection(wait(cost - self.limit_tokens, rate)));
        }
        // Else a share below one request never admits it: a fair part of a full one is enough, the rest is debt.
        let needed = cost.min(SUFFICIENT_PART * plan.burst * self.share) * (1.0 + retry);
        // A quota mostly unclaimed is lent from, down to what being wrong costs; the share is left no debt.
        let excess = plan.excess_cost - plan.excess_value;
        let reserve = LENDING_RESERVE * (excess.max(0.0) + retry);
        let lends = self.unclaimed - cost.min(SUFFICIENT_PART * plan.burst) >= reserve * plan.burst;
        if plan.rate > 0.0 && !lends && self.tokens < needed - 1e-9 {
            return Err(rejection(wait(needed - self.tokens, plan.rate * self.share)));
        }
        let weight = if self.mean_cost > 0.0 { 0.1 } else { 1.0 };
        self.mean_cost += weight * (cost - self.mean_cost);
        let min_tokens = if self.tokens < needed - 1e-9 { self.tokens.min(0.0) } else { f64::MIN };
        self.charge(cost, min_tokens);
        Ok(())
    }

    /// Charges a first attempt, to the hard limit too; the share is left with `min_tokens` at least.
    pub(super) fn charge(&mut self, cost: f64, min_tokens: f64) {
        self.limit_tokens -= cost;
        self.spend(cost);
        self.tokens = self.tokens.max(min_tokens);
    }

    pub(super) fn exceeds_hard_limit(&self, cost: f64, plan: &Plan) -> bool {
        plan.hard_limit_rate > 0.0 && self.limit_tokens < cost
    }

    pub(super) fn spend(&mut self, cost: f64) {
        self.tokens -= cost;
        self.unclaimed -= cost;
        self.admitted += cost;
    }
}
