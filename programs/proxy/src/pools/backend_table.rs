//! All backends of the newest list: which pool each belongs to, and what the pools' balancers and the router were last
//! told of it.
//!
//! A backend keeps its id for as long as the lists name it; ids are never reused.

use super::warm_up::WarmUp;
use super::{Location, PoolKey};
use crate::routing::RoutingTables;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;
use vanewharf_clock::Timestamp;
use vanewharf_gateway::messages::BackendEntry;
use vanewharf_health::{is_shared_cause, weight_for_failure_share};
use vanewharf_policy::interface::{BackendId, BackendInfo, BackendStatus, Ticks};
use vanewharf_protocol::messages::{Backend, BackendList};

/// One backend of the newest list.
pub(super) struct PooledBackend {
    /// What the list says of it.
    pub(super) listed: Backend,
    pool: PoolKey,
    pub(super) warm_up: WarmUp,
    /// What its pool's balancer was last told of it.
    pub(super) published: Option<BackendInfo>,
}

/// A backend that the newest list names no longer.
pub(super) struct RemovedBackend {
    pub(super) id: BackendId,
    pub(super) pool: PoolKey,
}

/// What a pool's balancer must be told of one backend.
pub(super) struct BackendChange {
    pub(super) pool: PoolKey,
    pub(super) info: BackendInfo,
}

/// The state of all backends after a refresh.
pub(super) struct Refreshed {
    /// All backends, for the router.
    pub(super) entries: Vec<BackendEntry>,
    /// Those that have changed, for their pools' balancers.
    pub(super) changes: Vec<BackendChange>,
}

/// The newest list of backends, and when it was taken.
struct TakenList {
    list: Rc<BackendList>,
    taken_at: Timestamp,
}

/// All backends, with what is known of their warm-up and health.
#[derive(Default)]
pub(super) struct BackendTable {
    newest_list: Option<TakenList>,
    pub(super) by_id: BTreeMap<BackendId, PooledBackend>,
    ids: HashMap<String, BackendId>,
    last_id: u32,
    /// When the evacuation of a zone ended: its backends have to warm up again, as they had no traffic.
    reopened_zones: BTreeMap<String, Timestamp>,
    /// The part of its attempts that each unhealthy backend fails, by all proxies' reports.
    pub(super) unhealthy: BTreeMap<String, f64>,
}

impl BackendTable {
    pub(super) fn get(&self, id: BackendId) -> Option<&PooledBackend> {
        self.by_id.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: BackendId) -> Option<&mut PooledBackend> {
        self.by_id.get_mut(&id)
    }

    pub(super) fn set_list(&mut self, list: Rc<BackendList>, taken_at: Timestamp) {
        self.newest_list = Some(TakenList { list, taken_at });
    }

