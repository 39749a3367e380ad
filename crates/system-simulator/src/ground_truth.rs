//! The actual state of a simulated system, which its programs know only in part: the backends, the cloud platform's
//! list of them, and the history.

use crate::history::History;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;
use vanewharf_rpc::Publisher;

/// How long after a change of the backends the platform's list shows it.
pub const PLATFORM_LAG: Duration = Duration::from_millis(500);
/// How long a backend serves after it was marked as draining.
pub const DRAIN_TIME: Duration = Duration::from_millis(3500);

/// A backend instance.
#[derive(Clone, Debug)]
pub struct SimulatedBackend {
    /// The service it belongs to.
    pub service: &'static str,
    /// The zone it runs in.
    pub zone: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// When it began to drain.
    pub draining_since: Option<Instant>,
    /// When it stopped.
    pub stopped_at: Option<Instant>,
    /// When its warm-up began, if it has to warm up.
    pub warming_from: Option<Instant>,
    /// When its warm-up ends, if it has to warm up.
    pub warming_until: Option<Instant>,
}

impl SimulatedBackend {
    /// Creates a backend that serves and has no warm-up.
    pub fn new(service: &'static str, zone: &str, address: SocketAddr) -> SimulatedBackend {
        SimulatedBackend {
            service,
            zone: zone.to_owned(),
            address,
            draining_since: None,
            stopped_at: None,
            warming_from: None,
            warming_until: None,
        }
    }
}

/// A version of the platform's list.
struct ListVersion {
    since: Instant,
    backends: BTreeMap<String, SimulatedBackend>,
}

/// The actual state of a simulated system.
pub struct GroundTruth {
    /// All backends by id, including those that have stopped.
    pub backends: RefCell<BTreeMap<String, SimulatedBackend>>,
    list_versions: RefCell<Vec<ListVersion>>,
    /// What clients, backends and operators observed.
    pub history: RefCell<History>,
    /// The publisher that feeds each running proxy's data plane.
    pub publishers: RefCell<BTreeMap<usize, Publisher>>,
    /// Where the platform's API listens.
    pub platform_address: SocketAddr,
}

impl GroundTruth {
    /// Creates the state of a system without backends.
    pub fn new(platform_address: SocketAddr) -> GroundTruth {
        GroundTruth {
            backends: RefCell::default(),
            list_versions: RefCell::default(),
            history: RefCell::default(),
            publishers: RefCell::default(),
            platform_address,
        }
    }

    /// Publishes the present backends in the platform's list, which shows them after `PLATFORM_LAG`.
    pub fn publish_backends(&self) {
        let version = ListVersion { since: Instant::now(), backends: self.backends.borrow().clone() };
        self.list_versions.borrow_mut().push(version);
    }

    /// The response of the platform's API: the list as it was `PLATFORM_LAG` ago.
    pub fn listed_instances(&self) -> serde_json::Value {
        let now = Instant::now();
        let versions = self.list_versions.borrow();
        let visible = |version: &&ListVersion| now.duration_since(version.since) >= PLATFORM_LAG;
        let version = versions.iter().rev().find(visible).or(versions.first());
        let listed: Vec<_> = version
            .iter()
            .flat_map(|version| &version.backends)
            .filter(|(_, backend)| backend.stopped_at.is_none())
            .map(|(id, backend)| listed_instance(id, backend, now))
            .collect();
        serde_json::json!({"instances": {"all": listed}, "next_token": null})
    }

    /// When the platform's list first showed that a backend drains.
    pub fn drain_listed_at(&self, id: &str) -> Option<Instant> {
        let backends = self.backends.borrow();
        backends.get(id).and_then(|backend| backend.draining_since).map(|since| since + PLATFORM_LAG)
    }
}

fn listed_instance(id: &str, backend: &SimulatedBackend, now: Instant) -> serde_json::Value {
    let until_warm =
        backend.warming_until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now));
    serde_json::json!({"identifier": id, "service": backend.service, "address": backend.address.to_string(),
        "zone": backend.zone, "revision": "v1", "capacity": 6,
        "warmup_left": format!("{}ms", until_warm.as_millis()),
        "lifecycle": if backend.draining_since.is_some() { "draining" } else { "available" }})
}
