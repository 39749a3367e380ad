//! Tokens that a controller has leased to a proxy in advance.
//!
//! If the controllers are in another region, a proxy requests a small batch of tokens in advance for each tenant that
//! sends steadily, so that most requests do not wait for the round trip to a controller.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use vanewharf_clock::Timestamp;

/// How long a leased token may be used. The allowance for requests beyond the quotas covers this delay.
const TOKEN_LIFETIME: Duration = Duration::from_secs(1);

/// A batch covers the requests of this time: half a token's lifetime, so that few tokens expire unused.
const BATCH_SECONDS: f64 = 0.5;

/// The most tokens in a batch: tokens that one proxy holds unused are not available to the others.
const MAX_BATCH_TOKENS: u32 = 8;

/// Time constant of the exponential average of a tenant's request rate.
const RATE_AVERAGING_SECONDS: f64 = 2.0;

/// A tenant with fewer requests per second than this is dropped.
const IDLE_REQUESTS_PER_S: f64 = 0.02;

/// The tokens and the request rate of one tenant.
#[derive(Clone, Debug)]
struct TenantReserve {
    tokens: u32,
    tokens_expire_at: Timestamp,
    /// Average requests per second at the time of the last request.
    request_rate: f64,
    last_request_at: Timestamp,
    /// Whether a batch was requested and not yet answered.
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

    /// Returns the average rate now, in requests per second.
    fn decayed_rate(&self, now: Timestamp) -> f64 {
        self.request_rate * (-now.since(self.last_request_at).as_secs_f64() / RATE_AVERAGING_SECONDS).exp()
    }
}

/// The leased tokens of one proxy, by tenant.
#[derive(Clone, Debug, Default)]
pub struct TokenReserve {
    tenants: BTreeMap<Rc<str>, TenantReserve>,
}

impl TokenReserve {
    fn tenant(&mut self, tenant: &Rc<str>, now: Timestamp) -> &mut TenantReserve {
        self.tenants.entry(Rc::clone(tenant)).or_insert_with(|| TenantReserve::new(now))
    }

    /// Adds a request to the tenant's average rate.
    pub fn record_request(&mut self, tenant: &Rc<str>, now: Timestamp) {
        let reserve = self.tenant(tenant, now);
        reserve.request_rate = reserve.decayed_rate(now) + 1.0 / RATE_AVERAGING_SECONDS;
        reserve.last_request_at = now;
    }

    /// Takes a token that has not expired. Returns false if there is none.
    pub fn take_token(&mut self, tenant: &Rc<str>, now: Timestamp) -> bool {
        let reserve = self.tenant(tenant, now);
        if !reserve.has_valid_tokens(now) {
            reserve.tokens = 0;
            return false;
        }
        reserve.tokens -= 1;
        true
    }

    /// Adds leased tokens. All of the tenant's tokens then expire together, one token lifetime from now.
    pub fn add_tokens(&mut self, tenant: &Rc<str>, tokens: u32, now: Timestamp) {
        let reserve = self.tenant(tenant, now);
        reserve.tokens += tokens;
        if tokens > 0 {
            reserve.tokens_expire_at = now.after(TOKEN_LIFETIME);
        }
    }

    /// Returns how many tokens to request in advance: 0 while a batch is pending or more than half of one is left.
    pub fn tokens_to_request(&mut self, tenant: &Rc<str>, now: Timestamp) -> u32 {
        let reserve = self.tenant(tenant, now);
        let batch = ((reserve.request_rate * BATCH_SECONDS) as u32).min(MAX_BATCH_TOKENS);
        let tokens = if reserve.has_valid_tokens(now) { reserve.tokens } else { 0 };
        if reserve.is_batch_pending || batch == 0 || tokens * 2 > batch {
            return 0;
        }
        reserve.is_batch_pending = true;
        batch - tokens
    }

    /// Records the answer to a request for a batch. `tokens` is 0 if none were leased or no controller answered.
    pub fn record_lease(&mut self, tenant: &Rc<str>, tokens: u32, now: Timestamp) {
        self.add_tokens(tenant, tokens, now);
        self.tenant(tenant, now).is_batch_pending = false;
    }

    /// Drops tenants that have sent no requests for a long time and have neither valid tokens nor a pending batch.
    pub fn drop_idle_tenants(&mut self, now: Timestamp) {
        self.tenants.retain(|_, reserve| {
            reserve.is_batch_pending
                || reserve.decayed_rate(now) > IDLE_REQUESTS_PER_S
                || reserve.has_valid_tokens(now)
        });
    }
}

#[cfg(test)]
mod tests;
