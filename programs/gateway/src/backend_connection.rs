//! One task for each connection to a backend. It makes one attempt at a time and reports to the router how each ended,
//! by what can be proved of it.
//!
//! What each event on the connection proves is decided by [`ConnectionState`]; the task only brings the events about.

mod connection;

use crate::counters::Counter;
use crate::messages::{Attempt, AttemptResult, IdleConnection, RouterMessage};
use crate::shared::Shared;
use connection::{Connection, Exchange, IdleEnd};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::oneshot;
use vanewharf_exchange::{AttemptEffect, CancelReason, ConnectionEvent, ConnectionState};
use vanewharf_policy::interface::{Outcome, Ticks};

/// Makes an attempt on a new connection, and further ones that the router hands to it, until the connection ends.
pub async fn run(attempt: Attempt, address: SocketAddr, shared: Rc<Shared>) {
    let mut task = BackendTask { address, shared, state: ConnectionState::for_attempt(false) };
    let mut next = Some(NextAttempt { attempt, reused: None });
    while let Some(attempt) = next {
        next = task.serve(attempt).await;
    }
}

struct BackendTask {
    address: SocketAddr,
    shared: Rc<Shared>,
    state: ConnectionState,
}

/// An attempt and the connection that it is made on; none where one is to be opened.
struct NextAttempt {
    attempt: Attempt,
    reused: Option<ReusedConnection>,
}

struct ReusedConnection {
    connection: Connection,
    idle_since: Ticks,
}

impl BackendTask {
    fn advance(&mut self, event: ConnectionEvent) -> AttemptEffect {
        let (state, effect) = self.state.on_event(event);
        self.state = state;
        effect
    }

    /// Makes one attempt and reports its end; returns the next one, once there is one.
    async fn serve(&mut self, next: NextAttempt) -> Option<NextAttempt> {
        let NextAttempt { mut attempt, reused } = next;
        let (txn, number) = (attempt.txn, attempt.number);
        let result = |outcome| AttemptResult::without_reply(txn, number, outcome);
        let idle_before = reused.as_ref().map(|reused| self.shared.clock.now() - reused.idle_since);
        let mut connection = match reused {
            Some(reused) => reused.connection,
            None => match self.connect(&mut attempt).await {
                Ok(connection) => connection,
                Err(outcome) => return self.end(result(outcome)),
            },
        };
        let Exchange { written, event, reply } = connection.exchange(&mut attempt, &self.shared).await;
        if written {
            self.advance(ConnectionEvent::Written);
        }
        let outcome = match self.advance(event) {
            AttemptEffect::Ended(outcome) => outcome,
            AttemptEffect::EndedWithoutReply(outcome) => {
                return self.end(AttemptResult { idle_before_loss: idle_before, ..result(outcome) });
            }
            AttemptEffect::Redial => {
                self.shared.resources.count(Counter::BackendsStale);
                return Some(NextAttempt { attempt, reused: None });
            }
            // An exchange causes neither.
            AttemptEffect::Pending | AttemptEffect::Unexpected => Outcome::ConnectionLost,
        };
        connection.release_write_buffer(&attempt);
        let result = AttemptResult { reply, ..result(outcome) };
        if self.state != ConnectionState::Idle {
            return self.end(result);
        }
        self.wait_for_next(connection, result).await
    }

    /// Opens a connection; where that fails, returns what the failure proves of the attempt.
    async fn connect(&mut self, attempt: &mut Attempt) -> Result<Connection, Outcome> {
        // Cancelling drops the socket that is being connected; nothing was written on it.
        let dialled = tokio::select! {
            biased;
            reason = &mut attempt.cancelled => {
                Err(ConnectionEvent::Cancelled(reason.unwrap_or(CancelReason::Cancelled)))
            }
            dialled = Connection::dial(self.address, &self.shared) => dialled,
        };
        match dialled {
            Ok(connection) => {
                self.advance(ConnectionEvent::Connected);
                Ok(connection)
            }
            Err(event) => match self.advance(event) {
                AttemptEffect::Ended(outcome) => Err(outcome),
                _ => Err(Outcome::ConnectFailed),
            },
        }
    }

    /// Reports the attempt's result, offers the connection for reuse and waits for its next attempt.
    async fn wait_for_next(
        &mut self,
        mut connection: Connection,
        result: AttemptResult,
    ) -> Option<NextAttempt> {
        let (next, mut attempts) = oneshot::channel();
        let idle_since = self.shared.clock.now();
        let idle_connection = Some(IdleConnection { next, since: idle_since });
        self.report(AttemptResult { idle_connection, ..result });
        match connection.idle(&mut attempts).await {
            IdleEnd::Assigned(attempt) => {
                self.advance(ConnectionEvent::AttemptAssigned);
                Some(NextAttempt { attempt, reused: Some(ReusedConnection { connection, idle_since }) })
            }
            IdleEnd::Lost(Some(attempt)) => {
                self.shared.resources.count(Counter::BackendsStale);
                self.state = ConnectionState::for_attempt(false);
                Some(NextAttempt { attempt, reused: None })
            }
            IdleEnd::Lost(None) => None,
        }
    }

    /// Reports the last attempt's result: there is no next one.
    fn end(&self, result: AttemptResult) -> Option<NextAttempt> {
        self.report(result);
        None
    }

    fn report(&self, result: AttemptResult) {
        let AttemptResult { txn, number, outcome, ref idle_connection, .. } = result;
        tracing::debug!(
            txn = txn.0,
            no = number.0,
            ?outcome,
            reusable = idle_connection.is_some(),
            "attempt ended"
        );
        self.shared.notify_router(RouterMessage::AttemptEnded(result));
    }
}
