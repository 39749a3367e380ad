//! The till: what each customer may spend, by its store here, by the shared counter or by a few keepers.

use super::*;

/// Of the largest txn: a customer whose slice holds less is counted whole; so much more where all calls fit.
const SLIM: (f64, f64) = (0.15, 0.45);
/// Doors that keep a customer's store between them where a slice holds less than a txn.
const KEEPERS: u32 = 2;
/// The part refused of what a customer lately asked that its doors are told of, and seconds they go by it.
const FULL: (f64, f64) = (0.5, 10.0);
/// A client that stays no longer than so many such stalls, or shortest SLA times, is not made to wait.
const STAYS: (f64, f64) = (1.3, 2.25);
/// Seconds of a counter window: longer than a call takes; two and a spare inside a name's 60 s of life.
const COUNT_SPAN: (f64, f64) = (1.0, 25.0);
/// Of a call's wait: an answer later than that tells of a line at the counter.
const COUNT_LINE: f64 = 0.5;
/// Seconds in which calls held back come back, and customers of wider slices: long, lest these come and go.
const COUNT_BACK: (f64, f64) = (4.0, 600.0);
/// What one counted first try weighs in the part of a plan's that fit.
const COUNT_WEIGHT: f64 = 0.1;

impl Till {
    pub(super) fn hear(&mut self, note: ToTill, now: Ticks, told: &BalancerConfig) -> Option<ToDesk> {
        match note {
            ToTill::Ask(ask) => {
                let Ask { txn, want, .. } = ask;
                let (figures, width, cost) =
                    (&told.plans[want.plan.0], f64::from(want.subset_size), want.cost);
                self.sweep(now, told);
                let slim = (SLIM.0 + SLIM.1 * self.reach) * told.max_cost;
                let account = self.account(&want, now, told);
                // A width that grows must not leave this door with more than its part of a ceiling.
                account.width = width;
                let binds = figures.rate > 0.0 && figures.excess_cost >= figures.excess_value;
                let passes = account.passes_ceiling(cost, figures);
                // Over many doors a slice's burst is less than a txn: what all doors let in together decides.
                let (slice, asks) = (figures.burst / width, binds && !passes);
                if asks && told.peer_messages && slice < told.max_cost {
                    return self.seek(ask, now, told);
                }
                let counts = asks && told.counter_timeout.is_some() && slice < slim;
                if let Some(span) = count_span(figures).filter(|_| counts) {
                    return self.count(ask, span, now, told);
                }
                // Where use beyond the quota earns more than it costs, only the ceiling and a crowd bar it.
                let inside = account.ask(cost, want.retry, figures);
                if inside.is_err() && !(binds || passes) && ask.spared {
                    account.take(cost, account.tokens);
                    return Some(ToDesk::Granted(txn));
                }
                let refused = |rejection: QuotaRejection| ToDesk::Refused(txn, rejection.retry_after);
                return Some(inside.map_or_else(refused, |()| ToDesk::Granted(txn)));
            }
            ToTill::Counted(name, counted) => {
                let held = self.held.get_mut(&name).and_then(VecDeque::pop_front)?;
                if self.held.get(&name).is_some_and(VecDeque::is_empty) {
                    self.held.remove(&name);
                }
                let Held { ask, window, asked } = held;
                let span = count_span(&told.plans[ask.want.plan.0])?;
                let line = told.counter_timeout.unwrap_or_default().times(COUNT_LINE);
                if counted == CounterReply::NotAdded || now - asked > line {
                    (self.calling, self.reach) = (0.5 * self.calling, 0.1 * self.reach);
                }
                let allowed = told.plans[ask.want.plan.0].rate * span.seconds();
                self.answered -= COUNT_WEIGHT * self.answered;
                let mut room = self.doubtful(&ask, now, told);
                if let CounterReply::Total(total) = counted {
                    self.answered += COUNT_WEIGHT;
                    let account = self.account(&ask.want, now, told);
                    (account.window, account.window_total) = (window, total);
                    // Where many go uncounted, a total is that much less than what was asked for.
                    self.fitted(ask.want.plan, total <= allowed * self.answered + 1e-9);
                    room = total <= allowed + 1e-9;
                }
                return Some(self.sought(&ask, room, Some(held.turns(span) - now), now, told));
            }
            ToTill::Heard(
                _,
                PeerMessage::QuotaRequest { claim: want, .. }
                | PeerMessage::QuotaResponse { claim: want, .. }
                | PeerMessage::QuotaRefund { claim: want },
            ) if want.plan.0 >= told.plans.len()
                || !(1..=told.gateway_count).contains(&want.subset_size)
                || !(0.0..=told.max_cost).contains(&want.cost) => {}
            ToTill::Heard(from, PeerMessage::QuotaRequest { request: no, claim: want }) => {
                let word = PeerMessage::QuotaResponse {
                    request: no,
                    claim: want,
                    decision: self.keep(&want, now, told),
                };
                self.calls.push(Action::SendPeerMessage { to: from, message: word });
            }
            ToTill::Heard(
                from,
                PeerMessage::QuotaResponse { request: no, claim: want, decision: verdict },
            ) => {
                let known = self.asked.get(&no).is_some_and(|(keeper, _)| *keeper == from);
                let Some((_, ask)) = known.then(|| self.asked.remove(&no)).flatten() else {
                    // Too late to be used.
                    let back = Action::SendPeerMessage {
                        to: from,
                        message: PeerMessage::QuotaRefund { claim: want },
                    };
                    self.calls.extend(verdict.is_ok().then_some(back));
                    return None;
                };
                return self.heard(ask, verdict, now, told);
            }
            ToTill::Heard(_, PeerMessage::QuotaExhausted { customer }) => {
                self.full.insert(customer, now);
            }
            ToTill::Heard(_, PeerMessage::QuotaRefund { claim: want }) => {
                self.kept.get_mut(&want.customer)?.spend(-want.cost)
            }
            ToTill::Overdue(no) => {
                return self.asked.remove(&no).and_then(|(_, ask)| self.seek(ask, now, told));
            }
            ToTill::Closed { want, metered, owed } => {
                let account = self.account(&want, now, told);
                account.spend(owed);
                if let Some(reading) = metered {
                    (account.reading, account.read_at) = (reading, Some(now));
                }
            }
        }
        None
    }