    pub(super) fn reopen_zones<'a>(&mut self, zones: impl Iterator<Item = &'a String>, at: Timestamp) {
        self.reopened_zones.extend(zones.map(|zone| (zone.clone(), at)));
    }

    /// Replaces what is known of unhealthy backends; returns whether anything changed.
    pub(super) fn set_unhealthy(&mut self, unhealthy: &BTreeMap<String, f64>) -> bool {
        if self.unhealthy == *unhealthy {
            return false;
        }
        self.unhealthy = unhealthy.clone();
        true
    }

    /// What the balancer of a pool knows of its backends.
    pub(super) fn published_in(&self, pool: &PoolKey) -> Vec<BackendInfo> {
        let backends = self.by_id.values().filter(|backend| backend.pool == *pool);
        backends.filter_map(|backend| backend.published.clone()).collect()
    }

    /// Adds and removes backends by the newest list, and returns those that were removed. None where no list has come.
    pub(super) fn apply_list(&mut self, location: &Location) -> Option<Vec<RemovedBackend>> {
        let TakenList { list, taken_at } = self.newest_list.as_ref()?;
        let (list, taken_at) = (Rc::clone(list), *taken_at);
        let mut listed = BTreeSet::new();
        for backend in &list.backends {
            let id = self.id(&backend.id);
            listed.insert(id);
            let warm_until = taken_at.after(Duration::from_millis(backend.warmup_left_ms));
            let known = self.by_id.entry(id).or_insert_with(|| PooledBackend {
                listed: backend.clone(),
                pool: PoolKey {
                    service: Rc::from(backend.service.as_str()),
                    region: location.region_of(&backend.zone),
                },
                warm_up: WarmUp::new(warm_until),
                published: None,
            });
            known.warm_up.extend(warm_until);
            known.listed = backend.clone();
        }
        Some(self.remove_unlisted(&listed))
    }

    /// The id of the backend of that name, which gets a new one where it has none.
    fn id(&mut self, name: &str) -> BackendId {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        self.last_id += 1;
        let id = BackendId(self.last_id);
        self.ids.insert(name.to_owned(), id);
        id
    }

    fn remove_unlisted(&mut self, listed: &BTreeSet<BackendId>) -> Vec<RemovedBackend> {
        let mut removed = Vec::new();
        self.by_id.retain(|id, backend| {
            let stays = listed.contains(id);
            if !stays {
                self.ids.remove(&backend.listed.id);
                removed.push(RemovedBackend { id: *id, pool: backend.pool.clone() });
            }
            stays
        });
        removed
    }

    /// The pools most of whose backends are unhealthy: there the cause is shared, and no backend is spared.
    fn pools_with_shared_cause(&self) -> BTreeSet<PoolKey> {
        #[derive(Default)]
        struct HealthCounts {
            unhealthy: usize,
            all: usize,
        }
        let mut counts: BTreeMap<&PoolKey, HealthCounts> = BTreeMap::new();
        for backend in self.by_id.values() {
            let count = counts.entry(&backend.pool).or_default();
            count.unhealthy += usize::from(self.unhealthy.contains_key(&backend.listed.id));
            count.all += 1;
        }
        let shared = counts.into_iter().filter(|(_, count)| is_shared_cause(count.unhealthy, count.all));
        shared.map(|(pool, _)| pool.clone()).collect()
    }

    /// Determines anew what is to be known of each backend. `now` and `at` are the same time by the router's clock and
    /// by this process' clock.
    pub(super) fn refresh(
        &mut self,
        tables: &RoutingTables,
        own_zone: &str,
        now: Ticks,
        at: Timestamp,
    ) -> Refreshed {
        let shared_cause = self.pools_with_shared_cause();
        let mut refreshed = Refreshed { entries: Vec::new(), changes: Vec::new() };
        for (id, backend) in &mut self.by_id {
            let warm_up = tables.services.get(&backend.listed.service).map(|service| service.warmup);
            let warm_up = warm_up.unwrap_or_default();
            if let Some(reopened_at) = self.reopened_zones.get(&backend.listed.zone) {
                backend.warm_up.extend(reopened_at.after(warm_up));
            }
            let failure_share = self.unhealthy.get(&backend.listed.id);
            let failure_share = failure_share.filter(|_| !shared_cause.contains(&backend.pool));
            let info = BackendInfo {
                backend: *id,
                status: backend.status(tables),
                capacity: backend.effective_capacity(failure_share),
                local: backend.listed.zone == own_zone,
                started_at: backend.warm_up.started_at(warm_up, now, at),
            };
            if backend.publish(&info) {
                refreshed.changes.push(BackendChange { pool: backend.pool.clone(), info });
            }
            let listed = backend.published.clone().expect("it was just published");
            refreshed.entries.push(BackendEntry { listed, address: Some(backend.listed.address) });
        }
        refreshed
    }
}

impl PooledBackend {
    fn status(&self, tables: &RoutingTables) -> BackendStatus {
        if self.listed.draining || tables.evacuated.contains(&self.listed.zone) {
            BackendStatus::Draining
        } else {
            BackendStatus::Ready
        }
    }

    fn effective_capacity(&self, failure_share: Option<&f64>) -> f64 {
        let weight = failure_share.map_or(1.0, |share| weight_for_failure_share(*share));
        f64::from(self.listed.capacity) * weight
    }

    /// Takes over what is to be known from now on, unless it says what is known already; returns whether it was new.
    fn publish(&mut self, info: &BackendInfo) -> bool {
        let unchanged = self.published.as_ref().is_some_and(|published| {
            // When it started is only known roughly, and published once for each warm-up.
            let started_at = published.started_at.filter(|_| info.started_at.is_some()).or(info.started_at);
            BackendInfo { started_at, ..info.clone() } == *published
        });
        if !unchanged {
            self.published = Some(info.clone());
        }
        !unchanged
    }
}
