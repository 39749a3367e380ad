//! The backends of the newest list: the pool that each belongs to, its warm-up and health, and its state as last
//! published to the pool's balancer and to the router.
//!
//! A backend keeps its id as long as every list contains it. Ids are never reused.

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
    /// The backend's entry in the newest list.
    pub(super) listed: Backend,
    pool: PoolKey,
    pub(super) warm_up: WarmUp,
    /// The state of which the pool's balancer was last notified.
    pub(super) published: Option<BackendInfo>,
}

/// A backend that the newest list no longer contains.
pub(super) struct RemovedBackend {
    pub(super) id: BackendId,
    pub(super) pool: PoolKey,
}

/// A changed state of a backend, of which the pool's balancer must be notified.
pub(super) struct BackendChange {
    pub(super) pool: PoolKey,
    pub(super) info: BackendInfo,
}

/// The state of all backends after a refresh.
pub(super) struct Refreshed {
    /// All backends, for the router.
    pub(super) entries: Vec<BackendEntry>,
    /// The changed backends, for the balancers of their pools.
    pub(super) changes: Vec<BackendChange>,
}

/// The newest list of backends, with the latest possible time at which it was read from the platform.
struct NewestList {
    list: Rc<BackendList>,
    read_at: Timestamp,
}

/// All known backends.
#[derive(Default)]
pub(super) struct BackendTable {
    newest_list: Option<NewestList>,
    pub(super) by_id: BTreeMap<BackendId, PooledBackend>,
    ids: HashMap<String, BackendId>,
    last_id: u32,
    /// The times at which the evacuations of zones ended. The backends of these zones warm up again from then
    /// on, because they had no traffic during the evacuation.
    reopened_zones: BTreeMap<String, Timestamp>,
    /// The fraction of failed attempts of each unhealthy backend, from 0 to 1, according to the reports of all proxies.
    pub(super) unhealthy: BTreeMap<String, f64>,
}

impl BackendTable {
    pub(super) fn get(&self, id: BackendId) -> Option<&PooledBackend> {
        self.by_id.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: BackendId) -> Option<&mut PooledBackend> {
        self.by_id.get_mut(&id)
    }

    pub(super) fn set_list(&mut self, list: Rc<BackendList>, read_at: Timestamp) {
        self.newest_list = Some(NewestList { list, read_at });
    }

    pub(super) fn reopen_zones<'a>(&mut self, zones: impl Iterator<Item = &'a String>, at: Timestamp) {
        self.reopened_zones.extend(zones.map(|zone| (zone.clone(), at)));
    }

    /// Replaces the set of unhealthy backends. Returns whether it changed.
    pub(super) fn set_unhealthy(&mut self, unhealthy: &BTreeMap<String, f64>) -> bool {
        if self.unhealthy == *unhealthy {
            return false;
        }
        self.unhealthy = unhealthy.clone();
        true
    }

    /// Returns the published states of all backends of a pool.
    pub(super) fn published_in(&self, pool: &PoolKey) -> Vec<BackendInfo> {
        let backends = self.by_id.values().filter(|backend| backend.pool == *pool);
        backends.filter_map(|backend| backend.published.clone()).collect()
    }

    /// Adds, updates and removes backends to match the newest list. Returns the removed ones, or `None` if no list has
    /// arrived yet.
    pub(super) fn apply_list(&mut self, location: &Location) -> Option<Vec<RemovedBackend>> {
        let NewestList { list, read_at } = self.newest_list.as_ref()?;
        let (list, read_at) = (Rc::clone(list), *read_at);
        let mut listed = BTreeSet::new();
        for backend in &list.backends {
            let id = self.id(&backend.id);
            listed.insert(id);
            let warm_at = read_at.after(Duration::from_millis(backend.warmup_left_ms));
            let known = self.by_id.entry(id).or_insert_with(|| PooledBackend {
                listed: backend.clone(),
                pool: PoolKey {
                    service: Rc::from(backend.service.as_str()),
                    region: location.region_of(&backend.zone),
                },
                warm_up: WarmUp::new(warm_at),
                published: None,
            });
            known.warm_up.extend(warm_at);
            known.listed = backend.clone();
        }
        Some(self.remove_unlisted(&listed))
    }

    /// Returns the id of the backend with the given name, and assigns a new id to an unknown name.
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
            let is_listed = listed.contains(id);
            if !is_listed {
                self.ids.remove(&backend.listed.id);
                removed.push(RemovedBackend { id: *id, pool: backend.pool.clone() });
            }
            is_listed
        });
        removed
    }

    /// Returns the pools in which so many backends are unhealthy that the cause must be shared. Their backends
    /// keep their weights, because shifting load between them would not help.
    fn pools_with_shared_cause(&self) -> BTreeSet<PoolKey> {
        #[derive(Default)]
        struct HealthCounts {
            unhealthy: usize,
            total: usize,
        }
        let mut counts: BTreeMap<&PoolKey, HealthCounts> = BTreeMap::new();
        for backend in self.by_id.values() {
            let count = counts.entry(&backend.pool).or_default();
            count.unhealthy += usize::from(self.unhealthy.contains_key(&backend.listed.id));
            count.total += 1;
        }
        let shared = counts.into_iter().filter(|(_, count)| is_shared_cause(count.unhealthy, count.total));
        shared.map(|(pool, _)| pool.clone()).collect()
    }

    /// Recomputes the state of each backend and publishes it where it has changed. `now` and `at` are the same time by
    /// the router's clock and by the process's monotonic clock.
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
            let warm_up_length = tables.services.get(&backend.listed.service).map(|service| service.warmup);
            let warm_up_length = warm_up_length.unwrap_or_default();
            if let Some(reopened_at) = self.reopened_zones.get(&backend.listed.zone) {
                backend.warm_up.extend(reopened_at.after(warm_up_length));
            }
            let failure_share = self.unhealthy.get(&backend.listed.id);
            let failure_share = failure_share.filter(|_| !shared_cause.contains(&backend.pool));
            let info = BackendInfo {
                backend: *id,
                status: backend.status(tables),
                capacity: backend.effective_capacity(failure_share),
                local: backend.listed.zone == own_zone,
                started_at: backend.warm_up.started_at(warm_up_length, now, at),
            };
            if backend.publish(&info) {
                refreshed.changes.push(BackendChange { pool: backend.pool.clone(), info });
            }
            let info = backend.published.clone().expect("it was just published");
            refreshed.entries.push(BackendEntry { info, address: Some(backend.listed.address) });
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

    /// Updates the published state. Returns whether it changed.
    fn publish(&mut self, info: &BackendInfo) -> bool {
        let unchanged = self.published.as_ref().is_some_and(|published| {
            // The start time is an estimate that differs with each list, so it is published only once per warm-up.
            let started_at = published.started_at.filter(|_| info.started_at.is_some()).or(info.started_at);
            BackendInfo { started_at, ..info.clone() } == *published
        });
        if !unchanged {
            self.published = Some(info.clone());
        }
        !unchanged
    }
}
