//! Send: one task for each connection to a backend. It carries one submission at a time and says how
//! each ended, by what can be proved of it.

use crate::clock::to_duration;
use crate::counters::Counter;
use crate::dialect::ReplyMatch;
use crate::messages::{Attempt, AttemptResult, IdleConnection, RouterMessage};
use crate::resources::{SMALL_BUFFER_BYTES, SocketGuard, SocketKind};
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
use vanewharf_exchange::line::{CalledOff, Happened, Line, Then};
use vanewharf_http1::{ClientCodec, ForwardedRequest, ReadError, Reply};
use vanewharf_policy::interface::Outcome;

struct Connection {
    framed: Framed<TcpStream, ClientCodec>,
    entry: SocketGuard,
}

/// What happened to a submission on one connection, and the answer if there was one.
struct Carried {
    written: bool,
    what: Happened,
    reply: Option<Reply>,
}

impl Carried {
    fn nothing(written: bool, what: Happened) -> Carried {
        Carried { written, what, reply: None }
    }
}

impl Connection {
    async fn carry(&mut self, job: &mut Attempt, shared: &Shared) -> Carried {
        let left = (job.deadline - shared.clock.now()).0.max(0) / 10;
        let left = left.to_string();
        let forwarding_options = shared.dialect.forwarding_options();
        let told = job.extra_headers.iter().map(|(name, value)| (*name, value.as_str()));
        let anew: Vec<_> =
            std::iter::once((forwarding_options.time_left_header, left.as_str())).chain(told).collect();
        let passed = ForwardedRequest {
            request: &job.request,
            set_headers: &anew,
            removed_headers: forwarding_options.request_headers_removed,
        };
        let sent = tokio::select! {
            biased;
            sent = self.framed.send(passed) => sent.is_ok(),
            why = &mut job.cancelled => {
                let written = self.framed.write_buffer().is_empty();
                return Carried::nothing(written, Happened::CalledOff(why.unwrap_or(CalledOff::Cancelled)));
            }
        };
        if !sent {
            let written = self.framed.write_buffer().is_empty();
            return Carried::nothing(written, Happened::Broke);
        }
        // Answers to other requests are passed over, and after them the connection carries nothing more.
        let mut strayed = false;
        loop {
            let Connection { framed, entry } = self;
            let replied = poll_fn(|cx| {
                let reply = framed.poll_next_unpin(cx);
                entry.set_buffer_bytes(framed.read_buffer().capacity() + framed.codec().buffered_bytes());
                reply
            });
            let read = tokio::select! {
                biased;
                read = replied => read,
                why = &mut job.cancelled => {
                    let why = why.unwrap_or(CalledOff::Cancelled);
                    return Carried::nothing(true, Happened::CalledOff(why));
                }
            };
            let reply = match read {
                Some(Ok(reply)) => reply,
                None | Some(Err(ReadError::Io(_))) => return Carried::nothing(true, Happened::Broke),
                Some(Err(_)) => return Carried::nothing(true, Happened::Garbled),
            };
            match shared.dialect.match_reply(&job.request, &reply) {
                ReplyMatch::Current(outcome) => {
                    let last = strayed || reply.closes_connection() || !self.framed.read_buffer().is_empty();
                    let what = Happened::Answered { outcome, last };
                    return Carried { written: true, what, reply: Some(reply) };
                }
                ReplyMatch::OtherRequest => strayed = true,
                ReplyMatch::Unidentified => return Carried::nothing(true, Happened::Garbled),
            }
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
    async fn idle(&mut self, next: &mut oneshot::Receiver<Attempt>) -> Result<Attempt, Option<Attempt>> {
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

/// Where it fails, whether for want of a socket here: that tells nothing of the backend.
async fn dial(address: SocketAddr, shared: &Shared) -> Result<Connection, Happened> {
    let resources = &shared.resources;
    if !resources.can_dial() {
        resources.count(Counter::BackendsUndialled);
        return Err(Happened::Undialled);
    }
    let entry = SocketGuard::new(resources, SocketKind::Upstream);
    resources.count(Counter::BackendsDialled);
    // A refusal comes of the socket's own making only when the system has none to give.
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() };
    let connecting = socket.map_err(|_| Happened::Undialled)?.connect(address);
    let connected = if shared.timeouts.dial.0 > 0 {
        let in_time = tokio::time::timeout(to_duration(shared.timeouts.dial), connecting).await;
        in_time.map_err(|_| Happened::NotUp)?
    } else {
        connecting.await
    };
    let stream = connected.map_err(|_| Happened::NotUp)?;
    let _ = stream.set_nodelay(true);
    Ok(Connection { framed: Framed::new(stream, ClientCodec::default()), entry })
}

/// Opens a connection for a submission and carries on with others that route gives it. What each thing that
/// happens proves is said by `line`; here it is only brought about.
pub async fn run(mut job: Attempt, address: SocketAddr, shared: Rc<Shared>) {
    let mut kept: Option<Connection> = None;
    let mut answered = None;
    let mut line = Line::begins(false);
    loop {
        let (txn, no) = (job.txn, job.no);
        let of = |outcome| AttemptResult::without_reply(txn, no, outcome);
        let idle = answered.take().map(|at| shared.clock.now() - at).filter(|_| kept.is_some());
        let mut connection = match kept.take() {
            Some(connection) => connection,
            None => {
                let dialled = tokio::select! {
                    biased;
                    why = &mut job.cancelled => Err(Happened::CalledOff(why.unwrap_or(CalledOff::Cancelled))),
                    dialled = dial(address, &shared) => dialled,
                };
                let what = dialled.as_ref().map_or_else(|what| *what, |_| Happened::Up);
                let (next, then) = line.hears(what);
                line = next;
                match (dialled, then) {
                    (Ok(connection), _) => connection,
                    (Err(_), Then::Ends(outcome)) => return end(of(outcome), &shared),
                    (Err(_), _) => return end(of(Outcome::ConnectFailed), &shared),
                }
            }
        };
        let Carried { written, what, reply } = connection.carry(&mut job, &shared).await;
        if written {
            line = line.hears(Happened::Written).0;
        }
        let (next, then) = line.hears(what);
        line = next;
        let outcome = match then {
            Then::Ends(outcome) => outcome,
            Then::EndsSilently(outcome) => {
                return end(AttemptResult { idle_before_loss: idle, ..of(outcome) }, &shared);
            }
            Then::DialsAnew => {
                shared.resources.count(Counter::BackendsStale);
                continue;
            }
            // No such thing is said of a connection that carries.
            Then::On | Then::Odd => Outcome::ConnectionLost,
        };
        if job.request.memory_bytes() > SMALL_BUFFER_BYTES {
            *connection.framed.write_buffer_mut() = BytesMut::new();
        }
        if line != Line::Idle {
            return end(AttemptResult { reply, ..of(outcome) }, &shared);
        }
        let (next, mut jobs) = oneshot::channel();
        let since = shared.clock.now();
        answered = Some(since);
        let idle = Some(IdleConnection { next, since });
        end(AttemptResult { reply, idle_connection: idle, ..of(outcome) }, &shared);
        match connection.idle(&mut jobs).await {
            Ok(next) => {
                job = next;
                line = line.hears(Happened::Given).0;
                kept = Some(connection);
            }
            Err(Some(next)) => {
                shared.resources.count(Counter::BackendsStale);
                job = next;
                line = Line::begins(false);
            }
            Err(None) => return,
        }
    }
}

fn end(ended: AttemptResult, shared: &Shared) {
    let AttemptResult { txn, no, outcome, idle_connection: ref idle, .. } = ended;
    tracing::debug!(txn = txn.0, no = no.0, ?outcome, kept = idle.is_some(), "submission ended");
    shared.notify_router(RouterMessage::AttemptEnded(ended));
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::resources::{ResourceLimits, Resources};
    use std::io::Write;
    use std::net::TcpListener;

    #[tokio::test]
    async fn what_came_unasked_is_seen_before_the_runtime_hears_of_it() {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let resources = Rc::new(Resources::new(ResourceLimits::within(64, 64)));
        for ends in [false, true] {
            let address = listener.local_addr().expect("an address");
            let stream = TcpStream::connect(address).await.expect("it listens");
            let (mut other, _) = listener.accept().expect("it was connected");
            let entry = SocketGuard::new(&resources, SocketKind::Upstream);
            let connection = Connection { framed: Framed::new(stream, ClientCodec::default()), entry };
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
