//! The task of a backend connection. It makes one attempt at a time and reports each attempt's outcome to the router.
//!
//! [`ConnectionState`] derives the outcome from the events on the connection: whether they prove that the request has
//! run, has not run, or may have run. The task performs the I/O that causes these events.

mod connection;

use crate::counters::Counter;
use crate::messages::{Attempt, AttemptResult, IdleConnection, RouterMessage};
use crate::shared::Shared;
use connection::exchange::{Exchange, MalformedReply, TransferState};
use connection::{Connection, IdleEnd};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::oneshot;
use vanewharf_exchange::{AttemptEffect, CancelReason, ConnectionEvent, ConnectionState};
use vanewharf_policy::interface::{AttemptNumber, Outcome, Ticks, TxnId};

/// Makes an attempt on a new connection, and then the attempts that the router assigns to it, until the connection
/// ends.
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

struct NextAttempt {
    attempt: Attempt,
    /// The idle connection to make the attempt on; `None` if a new one must be opened.
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

    /// Makes one attempt and reports its result. Returns the next attempt, or `None` once the connection has ended.
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
        let Exchange { progress, event, reply, malformed } =
            connection.exchange(&mut attempt, &self.shared).await;
        if let Some(reason) = &malformed {
            self.log_malformed_reply(txn, number, reason);
        }
        if tracing::enabled!(tracing::Level::DEBUG) {
            let TransferState { request_bytes, sent_bytes, has_unread_input } = connection.transfer_state();
            tracing::debug!(
                txn = txn.0,
                no = number.0,
                ?event,
                request_bytes,
                sent_bytes,
                has_unread_input,
                "exchange ended"
            );
        }
        if let Some(sent) = progress.event() {
            self.advance(sent);
        }
        let outcome = match self.advance(event) {
            AttemptEffect::Ended(outcome) => outcome,
            AttemptEffect::EndedWithoutReply(outcome) => {
                return self.end(AttemptResult { idle_before_loss: idle_before, ..result(outcome) });
            }
            AttemptEffect::Redial => {
                self.shared.resources.count(Counter::BackendConnectionsStale);
                return Some(NextAttempt { attempt, reused: None });
            }
            // The events of an exchange cause neither.
            AttemptEffect::Pending | AttemptEffect::Unexpected => Outcome::ConnectionLost,
        };
        let result = AttemptResult { reply, ..result(outcome) };
        if self.state == ConnectionState::SendingRest {
            self.report(result);
            return self.send_rest(connection).await;
        }
        connection.release_write_buffer(&attempt);
        if self.state != ConnectionState::Idle {
            return self.end(result);
        }
        self.wait_for_next(connection, result).await
    }

    /// Opens a connection; if that fails, returns the attempt's outcome.
    async fn connect(&mut self, attempt: &mut Attempt) -> Result<Connection, Outcome> {
        // Cancel safe: nothing was written to a socket that is dropped while connecting.
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

    /// Reports the attempt's result, offers the idle connection to the router and waits for the next attempt.
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
                self.shared.resources.count(Counter::BackendConnectionsStale);
                self.state = ConnectionState::for_attempt(false);
                Some(NextAttempt { attempt, reused: None })
            }
            IdleEnd::Lost(None) => None,
        }
    }

    /// Sends the rest of a request whose reply was received early, unless too much is being sent already; always returns
    /// `None`. The process does not exit meanwhile, as long as its shutdown permits.
    async fn send_rest(&self, connection: Connection) -> Option<NextAttempt> {
        let resources = &self.shared.resources;
        resources.count(Counter::RepliesReceivedEarly);
        if let Some(_unfinished) = resources.try_track_unfinished_request() {
            connection.send_rest().await;
        }
        None
    }

    /// Reports the result of the connection's last attempt; always returns `None`.
    fn end(&self, result: AttemptResult) -> Option<NextAttempt> {
        self.report(result);
        None
    }

    fn log_malformed_reply(&self, txn: TxnId, number: AttemptNumber, reason: &MalformedReply) {
        let Shared { resources, clock, malformed_reply_lines, .. } = &*self.shared;
        resources.count(Counter::RepliesMalformed);
        if let Some(omitted) = malformed_reply_lines.try_log(clock.now()) {
            let backend = self.address;
            tracing::warn!(%backend, txn = txn.0, no = number.0, %reason, omitted, "malformed reply of a backend");
        }
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
