//! Admission control by tenant quota.
//!
//! If there are few proxies, each holds a share of every quota in its own token buckets. If there are many, the
//! controllers hold the shares and lease tokens (they are the lenders). A request then waits for a leased token, unless
//! the reserve contains one, and the proxy's own buckets are used only for requests that no lender answers in time.

use crate::gate_state::AuthorizedRequest;
use crate::routing::RoutingTables;
use crate::ticks::to_ticks;
use crate::update::{TOKEN_REQUEST_TIMEOUT, TokenAnswer, TokenGrants, TokenRequest};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use vanewharf_clock::Timestamp;
use vanewharf_policy::interface::{Ticks, TxnId};
use vanewharf_protocol::messages::FleetSummary;
use vanewharf_quota::{InitialFill, Quota, QuotaExceeded, ShareOwner, TokenBuckets, TokenReserve};

/// The lower bound of the `Retry-After` time after a rejection by quota.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// The upper bound of the `Retry-After` time after a rejection by a lender.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);
/// The lower bound of the quota rate from which a `Retry-After` time is computed. It prevents an infinite time.
const MIN_RATE_PER_S: f64 = 1e-3;

/// The state of admission control: token buckets, leased tokens and the requests that wait for one.
pub(super) struct AdmissionController {
    pub(super) buckets: TokenBuckets,
    /// The leased tokens that have not been used yet.
    reserve: TokenReserve,
    /// The number of controllers that lease tokens; `None` while the proxies hold the quota shares themselves.
    lender_count: Option<u32>,
    /// Whether there is no lender in this proxy's region. Tokens are then prefetched to hide the latency
    /// between regions.
    lenders_remote: bool,
    token_requests: mpsc::UnboundedSender<TokenRequest>,
    /// The requests that wait for a leased token.
    waiting: BTreeMap<TxnId, AuthorizedRequest>,
}

/// The admission decision on one request.
pub(super) enum AdmissionDecision {
    Admitted(AuthorizedRequest),
    /// The request waits for a leased token.
    Waiting,
    /// The tenant's quota is exceeded.
    Rejected {
        retry_after: Ticks,
    },
}

impl AdmissionDecision {
    fn rejected(retry_after: Duration) -> AdmissionDecision {
        AdmissionDecision::Rejected { retry_after: to_ticks(retry_after) }
    }
}

impl AdmissionController {
    pub(super) fn new(
        rate_allowance: f64,
        initial_start: bool,
        token_requests: mpsc::UnboundedSender<TokenRequest>,
        at: Timestamp,
    ) -> AdmissionController {
        AdmissionController {
            buckets: TokenBuckets::new(rate_allowance, InitialFill::at_start(initial_start), at),
            reserve: TokenReserve::default(),
            lender_count: None,
            lenders_remote: false,
            token_requests,
            waiting: BTreeMap::new(),
        }
    }

    /// Admits a request, rejects it, or queues it until a token was leased.
    pub(super) fn admit(
        &mut self,
        txn: TxnId,
        request: AuthorizedRequest,
        now: Ticks,
        at: Timestamp,
    ) -> AdmissionDecision {
        let limited = request.tenant.as_ref().filter(|tenant| tenant.quota.rate > 0.0);
        let Some(tenant) = limited.filter(|_| self.lender_count.is_some()) else {
            return self.admit_by_bucket(request, at);
        };
        let tenant = Rc::clone(&tenant.name);
        self.reserve.record_request(&tenant, at);
        let reserved = self.reserve.take_token(&tenant, at);
        // A request close to its deadline cannot wait for a lender, so this proxy's own buckets decide.
        let can_wait = request.expiry - now > to_ticks(TOKEN_REQUEST_TIMEOUT * 2);
        let waits = !reserved && can_wait;
        let prefetch = if self.lenders_remote { self.reserve.tokens_to_request(&tenant, at) } else { 0 };
        if waits || prefetch > 0 {
            // Fails only during shutdown, when the receiver has been dropped.
            let _ =
                self.token_requests.send(TokenRequest { waiting: waits.then_some(txn), tenant, prefetch });
        }
        if reserved {
            AdmissionDecision::Admitted(request)
        } else if waits {
            self.waiting.insert(txn, request);
            AdmissionDecision::Waiting
        } else {
            self.admit_by_bucket(request, at)
        }
    }

