//! Admission by tenant quota.
//!
//! Where proxies are few, each holds a share of every quota in token buckets of its own. Where they are many, the
//! controllers hold the shares and lease tokens: a request then waits for a leased token, unless one is in the reserve,
//! and the proxy's own buckets are only for requests that no lender answers in time.

use crate::routing::RoutingTables;
use crate::snapshot::AuthorizedRequest;
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

/// Bounds of the `Retry-After` time after a rejection by quota.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);
/// Requests per second; a lower quota rate counts as this one when a wait is computed, to avoid infinite waits.
const MIN_RATE: f64 = 1e-3;

/// The state of admission: token buckets, leased tokens and the requests that wait for one.
pub(super) struct Admission {
    pub(super) buckets: TokenBuckets,
    /// Leased tokens that wait for their requests.
    reserve: TokenReserve,
    /// Number of controllers that lease tokens; `None` while the proxies hold the quota shares themselves.
    lender_count: Option<u32>,
    /// No lender is in this proxy's region. Tokens are then prefetched to hide the round trip between regions.
    lenders_remote: bool,
    token_requests: mpsc::UnboundedSender<TokenRequest>,
    waiting: BTreeMap<TxnId, AuthorizedRequest>,
}

/// The admission decision on one request.
pub(super) enum Verdict {
    Admitted(AuthorizedRequest),
    /// The request waits for a token lease.
    Waiting,
    /// The tenant's quota is exceeded.
    Rejected {
        retry_after: Ticks,
    },
}

impl Verdict {
    fn rejected(wait: Duration) -> Verdict {
        Verdict::Rejected { retry_after: to_ticks(wait) }
    }
}

impl Admission {
    pub(super) fn new(
        rate_allowance: f64,
        initial_start: bool,
        token_requests: mpsc::UnboundedSender<TokenRequest>,
        at: Timestamp,
    ) -> Admission {
        Admission {
            buckets: TokenBuckets::new(rate_allowance, InitialFill::at_start(initial_start), at),
            reserve: TokenReserve::default(),
            lender_count: None,
            lenders_remote: false,
            token_requests,
            waiting: BTreeMap::new(),
        }
    }

    /// Admits a request, rejects it, or has it wait for a leased token.
    pub(super) fn admit(
        &mut self,
        txn: TxnId,
        request: AuthorizedRequest,
        now: Ticks,
        at: Timestamp,
    ) -> Verdict {
        let limited = request.tenant.as_ref().filter(|tenant| tenant.quota.rate > 0.0);
        let Some(tenant) = limited.filter(|_| self.lender_count.is_some()) else {
            return self.admit_by_bucket(request, at);
        };
        let tenant = Rc::clone(&tenant.name);
        self.reserve.record_request(&tenant, at);
        let reserved = self.reserve.take_token(&tenant, at);
        // A request close to its deadline cannot wait for an answer: this proxy's own buckets decide.
        let can_wait = request.expiry - now > to_ticks(TOKEN_REQUEST_TIMEOUT * 2);
        let waits = !reserved && can_wait;
        let prefetch = if self.lenders_remote { self.reserve.tokens_to_request(&tenant, at) } else { 0 };
        if waits || prefetch > 0 {
            // Fails only while the program ends, when the receiver is gone.
            let _ =
                self.token_requests.send(TokenRequest { waiting: waits.then_some(txn), tenant, prefetch });
        }
        if reserved {
            Verdict::Admitted(request)
        } else if waits {
            self.waiting.insert(txn, request);
            Verdict::Waiting
        } else {
            self.admit_by_bucket(request, at)
        }
    }

    /// Admits or rejects a request by the tenant's bucket at this proxy.
    fn admit_by_bucket(&mut self, request: AuthorizedRequest, at: Timestamp) -> Verdict {
        if let Some(tenant) = &request.tenant
            && let Err(QuotaExceeded { retry_after }) = self.buckets.try_admit(&tenant.name, tenant.quota, at)
        {
            return Verdict::rejected(retry_after.max(MIN_RETRY_AFTER));
        }
        Verdict::Admitted(request)
    }

    /// Records that lenders answered and adds prefetched tokens to the reserve. The caller then resumes the waiting
    /// requests one by one with [`Admission::resume`].
    pub(super) fn record_grants(&mut self, grants: &TokenGrants, at: Timestamp) {
        let answered = grants.waiting.iter().any(|waiting| waiting.answer != TokenAnswer::NoAnswer);
        if answered || grants.prefetched.iter().any(|prefetched| prefetched.tokens > 0) {
            self.buckets.record_lender_answer(at);
        }
        for prefetched in &grants.prefetched {
            self.reserve.record_lease(&prefetched.tenant, prefetched.tokens, at);
        }
    }

    /// Decides on a request that waited for a token. Returns `None` if its client has left or its time is over; a token
    /// that was granted goes to the reserve then.
    pub(super) fn resume(
        &mut self,
        txn: TxnId,
        answer: TokenAnswer,
        now: Ticks,
        at: Timestamp,
    ) -> Option<Verdict> {
        let request = self.waiting.remove(&txn)?;
        let tenant = request.tenant.clone()?;
        // The router has answered a request whose time is over, and would report no end of an attempt for it.
        if request.abandoned || request.expiry <= now {
            if answer == TokenAnswer::Granted {
                self.reserve.add_tokens(&tenant.name, 1, at);
            }
            return None;
        }
        Some(match answer {
            TokenAnswer::Granted => Verdict::Admitted(request),
            TokenAnswer::NoAnswer => self.admit_by_bucket(request, at),
            TokenAnswer::Refused => self.reject_by_lender(tenant.quota),
        })
    }

    /// Rejects a request that a lender refused. Each lender holds an equal share of the quota, so its next token takes
    /// `lenders / rate` seconds.
    fn reject_by_lender(&self, quota: Quota) -> Verdict {
        let lenders = f64::from(self.lender_count.unwrap_or(1));
        let wait = Duration::from_secs_f64(lenders / quota.rate.max(MIN_RATE));
        Verdict::rejected(wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER))
    }

    /// Marks a waiting request as abandoned by its client. Returns false if the request does not wait for a token.
    pub(super) fn abandon(&mut self, txn: TxnId) -> bool {
        match self.waiting.get_mut(&txn) {
            Some(request) => {
                request.abandoned = true;
                true
            }
            None => false,
        }
    }

    /// Returns the token of a request that reached no backend.
    pub(super) fn refund(&mut self, tenant: &Rc<str>, at: Timestamp) {
        match self.lender_count {
            Some(_) => self.reserve.add_tokens(tenant, 1, at),
            None => self.buckets.refund(tenant),
        }
    }

    /// Adjusts this proxy's quota shares to the usage of all proxies.
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

    /// Requests admitted since the start, by tenant.
    pub(super) fn admitted_counts(&self) -> BTreeMap<String, u64> {
        self.buckets.admitted_counts()
    }

    /// This proxy's share of each tenant's quota.
    pub(super) fn quota_shares(&self) -> BTreeMap<String, f64> {
        self.buckets.quota_shares()
    }
}
