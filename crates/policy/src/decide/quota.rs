//! What each customer may spend, by its account here, by the shared counter or by the gateways that own its quota.

use super::*;

/// Of the largest request: a customer whose share holds less is counted; so much more where all calls are answered.
const COUNTED_SHARE: f64 = 0.15;
const COUNTED_SHARE_REACH: f64 = 0.45;
/// Gateways that own a customer's quota between them where a share holds less than a request.
const OWNERS: u32 = 2;
/// The part refused of what a customer asked of which its gateways are notified, and seconds they go by it.
const EXHAUSTED_PART: f64 = 0.5;
const EXHAUSTED_SPAN: f64 = 10.0;
/// A client that stays no longer than so many longest stalls, or shortest SLA times, is not made to wait.
const MIN_STAY_STALLS: f64 = 1.3;
const MIN_STAY_SLA_TIMES: f64 = 2.25;
/// Seconds of a counter window: longer than a call takes; two and a spare inside a key's 60 s of life.
const MIN_WINDOW: f64 = 1.0;
const MAX_WINDOW: f64 = 25.0;
/// Of a call's timeout: a reply later than that tells of a queue at the counter.
const QUEUED_REPLY: f64 = 0.5;
/// Seconds in which calls held back come back, and customers of larger shares: long, lest these come and go.
const CALL_RECOVERY: f64 = 4.0;
const REACH_RECOVERY: f64 = 600.0;
/// What one request weighs in averages over requests.
const WEIGHT: f64 = 0.1;

impl QuotaEnforcer {
    /// Gives the answer to a check where this message settles one.
    pub(super) fn handle(&mut self, message: QuotaMessage, ctx: Context) -> CheckAnswer {
        match message {
            QuotaMessage::Check(check) => self.check(check, ctx),
            QuotaMessage::Peer(from, message) => self.handle_peer_message(from, message, ctx),
            QuotaMessage::RequestTimedOut(request) => {
                let pending = self.pending_requests.remove(&request)?;
                self.ask_owner(pending.check, ctx)
            }
            QuotaMessage::AttemptEnded { claim, metered_usage, owed } => {
                let account = self.account(&claim, ctx);
                account.spend(owed);
                if let Some(reading) = metered_usage {
                    (account.reading, account.read_at) = (reading, Some(ctx.now));
                }
                None
            }
            QuotaMessage::CounterReplied(key, reply) => self.handle_counter_reply(key, reply, ctx),
        }
    }

    fn check(&mut self, check: QuotaCheck, ctx: Context) -> CheckAnswer {
        let QuotaCheck { txn, claim, .. } = check;
        let (plan, max_cost) = (ctx.plan(claim.plan), ctx.config.max_cost);
        self.sweep(ctx);
        let counted_share = (COUNTED_SHARE + COUNTED_SHARE_REACH * self.counter_reach) * max_cost;
        let account = self.account(&claim, ctx);
        // A subset that grows must not leave this gateway with more than its part of a hard limit.
        account.subset_size = f64::from(claim.subset_size);
        let binds = plan.rate > 0.0 && plan.excess_cost >= plan.excess_value;
        let over_limit = account.exceeds_hard_limit(claim.cost, plan);
        // Over many gateways a share's burst is less than a request: what all admit together decides.
        let share = plan.burst / account.subset_size;
        let decided_together = binds && !over_limit;
        if decided_together && ctx.config.peer_messages && share < max_cost {
            return self.ask_owner(check, ctx);
        }
        let counted = decided_together && ctx.config.counter_timeout.is_some() && share < counted_share;
        if let Some(span) = counter_window(plan).filter(|_| counted) {
            return self.call_counter(check, span, ctx);
        }
        // Where use beyond the quota earns more than it costs, only the hard limit and load bar it.
        let decision = account.try_charge(claim.cost, claim.retry, plan);
        if decision.is_err() && !(binds || over_limit) && check.has_room {
            account.charge(claim.cost, account.tokens);
            return Some(AdmissionMessage::QuotaGranted(txn));
        }
        Some(AdmissionMessage::from_decision(txn, decision))
    }

