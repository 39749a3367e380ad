//! One task for each client connection: it reads requests, one at a time, has each admitted and routed, and writes the
//! answer.
//!
//! While a request is being answered, the next one is read ahead, so that a client that closes its connection is noticed.

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

/// How long an idle connection stays open while the process shuts down, for a request that crosses with its end.
const DRAIN_IDLE_TIMEOUT: Duration = Duration::from_millis(200);
/// How long, and how much of, what a client still sends is read after its request was rejected, so that a reset does not
/// overtake the answer. What is too large to be accepted is too expensive to be read.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);
const MAX_DISCARDED_BYTES: usize = 256 * 1024;

/// The state of a client connection's task.
pub(crate) struct ClientConnection {
    framed: Framed<TcpStream, ServerCodec>,
    guard: SocketGuard,
    /// Bytes of the request or answer in hand, alongside those in the connection's buffers.
    message_bytes: usize,
    /// When the first request must be complete; none once it was.
    first_request_deadline: Option<Instant>,
    shared: Rc<Shared>,
}

/// What was read, and when.
struct ReadResult {
    /// None where the client has closed the connection.
    request: Option<Result<Request, ReadError>>,
    at: Ticks,
    /// Present where a whole request was read: it stays open until its answer is written.
    open: Option<OpenRequest>,
}

impl ReadResult {
    /// What was read now.
    fn new(request: Option<Result<Request, ReadError>>, shared: &Shared) -> ReadResult {
        let at = shared.clock.now();
        let open = matches!(request, Some(Ok(_))).then(|| shared.open_requests.open(at));
        ReadResult { request, at, open }
    }

    fn is_connection_lost(&self) -> bool {
        matches!(self.request, None | Some(Err(ReadError::Io(_) | ReadError::UnexpectedEof)))
    }
}

/// How the wait for a request ended.
enum FirstByte {
    /// Something was read completely.
    Complete(ReadResult),
    /// A request has begun.
    Began,
    /// The connection is to be closed.
    Closed,
}

/// What becomes of a request that was read.
enum Checked {
    Health,
    Refused(FinalAnswer),
    Admitted(Arrival, OpenId),
}

