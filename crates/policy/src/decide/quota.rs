//! Quota enforcement: the local account, the shared counter, or the gateways that own a quota decide each check.

use super::*;

/// The counter decides for customers whose share's burst is below this fraction of the highest request cost.
const MIN_COUNTED_BURST: f64 = 0.15;
/// The increase of that fraction while the counter answers all calls.
const COUNTED_BURST_RANGE: f64 = 0.45;
/// The gateways that own the quota of a customer whose share's burst is below the highest request cost.
const OWNERS_PER_CUSTOMER: u32 = 2;
/// An owner that rejects more than this fraction of a customer's claims notifies the customer's gateways.
const EXHAUSTED_REJECTED_FRACTION: f64 = 0.5;
/// How long gateways act on that notification.
const EXHAUSTED_SECONDS: f64 = 10.0;
/// A request waits for an owner only if its client waits for at least this many of the longest recent stalls.
const MIN_STALLS_LEFT: f64 = 1.3;
/// The client must also wait for at least this many of the shortest SLA times.
const MIN_SLA_TIMES_LEFT: f64 = 2.25;
/// The shortest counter window: longer than a call takes.
const MIN_WINDOW_SECONDS: f64 = 1.0;
/// The longest counter window: two windows and a reserve must fit into the 60 s that a key lives at most.
const MAX_WINDOW_SECONDS: f64 = 25.0;
/// A reply that takes longer than this fraction of the call timeout indicates a queue at the counter.
const QUEUED_REPLY_FRACTION: f64 = 0.5;
/// Time constant with which the fraction of checks that call the counter recovers.
const CALL_RECOVERY_SECONDS: f64 = 4.0;
/// Time constant with which larger shares return to the counter: long, so that they do not alternate.
const COVERAGE_RECOVERY_SECONDS: f64 = 600.0;
/// Weight of the newest request in averages over requests.
const EMA_WEIGHT: f64 = 0.1;

impl QuotaEnforcer {
    /// Handles a message, and returns the answer to a check if the message decides one.
    pub(super) fn handle(&mut self, message: QuotaMessage, ctx: Context) -> CheckAnswer {
        match message {
            QuotaMessage::Check(check) => self.check(check, ctx),
            QuotaMessage::Peer(from, message) => self.handle_peer_message(from, message, ctx),
            QuotaMessage::RequestTimedOut(request) => {
                let pending = self.pending_owner_requests.remove(&request)?;
                self.query_owner(pending.check, ctx)
            }
            QuotaMessage::AttemptEnded { claim, metered_usage, extra_cost } => {
                let account = self.account(&claim, ctx);
                account.spend(extra_cost);
                account.record_reading(metered_usage, ctx.now);
                None
            }
            QuotaMessage::CounterReplied(key, reply) => self.handle_counter_reply(key, reply, ctx),
        }
    }

    fn check(&mut self, check: QuotaCheck, ctx: Context) -> CheckAnswer {
        let QuotaCheck { txn, claim, .. } = check;
        let (plan, max_cost) = (ctx.plan(claim.plan), ctx.config.max_cost);
        self.evict_idle_accounts(ctx);
        let counted_burst = (MIN_COUNTED_BURST + COUNTED_BURST_RANGE * self.coverage) * max_cost;
        let account = self.account(&claim, ctx);
        // When the subset grows, this gateway's part of the hard limit must shrink.
        account.subset_size = f64::from(claim.subset_size);
        let quota_binds = plan.rate > 0.0 && plan.excess_cost >= plan.excess_value;
        let over_limit = account.exceeds_hard_limit(claim.cost, plan);
        // Divided among many gateways, a share's burst is below one request: the total of all gateways must decide.
        let share_burst = plan.burst / account.subset_size;
        let decided_together = quota_binds && !over_limit;
        if decided_together && ctx.config.peer_messages && share_burst < max_cost {
            return self.query_owner(check, ctx);
        }
        let counted = decided_together && ctx.config.counter_timeout.is_some() && share_burst < counted_burst;
        if let Some(span) = counter_window(plan).filter(|_| counted) {
            return self.call_counter(check, span, ctx);
        }
        // If use beyond the quota earns more than it costs, only the hard limit and the load restrict it.
        let decision = account.try_charge(claim.cost, claim.retry, plan);
        if decision.is_err() && !(quota_binds || over_limit) && !check.sheds_excess {
            account.charge(claim.cost, account.tokens);
            return Some(AdmissionMessage::QuotaGranted(txn));
        }
        Some(AdmissionMessage::from_decision(txn, decision))
    }