    /// By the counter, which is asked once, and not for retries.
    fn call_counter(&mut self, check: QuotaCheck, span: Ticks, ctx: Context) -> CheckAnswer {
        let claim = check.claim;
        let window = ctx.now.0.div_euclid(span.0);
        let pending = PendingCount { check, window, called_at: ctx.now };
        let limit = ctx.plan(claim.plan).rate * span.seconds();
        let account = self.account(&claim, ctx);
        let full = account.window == window && account.window_total + claim.cost > limit;
        let open = !(claim.retry || full);
        let gap = ctx.since(std::mem::replace(&mut self.call_rate_at, ctx.now));
        self.call_rate = 1.0 - (1.0 - self.call_rate) * (-gap / CALL_RECOVERY).exp();
        self.counter_reach = 1.0 - (1.0 - self.counter_reach) * (-gap / REACH_RECOVERY).exp();
        self.mean_cost += WEIGHT * (claim.cost - self.mean_cost);
        if open && check.random < 1.0 - (1.0 - self.call_rate).powf(claim.cost / self.mean_cost) {
            let key = CounterKey((claim.customer.0 << 12) | (window as u64 & 0xfff));
            let expire_after = span.times(2.0) + Ticks::SECOND;
            self.actions.push(Action::IncrementCounter { key, amount: claim.cost, expire_after });
            self.pending_counts.push(key, pending);
            return None;
        }
        self.counted_rate -= WEIGHT * f64::from(u8::from(open)) * self.counted_rate;
        let fits = open && self.admits_in_doubt(&check, ctx);
        self.conclude(&check, fits, Some(pending.window_end(span) - ctx.now), ctx)
    }

