//! The txns; mechanisms 2, room (drawn in step with it; what is late is declined), and 5, resubmission.

use super::*;

/// The part of the SLA time that a keeper's answer may take: longer than messages do, shorter than a stall.
const ASK_PART: f64 = 0.1;
/// The part of the SLA time that the cheapest may be expected to take; the dearest up to half of it more.
const PATIENCE: f64 = 0.1;
/// A client that leaves sooner than so many usual answer times is seldom served, and its repeat counts anew.
const IN_TIME: f64 = 3.0;
/// The part of an answer's time that is held for waiting where too few are out to see a line.
const QUEUED: f64 = 0.5;
/// Usual answer times over which what is out is averaged: chance fills a door with few out in one or two.
const CROWD_ANSWERS: f64 = 5.0;
/// A kept connection is so much more room, as a new one costs work and time; a cold backend keeps its budget.
const KEPT_ODDS: f64 = 8.0;
/// The way to another place costs a little.
const NEAR_ODDS: f64 = 5.0;

impl Balancer {
    pub(super) fn hear(&mut self, note: ToDesk) {
        match note {
            ToDesk::Arrived(arrival) => self.arrived(arrival),
            ToDesk::Granted(id) if self.submit(id).is_some() => {}
            ToDesk::Granted(id) => {
                let want = self.desk.txns.get(&id).map(|txn| txn.asked.claim);
                let back = want.map(|want| ToTill::Closed { want, metered: None, owed: -want.cost });
                self.till.inbox.extend(back);
                self.give_up(id, None);
            }
            ToDesk::Refused(id, wait) => self.give_up(id, wait),
            ToDesk::Ended(ending) => self.ended(ending),
            ToDesk::Left(id) => self.conclude(id),
        }
    }

    fn arrived(&mut self, arrival: Arrival) {
        let Arrival { txn: id, product, claim: mut want, deadline: expiry } = arrival;
        want.subset_size =
            if want.subset_size == 0 { self.told.gateway_count.max(1) } else { want.subset_size };
        let (norm, stays) = (self.desk.norms[product.0], expiry - self.now);
        let plan = &self.told.plans[want.plan.0];
        // By the time it takes: a dear txn that keeps a server long stands in the way of several cheap ones.
        let value = self.told.products[product.0].value * plan.value_factor / norm.mean;
        let leaves = norm.seen >= 8.0 && stays.seconds() < IN_TIME * norm.mean;
        self.desk.crowd(value, self.now, &self.told);
        let pressed = self.desk.pressed(value) || leaves;
        let spared = !self.desk.pressed(value * plan.excess_value);
        self.desk.txns.insert(
            id,
            Txn { asked: Arrival { claim: want, ..arrival }, arrived: self.now, ..Txn::default() },
        );
        if pressed || self.desk.board.is_empty() {
            self.give_up(id, None);
        } else {
            let chance = self.chance.random::<f64>();
            let patience = self.told.products[product.0].sla_time.min(stays).times(ASK_PART);
            let ask = Ask { txn: id, want, chance, patience, stays, spared, turn: 0, refused: false };
            self.till.inbox.push_back(ToTill::Ask(ask));
        }
    }

    /// A decline says that another try is harmless, so it is kept from what may have run and must not again.
    fn give_up(&mut self, id: TxnId, wait: Option<Ticks>) {
        let Some(txn) = self.desk.txns.get(&id) else {
            return;
        };
        let may_have_run = txn.submissions.iter().any(|submission| submission.may_have_run);
        let harmless = !may_have_run
            || self.told.products[txn.asked.product.0].idempotency != Idempotency::NonIdempotent;
        let told = &self.told.allowed;
        let retry_after = wait.filter(|_| told.retry_after).map(|span| span.min(told.max_retry_after));
        let decline = Action::Reject { txn: id, retry_after };
        self.actions.push(if harmless { decline } else { Action::Fail { txn: id } });
        self.conclude(id);
    }

