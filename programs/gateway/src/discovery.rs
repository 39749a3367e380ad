//! The list of backends: starts from what was known, then watches for changes without end.

use crate::counters::Counter;
use crate::discovery_pacing::{DiscoveryPacing, PAUSE};
use crate::messages::{BackendEntry, BackendUpdate, RouterMessage};
use crate::resources::{SocketGuard as Held, SocketKind};
use crate::shared::Shared;
use futures_util::{SinkExt, StreamExt};
use serde::Deserialize;
use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{Instant, timeout};
use tokio_util::codec::Framed;
use vanewharf_http1::{ClientCodec, ForwardedRequest, Request};
use vanewharf_policy::interface::{BackendId, BackendInfo, BackendStatus, Ticks};

/// For an answer that is due, and for a connection to the agent.
const PATIENCE: Duration = Duration::from_millis(500);

/// Why a call gave no list.
enum Failure {
    /// An answer other than 200: discovery is there and takes no more calls.
    TurnedAway,
    /// Changes may have passed unseen, so the whole list comes next.
    Lost(&'static str),
}

/// A list or a change of it, in its published form.
#[derive(Debug, Deserialize)]
pub struct Published {
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

/// A backend that is listed.
struct Known {
    id: BackendId,
    address: Option<SocketAddr>,
    booted: Option<Ticks>,
}

pub struct Discovery {
    /// Where the agent listens; it may move while the door runs.
    agents: watch::Receiver<SocketAddr>,
    shared: Rc<Shared>,
    /// Where this door stands.
    place: String,
    index: u64,
    backends: BTreeMap<String, Known>,
    /// An id is given once, so that what is told late of one that is gone never falls to another.
    named: u32,
    recall: DiscoveryPacing,
}

type Connection = Framed<TcpStream, ClientCodec>;

impl Discovery {
    /// With what was known, for the decisions to start from.
    pub fn start(
        agents: watch::Receiver<SocketAddr>,
        shared: Rc<Shared>,
        place: String,
        known: Published,
        recall: DiscoveryPacing,
    ) -> (Discovery, BackendUpdate) {
        let backends = BTreeMap::new();
        let mut discovery = Discovery { agents, shared, place, index: 0, backends, named: 0, recall };
        let told = discovery.told(known);
        (discovery, told)
    }

    fn told(&mut self, published: Published) -> BackendUpdate {
        self.index = published.index;
        if published.snapshot {
            let named: HashSet<_> = published.endpoints.iter().map(|endpoint| &endpoint.name).collect();
            self.backends.retain(|name, _| named.contains(name));
        }
        let mut entries = Vec::new();
        for endpoint in published.endpoints {
            self.enter(endpoint, &mut entries);
        }
        if published.snapshot { BackendUpdate::Snapshot(entries) } else { BackendUpdate::Changes(entries) }
    }

    fn enter(&mut self, endpoint: Endpoint, entries: &mut Vec<BackendEntry>) {
        let Endpoint { name, address, zone, status, weight, since_ms } = endpoint;
        let address = address.parse().ok();
        let booted = (since_ms > 0.0).then_some(Ticks((since_ms * 10.0) as i64));
        let mut standing = match status.as_str() {
            "SERVING" if address.is_some() => BackendStatus::Ready,
            "DELETED" => BackendStatus::Gone,
            // What is not understood gets nothing new.
            _ => BackendStatus::Draining,
        };
        let near = zone == self.place;
        if standing == BackendStatus::Ready {
            // An address is one process's: whoever started there later, the other is gone, listed or not.
            let elsewhere = |known: &Known| known.address != address;
            let newer = |known: &Known| !elsewhere(known) && known.booted > booted;
            if self.backends.iter().any(|(other, known)| *other != name && newer(known)) {
                standing = BackendStatus::Gone;
            } else {
                self.backends.retain(|other, known| {
                    let stays = *other == name || elsewhere(known);
                    if !stays {
                        let (backend, standing, booted) = (known.id, BackendStatus::Gone, known.booted);
                        let listed = BackendInfo {
                            backend,
                            status: standing,
                            capacity: weight,
                            local: near,
                            started_at: booted,
                        };
                        entries.push(BackendEntry { listed, address: None });
                    }
                    stays
                });
            }
        }
        let backend = match self.backends.get_mut(&name) {
            Some(known) => {
                known.booted = booted;
                known.address = address.or(known.address);
                known.id
            }
            None if standing == BackendStatus::Gone => return,
            None => {
                let id = BackendId(self.named);
                self.named += 1;
                self.backends.insert(name.clone(), Known { id, address, booted });
                id
            }
        };
        if standing == BackendStatus::Gone {
            self.backends.remove(&name);
        }
        entries.push(BackendEntry {
            listed: BackendInfo {
                backend,
                status: standing,
                capacity: weight,
                local: near,
                started_at: booted,
            },
            address,
        });
    }

