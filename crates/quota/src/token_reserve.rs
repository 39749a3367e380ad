//! Tokens that a controller has leased to a proxy and that wait for their requests.
//!
//! Where controllers are in another region, a proxy whose tenant sends steadily requests a small batch of tokens ahead, so
//! that most requests do not wait for a token's round trip.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use vanewharf_clock::Timestamp;

/// How long a token may wait: it may be used so much later than it was leased, which the allowance beyond quotas covers.
const TOKEN_LIFETIME: Duration = Duration::from_secs(1);

/// A batch is what is used in so many seconds: half a token's lifetime, so that few tokens expire unused.
const BATCH_SPAN: f64 = 0.5;

/// Tokens in a batch at most: what one proxy holds unused is missing at the others.
const MAX_BATCH: u32 = 8;

/// Seconds over which a tenant's request rate is averaged, exponentially.
const RATE_SPAN: f64 = 2.0;

/// A tenant with fewer requests per second than this is dropped.
const IDLE_RATE: f64 = 0.02;

#[derive(Clone, Debug)]
struct TenantReserve {
    tokens: u32,
    tokens_expire_at: Timestamp,
    /// Requests per second, as of the last request.
    request_rate: f64,
    last_request_at: Timestamp,
    /// Whether a batch was requested and has not arrived.
    is_batch_pending: bool,
}

impl TenantReserve {
    fn new(now: Timestamp) -> TenantReserve {
        TenantReserve {
            tokens: 0,
            tokens_expire_at: now,
            request_rate: 0.0,
            last_request_at: now,
            is_batch_pending: false,
        }
    }

    fn has_valid_tokens(&self, now: Timestamp) -> bool {
        self.tokens > 0 && self.tokens_expire_at > now
    }

    /// The average rate as of now, in requests per second.
    fn decayed_rate(&self, now: Timestamp) -> f64 {
        self.request_rate * (-now.since(self.last_request_at).as_secs_f64() / RATE_SPAN).exp()
    }
}

/// One proxy's leased tokens, by tenant.
#[derive(Clone, Debug, Default)]
pub struct TokenReserve {
    tenants: BTreeMap<Rc<str>, TenantReserve>,
}

impl TokenReserve {
    fn tenant(&mut self, tenant: &Rc<str>, now: Timestamp) -> &mut TenantReserve {
        self.tenants.entry(Rc::clone(tenant)).or_insert_with(|| TenantReserve::new(now))
    }

    /// Records a request of the tenant, for its rate.
    pub fn record_request(&mut self, tenant: &Rc<str>, now: Timestamp) {
        let reserve = self.tenant(tenant, now);
        reserve.request_rate = reserve.decayed_rate(now) + 1.0 / RATE_SPAN;
        reserve.last_request_at = now;
    }

    /// Takes a token that has not expired; false where there is none.
    pub fn take_token(&mut self, tenant: &Rc<str>, now: Timestamp) -> bool {
        let reserve = self.tenant(tenant, now);
        if !reserve.has_valid_tokens(now) {
            reserve.tokens = 0;
            return false;
        }
        reserve.tokens -= 1;
        true
    }

    /// Adds leased tokens; all of the tenant's tokens then expire together, a lifetime from now.
    pub fn add_tokens(&mut self, tenant: &Rc<str>, tokens: u32, now: Timestamp) {
        let reserve = self.tenant(tenant, now);
        reserve.tokens += tokens;
        if tokens > 0 {
            reserve.tokens_expire_at = now.after(TOKEN_LIFETIME);
        }
    }

    /// How many tokens to request ahead; none while a batch is pending or more than half of one is left.
    pub fn tokens_to_request(&mut self, tenant: &Rc<str>, now: Timestamp) -> u32 {
        let reserve = self.tenant(tenant, now);
        let batch = ((reserve.request_rate * BATCH_SPAN) as u32).min(MAX_BATCH);
        let tokens = if reserve.has_valid_tokens(now) { reserve.tokens } else { 0 };
        if reserve.is_batch_pending || batch == 0 || tokens * 2 > batch {
            return 0;
        }
        reserve.is_batch_pending = true;
        batch - tokens
    }

    /// Records the answer to a request for a batch, with the tokens that were leased; 0: none were, or nobody answered.
    pub fn record_lease(&mut self, tenant: &Rc<str>, tokens: u32, now: Timestamp) {
        self.add_tokens(tenant, tokens, now);
        self.tenant(tenant, now).is_batch_pending = false;
    }

    /// Drops tenants that have not sent requests for long.
    pub fn drop_idle_tenants(&mut self, now: Timestamp) {
        self.tenants.retain(|_, reserve| {
            reserve.is_batch_pending || reserve.decayed_rate(now) > IDLE_RATE || reserve.has_valid_tokens(now)
        });
    }
}

#[cfg(test)]
mod tests;