    fn conclude(&mut self, id: TxnId) {
        let Some(txn) = self.desk.txns.get_mut(&id) else {
            return;
        };
        let first = !std::mem::replace(&mut txn.answered, true);
        if !txn.submissions.last().is_some_and(|last| last.out) {
            self.desk.txns.remove(&id);
        } else if first && self.told.allowed.cancel {
            let no = AttemptNumber(txn.submissions.len() as u32 - 1);
            self.actions.push(Action::CancelAttempt { txn: id, attempt: no });
        }
    }

    fn ended(&mut self, ending: AttemptReport) {
        let (id, no) = (ending.txn, ending.attempt);
        let Some(txn) = self.desk.txns.get_mut(&id) else {
            return;
        };
        let Some(submission) = txn.submissions.get_mut(no.0 as usize).filter(|submission| submission.out)
        else {
            return;
        };
        submission.out = false;
        submission.may_have_run = !ending.outcome.never_ran();
        let settled = ending.outcome == Outcome::Succeeded;
        let owed = ending.actual_cost.filter(|_| settled).map_or(0.0, |cost| cost - txn.asked.claim.cost);
        let (want, product, backend) = (txn.asked.claim, txn.asked.product, submission.backend);
        // What did not get through fed no overload, so sending it again is not charged.
        self.desk.spare += f64::from(u8::from(ending.outcome == Outcome::ConnectFailed));
        let answered = txn.answered;
        self.till.inbox.push_back(ToTill::Closed { want, metered: ending.metered_usage, owed });
        let took = ending.latency.seconds();
        let (relative, kept) = (took / self.desk.norms[product.0].mean.max(1e-4), self.told.idle_timeout);
        if settled {
            self.desk.learn(product, took, self.now);
        }
        self.post(backend, ToBackend::Ended { txn: id, no, outcome: ending.outcome, relative, kept });
        if answered || ending.complete {
            self.conclude(id);
        } else if !(self.may_resubmit(id) && self.submit(id).is_some()) {
            self.give_up(id, None);
        }
    }

    /// Against effects twice, and against retries that feed an overload or come too late to be of worth.
    fn may_resubmit(&mut self, id: TxnId) -> bool {
        let Some(txn) = self.desk.txns.get(&id) else {
            return false;
        };
        let product = &self.told.products[txn.asked.product.0];
        let may_have_run = txn.submissions.iter().any(|submission| submission.may_have_run);
        let in_time = txn.arrived + product.sla_time;
        let answer = self.now + Ticks::SECOND.times(self.desk.norms[txn.asked.product.0].mean);
        let allowed = !(may_have_run && product.idempotency == Idempotency::NonIdempotent)
            && txn.submissions.len() < self.told.allowed.max_attempts
            && answer <= in_time.min(txn.asked.deadline)
            && self.desk.spare >= 1.0;
        self.desk.spare -= f64::from(u8::from(allowed));
        allowed
    }

    /// One draw at random, odds in step with room; none where no backend may take the txn.
    fn submit(&mut self, id: TxnId) -> Option<()> {
        let chance = self.chance.random::<f64>();
        let txn = self.desk.txns.get_mut(&id)?;
        let product = &self.told.products[txn.asked.product.0];
        let backend = draw(&self.desk.board, txn, product.idempotency, self.now, chance)?;
        let no = AttemptNumber(txn.submissions.len() as u32);
        // Until its outcome says otherwise a submission may run at any moment.
        txn.submissions.push(Submission { backend, sent: self.now, out: true, may_have_run: true });
        // Without second copies only a time-out frees a txn from a silent backend.
        let norm = self.desk.norms[txn.asked.product.0];
        let wait = Ticks::SECOND.times(2.0 * norm.mean + 5.0 * norm.spread);
        let waits = product.idempotency == Idempotency::NonIdempotent || self.told.allowed.hedging;
        let time_out = (!waits).then_some(wait.max(Ticks(10)));
        self.actions.push(Action::SendAttempt { txn: id, backend, timeout: time_out });
        if no.0 == 0 {
            self.desk.spare = (self.desk.spare + COPIES.0).min(COPIES.1);
        }
        self.post(backend, ToBackend::Sent { txn: id, no, work: norm.mean });
        Some(())
    }
}

