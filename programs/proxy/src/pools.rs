//! All decisions of one carrier, pure: each service in each region is a round of its own, with a decision module that
//! picks among its backends. Here stands what is decided before and round it: the tenant's bucket, which rounds a request
//! may go, how often it may be sent on, what a cold backend may be given.

use crate::routing::{RequestClass, RouteRule, RoutingTables, Tenant};
use crate::snapshot::{AuthorizedRequest, Snapshot};
use crate::status::ProxyStatus;
use crate::update::{TOKEN_REQUEST_TIMEOUT, TokenAnswer, TokenGrants, TokenRequest, Update};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use vanewharf_clock::{MonotonicClock, Timestamp};
use vanewharf_config::config::RouteKind;
use vanewharf_config::settings::LimitsTable;
use vanewharf_gateway::answer::FinalAnswer;
use vanewharf_gateway::messages::{BackendEntry, BackendUpdate};
use vanewharf_gateway::router::RoutingPolicy;
use vanewharf_health::{AttemptHistory, is_shared_cause, weight_for_failure_share};
use vanewharf_health::{RetryBudget, RetryPolicy, SlowStart, SlowStartLimit, SlowStartPolicy, pick_weighted};
use vanewharf_http1::Reply;
use vanewharf_policy::decide::Balancer;
use vanewharf_policy::interface::{self as told, *};
use vanewharf_protocol::messages::{Backend, BackendList, HostCounts, Register};
use vanewharf_quota::{InitialFill, Quota, QuotaExceeded, ShareOwner, TokenBuckets, TokenReserve};

/// One service in one region.
type PoolKey = (Rc<str>, Rc<str>);

struct BackendPool {
    door: Balancer,
    /// What the module tells requests apart by.
    classes: Vec<RequestClass>,
    /// What is out of it, and since when it refuses all though nothing is.
    out: usize,
    stuck: Option<Timestamp>,
}

struct PooledBackend {
    server: Backend,
    key: PoolKey,
    /// Cold until then.
    cold_until: Timestamp,
    cold: Option<SlowStart>,
    shown: Option<BackendInfo>,
}

/// One submission: its round, the number it has there, and whether its end is known.
struct Attempt {
    key: PoolKey,
    backend: BackendId,
    local: AttemptNumber,
    ended: bool,
}

/// One request under way.
struct RequestInFlight {
    rule: Rc<RouteRule>,
    tenant: Option<Rc<Tenant>>,
    service: Rc<str>,
    /// The regions still to be tried, the next one last.
    regions: Vec<Rc<str>>,
    round: Option<PoolKey>,
    expiry: Ticks,
    sent: Vec<Attempt>,
    /// How many each round has asked for, sent or not.
    asked: Vec<(PoolKey, u32)>,
    /// One of them reached a backend.
    arrived: bool,
    may_have_run: bool,
    concluded: bool,
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
    initial_start: bool,
    chance: SmallRng,
    /// What the tables were made from.
    register: Option<Rc<Register>>,
    tables: Option<Rc<RoutingTables>>,
    list: Option<(Rc<BackendList>, Timestamp)>,
    rounds: BTreeMap<PoolKey, BackendPool>,
    backends: BTreeMap<BackendId, PooledBackend>,
    ids: HashMap<String, BackendId>,
    named: u32,
    ways: BTreeMap<TxnId, RequestInFlight>,
    over: Vec<TxnId>,
    buckets: TokenBuckets,
    reported: Rc<ProxyStatus>,
    repeats: BTreeMap<Rc<str>, RetryBudget>,
    doors: f64,
    /// Where postmasters lend: their number, and the asks to them.
    lenders: Option<u32>,
    asks: mpsc::UnboundedSender<TokenRequest>,
    /// Requests that wait for a token.
    waiting: BTreeMap<TxnId, AuthorizedRequest>,
    /// Tokens that were lent and wait for their requests.
    pocket: TokenReserve,
    /// No lender is in this door's region.
    lenders_far: bool,
    /// What came of news, to be carried out with the next batch.
    pending: Vec<Action>,
    /// Cold from when their evacuation ended.
    thawing: BTreeMap<String, Timestamp>,
    /// What this door saw of backends, and what all doors together did.
    seen: AttemptHistory,
    ill: BTreeMap<String, f64>,
}

