//! The messages between tasks: those sent to the router, and the attempts that the router passes to backend
//! connections.

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
    /// The arrival event for the routing policy.
    pub arrival: Arrival,
    /// The request as the client sent it.
    pub request: Rc<Request>,
    /// Keeps the request's id reserved, so that other requests with the same id are rejected until this one has
    /// finished.
    pub open_id: OpenId,
    /// Sends the final answer to the client connection.
    pub answer: oneshot::Sender<FinalAnswer>,
}

/// How one attempt at a backend ended.
pub struct AttemptResult {
    /// The request that the attempt was made for.
    pub txn: TxnId,
    /// The attempt's number within its request.
    pub number: AttemptNumber,
    /// The outcome, as far as the events on the connection prove it.
    pub outcome: Outcome,
    /// The backend's reply, if one was received.
    pub reply: Option<Reply>,
    /// The attempt's connection, if it can be reused.
    pub idle_connection: Option<IdleConnection>,
    /// How long the connection had been idle before this attempt, if it was reused and then lost without a reply.
    pub idle_before_loss: Option<Ticks>,
}

impl AttemptResult {
    /// A result without a reply and without a connection to reuse.
    pub fn without_reply(txn: TxnId, number: AttemptNumber, outcome: Outcome) -> AttemptResult {
        AttemptResult { txn, number, outcome, reply: None, idle_connection: None, idle_before_loss: None }
    }
}

/// A message to the router from another task.
pub enum RouterMessage {
    /// A request was admitted.
    NewRequest(NewRequest),
    /// The client closed its connection before its request was answered.
    ClientDisconnected(TxnId),
    /// An attempt ended.
    AttemptEnded(AttemptResult),
    /// Discovery published a backend list or changes to it.
    BackendsChanged(BackendUpdate),
    /// Few sockets are left: close the backend connection that has been idle longest.
    CloseIdleConnection,
    /// The shared quota counter's reply to one call.
    QuotaCounterReply(CounterKey, CounterReply),
    /// The process is about to exit: answer every open request now with the outcome known so far.
    AnswerAll,
    /// A message from another gateway.
    PeerMessage(GatewayId, PeerMessage),
}

/// One backend: its state for the routing policy and its address.
#[derive(Clone, Debug)]
pub struct BackendEntry {
    /// The backend's state, under the id that this process assigned to its name.
    pub info: BackendInfo,
    /// The backend's address; `None` if the published one cannot be parsed or the backend is gone.
    pub address: Option<SocketAddr>,
}

/// A list of backends or a change to it.
#[derive(Debug)]
pub enum BackendUpdate {
    /// The complete list: backends that are not in it are gone.
    Snapshot(Vec<BackendEntry>),
    /// Changes to single backends.
    Changes(Vec<BackendEntry>),
}

impl BackendUpdate {
    /// The backends that the update contains.
    pub fn entries(&self) -> &[BackendEntry] {
        match self {
            BackendUpdate::Snapshot(entries) | BackendUpdate::Changes(entries) => entries,
        }
    }
}

/// One attempt to send a request to a backend.
pub struct Attempt {
    /// The request's id in this process.
    pub txn: TxnId,
    /// The attempt's number within its request.
    pub number: AttemptNumber,
    /// The request to forward.
    pub request: Rc<Request>,
    /// When the attempt times out.
    pub deadline: Ticks,
    /// Completes when the router cancels the attempt.
    pub cancelled: oneshot::Receiver<CancelReason>,
    /// Header fields to add for this backend.
    pub extra_headers: Vec<(&'static str, String)>,
}

/// A handle to an idle backend connection; dropping it closes the connection.
pub struct IdleConnection {
    /// Sends the next attempt to the connection's task; closed once the connection has ended.
    pub next: oneshot::Sender<Attempt>,
    /// When the connection became idle.
    pub since: Ticks,
}
