//! One exchange on a backend connection: sending an attempt's request and reading its reply at the same time.

use super::Connection;
use crate::clock::TICKS_PER_MS;
use crate::dialect::ReplyMatch;
use crate::messages::Attempt;
use crate::quiet_connection::is_quiet;
use crate::shared::Shared;
use futures_util::{SinkExt, StreamExt};
use std::future::poll_fn;
use std::io;
use std::task::{Context, Poll};
use std::time::Duration;
use thiserror::Error;
use tokio::io::AsyncWriteExt;
use tokio::sync::oneshot;
use tokio::time::timeout;
use vanewharf_exchange::{CancelReason, ConnectionEvent};
use vanewharf_http1::{ForwardedRequest, ReadError, Reply};
use vanewharf_policy::interface::Outcome;

/// How long the rest of a request is sent after its reply was received. The backend may do other work before it reads on.
const SENDING_REST_TIMEOUT: Duration = Duration::from_secs(10);

/// How much of a request the operating system has accepted for sending.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::backend_connection) enum SendProgress {
    Nothing,
    Part,
    Complete,
}

impl SendProgress {
    /// The event on the connection's state, if anything was sent.
    pub(in crate::backend_connection) fn event(self) -> Option<ConnectionEvent> {
        match self {
            SendProgress::Nothing => None,
            SendProgress::Part => Some(ConnectionEvent::PartSent),
            SendProgress::Complete => Some(ConnectionEvent::Sent),
        }
    }
}

/// How an exchange ended.
pub(in crate::backend_connection) struct Exchange {
    /// How much of the request was sent by then.
    pub(in crate::backend_connection) progress: SendProgress,
    /// The event that ended the exchange.
    pub(in crate::backend_connection) event: ConnectionEvent,
    /// The reply to the request, if one was received.
    pub(in crate::backend_connection) reply: Option<Reply>,
    /// Why what was received is not a valid reply, if that ended the exchange.
    pub(in crate::backend_connection) malformed: Option<MalformedReply>,
}

/// Why received bytes are not a valid reply to the request.
#[derive(Debug, Error)]
pub(in crate::backend_connection) enum MalformedReply {
    /// They are not a complete HTTP message.
    #[error(transparent)]
    Unreadable(ReadError),
    /// The reply cannot be matched to any request.
    #[error("it does not identify the request that it answers")]
    Unidentified,
}

/// What was received in an exchange.
enum Received {
    Reply {
        reply: Reply,
        outcome: Outcome,
        close: bool,
    },
    Malformed(MalformedReply),
    /// No reply, because of this event.
    Nothing(ConnectionEvent),
}

impl Received {
    /// The end of an exchange in which this was received.
    fn into_exchange(self, progress: SendProgress) -> Exchange {
        let (event, reply, malformed) = match self {
            Received::Reply { reply, outcome, close } => {
                (ConnectionEvent::Replied { outcome, close }, Some(reply), None)
            }
            Received::Malformed(reason) => (ConnectionEvent::MalformedReply, None, Some(reason)),
            Received::Nothing(event) => (event, None, None),
        };
        if progress == SendProgress::Nothing && !matches!(event, ConnectionEvent::Cancelled(_)) {
            // What was received before anything was sent does not answer the request.
            return Exchange { progress, event: ConnectionEvent::Broken, reply: None, malformed };
        }
        Exchange { progress, event, reply, malformed }
    }
}

/// How much of an exchange was transferred, for the log.
#[derive(Clone, Copy, Debug)]
pub(in crate::backend_connection) struct TransferState {
    /// The encoded size of the request.
    pub(in crate::backend_connection) request_bytes: usize,
    /// How much of the request the operating system has accepted.
    pub(in crate::backend_connection) sent_bytes: usize,
    /// Whether the backend has sent bytes that were not read as a reply, or has closed the connection.
    pub(in crate::backend_connection) has_unread_input: bool,
}

fn cancelled(reason: Result<CancelReason, oneshot::error::RecvError>) -> ConnectionEvent {
    ConnectionEvent::Cancelled(reason.unwrap_or(CancelReason::Cancelled))
}

impl Connection {
    /// Sends the attempt's request and reads its reply, unless the attempt is cancelled first. The reply is read while the
    /// request is being sent, because the backend may reply before it has received all of it.
    pub(in crate::backend_connection) async fn exchange(
        &mut self,
        attempt: &mut Attempt,
        shared: &Shared,
    ) -> Exchange {
        self.encode_request(attempt, shared).await;
        let received = self.send_and_receive(attempt, shared).await;
        received.into_exchange(self.send_progress())
    }

