//! Take in: accepts clients and reads their requests, one at a time on a connection.

use crate::answer::{FinalAnswer, write_answer, write_plain};
use crate::counters::{Counter, Invariant};
use crate::dialect::Admission;
use crate::messages::{NewRequest, RouterMessage};
use crate::resources::{SMALL_BUFFER_BYTES, SocketGuard, SocketKind};
use crate::shared::Shared;
use bytes::BytesMut;
use futures_util::StreamExt;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, oneshot};
use tokio::time::{Instant, sleep_until, timeout_at};
use tokio_util::codec::Framed;
use vanewharf_http1::{ReadError, Request, ServerCodec};
use vanewharf_policy::interface::{Ticks, TxnId};

/// How long at most a freed descriptor is waited for before accepting is tried again.
const PAUSE: Duration = Duration::from_millis(50);
/// How long a request may take that crosses the end of its connection.
const CROSSING: Duration = Duration::from_millis(200);
/// How long, and how much of, what a client still sends is read after its connection was given up, so
/// that a reset does not overtake the answer. What is too large to be taken is too dear to be read.
const LINGER: Duration = Duration::from_millis(500);
const MOST_WASTE: usize = 256 * 1024;

/// Accepts until told to stop; then takes what the system has accepted already.
pub async fn accept(listener: TcpListener, shared: Rc<Shared>, stop: Rc<Notify>) {
    let resources = &shared.resources;
    let mut failing = false;
    loop {
        if resources.is_crowded() {
            shed(&shared);
        }
        if resources.is_full() {
            tokio::select! {
                _ = tokio::time::timeout(PAUSE, resources.socket_closed.notified()) => continue,
                () = stop.notified() => break,
            }
        }
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            () = stop.notified() => break,
        };
        match accepted {
            Ok((stream, _)) => {
                failing = false;
                serve(stream, &shared);
            }
            Err(error) => {
                resources.count(Counter::AcceptFailed);
                if !std::mem::replace(&mut failing, true) {
                    tracing::warn!(%error, "no client accepted");
                }
                shed(&shared);
                let _ = tokio::time::timeout(PAUSE, resources.socket_closed.notified()).await;
            }
        }
    }
    // The system's queue holds clients whose requests count as taken.
    let Ok(listener) = listener.into_std() else {
        return;
    };
    while let Ok((stream, _)) = listener.accept() {
        match stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream)) {
            Ok(stream) => serve(stream, &shared),
            Err(error) => tracing::warn!(%error, "an accepted client is lost"),
        }
    }
}

/// Clients first: a connection to a backend is used by all of them, and dear to open.
fn shed(shared: &Shared) {
    if !shared.resources.close_longest_idle_client() {
        shared.notify_router(RouterMessage::CloseIdleConnection);
    }
}

fn serve(stream: TcpStream, shared: &Rc<Shared>) {
    shared.resources.count(Counter::ClientsAccepted);
    let entry = SocketGuard::new(&shared.resources, SocketKind::Client);
    tokio::task::spawn_local(Client::new(stream, entry, Rc::clone(shared)).run());
}

struct Client {
    framed: Framed<TcpStream, ServerCodec>,
    entry: SocketGuard,
    /// Bytes of the txn in hand, beside those in the connection's buffers.
    carried: usize,
    /// When the first request must be whole; nothing once it was.
    first_by: Option<Instant>,
    shared: Rc<Shared>,
}

/// What came of reading, and when.
type Read = (Option<Result<Request, ReadError>>, Ticks);

impl Client {
    fn new(stream: TcpStream, entry: SocketGuard, shared: Rc<Shared>) -> Client {
        // Answers are written whole; waiting to fill a segment only holds them up.
        let _ = stream.set_nodelay(true);
        let first_by = Some(Instant::now() + shared.dialect.forwarding_options().request_timeout);
        Client { framed: Framed::new(stream, ServerCodec::default()), entry, carried: 0, first_by, shared }
    }

