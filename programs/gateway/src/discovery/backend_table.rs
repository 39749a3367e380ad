//! The backends as discovery has published them, by name, and the ids under which the rest of the process knows them.

use crate::messages::{BackendEntry, BackendUpdate};
use serde::Deserialize;
use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use vanewharf_policy::interface::{BackendId, BackendInfo, BackendStatus, Ticks};

/// A list of backends or a change of it, as it is published.
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
    #[serde(default)]
    since_ms: f64,
}

impl Endpoint {
    fn address(&self) -> Option<SocketAddr> {
        self.address.parse().ok()
    }

    fn started_at(&self) -> Option<Ticks> {
        (self.since_ms > 0.0).then_some(Ticks((self.since_ms * 10.0) as i64))
    }

    fn status(&self) -> BackendStatus {
        match self.status.as_str() {
            "SERVING" if self.address().is_some() => BackendStatus::Ready,
            "DELETED" => BackendStatus::Gone,
            // A backend in an unknown state gets no new requests.
            _ => BackendStatus::Draining,
        }
    }
}

/// A backend that is listed.
struct KnownBackend {
    id: BackendId,
    address: Option<SocketAddr>,
    started_at: Option<Ticks>,
}

/// All listed backends.
pub(super) struct BackendTable {
    /// Where this gateway stands.
    locality: String,
    version: u64,
    backends: BTreeMap<String, KnownBackend>,
    /// Each id is assigned once, so that a late report of a backend that is gone is never taken for another's.
    next_id: u32,
}

impl BackendTable {
    pub(super) fn new(locality: String) -> BackendTable {
        BackendTable { locality, version: 0, backends: BTreeMap::new(), next_id: 0 }
    }

    /// The version of the last list or change.
    pub(super) fn version(&self) -> u64 {
        self.version
    }

    /// Takes in what was published.
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
        let listed = BackendInfo { backend, status, capacity: endpoint.weight, local, started_at };
        entries.push(BackendEntry { listed, address });
    }

    /// An address belongs to one process: where another name has a later start at it, this one is gone, listed or not.
    fn is_superseded(&self, endpoint: &Endpoint) -> bool {
        let (address, started_at) = (endpoint.address(), endpoint.started_at());
        let mut others = self.backends.iter().filter(|(name, _)| **name != endpoint.name);
        others.any(|(_, other)| other.address == address && other.started_at > started_at)
    }

    /// Removes the backends that another name had listed at the same address.
    fn remove_predecessors(&mut self, endpoint: &Endpoint, local: bool, entries: &mut Vec<BackendEntry>) {
        let address = endpoint.address();
        self.backends.retain(|name, known| {
            let stays = *name == endpoint.name || known.address != address;
            if !stays {
                let listed = BackendInfo {
                    backend: known.id,
                    status: BackendStatus::Gone,
                    capacity: endpoint.weight,
                    local,
                    started_at: known.started_at,
                };
                entries.push(BackendEntry { listed, address: None });
            }
            stays
        });
    }

    fn insert(&mut self, name: &str, address: Option<SocketAddr>, started_at: Option<Ticks>) -> BackendId {
        let id = BackendId(self.next_id);
        self.next_id += 1;
        self.backends.insert(name.to_owned(), KnownBackend { id, address, started_at });
        id
    }
}
