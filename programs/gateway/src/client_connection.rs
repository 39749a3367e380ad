//! The task of a client connection. It reads one request at a time, checks its admission, passes it to the router and
//! writes the answer.
//!
//! While a request is in flight, the task reads ahead the next one, which also detects that the client disconnects.

use crate::answer::{FinalAnswer, write_answer, write_plain};
use crate::counters::{Counter, Invariant};
use crate::dialect::{Admission, ForwardingOptions};
use crate::messages::{NewRequest, RouterMessage};
use crate::open_ids::OpenId;
use crate::open_requests::OpenRequest;
use crate::resources::{SMALL_BUFFER_BYTES, SocketGuard};
use crate::shared::Shared;
use bytes::BytesMut;
use futures_util::{FutureExt, StreamExt};
use std::future::poll_fn;
use std::io::ErrorKind;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep_until, timeout, timeout_at};
use tokio_util::codec::Framed;
use vanewharf_http1::{ReadError, Request, ServerCodec};
use vanewharf_policy::interface::{Arrival, Ticks, TxnId};

/// How long an idle connection stays open during shutdown, for a request that is already on its way.
const DRAIN_IDLE_TIMEOUT: Duration = Duration::from_millis(200);
/// After an unreadable request was rejected, the client's further bytes are discarded for this long and up to
/// [`MAX_DISCARDED_BYTES`]: closing with unread bytes would send a reset, which may overtake the answer. The size is
/// bounded, as a request that is too large to accept is too expensive to read.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);
const MAX_DISCARDED_BYTES: usize = 256 * 1024;

/// The state of a client connection's task.
pub(crate) struct ClientConnection {
    framed: Framed<TcpStream, ServerCodec>,
    guard: SocketGuard,
    /// Size of the request or answer being handled, besides the connection's buffers.
    message_bytes: usize,
    /// When the first request must be complete; `None` once it was.
    first_request_deadline: Option<Instant>,
    shared: Rc<Shared>,
}

/// The result of reading one request.
struct ReadResult {
    /// `None` if the client closed the connection.
    request: Option<Result<Request, ReadError>>,
    read_at: Ticks,
    /// Present if a complete request was read; it counts as open until its answer is written.
    open_request: Option<OpenRequest>,
}

impl ReadResult {
    /// A result read at the current time.
    fn new(request: Option<Result<Request, ReadError>>, shared: &Shared) -> ReadResult {
        let read_at = shared.clock.now();
        let open_request = matches!(request, Some(Ok(_))).then(|| shared.open_requests.open(read_at));
        ReadResult { request, read_at, open_request }
    }

    fn is_connection_lost(&self) -> bool {
        matches!(self.request, None | Some(Err(ReadError::Io(_) | ReadError::UnexpectedEof)))
    }
}

/// How the wait for the start of a request ended.
enum RequestStart {
    /// A request was read completely, or reading failed.
    Complete(ReadResult),
    /// A part of a request was read.
    Partial,
    /// The connection must be closed.
    Closed,
}

/// The result of checking whether a request is admitted.
enum CheckedRequest {
    HealthCheck,
    Rejected(FinalAnswer),
    Admitted(Arrival, OpenId),
}

impl ClientConnection {
    pub(crate) fn new(stream: TcpStream, guard: SocketGuard, shared: Rc<Shared>) -> ClientConnection {
        // Each answer is written at once, so that waiting to fill a segment would only delay it.
        let _ = stream.set_nodelay(true);
        let request_timeout = shared.dialect.forwarding_options().request_timeout;
        ClientConnection {
            framed: Framed::new(stream, ServerCodec::default()),
            guard,
            message_bytes: 0,
            first_request_deadline: Some(Instant::now() + request_timeout),
            shared,
        }
    }

    /// Serves the connection until it ends.
    pub(crate) async fn run(mut self) {
        let mut read_ahead: Option<ReadResult> = None;
        loop {
            let read = match read_ahead.take() {
                Some(read) => read,
                None => match self.next_request().await {
                    Some(read) => read,
                    None => return,
                },
            };
            let request = match read.request {
                None | Some(Err(ReadError::Io(_) | ReadError::UnexpectedEof)) => return,
                Some(Err(error)) => return self.reject_unreadable(error).await,
                Some(Ok(request)) => request,
            };
            self.first_request_deadline = None;
            if !self.handle_request(request, read.read_at, read.open_request, &mut read_ahead).await {
                return;
            }
            self.release_write_buffer();
        }
    }