    /// Reads on, keeping the book; what is not whole is given up when the door is out of memory.
    fn poll_read(&mut self, cx: &mut Context<'_>) -> Poll<Read> {
        let Client { framed, entry, carried, shared, .. } = self;
        let read = framed.poll_next_unpin(cx);
        let held = framed.read_buffer().capacity() + framed.codec().buffered_bytes();
        entry.set_buffer_bytes(*carried + held + framed.write_buffer().capacity());
        if read.is_pending() && held > SMALL_BUFFER_BYTES && shared.resources.is_memory_short() {
            return Poll::Ready((Some(Err(ReadError::OutOfMemory)), shared.clock.now()));
        }
        read.map(|read| (read, shared.clock.now()))
    }

    async fn read(&mut self) -> Read {
        poll_fn(|cx| self.poll_read(cx)).await
    }

    /// What is read, or nothing as soon as a request has begun.
    async fn begin(&mut self) -> Option<Read> {
        poll_fn(|cx| match self.poll_read(cx) {
            Poll::Ready(read) => Poll::Ready(Some(read)),
            // What a codec holds has left the connection's buffer.
            Poll::Pending
                if self.framed.read_buffer().is_empty() && self.framed.codec().buffered_bytes() == 0 =>
            {
                Poll::Pending
            }
            Poll::Pending => Poll::Ready(None),
        })
        .await
    }

    async fn run(mut self) {
        let mut ahead: Option<Read> = None;
        let forwarding_options = self.shared.dialect.forwarding_options();
        loop {
            let (read, at) = match ahead.take() {
                Some(read) => read,
                None => match self.next().await {
                    Some(read) => read,
                    None => return,
                },
            };
            let request = match read {
                None | Some(Err(ReadError::Io(_) | ReadError::UnexpectedEof)) => return,
                Some(Err(fault)) => return self.turn_back(fault).await,
                Some(Ok(request)) => request,
            };
            self.first_by = None;
            let last = request.closes_connection();
            let txn = self.shared.next_txn();
            let dialect = &self.shared.dialect;
            let admitted = match dialect.admit(&request, at, txn) {
                Admission::Health => Ok(None),
                Admission::Reject { status, reason } => Err(FinalAnswer::Rejected { status, reason }),
                Admission::RetryAfter(retry_after) => Err(FinalAnswer::Busy { retry_after }),
                Admission::Txn(arrival) => {
                    match dialect.request_id(&request).and_then(|id| self.shared.open_ids.try_open(id)) {
                        Some(open) => Ok(Some((arrival, open))),
                        None => Err(FinalAnswer::Rejected {
                            status: 409,
                            reason: "a request with this id is open",
                        }),
                    }
                }
            };
            let goes_on = match admitted {
                Ok(None) => self.say_plain(200, "ok", last).await,
                Err(answer) => {
                    self.shared.resources.count(Counter::RequestsRejected);
                    let last = last || self.shared.resources.is_draining();
                    write_answer(&mut self.framed, &answer, last, &forwarding_options).await && !last
                }
                Ok(Some((arrival, open))) => {
                    self.shared.resources.count(Counter::RequestsAdmitted);
                    let (answer, answered) = oneshot::channel();
                    self.carried = request.memory_bytes();
                    let request = Rc::new(request);
                    self.shared.notify_router(RouterMessage::NewRequest(NewRequest {
                        arrival,
                        request,
                        open_id: open,
                        answer,
                    }));
                    let Some(answer) = self.answer(txn, answered, &mut ahead).await else {
                        return;
                    };
                    self.carried = answer.memory_bytes();
                    // A request read ahead is taken, and is answered before the connection ends.
                    let last = last || self.shared.resources.is_draining() && ahead.is_none();
                    write_answer(&mut self.framed, &answer, last, &forwarding_options).await && !last
                }
            };
            if !goes_on {
                return;
            }
            if self.carried > SMALL_BUFFER_BYTES {
                // An emptied buffer keeps all it has grown to, and a client may stay for hours.
                *self.framed.write_buffer_mut() = BytesMut::new();
            }
            self.carried = 0;
        }
    }