    /// Calls the shared counter, or decides without it: for retries, full windows, and checks not chosen for a call.
    fn call_counter(&mut self, check: QuotaCheck, span: Ticks, ctx: Context) -> CheckAnswer {
        let claim = check.claim;
        let window = ctx.now.0.div_euclid(span.0);
        let pending = PendingCounterCall { check, window, called_at: ctx.now };
        let limit = ctx.plan(claim.plan).rate * span.seconds();
        let account = self.account(&claim, ctx);
        let window_full = account.window == window && account.window_total + claim.cost > limit;
        let may_call = !(claim.retry || window_full);
        let elapsed = ctx.since(std::mem::replace(&mut self.call_ratio_at, ctx.now));
        self.call_ratio = 1.0 - (1.0 - self.call_ratio) * (-elapsed / CALL_RECOVERY_SECONDS).exp();
        self.coverage = 1.0 - (1.0 - self.coverage) * (-elapsed / COVERAGE_RECOVERY_SECONDS).exp();
        self.mean_cost += EMA_WEIGHT * (claim.cost - self.mean_cost);
        if may_call && check.random < 1.0 - (1.0 - self.call_ratio).powf(claim.cost / self.mean_cost) {
            let key = CounterKey((claim.customer.0 << 12) | (window as u64 & 0xfff));
            let expire_after = span.times(2.0) + Ticks::SECOND;
            self.actions.push(Action::IncrementCounter { key, amount: claim.cost, expire_after });
            self.pending_counter_calls.push(key, pending);
            return None;
        }
        self.counted_ratio -= EMA_WEIGHT * f64::from(u8::from(may_call)) * self.counted_ratio;
        let grant = may_call && self.admits_without_answer(&claim, ctx);
        self.finish(&check, grant, Some(pending.window_end(span) - ctx.now), ctx)
    }

    fn handle_counter_reply(&mut self, key: CounterKey, reply: CounterReply, ctx: Context) -> CheckAnswer {
        let pending = self.pending_counter_calls.pop(key)?;
        let PendingCounterCall { check, window, called_at } = pending;
        let plan = ctx.plan(check.claim.plan);
        let span = counter_window(plan)?;
        let timeout = ctx.config.counter_timeout.unwrap_or_default();
        if reply == CounterReply::NotAdded || ctx.now - called_at > timeout.times(QUEUED_REPLY_FRACTION) {
            (self.call_ratio, self.coverage) = (0.5 * self.call_ratio, 0.1 * self.coverage);
        }
        let limit = plan.rate * span.seconds();
        self.counted_ratio -= EMA_WEIGHT * self.counted_ratio;
        let mut grant = self.admits_without_answer(&check.claim, ctx);
        if let CounterReply::Total(total) = reply {
            self.counted_ratio += EMA_WEIGHT;
            let account = self.account(&check.claim, ctx);
            (account.window, account.window_total) = (window, total);
            // The total covers only the checks that were counted, so it is compared with that fraction of the limit.
            self.record_decision(check.claim.plan, total <= limit * self.counted_ratio + 1e-9);
            grant = total <= limit + 1e-9;
        }
        self.finish(&check, grant, Some(pending.window_end(span) - ctx.now), ctx)
    }