    /// Admits or rejects a request by the tenant's token bucket in this proxy.
    fn admit_by_bucket(&mut self, request: AuthorizedRequest, at: Timestamp) -> AdmissionDecision {
        if let Some(tenant) = &request.tenant
            && let Err(QuotaExceeded { retry_after }) = self.buckets.try_admit(&tenant.name, tenant.quota, at)
        {
            return AdmissionDecision::rejected(retry_after.max(MIN_RETRY_AFTER));
        }
        AdmissionDecision::Admitted(request)
    }

    /// Records the answers of lenders and adds prefetched tokens to the reserve. The caller then resumes each waiting
    /// request with [`AdmissionController::resume`].
    pub(super) fn record_grants(&mut self, grants: &TokenGrants, at: Timestamp) {
        let answered = grants.waiting.iter().any(|waiting| waiting.answer != TokenAnswer::NoAnswer);
        if answered || grants.prefetched.iter().any(|prefetched| prefetched.tokens > 0) {
            self.buckets.record_lender_answer(at);
        }
        for prefetched in &grants.prefetched {
            self.reserve.record_lease(&prefetched.tenant, prefetched.tokens, at);
        }
    }

    /// Decides on a request that waited for a token. Returns `None` if its client has disconnected or it has expired; a
    /// granted token is then added to the reserve.
    pub(super) fn resume(
        &mut self,
        txn: TxnId,
        answer: TokenAnswer,
        now: Ticks,
        at: Timestamp,
    ) -> Option<AdmissionDecision> {
        let request = self.waiting.remove(&txn)?;
        let tenant = request.tenant.clone()?;
        // The router has already answered an expired request. It would not report the end of an attempt for it.
        if request.abandoned || request.expiry <= now {
            if answer == TokenAnswer::Granted {
                self.reserve.add_tokens(&tenant.name, 1, at);
            }
            return None;
        }
        Some(match answer {
            TokenAnswer::Granted => AdmissionDecision::Admitted(request),
            TokenAnswer::NoAnswer => self.admit_by_bucket(request, at),
            TokenAnswer::Refused => self.reject_by_lender(tenant.quota),
        })
    }

    /// Rejects a request for which a lender refused a token. Each lender holds an equal share of the quota, so
    /// it has its next token after `lenders / rate` seconds.
    fn reject_by_lender(&self, quota: Quota) -> AdmissionDecision {
        let lenders = f64::from(self.lender_count.unwrap_or(1));
        let retry_after = Duration::from_secs_f64(lenders / quota.rate.max(MIN_RATE_PER_S));
        AdmissionDecision::rejected(retry_after.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER))
    }

    /// Marks a request that waits for a token as abandoned by its client. Returns false if it does not wait for one.
    pub(super) fn abandon(&mut self, txn: TxnId) -> bool {
        match self.waiting.get_mut(&txn) {
            Some(request) => {
                request.abandoned = true;
                true
            }
            None => false,
        }
    }

    /// Refunds the token of a request that reached no backend.
    pub(super) fn refund(&mut self, tenant: &Rc<str>, at: Timestamp) {
        match self.lender_count {
            Some(_) => self.reserve.add_tokens(tenant, 1, at),
            None => self.buckets.refund(tenant),
        }
    }

    /// Adjusts this proxy's quota shares to the tenants' usage over all proxies.
    pub(super) fn apply_fleet_summary(
        &mut self,
        summary: &FleetSummary,
        lenders_remote: bool,
        tables: Option<&RoutingTables>,
        at: Timestamp,
    ) {
        self.lender_count = summary.token_lenders;
        self.lenders_remote = lenders_remote;
        self.reserve.drop_idle_tenants(at);
        self.buckets.set_share_owner(ShareOwner::of(summary));
        let quota = |tenant: &str| tables.map_or(Quota::UNLIMITED, |tables| tables.quota(tenant));
        self.buckets.apply_usage(summary.quota_divisor, &summary.tenants, quota, at);
    }

    /// Reduces the quota shares to a minimum once no fleet summary has arrived for too long.
    pub(super) fn shrink_when_cut_off(&mut self, at: Timestamp) {
        self.buckets.shrink_when_cut_off(at);
    }

    /// Returns the number of requests admitted since the start, by tenant.
    pub(super) fn admitted_counts(&self) -> BTreeMap<String, u64> {
        self.buckets.admitted_counts()
    }

    /// Returns this proxy's share of each tenant's quota, from 0 to 1.
    pub(super) fn quota_shares(&self) -> BTreeMap<String, f64> {
        self.buckets.quota_shares()
    }
}
