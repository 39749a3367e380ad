//! Backends that run a request of which they have received only a part: the gateway must neither report that the request
//! has not run nor send it again.

mod support;

use socket2::SockRef;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use support::*;

/// Larger than the sender's and the receiver's buffers together, so that the gateway cannot send all of it at once.
const BODY_BYTES: usize = 65_000;
/// The part of the body that a backend reads before it runs the request.
const PART_BYTES: usize = 2000;

fn body() -> String {
    (0..BODY_BYTES).map(|number| char::from(b'a' + (number % 23) as u8)).collect()
}

/// A request that must not run twice.
fn large_book_request(left_ms: u32) -> String {
    request_text("POST", "book", "gold", left_ms, &body())
}

/// Reads a head and the first part of the body; returns false if the connection ends first.
fn read_part(stream: &mut TcpStream) -> bool {
    let (mut head, mut byte) = (Vec::new(), [0; 1]);
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read_exact(&mut byte).is_err() {
            return false;
        }
        head.push(byte[0]);
    }
    stream.read_exact(&mut [0; PART_BYTES]).is_ok()
}

fn reply(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// A backend that counts a request as run once it has received a part of it, and then calls `react`.
fn running_backend(
    name: &str,
    react: impl Fn(TcpStream) + Send + Sync + 'static,
) -> (Backend, Arc<AtomicU32>) {
    let runs = Arc::new(AtomicU32::new(0));
    let counted = Arc::clone(&runs);
    let backend = Backend::with_small_window(name, move |mut stream| {
        if read_part(&mut stream) {
            counted.fetch_add(1, Ordering::SeqCst);
            react(stream);
        }
    });
    (backend, runs)
}

/// Keeps connections open without reading from them.
static HELD: Mutex<Vec<TcpStream>> = Mutex::new(Vec::new());

fn hold(stream: TcpStream) {
    HELD.lock().expect("not poisoned").push(stream);
}

/// Resets the connection.
fn reset(stream: TcpStream) {
    SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("an option");
}

/// A backend that replies `early` before it has read the body, and reads on when it is told to.
struct EarlyReplier {
    backend: Backend,
    runs: Arc<AtomicU32>,
    read_on: Sender<()>,
    rest: Receiver<Vec<u8>>,
}

impl EarlyReplier {
    fn start() -> EarlyReplier {
        let (read_on, may_read_on) = channel();
        let (rests, rest) = channel();
        let channels = Mutex::new((may_read_on, rests));
        let (backend, runs) = running_backend("a", move |mut stream| {
            stream.write_all(reply("early").as_bytes()).expect("the reply is sent");
            let channels = channels.lock().expect("not poisoned");
            let _ = channels.0.recv_timeout(TEST_TIMEOUT);
            let mut rest = Vec::new();
            let _ = stream.read_to_end(&mut rest);
            let _ = channels.1.send(rest);
        });
        EarlyReplier { backend, runs, read_on, rest }
    }

    /// Reads on until the gateway closes the connection, and returns what was received.
    fn read_rest(&self) -> Vec<u8> {
        self.read_on.send(()).expect("the backend runs");
        self.rest.recv_timeout(TEST_TIMEOUT).expect("the rest of the body")
    }
}

/// Guards against review/3: a success that arrived before the body was sent was not read, and the client got 503.
#[test]
fn forwards_a_reply_that_arrives_before_the_body_was_sent_and_sends_the_rest() {
    let replier = EarlyReplier::start();
    let gateway = Gateway::start(&[&replier.backend]);
    let mut client = gateway.client();
    let (answer, took) = timed(|| client.request(&large_book_request(3000)));
    assert_eq!((answer.status(), answer.body.as_slice()), (200, &b"early"[..]));
    assert!(took < Duration::from_millis(1500), "the answer is not held back: {took:?}");
    assert_eq!(gateway.counter("submissions_answered_early"), 1, "the body was not sent before the reply");
    let rest = replier.read_rest();
    assert!(rest == body().as_bytes()[PART_BYTES..], "{} bytes of the rest, or others", rest.len());
    assert_eq!(replier.runs.load(Ordering::SeqCst), 1);
}

/// Guards against a body cut short by a restart: the client has its answer, and the backend has not read on yet.
#[test]
fn sends_the_rest_of_a_body_that_was_replied_to_early_before_it_exits() {
    let replier = EarlyReplier::start();
    let mut gateway = Gateway::start(&[&replier.backend]);
    let mut client = gateway.client();
    assert_eq!(client.request(&large_book_request(3000)).status(), 200);
    gateway.signal("-TERM");
    assert!(client.is_closed_by_gateway(), "the idle client is disconnected");
    assert_eq!(replier.read_rest().len(), BODY_BYTES - PART_BYTES);
    assert!(gateway.wait_for_exit().success());
}

/// Guards against a promise after a time-out: the backend runs the request, and never reads on or replies.
#[test]
fn a_time_out_while_the_body_is_being_sent_leaves_the_outcome_unknown() {
    let (backend, runs) = running_backend("a", hold);
    let gateway = Gateway::start(&[&backend]);
    assert_eq!(gateway.client().request(&large_book_request(400)).status(), 502, "it may have run");
    assert_eq!(runs.load(Ordering::SeqCst), 1);
    assert_eq!(gateway.counter("submissions_timed_out"), 1);
}

/// Guards against a second run: the backend runs the request and resets the connection before it has read the body.
#[test]
fn a_reset_while_the_body_is_being_sent_is_no_reason_to_send_the_request_again() {
    let (first, first_runs) = running_backend("a", reset);
    let (second, second_runs) = running_backend("b", reset);
    let gateway = Gateway::start(&[&first, &second]);
    for sent in 1..=4 {
        assert_eq!(gateway.client().request(&large_book_request(3000)).status(), 502, "it may have run");
        let runs = first_runs.load(Ordering::SeqCst) + second_runs.load(Ordering::SeqCst);
        assert_eq!(runs, sent, "each request runs once");
    }
}

/// Guards against a second run by a redial: the connection was used before, and breaks after a part of the body was sent.
#[test]
fn a_reset_of_a_reused_connection_after_a_part_of_the_body_is_no_reason_to_redial() {
    let runs = Arc::new(AtomicU32::new(0));
    let counted = Arc::clone(&runs);
    let backend = Backend::with_small_window("a", move |mut stream| {
        let mut reader = std::io::BufReader::new(stream.try_clone().expect("a descriptor"));
        if Message::read(&mut reader).is_none() {
            return;
        }
        stream.write_all(reply("first").as_bytes()).expect("the reply is sent");
        drop(reader);
        if read_part(&mut stream) {
            counted.fetch_add(1, Ordering::SeqCst);
            reset(stream);
        }
    });
    let gateway = Gateway::start(&[&backend]);
    let mut client = gateway.client();
    assert_eq!(client.request(&book_request()).body, b"first");
    assert_eq!(client.request(&large_book_request(3000)).status(), 502, "it may have run");
    assert_eq!(runs.load(Ordering::SeqCst), 1);
    assert_eq!(gateway.counter("backends_reused"), 1);
    assert_eq!(
        backend.connections.load(Ordering::SeqCst),
        1,
        "the request is not sent on a second connection"
    );
}

/// Guards against an unread reply: the backend replies and closes, which resets the connection while the body is sent.
#[test]
fn a_reply_is_read_even_if_the_backend_closes_with_the_body_unread() {
    let (backend, runs) = running_backend("a", |mut stream| {
        stream.write_all(reply("and gone").as_bytes()).expect("the reply is sent");
        let _ = stream.shutdown(Shutdown::Both);
    });
    let gateway = Gateway::start(&[&backend]);
    let answer = gateway.client().request(&large_book_request(3000));
    assert_eq!((answer.status(), answer.body.as_slice()), (200, &b"and gone"[..]));
    assert_eq!(runs.load(Ordering::SeqCst), 1);
}

/// Guards against a retry that is not owed: only the backend's own word, which may come early, says that nothing ran.
#[test]
fn a_rejection_that_arrives_before_the_body_was_sent_allows_a_retry() {
    let rejecting = Backend::with_small_window("a", |mut stream| {
        if read_part(&mut stream) {
            let rejection = "HTTP/1.1 503 Full\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";
            stream.write_all(rejection.as_bytes()).expect("the reply is sent");
            hold(stream);
        }
    });
    let accepting = Backend::new("b", vec![ok("", "b")]);
    let gateway = Gateway::start(&[&rejecting, &accepting]);
    let mut client = gateway.client();
    let retried = (1..=30).find(|sent| {
        let answer = client.request(&large_book_request(3000));
        assert_eq!((answer.status(), answer.body.as_slice()), (200, &b"b"[..]), "request {sent}");
        rejecting.connections.load(Ordering::SeqCst) > 0
    });
    assert!(retried.is_some(), "no request was rejected by the first backend and retried");
}

/// Guards against lost retries: a request that may run twice is sent to another backend after a reset.
#[test]
fn an_idempotent_request_is_retried_after_a_reset_while_its_body_is_being_sent() {
    let (resetting, runs) = running_backend("a", reset);
    let accepting = Backend::new("b", vec![ok("", "b")]);
    let gateway = Gateway::start(&[&resetting, &accepting]);
    let mut client = gateway.client();
    let retried = (0..30).find(|_| {
        let request = request_text("POST", "look", "gold", 3000, &body());
        assert_eq!(client.request(&request).body, b"b");
        runs.load(Ordering::SeqCst) > 0
    });
    assert!(retried.is_some(), "no request was sent to the first backend and retried");
}
