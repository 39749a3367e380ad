//! A fake backend: responds to requests with the behavior that a test sets, and records the requests it has executed.

use crate::http::{self, Message};
use crate::platform::lock;
use crate::raw_answer::RawAnswer;
use socket2::SockRef;
use std::collections::VecDeque;
use std::io::{self, Read, Write};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// The size of a connection's receive buffer, and of its segments: loopback's own segments would be larger than the buffer.
const RECEIVE_BUFFER_BYTES: usize = 2048;
const SEGMENT_BYTES: u32 = 1460;
/// The size of a body that is larger than the buffers between a proxy and a backend together, so that the backend can act
/// before it has all of it.
pub const LARGE_BODY_BYTES: usize = 60_000;
/// The part of a body after which some behaviors execute the request.
const PART_BYTES: usize = 2000;
/// The maximum number of connections that a backend keeps open and does not read. Beyond it the oldest one is closed.
const MAX_UNREAD_CONNECTIONS: usize = 64;
const STATUS_OK: &str = "HTTP/1.1 200 OK";
/// An `Attempt-Id` that no request has.
const UNKNOWN_ATTEMPT: &str = "another";
/// The body of a response that belongs to a different request.
const FOREIGN_BODY: &str = "another's";

/// How a backend handles each request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behavior {
    /// Executes the request and responds 200 with the id of the backend as the body.
    Serves,
    /// Does not execute the request, and responds 503 with the `Not-Executed` header.
    Sheds,
    /// Executes the request and closes the connection without a response.
    ClosesWithoutResponse,
    /// Executes the request and resets the connection.
    ResetsConnection,
    /// Executes the request and never responds.
    NeverResponds,
    /// Executes the request and responds after this delay.
    RespondsAfter(Duration),
    /// Executes the request, and sends a response with an unknown `Attempt-Id` before the correct one.
    RespondsForAnotherFirst,
    /// Executes the request and sends only a response with an unknown `Attempt-Id`.
    RespondsForAnotherOnly,
    /// Executes the request, and sends a response to the previous request of the connection before the correct one.
    RepeatsPreviousResponse,
    /// Executes the request and responds twice.
    RespondsTwice,
    /// Executes the request and responds without `Attempt-Id`.
    OmitsAttemptId,
    /// Executes the request and responds without `Backend-Seal`.
    OmitsSeal,
    /// Executes the request and sends bytes that are not HTTP.
    SendsGarbage,
    /// Executes the request and sends the bytes of this answer.
    SendsRaw(RawAnswer),
    /// Executes the request and closes the connection in the middle of the response body.
    TruncatesResponse,
    /// Executes the request and responds 500.
    Fails,
    /// Executes the request after a part of its body, responds 200, and does not read on. This and the next two serve
    /// requests with a small body.
    RespondsBeforeBody,
    /// Executes the request after a part of its body, and resets the connection.
    ResetsBeforeBody,
    /// Executes the request after a part of its body, and neither responds nor reads on.
    StallsBeforeBody,
    /// Executes the request and responds with this status, even if the status implies that it was not executed.
    ClaimsStatus(u16),
}

impl Behavior {
    /// Whether the request is executed when only a part of its body has been read.
    fn executes_before_body(self) -> bool {
        matches!(self, Behavior::RespondsBeforeBody | Behavior::ResetsBeforeBody | Behavior::StallsBeforeBody)
    }
}

/// A request that a backend has executed.
#[derive(Clone, Debug)]
pub struct ExecutedRequest {
    /// The value of its `Attempt-Id` header.
    pub attempt: String,
    /// The name of the tenant, from the `Customer-Name` header that the proxy adds.
    pub customer: Option<String>,
    /// The access key of the client, if the proxy forwarded it.
    pub access_key: Option<String>,
    /// The path of the request.
    pub path: String,
}

/// One backend instance on a loopback address.
pub struct FakeBackend {
    /// The id of the instance on the platform.
    pub id: String,
    /// The service it belongs to.
    pub service: String,
    /// The zone it runs in.
    pub zone: String,
    /// The address on which it listens.
    pub address: SocketAddr,
    state: Arc<BackendState>,
}

/// State that all connections of a backend share.
struct BackendState {
    id: String,
    behavior: Mutex<Behavior>,
    executed: Mutex<Vec<ExecutedRequest>>,
    /// Connections that are kept open and not read, the oldest first.
    unread: Mutex<VecDeque<TcpStream>>,
    requests_after_raw_answers: AtomicUsize,
}