/// Of a request's aim, the time by which the module goes. It takes a third of that for the longest that an answer may
/// be expected to take, as where aims are many times the usual answer; here they are three times that.
const PATIENT: f64 = 2.0;
/// How long a module may refuse all with nothing out.
const STUCK: Duration = Duration::from_millis(300);
/// The wait before a refusal by the bucket is worth another try, at least.
const LEAST_WAIT: Duration = Duration::from_millis(50);

impl BackendPools {
    /// Decisions that know no configuration and no backends yet.
    pub fn start(
        config: PoolsConfig,
        snapshot: Rc<Snapshot>,
        reported: Rc<ProxyStatus>,
        asks: mpsc::UnboundedSender<TokenRequest>,
    ) -> BackendPools {
        let PoolsConfig { location, limits, initial_start, seed } = config;
        let clock = snapshot.clock;
        let buckets =
            TokenBuckets::new(limits.rate_allowance, InitialFill::at_start(initial_start), clock.now());
        BackendPools {
            location,
            limits,
            snapshot,
            clock,
            initial_start,
            chance: SmallRng::seed_from_u64(seed),
            register: None,
            tables: None,
            list: None,
            rounds: BTreeMap::new(),
            backends: BTreeMap::new(),
            ids: HashMap::new(),
            named: 0,
            ways: BTreeMap::new(),
            over: Vec::new(),
            buckets,
            reported,
            repeats: BTreeMap::new(),
            doors: 1.0,
            lenders: None,
            asks,
            waiting: BTreeMap::new(),
            pocket: TokenReserve::default(),
            lenders_far: false,
            pending: Vec::new(),
            thawing: BTreeMap::new(),
            seen: AttemptHistory::default(),
            ill: BTreeMap::new(),
        }
    }

    fn region(&self, zone: &str) -> Rc<str> {
        Rc::from(self.location.zones.get(zone).map_or("", String::as_str))
    }

    fn repeat_rule(&self) -> RetryPolicy {
        let LimitsTable { retry_ratio: ratio, retry_allowance: allowance, .. } = self.limits;
        RetryPolicy { ratio, allowance, proxies: self.doors }
    }

