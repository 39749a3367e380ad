//! The state of one admitted request: the regions that it may still go to and the attempts that were made for it.
//!
//! A request's attempts are numbered twice: over all pools, which is what the router knows, and within each pool, which
//! is what the pool's balancer knows. The numbers within a pool include attempts that were never sent.

use super::{Location, PoolKey};
use crate::routing::{RouteRule, Tenant};
use crate::snapshot::AuthorizedRequest;
use std::rc::Rc;
use vanewharf_config::configuration::RouteKind;
use vanewharf_policy::interface::{AttemptNumber, BackendId, Outcome, Ticks};

/// One attempt that was sent to a backend.
pub(super) struct Attempt {
    pub(super) pool: PoolKey,
    pub(super) backend: BackendId,
    /// Its number within its pool.
    pub(super) number_in_pool: AttemptNumber,
    pub(super) ended: bool,
}

/// The number of attempts that the balancer of one pool has requested, sent or not.
struct RequestedAttempts {
    pool: PoolKey,
    count: u32,
}

/// An admitted request that still has an answer to come or an attempt in flight.
pub(super) struct RequestInFlight {
    pub(super) rule: Rc<RouteRule>,
    pub(super) tenant: Option<Rc<Tenant>>,
    pub(super) service: Rc<str>,
    /// Regions that were not tried yet; the next one is the last element.
    remaining_regions: Vec<Rc<str>>,
    /// The pool that currently owns the request.
    pub(super) pool: Option<PoolKey>,
    /// When the client stops waiting.
    pub(super) expiry: Ticks,
    attempts: Vec<Attempt>,
    requested: Vec<RequestedAttempts>,
    /// At least one attempt reached a backend.
    pub(super) reached_backend: bool,
    may_have_run: bool,
    /// The client has its final answer, or has left.
    concluded: bool,
}

impl RequestInFlight {
    /// A new request for `service`. It may go to every region that both its route and its tenant allow.
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

    /// Moves the request to the pool of the next region. Returns `None` if no region is left, or if no further attempt
    /// is allowed.
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

    /// Counts an attempt requested by a pool's balancer and returns the attempt's number within that pool.
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

    /// Records that an attempt was sent.
    pub(super) fn add_attempt(&mut self, attempt: Attempt) {
        self.attempts.push(attempt);
    }

    /// Translates an attempt's number within a pool to its number over all pools.
    pub(super) fn attempt_number(
        &self,
        pool: &PoolKey,
        number_in_pool: AttemptNumber,
    ) -> Option<AttemptNumber> {
        let is_meant = |attempt: &Attempt| attempt.pool == *pool && attempt.number_in_pool == number_in_pool;
        self.attempts.iter().position(is_meant).map(|position| AttemptNumber(position as u32))
    }

    /// Records the end of an attempt and returns the attempt, or `None` if there is no attempt of that number.
    pub(super) fn end_attempt(&mut self, number: AttemptNumber, outcome: Outcome) -> Option<&Attempt> {
        let attempt = self.attempts.get_mut(number.0 as usize)?;
        attempt.ended = true;
        self.reached_backend |= !matches!(outcome, Outcome::NotSent | Outcome::ConnectFailed);
        self.may_have_run |= !outcome.never_ran();
        Some(attempt)
    }

    /// Records that the client has its final answer, or has left.
    pub(super) fn conclude(&mut self) {
        self.concluded = true;
    }

    pub(super) fn is_concluded(&self) -> bool {
        self.concluded
    }

    /// Whether the request can be forgotten: it is concluded and has no attempt in flight.
    pub(super) fn is_finished(&self) -> bool {
        self.concluded && self.attempts.iter().all(|attempt| attempt.ended)
    }
}

/// The regions that may serve a request, in reverse order of preference: this proxy's own region is preferred and
/// therefore the last element.
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
