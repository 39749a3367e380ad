//! Send: one task for each connection to a backend. It carries one submission at a time and says how
//! each ended, by what can be proved of it.

use crate::admit::TIME_LEFT;
use crate::book::{Count, Entry, SMALL};
use crate::clock::span;
use crate::note::{CalledOff, Ended, Idle, Job, Note};
use crate::shared::Shared;
use bytes::BytesMut;
use futures_util::{SinkExt, StreamExt};
use socket2::SockRef;
use std::future::poll_fn;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::oneshot;
use tokio_util::codec::Framed;
use vanewharf::interface::Outcome;
use vanewharf_frames::{Fault, Outward, PassedOn, Reply};

impl CalledOff {
    /// What is known of a submission that nothing came back for.
    fn outcome(self, written: bool) -> Outcome {
        match self {
            CalledOff::TimedOut if written => Outcome::TimedOut,
            CalledOff::TimedOut => Outcome::NoConnection,
            CalledOff::Cancelled => Outcome::Cancelled,
        }
    }
}

struct Connection {
    framed: Framed<TcpStream, Outward>,
    entry: Entry,
}

/// What became of one submission on one connection.
enum Carried {
    Answered(Reply),
    /// It broke before the last byte was written.
    Unwritten,
    /// It ended after that, with nothing said.
    Silently,
    Ended(Outcome),
}

impl Connection {
    async fn carry(&mut self, job: &mut Job, shared: &Shared) -> Carried {
        let left = (job.until - shared.clock.now()).0.max(0) / 10;
        let left = left.to_string();
        let passed = PassedOn { request: &job.request, anew: &[(TIME_LEFT, &left)] };
        let sent = tokio::select! {
            biased;
            sent = self.framed.send(passed) => sent.is_ok(),
            why = &mut job.called_off => {
                let written = self.framed.write_buffer().is_empty();
                return Carried::Ended(why.unwrap_or(CalledOff::Cancelled).outcome(written));
            }
        };
        if !sent {
            let written = self.framed.write_buffer().is_empty();
            return if written { Carried::Silently } else { Carried::Unwritten };
        }
        let Connection { framed, entry } = self;
        let replied = poll_fn(|cx| {
            let reply = framed.poll_next_unpin(cx);
            entry.weigh(framed.read_buffer().capacity() + framed.codec().held());
            reply
        });
        tokio::select! {
            biased;
            reply = replied => match reply {
                Some(Ok(reply)) => Carried::Answered(reply),
                None | Some(Err(Fault::Io(_))) => Carried::Silently,
                Some(Err(_)) => Carried::Ended(Outcome::Broken),
            },
            why = &mut job.called_off =>
                Carried::Ended(why.unwrap_or(CalledOff::Cancelled).outcome(true)),
        }
    }

    /// Whether nothing has come since the last answer. Asked of the system, as the runtime hears a turn later: a
    /// submission written after an end would count as one that may have run, and after bytes that belong to none
    /// it would be given them for its answer.
    fn quiet(&self) -> bool {
        let came = SockRef::from(self.framed.get_ref()).peek(&mut [MaybeUninit::uninit()]);
        self.framed.read_buffer().is_empty()
            && came.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock)
    }

    /// The next submission, unless the other side ends the connection first.
    async fn idle(&mut self, next: &mut oneshot::Receiver<Job>) -> Result<Job, Option<Job>> {
        tokio::select! {
            biased;
            // Nothing may come unasked: whatever it is, the connection is of no more use.
            _ = self.framed.next() => {
                next.close();
                Err(next.try_recv().ok())
            }
            job = &mut *next => match job {
                Ok(job) if self.quiet() => Ok(job),
                job => Err(job.ok()),
            },
        }
    }
}

fn outcome(reply: &Reply) -> Outcome {
    match reply.status() {
        200 => Outcome::Settled,
        503 | 504 if reply.field("X-Unprocessed") == Some("1") => Outcome::TurnedAway,
        _ => Outcome::Error,
    }
}