    /// Backends anew by list and register: who is there, in which round, and who may get something.
    fn arrange(&mut self, now: Ticks) -> BackendUpdate {
        let at = self.clock.now();
        let (Some((list, listed)), Some(tables)) = (self.list.clone(), self.tables.clone()) else {
            return BackendUpdate::Changes(Vec::new());
        };
        let mut named = BTreeSet::new();
        for server in &list.backends {
            let id = *self.ids.entry(server.id.clone()).or_insert_with(|| {
                self.named += 1;
                BackendId(self.named)
            });
            named.insert(id);
            let key = (Rc::from(server.service.as_str()), self.region(&server.zone));
            let cold_until = listed.after(Duration::from_millis(server.warmup_left_ms));
            let known = self.backends.entry(id).or_insert_with(|| PooledBackend {
                server: server.clone(),
                key,
                cold_until,
                cold: None,
                shown: None,
            });
            known.cold_until = known.cold_until.max(cold_until);
            known.server = server.clone();
        }
        self.backends.retain(|id, backend| {
            let stays = named.contains(id);
            if !stays {
                self.ids.remove(&backend.server.id);
                if let Some(round) = self.rounds.get_mut(&backend.key) {
                    let gone = BackendInfo {
                        backend: *id,
                        status: BackendStatus::Gone,
                        capacity: 1.0,
                        local: false,
                        started_at: None,
                    };
                    round.door.decide(now, vec![Event::BackendChanges(vec![gone])]);
                }
            }
            stays
        });
        // How many of each round's are ill: where most are, the cause is shared.
        let mut parts: BTreeMap<&PoolKey, (usize, usize)> = BTreeMap::new();
        for backend in self.backends.values() {
            let (ill, all) = parts.entry(&backend.key).or_default();
            (*ill, *all) = (*ill + usize::from(self.ill.contains_key(&backend.server.id)), *all + 1);
        }
        let shared: BTreeSet<PoolKey> = parts
            .iter()
            .filter(|(_, (ill, all))| is_shared_cause(*ill, *all))
            .map(|(key, _)| (*key).clone())
            .collect();
        let mut entries = Vec::new();
        let ids: Vec<_> = self.backends.keys().copied().collect();
        for id in ids {
            let Some(backend) = self.backends.get_mut(&id) else {
                continue;
            };
            if let Some(thawed) = self.thawing.get(&backend.server.zone) {
                let warmup = tables.services.get(&backend.server.service).map(|service| service.warmup);
                backend.cold_until = backend.cold_until.max(thawed.after(warmup.unwrap_or_default()));
            }
            let shut = backend.server.draining || tables.evacuated.contains(&backend.server.zone);
            let cold = backend.cold_until.since(at);
            let service = tables.services.get(&backend.server.service);
            let warmup = service.map(|service| service.warmup).unwrap_or_default();
            let booted = (!cold.is_zero()).then(|| now - ticks(warmup.saturating_sub(cold)));
            let share = self.ill.get(&backend.server.id).filter(|_| !shared.contains(&backend.key));
            let entry = BackendInfo {
                backend: id,
                status: if shut { BackendStatus::Draining } else { BackendStatus::Ready },
                capacity: f64::from(backend.server.capacity)
                    * share.map_or(1.0, |share| weight_for_failure_share(*share)),
                local: backend.server.zone == self.location.zone,
                started_at: booted,
            };
            let address: Option<SocketAddr> = Some(backend.server.address);
            let shown = backend.shown.as_ref();
            // When it began to be cold is only known roughly, and told once.
            let same = shown.is_some_and(|shown| {
                let booted = shown.started_at.filter(|_| entry.started_at.is_some()).or(entry.started_at);
                BackendInfo { started_at: booted, ..entry.clone() } == *shown
            });
            let key = backend.key.clone();
            let entry = if same { shown.cloned().unwrap_or(entry) } else { entry };
            let changed = !same;
            backend.shown = Some(entry.clone());
            if changed {
                let event = vec![Event::BackendChanges(vec![entry.clone()])];
                self.round(&key, now).door.decide(now, event);
            }
            entries.push(BackendEntry { listed: entry, address });
        }
        BackendUpdate::Snapshot(entries)
    }

    fn round(&mut self, key: &PoolKey, now: Ticks) -> &mut BackendPool {
        if !self.rounds.contains_key(key) {
            let tables = self.tables.as_deref();
            let mut classes: Vec<_> =
                tables.map(|tables| tables.request_classes()).unwrap_or_default().into_iter().collect();
            for kind in [RouteKind::ReadOnly, RouteKind::Mutating] {
                if !classes.iter().any(|class| class.kind == kind) {
                    classes.push(RequestClass { target: Duration::from_millis(500), kind, precedence: 1 });
                }
            }
            let warmup = tables.and_then(|tables| tables.services.get(&*key.0)).map(|service| service.warmup);
            let start = start(&classes, warmup.unwrap_or_default(), self.chance.random(), now);
            self.rounds.insert(
                key.clone(),
                BackendPool { door: Balancer::new(start), classes, out: 0, stuck: None },
            );
        }
        self.rounds.get_mut(key).expect("just put there")
    }