impl FakeBackend {
    /// Starts a backend with [`Behavior::Serves`] on a free port of this address.
    ///
    /// # Panics
    ///
    /// If the address cannot be bound.
    pub fn start(ip: IpAddr, id: &str, service: &str, zone: &str) -> FakeBackend {
        let listener = TcpListener::bind((ip, 0)).expect("the address can be bound");
        // Accepted connections inherit both, so that a proxy cannot send a large body before the backend reads it.
        let socket = SockRef::from(&listener);
        socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).expect("the size can be set");
        socket.set_tcp_mss(SEGMENT_BYTES).expect("the size can be set");
        let address = listener.local_addr().expect("the listener is bound");
        let state = Arc::new(BackendState {
            id: id.to_owned(),
            behavior: Mutex::new(Behavior::Serves),
            executed: Mutex::default(),
            unread: Mutex::default(),
            requests_after_raw_answers: AtomicUsize::new(0),
        });
        let server = Arc::clone(&state);
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let server = Arc::clone(&server);
                thread::spawn(move || server.serve_connection(stream));
            }
        });
        FakeBackend { id: id.to_owned(), service: service.to_owned(), zone: zone.to_owned(), address, state }
    }

    /// Sets the behavior for all later requests.
    pub fn set_behavior(&self, behavior: Behavior) {
        *lock(&self.state.behavior) = behavior;
    }

    /// Returns the requests that it has executed, in order.
    pub fn executed_requests(&self) -> Vec<ExecutedRequest> {
        lock(&self.state.executed).clone()
    }

    /// Returns how often it has executed the request with this `Attempt-Id`.
    pub fn count_executions(&self, attempt: &str) -> usize {
        lock(&self.state.executed).iter().filter(|request| request.attempt == attempt).count()
    }

    /// Returns how many requests it has received on connections on which it had sent a [`RawAnswer`] before.
    pub fn requests_after_raw_answers(&self) -> usize {
        self.state.requests_after_raw_answers.load(Ordering::SeqCst)
    }
}

/// Whether a connection is used again after a response.
enum Connection {
    KeepAlive,
    Close,
}

impl BackendState {
    fn serve_connection(&self, mut stream: TcpStream) {
        let mut previous_attempt: Option<String> = None;
        let mut sent_raw_answer = false;
        while let Ok(Some(mut request)) = http::read_head(&mut stream) {
            if sent_raw_answer {
                self.requests_after_raw_answers.fetch_add(1, Ordering::SeqCst);
            }
            let behavior = *lock(&self.behavior);
            let is_expected = request.header("Expected-Instance").is_none_or(|expected| expected == self.id);
            if is_expected && behavior.executes_before_body() && request.content_length() > PART_BYTES {
                return self.execute_before_body(stream, &request, behavior);
            }
            if http::read_body(&mut stream, &mut request).is_err() {
                return;
            }
            let attempt = request.header("Attempt-Id").unwrap_or_default().to_owned();
            if !is_expected {
                let headers = [("Instance-Id", self.id.as_str())];
                let _ = http::write_message(&mut stream, "HTTP/1.1 421 Misdirected Request", &headers, "");
                continue;
            }
            if behavior == Behavior::Sheds {
                let headers = [("Not-Executed", "1"), ("Attempt-Id", attempt.as_str())];
                let _ = http::write_message(&mut stream, "HTTP/1.1 503 Service Unavailable", &headers, "");
                continue;
            }
            self.record_execution(&request, &attempt);
            sent_raw_answer |= matches!(behavior, Behavior::SendsRaw(_));
            let mut responder = Responder { stream: &mut stream, id: &self.id, attempt: &attempt };
            match responder.respond(behavior, previous_attempt.as_deref()) {
                Ok(Connection::KeepAlive) => previous_attempt = Some(attempt),
                Ok(Connection::Close) | Err(_) => return,
            }
        }
    }

    fn execute_before_body(&self, mut stream: TcpStream, request: &Message, behavior: Behavior) {
        if stream.read_exact(&mut [0; PART_BYTES]).is_err() {
            return;
        }
        let attempt = request.header("Attempt-Id").unwrap_or_default();
        self.record_execution(request, attempt);
        if behavior == Behavior::ResetsBeforeBody {
            let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            return;
        }
        if behavior == Behavior::RespondsBeforeBody {
            let _ = Responder { stream: &mut stream, id: &self.id, attempt }.write_own(STATUS_OK, &self.id);
        }
        let mut unread = lock(&self.unread);
        unread.push_back(stream);
        if unread.len() > MAX_UNREAD_CONNECTIONS {
            unread.pop_front();
        }
    }

