//! Tokens that were lent to a door and wait for their requests. Where lenders are far, a door whose tenant sends steadily
//! asks ahead for a small lot, so that most requests need not wait for a token's way there and back.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use vanewharf_clock::Timestamp;

/// How long a token may wait: so much later than it was lent may it be used, and what the rules leave beyond quotas
/// covers that.
const KEPT: Duration = Duration::from_secs(1);
/// A lot is what comes in so many seconds, and this at most.
const LOT_SPAN: f64 = 0.5;
const MOST_AHEAD: u32 = 8;
/// Seconds over which a tenant's requests here are averaged.
const SPAN: f64 = 2.0;
/// One who sends less often than this is forgotten.
const SELDOM: f64 = 0.02;

#[derive(Clone, Debug)]
struct Purse {
    tokens: u32,
    until: Timestamp,
    /// Requests a second, as of the last one.
    rate: f64,
    last: Timestamp,
    /// A lot is on its way.
    asked: bool,
}

#[derive(Clone, Debug, Default)]
pub struct TokenReserve {
    purses: BTreeMap<Rc<str>, Purse>,
}

impl TokenReserve {
    fn purse(&mut self, tenant: &Rc<str>, now: Timestamp) -> &mut Purse {
        let new = || Purse { tokens: 0, until: now, rate: 0.0, last: now, asked: false };
        self.purses.entry(Rc::clone(tenant)).or_insert_with(new)
    }

    /// A request came.
    pub fn record_request(&mut self, tenant: &Rc<str>, now: Timestamp) {
        let purse = self.purse(tenant, now);
        purse.rate = purse.rate * (-now.since(purse.last).as_secs_f64() / SPAN).exp() + 1.0 / SPAN;
        purse.last = now;
    }

    /// A token that is still good.
    pub fn take_token(&mut self, tenant: &Rc<str>, now: Timestamp) -> bool {
        let purse = self.purse(tenant, now);
        if purse.until <= now {
            purse.tokens = 0;
        }
        let good = purse.tokens > 0;
        purse.tokens -= u32::from(good);
        good
    }

    pub fn add_tokens(&mut self, tenant: &Rc<str>, tokens: u32, now: Timestamp) {
        let purse = self.purse(tenant, now);
        purse.tokens += tokens;
        if tokens > 0 {
            purse.until = now.after(KEPT);
        }
    }

    /// How many to ask for ahead; nothing while a lot is under way, or half of one is left.
    pub fn tokens_to_request(&mut self, tenant: &Rc<str>, now: Timestamp) -> u32 {
        let purse = self.purse(tenant, now);
        let lot = ((purse.rate * LOT_SPAN) as u32).min(MOST_AHEAD);
        let tokens = if purse.until > now { purse.tokens } else { 0 };
        if purse.asked || lot == 0 || tokens * 2 > lot {
            return 0;
        }
        purse.asked = true;
        lot - tokens
    }

    /// The lot that was asked for has come, as far as it was lent.
    pub fn record_lease(&mut self, tenant: &Rc<str>, tokens: u32, now: Timestamp) {
        self.add_tokens(tenant, tokens, now);
        self.purse(tenant, now).asked = false;
    }

    /// Those who have not sent for long are dropped.
    pub fn drop_idle_tenants(&mut self, now: Timestamp) {
        self.purses.retain(|_, purse| {
            let rate = purse.rate * (-now.since(purse.last).as_secs_f64() / SPAN).exp();
            purse.asked || rate > SELDOM || purse.tokens > 0 && purse.until > now
        });
    }
}

#[cfg(test)]
mod tests;