    fn arrived(&mut self, arrival: Arrival, now: Ticks, actions: &mut Vec<Action>) {
        let id = arrival.txn;
        let entry = {
            let mut entries = self.snapshot.authorized.borrow_mut();
            // Those before it were turned back after all.
            let later = entries.split_off(&TxnId(id.0 + 1));
            let entry = entries.remove(&id);
            *entries = later;
            entry
        };
        let Some(entry) = entry else {
            return actions.push(Action::Reject { txn: id, retry_after: None });
        };
        self.count(&entry.rule);
        let at = self.clock.now();
        let limited = entry.tenant.as_ref().filter(|tenant| tenant.quota.rate > 0.0).cloned();
        if let (Some(tenant), Some(_)) = (limited, self.lenders) {
            let tenant = Rc::clone(&tenant.name);
            self.pocket.record_request(&tenant, at);
            let pocketed = self.pocket.take_token(&tenant, at);
            // One that has hardly time to wait for an answer goes by what this door has itself.
            let waits = !pocketed && arrival.deadline - now > ticks(TOKEN_REQUEST_TIMEOUT * 2);
            let more = if self.lenders_far { self.pocket.tokens_to_request(&tenant, at) } else { 0 };
            if waits || more > 0 {
                // The asks end with the program only.
                let _ = self.asks.send(TokenRequest { waiting: waits.then_some(id), tenant, prefetch: more });
            }
            if pocketed {
                return self.let_in(arrival, entry, now, actions);
            }
            if waits {
                self.waiting.insert(id, AuthorizedRequest { expiry: arrival.deadline, ..entry });
                return;
            }
        }
        self.by_bucket(arrival, entry, now, actions);
    }

    fn pocket_one(&mut self, tenant: &Rc<str>) {
        self.pocket.add_tokens(tenant, 1, self.clock.now());
    }

    /// What came of asks for tokens.
    fn lent(&mut self, loans: TokenGrants, now: Ticks) {
        let (mut actions, at) = (Vec::new(), self.clock.now());
        if loans.waiting.iter().any(|(_, answer)| *answer != TokenAnswer::NoAnswer)
            || loans.prefetched.iter().any(|(_, lent)| *lent > 0)
        {
            self.buckets.record_lender_answer(at);
        }
        loans.prefetched.iter().for_each(|(tenant, tokens)| self.pocket.record_lease(tenant, *tokens, at));
        for (id, lent) in loans.waiting {
            let Some(entry) = self.waiting.remove(&id) else {
                continue;
            };
            let Some(tenant) = entry.tenant.clone() else {
                continue;
            };
            if entry.abandoned {
                if lent == TokenAnswer::Granted {
                    self.pocket_one(&tenant.name);
                }
                continue;
            }
            let arrival = Arrival { txn: id, deadline: entry.expiry, ..Arrival::default() };
            match lent {
                TokenAnswer::Granted => self.let_in(arrival, entry, now, &mut actions),
                TokenAnswer::NoAnswer => self.by_bucket(arrival, entry, now, &mut actions),
                TokenAnswer::Refused => {
                    let lenders = f64::from(self.lenders.unwrap_or(1));
                    let wait = Duration::from_secs_f64(lenders / tenant.quota.rate.max(1e-3));
                    let retry_after = Some(ticks(wait.clamp(LEAST_WAIT, Duration::from_secs(30))));
                    actions.push(Action::Reject { txn: id, retry_after });
                }
            }
        }
        self.pending.append(&mut actions);
    }

    /// By the tenant's bucket at this door.
    fn by_bucket(
        &mut self,
        arrival: Arrival,
        entry: AuthorizedRequest,
        now: Ticks,
        actions: &mut Vec<Action>,
    ) {
        let (id, at) = (arrival.txn, self.clock.now());
        let AuthorizedRequest { tenant, .. } = &entry;
        if let Some(tenant) = tenant
            && let Err(QuotaExceeded { retry_after: wait }) =
                self.buckets.try_admit(&tenant.name, tenant.quota, at)
        {
            let retry_after = Some(ticks(wait.max(LEAST_WAIT)));
            return actions.push(Action::Reject { txn: id, retry_after });
        }
        self.let_in(arrival, entry, now, actions);
    }