    /// By the counter, which is asked once, and not for repeats.
    fn count(&mut self, ask: Ask, span: Ticks, now: Ticks, told: &BalancerConfig) -> Option<ToDesk> {
        let held = Held { ask, window: now.0.div_euclid(span.0), asked: now };
        let allowed = told.plans[ask.want.plan.0].rate * span.seconds();
        let account = self.account(&ask.want, now, told);
        let full = account.window == held.window && account.window_total + ask.want.cost > allowed;
        let open = !(ask.want.retry || full);
        let gap = (now - std::mem::replace(&mut self.paced, now)).seconds();
        self.calling = 1.0 - (1.0 - self.calling) * (-gap / COUNT_BACK.0).exp();
        self.reach = 1.0 - (1.0 - self.reach) * (-gap / COUNT_BACK.1).exp();
        self.usual += COUNT_WEIGHT * (ask.want.cost - self.usual);
        if open && ask.chance < 1.0 - (1.0 - self.calling).powf(ask.want.cost / self.usual) {
            let name = CounterKey((ask.want.customer.0 << 12) | (held.window as u64 & 0xfff));
            let forget_after = span.times(2.0) + Ticks::SECOND;
            self.calls.push(Action::IncrementCounter {
                key: name,
                amount: ask.want.cost,
                expire_after: forget_after,
            });
            self.held.entry(name).or_default().push_back(held);
            return None;
        }
        self.answered -= COUNT_WEIGHT * f64::from(u8::from(open)) * self.answered;
        let room = open && self.doubtful(&ask, now, told);
        Some(self.sought(&ask, room, Some(held.turns(span) - now), now, told))
    }

    /// Asks the next of the customer's keepers, from one drawn by chance on, so that their parts drain alike.
    fn seek(&mut self, mut ask: Ask, now: Ticks, told: &BalancerConfig) -> Option<ToDesk> {
        let QuotaClaim { customer, subset_size: width, .. } = ask.want;
        let keepers = KEEPERS.min(width);
        if ask.turn >= keepers {
            let room = !ask.refused && self.doubtful(&ask, now, told);
            return Some(self.sought(&ask, room, Some(ask.patience), now, told));
        }
        let part = ((ask.chance * f64::from(keepers)) as u32 + ask.turn) % keepers;
        let place = customer.0.wrapping_add(u64::from(part * width / keepers)) % u64::from(width);
        let keeper =
            GatewayId(((u64::from(ask.want.subset_start) + place) % u64::from(told.gateway_count)) as u32);
        ask.turn += 1;
        if keeper == told.gateway {
            let verdict = self.keep(&ask.want, now, told);
            return self.heard(ask, verdict, now, told);
        }
        let tightest = told.products.iter().map(|product| product.sla_time).min().unwrap_or_default();
        if ask.stays < tightest.times(STAYS.1).max(self.stall.times(STAYS.0)) {
            return self.seek(ask, now, told);
        }
        let no = QuotaRequestId(self.asks);
        self.asks = self.asks.wrapping_add(1);
        self.asked.insert(no, (keeper, ask));
        let wake = Action::SetTimer { after: ask.patience, timer: TimerId(u64::from(no.0)) };
        self.calls.extend([
            Action::SendPeerMessage {
                to: keeper,
                message: PeerMessage::QuotaRequest { request: no, claim: ask.want },
            },
            wake,
        ]);
        None
    }