    pub async fn run(mut self) {
        let mut agents = self.agents.clone();
        let mut connection = None;
        // Changes may have passed unseen since a call that failed.
        let mut whole = false;
        loop {
            tokio::select! {
                biased;
                // A call that is out asks an agent that has stopped listening.
                Ok(()) = agents.changed() => (connection, whole) = (None, true),
                () = self.ask(&mut connection, &mut whole) => {}
            }
        }
    }

    /// One call and what came of it.
    async fn ask(&mut self, connection: &mut Option<(Connection, Held)>, whole: &mut bool) {
        let called = Instant::now();
        match self.call(connection, *whole).await {
            Ok(published) => {
                self.shared.resources.count(Counter::Lists);
                self.recall.answered();
                if std::mem::take(whole) {
                    tracing::info!("discovery gives the whole list again");
                }
                let told = self.told(published);
                if matches!(told, BackendUpdate::Snapshot(_)) || !told.entries().is_empty() {
                    self.shared.notify_router(RouterMessage::BackendsChanged(told));
                } else if called.elapsed() < PAUSE {
                    // Against an agent that does not wait.
                    tokio::time::sleep(PAUSE).await;
                }
            }
            Err(failure) => {
                self.shared.resources.count(Counter::ListFailures);
                let pause = match failure {
                    // What the next watch is told starts from the version that this door has: nothing is
                    // missed.
                    Failure::TurnedAway => {
                        tracing::debug!("discovery takes no more calls");
                        self.recall.away()
                    }
                    Failure::Lost(reason) => {
                        *connection = None;
                        // Once for each outage, not for each call: a full log would hold up the door.
                        if !std::mem::replace(whole, true) {
                            tracing::info!(reason, "discovery gives no list");
                        }
                        PAUSE
                    }
                };
                tokio::time::sleep(pause).await;
            }
        }
    }

    async fn call(
        &mut self,
        kept: &mut Option<(Connection, Held)>,
        whole: bool,
    ) -> Result<Published, Failure> {
        let lost = Failure::Lost;
        let address = *self.agents.borrow();
        let (connection, _) = match kept {
            Some(kept) => kept,
            None => {
                let stream = timeout(PATIENCE, TcpStream::connect(address)).await;
                let stream = stream.map_err(|_| lost("no connection in time"))?;
                let stream = stream.map_err(|_| lost("no connection"))?;
                let _ = stream.set_nodelay(true);
                let held = Held::new(&self.shared.resources, SocketKind::Upstream);
                kept.insert((Framed::new(stream, ClientCodec::default()), held))
            }
        };
        let (target, patience) = if whole {
            ("/v1/servers".to_owned(), PATIENCE)
        } else {
            let wait = self.recall.wait();
            (format!("/v1/servers?index={}&wait={}", self.index, wait.as_millis()), wait + PATIENCE)
        };
        let request = Request::get(&address.to_string(), &target);
        let asked = async {
            connection
                .send(ForwardedRequest { request: &request, set_headers: &[], removed_headers: &[] })
                .await
                .ok()?;
            connection.next().await?.ok()
        };
        let reply = timeout(patience, asked).await.map_err(|_| lost("silent"))?;
        let reply = reply.ok_or(lost("connection broken"))?;
        if reply.closes_connection() {
            *kept = None;
        }
        if reply.status() != 200 {
            return Err(Failure::TurnedAway);
        }
        serde_json::from_slice(reply.body()).map_err(|_| lost("a list that cannot be read"))
    }
}