    fn let_in(&mut self, arrival: Arrival, entry: AuthorizedRequest, now: Ticks, actions: &mut Vec<Action>) {
        let (id, AuthorizedRequest { rule, tenant, .. }) = (arrival.txn, entry);
        let draw = self.chance.random::<f64>();
        let service = pick_weighted(rule.services.iter().map(|service| service.weight), draw);
        let service = Rc::clone(&rule.services[service].name);
        let homes = |region: &str| {
            let within = |homes: &[String]| homes.is_empty() || homes.iter().any(|home| home == region);
            within(&rule.home_regions) && tenant.as_ref().is_none_or(|tenant| within(&tenant.home_regions))
        };
        let mut regions: Vec<Rc<str>> = Vec::new();
        for region in self.location.zones.values().filter(|region| homes(region)) {
            if !regions.iter().any(|known| **known == **region) {
                regions.push(Rc::from(region.as_str()));
            }
        }
        // This door's own comes first: the next one is taken from the end.
        regions.sort_by_key(|region| **region == *self.location.region);
        let rule_now = self.repeat_rule();
        let first = self.initial_start;
        let start = || if first { RetryBudget::full(&rule_now) } else { RetryBudget::empty() };
        self.repeats.entry(Rc::clone(&service)).or_insert_with(start).record_request(&rule_now);
        let way = RequestInFlight {
            rule,
            tenant,
            service,
            regions,
            round: None,
            expiry: arrival.deadline,
            sent: Vec::new(),
            asked: Vec::new(),
            arrived: false,
            may_have_run: false,
            concluded: false,
        };
        self.ways.insert(id, way);
        self.go_on(id, now, actions);
    }

    /// Where requests must be served, by host: the registry sends clients by it.
    fn count(&self, rule: &RouteRule) {
        let mut hosts = self.reported.hosts.borrow_mut();
        if !hosts.contains_key(&*rule.host) {
            hosts.insert(rule.host.to_string(), HostCounts::default());
        }
        if let Some(counts) = hosts.get_mut(&*rule.host) {
            counts.requests += 1;
            counts.homed += u64::from(!rule.home_regions.is_empty());
        }
    }

    /// To the next region's round; refused where none is left.
    fn go_on(&mut self, id: TxnId, now: Ticks, actions: &mut Vec<Action>) {
        let Some(way) = self.ways.get_mut(&id) else {
            return;
        };
        let spent = way.sent.len() >= way.rule.max_attempts
            || way.may_have_run && way.rule.kind == RouteKind::Mutating;
        let next = if spent { None } else { way.regions.pop() };
        let Some(region) = next else {
            if let Some(tenant) = way.tenant.clone().filter(|_| !way.arrived) {
                match self.lenders {
                    Some(_) => self.pocket_one(&tenant.name),
                    None => self.buckets.refund(&tenant.name),
                }
            }
            self.conclude(id);
            return actions.push(Action::Reject { txn: id, retry_after: None });
        };
        let key = (Rc::clone(&way.service), region);
        way.round = Some(key.clone());
        let (target, kind, expiry) = (way.rule.target, way.rule.kind, way.expiry);
        let (precedence, at) = (way.rule.precedence, self.clock.now());
        let round = self.round(&key, now);
        let product = nearest(&round.classes, target, kind, precedence);
        let arrival = Arrival {
            txn: id,
            product,
            claim: QuotaClaim { cost: 1.0, subset_size: 1, ..QuotaClaim::default() },
            deadline: expiry,
        };
        let decided = round.door.decide(now, vec![Event::RequestArrived(arrival)]);
        let refused = matches!(decided.as_slice(), [Action::Reject { .. }]);
        if refused && round.out == 0 {
            let since = *round.stuck.get_or_insert(at);
            if at.since(since) > STUCK {
                self.begin_anew(&key, now);
            }
        } else if !refused {
            round.stuck = None;
        }
        self.carry_out(&key, decided, now, actions);
    }

    /// A module that has learnt of long answers refuses all, and with nothing out never learns of short ones: it is
    /// started anew, with what is known of its backends.
    fn begin_anew(&mut self, key: &PoolKey, now: Ticks) {
        self.rounds.remove(key);
        let backends = self.backends.values().filter(|backend| backend.key == *key);
        let shown: Vec<_> = backends.filter_map(|backend| backend.shown.clone()).collect();
        self.round(key, now).door.decide(now, vec![Event::BackendList(shown)]);
    }

    fn conclude(&mut self, id: TxnId) {
        if let Some(way) = self.ways.get_mut(&id) {
            way.concluded = true;
            self.over.push(id);
        }
    }

