//! Watches the list of backends: starts from what was known, then calls the discovery agent again and again.
//!
//! Each call states the version that this gateway has and waits for a newer one. After a call that failed, changes may
//! have been missed, so the complete list is requested.

mod backend_table;
mod pacing;

pub use backend_table::PublishedList;
pub use pacing::DiscoveryPacing;

use crate::counters::Counter;
use crate::messages::{BackendUpdate, RouterMessage};
use crate::resources::{SocketGuard, SocketKind};
use crate::shared::Shared;
use backend_table::BackendTable;
use futures_util::{SinkExt, StreamExt};
use pacing::PAUSE;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{Instant, timeout};
use tokio_util::codec::Framed;
use vanewharf_http1::{ClientCodec, ForwardedRequest, Reply, Request};

/// For a reply that is due, and for connecting to the agent.
const REPLY_TIMEOUT: Duration = Duration::from_millis(500);
const LIST_PATH: &str = "/v1/servers";
const STATUS_OK: u16 = 200;

/// Why a call gave no list.
#[derive(Debug, Error)]
enum CallError {
    /// A reply other than 200: discovery is reachable and refuses calls.
    #[error("discovery takes no more calls")]
    Refused,
    /// Changes may have been missed, so the complete list is to be requested.
    #[error("{0}")]
    Failed(&'static str),
}

/// What the next call requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Requested {
    /// Whatever is newer than the version at hand, as soon as there is something.
    Changes,
    /// The complete list, at once.
    CompleteList,
}

struct Connection {
    framed: Framed<TcpStream, ClientCodec>,
    /// Counts the socket for as long as the connection is open.
    _guard: SocketGuard,
}

/// The state of the task that watches the list of backends.
pub struct Discovery {
    /// Where the agent listens; a reload may change it.
    agent: watch::Receiver<SocketAddr>,
    shared: Rc<Shared>,
    table: BackendTable,
    pacing: DiscoveryPacing,
    connection: Option<Connection>,
    requested: Requested,
}

impl Discovery {
    /// A watch that starts from `known`, and the update that the router starts from. Backends in `locality` are near.
    pub fn start(
        agent: watch::Receiver<SocketAddr>,
        shared: Rc<Shared>,
        locality: String,
        known: PublishedList,
        pacing: DiscoveryPacing,
    ) -> (Discovery, BackendUpdate) {
        let mut table = BackendTable::new(locality);
        let update = table.apply(known);
        let (connection, requested) = (None, Requested::Changes);
        (Discovery { agent, shared, table, pacing, connection, requested }, update)
    }

    /// Calls the agent for ever and passes what changes to the router.
    pub async fn run(mut self) {
        let mut agent = self.agent.clone();
        loop {
            // A call is dropped when the agent moves: its connection is replaced and the complete list requested, so
            // nothing is missed.
            tokio::select! {
                biased;
                Ok(()) = agent.changed() => {
                    self.connection = None;
                    self.requested = Requested::CompleteList;
                }
                () = self.poll_agent() => {}
            }
        }
    }

    /// Makes one call, and pauses before the next where one is due.
    async fn poll_agent(&mut self) {
        let called = Instant::now();
        match self.call().await {
            Ok(published) => {
                self.shared.resources.count(Counter::Lists);
                self.pacing.record_success();
                if self.requested == Requested::CompleteList {
                    self.requested = Requested::Changes;
                    tracing::info!("discovery gives the whole list again");
                }
                let update = self.table.apply(published);
                if matches!(update, BackendUpdate::Snapshot(_)) || !update.entries().is_empty() {
                    self.shared.notify_router(RouterMessage::BackendsChanged(update));
                } else if called.elapsed() < PAUSE {
                    // Against an agent that replies without waiting for changes.
                    tokio::time::sleep(PAUSE).await;
                }
            }
            Err(error) => {
                self.shared.resources.count(Counter::ListFailures);
                let pause = self.pause_after(&error);
                tokio::time::sleep(pause).await;
            }
        }
    }

    fn pause_after(&mut self, error: &CallError) -> Duration {
        match error {
            // The next watch starts from the version at hand: nothing is missed.
            CallError::Refused => {
                tracing::debug!("{error}");
                self.pacing.pause_after_refusal()
            }
            CallError::Failed(reason) => {
                self.connection = None;
                // Once for each outage: a log line for each call could fill the disk.
                if self.requested == Requested::Changes {
                    self.requested = Requested::CompleteList;
                    tracing::info!(reason, "discovery gives no list");
                }
                PAUSE
            }
        }
    }

    async fn call(&mut self) -> Result<PublishedList, CallError> {
        let address = *self.agent.borrow();
        let connection = match &mut self.connection {
            Some(connection) => connection,
            None => self.connection.insert(connect(address, &self.shared).await?),
        };
        let (target, reply_timeout) = match self.requested {
            Requested::CompleteList => (LIST_PATH.to_owned(), REPLY_TIMEOUT),
            Requested::Changes => {
                let wait = self.pacing.watch_duration();
                let (version, wait_ms) = (self.table.version(), wait.as_millis());
                (format!("{LIST_PATH}?index={version}&wait={wait_ms}"), wait + REPLY_TIMEOUT)
            }
        };
        let request = Request::get(&address.to_string(), &target);
        let reply = timeout(reply_timeout, exchange(connection, &request)).await;
        let reply = reply.map_err(|_| CallError::Failed("silent"))?;
        let reply = reply.ok_or(CallError::Failed("connection broken"))?;
        if reply.closes_connection() {
            self.connection = None;
        }
        if reply.status() != STATUS_OK {
            return Err(CallError::Refused);
        }
        serde_json::from_slice(reply.body()).map_err(|_| CallError::Failed("a list that cannot be read"))
    }
}

async fn connect(address: SocketAddr, shared: &Shared) -> Result<Connection, CallError> {
    let stream = timeout(REPLY_TIMEOUT, TcpStream::connect(address)).await;
    let stream = stream.map_err(|_| CallError::Failed("no connection in time"))?;
    let stream = stream.map_err(|_| CallError::Failed("no connection"))?;
    let _ = stream.set_nodelay(true);
    let guard = SocketGuard::new(&shared.resources, SocketKind::Upstream);
    Ok(Connection { framed: Framed::new(stream, ClientCodec::default()), _guard: guard })
}

/// The reply to a request; none where the connection broke.
async fn exchange(connection: &mut Connection, request: &Request) -> Option<Reply> {
    let forwarded = ForwardedRequest { request, set_headers: &[], removed_headers: &[] };
    connection.framed.send(forwarded).await.ok()?;
    connection.framed.next().await?.ok()
}
