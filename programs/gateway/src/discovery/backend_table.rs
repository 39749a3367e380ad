//! The published backends by name, and the ids that this process assigns to them.

use crate::clock::TICKS_PER_MS;
use crate::messages::{BackendEntry, BackendUpdate};
use serde::Deserialize;
use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use vanewharf_policy::interface::{BackendId, BackendInfo, BackendStatus, Ticks};

/// A list of backends or a change to it, as the discovery agent publishes it.
#[derive(Debug, Deserialize)]
pub struct PublishedList {
    index: u64,
    snapshot: bool,
    endpoints: Vec<Endpoint>,
}

#[derive(Debug, Deserialize)]
struct Endpoint {
    name: String,
    #[serde(default)]
    address: String,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    status: String,
    #[serde(default)]
    weight: f64,
    /// When the backend started, in Unix time; 0 if that is not known.
    #[serde(default)]
    since_ms: f64,
}

impl Endpoint {
    fn address(&self) -> Option<SocketAddr> {
        self.address.parse().ok()
    }

    fn started_at(&self) -> Option<Ticks> {
        (self.since_ms > 0.0).then_some(Ticks((self.since_ms * TICKS_PER_MS as f64) as i64))
    }

    fn status(&self) -> BackendStatus {
        match self.status.as_str() {
            "SERVING" if self.address().is_some() => BackendStatus::Ready,
            "DELETED" => BackendStatus::Gone,
            // A backend with an unknown status gets no new requests.
            _ => BackendStatus::Draining,
        }
    }
}

/// A listed backend.
struct ListedBackend {
    id: BackendId,
    address: Option<SocketAddr>,
    started_at: Option<Ticks>,
}

/// All listed backends.
pub(super) struct BackendTable {
    /// This gateway's locality; backends in this zone are local.
    locality: String,
    version: u64,
    backends: BTreeMap<String, ListedBackend>,
    /// Ids are never reused, so that a late report on a removed backend is not attributed to another one.
    next_id: u32,
}

impl BackendTable {
    pub(super) fn new(locality: String) -> BackendTable {
        BackendTable { locality, version: 0, backends: BTreeMap::new(), next_id: 0 }
    }

    /// The version of the last list or change that was applied.
    pub(super) fn version(&self) -> u64 {
        self.version
    }

    /// Applies a published list or change.
    pub(super) fn apply(&mut self, published: PublishedList) -> BackendUpdate {
        let PublishedList { index, snapshot, endpoints } = published;
        self.version = index;
        if snapshot {
            let names: HashSet<_> = endpoints.iter().map(|endpoint| &endpoint.name).collect();
            self.backends.retain(|name, _| names.contains(name));
        }
        let mut entries = Vec::new();
        for endpoint in &endpoints {
            self.apply_endpoint(endpoint, &mut entries);
        }
        if snapshot { BackendUpdate::Snapshot(entries) } else { BackendUpdate::Changes(entries) }
    }

    fn apply_endpoint(&mut self, endpoint: &Endpoint, entries: &mut Vec<BackendEntry>) {
        let (address, started_at) = (endpoint.address(), endpoint.started_at());
        let local = endpoint.zone == self.locality;
        let mut status = endpoint.status();
        if status == BackendStatus::Ready {
            if self.is_superseded(endpoint) {
                status = BackendStatus::Gone;
            } else {
                self.remove_predecessors(endpoint, local, entries);
            }
        }
        let backend = match self.backends.get_mut(&endpoint.name) {
            Some(known) => {
                known.started_at = started_at;
                known.address = address.or(known.address);
                known.id
            }
            None if status == BackendStatus::Gone => return,
            None => self.insert(&endpoint.name, address, started_at),
        };
        if status == BackendStatus::Gone {
            self.backends.remove(&endpoint.name);
        }
        let info = BackendInfo { backend, status, capacity: endpoint.weight, local, started_at };
        entries.push(BackendEntry { info, address });
    }

    /// Whether a backend with another name has started later at the same address. An address belongs to one process, so
    /// the endpoint is then gone even if it is still listed.
    fn is_superseded(&self, endpoint: &Endpoint) -> bool {
        let (address, started_at) = (endpoint.address(), endpoint.started_at());
        let mut others = self.backends.iter().filter(|(name, _)| **name != endpoint.name);
        others.any(|(_, other)| other.address == address && other.started_at > started_at)
    }

    /// Removes the backends that are listed under other names at the same address.
    fn remove_predecessors(&mut self, endpoint: &Endpoint, local: bool, entries: &mut Vec<BackendEntry>) {
        let address = endpoint.address();
        self.backends.retain(|name, known| {
            let keep = *name == endpoint.name || known.address != address;
            if !keep {
                let info = BackendInfo {
                    backend: known.id,
                    status: BackendStatus::Gone,
                    capacity: endpoint.weight,
                    local,
                    started_at: known.started_at,
                };
                entries.push(BackendEntry { info, address: None });
            }
            keep
        });
    }

    fn insert(&mut self, name: &str, address: Option<SocketAddr>, started_at: Option<Ticks>) -> BackendId {
        let id = BackendId(self.next_id);
        self.next_id += 1;
        self.backends.insert(name.to_owned(), ListedBackend { id, address, started_at });
        id
    }
}