    fn carry_out(&mut self, key: &PoolKey, decided: Vec<Action>, now: Ticks, actions: &mut Vec<Action>) {
        for action in decided {
            match action {
                Action::SendAttempt { txn, backend, .. } => self.submit(key, txn, backend, now, actions),
                Action::CancelAttempt { txn, attempt: no } => {
                    let way = self.ways.get(&txn);
                    let sent = way.and_then(|way| {
                        way.sent.iter().position(|sent| sent.key == *key && sent.local == no)
                    });
                    let no = sent.map(|no| AttemptNumber(no as u32));
                    actions.extend(no.map(|no| Action::CancelAttempt { txn, attempt: no }));
                }
                Action::Reject { txn, .. } => self.go_on(txn, now, actions),
                Action::Fail { txn } => {
                    self.conclude(txn);
                    actions.push(Action::Fail { txn });
                }
                // Words between doors, the counter and their timers are of other deployments.
                Action::SetTimer { .. }
                | Action::IncrementCounter { .. }
                | Action::SendPeerMessage { .. } => {}
            }
        }
    }

    fn submit(
        &mut self,
        key: &PoolKey,
        txn: TxnId,
        backend: BackendId,
        now: Ticks,
        actions: &mut Vec<Action>,
    ) {
        let may = self.may_submit(txn, backend);
        let Some(way) = self.ways.get_mut(&txn) else {
            return;
        };
        let asked = match way.asked.iter_mut().find(|(known, _)| known == key) {
            Some((_, asked)) => asked,
            None => {
                way.asked.push((key.clone(), 0));
                &mut way.asked.last_mut().expect("just put there").1
            }
        };
        let no = AttemptNumber(*asked);
        *asked += 1;
        if may {
            way.sent.push(Attempt { key: key.clone(), backend, local: no, ended: false });
            self.rounds.get_mut(key).into_iter().for_each(|round| round.out += 1);
            return actions.push(Action::SendAttempt { txn, backend, timeout: None });
        }
        // The module hears that nothing was sent, and looks further or gives up.
        let (outcome, took) = (Outcome::NotSent, Ticks(0));
        let ending = AttemptReport {
            txn,
            attempt: no,
            outcome,
            latency: took,
            complete: false,
            metered_usage: None,
            actual_cost: None,
        };
        let decided = self.round(key, now).door.decide(now, vec![Event::AttemptEnded(ending)]);
        self.carry_out(key, decided, now, actions);
    }

    fn may_submit(&mut self, txn: TxnId, backend: BackendId) -> bool {
        let at = self.clock.now();
        let Some(way) = self.ways.get(&txn) else {
            return false;
        };
        if way.sent.len() >= way.rule.max_attempts {
            return false;
        }
        let Some(known) = self.backends.get_mut(&backend) else {
            return false;
        };
        if known.cold_until > at {
            let service = self.tables.as_ref().and_then(|tables| tables.services.get(&known.server.service));
            let per_s = service.map_or(0.0, |service| service.warmup_per_s);
            let LimitsTable { warmup_overshoot, warmup_allowance, .. } = self.limits;
            let part = SlowStartLimit::per_proxy(SlowStartPolicy {
                rate_per_s: per_s,
                overshoot: warmup_overshoot,
                allowance: warmup_allowance,
                proxies: self.doors,
            });
            if !known.cold.get_or_insert_with(|| SlowStart::new(part, at)).try_spend(part, at) {
                return false;
            }
        }
        if !way.arrived {
            return true;
        }
        // The request itself has filled it when it was let in.
        self.repeats.get_mut(&way.service).is_some_and(RetryBudget::try_spend)
    }

