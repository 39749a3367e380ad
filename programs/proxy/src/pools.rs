//! The routing policy of one proxy. It is deterministic and uses no sockets.
//!
//! The backends of a service in one region form a `BackendPool` with its own balancer, which chooses among them.
//! [`ProxyPolicy`] decides the rest: whether a request is admitted (`admission`), which pools may serve it and in
//! which order (`request`), whether another attempt is allowed (`retry`), and how much traffic a backend receives while
//! it warms up (`warm_up`). `dispatch` implements the lifecycle of a request with these.
//!
//! Two clocks are in use. Parameters named `now` are the current time by the router's clock ([`Ticks`]), parameters
//! named `at` are the same time by the process's monotonic clock.
//!
//! Invariants: a balancer is notified of the end of every attempt that it requested, even after the client was
//! answered; the state of a request is removed only after all its attempts have ended.

mod admission;
mod backend_pool;
mod backend_table;
mod dispatch;
mod request;
mod retry;
mod route_products;
mod warm_up;

use crate::gate_state::GateState;
use crate::routing::RoutingTables;
use crate::status::ProxyStatus;
use crate::update::{TokenRequest, Update};
use admission::AdmissionController;
use backend_pool::BackendPool;
use backend_table::BackendTable;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use request::RequestInFlight;
use retry::RetryBudgets;
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::mpsc;
use vanewharf_clock::MonotonicClock;
use vanewharf_config::configuration::RouteKind;
use vanewharf_config::settings::LimitsTable;
use vanewharf_gateway::answer::FinalAnswer;
use vanewharf_gateway::messages::BackendUpdate;
use vanewharf_gateway::router::RoutingPolicy;
use vanewharf_health::AttemptHistory;
use vanewharf_http1::Reply;
use vanewharf_policy::interface::{Action, Arrival, BackendId, Event, Idempotency, Ticks, TxnId};
use vanewharf_protocol::messages::{FleetSummary, Register};

/// The statuses from which a client may conclude that its request did not run: Request Timeout, Misdirected
/// Request, Too Many Requests and Service Unavailable.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// The key of a pool: one service in one region.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct PoolKey {
    service: Rc<str>,
    region: Rc<str>,
}

/// The location of this proxy, and the regions of all zones.
pub struct Location {
    /// This proxy's zone.
    pub zone: String,
    /// This proxy's region.
    pub region: String,
    /// The region of each zone.
    pub zones: BTreeMap<String, String>,
}

impl Location {
    /// Returns the region of a zone; empty for an unknown zone.
    fn region_of(&self, zone: &str) -> Rc<str> {
        Rc::from(self.zones.get(zone).map_or("", String::as_str))
    }

    fn is_own_region(&self, zone: &str) -> bool {
        self.zones.get(zone) == Some(&self.region)
    }
}

/// The configuration of [`ProxyPolicy`].
pub struct ProxyPolicyConfig {
    /// The location of this proxy.
    pub location: Location,
    /// The platform's limits on all proxies together.
    pub limits: LimitsTable,
    /// Whether this is the first start of the whole system. On any other start, the budgets of quota tokens and retries
    /// start empty, because the previous process may just have spent them.
    pub initial_start: bool,
    /// The seed of all random draws.
    pub seed: u64,
}

/// The routing policy of one proxy.
pub struct ProxyPolicy {
    location: Location,
    limits: LimitsTable,
    gate_state: Rc<GateState>,
    clock: MonotonicClock,
    random: SmallRng,
    /// The register that the routing tables were built from.
    register: Option<Rc<Register>>,
    tables: Option<Rc<RoutingTables>>,
    pools: BTreeMap<PoolKey, BackendPool>,
    backends: BackendTable,
    requests: BTreeMap<TxnId, RequestInFlight>,
    /// The requests that were concluded since the last batch of events. Some may still have attempts in flight.
    concluded: Vec<TxnId>,
    admission: AdmissionController,
    retry_budgets: RetryBudgets,
    /// This proxy's recent attempts by backend, for outlier detection.
    attempt_history: AttemptHistory,
    /// The number of proxies that share the limits on all proxies together.
    proxy_count: f64,
    /// The actions that resulted from updates. They are returned with the next batch of events.
    pending_actions: Vec<Action>,
    status: Rc<ProxyStatus>,
}

