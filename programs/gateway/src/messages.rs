//! The messages that the stages exchange: what they report to the router, and what the router hands to a backend
//! connection.

use crate::answer::FinalAnswer;
use crate::open_ids::OpenId;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::oneshot;
use vanewharf_exchange::CancelReason;
use vanewharf_http1::{Reply, Request};
use vanewharf_policy::interface::{
    Arrival, AttemptNumber, BackendInfo, CounterKey, CounterReply, GatewayId, Outcome, PeerMessage, Ticks,
    TxnId,
};

/// An admitted request.
pub struct NewRequest {
    /// The event for the routing policy.
    pub arrival: Arrival,
    /// The request as it was read.
    pub request: Rc<Request>,
    /// Keeps other requests with the same id out until this one is over.
    pub open_id: OpenId,
    /// Takes the final answer to the client's connection.
    pub answer: oneshot::Sender<FinalAnswer>,
}

/// How one attempt at a backend ended.
pub struct AttemptResult {
    /// The request that the attempt was made for.
    pub txn: TxnId,
    /// Which of the request's attempts it was.
    pub number: AttemptNumber,
    /// What is proved of it.
    pub outcome: Outcome,
    /// The backend's reply, where there was one.
    pub reply: Option<Reply>,
    /// The attempt's connection, where it can be reused.
    pub idle_connection: Option<IdleConnection>,
    /// How long a reused connection had been idle that ended under the attempt without any reply.
    pub idle_before_loss: Option<Ticks>,
}

impl AttemptResult {
    /// A result without a reply and without a connection to reuse.
    pub fn without_reply(txn: TxnId, number: AttemptNumber, outcome: Outcome) -> AttemptResult {
        AttemptResult { txn, number, outcome, reply: None, idle_connection: None, idle_before_loss: None }
    }
}

/// What the other stages report to the router.
pub enum RouterMessage {
    /// A request was admitted.
    NewRequest(NewRequest),
    /// The client closed its connection before it was answered.
    ClientLeft(TxnId),
    /// An attempt ended.
    AttemptEnded(AttemptResult),
    /// Discovery has published backends.
    BackendsChanged(BackendUpdate),
    /// Sockets are short: the backend connection that has been idle longest is to be closed.
    CloseIdleConnection,
    /// The shared quota counter's reply to one call.
    QuotaCounterReply(CounterKey, CounterReply),
    /// The process is about to end: all requests are to be answered now, by what is known of them.
    AnswerAll,
    /// A message of another gateway.
    PeerMessage(GatewayId, PeerMessage),
}

/// One backend as the routing policy sees it, and where it listens.
#[derive(Clone, Debug)]
pub struct BackendEntry {
    /// Its state, under the id that this process has assigned to its name.
    pub listed: BackendInfo,
    /// Its address; none where the published one cannot be read or it is gone.
    pub address: Option<SocketAddr>,
}

/// A list of backends or a change of it.
#[derive(Debug)]
pub enum BackendUpdate {
    /// The complete list: backends that it does not name are gone.
    Snapshot(Vec<BackendEntry>),
    /// Changes of single backends.
    Changes(Vec<BackendEntry>),
}

impl BackendUpdate {
    /// The backends named by the update.
    pub fn entries(&self) -> &[BackendEntry] {
        match self {
            BackendUpdate::Snapshot(entries) | BackendUpdate::Changes(entries) => entries,
        }
    }
}

/// One attempt to have a request answered by a backend.
pub struct Attempt {
    /// The request's id in this process.
    pub txn: TxnId,
    /// Which of the request's attempts it is.
    pub number: AttemptNumber,
    /// The request to be forwarded.
    pub request: Rc<Request>,
    /// When the reply is no longer waited for.
    pub deadline: Ticks,
    /// Completes when the router no longer waits for the reply.
    pub cancelled: oneshot::Receiver<CancelReason>,
    /// Header fields for this backend alongside those of the client.
    pub extra_headers: Vec<(&'static str, String)>,
}

/// A backend connection that waits for its next attempt; it closes when this is dropped.
pub struct IdleConnection {
    /// Hands the next attempt to the connection's task; closed once the connection has ended.
    pub next: oneshot::Sender<Attempt>,
    /// Since when it has been idle.
    pub since: Ticks,
}