impl ClientConnection {
    pub(crate) fn new(stream: TcpStream, guard: SocketGuard, shared: Rc<Shared>) -> ClientConnection {
        // Answers are written in one piece; waiting to fill a segment only delays them.
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
                Some(Err(error)) => return self.reject_unread(error).await,
                Some(Ok(request)) => request,
            };
            self.first_request_deadline = None;
            if !self.handle_request(request, read.at, read.open, &mut read_ahead).await {
                return;
            }
            self.release_write_buffer();
        }
    }

    /// Answers one request; returns whether the connection stays open.
    async fn handle_request(
        &mut self,
        request: Request,
        at: Ticks,
        open: Option<OpenRequest>,
        read_ahead: &mut Option<ReadResult>,
    ) -> bool {
        let close = request.closes_connection();
        let txn = self.shared.next_txn();
        match self.check(&request, at, txn) {
            Checked::Health => {
                let close = close || self.closes_for_drain(read_ahead);
                write_plain(&mut self.framed, 200, "ok\n", close).await && !close
            }
            Checked::Refused(answer) => {
                self.shared.resources.count(Counter::RequestsRejected);
                let close = close || self.closes_for_drain(read_ahead);
                self.write_answer(&answer, close).await
            }
            Checked::Admitted(arrival, open_id) => {
                self.shared.resources.count(Counter::RequestsAdmitted);
                let Some(answer) = self.route(request, arrival, open_id, read_ahead).await else {
                    return false;
                };
                open.iter().for_each(OpenRequest::begin_answer);
                self.message_bytes = answer.memory_bytes();
                let close = close || self.closes_for_drain(read_ahead);
                self.write_answer(&answer, close).await
            }
        }
    }

    /// Whether the connection ends with the next answer because the process shuts down. A request that has arrived already is
    /// read first: it is answered before the connection ends.
    fn closes_for_drain(&mut self, read_ahead: &mut Option<ReadResult>) -> bool {
        if !self.shared.resources.is_draining() {
            return false;
        }
        if read_ahead.is_none() {
            // Cancel safe: what was read of an incomplete request stays in the codec.
            *read_ahead = self.read().now_or_never();
        }
        read_ahead.is_none()
    }

    fn check(&self, request: &Request, at: Ticks, txn: TxnId) -> Checked {
        let dialect = &self.shared.dialect;
        let arrival = match dialect.admit(request, at, txn) {
            Admission::Health => return Checked::Health,
            Admission::Reject { status, reason } => {
                return Checked::Refused(FinalAnswer::Rejected { status, reason });
            }
            Admission::RetryAfter(retry_after) => return Checked::Refused(FinalAnswer::Busy { retry_after }),
            Admission::Txn(arrival) => arrival,
        };
        match dialect.request_id(request).and_then(|id| self.shared.open_ids.try_open(id)) {
            Some(open_id) => Checked::Admitted(arrival, open_id),
            None => {
                let reason = "a request with this id is open";
                Checked::Refused(FinalAnswer::Rejected { status: 409, reason })
            }
        }
    }

    /// Hands a request to the router and waits for its answer; none where the client has left.
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

    /// Waits for the answer or for the client to leave, whichever comes first.
    async fn wait_for_answer(
        &mut self,
        txn: TxnId,
        mut answered: oneshot::Receiver<FinalAnswer>,
        read_ahead: &mut Option<ReadResult>,
    ) -> Option<FinalAnswer> {
        loop {
            // Cancel safe: what was read of a request stays in the codec.
            tokio::select! {
                biased;
                answer = &mut answered => {
                    // The router must not drop a request that has no answer yet.
                    self.shared.resources.check(answer.is_ok(), Invariant::AnsweredOnce);
                    return Some(answer.unwrap_or(FinalAnswer::OutcomeUnknown));
                }
                read = self.read(), if read_ahead.is_none() => {
                    if read.is_connection_lost() {
                        self.shared.notify_router(RouterMessage::ClientLeft(txn));
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

    /// Frees the write buffer after a large message: it retains the capacity that it has grown to, and a client may stay
    /// for hours.
    fn release_write_buffer(&mut self) {
        if self.message_bytes > SMALL_BUFFER_BYTES {
            *self.framed.write_buffer_mut() = BytesMut::new();
        }
        self.message_bytes = 0;
    }

    /// Reads on and accounts for the buffers; an incomplete request is dropped when memory is short.
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

    /// Waits until something was read completely or a request has begun.
    async fn read_first_byte(&mut self) -> FirstByte {
        poll_fn(|cx| match self.poll_read(cx) {
            Poll::Ready(read) => Poll::Ready(FirstByte::Complete(read)),
            // What the codec holds has left the connection's buffer.
            Poll::Pending
                if self.framed.read_buffer().is_empty() && self.framed.codec().buffered_bytes() == 0 =>
            {
                Poll::Pending
            }
            Poll::Pending => Poll::Ready(FirstByte::Began),
        })
        .await
    }

    /// The next request, unless the connection is closed while idle.
    async fn next_request(&mut self) -> Option<ReadResult> {
        let shared = Rc::clone(&self.shared);
        let options = shared.dialect.forwarding_options();
        match self.wait_for_first_byte(&shared, &options).await {
            FirstByte::Complete(read) => return Some(read),
            FirstByte::Began => {}
            FirstByte::Closed => return None,
        }
        let deadline = self.first_request_deadline.unwrap_or(Instant::now() + options.request_timeout);
        match timeout_at(deadline, self.read()).await {
            Ok(read) => Some(read),
            Err(_) if shared.resources.is_draining() => None,
            Err(_) => Some(ReadResult::new(Some(Err(ReadError::TimedOut)), &shared)),
        }
    }

    async fn wait_for_first_byte(&mut self, shared: &Shared, options: &ForwardingOptions) -> FirstByte {
        let resources = &shared.resources;
        loop {
            let _idle = resources.idle_client();
            // While draining, a connection that the system has accepted may still carry a request that was not read yet.
            let draining = resources.is_draining();
            let deadline = if draining {
                Instant::now() + DRAIN_IDLE_TIMEOUT
            } else {
                self.first_request_deadline.unwrap_or(Instant::now() + options.idle_timeout)
            };
            // Cancel safe: what was read stays in the codec. Before draining, a woken connection either closes or, where
            // draining has just begun, waits again with the shorter timeout.
            tokio::select! {
                biased;
                first_byte = self.read_first_byte() => return first_byte,
                () = resources.close_idle_client.notified(), if !draining => {
                    if !resources.is_draining() {
                        resources.count(Counter::ClientsShed);
                        return FirstByte::Closed;
                    }
                }
                () = sleep_until(deadline) => {
                    resources.count(Counter::ClientsClosedIdle);
                    return FirstByte::Closed;
                }
            }
        }
    }

    /// Answers a request that cannot be read, and ends the connection.
    async fn reject_unread(mut self, error: ReadError) {
        self.shared.resources.count(Counter::RequestsRejected);
        let status = match error {
            ReadError::HeadTooLarge => 431,
            ReadError::BodyTooLarge => 413,
            ReadError::TimedOut => 408,
            // Nothing of it was forwarded.
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

/// Reads and drops what the client still sends, up to [`MAX_DISCARDED_BYTES`].
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