    fn record_execution(&self, request: &Message, attempt: &str) {
        let header = |name| request.header(name).map(str::to_owned);
        lock(&self.executed).push(ExecutedRequest {
            attempt: attempt.to_owned(),
            customer: header("Customer-Name"),
            access_key: header("X-Api-Key"),
            path: request.path().to_owned(),
        });
    }
}

/// Writes the responses to one executed request.
struct Responder<'a> {
    stream: &'a mut TcpStream,
    id: &'a str,
    attempt: &'a str,
}

impl Responder<'_> {
    fn respond(&mut self, behavior: Behavior, previous_attempt: Option<&str>) -> io::Result<Connection> {
        match behavior {
            Behavior::ClosesWithoutResponse => {
                let _ = self.stream.shutdown(Shutdown::Both);
                return Ok(Connection::Close);
            }
            Behavior::ResetsConnection => {
                let _ = SockRef::from(&*self.stream).set_linger(Some(Duration::ZERO));
                return Ok(Connection::Close);
            }
            Behavior::NeverResponds => {
                // Waits until the proxy closes the connection.
                let _ = http::read_message(self.stream);
                return Ok(Connection::Close);
            }
            Behavior::TruncatesResponse => {
                self.write_truncated_response()?;
                return Ok(Connection::Close);
            }
            Behavior::SendsGarbage => self.stream.write_all(b"HTP/0.1 so so\r\n\r\n")?,
            Behavior::SendsRaw(answer) => answer.write(self.stream, self.attempt)?,
            Behavior::Fails => self.write_own("HTTP/1.1 500 Internal Backend Error", "failed")?,
            Behavior::ClaimsStatus(status) => {
                self.write_own(&format!("HTTP/1.1 {status} So It Says"), "feigned")?;
            }
            Behavior::OmitsAttemptId => {
                http::write_message(self.stream, STATUS_OK, &[("Backend-Seal", "s.1")], self.id)?;
            }
            Behavior::OmitsSeal => {
                http::write_message(self.stream, STATUS_OK, &[("Attempt-Id", self.attempt)], self.id)?;
            }
            Behavior::RespondsForAnotherOnly => self.write_foreign(UNKNOWN_ATTEMPT)?,
            Behavior::RespondsForAnotherFirst => {
                self.write_foreign(UNKNOWN_ATTEMPT)?;
                self.write_own(STATUS_OK, self.id)?;
            }
            Behavior::RepeatsPreviousResponse => {
                previous_attempt.map_or(Ok(()), |previous| self.write_foreign(previous))?;
                self.write_own(STATUS_OK, self.id)?;
            }
            Behavior::RespondsTwice => {
                self.write_own(STATUS_OK, self.id)?;
                self.write_own(STATUS_OK, FOREIGN_BODY)?;
            }
            Behavior::RespondsAfter(work) => {
                thread::sleep(work);
                self.write_own(STATUS_OK, self.id)?;
            }
            Behavior::Serves
            | Behavior::Sheds
            | Behavior::RespondsBeforeBody
            | Behavior::ResetsBeforeBody
            | Behavior::StallsBeforeBody => self.write_own(STATUS_OK, self.id)?,
        }
        Ok(Connection::KeepAlive)
    }

    /// Writes a response with the `Attempt-Id` of this request.
    fn write_own(&mut self, status_line: &str, body: &str) -> io::Result<()> {
        let headers = [("Attempt-Id", self.attempt), ("Backend-Seal", "s.1")];
        http::write_message(self.stream, status_line, &headers, body)
    }

    /// Writes a response with the `Attempt-Id` of a different request.
    fn write_foreign(&mut self, attempt: &str) -> io::Result<()> {
        let headers = [("Attempt-Id", attempt), ("Backend-Seal", "s.2")];
        http::write_message(self.stream, STATUS_OK, &headers, FOREIGN_BODY)
    }

    /// Writes a response with a body shorter than its `Content-Length`.
    fn write_truncated_response(&mut self) -> io::Result<()> {
        let attempt = self.attempt;
        let head = format!(
            "{STATUS_OK}\r\nAttempt-Id: {attempt}\r\nBackend-Seal: s.1\r\nContent-Length: 100\r\n\r\n"
        );
        self.stream.write_all(head.as_bytes())?;
        self.stream.write_all(self.id.as_bytes())
    }
}
