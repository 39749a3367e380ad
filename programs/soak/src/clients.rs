//! Clients that send requests to one proxy, one after the other, and record how each ended.

use crate::history::{ClientOutcome, ClientRequest, SharedHistory};
use rand::Rng;
use rand::seq::IndexedRandom;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};
use vanewharf_testkit::http::{Message, read_message, write_message};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Longer than a request's own time and any pause of a proxy.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(8);
/// How long a client waits for each of its requests; the longest is all of the grace period.
const TIME_LEFT_MS: [&str; 3] = ["500", "1000", "2000"];
const PAUSE_BETWEEN_REQUESTS: Duration = Duration::from_millis(4);
const PAUSE_AFTER_FAILURE: Duration = Duration::from_millis(50);

/// A client of one proxy.
pub struct Client {
    /// Where the proxy listens.
    pub proxy: SocketAddr,
    /// The proxy's machine.
    pub machine: usize,
    /// Whether it keeps its connections, as far as the proxy does.
    pub reuses_connections: bool,
    /// Where it records what it sees.
    pub history: SharedHistory,
}

impl Client {
    /// Sends requests until told to stop.
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

    fn exchange(&self, mutating: bool, attempt: &str, kept: &mut Option<TcpStream>) -> ClientOutcome {
        let Ok(mut stream) = kept.take().map_or_else(|| self.connect(), Ok) else {
            return ClientOutcome::NotSent;
        };
        let time_left = TIME_LEFT_MS.choose(&mut rand::rng()).copied().unwrap_or_default();
        let request_line = if mutating { "POST /write/x HTTP/1.1" } else { "GET /read/x HTTP/1.1" };
        let headers = [
            ("Host", "shop.example"),
            ("Attempt-Id", attempt),
            ("Remaining-Milliseconds", time_left),
            ("X-Api-Key", "key-a"),
        ];
        if write_message(&mut stream, request_line, &headers, "").is_err() {
            return ClientOutcome::NotSent;
        }
        let Ok(Some(answer)) = read_message(&mut stream) else {
            return ClientOutcome::Unanswered;
        };
        if self.reuses_connections && !closes(&answer) {
            *kept = Some(stream);
        }
        let attempt = answer.header("Attempt-Id").map(str::to_owned);
        ClientOutcome::Answered { status: answer.status(), attempt }
    }

    fn connect(&self) -> io::Result<TcpStream> {
        let stream = TcpStream::connect_timeout(&self.proxy, CONNECT_TIMEOUT)?;
        stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
        Ok(stream)
    }
}

fn closes(answer: &Message) -> bool {
    answer.header("Connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
}