    fn handle_peer_message(&mut self, from: GatewayId, message: PeerMessage, ctx: Context) -> CheckAnswer {
        if message.claim().is_some_and(|claim| !ctx.is_valid(claim)) {
            return None;
        }
        match message {
            PeerMessage::QuotaRequest { request, claim } => {
                let decision = self.decide_as_owner(&claim, ctx);
                self.send(from, PeerMessage::QuotaResponse { request, claim, decision });
            }
            PeerMessage::QuotaResponse { request, claim, decision } => {
                if self.pending_owner_requests.get(&request).is_some_and(|pending| pending.owner == from) {
                    let pending = self.pending_owner_requests.remove(&request)?;
                    return self.apply_decision(pending.check, decision, ctx);
                }
                // The request has been decided without this response.
                if decision.is_ok() {
                    self.send(from, PeerMessage::QuotaRefund { claim });
                }
            }
            PeerMessage::QuotaExhausted { customer } => {
                self.exhausted_customers.insert(customer, ctx.now);
            }
            PeerMessage::QuotaRefund { claim } => {
                self.owned_accounts.get_mut(&claim.customer)?.spend(-claim.cost);
            }
        }
        None
    }

    /// Queries the next owner. The first one is chosen at random, so that the owners' parts are used evenly.
    fn query_owner(&mut self, mut check: QuotaCheck, ctx: Context) -> CheckAnswer {
        let QuotaClaim { customer, subset_size, .. } = check.claim;
        let owners = OWNERS_PER_CUSTOMER.min(subset_size);
        if check.owners_queried >= owners {
            let grant = !check.rejected && self.admits_without_answer(&check.claim, ctx);
            return self.finish(&check, grant, Some(check.timeout), ctx);
        }
        let part = ((check.random * f64::from(owners)) as u32 + check.owners_queried) % owners;
        let offset = u64::from(part * subset_size / owners);
        let position = customer.0.wrapping_add(offset) % u64::from(subset_size);
        let owner = ctx.subset_member(&check.claim, position);
        check.owners_queried += 1;
        if owner == ctx.config.gateway {
            let decision = self.decide_as_owner(&check.claim, ctx);
            return self.apply_decision(check, decision, ctx);
        }
        let sla_times = ctx.config.products.iter().map(|product| product.sla_time);
        let min_time_left = sla_times.min().unwrap_or_default().times(MIN_SLA_TIMES_LEFT);
        if check.time_left < min_time_left.max(self.longest_stall.times(MIN_STALLS_LEFT)) {
            return self.query_owner(check, ctx);
        }
        let request = QuotaRequestId(self.requests_sent);
        self.requests_sent = self.requests_sent.wrapping_add(1);
        self.pending_owner_requests.insert(request, PendingOwnerRequest { owner, check });
        self.send(owner, PeerMessage::QuotaRequest { request, claim: check.claim });
        let timer = TimerId(u64::from(request.0));
        self.actions.push(Action::SetTimer { after: check.timeout, timer });
        None
    }

    /// Applies an owner's decision. After a rejection the next owner is queried; if there is none, the rejection stands.
    fn apply_decision(&mut self, mut check: QuotaCheck, answer: QuotaDecision, ctx: Context) -> CheckAnswer {
        check.rejected |= answer.is_err();
        if answer.is_err() && check.owners_queried < OWNERS_PER_CUSTOMER.min(check.claim.subset_size) {
            return self.query_owner(check, ctx);
        }
        if !self.is_exhausted(check.claim.customer, ctx) {
            self.record_decision(check.claim.plan, answer.is_ok());
        }
        let wait = answer.err().and_then(|rejection| rejection.retry_after);
        self.finish(&check, answer.is_ok(), wait, ctx)
    }

    /// Decides a claim by the part of the quota that this gateway owns. The requesting gateway enforces the hard limit.
    fn decide_as_owner(&mut self, claim: &QuotaClaim, ctx: Context) -> QuotaDecision {
        let plan = Plan { hard_limit_rate: 0.0, ..ctx.plan(claim.plan).clone() };
        let owners = f64::from(OWNERS_PER_CUSTOMER.min(claim.subset_size));
        let new = || Account::new(claim.plan, owners, ctx);
        let account = self.owned_accounts.entry(claim.customer).or_insert_with(new);
        account.refill(&plan, ctx);
        let decision = account.try_charge(claim.cost, claim.retry, &plan);
        account.reject_ratio += EMA_WEIGHT * (f64::from(u8::from(decision.is_err())) - account.reject_ratio);
        let exhausted = account.reject_ratio > EXHAUSTED_REJECTED_FRACTION;
        if exhausted && ctx.since(account.exhausted_sent_at) > 0.5 * EXHAUSTED_SECONDS {
            account.exhausted_sent_at = ctx.now;
            for position in 0..claim.subset_size {
                let gateway = (claim.subset_start + position) % ctx.config.gateway_count;
                self.send(GatewayId(gateway), PeerMessage::QuotaExhausted { customer: claim.customer });
            }
        }
        decision
    }