    fn handle_counter_reply(&mut self, key: CounterKey, reply: CounterReply, ctx: Context) -> CheckAnswer {
        let pending = self.pending_counts.pop(key)?;
        let PendingCount { check, window, called_at } = pending;
        let plan = ctx.plan(check.claim.plan);
        let span = counter_window(plan)?;
        let timeout = ctx.config.counter_timeout.unwrap_or_default();
        if reply == CounterReply::NotAdded || ctx.now - called_at > timeout.times(QUEUED_REPLY) {
            (self.call_rate, self.counter_reach) = (0.5 * self.call_rate, 0.1 * self.counter_reach);
        }
        let limit = plan.rate * span.seconds();
        self.counted_rate -= WEIGHT * self.counted_rate;
        let mut fits = self.admits_in_doubt(&check, ctx);
        if let CounterReply::Total(total) = reply {
            self.counted_rate += WEIGHT;
            let account = self.account(&check.claim, ctx);
            (account.window, account.window_total) = (window, total);
            // Where many go uncounted, a total is that much less than what was asked for.
            self.record_fit(check.claim.plan, total <= limit * self.counted_rate + 1e-9);
            fits = total <= limit + 1e-9;
        }
        self.conclude(&check, fits, Some(pending.window_end(span) - ctx.now), ctx)
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
                if self.pending_requests.get(&request).is_some_and(|pending| pending.owner == from) {
                    let pending = self.pending_requests.remove(&request)?;
                    return self.apply_decision(pending.check, decision, ctx);
                }
                // Too late to be used.
                if decision.is_ok() {
                    self.send(from, PeerMessage::QuotaRefund { claim });
                }
            }
            PeerMessage::QuotaExhausted { customer } => {
                self.exhausted.insert(customer, ctx.now);
            }
            PeerMessage::QuotaRefund { claim } => {
                self.owned_accounts.get_mut(&claim.customer)?.spend(-claim.cost);
            }
        }
        None
    }

    /// Asks the next of the quota's owners, from one drawn by chance on, so that their parts drain alike.
    fn ask_owner(&mut self, mut check: QuotaCheck, ctx: Context) -> CheckAnswer {
        let QuotaClaim { customer, subset_size, .. } = check.claim;
        let owners = OWNERS.min(subset_size);
        if check.owners_asked >= owners {
            let fits = !check.refused && self.admits_in_doubt(&check, ctx);
            return self.conclude(&check, fits, Some(check.owner_timeout), ctx);
        }
        let part = ((check.random * f64::from(owners)) as u32 + check.owners_asked) % owners;
        let offset = u64::from(part * subset_size / owners);
        let position = customer.0.wrapping_add(offset) % u64::from(subset_size);
        let owner = ctx.subset_member(&check.claim, position);
        check.owners_asked += 1;
        if owner == ctx.config.gateway {
            let decision = self.decide_as_owner(&check.claim, ctx);
            return self.apply_decision(check, decision, ctx);
        }
        let sla_times = ctx.config.products.iter().map(|product| product.sla_time);
        let tightest = sla_times.min().unwrap_or_default().times(MIN_STAY_SLA_TIMES);
        if check.stay < tightest.max(self.longest_stall.times(MIN_STAY_STALLS)) {
            return self.ask_owner(check, ctx);
        }
        let request = QuotaRequestId(self.requests_sent);
        self.requests_sent = self.requests_sent.wrapping_add(1);
        self.pending_requests.insert(request, PendingRequest { owner, check });
        self.send(owner, PeerMessage::QuotaRequest { request, claim: check.claim });
        let timer = TimerId(u64::from(request.0));
        self.actions.push(Action::SetTimer { after: check.owner_timeout, timer });
        None
    }

    /// An owner's refusal sends the check on, and is the answer where none is left that gives another.
    fn apply_decision(&mut self, mut check: QuotaCheck, answer: QuotaDecision, ctx: Context) -> CheckAnswer {
        check.refused |= answer.is_err();
        if answer.is_err() && check.owners_asked < OWNERS.min(check.claim.subset_size) {
            return self.ask_owner(check, ctx);
        }
        if !self.is_exhausted(check.claim.customer, ctx) {
            self.record_fit(check.claim.plan, answer.is_ok());
        }
        let wait = answer.err().and_then(|rejection| rejection.retry_after);
        self.conclude(&check, answer.is_ok(), wait, ctx)
    }

    /// By the part of a quota that this gateway owns; the hard limit is enforced by the gateways that ask.
    fn decide_as_owner(&mut self, claim: &QuotaClaim, ctx: Context) -> QuotaDecision {
        let plan = Plan { hard_limit_rate: 0.0, ..ctx.plan(claim.plan).clone() };
        let owners = f64::from(OWNERS.min(claim.subset_size));
        let new = || Account::new(claim.plan, owners, ctx);
        let account = self.owned_accounts.entry(claim.customer).or_insert_with(new);
        account.refill(&plan, ctx);
        let decision = account.try_charge(claim.cost, claim.retry, &plan);
        account.refused += WEIGHT * (f64::from(u8::from(decision.is_err())) - account.refused);
        let exhausted = account.refused > EXHAUSTED_PART;
        if exhausted && ctx.since(account.exhausted_sent_at) > 0.5 * EXHAUSTED_SPAN {
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

    /// With no reply, nor a current reading: whether the plan's requests fit often enough lately for one in doubt
    /// to be worth more than it costs.
    fn admits_in_doubt(&mut self, check: &QuotaCheck, ctx: Context) -> bool {
        let QuotaClaim { customer, plan, .. } = check.claim;
        let limits = ctx.plan(plan);
        let excess = (limits.excess_cost - limits.excess_value).max(0.0);
        let known =
            self.is_exhausted(customer, ctx) || self.account(&check.claim, ctx).has_current_reading(ctx);
        !known && self.fit_rates[plan.0] > excess / (1.0 + excess)
    }

    fn is_exhausted(&self, customer: CustomerId, ctx: Context) -> bool {
        self.exhausted.get(&customer).is_some_and(|&notified| ctx.since(notified) < EXHAUSTED_SPAN)
    }

    fn record_fit(&mut self, plan: PlanId, fits: bool) {
        self.fit_rates[plan.0] += WEIGHT * (f64::from(u8::from(fits)) - self.fit_rates[plan.0]);
    }

    /// What was decided elsewhere is held to the customer's hard limit here.
    fn conclude(&mut self, check: &QuotaCheck, fits: bool, wait: Option<Ticks>, ctx: Context) -> CheckAnswer {
        let account = self.account(&check.claim, ctx);
        if !fits || account.exceeds_hard_limit(check.claim.cost, ctx.plan(check.claim.plan)) {
            return Some(AdmissionMessage::QuotaRefused(check.txn, wait));
        }
        // The share is left in no more debt than it had.
        account.charge(check.claim.cost, account.tokens.min(0.0));
        Some(AdmissionMessage::QuotaGranted(check.txn))
    }

    /// The customer's account, refilled up to now.
    fn account(&mut self, claim: &QuotaClaim, ctx: Context) -> &mut Account {
        let new = || Account::new(claim.plan, f64::from(claim.subset_size), ctx);
        let account = self.accounts.entry(claim.customer).or_insert_with(new);
        account.refill(ctx.plan(claim.plan), ctx);
        account
    }

    /// Drops idle full accounts, as they are what a customer not yet seen gets anyway.
    fn sweep(&mut self, ctx: Context) {
        if ctx.now - self.swept_at < Ticks::SECOND {
            return;
        }
        self.swept_at = ctx.now;
        self.exhausted.retain(|_, notified| ctx.since(*notified) < EXHAUSTED_SPAN);
        for accounts in [&mut self.accounts, &mut self.owned_accounts] {
            accounts.retain(|_, account| {
                let plan = ctx.plan(account.plan);
                account.refill(plan, ctx);
                // Nearly, as a share on its way back to even grows past its tokens at each review.
                let full = account.tokens >= 0.95 * plan.burst * account.share;
                let even = (account.share * account.subset_size - 1.0).abs() < 0.05;
                !(full && even && account.limit_tokens >= account.max_limit_tokens(plan))
            });
        }
    }
}

/// A customer's bucket drains in burst over rate: over a window as long, the rate alone bounds the total.
fn counter_window(plan: &Plan) -> Option<Ticks> {
    let span = (plan.burst / plan.rate).clamp(MIN_WINDOW, MAX_WINDOW);
    (plan.rate > 0.0 && plan.burst > 0.0).then(|| Ticks::SECOND.times(span))
}
