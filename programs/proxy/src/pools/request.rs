//! The state of an admitted request: the regions that have not been tried yet and the attempts that were sent.
//!
//! Attempts have two numbers: the router numbers them over all pools, the balancer of a pool numbers them within the
//! pool. The numbers within a pool include attempts that were requested but never sent.

use super::{Location, PoolKey};
use crate::gate_state::AuthorizedRequest;
use crate::routing::{RouteRule, Tenant};
use std::rc::Rc;
use vanewharf_config::configuration::RouteKind;
use vanewharf_policy::interface::{AttemptNumber, BackendId, Outcome, Ticks};

/// One attempt that was sent to a backend.
pub(super) struct Attempt {
    pub(super) pool: PoolKey,
    pub(super) backend: BackendId,
    /// The number of the attempt within its pool.
    pub(super) number_in_pool: AttemptNumber,
    pub(super) ended: bool,
}

/// The number of attempts that the balancer of one pool has requested, whether they were sent or not.
struct RequestedAttempts {
    pool: PoolKey,
    count: u32,
}

/// An admitted request that has no final answer yet or still has an attempt in flight.
pub(super) struct RequestInFlight {
    pub(super) rule: Rc<RouteRule>,
    pub(super) tenant: Option<Rc<Tenant>>,
    pub(super) service: Rc<str>,
    /// The regions that have not been tried yet. The next one is the last element.
    remaining_regions: Vec<Rc<str>>,
    /// The pool to which the request was offered last.
    pub(super) pool: Option<PoolKey>,
    /// The time at which the client stops waiting.
    pub(super) expiry: Ticks,
    /// The attempts that were sent, in the order of their numbers over all pools.
    attempts: Vec<Attempt>,
    requested: Vec<RequestedAttempts>,
    /// Whether at least one attempt reached a backend.
    pub(super) reached_backend: bool,
    may_have_run: bool,
    /// Whether the client was answered or has disconnected.
    concluded: bool,
}

impl RequestInFlight {
    /// Creates the state of a new request to `service`. It may be served in the regions that both its route and its
    /// tenant allow.
    pub(super) fn new(request: AuthorizedRequest, service: Rc<str>, location: &Location) -> RequestInFlight {
        let remaining_regions = allowed_regions(&request, location);
        RequestInFlight {
            rule: request.rule,
            tenant: request.tenant,
            service,
            remaining_regions,
            pool: None,
            expiry: request.expiry,
            attempts: Vec::new(),
            requested: Vec::new(),
            reached_backend: false,
            may_have_run: false,
            concluded: false,
        }
    }

    /// Moves the request to the pool of the next region. Returns `None` if no region is left or no further attempt is
    /// allowed.
    pub(super) fn next_pool(&mut self) -> Option<PoolKey> {
        let unsafe_to_retry = self.may_have_run && self.rule.kind == RouteKind::Mutating;
        if !self.has_attempts_left() || unsafe_to_retry {
            return None;
        }
        let region = self.remaining_regions.pop()?;
        let pool = PoolKey { service: Rc::clone(&self.service), region };
        self.pool = Some(pool.clone());
        Some(pool)
    }

    pub(super) fn has_attempts_left(&self) -> bool {
        self.attempts.len() < self.rule.max_attempts
    }

    /// Counts an attempt that a pool's balancer requests, and returns its number within that pool.
    pub(super) fn count_requested_attempt(&mut self, pool: &PoolKey) -> AttemptNumber {
        let known = self.requested.iter().position(|requested| requested.pool == *pool);
        let position = known.unwrap_or_else(|| {
            self.requested.push(RequestedAttempts { pool: pool.clone(), count: 0 });
            self.requested.len() - 1
        });
        let number = AttemptNumber(self.requested[position].count);
        self.requested[position].count += 1;
        number
    }

    /// Adds an attempt that is being sent.
    pub(super) fn add_attempt(&mut self, attempt: Attempt) {
        self.attempts.push(attempt);
    }

    /// Translates an attempt's number within a pool to its number over all pools.
    pub(super) fn attempt_number(
        &self,
        pool: &PoolKey,
        number_in_pool: AttemptNumber,
    ) -> Option<AttemptNumber> {
        let matches = |attempt: &Attempt| attempt.pool == *pool && attempt.number_in_pool == number_in_pool;
        self.attempts.iter().position(matches).map(|position| AttemptNumber(position as u32))
    }

    /// Records the end of an attempt and returns the attempt, or `None` if there is no attempt of that number.
    pub(super) fn end_attempt(&mut self, number: AttemptNumber, outcome: Outcome) -> Option<&Attempt> {
        let attempt = self.attempts.get_mut(number.0 as usize)?;
        attempt.ended = true;
        self.reached_backend |= !matches!(outcome, Outcome::NotSent | Outcome::ConnectFailed);
        self.may_have_run |= !outcome.never_ran();
        Some(attempt)
    }

    /// Records that the client was answered or has disconnected.
    pub(super) fn conclude(&mut self) {
        self.concluded = true;
    }

    pub(super) fn is_concluded(&self) -> bool {
        self.concluded
    }

    /// Returns whether the request is concluded and has no attempt in flight, so that its state can be removed.
    pub(super) fn is_finished(&self) -> bool {
        self.concluded && self.attempts.iter().all(|attempt| attempt.ended)
    }
}

/// Returns the regions that may serve a request, in reverse order of preference. This proxy's own region is
/// preferred and therefore the last element.
fn allowed_regions(request: &AuthorizedRequest, location: &Location) -> Vec<Rc<str>> {
    let allows = |homes: &[String], region: &str| homes.is_empty() || homes.iter().any(|home| home == region);
    let allowed = |region: &str| {
        let tenant_allows = |tenant: &Rc<Tenant>| allows(&tenant.home_regions, region);
        allows(&request.rule.home_regions, region) && request.tenant.as_ref().is_none_or(tenant_allows)
    };
    let mut regions: Vec<Rc<str>> = Vec::new();
    for region in location.zones.values().filter(|region| allowed(region)) {
        if !regions.iter().any(|known| **known == **region) {
            regions.push(Rc::from(region.as_str()));
        }
    }
    regions.sort_by_key(|region| **region == *location.region);
    regions
}
