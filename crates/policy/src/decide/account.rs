//! The account of one customer: this gateway's share of the quota, and its even part of the hard limit.

use super::*;

/// Time constant of the averages behind a share: a few meter readings, so that one reading changes it little.
const SHARE_EMA_SECONDS: f64 = 2.0;
/// Assumed delay of meter readings. Longer than most: shares that change early sum to more than the quota.
const METER_LAG_SECONDS: f64 = 1.5;
/// Requests, divided evenly among the gateways, that are added to the admitted ones: fewer give a noisy ratio.
const PRIOR_REQUESTS: f64 = 12.0;
/// The smallest share, relative to the even share: without one, a gateway could not notice that traffic has returned.
const MIN_FRACTION_OF_EVEN_SHARE: f64 = 0.25;
/// A share filled to this fraction of its burst admits a request of any cost.
const ADMITTING_FRACTION: f64 = 0.5;
/// The fraction of the burst that lending leaves in reserve, per unit of net cost of use beyond the quota.
const LENDING_RESERVE: f64 = 0.25;
/// Time constant of the demand rate, by which a surge is detected.
const SURGE_EMA_SECONDS: f64 = 0.5;

impl Account {
    pub(super) fn new(plan: PlanId, subset_size: f64, ctx: Context) -> Account {
        let limits = ctx.plan(plan);
        let (share, tokens) = (1.0 / subset_size, limits.burst / subset_size);
        let (refilled_at, share_updated_at) = (ctx.now, ctx.now);
        let mut account =
            Account { plan, subset_size, share, tokens, refilled_at, share_updated_at, ..Account::default() };
        // Use before this gateway started is unknown, so the hard limit refills only from the start on.
        let since = ctx.since(ctx.config.started_at);
        // Use at other gateways is unknown too, so only an even part of the lendable burst counts as unused.
        account.unused_quota = limits.burst * (LENDING_RESERVE + (1.0 - LENDING_RESERVE) / subset_size);
        let refilled = since * limits.hard_limit_rate / subset_size;
        account.hard_limit_tokens = refilled.min(account.max_hard_limit_tokens(limits));
        account
    }

    pub(super) fn max_hard_limit_tokens(&self, plan: &Plan) -> f64 {
        plan.hard_limit_burst / self.subset_size
    }

    pub(super) fn refill(&mut self, plan: &Plan, ctx: Context) {
        let gap = ctx.since(self.refilled_at);
        self.refilled_at = ctx.now;
        self.tokens = (self.tokens + plan.rate * self.share * gap).min(plan.burst * self.share);
        // Readings are late: half of a surge here is assumed at the other gateways; without readings, their even part.
        self.demand_rate *= (-gap / SURGE_EMA_SECONDS).exp();
        let surging = 0.5 * self.demand_rate * (1.0 / self.share - 1.0);
        let others = surging.max(self.metered_usage * plan.rate - self.lagged_rate);
        let even_others = plan.rate * (1.0 - 1.0 / self.subset_size);
        let others = if self.has_current_reading(ctx) { others } else { even_others };
        self.unused_quota = (self.unused_quota + (plan.rate - others) * gap).min(plan.burst);
        let hard_limit_tokens = self.hard_limit_tokens + plan.hard_limit_rate / self.subset_size * gap;
        self.hard_limit_tokens = hard_limit_tokens.min(self.max_hard_limit_tokens(plan));
        let period = ctx.config.meter_period.max(Ticks::SECOND.times(0.5));
        if ctx.now - self.share_updated_at >= period {
            self.update_share(plan, ctx);
        }
    }

    pub(super) fn has_current_reading(&self, ctx: Context) -> bool {
        self.meter_read_at.is_some_and(|at| ctx.since(at) < SHARE_EMA_SECONDS)
    }

    /// Sets the share to the fraction of all admitted units that this gateway admits.
    fn update_share(&mut self, plan: &Plan, ctx: Context) {
        let gap = ctx.since(self.share_updated_at);
        self.share_updated_at = ctx.now;
        let weight = 1.0 - (-gap / SHARE_EMA_SECONDS).exp();
        self.admitted_rate += weight * (self.admitted / gap - self.admitted_rate);
        self.admitted = 0.0;
        // Readings are late, so the rate that is compared with them is delayed as much.
        let lag = 1.0 - (-gap / METER_LAG_SECONDS).exp();
        self.lagged_rate += lag * (self.admitted_rate - self.lagged_rate);
        let current = self.has_current_reading(ctx);
        if current {
            self.metered_usage += weight * (self.meter_reading - self.metered_usage);
        }
        let even = 1.0 / self.subset_size;
        if current && plan.rate > 0.0 {
            let prior = PRIOR_REQUESTS * self.mean_cost / SHARE_EMA_SECONDS;
            let share = (self.lagged_rate + prior * even) / (self.metered_usage * plan.rate + prior);
            self.share = share.clamp(MIN_FRACTION_OF_EVEN_SHARE * even, (2.0 * self.share).min(1.0));
        } else {
            self.share += weight * (even - self.share);
        }
    }

    /// Charges a request if the share or the unused quota admits it, and the hard limit too.
    pub(super) fn try_charge(&mut self, cost: f64, retry: bool, plan: &Plan) -> QuotaDecision {
        self.demand_rate += cost / SURGE_EMA_SECONDS;
        // The SLA time of a retry runs from the first request and has often passed, so a retry needs more tokens.
        let retry = f64::from(u8::from(retry));
        // After a rejection the client may retry at any of its gateways, one of which has refilled earlier.
        let others = (self.subset_size - 1.0).max(1.0);
        let wait = |missing: f64, rate: f64| Ticks::SECOND.times(missing / rate.max(1e-6) / others);
        let rejection = |wait| QuotaRejection { retry_after: Some(wait) };
        if self.exceeds_hard_limit(cost, plan) {
            let rate = plan.hard_limit_rate / self.subset_size;
            return Err(rejection(wait(cost - self.hard_limit_tokens, rate)));
        }
        // A share smaller than the cost would never admit it: a fraction of a full share is enough, the rest is debt.
        let needed = cost.min(ADMITTING_FRACTION * plan.burst * self.share) * (1.0 + retry);
        // Unused quota is lent down to a reserve, which grows with the cost of an error; lending adds no debt.
        let excess = plan.excess_cost - plan.excess_value;
        let reserve = LENDING_RESERVE * (excess.max(0.0) + retry);
        let lends = self.unused_quota - cost.min(ADMITTING_FRACTION * plan.burst) >= reserve * plan.burst;
        if plan.rate > 0.0 && !lends && self.tokens < needed - 1e-9 {
            return Err(rejection(wait(needed - self.tokens, plan.rate * self.share)));
        }
        let weight = if self.mean_cost > 0.0 { 0.1 } else { 1.0 };
        self.mean_cost += weight * (cost - self.mean_cost);
        let min_tokens = if self.tokens < needed - 1e-9 { self.tokens.min(0.0) } else { f64::MIN };
        self.charge(cost, min_tokens);
        Ok(())
    }

    pub(super) fn exceeds_hard_limit(&self, cost: f64, plan: &Plan) -> bool {
        plan.hard_limit_rate > 0.0 && self.hard_limit_tokens < cost
    }
}
