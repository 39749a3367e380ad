//! One connection to a backend, which carries one attempt at a time: what each event on it proves of the attempt, and
//! whether the connection can carry another.

use vanewharf_policy::interface::Outcome;

/// Why an attempt is no longer waited for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CancelReason {
    /// Its time is over.
    TimedOut,
    /// The policy cancelled it.
    Cancelled,
}

/// The state of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ConnectionState {
    /// The connection is being established.
    Dialling,
    /// The attempt's bytes are being written.
    Writing {
        /// Whether the connection has carried nothing before.
        fresh: bool,
    },
    /// The attempt's last byte is written.
    AwaitingReply,
    /// The connection waits for its next attempt.
    Idle,
    /// The connection carries nothing more.
    Closed,
}

/// What happens on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ConnectionEvent {
    /// It is established.
    Connected,
    /// It was refused, or was not established in time.
    ConnectFailed,
    /// No local socket was left to dial with, which proves nothing of the backend.
    NoLocalSocket,
    /// The attempt's last byte was written.
    Written,
    /// The connection broke.
    Broken,
    /// What was received is no reply.
    MalformedReply,
    /// A complete reply was received.
    Replied {
        /// What the reply proves of the attempt.
        outcome: Outcome,
        /// Whether the connection ends with it.
        close: bool,
    },
    /// The attempt is no longer waited for.
    Cancelled(CancelReason),
    /// The idle connection was assigned its next attempt.
    AttemptAssigned,
    /// Bytes or the end of the connection were received while it was idle.
    UnsolicitedData,
}

/// What becomes of the attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEffect {
    /// Nothing yet.
    Pending,
    /// It ended.
    Ended(Outcome),
    /// It ended without any reply; how long the connection had been idle before may be the reason.
    EndedWithoutReply(Outcome),
    /// The connection had been closed unnoticed and nothing has run: the attempt is to be made on a new one.
    Redial,
    /// The event cannot happen in this state.
    Unexpected,
}

impl ConnectionState {
    /// The state in which an attempt begins, on a reused connection or on a new one.
    pub fn for_attempt(reused: bool) -> ConnectionState {
        if reused { ConnectionState::Writing { fresh: false } } else { ConnectionState::Dialling }
    }

    /// The state after an event, and what the event means for the attempt.
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
            // The request was not written completely, so it cannot have run.
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
