//! Clients that send requests to one proxy sequentially and record the outcome of each.

use crate::history::{ClientOutcome, ClientRequest, SharedHistory};
use rand::Rng;
use rand::seq::IndexedRandom;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};
use vanewharf_testkit::backend::LARGE_BODY_BYTES;
use vanewharf_testkit::http::{Message, read_message, write_message};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Exceeds the deadline of any request plus the longest suspension of a proxy.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(8);
/// Values of `Remaining-Milliseconds` from which each request uses one at random. The longest equals the grace period.
const REMAINING_TIMES_MS: [&str; 3] = ["500", "1000", "2000"];
/// The fraction of mutating requests with a body of [`LARGE_BODY_BYTES`].
const LARGE_BODY_PROBABILITY: f64 = 0.25;
const PAUSE_BETWEEN_REQUESTS: Duration = Duration::from_millis(4);
const PAUSE_AFTER_FAILURE: Duration = Duration::from_millis(50);

/// A client of one proxy.
pub struct Client {
    /// The address on which the proxy accepts requests.
    pub proxy: SocketAddr,
    /// The number of the machine of the proxy.
    pub machine: usize,
    /// Whether the client reuses its connection unless the proxy closes it.
    pub reuses_connections: bool,
    /// The history in which the client records its requests.
    pub history: SharedHistory,
}

impl Client {
    /// Sends requests until `stop` is set.
    pub fn run(&self, stop: &AtomicBool) {
        let mut connection = None;
        while !stop.load(Ordering::Relaxed) {
            let mutating = rand::rng().random_bool(0.5);
            let request = self.send(mutating, &mut connection);
            let failed = !matches!(request.outcome, ClientOutcome::Answered { .. });
            self.history.lock().requests.push(request);
            sleep(if failed { PAUSE_AFTER_FAILURE } else { PAUSE_BETWEEN_REQUESTS });
        }
    }

    fn send(&self, mutating: bool, connection: &mut Option<TcpStream>) -> ClientRequest {
        let attempt = format!("{:016x}", rand::rng().random::<u64>());
        let sent = Instant::now();
        let outcome = self.exchange(mutating, &attempt, connection);
        ClientRequest { attempt, mutating, machine: self.machine, sent, completed: Instant::now(), outcome }
    }

    fn exchange(&self, mutating: bool, attempt: &str, connection: &mut Option<TcpStream>) -> ClientOutcome {
        let Ok(mut stream) = connection.take().map_or_else(|| self.connect(), Ok) else {
            return ClientOutcome::NotSent;
        };
        let remaining_time = REMAINING_TIMES_MS.choose(&mut rand::rng()).copied().unwrap_or_default();
        let request_line = if mutating { "POST /write/x HTTP/1.1" } else { "GET /read/x HTTP/1.1" };
        let headers = [
            ("Host", "shop.example"),
            ("Attempt-Id", attempt),
            ("Remaining-Milliseconds", remaining_time),
            ("X-Api-Key", "key-a"),
        ];
        let is_large = mutating && rand::rng().random_bool(LARGE_BODY_PROBABILITY);
        let body = if is_large { "b".repeat(LARGE_BODY_BYTES) } else { String::new() };
        if write_message(&mut stream, request_line, &headers, &body).is_err() {
            return ClientOutcome::NotSent;
        }
        let Ok(Some(response)) = read_message(&mut stream) else {
            return ClientOutcome::Unanswered;
        };
        if self.reuses_connections && !closes_connection(&response) {
            *connection = Some(stream);
        }
        let attempt = response.header("Attempt-Id").map(str::to_owned);
        ClientOutcome::Answered { status: response.status(), attempt }
    }

    fn connect(&self) -> io::Result<TcpStream> {
        let stream = TcpStream::connect_timeout(&self.proxy, CONNECT_TIMEOUT)?;
        stream.set_read_timeout(Some(RESPONSE_TIMEOUT))?;
        Ok(stream)
    }
}

fn closes_connection(response: &Message) -> bool {
    response.header("Connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
}