    fn send(&mut self, to: GatewayId, message: PeerMessage) {
        self.actions.push(Action::SendPeerMessage { to, message });
    }

    /// Decides a claim without an answer from an owner or the counter. It is admitted if the customer's usage is unknown
    /// and the plan's claims are granted often enough for its value to outweigh the risk of use beyond the quota.
    fn admits_without_answer(&mut self, claim: &QuotaClaim, ctx: Context) -> bool {
        let QuotaClaim { customer, plan, .. } = *claim;
        let limits = ctx.plan(plan);
        let excess = (limits.excess_cost - limits.excess_value).max(0.0);
        let known = self.is_exhausted(customer, ctx) || self.account(claim, ctx).has_current_reading(ctx);
        !known && self.grant_ratios[plan.0] > excess / (1.0 + excess)
    }

    fn is_exhausted(&self, customer: CustomerId, ctx: Context) -> bool {
        self.exhausted_customers.get(&customer).is_some_and(|&at| ctx.since(at) < EXHAUSTED_SECONDS)
    }

    fn record_decision(&mut self, plan: PlanId, grant: bool) {
        self.grant_ratios[plan.0] += EMA_WEIGHT * (f64::from(u8::from(grant)) - self.grant_ratios[plan.0]);
    }

    /// Enforces the local hard limit on a decision made elsewhere, and charges the share without adding debt.
    fn finish(&mut self, check: &QuotaCheck, grant: bool, wait: Option<Ticks>, ctx: Context) -> CheckAnswer {
        let account = self.account(&check.claim, ctx);
        if !grant || account.exceeds_hard_limit(check.claim.cost, ctx.plan(check.claim.plan)) {
            return Some(AdmissionMessage::QuotaRejected(check.txn, wait));
        }
        account.charge(check.claim.cost, account.tokens.min(0.0));
        Some(AdmissionMessage::QuotaGranted(check.txn))
    }

    /// Returns the customer's account, refilled up to now.
    fn account(&mut self, claim: &QuotaClaim, ctx: Context) -> &mut Account {
        let new = || Account::new(claim.plan, f64::from(claim.subset_size), ctx);
        let account = self.accounts.entry(claim.customer).or_insert_with(new);
        account.refill(ctx.plan(claim.plan), ctx);
        account
    }

    /// Drops full accounts with an even share: a new account of the customer would be the same.
    fn evict_idle_accounts(&mut self, ctx: Context) {
        if ctx.now - self.evicted_at < Ticks::SECOND {
            return;
        }
        self.evicted_at = ctx.now;
        self.exhausted_customers.retain(|_, at| ctx.since(*at) < EXHAUSTED_SECONDS);
        for accounts in [&mut self.accounts, &mut self.owned_accounts] {
            accounts.retain(|_, account| {
                let plan = ctx.plan(account.plan);
                account.refill(plan, ctx);
                // Not quite full: a share that returns to even grows faster than its tokens refill.
                let full = account.tokens >= 0.95 * plan.burst * account.share;
                let even = (account.share * account.subset_size - 1.0).abs() < 0.05;
                !(full && even && account.hard_limit_tokens >= account.max_hard_limit_tokens(plan))
            });
        }
    }
}

/// Returns the length of a counter window: burst / rate, so that the rate alone can bound the total of a window.
fn counter_window(plan: &Plan) -> Option<Ticks> {
    let span = (plan.burst / plan.rate).clamp(MIN_WINDOW_SECONDS, MAX_WINDOW_SECONDS);
    (plan.rate > 0.0 && plan.burst > 0.0).then(|| Ticks::SECOND.times(span))
}
