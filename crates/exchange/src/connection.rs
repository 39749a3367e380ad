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
    /// The attempt's request is being written.
    Writing {
        /// Whether this is the first attempt on the connection.
        fresh: bool,
    },
    /// The attempt's request was written completely; its reply is awaited.
    AwaitingReply,
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
    /// The last byte of the attempt's request was written.
    Written,
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
    /// The reused connection turned out to be closed. The backend has not executed the request, so the attempt must be
    /// repeated on a new connection.
    Redial,
    /// The event is impossible in this state.
    Unexpected,
}

impl ConnectionState {
    /// Returns the initial state for an attempt on a reused or on a new connection.
    pub fn for_attempt(reused: bool) -> ConnectionState {
        if reused { ConnectionState::Writing { fresh: false } } else { ConnectionState::Dialling }
    }

    /// Returns the state after the event, and the effect of the event on the attempt.
    pub fn on_event(self, event: ConnectionEvent) -> (ConnectionState, AttemptEffect) {
        use ConnectionEvent::*;
        use ConnectionState::*;
        let ended = |outcome| (Closed, AttemptEffect::Ended(outcome));
        match (self, event) {
            (Dialling, Connected) => (Writing { fresh: true }, AttemptEffect::Pending),
            (Dialling, ConnectFailed) => ended(Outcome::ConnectFailed),
            (Dialling, NoLocalSocket) => ended(Outcome::NotSent),
            (Writing { .. }, Written) => (AwaitingReply, AttemptEffect::Pending),
            (Writing { fresh: true }, Broken) => ended(Outcome::ConnectFailed),
            (Writing { fresh: false }, Broken) => (Dialling, AttemptEffect::Redial),
            (AwaitingReply, Broken) => (Closed, AttemptEffect::EndedWithoutReply(Outcome::ConnectionLost)),
            (AwaitingReply, MalformedReply) => ended(Outcome::ConnectionLost),
            (AwaitingReply, Replied { outcome, close }) => {
                (if close { Closed } else { Idle }, AttemptEffect::Ended(outcome))
            }
            // The request was not written completely, so the backend cannot have executed it.
            (Dialling | Writing { .. }, Cancelled(CancelReason::TimedOut)) => ended(Outcome::ConnectFailed),
            (AwaitingReply, Cancelled(CancelReason::TimedOut)) => ended(Outcome::TimedOut),
            (Dialling | Writing { .. } | AwaitingReply, Cancelled(CancelReason::Cancelled)) => {
                ended(Outcome::Cancelled)
            }
            (Idle, AttemptAssigned) => (Writing { fresh: false }, AttemptEffect::Pending),
            (Idle, UnsolicitedData) => (Closed, AttemptEffect::Pending),
            (state, _) => (state, AttemptEffect::Unexpected),
        }
    }
}

#[cfg(test)]
mod tests;