    fn ended(&mut self, ending: AttemptReport, now: Ticks, actions: &mut Vec<Action>) {
        let Some(way) = self.ways.get_mut(&ending.txn) else {
            return;
        };
        let Some(sent) = way.sent.get_mut(ending.attempt.0 as usize) else {
            return;
        };
        sent.ended = true;
        way.arrived |= !matches!(ending.outcome, Outcome::NotSent | Outcome::ConnectFailed);
        way.may_have_run |= !ending.outcome.never_ran();
        let (key, no, backend) = (sent.key.clone(), sent.local, sent.backend);
        let id = ending.txn;
        // One that is full or was not asked tells nothing of its health.
        if !matches!(ending.outcome, Outcome::Rejected | Outcome::Cancelled | Outcome::NotSent)
            && let Some(known) = self.backends.get(&backend)
        {
            self.seen.record_attempt(
                &known.server.id,
                ending.outcome != Outcome::Succeeded,
                self.clock.now(),
            );
        }
        if way.concluded || ending.complete || ending.outcome == Outcome::Succeeded {
            self.conclude(id);
        }
        let Some(round) = self.rounds.get_mut(&key) else {
            return;
        };
        round.out = round.out.saturating_sub(1);
        let decided =
            round.door.decide(now, vec![Event::AttemptEnded(AttemptReport { attempt: no, ..ending })]);
        self.carry_out(&key, decided, now, actions);
    }
}

impl RoutingPolicy for BackendPools {
    type Update = Update;

    fn decide(&mut self, now: Ticks, events: Vec<Event>) -> Vec<Action> {
        // Kept until all that is out has ended: the rounds must hear of it.
        for id in std::mem::take(&mut self.over) {
            let over = |way: &RequestInFlight| way.concluded && way.sent.iter().all(|sent| sent.ended);
            if self.ways.get(&id).is_some_and(over) {
                self.ways.remove(&id);
            }
        }
        self.buckets.shrink_when_cut_off(self.clock.now());
        let mut actions = std::mem::take(&mut self.pending);
        for event in events {
            match event {
                Event::RequestArrived(arrival) => self.arrived(arrival, now, &mut actions),
                Event::AttemptEnded(ending) => self.ended(ending, now, &mut actions),
                Event::ClientDisconnected(id) if self.waiting.contains_key(&id) => {
                    self.waiting.get_mut(&id).into_iter().for_each(|entry| entry.abandoned = true);
                }
                Event::ClientDisconnected(id) => {
                    let key = self.ways.get(&id).and_then(|way| way.round.clone());
                    self.conclude(id);
                    if let Some((key, round)) =
                        key.and_then(|key| self.rounds.get_mut(&key).map(|round| (key, round)))
                    {
                        let decided = round.door.decide(now, vec![Event::ClientDisconnected(id)]);
                        self.carry_out(&key, decided, now, &mut actions);
                    }
                }
                _ => {}
            }
        }
        actions
    }

    fn idempotency(&self, arrival: &Arrival) -> Idempotency {
        let entries = self.snapshot.authorized.borrow();
        match entries.get(&arrival.txn).map(|entry| entry.rule.kind) {
            Some(RouteKind::ReadOnly) => Idempotency::Idempotent,
            _ => Idempotency::NonIdempotent,
        }
    }

    fn apply_update(&mut self, now: Ticks, news: Update) -> Option<BackendUpdate> {
        match news {
            Update::Register(register) => {
                let before = self.register.replace(Rc::clone(&register));
                if before.is_some_and(|before| before.routes_like(&register)) {
                    return None;
                }
                let tables = Rc::new(RoutingTables::from_register(&register)?);
                if let Some(before) = &self.tables {
                    let at = self.clock.now();
                    for zone in before.evacuated.difference(&tables.evacuated) {
                        self.thawing.insert(zone.clone(), at);
                    }
                }
                self.tables = Some(Rc::clone(&tables));
                *self.snapshot.tables.borrow_mut() = Some(tables);
            }
            Update::BackendList { list, taken_at } => self.list = Some((list, taken_at)),
            Update::TokenGrants(lent) => {
                self.lent(lent, now);
                return None;
            }
            Update::FleetSummary(ledger) if ledger.quota_divisor == 0 => return None,
            Update::FleetSummary(ledger) => {
                self.lenders = ledger.token_lenders;
                let region = |zone: &str| self.location.zones.get(zone);
                self.lenders_far =
                    !ledger.controllers.iter().any(|row| region(&row.zone) == Some(&self.location.region));
                self.pocket.drop_idle_tenants(self.clock.now());
                self.buckets.set_share_owner(ShareOwner::of(&ledger));
                self.doors = f64::from(ledger.quota_divisor);
                let tables = self.tables.clone();
                let quota = |tenant: &str| {
                    let none = Quota::UNLIMITED;
                    tables.as_ref().map_or(none, |tables| tables.quota(tenant))
                };
                self.buckets.apply_usage(ledger.quota_divisor, &ledger.tenants, quota, self.clock.now());
                *self.reported.admitted.borrow_mut() = self.buckets.admitted_counts();
                *self.reported.slices.borrow_mut() = self.buckets.quota_shares();
                *self.reported.attempts.borrow_mut() = self.seen.failing_backends(self.clock.now());
                if ledger.unhealthy == self.ill {
                    return None;
                }
                self.ill = ledger.unhealthy.clone();
            }
        }
        Some(self.arrange(now))
    }

