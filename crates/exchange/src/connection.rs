//! The state machine of one connection to a backend, which carries one attempt at a time. It derives from each event
//! the outcome of the attempt, and whether the connection can be reused.

use vanewharf_policy::interface::Outcome;

/// The reason for which an attempt is cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CancelReason {
    /// The attempt's timeout or its request's deadline has passed.
    TimedOut,
    /// The routing policy cancelled the attempt.
    Cancelled,
}

/// The state of a connection to a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ConnectionState {
    /// The connection is being established.
    Dialling,
    /// The connection is open, and nothing of the attempt's request was sent yet. Only in this state and in
    /// [`Dialling`](ConnectionState::Dialling) is it certain that the backend has not run the request.
    Unsent {
        /// Whether this is the first attempt on the connection.
        fresh: bool,
    },
    /// A part of the attempt's request was sent. The backend may run the request before the rest arrives, and may also
    /// reply before.
    Sending,
    /// The attempt's request was sent completely; its reply is awaited.
    AwaitingReply,
    /// The reply was received while the request was being sent. The attempt has ended, and the rest of the request is
    /// still being sent, because the backend may read on.
    SendingRest,
    /// The connection is open and has no attempt.
    Idle,
    /// The connection cannot carry any further attempt.
    Closed,
}

/// An event on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ConnectionEvent {
    /// The connection was established.
    Connected,
    /// The connection was refused, or was not established in time.
    ConnectFailed,
    /// No local socket was available to dial with, which says nothing about the backend.
    NoLocalSocket,
    /// The first bytes of the attempt's request were sent, but not all.
    PartSent,
    /// The last byte of the attempt's request was sent.
    Sent,
    /// The connection broke.
    Broken,
    /// The received bytes are not a valid reply.
    MalformedReply,
    /// A complete reply was received.
    Replied {
        /// The outcome of the attempt according to the reply.
        outcome: Outcome,
        /// Whether the connection closes after the reply.
        close: bool,
    },
    /// The attempt was cancelled.
    Cancelled(CancelReason),
    /// The idle connection was assigned a new attempt.
    AttemptAssigned,
    /// Bytes, or the end of the stream, were received while the connection was idle.
    UnsolicitedData,
}

/// The effect of an event on the attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEffect {
    /// No effect: the attempt is still in flight, or the connection has none.
    Pending,
    /// The attempt ended with this outcome.
    Ended(Outcome),
    /// The attempt ended with this outcome and without any reply. The cause may be that the connection had been idle
    /// for too long before the attempt.
    EndedWithoutReply(Outcome),
    /// The reused connection turned out to be closed before anything of the request was sent, so the attempt must be
    /// repeated on a new connection.
    Redial,
    /// The event is impossible in this state.
    Unexpected,
}

impl ConnectionState {
    /// Returns the initial state for an attempt on a reused or on a new connection.
    pub fn for_attempt(reused: bool) -> ConnectionState {
        if reused { ConnectionState::Unsent { fresh: false } } else { ConnectionState::Dialling }
    }

    /// Returns the state after the event, and the effect of the event on the attempt.
    pub fn on_event(self, event: ConnectionEvent) -> (ConnectionState, AttemptEffect) {
        use ConnectionEvent::*;
        use ConnectionState::*;
        let ended = |outcome| (Closed, AttemptEffect::Ended(outcome));
        match (self, event) {
            (Dialling, Connected) => (Unsent { fresh: true }, AttemptEffect::Pending),
            (Dialling, ConnectFailed) => ended(Outcome::ConnectFailed),
            (Dialling, NoLocalSocket) => ended(Outcome::NotSent),
            (Unsent { .. }, PartSent) => (Sending, AttemptEffect::Pending),
            (Unsent { .. } | Sending, Sent) => (AwaitingReply, AttemptEffect::Pending),
            (Unsent { fresh: true }, Broken) => ended(Outcome::ConnectFailed),
            (Unsent { fresh: false }, Broken) => (Dialling, AttemptEffect::Redial),
            // A backend may run a request before it has read all of it, so a part that was sent is enough.
            (Sending | AwaitingReply, Broken) => {
                (Closed, AttemptEffect::EndedWithoutReply(Outcome::ConnectionLost))
            }
            (Sending | AwaitingReply, MalformedReply) => ended(Outcome::ConnectionLost),
            // The backend has stated that it will not run the request, so it does not need the rest.
            (Sending, Replied { outcome: Outcome::Rejected, .. }) => ended(Outcome::Rejected),
            (Sending, Replied { outcome, .. }) => (SendingRest, AttemptEffect::Ended(outcome)),
            (AwaitingReply, Replied { outcome, close }) => {
                (if close { Closed } else { Idle }, AttemptEffect::Ended(outcome))
            }
            (SendingRest, Sent | Broken) => (Closed, AttemptEffect::Pending),
            (Dialling | Unsent { .. }, Cancelled(CancelReason::TimedOut)) => ended(Outcome::ConnectFailed),
            (Sending | AwaitingReply, Cancelled(CancelReason::TimedOut)) => ended(Outcome::TimedOut),
            (Dialling | Unsent { .. } | Sending | AwaitingReply, Cancelled(CancelReason::Cancelled)) => {
                ended(Outcome::Cancelled)
            }
            (Idle, AttemptAssigned) => (Unsent { fresh: false }, AttemptEffect::Pending),
            (Idle, UnsolicitedData) => (Closed, AttemptEffect::Pending),
            (state, _) => (state, AttemptEffect::Unexpected),
        }
    }
}

#[cfg(test)]
mod tests;
