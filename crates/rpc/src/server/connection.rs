//! One connection of a client.

use super::dispatcher::Dispatcher;
use super::drain::ServerDrain;
use crate::limits::{IDLE_TIMEOUT, MAX_BODY_BYTES, MAX_IDLE_BUFFER_BYTES, REQUEST_TIMEOUT, RESPONSE_TIMEOUT};
use crate::response::RpcResponse;
use bytes::BytesMut;
use futures_util::{SinkExt, StreamExt};
use std::future::poll_fn;
use std::pin::pin;
use std::task::Poll;
use tokio::io::AsyncWriteExt;
use tokio::time::timeout;
use tokio_util::codec::Framed;
use vanewharf_http1::{LocalReply, ReadError, Request, ServerCodec};
use vanewharf_protocol::endpoints::CALL_ID;
use vanewharf_runtime::environment::Stream;

pub(super) struct ServerConnection {
    framed: Framed<Stream, ServerCodec>,
    /// What arrived while the request before it was handled, one at most.
    read_ahead: Option<Result<Request, ReadError>>,
    drain: ServerDrain,
}

/// How reading goes on from an idle connection.
enum Start {
    /// Something arrived completely, or the connection ended.
    Complete(Option<Result<Request, ReadError>>),
    /// The first bytes of a request arrived.
    Partial,
}

impl ServerConnection {
    pub(super) fn new(stream: Stream, drain: ServerDrain) -> ServerConnection {
        let framed = Framed::new(stream, ServerCodec::with_max_body(MAX_BODY_BYTES));
        ServerConnection { framed, read_ahead: None, drain }
    }

    /// The next request, or the response to one that is refused for its form. None where the connection has
    /// ended, was idle for too long, or is idle while the program shuts down.
    pub(super) async fn read_request(&mut self) -> Option<Result<Request, RpcResponse>> {
        let read = match self.read_ahead.take() {
            Some(read) => Some(read),
            None => match timeout(IDLE_TIMEOUT, self.read_start_unless_draining()).await {
                Ok(Start::Complete(read)) => read,
                Ok(Start::Partial) => timeout(REQUEST_TIMEOUT, self.framed.next()).await.unwrap_or(None),
                Err(_) => None,
            },
        };
        match read? {
            Ok(request) => Some(Ok(request)),
            Err(error) => refusal(&error).map(Err),
        }
    }

    async fn read_start_unless_draining(&mut self) -> Start {
        let drain = self.drain.clone();
        // Cancel safe: what was read of a request stays in the codec.
        tokio::select! {
            biased;
            start = self.read_start() => start,
            () = drain.started() => Start::Complete(None),
        }
    }

    async fn read_start(&mut self) -> Start {
        poll_fn(|cx| match self.framed.poll_next_unpin(cx) {
            Poll::Ready(read) => Poll::Ready(Start::Complete(read)),
            Poll::Pending if self.is_empty() => Poll::Pending,
            Poll::Pending => Poll::Ready(Start::Partial),
        })
        .await
    }

    /// Whether no byte of a request has arrived.
    fn is_empty(&self) -> bool {
        self.framed.read_buffer().is_empty() && self.framed.codec().buffered_bytes() == 0
    }

    /// Dispatches the request and writes its response. Whether the connection can be used further.
    pub(super) async fn answer<H, F>(&mut self, request: Request, dispatcher: &Dispatcher<H>) -> bool
    where
        H: Fn(Request) -> F,
        F: Future<Output = RpcResponse>,
    {
        let closes = request.closes_connection();
        let call_id = request.field(CALL_ID).map(str::to_owned);
        let drain = self.drain.clone();
        // A call that is given up may have taken effect: it is answered as uncertain, and its future is dropped.
        let response = tokio::select! {
            biased;
            response = self.unless_disconnected(dispatcher.dispatch(request)) => response,
            () = drain.ending() => Some(RpcResponse::error(503, "the program ends; send it again")),
        };
        // A request that was read ahead is answered before the connection ends.
        let closes = closes || self.drain.has_started() && self.read_ahead.is_none();
        match response {
            Some(response) => self.write(&response, call_id.as_deref(), closes).await,
            None => false,
        }
    }

    /// Writes the response to a malformed request. Whether the connection can be used further, which it
    /// cannot.
    pub(super) async fn refuse(&mut self, response: RpcResponse) -> bool {
        self.write(&response, None, true).await
    }

    /// The response, or nothing where the client has disconnected. Then nobody waits for it any more, and the
    /// handler's future is dropped at its current await point. The connection is polled first, as a request
    /// that the network has delayed arrives together with the connection's end.
    async fn unless_disconnected(
        &mut self,
        response: impl Future<Output = RpcResponse>,
    ) -> Option<RpcResponse> {
        // Else the end would be seen only after the runtime has polled the operating system once more.
        tokio::task::yield_now().await;
        let mut response = pin!(response);
        poll_fn(|cx| {
            if self.read_ahead.is_none()
                && let Poll::Ready(read) = self.framed.poll_next_unpin(cx)
            {
                match read {
                    None | Some(Err(ReadError::Io(_) | ReadError::UnexpectedEof)) => {
                        return Poll::Ready(None);
                    }
                    Some(read) => self.read_ahead = Some(read),
                }
            }
            response.as_mut().poll(cx).map(Some)
        })
        .await
    }

    async fn write(&mut self, response: &RpcResponse, call_id: Option<&str>, closes: bool) -> bool {
        let mut fields: Vec<_> =
            response.headers.iter().map(|(name, value)| (*name, value.as_str())).collect();
        fields.push(("Content-Type", "application/json"));
        fields.extend(call_id.map(|id| (CALL_ID, id)));
        let reply =
            LocalReply { status: response.status, fields: &fields, body: &response.body, close: closes };
        let is_written = matches!(timeout(RESPONSE_TIMEOUT, self.framed.send(reply)).await, Ok(Ok(())));
        if !is_written || closes {
            let _ = timeout(REQUEST_TIMEOUT, self.framed.get_mut().shutdown()).await;
            return false;
        }
        self.free_large_buffers();
        true
    }

    fn free_large_buffers(&mut self) {
        if self.framed.write_buffer().capacity() > MAX_IDLE_BUFFER_BYTES {
            *self.framed.write_buffer_mut() = BytesMut::new();
        }
        let read_buffer = self.framed.read_buffer();
        if read_buffer.is_empty() && read_buffer.capacity() > MAX_IDLE_BUFFER_BYTES {
            *self.framed.read_buffer_mut() = BytesMut::new();
        }
    }
}

/// The response to a request that cannot be read; none where the connection has ended.
fn refusal(error: &ReadError) -> Option<RpcResponse> {
    match error {
        ReadError::Io(_) | ReadError::UnexpectedEof => None,
        ReadError::HeadTooLarge => Some(RpcResponse::error(431, "the head is too large")),
        ReadError::BodyTooLarge => Some(RpcResponse::error(413, "the body is too large")),
        other => Some(RpcResponse::error(400, &other.to_string())),
    }
}