impl ProxyPolicy {
    /// Creates the routing policy without configuration and backends. Token requests are sent to
    /// `token_requests`, and the counters for reports to the control plane are published in `status`.
    pub fn new(
        config: ProxyPolicyConfig,
        gate_state: Rc<GateState>,
        status: Rc<ProxyStatus>,
        token_requests: mpsc::UnboundedSender<TokenRequest>,
    ) -> ProxyPolicy {
        let ProxyPolicyConfig { location, limits, initial_start, seed } = config;
        let clock = gate_state.clock;
        ProxyPolicy {
            gate_state,
            clock,
            random: SmallRng::seed_from_u64(seed),
            register: None,
            tables: None,
            pools: BTreeMap::new(),
            backends: BackendTable::default(),
            requests: BTreeMap::new(),
            concluded: Vec::new(),
            admission: AdmissionController::new(
                limits.rate_allowance,
                initial_start,
                token_requests,
                clock.now(),
            ),
            retry_budgets: RetryBudgets::new(&limits, initial_start),
            attempt_history: AttemptHistory::default(),
            proxy_count: 1.0,
            pending_actions: Vec::new(),
            status,
            location,
            limits,
        }
    }

    /// Applies a newer register. Returns whether the routing tables were rebuilt.
    fn apply_register(&mut self, register: Rc<Register>) -> bool {
        let previous = self.register.replace(Rc::clone(&register));
        if previous.is_some_and(|previous| previous.has_same_routing(&register)) {
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
        *self.gate_state.tables.borrow_mut() = Some(tables);
        true
    }

    /// Applies a newer fleet summary. Returns whether the health of any backend changed.
    fn apply_fleet_summary(&mut self, summary: &FleetSummary) -> bool {
        // A leaseholder that counts no proxies has not received any reports yet, so its summary is ignored.
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

    /// Updates all pools to the newest backend list, routing tables and health of backends.
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

    /// Returns the pool of the given key, which is created on first use.
    fn pool(&mut self, key: &PoolKey, now: Ticks) -> &mut BackendPool {
        let (tables, random) = (self.tables.as_deref(), &mut self.random);
        let pools = &mut self.pools;
        if !pools.contains_key(key) {
            pools.insert(key.clone(), BackendPool::new(tables, &key.service, random, now));
        }
        pools.get_mut(key).expect("the pool was just inserted if it was missing")
    }

    /// Removes concluded requests that have no attempts in flight.
    fn remove_finished_requests(&mut self) {
        for txn in std::mem::take(&mut self.concluded) {
            if self.requests.get(&txn).is_some_and(RequestInFlight::is_finished) {
                self.requests.remove(&txn);
            }
        }
    }
}

impl RoutingPolicy for ProxyPolicy {
    type Update = Update;

    fn decide(&mut self, now: Ticks, events: Vec<Event>) -> Vec<Action> {
        self.remove_finished_requests();
        self.admission.shrink_when_cut_off(self.clock.now());
        let mut actions = std::mem::take(&mut self.pending_actions);
        for event in events {
            match event {
                Event::RequestArrived(arrival) => self.handle_arrival(&arrival, now, &mut actions),
                Event::AttemptEnded(report) => self.handle_attempt_end(report, now, &mut actions),
                Event::ClientDisconnected(txn) => self.handle_disconnect(txn, now, &mut actions),
                // The pools' balancers use no quota counters, peers or timers, and backend lists arrive as updates.
                _ => {}
            }
        }
        actions
    }

    fn idempotency(&self, arrival: &Arrival) -> Idempotency {
        let authorized = self.gate_state.authorized.borrow();
        match authorized.get(&arrival.txn).map(|request| request.rule.kind) {
            Some(RouteKind::ReadOnly) => Idempotency::Idempotent,
            _ => Idempotency::NonIdempotent,
        }
    }

    fn apply_update(&mut self, now: Ticks, update: Update) -> Option<BackendUpdate> {
        let backends_changed = match update {
            Update::Register(register) => self.apply_register(register),
            Update::BackendList { list, read_at } => {
                self.backends.set_list(list, read_at);
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

    /// Relays a backend's error reply instead of the proxy's own answer. The exception is a reply whose status
    /// means that the request did not run, because it may have run at another backend.
    fn final_answer(&self, _: TxnId, answer: FinalAnswer, failure: Option<Reply>) -> FinalAnswer {
        match (answer, failure) {
            (FinalAnswer::OutcomeUnknown | FinalAnswer::Declined { retry_after: None }, Some(reply))
                if !NOT_RUN_STATUSES.contains(&reply.status()) =>
            {
                FinalAnswer::Forwarded(reply)
            }
            (answer, _) => answer,
        }
    }
}

#[cfg(test)]
mod tests;
