//! The messages between the components of the policy: backend trackers, admission control and quota enforcement. Each
//! message type is named after the component that handles it.

use crate::interface::*;
use crate::state::QuotaCheck;

/// The timer of a gateway's heartbeats to itself. It does not collide with the timers of quota requests, whose ids have
/// 32 bits.
pub const HEARTBEAT_TIMER: TimerId = TimerId(1 << 32);

/// An event, converted into a message to the component that handles it.
#[derive(Clone, Debug)]
pub enum RoutedEvent {
    /// Discovery reported the complete list of backends.
    BackendList(Vec<BackendInfo>),
    /// Discovery reported changed or new backends.
    BackendChanges(Vec<BackendInfo>),
    /// A message to admission control.
    Admission(AdmissionMessage),
    /// A message to quota enforcement.
    Quota(QuotaMessage),
    /// The timer of the gateway's heartbeats has expired.
    Heartbeat,
}

impl From<Event> for RoutedEvent {
    fn from(event: Event) -> RoutedEvent {
        match event {
            Event::BackendList(entries) => RoutedEvent::BackendList(entries),
            Event::BackendChanges(entries) => RoutedEvent::BackendChanges(entries),
            Event::RequestArrived(arrival) => {
                RoutedEvent::Admission(AdmissionMessage::RequestArrived(arrival))
            }
            Event::AttemptEnded(report) => RoutedEvent::Admission(AdmissionMessage::AttemptEnded(report)),
            Event::ClientDisconnected(txn) => {
                RoutedEvent::Admission(AdmissionMessage::ClientDisconnected(txn))
            }
            Event::TimerFired(HEARTBEAT_TIMER) => RoutedEvent::Heartbeat,
            Event::TimerFired(TimerId(timer)) => {
                RoutedEvent::Quota(QuotaMessage::RequestTimedOut(QuotaRequestId(timer as u32)))
            }
            Event::PeerMessageReceived { from, message } => {
                RoutedEvent::Quota(QuotaMessage::Peer(from, message))
            }
            Event::CounterReplied { key, reply } => {
                RoutedEvent::Quota(QuotaMessage::CounterReplied(key, reply))
            }
        }
    }
}

/// A message to the tracker of one backend.
#[derive(Clone, Debug)]
pub enum BackendMessage {
    /// Discovery reported the backend.
    Listed(BackendInfo),
    /// Discovery's complete list does not contain the backend.
    Unlisted,
    /// Updates the state that depends on the time.
    Tick {
        /// The age after which an attempt in flight is overdue, a sign of an unresponsive backend.
        overdue_after: Ticks,
        /// Work (seconds per second) that this gateway sends to warm, not ejected backends, per unit of their capacity.
        warm_rate: f64,
        /// How long an ejection that starts now lasts.
        ejection_time: Ticks,
    },
    /// An attempt was sent to the backend.
    AttemptSent {
        /// The request.
        txn: TxnId,
        /// The attempt.
        attempt: AttemptNumber,
        /// The expected duration of the attempt, in seconds.
        work: f64,
    },
    /// An attempt at the backend has ended.
    AttemptEnded {
        /// The request.
        txn: TxnId,
        /// The attempt.
        attempt: AttemptNumber,
        /// How the attempt ended.
        outcome: Outcome,
        /// The latency of the attempt, as a multiple of the product's mean latency.
        relative_latency: f64,
    },
}

/// A message to admission control.
#[derive(Clone, Debug)]
pub enum AdmissionMessage {
    /// A request has arrived.
    RequestArrived(Arrival),
    /// The quota admits a request.
    QuotaGranted(TxnId),
    /// The quota does not admit a request; the client may retry after the time given, if any.
    QuotaRejected(TxnId, Option<Ticks>),
    /// An attempt has ended.
    AttemptEnded(AttemptReport),
    /// The client of a request has disconnected.
    ClientDisconnected(TxnId),
}

impl AdmissionMessage {
    /// Returns the message that tells admission control the quota decision on a request.
    pub fn from_decision(txn: TxnId, decision: QuotaDecision) -> AdmissionMessage {
        match decision {
            Ok(()) => AdmissionMessage::QuotaGranted(txn),
            Err(rejection) => AdmissionMessage::QuotaRejected(txn, rejection.retry_after),
        }
    }
}

/// A message to quota enforcement.
#[derive(Clone, Debug)]
pub enum QuotaMessage {
    /// Asks whether the quota admits a request.
    Check(QuotaCheck),
    /// A message from another gateway.
    Peer(GatewayId, PeerMessage),
    /// A quota request to an owner timed out.
    RequestTimedOut(QuotaRequestId),
    /// An attempt of an admitted request has ended.
    AttemptEnded {
        /// The claim of the request.
        claim: QuotaClaim,
        /// The customer's metered usage at all gateways, as a fraction of its quota.
        metered_usage: Option<f64>,
        /// The actual cost minus the cost in the claim, in units.
        extra_cost: f64,
    },
    /// The shared counter replied to a call.
    CounterReplied(CounterKey, CounterReply),
}

impl QuotaMessage {
    /// Returns the message that refunds the claim of an admitted request that could not be sent.
    pub fn refund(claim: QuotaClaim) -> QuotaMessage {
        QuotaMessage::AttemptEnded { claim, metered_usage: None, extra_cost: -claim.cost }
    }
}

/// The answer to a check, or `None` if it is not known yet.
pub type CheckAnswer = Option<AdmissionMessage>;