fn draw(board: &Board, txn: &Txn, repeat: Idempotency, now: Ticks, chance: f64) -> Option<BackendId> {
    let ran = txn.submissions.iter().find(|submission| submission.may_have_run);
    if matches!((repeat, ran), (Idempotency::Deduplicated { window }, Some(first)) if now - first.sent >= window)
    {
        return None;
    }
    // When most look bad the cause is shared, and sparing them would only crowd the rest.
    let bad = board.values().filter(|offer| offer.bad).count();
    let spare_bad = 2 * bad <= board.len();
    let tried = |id: &BackendId| txn.submissions.iter().any(|submission| submission.backend == *id);
    let open: Vec<_> =
        board.iter().filter(|(id, offer)| !(offer.shut || offer.bad && spare_bad || tried(id))).collect();
    let out: f64 = open.iter().map(|(_, offer)| offer.out).sum();
    let strength: f64 = open.iter().map(|(_, offer)| offer.strength).sum();
    let kept = |offer: &Offer| !offer.cold && offer.out < 1.0 && offer.kept_until > now;
    let room = |offer: &Offer| (offer.strength / strength * (out + open.len() as f64) - offer.out).max(0.0);
    let room = |offer: &Offer| room(offer) * if kept(offer) { KEPT_ODDS } else { 1.0 };
    let room = |offer: &Offer| room(offer) * if offer.near { NEAR_ODDS } else { 1.0 };
    let mut left = chance * open.iter().map(|(_, offer)| room(offer)).sum::<f64>();
    for (id, offer) in &open {
        left -= room(offer);
        if left < 0.0 {
            return Some(**id);
        }
    }
    open.last().map(|(id, _)| **id)
}

impl Desk {
    fn learn(&mut self, product: ProductId, took: f64, now: Ticks) {
        let norm = &mut self.norms[product.0];
        norm.seen += 1.0;
        let weight = (1.0 / norm.seen).max(0.03);
        norm.spread += weight * ((took - norm.mean).abs() - norm.spread);
        norm.mean += weight * (took - norm.mean);
        self.settle_rate = self.settle_rate * faded(self.rated_at, now) + 1.0 / SETTLE_SPAN;
        self.rated_at = now;
    }

    /// Longer than nearly all answers take, so that silence is not mistaken for a long txn.
    pub(super) fn patience(&self) -> Ticks {
        let longest = self.norms.iter().map(|norm| norm.mean + 3.0 * norm.spread);
        Ticks::SECOND.times(longest.fold(0.1, f64::max))
    }

    /// What is out over what settles is how long a newcomer would wait. All products wait in the same lines,
    /// so the one tightest on time says when; the cheaper give way first.
    fn crowd(&mut self, value: f64, now: Ticks, told: &BalancerConfig) {
        let mean = self.norms.iter().map(|norm| norm.mean).sum::<f64>() / self.norms.len() as f64;
        self.mean_value += 0.02 * (value - self.mean_value);
        // What is stuck at a silent backend stands in nobody's way; a jammed one looks silent too.
        let out: f64 = self.board.values().map(|offer| offer.out - offer.stuck).sum();
        let weight = 1.0 - (-(now - self.counted_at).seconds() / (CROWD_ANSWERS * mean)).exp();
        self.out_mean += weight * (out - self.out_mean);
        self.counted_at = now;
        let out = out.min(self.out_mean);
        // Against taking a door's first seconds, when little can have settled yet, for a crowd.
        let seen: f64 = self.norms.iter().map(|norm| norm.seen).sum();
        let rate = self.settle_rate / (1.0 - faded(told.started_at, self.rated_at)).max(0.05);
        let crowding = out / rate.max(1.0) / mean;
        // One door of many has too few out to tell; there the answer times speak for themselves.
        let crowding = QUEUED + (crowding - QUEUED) * (out / 8.0).min(1.0);
        let times = told.products.iter().zip(&self.norms);
        let times = times.map(|(product, norm)| norm.mean / product.sla_time.seconds());
        self.crowding = if seen >= 8.0 { crowding * times.fold(0.0, f64::max) } else { 0.0 };
    }

    fn pressed(&self, value: f64) -> bool {
        self.crowding > PATIENCE + 0.5 * value / (value + self.mean_value)
    }
}