    /// A keeper's refusal sends the ask on, and is the answer where none is left that gives another.
    fn heard(
        &mut self,
        mut ask: Ask,
        verdict: QuotaDecision,
        now: Ticks,
        told: &BalancerConfig,
    ) -> Option<ToDesk> {
        ask.refused |= verdict.is_err();
        if verdict.is_err() && ask.turn < KEEPERS.min(ask.want.subset_size) {
            return self.seek(ask, now, told);
        }
        if !self.knows_full(ask.want.customer, now) {
            self.fitted(ask.want.plan, verdict.is_ok());
        }
        Some(self.sought(
            &ask,
            verdict.is_ok(),
            verdict.err().and_then(|rejection| rejection.retry_after),
            now,
            told,
        ))
    }

    /// By this door's part of a store that a few doors keep; its ceiling is held by the doors that send.
    fn keep(&mut self, want: &QuotaClaim, now: Ticks, told: &BalancerConfig) -> QuotaDecision {
        let quota = Plan { hard_limit_rate: 0.0, ..told.plans[want.plan.0].clone() };
        let new = || Account::new(want.plan, f64::from(KEEPERS.min(want.subset_size)), now, told);
        let account = self.kept.entry(want.customer).or_insert_with(new);
        account.refill(now, &quota, told);
        let verdict = account.ask(want.cost, want.retry, &quota);
        account.refused += COUNT_WEIGHT * (f64::from(u8::from(verdict.is_err())) - account.refused);
        if account.refused > FULL.0 && (now - account.told_full).seconds() > 0.5 * FULL.1 {
            account.told_full = now;
            let word = PeerMessage::QuotaExhausted { customer: want.customer };
            let set =
                (0..want.subset_size).map(|at| GatewayId((want.subset_start + at) % told.gateway_count));
            self.calls.extend(set.map(|to| Action::SendPeerMessage { to, message: word }));
        }
        verdict
    }

    /// With nobody's word, nor a current reading: whether the plan's txns fit often enough lately for one in
    /// doubt to be worth more than it costs.
    fn doubtful(&mut self, ask: &Ask, now: Ticks, told: &BalancerConfig) -> bool {
        let plan = &told.plans[ask.want.plan.0];
        let beyond = (plan.excess_cost - plan.excess_value).max(0.0);
        let full = self.knows_full(ask.want.customer, now) || self.account(&ask.want, now, told).current(now);
        !full && self.fits[ask.want.plan.0] > beyond / (1.0 + beyond)
    }

    fn knows_full(&self, customer: CustomerId, now: Ticks) -> bool {
        self.full.get(&customer).is_some_and(|&told| (now - told).seconds() < FULL.1)
    }

    fn fitted(&mut self, plan: PlanId, fit: bool) {
        self.fits[plan.0] += COUNT_WEIGHT * (f64::from(u8::from(fit)) - self.fits[plan.0]);
    }

    /// What was decided elsewhere is held to the customer's ceiling here.
    fn sought(
        &mut self,
        ask: &Ask,
        room: bool,
        wait: Option<Ticks>,
        now: Ticks,
        told: &BalancerConfig,
    ) -> ToDesk {
        let account = self.account(&ask.want, now, told);
        if !room || account.passes_ceiling(ask.want.cost, &told.plans[ask.want.plan.0]) {
            return ToDesk::Refused(ask.txn, wait);
        }
        // The slice is left in no more debt than it had.
        account.take(ask.want.cost, account.tokens.min(0.0));
        ToDesk::Granted(ask.txn)
    }

    fn account(&mut self, want: &QuotaClaim, now: Ticks, told: &BalancerConfig) -> &mut Account {
        let new = || Account::new(want.plan, f64::from(want.subset_size), now, told);
        let account = self.accounts.entry(want.customer).or_insert_with(new);
        account.refill(now, &told.plans[want.plan.0], told);
        account
    }

    /// Idle full buckets are what a customer not yet seen gets anyway.
    fn sweep(&mut self, now: Ticks, told: &BalancerConfig) {
        if now - self.swept < Ticks::SECOND {
            return;
        }
        self.swept = now;
        self.full.retain(|_, told| (now - *told).seconds() < FULL.1);
        for accounts in [&mut self.accounts, &mut self.kept] {
            accounts.retain(|_, account| {
                let plan = &told.plans[account.plan.0];
                account.refill(now, plan, told);
                // Nearly, as a slice on its way back to even grows past its tokens at each review.
                let full = account.tokens >= 0.95 * plan.burst * account.slice;
                let even = (account.slice * account.width - 1.0).abs() < 0.05;
                !(full && even && account.ceiling >= account.ceiling_most(plan))
            });
        }
    }
}

/// A customer's bucket drains in burst over rate: over a window as long, the rate alone bounds the total.
fn count_span(plan: &Plan) -> Option<Ticks> {
    let span = (plan.burst / plan.rate).clamp(COUNT_SPAN.0, COUNT_SPAN.1);
    (plan.rate > 0.0 && plan.burst > 0.0).then(|| Ticks::SECOND.times(span))
}