    /// Whether the connection goes on after it.
    async fn say_plain(&mut self, status: u16, body: &str, last: bool) -> bool {
        let last = last || self.shared.resources.is_draining();
        write_plain(&mut self.framed, status, &format!("{body}\n"), last).await && !last
    }

    /// The next request, unless the connection is closed while idle.
    async fn next(&mut self) -> Option<Read> {
        let shared = Rc::clone(&self.shared);
        let (resources, first_by, forwarding_options) =
            (&shared.resources, self.first_by, shared.dialect.forwarding_options());
        loop {
            let _idle = resources.idle_client();
            // At the end, what the system has accepted counts as taken, read or not.
            let ending = resources.is_draining();
            let until = if ending {
                Instant::now() + CROSSING
            } else {
                first_by.unwrap_or(Instant::now() + forwarding_options.idle_timeout)
            };
            tokio::select! {
                biased;
                read = self.begin() => match read {
                    Some(read) => return Some(read),
                    None => break,
                },
                () = resources.close_idle_client.notified(), if !ending => if !resources.is_draining() {
                    resources.count(Counter::ClientsShed);
                    return None;
                },
                () = sleep_until(until) => {
                    resources.count(Counter::ClientsClosedIdle);
                    return None;
                }
            }
        }
        match timeout_at(first_by.unwrap_or(Instant::now() + forwarding_options.request_timeout), self.read())
            .await
        {
            Ok(read) => Some(read),
            Err(_) if resources.is_draining() => None,
            Err(_) => Some((Some(Err(ReadError::TimedOut)), shared.clock.now())),
        }
    }

    /// Waits for the answer and for the client to leave, whichever comes first.
    async fn answer(
        &mut self,
        txn: TxnId,
        mut answered: oneshot::Receiver<FinalAnswer>,
        ahead: &mut Option<Read>,
    ) -> Option<FinalAnswer> {
        loop {
            tokio::select! {
                biased;
                answer = &mut answered => {
                    // Router may not let go of a txn that has no answer yet.
                    self.shared.resources.check(answer.is_ok(), Invariant::AnsweredOnce);
                    return Some(answer.unwrap_or(FinalAnswer::Voided));
                }
                read = self.read(), if ahead.is_none() => match read {
                    (None | Some(Err(ReadError::Io(_) | ReadError::UnexpectedEof)), _) => {
                        self.shared.notify_router(RouterMessage::ClientLeft(txn));
                        return None;
                    }
                    read => *ahead = Some(read),
                },
            }
        }
    }

    async fn turn_back(mut self, fault: ReadError) {
        self.shared.resources.count(Counter::RequestsRejected);
        let status = match fault {
            ReadError::HeadTooLarge => 431,
            ReadError::BodyTooLarge => 413,
            ReadError::TimedOut => 408,
            // Nothing of it was passed on.
            ReadError::OutOfMemory => 503,
            _ => 400,
        };
        if !write_plain(&mut self.framed, status, &format!("{fault}\n"), true).await {
            return;
        }
        let mut stream = self.framed.into_inner();
        self.entry.set_buffer_bytes(0);
        let _ = stream.shutdown().await;
        let discard = async {
            let (mut waste, mut read) = ([0; 4096], 0);
            while read < MOST_WASTE && stream.readable().await.is_ok() {
                match stream.try_read(&mut waste) {
                    Ok(0) => return,
                    Ok(more) => read += more,
                    Err(error) if error.kind() != std::io::ErrorKind::WouldBlock => return,
                    _ => {}
                }
            }
        };
        let _ = tokio::time::timeout(LINGER, discard).await;
    }
}
