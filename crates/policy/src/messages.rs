//! The messages between the parts of the decisions: backends, admission control and quotas. They hold no state, and each
//! is handled by the part in whose name it is.

use crate::interface::*;
use crate::state::QuotaCheck;

/// The timer of a gateway's heartbeats to itself, above the timers of all quota requests.
pub const HEARTBEAT_TIMER: TimerId = TimerId(1 << 32);

/// An event, as a message to the part that it is for.
#[derive(Clone, Debug)]
pub enum Notification {
    /// Discovery's complete list of backends.
    BackendList(Vec<BackendInfo>),
    /// Backends that have changed or are new.
    BackendChanges(Vec<BackendInfo>),
    /// For admission control.
    Admission(AdmissionMessage),
    /// For the quotas' enforcement.
    Quota(QuotaMessage),
    /// The gateway's heartbeat to itself.
    Heartbeat,
}

impl From<Event> for Notification {
    fn from(event: Event) -> Notification {
        match event {
            Event::BackendList(entries) => Notification::BackendList(entries),
            Event::BackendChanges(entries) => Notification::BackendChanges(entries),
            Event::RequestArrived(arrival) => {
                Notification::Admission(AdmissionMessage::RequestArrived(arrival))
            }
            Event::AttemptEnded(report) => Notification::Admission(AdmissionMessage::AttemptEnded(report)),
            Event::ClientDisconnected(txn) => {
                Notification::Admission(AdmissionMessage::ClientDisconnected(txn))
            }
            Event::TimerFired(HEARTBEAT_TIMER) => Notification::Heartbeat,
            Event::TimerFired(TimerId(timer)) => {
                Notification::Quota(QuotaMessage::RequestTimedOut(QuotaRequestId(timer as u32)))
            }
            Event::PeerMessageReceived { from, message } => {
                Notification::Quota(QuotaMessage::Peer(from, message))
            }
            Event::CounterReplied { key, reply } => {
                Notification::Quota(QuotaMessage::CounterReplied(key, reply))
            }
        }
    }
}

/// What a backend's tracker is notified of.
#[derive(Clone, Debug)]
pub enum BackendMessage {
    /// Discovery has named it.
    Listed(BackendInfo),
    /// Discovery's complete list does not name it.
    Unlisted,
    /// Time has passed.
    Tick {
        /// How long a response may take before the backend counts as unresponsive.
        patience: Ticks,
        /// Seconds of work a second that this gateway sends warmed-up backends, for each unit of their capacity.
        ready_rate: f64,
        /// How long an ejection that starts now lasts.
        ejection: Ticks,
    },
    /// An attempt was sent to it.
    AttemptSent {
        /// The request.
        txn: TxnId,
        /// Which of its attempts.
        attempt: AttemptNumber,
        /// Seconds that it is expected to take.
        work: f64,
    },
    /// An attempt to it has ended.
    AttemptEnded {
        /// The request.
        txn: TxnId,
        /// Which of its attempts.
        attempt: AttemptNumber,
        /// How it ended.
        outcome: Outcome,
        /// Its latency, as a multiple of the product's mean.
        relative_latency: f64,
    },
}

/// What admission control is notified of.
#[derive(Clone, Debug)]
pub enum AdmissionMessage {
    /// A request has come.
    RequestArrived(Arrival),
    /// The quota admits a request.
    QuotaGranted(TxnId),
    /// The quota refuses a request, which may come back after a span.
    QuotaRefused(TxnId, Option<Ticks>),
    /// An attempt has ended.
    AttemptEnded(AttemptReport),
    /// A request's client has left.
    ClientDisconnected(TxnId),
}

impl AdmissionMessage {
    /// The quota's answer for a request.
    pub fn from_decision(txn: TxnId, decision: QuotaDecision) -> AdmissionMessage {
        match decision {
            Ok(()) => AdmissionMessage::QuotaGranted(txn),
            Err(rejection) => AdmissionMessage::QuotaRefused(txn, rejection.retry_after),
        }
    }
}

/// What the quotas' enforcement is notified of.
#[derive(Clone, Debug)]
pub enum QuotaMessage {
    /// Asks whether a request may be admitted.
    Check(QuotaCheck),
    /// Another gateway's message.
    Peer(GatewayId, PeerMessage),
    /// No owner's response came in time.
    RequestTimedOut(QuotaRequestId),
    /// An admitted request's attempt has ended.
    AttemptEnded {
        /// What was claimed for it.
        claim: QuotaClaim,
        /// The customer's usage over all gateways, as a part of its quota.
        metered_usage: Option<f64>,
        /// What it cost beyond the claim, in units; negative where it cost less.
        owed: f64,
    },
    /// The shared counter's reply to a call.
    CounterReplied(CounterKey, CounterReply),
}

impl QuotaMessage {
    /// Returns the claim of a request that was granted and could not be sent.
    pub fn refund(claim: QuotaClaim) -> QuotaMessage {
        QuotaMessage::AttemptEnded { claim, metered_usage: None, owed: -claim.cost }
    }
}

/// The answer to a check, where it is known by now.
pub type CheckAnswer = Option<AdmissionMessage>;
