//! Take in: accepts clients and reads their requests, one at a time on a connection.

use crate::book::{Count, Entry, Invariant, SMALL};
use crate::gate::Admitted;
use crate::note::{Note, Taken};
use crate::relay::{Final, relay, say};
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
use vanewharf_http1::{Fault, Inward, Request};
use vanewharf_policy::interface::{Tenths, TxnId};

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
    let book = &shared.book;
    let mut failing = false;
    loop {
        if book.crowded() {
            shed(&shared);
        }
        if book.full() {
            tokio::select! {
                _ = tokio::time::timeout(PAUSE, book.freed.notified()) => continue,
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
                book.count(Count::AcceptFailed);
                if !std::mem::replace(&mut failing, true) {
                    tracing::warn!(%error, "no client accepted");
                }
                shed(&shared);
                let _ = tokio::time::timeout(PAUSE, book.freed.notified()).await;
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
    if !shared.book.shed_client() {
        shared.tell(Note::Shed);
    }
}

fn serve(stream: TcpStream, shared: &Rc<Shared>) {
    shared.book.count(Count::ClientsAccepted);
    let entry = Entry::of(&shared.book, true);
    tokio::task::spawn_local(Client::new(stream, entry, Rc::clone(shared)).run());
}

struct Client {
    framed: Framed<TcpStream, Inward>,
    entry: Entry,
    /// Bytes of the txn in hand, beside those in the connection's buffers.
    carried: usize,
    /// When the first request must be whole; nothing once it was.
    first_by: Option<Instant>,
    shared: Rc<Shared>,
}

/// What came of reading, and when.
type Read = (Option<Result<Request, Fault>>, Tenths);

impl Client {
    fn new(stream: TcpStream, entry: Entry, shared: Rc<Shared>) -> Client {
        // Answers are written whole; waiting to fill a segment only holds them up.
        let _ = stream.set_nodelay(true);
        let first_by = Some(Instant::now() + shared.gate.speech().whole);
        Client { framed: Framed::new(stream, Inward::default()), entry, carried: 0, first_by, shared }
    }

    /// Reads on, keeping the book; what is not whole is given up when the door is out of memory.
    fn poll_read(&mut self, cx: &mut Context<'_>) -> Poll<Read> {
        let Client { framed, entry, carried, shared, .. } = self;
        let read = framed.poll_next_unpin(cx);
        let held = framed.read_buffer().capacity() + framed.codec().held();
        entry.weigh(*carried + held + framed.write_buffer().capacity());
        if read.is_pending() && held > SMALL && shared.book.heavy() {
            return Poll::Ready((Some(Err(Fault::NoRoom)), shared.clock.now()));
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
            Poll::Pending if self.framed.read_buffer().is_empty() && self.framed.codec().held() == 0 => {
                Poll::Pending
            }
            Poll::Pending => Poll::Ready(None),
        })
        .await
    }

    async fn run(mut self) {
        let mut ahead: Option<Read> = None;
        let speech = self.shared.gate.speech();
        loop {
            let (read, at) = match ahead.take() {
                Some(read) => read,
                None => match self.next().await {
                    Some(read) => read,
                    None => return,
                },
            };
            let request = match read {
                None | Some(Err(Fault::Io(_) | Fault::Cut)) => return,
                Some(Err(fault)) => return self.turn_back(fault).await,
                Some(Ok(request)) => request,
            };
            self.first_by = None;
            let last = request.last();
            let txn = self.shared.next_txn();
            let gate = &self.shared.gate;
            let admitted = match gate.admit(&request, at, txn) {
                Admitted::Health => Ok(None),
                Admitted::Bad(status, reason) => Err(Final::Bad(status, reason)),
                Admitted::Later(wait) => Err(Final::Busy(Some(wait))),
                Admitted::Txn(arrival) => match gate.id(&request).and_then(|id| self.shared.open.open(id)) {
                    Some(open) => Ok(Some((arrival, open))),
                    None => Err(Final::Bad(409, "a request with this id is open")),
                },
            };
            let goes_on = match admitted {
                Ok(None) => self.say(200, "ok", last).await,
                Err(answer) => {
                    self.shared.book.count(Count::TurnedBack);
                    let last = last || self.shared.book.draining();
                    relay(&mut self.framed, &answer, last, &speech).await && !last
                }
                Ok(Some((arrival, open))) => {
                    self.shared.book.count(Count::Taken);
                    let (answer, answered) = oneshot::channel();
                    self.carried = request.bytes();
                    let request = Rc::new(request);
                    self.shared.tell(Note::Arrived(Taken { arrival, request, open, answer }));
                    let Some(answer) = self.answer(txn, answered, &mut ahead).await else {
                        return;
                    };
                    self.carried = answer.bytes();
                    // A request read ahead is taken, and is answered before the connection ends.
                    let last = last || self.shared.book.draining() && ahead.is_none();
                    relay(&mut self.framed, &answer, last, &speech).await && !last
                }
            };
            if !goes_on {
                return;
            }
            if self.carried > SMALL {
                // An emptied buffer keeps all it has grown to, and a client may stay for hours.
                *self.framed.write_buffer_mut() = BytesMut::new();
            }
            self.carried = 0;
        }
    }

    /// Whether the connection goes on after it.
    async fn say(&mut self, status: u16, body: &str, last: bool) -> bool {
        let last = last || self.shared.book.draining();
        say(&mut self.framed, status, &format!("{body}\n"), last).await && !last
    }

    /// The next request, unless the connection is closed while idle.
    async fn next(&mut self) -> Option<Read> {
        let shared = Rc::clone(&self.shared);
        let (book, first_by, speech) = (&shared.book, self.first_by, shared.gate.speech());
        loop {
            let _idle = book.idle();
            // At the end, what the system has accepted counts as taken, read or not.
            let ending = book.draining();
            let until = if ending {
                Instant::now() + CROSSING
            } else {
                first_by.unwrap_or(Instant::now() + speech.idle)
            };
            tokio::select! {
                biased;
                read = self.begin() => match read {
                    Some(read) => return Some(read),
                    None => break,
                },
                () = book.idle_clients.notified(), if !ending => if !book.draining() {
                    book.count(Count::ClientsShed);
                    return None;
                },
                () = sleep_until(until) => {
                    book.count(Count::ClientsClosedIdle);
                    return None;
                }
            }
        }
        match timeout_at(first_by.unwrap_or(Instant::now() + speech.whole), self.read()).await {
            Ok(read) => Some(read),
            Err(_) if book.draining() => None,
            Err(_) => Some((Some(Err(Fault::Slow)), shared.clock.now())),
        }
    }

    /// Waits for the answer and for the client to leave, whichever comes first.
    async fn answer(
        &mut self,
        txn: TxnId,
        mut answered: oneshot::Receiver<Final>,
        ahead: &mut Option<Read>,
    ) -> Option<Final> {
        loop {
            tokio::select! {
                biased;
                answer = &mut answered => {
                    // Route may not let go of a txn that has no answer yet.
                    self.shared.book.must(answer.is_ok(), Invariant::AnsweredOnce);
                    return Some(answer.unwrap_or(Final::Voided));
                }
                read = self.read(), if ahead.is_none() => match read {
                    (None | Some(Err(Fault::Io(_) | Fault::Cut)), _) => {
                        self.shared.tell(Note::Left(txn));
                        return None;
                    }
                    read => *ahead = Some(read),
                },
            }
        }
    }

    async fn turn_back(mut self, fault: Fault) {
        self.shared.book.count(Count::TurnedBack);
        let status = match fault {
            Fault::HeadTooLarge => 431,
            Fault::BodyTooLarge => 413,
            Fault::Slow => 408,
            // Nothing of it was passed on.
            Fault::NoRoom => 503,
            _ => 400,
        };
        if !say(&mut self.framed, status, &format!("{fault}\n"), true).await {
            return;
        }
        let mut stream = self.framed.into_inner();
        self.entry.weigh(0);
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
