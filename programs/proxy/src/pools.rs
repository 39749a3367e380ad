//! All routing decisions of one proxy, without sockets and with no clock but the given ones.
//!
//! Each service in each region is a [`BackendPool`] with a policy balancer of its own, which chooses among the pool's
//! backends. Around the balancers, [`BackendPools`] decides whether a request is admitted ([`admission`]), which pools it
//! may go to and in which order ([`request`]), whether one more attempt is allowed ([`retry`]), and what a backend that
//! is warming up may be sent ([`warm_up`]). [`dispatch`] joins these.
//!
//! Invariants: a balancer is notified of the end of every attempt that it asked for, also after the request's client was
//! answered; a request is forgotten only when all its attempts have ended.

mod admission;
mod backend_pool;
mod backend_table;
mod dispatch;
mod request;
mod retry;
mod warm_up;

use crate::routing::RoutingTables;
use crate::snapshot::Snapshot;
use crate::status::ProxyStatus;
use crate::update::{TokenRequest, Update};
use admission::Admission;
use backend_pool::BackendPool;
use backend_table::BackendTable;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use request::RequestInFlight;
use retry::RetryBudgets;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use vanewharf_clock::MonotonicClock;
use vanewharf_config::config::RouteKind;
use vanewharf_config::settings::LimitsTable;
use vanewharf_gateway::answer::FinalAnswer;
use vanewharf_gateway::messages::BackendUpdate;
use vanewharf_gateway::router::RoutingPolicy;
use vanewharf_health::AttemptHistory;
use vanewharf_http1::Reply;
use vanewharf_policy::interface::{Action, Arrival, BackendId, Event, Idempotency, Ticks, TxnId};
use vanewharf_protocol::messages::{FleetSummary, Register};

/// One service in one region.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct PoolKey {
    service: Rc<str>,
    region: Rc<str>,
}

/// Where this proxy stands, and where all zones are.
pub struct Location {
    /// This proxy's zone.
    pub zone: String,
    /// This proxy's region.
    pub region: String,
    /// The region of each zone.
    pub zones: BTreeMap<String, String>,
}

impl Location {
    /// The region of a zone; empty where the zone is unknown.
    fn region_of(&self, zone: &str) -> Rc<str> {
        Rc::from(self.zones.get(zone).map_or("", String::as_str))
    }

    fn is_own_region(&self, zone: &str) -> bool {
        self.zones.get(zone) == Some(&self.region)
    }
}

/// What the decisions of one proxy start from.
pub struct PoolsConfig {
    /// Where this proxy stands.
    pub location: Location,
    /// The limits that the rules set.
    pub limits: LimitsTable,
    /// The system starts for the first time: nothing can have been spent before.
    pub initial_start: bool,
    /// Seeds all random draws.
    pub seed: u64,
}

/// All decisions of one proxy.
pub struct BackendPools {
    location: Location,
    limits: LimitsTable,
    snapshot: Rc<Snapshot>,
    clock: MonotonicClock,
    random: SmallRng,
    /// What the routing tables were made from.
    register: Option<Rc<Register>>,
    tables: Option<Rc<RoutingTables>>,
    pools: BTreeMap<PoolKey, BackendPool>,
    backends: BackendTable,
    requests: BTreeMap<TxnId, RequestInFlight>,
    /// Requests that were answered since the last batch of events; some may have attempts in flight.
    concluded: Vec<TxnId>,
    admission: Admission,
    retry_budgets: RetryBudgets,
    /// Attempts that this proxy made at backends of late, for the detection of unhealthy ones.
    attempt_history: AttemptHistory,
    /// By how many proxies what all may do together is divided.
    proxy_count: f64,
    /// Actions that followed from updates, to be carried out with the next batch of events.
    pending: Vec<Action>,
    status: Rc<ProxyStatus>,
}

impl BackendPools {
    /// Decisions that know no configuration and no backends yet. Wanted tokens are requested through `token_requests`,
    /// and what the proxy reports to the control plane is published in `status`.
    pub fn start(
        config: PoolsConfig,
        snapshot: Rc<Snapshot>,
        status: Rc<ProxyStatus>,
        token_requests: mpsc::UnboundedSender<TokenRequest>,
    ) -> BackendPools {
        let PoolsConfig { location, limits, initial_start, seed } = config;
        let clock = snapshot.clock;
        BackendPools {
            snapshot,
            clock,
            random: SmallRng::seed_from_u64(seed),
            register: None,
            tables: None,
            pools: BTreeMap::new(),
            backends: BackendTable::default(),
            requests: BTreeMap::new(),
            concluded: Vec::new(),
            admission: Admission::new(limits.rate_allowance, initial_start, token_requests, clock.now()),
            retry_budgets: RetryBudgets::new(&limits, initial_start),
            attempt_history: AttemptHistory::default(),
            proxy_count: 1.0,
            pending: Vec::new(),
            status,
            location,
            limits,
        }
    }

    /// Whether the register changes anything for this proxy; then requests are routed by it from now on.
    fn apply_register(&mut self, register: Rc<Register>) -> bool {
        let previous = self.register.replace(Rc::clone(&register));
        if previous.is_some_and(|previous| previous.routes_like(&register)) {
            return false;
        }
        let Some(tables) = RoutingTables::from_register(&register).map(Rc::new) else {
            return false;
        };
        if let Some(previous) = &self.tables {
            let reopened = previous.evacuated.difference(&tables.evacuated);
            self.backends.reopen_zones(reopened, self.clock.now());
        }
        self.tables = Some(Rc::clone(&tables));
        *self.snapshot.tables.borrow_mut() = Some(tables);
        true
    }