    fn extra_headers(&self, txn: TxnId, backend: BackendId) -> Vec<(&'static str, String)> {
        let instance = self.backends.get(&backend).map(|known| known.server.id.clone());
        let tenant = self.ways.get(&txn).and_then(|way| way.tenant.as_ref());
        let instance = instance.map(|instance| ("Expected-Instance", instance));
        let tenant = tenant.map(|tenant| ("Customer-Name", tenant.name.to_string()));
        instance.into_iter().chain(tenant).collect()
    }

    /// The backend's own answer where there is one that promises nothing that may be untrue.
    fn final_answer(&self, _: TxnId, answer: FinalAnswer, failure: Option<Reply>) -> FinalAnswer {
        match (answer, failure) {
            (FinalAnswer::Voided | FinalAnswer::Declined { retry_after: None }, Some(reply))
                if !matches!(reply.status(), 408 | 421 | 429 | 503) =>
            {
                FinalAnswer::Settled(reply)
            }
            (answer, _) => answer,
        }
    }
}

fn ticks(span: Duration) -> Ticks {
    Ticks((span.as_micros() / 100).min(i64::MAX as u128) as i64)
}

/// The class of requests that is most like it; what is repeated differently is never taken for it.
fn nearest(classes: &[RequestClass], target: Duration, kind: RouteKind, precedence: u64) -> ProductId {
    let alike = classes.iter().enumerate().filter(|(_, class)| class.kind == kind);
    let far = |(_, class): &(usize, &RequestClass)| {
        (class.target.abs_diff(target), class.precedence.abs_diff(precedence))
    };
    ProductId(alike.min_by_key(far).map_or(0, |(no, _)| no))
}

/// What a round's module is told: aims, values by precedence, no quota of its own.
fn start(classes: &[RequestClass], warmup: Duration, seed: u64, now: Ticks) -> told::BalancerConfig {
    let product = |RequestClass { target, kind, precedence }: &RequestClass| Product {
        sla_time: ticks(target.mul_f64(PATIENT)),
        value: 1.0 / (1.0 + *precedence as f64),
        idempotency: if *kind == RouteKind::ReadOnly {
            Idempotency::Idempotent
        } else {
            Idempotency::NonIdempotent
        },
    };
    let plan = Plan {
        rate: 0.0,
        burst: 0.0,
        value_factor: 1.0,
        excess_value: 0.0,
        excess_cost: 0.0,
        hard_limit_rate: 0.0,
        hard_limit_burst: 0.0,
    };
    told::BalancerConfig {
        seed,
        started_at: now,
        gateway: GatewayId(0),
        gateway_count: 1,
        products: classes.iter().map(product).collect(),
        plans: vec![plan],
        allowed: AllowedActions {
            cancel: true,
            hedging: true,
            retry_after: true,
            max_retry_after: Ticks::SECOND,
            max_attempts: 4,
        },
        warm_up: WarmUp { initial_capacity: 0.2, ramp_time: ticks(warmup) },
        idle_timeout: Ticks(20_000),
        meter_period: Ticks(0),
        counter_timeout: None,
        peer_messages: false,
        max_cost: 1.0,
    }
}

#[cfg(test)]
mod tests;