    /// Encodes the request into the write buffer.
    async fn encode_request(&mut self, attempt: &Attempt, shared: &Shared) {
        let ms_left = (attempt.deadline - shared.clock.now()).0.max(0) / TICKS_PER_MS;
        let ms_left = ms_left.to_string();
        let options = shared.dialect.forwarding_options();
        let extra = attempt.extra_headers.iter().map(|(name, value)| (*name, value.as_str()));
        let set_headers: Vec<_> =
            std::iter::once((options.time_left_header, ms_left.as_str())).chain(extra).collect();
        let request = ForwardedRequest {
            request: &attempt.request,
            set_headers: &set_headers,
            removed_headers: options.request_headers_removed,
        };
        // Encoding into the empty write buffer neither fails nor waits.
        let _ = self.framed.feed(request).await;
        self.request_bytes = self.framed.write_buffer().len();
    }

    /// Sends the encoded request, and returns what was received until the exchange ended.
    async fn send_and_receive(&mut self, attempt: &mut Attempt, shared: &Shared) -> Received {
        // Replies to other requests are skipped; the connection is not reused after one.
        let mut skipped_any = false;
        loop {
            // Cancel safe: the unsent bytes stay in the write buffer, and those of an incomplete reply in the codec.
            let read = tokio::select! {
                biased;
                read = self.next_reply() => read,
                reason = &mut attempt.cancelled => return Received::Nothing(cancelled(reason)),
            };
            let reply = match read {
                Some(Ok(reply)) => reply,
                None | Some(Err(ReadError::Io(_))) => return Received::Nothing(ConnectionEvent::Broken),
                Some(Err(error)) => return Received::Malformed(MalformedReply::Unreadable(error)),
            };
            match shared.dialect.match_reply(&attempt.request, &reply) {
                ReplyMatch::Current(outcome) => {
                    let unread = !self.framed.read_buffer().is_empty();
                    let close = skipped_any || reply.closes_connection() || unread;
                    return Received::Reply { reply, outcome, close };
                }
                ReplyMatch::OtherRequest => skipped_any = true,
                ReplyMatch::Unidentified => return Received::Malformed(MalformedReply::Unidentified),
            }
        }
    }

    /// Reads the next reply. Sends what is left of the request meanwhile.
    async fn next_reply(&mut self) -> Option<Result<Reply, ReadError>> {
        poll_fn(|cx| {
            let sent = self.poll_send(cx);
            let reply = self.framed.poll_next_unpin(cx);
            self.count_buffer_bytes();
            match sent {
                Poll::Ready(Err(error)) if self.send_progress() == SendProgress::Nothing => {
                    Poll::Ready(Some(Err(ReadError::Io(error))))
                }
                // A backend that replies and closes early resets the connection. Its reply can still be read, although the
                // runtime may not have noticed it yet; after that, reading fails as well.
                _ => reply,
            }
        })
        .await
    }

    /// Sends as much of the write buffer as the operating system accepts.
    fn poll_send(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.framed.write_buffer().is_empty() {
            return Poll::Ready(Ok(()));
        }
        SinkExt::<ForwardedRequest<'_>>::poll_flush_unpin(&mut self.framed, cx)
    }

    fn send_progress(&self) -> SendProgress {
        match self.framed.write_buffer().len() {
            0 => SendProgress::Complete,
            unsent if unsent == self.request_bytes => SendProgress::Nothing,
            _ => SendProgress::Part,
        }
    }

    fn count_buffer_bytes(&mut self) {
        let Connection { framed, guard, .. } = self;
        let received = framed.read_buffer().capacity() + framed.codec().buffered_bytes();
        guard.set_buffer_bytes(received + framed.write_buffer().len());
    }

    /// Sends the rest of a request whose reply was received early, for at most [`SENDING_REST_TIMEOUT`], then closes the
    /// connection.
    pub(in crate::backend_connection) async fn send_rest(mut self) {
        let _ = timeout(SENDING_REST_TIMEOUT, self.send_rest_and_close()).await;
    }

    async fn send_rest_and_close(&mut self) -> io::Result<()> {
        poll_fn(|cx| self.poll_send(cx)).await?;
        let stream = self.framed.get_mut();
        stream.shutdown().await?;
        // A connection that is closed with unread input is reset, and the backend could lose the end of the request.
        tokio::io::copy(stream, &mut tokio::io::sink()).await?;
        Ok(())
    }

    /// How much of the current exchange was transferred.
    pub(in crate::backend_connection) fn transfer_state(&self) -> TransferState {
        TransferState {
            request_bytes: self.request_bytes,
            sent_bytes: self.request_bytes - self.framed.write_buffer().len(),
            has_unread_input: !is_quiet(&self.framed),
        }
    }
}