    /// Answers one request; returns whether the connection stays open.
    async fn handle_request(
        &mut self,
        request: Request,
        read_at: Ticks,
        open_request: Option<OpenRequest>,
        read_ahead: &mut Option<ReadResult>,
    ) -> bool {
        let close = request.closes_connection();
        let txn = self.shared.next_txn();
        match self.check(&request, read_at, txn) {
            CheckedRequest::HealthCheck => {
                let close = close || self.closes_for_drain(read_ahead);
                write_plain(&mut self.framed, 200, "ok\n", close).await && !close
            }
            CheckedRequest::Rejected(answer) => {
                self.shared.resources.count(Counter::RequestsRejected);
                let close = close || self.closes_for_drain(read_ahead);
                self.write_answer(&answer, close).await
            }
            CheckedRequest::Admitted(arrival, open_id) => {
                self.shared.resources.count(Counter::RequestsAdmitted);
                let Some(answer) = self.route(request, arrival, open_id, read_ahead).await else {
                    return false;
                };
                open_request.iter().for_each(OpenRequest::begin_answer);
                self.message_bytes = answer.memory_bytes();
                let close = close || self.closes_for_drain(read_ahead);
                self.write_answer(&answer, close).await
            }
        }
    }

    /// Whether the connection closes after the next answer because the process is shutting down. A request that has
    /// already arrived is read first and answered before the connection closes.
    fn closes_for_drain(&mut self, read_ahead: &mut Option<ReadResult>) -> bool {
        if !self.shared.resources.is_draining() {
            return false;
        }
        if read_ahead.is_none() {
            // Cancel safe: the bytes of an incomplete request stay in the codec.
            *read_ahead = self.read().now_or_never();
        }
        read_ahead.is_none()
    }

    fn check(&self, request: &Request, read_at: Ticks, txn: TxnId) -> CheckedRequest {
        let dialect = &self.shared.dialect;
        let arrival = match dialect.admit(request, read_at, txn) {
            Admission::Health => return CheckedRequest::HealthCheck,
            Admission::Reject { status, reason } => {
                return CheckedRequest::Rejected(FinalAnswer::Rejected { status, reason });
            }
            Admission::RetryAfter(retry_after) => {
                return CheckedRequest::Rejected(FinalAnswer::Busy { retry_after });
            }
            Admission::Route(arrival) => arrival,
        };
        match dialect.request_id(request).and_then(|id| self.shared.open_ids.try_open(id)) {
            Some(open_id) => CheckedRequest::Admitted(arrival, open_id),
            None => {
                let reason = "a request with this id is open";
                CheckedRequest::Rejected(FinalAnswer::Rejected { status: 409, reason })
            }
        }
    }

    /// Passes a request to the router and waits for its answer; returns `None` if the client disconnects.
    async fn route(
        &mut self,
        request: Request,
        arrival: Arrival,
        open_id: OpenId,
        read_ahead: &mut Option<ReadResult>,
    ) -> Option<FinalAnswer> {
        let txn = arrival.txn;
        let (answer, answered) = oneshot::channel();
        self.message_bytes = request.memory_bytes();
        let new_request = NewRequest { arrival, request: Rc::new(request), open_id, answer };
        self.shared.notify_router(RouterMessage::NewRequest(new_request));
        self.wait_for_answer(txn, answered, read_ahead).await
    }

    /// Waits for the answer; returns `None` if the client disconnects first.
    async fn wait_for_answer(
        &mut self,
        txn: TxnId,
        mut answered: oneshot::Receiver<FinalAnswer>,
        read_ahead: &mut Option<ReadResult>,
    ) -> Option<FinalAnswer> {
        loop {
            // Cancel safe: the bytes of an incomplete request stay in the codec.
            tokio::select! {
                biased;
                answer = &mut answered => {
                    // An error means that the router dropped a request without answering it.
                    self.shared.resources.check(answer.is_ok(), Invariant::AnsweredOnce);
                    return Some(answer.unwrap_or(FinalAnswer::OutcomeUnknown));
                }
                read = self.read(), if read_ahead.is_none() => {
                    if read.is_connection_lost() {
                        self.shared.notify_router(RouterMessage::ClientDisconnected(txn));
                        return None;
                    }
                    *read_ahead = Some(read);
                }
            }
        }
    }

    /// Writes an answer; returns whether the connection stays open.
    async fn write_answer(&mut self, answer: &FinalAnswer, close: bool) -> bool {
        let options = self.shared.dialect.forwarding_options();
        write_answer(&mut self.framed, answer, close, &options).await && !close
    }

    /// Frees the write buffer after a large message. The buffer never shrinks by itself, and a client may stay
    /// connected for hours.
    fn release_write_buffer(&mut self) {
        if self.message_bytes > SMALL_BUFFER_BYTES {
            *self.framed.write_buffer_mut() = BytesMut::new();
        }
        self.message_bytes = 0;
    }

