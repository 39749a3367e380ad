//! Follows the list of backends: starts from the list in the platform's file, then long-polls the discovery agent.
//!
//! Each call states this gateway's version of the list and waits for a newer one. After a failed call, changes may have
//! been missed, so the complete list is requested.

mod backend_table;
mod pacing;

pub use backend_table::PublishedList;
pub use pacing::DiscoveryPacing;

use crate::counters::Counter;
use crate::messages::{BackendUpdate, RouterMessage};
use crate::quiet_connection::is_quiet;
use crate::resources::{SocketGuard, SocketKind};
use crate::shared::Shared;
use backend_table::BackendTable;
use futures_util::{SinkExt, StreamExt};
use pacing::RETRY_PAUSE;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{Instant, timeout};
use tokio_util::codec::Framed;
use vanewharf_http1::{ClientCodec, ForwardedRequest, ReadError, Reply, Request};

/// How long to wait for a reply beyond the long poll's own duration, and for connecting to the agent.
const REPLY_TIMEOUT: Duration = Duration::from_millis(500);
const LIST_PATH: &str = "/v1/servers";
const STATUS_OK: u16 = 200;

/// Why a call returned no list.
#[derive(Debug, Error)]
enum CallError {
    /// A reply with a status other than 200: the agent is reachable but refuses calls.
    #[error("the discovery agent refused the call with status {0}")]
    Refused(u16),
    /// The connection or the reply failed. Changes may have been missed, so the complete list must be requested.
    #[error("{0}")]
    Failed(&'static str),
    /// The reply is not a complete HTTP message. Changes may have been missed as well.
    #[error("malformed reply: {0}")]
    MalformedReply(ReadError),
}

/// What the next call requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Requested {
    /// Changes since this gateway's version, as soon as there are any.
    Changes,
    /// The complete list, at once.
    CompleteList,
}

struct Connection {
    framed: Framed<TcpStream, ClientCodec>,
    /// Counts the socket while the connection is open.
    _guard: SocketGuard,
}

/// The state of the discovery task.
pub struct Discovery {
    /// The agent's address; a reload may change it.
    agent_address: watch::Receiver<SocketAddr>,
    shared: Rc<Shared>,
    table: BackendTable,
    pacing: DiscoveryPacing,
    connection: Option<Connection>,
    requested: Requested,
}

impl Discovery {
    /// Creates the task's state from the `initial` list, and the router's initial update. Backends in `locality` are
    /// local.
    pub fn start(
        agent_address: watch::Receiver<SocketAddr>,
        shared: Rc<Shared>,
        locality: String,
        initial: PublishedList,
        pacing: DiscoveryPacing,
    ) -> (Discovery, BackendUpdate) {
        let mut table = BackendTable::new(locality);
        let update = table.apply(initial);
        let (connection, requested) = (None, Requested::Changes);
        (Discovery { agent_address, shared, table, pacing, connection, requested }, update)
    }

    /// Calls the agent repeatedly and passes changes to the router.
    pub async fn run(mut self) {
        let mut agent_address = self.agent_address.clone();
        loop {
            // Cancel safe: a call is dropped only when the agent's address changes. The connection is then replaced and
            // the complete list requested, so no change is missed.
            tokio::select! {
                biased;
                Ok(()) = agent_address.changed() => {
                    self.connection = None;
                    self.requested = Requested::CompleteList;
                }
                () = self.poll_agent() => {}
            }
        }
    }

    /// Makes one call, and pauses after it if necessary.
    async fn poll_agent(&mut self) {
        let called = Instant::now();
        match self.call().await {
            Ok(published) => {
                self.shared.resources.count(Counter::DiscoveryLists);
                self.pacing.record_success();
                if self.requested == Requested::CompleteList {
                    self.requested = Requested::Changes;
                    tracing::info!("received the complete backend list from the discovery agent");
                }
                let update = self.table.apply(published);
                if matches!(update, BackendUpdate::Snapshot(_)) || !update.entries().is_empty() {
                    self.shared.notify_router(RouterMessage::BackendsChanged(update));
                } else if called.elapsed() < RETRY_PAUSE {
                    // Limits the rate of calls to an agent that replies without waiting for changes.
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
            }
            Err(error) => {
                self.shared.resources.count(Counter::DiscoveryFailures);
                let pause = self.pause_after(&error);
                tokio::time::sleep(pause).await;
            }
        }
    }

    fn pause_after(&mut self, error: &CallError) -> Duration {
        match error {
            // The next long poll starts from the same version, so no change is missed.
            CallError::Refused(_) => {
                tracing::debug!("{error}");
                self.pacing.pause_after_refusal()
            }
            CallError::Failed(_) | CallError::MalformedReply(_) => {
                self.connection = None;
                // Logged once per outage, because a line for each failed call could fill the disk.
                if self.requested == Requested::Changes {
                    self.requested = Requested::CompleteList;
                    tracing::info!(reason = %error, "cannot get the backend list from the discovery agent");
                }
                RETRY_PAUSE
            }
        }
    }

    async fn call(&mut self) -> Result<PublishedList, CallError> {
        let address = *self.agent_address.borrow();
        // What has arrived since the last reply answers no call.
        self.connection = self.connection.take().filter(|connection| is_quiet(&connection.framed));
        let connection = match &mut self.connection {
            Some(connection) => connection,
            None => self.connection.insert(connect(address, &self.shared).await?),
        };
        let (target, reply_timeout) = match self.requested {
            Requested::CompleteList => (LIST_PATH.to_owned(), REPLY_TIMEOUT),
            Requested::Changes => {
                let wait = self.pacing.long_poll_duration();
                let (version, wait_ms) = (self.table.version(), wait.as_millis());
                (format!("{LIST_PATH}?index={version}&wait={wait_ms}"), wait + REPLY_TIMEOUT)
            }
        };
        let request = Request::get(&address.to_string(), &target);
        let reply = timeout(reply_timeout, exchange(connection, &request)).await;
        let reply = reply.map_err(|_| CallError::Failed("no reply within the timeout"))?;
        let reply = reply?;
        if reply.closes_connection() {
            self.connection = None;
        }
        if reply.status() != STATUS_OK {
            return Err(CallError::Refused(reply.status()));
        }
        serde_json::from_slice(reply.body()).map_err(|_| CallError::Failed("invalid list"))
    }
}

async fn connect(address: SocketAddr, shared: &Shared) -> Result<Connection, CallError> {
    let stream = timeout(REPLY_TIMEOUT, TcpStream::connect(address)).await;
    let stream = stream.map_err(|_| CallError::Failed("connecting timed out"))?;
    let stream = stream.map_err(|_| CallError::Failed("cannot connect"))?;
    let _ = stream.set_nodelay(true);
    let guard = SocketGuard::new(&shared.resources, SocketKind::Upstream);
    Ok(Connection { framed: Framed::new(stream, ClientCodec::default()), _guard: guard })
}

/// Sends a request and reads its reply.
async fn exchange(connection: &mut Connection, request: &Request) -> Result<Reply, CallError> {
    const CONNECTION_LOST: CallError = CallError::Failed("connection lost");
    let forwarded = ForwardedRequest { request, set_headers: &[], removed_headers: &[] };
    connection.framed.send(forwarded).await.map_err(|_| CONNECTION_LOST)?;
    match connection.framed.next().await {
        Some(Ok(reply)) => Ok(reply),
        None | Some(Err(ReadError::Io(_))) => Err(CONNECTION_LOST),
        Some(Err(error)) => Err(CallError::MalformedReply(error)),
    }
}
