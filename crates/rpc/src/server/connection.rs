//! The server's side of one client connection.

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
    /// The pipelined request, or read error, that arrived while the previous request was being handled.
    pipelined: Option<Result<Request, ReadError>>,
    drain: ServerDrain,
}

/// What arrived on an idle connection.
enum ReadProgress {
    /// A complete request or an error arrived, or the connection ended (`None`).
    Complete(Option<Result<Request, ReadError>>),
    /// The first bytes of a request arrived, but not all of it.
    Partial,
}

impl ServerConnection {
    pub(super) fn new(stream: Stream, drain: ServerDrain) -> ServerConnection {
        let framed = Framed::new(stream, ServerCodec::with_max_body(MAX_BODY_BYTES));
        ServerConnection { framed, pipelined: None, drain }
    }

    /// Returns the next request, or the error response to a malformed one. Returns `None` if the connection has ended,
    /// was idle for too long, or is idle while the program shuts down.
    pub(super) async fn read_request(&mut self) -> Option<Result<Request, RpcResponse>> {
        let read = match self.pipelined.take() {
            Some(read) => Some(read),
            None => match timeout(IDLE_TIMEOUT, self.await_request_unless_draining()).await {
                Ok(ReadProgress::Complete(read)) => read,
                Ok(ReadProgress::Partial) => {
                    timeout(REQUEST_TIMEOUT, self.framed.next()).await.unwrap_or(None)
                }
                Err(_) => None,
            },
        };
        match read? {
            Ok(request) => Some(Ok(request)),
            Err(error) => error_response(&error).map(Err),
        }
    }

    async fn await_request_unless_draining(&mut self) -> ReadProgress {
        let drain = self.drain.clone();
        // This is cancel safe: the bytes that were read of a request stay in the codec.
        tokio::select! {
            biased;
            progress = self.await_request() => progress,
            () = drain.wait_for_drain() => ReadProgress::Complete(None),
        }
    }

    async fn await_request(&mut self) -> ReadProgress {
        poll_fn(|cx| match self.framed.poll_next_unpin(cx) {
            Poll::Ready(read) => Poll::Ready(ReadProgress::Complete(read)),
            Poll::Pending if self.is_empty() => Poll::Pending,
            Poll::Pending => Poll::Ready(ReadProgress::Partial),
        })
        .await
    }

    /// Whether no byte of the next request has arrived.
    fn is_empty(&self) -> bool {
        self.framed.read_buffer().is_empty() && self.framed.codec().buffered_bytes() == 0
    }

    /// Dispatches the request and writes its response. Returns whether the connection remains usable.
    pub(super) async fn respond<H, F>(&mut self, request: Request, dispatcher: &Dispatcher<H>) -> bool
    where
        H: Fn(Request) -> F,
        F: Future<Output = RpcResponse>,
    {
        let closes = request.closes_connection();
        let call_id = request.field(CALL_ID).map(str::to_owned);
        let drain = self.drain.clone();
        // An abandoned call may have taken effect, so its response leaves the outcome open. Its future is dropped.
        let response = tokio::select! {
            biased;
            response = self.run_unless_disconnected(dispatcher.dispatch(request)) => response,
            () = drain.wait_for_abort() => Some(RpcResponse::error(503, "the program ends; send it again")),
        };
        // A pipelined request is answered before the connection ends.
        let closes = closes || self.drain.is_draining() && self.pipelined.is_none();
        match response {
            Some(response) => self.write(&response, call_id.as_deref(), closes).await,
            None => false,
        }
    }

    /// Writes the error response to a malformed request and closes the connection. Returns false, as the connection is
    /// not usable any more.
    pub(super) async fn reject(&mut self, response: RpcResponse) -> bool {
        self.write(&response, None, true).await
    }

    /// Runs the handler's future and returns its response, or `None` if the client disconnects before. Nobody waits for
    /// the response then, and the future is dropped at its current await point. The connection is polled first, because
    /// a request that the network has delayed arrives together with the end of its connection.
    async fn run_unless_disconnected(
        &mut self,
        response: impl Future<Output = RpcResponse>,
    ) -> Option<RpcResponse> {
        // Without this, the end would be noticed only after the runtime has polled the operating system again.
        tokio::task::yield_now().await;
        let mut response = pin!(response);
        poll_fn(|cx| {
            if self.pipelined.is_none()
                && let Poll::Ready(read) = self.framed.poll_next_unpin(cx)
            {
                match read {
                    None | Some(Err(ReadError::Io(_) | ReadError::UnexpectedEof)) => {
                        return Poll::Ready(None);
                    }
                    Some(read) => self.pipelined = Some(read),
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

/// Returns the response to a request that cannot be read, or `None` if the connection has ended.
fn error_response(error: &ReadError) -> Option<RpcResponse> {
    match error {
        ReadError::Io(_) | ReadError::UnexpectedEof => None,
        ReadError::HeadTooLarge => Some(RpcResponse::error(431, "the head is too large")),
        ReadError::BodyTooLarge => Some(RpcResponse::error(413, "the body is too large")),
        other => Some(RpcResponse::error(400, &other.to_string())),
    }
}