    /// Polls for the next request and updates the memory accounting; fails an incomplete request when memory is short.
    fn poll_read(&mut self, cx: &mut Context<'_>) -> Poll<ReadResult> {
        let ClientConnection { framed, guard, message_bytes, shared, .. } = self;
        let read = framed.poll_next_unpin(cx);
        let unread_bytes = framed.read_buffer().capacity() + framed.codec().buffered_bytes();
        guard.set_buffer_bytes(*message_bytes + unread_bytes + framed.write_buffer().capacity());
        if read.is_pending() && unread_bytes > SMALL_BUFFER_BYTES && shared.resources.is_memory_short() {
            let request = Some(Err(ReadError::OutOfMemory));
            return Poll::Ready(ReadResult::new(request, shared));
        }
        read.map(|request| ReadResult::new(request, shared))
    }

    async fn read(&mut self) -> ReadResult {
        poll_fn(|cx| self.poll_read(cx)).await
    }

    /// Waits until a request was read, completely or in part, or reading failed.
    async fn read_request_start(&mut self) -> RequestStart {
        poll_fn(|cx| match self.poll_read(cx) {
            Poll::Ready(read) => Poll::Ready(RequestStart::Complete(read)),
            // The codec may hold bytes that it has already taken from the read buffer.
            Poll::Pending
                if self.framed.read_buffer().is_empty() && self.framed.codec().buffered_bytes() == 0 =>
            {
                Poll::Pending
            }
            Poll::Pending => Poll::Ready(RequestStart::Partial),
        })
        .await
    }

    /// Reads the next request; returns `None` if the connection is to be closed.
    async fn next_request(&mut self) -> Option<ReadResult> {
        let shared = Rc::clone(&self.shared);
        let options = shared.dialect.forwarding_options();
        match self.wait_for_request_start(&shared, &options).await {
            RequestStart::Complete(read) => return Some(read),
            RequestStart::Partial => {}
            RequestStart::Closed => return None,
        }
        let deadline = self.first_request_deadline.unwrap_or(Instant::now() + options.request_timeout);
        match timeout_at(deadline, self.read()).await {
            Ok(read) => Some(read),
            Err(_) if shared.resources.is_draining() => None,
            Err(_) => Some(ReadResult::new(Some(Err(ReadError::TimedOut)), &shared)),
        }
    }

    async fn wait_for_request_start(&mut self, shared: &Shared, options: &ForwardingOptions) -> RequestStart {
        let resources = &shared.resources;
        loop {
            let _idle = resources.track_idle_client();
            // While draining, an accepted connection may still hold a request that was not read yet.
            let draining = resources.is_draining();
            let deadline = if draining {
                Instant::now() + DRAIN_IDLE_TIMEOUT
            } else {
                self.first_request_deadline.unwrap_or(Instant::now() + options.idle_timeout)
            };
            // Cancel safe: the bytes that were read stay in the codec. A notified connection closes, except if draining
            // has just begun: it then waits again, with the shorter timeout.
            tokio::select! {
                biased;
                start = self.read_request_start() => return start,
                () = resources.close_idle_client.notified(), if !draining => {
                    if !resources.is_draining() {
                        resources.count(Counter::ClientsShed);
                        return RequestStart::Closed;
                    }
                }
                () = sleep_until(deadline) => {
                    resources.count(Counter::ClientsClosedIdle);
                    return RequestStart::Closed;
                }
            }
        }
    }

    /// Answers a request that could not be read, and closes the connection.
    async fn reject_unreadable(mut self, error: ReadError) {
        self.shared.resources.count(Counter::RequestsRejected);
        let status = match error {
            ReadError::HeadTooLarge => 431,
            ReadError::BodyTooLarge => 413,
            ReadError::TimedOut => 408,
            // The request was not forwarded, so the client may retry.
            ReadError::OutOfMemory => 503,
            _ => 400,
        };
        if !write_plain(&mut self.framed, status, &format!("{error}\n"), true).await {
            return;
        }
        let mut stream = self.framed.into_inner();
        self.guard.set_buffer_bytes(0);
        let _ = stream.shutdown().await;
        let _ = timeout(DISCARD_TIMEOUT, discard(&stream)).await;
    }
}

/// Reads and discards the client's further bytes, up to [`MAX_DISCARDED_BYTES`].
async fn discard(stream: &TcpStream) {
    let (mut buffer, mut discarded) = ([0; 4096], 0);
    while discarded < MAX_DISCARDED_BYTES && stream.readable().await.is_ok() {
        match stream.try_read(&mut buffer) {
            Ok(0) => return,
            Ok(read) => discarded += read,
            Err(error) if error.kind() != ErrorKind::WouldBlock => return,
            Err(_) => {}
        }
    }
}