    /// Whether the summary changes what is known of backends' health.
    fn apply_fleet_summary(&mut self, summary: &FleetSummary) -> bool {
        // Whoever counts no proxies has no reports yet.
        if summary.quota_divisor == 0 {
            return false;
        }
        let at = self.clock.now();
        let mut controllers = summary.controllers.iter();
        let lenders_remote = !controllers.any(|controller| self.location.is_own_region(&controller.zone));
        self.proxy_count = f64::from(summary.quota_divisor);
        self.admission.apply_fleet_summary(summary, lenders_remote, self.tables.as_deref(), at);
        *self.status.admitted.borrow_mut() = self.admission.admitted_counts();
        *self.status.quota_shares.borrow_mut() = self.admission.quota_shares();
        *self.status.attempts.borrow_mut() = self.attempt_history.failing_backends(at);
        self.backends.set_unhealthy(&summary.unhealthy)
    }

    /// Brings all pools up to date with the newest backend list, configuration and health of backends.
    fn refresh_backends(&mut self, now: Ticks) -> BackendUpdate {
        let at = self.clock.now();
        let Some(tables) = self.tables.clone() else {
            return BackendUpdate::Changes(Vec::new());
        };
        let Some(removed) = self.backends.apply_list(&self.location) else {
            return BackendUpdate::Changes(Vec::new());
        };
        for backend in removed {
            if let Some(pool) = self.pools.get_mut(&backend.pool) {
                pool.remove_backend(backend.id, now);
            }
        }
        let refreshed = self.backends.refresh(&tables, &self.location.zone, now, at);
        for change in refreshed.changes {
            self.pool(&change.pool, now).decide(now, Event::BackendChanges(vec![change.info]));
        }
        BackendUpdate::Snapshot(refreshed.entries)
    }

    /// The pool of that key, which comes into being when it is first needed.
    fn pool(&mut self, key: &PoolKey, now: Ticks) -> &mut BackendPool {
        let (tables, random) = (self.tables.as_deref(), &mut self.random);
        let pools = &mut self.pools;
        if !pools.contains_key(key) {
            pools.insert(key.clone(), BackendPool::new(tables, &key.service, random, now));
        }
        pools.get_mut(key).expect("it was inserted where it was missing")
    }

    /// Forgets requests that were answered and have no attempts in flight any more.
    fn forget_finished_requests(&mut self) {
        for txn in std::mem::take(&mut self.concluded) {
            if self.requests.get(&txn).is_some_and(RequestInFlight::is_finished) {
                self.requests.remove(&txn);
            }
        }
    }
}

impl RoutingPolicy for BackendPools {
    type Update = Update;

    fn decide(&mut self, now: Ticks, events: Vec<Event>) -> Vec<Action> {
        self.forget_finished_requests();
        self.admission.shrink_when_cut_off(self.clock.now());
        let mut actions = std::mem::take(&mut self.pending);
        for event in events {
            match event {
                Event::RequestArrived(arrival) => self.handle_arrival(&arrival, now, &mut actions),
                Event::AttemptEnded(report) => self.handle_attempt_end(report, now, &mut actions),
                Event::ClientDisconnected(txn) => self.handle_disconnect(txn, now, &mut actions),
                // Quota counters, peers and their timers belong to other deployments; backends come as updates.
                _ => {}
            }
        }
        actions
    }

    fn idempotency(&self, arrival: &Arrival) -> Idempotency {
        let authorized = self.snapshot.authorized.borrow();
        match authorized.get(&arrival.txn).map(|request| request.rule.kind) {
            Some(RouteKind::ReadOnly) => Idempotency::Idempotent,
            _ => Idempotency::NonIdempotent,
        }
    }

    fn apply_update(&mut self, now: Ticks, update: Update) -> Option<BackendUpdate> {
        let backends_changed = match update {
            Update::Register(register) => self.apply_register(register),
            Update::BackendList { list, taken_at } => {
                self.backends.set_list(list, taken_at);
                true
            }
            Update::FleetSummary(summary) => self.apply_fleet_summary(&summary),
            Update::TokenGrants(grants) => {
                self.apply_token_grants(grants, now);
                false
            }
        };
        backends_changed.then(|| self.refresh_backends(now))
    }

    fn extra_headers(&self, txn: TxnId, backend: BackendId) -> Vec<(&'static str, String)> {
        let instance = self.backends.get(backend).map(|backend| backend.listed.id.clone());
        let instance = instance.map(|instance| ("Expected-Instance", instance));
        let tenant = self.requests.get(&txn).and_then(|request| request.tenant.as_ref());
        let tenant = tenant.map(|tenant| ("Customer-Name", tenant.name.to_string()));
        instance.into_iter().chain(tenant).collect()
    }

    /// A backend's error reply is relayed in place of an own answer, except where its status tells the client that the
    /// request did not run: it may have run at another backend.
    fn final_answer(&self, _: TxnId, answer: FinalAnswer, failure: Option<Reply>) -> FinalAnswer {
        match (answer, failure) {
            (FinalAnswer::OutcomeUnknown | FinalAnswer::Declined { retry_after: None }, Some(reply))
                if !matches!(reply.status(), 408 | 421 | 429 | 503) =>
            {
                FinalAnswer::Forwarded(reply)
            }
            (answer, _) => answer,
        }
    }
}

/// A duration in ticks.
fn to_ticks(duration: Duration) -> Ticks {
    Ticks((duration.as_micros() / 100).min(i64::MAX as u128) as i64)
}

#[cfg(test)]
mod tests;