/// Where it fails, whether for want of a socket here: that tells nothing of the backend.
async fn dial(address: SocketAddr, shared: &Shared) -> Result<Connection, Outcome> {
    let book = &shared.book;
    if !book.may_dial() {
        book.count(Count::BackendsUndialled);
        return Err(Outcome::Moot);
    }
    let entry = Entry::of(book, false);
    book.count(Count::BackendsDialled);
    // A refusal comes of the socket's own making only when the system has none to give.
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() };
    let connecting = socket.map_err(|_| Outcome::Moot)?.connect(address);
    let connected = if shared.lines.dial.0 > 0 {
        let in_time = tokio::time::timeout(span(shared.lines.dial), connecting).await;
        in_time.map_err(|_| Outcome::NoConnection)?
    } else {
        connecting.await
    };
    let stream = connected.map_err(|_| Outcome::NoConnection)?;
    let _ = stream.set_nodelay(true);
    Ok(Connection { framed: Framed::new(stream, Outward::default()), entry })
}

/// Opens a connection for a submission and carries on with others that route gives it.
pub async fn run(mut job: Job, address: SocketAddr, shared: Rc<Shared>) {
    let mut kept: Option<Connection> = None;
    let mut answered = None;
    loop {
        let (txn, no) = (job.txn, job.no);
        let of = |outcome| Ended::of(txn, no, outcome);
        let fresh = kept.is_none();
        let idle = answered.take().map(|at| shared.clock.now() - at).filter(|_| !fresh);
        let mut connection = match kept.take() {
            Some(connection) => connection,
            None => {
                let dialled = tokio::select! {
                    biased;
                    why = &mut job.called_off => Err(why.unwrap_or(CalledOff::Cancelled)),
                    dialled = dial(address, &shared) => Ok(dialled),
                };
                match dialled {
                    Ok(Ok(connection)) => connection,
                    Ok(Err(outcome)) => return end(of(outcome), &shared),
                    Err(why) => return end(of(why.outcome(false)), &shared),
                }
            }
        };
        let reply = match connection.carry(&mut job, &shared).await {
            Carried::Answered(reply) => reply,
            Carried::Unwritten if !fresh => {
                // A connection that went stale unseen; nothing has run, so a new one takes the same.
                shared.book.count(Count::BackendsStale);
                continue;
            }
            Carried::Unwritten => return end(of(Outcome::NoConnection), &shared),
            Carried::Silently => return end(Ended { broke: idle, ..of(Outcome::Broken) }, &shared),
            Carried::Ended(outcome) => return end(of(outcome), &shared),
        };
        let outcome = outcome(&reply);
        if job.request.bytes() > SMALL {
            *connection.framed.write_buffer_mut() = BytesMut::new();
        }
        if reply.last() || !connection.framed.read_buffer().is_empty() {
            return end(Ended { reply: Some(reply), ..of(outcome) }, &shared);
        }
        let (next, mut jobs) = oneshot::channel();
        let since = shared.clock.now();
        answered = Some(since);
        let idle = Some(Idle { next, since });
        end(Ended { reply: Some(reply), idle, ..of(outcome) }, &shared);
        match connection.idle(&mut jobs).await {
            Ok(next) => {
                job = next;
                kept = Some(connection);
            }
            Err(Some(next)) => {
                shared.book.count(Count::BackendsStale);
                job = next;
            }
            Err(None) => return,
        }
    }
}

fn end(ended: Ended, shared: &Shared) {
    let Ended { txn, no, outcome, ref idle, .. } = ended;
    tracing::debug!(txn = txn.0, no = no.0, ?outcome, kept = idle.is_some(), "submission ended");
    shared.tell(Note::Ended(ended));
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::book::{Book, Room};
    use std::io::Write;
    use std::net::TcpListener;

    #[tokio::test]
    async fn what_came_unasked_is_seen_before_the_runtime_hears_of_it() {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let book = Rc::new(Book::new(Room::within(64, 64)));
        for ends in [false, true] {
            let address = listener.local_addr().expect("an address");
            let stream = TcpStream::connect(address).await.expect("it listens");
            let (mut other, _) = listener.accept().expect("it was connected");
            let entry = Entry::of(&book, false);
            let connection = Connection { framed: Framed::new(stream, Outward::default()), entry };
            assert!(connection.quiet());
            if ends {
                drop(other);
            } else {
                other.write_all(b"H").expect("it is connected");
            }
            assert!(!connection.quiet());
        }
    }
}
