//! Raw HTTP over loopback TCP: sends and records messages byte for byte, and normalises values that vary between runs.

// No test target uses all of this module.
#![allow(dead_code)]

use std::io::{Read, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use vanewharf_testkit::subnet::reserve_numbers;

/// Exceeds the time that any condition or response in these tests takes.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Message fields whose numbers vary between runs.
const VARYING_NUMBERS: [&str; 9] =
    ["life", "age_ms", "held_ms", "sure_ms", "ballot", "promised", "heard_ms", "cold_ms", "digest"];
const CALL_ID: &str = "Call-Id: ";
const CONTENT_LENGTH: &str = "Content-Length: ";

/// The subnet 127.x.y.0/24 of a test, reserved so that parallel tests use different addresses. Its numbers have three
/// digits so that the length of an address does not vary between runs.
#[derive(Clone, Copy)]
pub struct Subnet([u8; 2]);

impl Subnet {
    pub fn reserve() -> Subnet {
        Subnet(reserve_numbers(100..250))
    }

    pub fn ip(self, host: u8) -> IpAddr {
        IpAddr::from([127, self.0[0], self.0[1], host])
    }

    pub fn socket_address(self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip(host), port)
    }

    fn normalise_addresses(self, text: &str) -> String {
        text.replace(&format!("127.{}.{}.", self.0[0], self.0[1]), "127.N.N.")
    }

    /// Replaces the addresses of this subnet, the call id, and the varying numbers of the body with placeholders.
    pub fn normalise(self, message: &[u8]) -> Vec<u8> {
        let text = std::str::from_utf8(message).expect("the message is UTF-8");
        let (head, body) = text.split_once("\r\n\r\n").expect("the message has a head and a body");
        let (head, body_without_addresses) = (self.normalise_addresses(head), self.normalise_addresses(body));
        let normalised_body = VARYING_NUMBERS
            .iter()
            .fold(body_without_addresses.clone(), |body, key| normalise_numbers(&body, key));
        let same_body = normalised_body == body_without_addresses;
        let lines = head.split("\r\n").map(|line| normalise_header_line(line, body.len(), same_body));
        format!("{}\r\n\r\n{normalised_body}", lines.collect::<Vec<_>>().join("\r\n")).into_bytes()
    }
}

/// Normalises a line of the head. Checks the `Content-Length`, and keeps it if no number in the body was replaced.
/// Checks the format of the call id.
fn normalise_header_line(line: &str, body_length: usize, same_body: bool) -> String {
    if let Some(length) = line.strip_prefix(CONTENT_LENGTH) {
        assert_eq!(length, body_length.to_string(), "Content-Length");
        return if same_body { line.to_owned() } else { format!("{CONTENT_LENGTH}<length>") };
    }
    if let Some(id) = line.strip_prefix(CALL_ID) {
        let (incarnation, number) = id.split_once('-').expect("the call id has two parts");
        for part in [incarnation, number] {
            assert!(is_lower_hexadecimal(part), "{line}");
        }
        return format!("{CALL_ID}<life>-<number>");
    }
    line.to_owned()
}

fn is_lower_hexadecimal(text: &str) -> bool {
    let digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    !text.is_empty() && text.bytes().all(digit)
}

/// Replaces the number after each occurrence of the key, so that `"key":123` becomes `"key":<number>`.
fn normalise_numbers(body: &str, key: &str) -> String {
    let marker = format!("\"{key}\":");
    let mut parts = body.split(&marker);
    let mut normal = parts.next().unwrap_or_default().to_owned();
    for part in parts {
        let rest = part.trim_start_matches(|letter: char| letter.is_ascii_digit());
        normal.push_str(&marker);
        normal.push_str(if rest.len() < part.len() { "<number>" } else { "" });
        normal.push_str(rest);
    }
    normal
}

/// Calls `attempt` until it returns a value. Panics with `description` if it does not within the timeout.
pub fn wait_until<T>(description: &str, mut attempt: impl FnMut() -> Option<T>) -> T {
    let started = Instant::now();
    loop {
        if let Some(value) = attempt() {
            return value;
        }
        assert!(started.elapsed() < TIMEOUT, "timed out waiting until {description}");
        thread::yield_now();
    }
}

/// Reads the raw bytes of one HTTP message. Returns `None` if the connection ends before it is complete.
fn read_message(stream: &mut TcpStream) -> Option<Vec<u8>> {
    let (mut message, mut byte) = (Vec::new(), [0; 1]);
    while !message.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        message.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&message).into_owned();
    let length = head.lines().find_map(|line| line.strip_prefix(CONTENT_LENGTH));
    let mut body =
        vec![0; length.map_or(0, |length| length.parse().expect("the Content-Length is a number"))];
    stream.read_exact(&mut body).ok()?;
    message.extend_from_slice(&body);
    Some(message)
}

/// Sends these bytes on a new connection and returns the raw response.
pub fn send_raw(to: SocketAddr, request: &str) -> Option<Vec<u8>> {
    let mut stream = TcpStream::connect(to).ok()?;
    stream.set_read_timeout(Some(TIMEOUT)).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    read_message(&mut stream)
}

/// Returns a request as text. `headers` contains additional header lines that each end with `\r\n`.
pub fn request(method: &str, path: &str, headers: &str, body: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: shop.example\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Returns the body of an HTTP message.
pub fn body(message: &[u8]) -> String {
    let text = String::from_utf8_lossy(message);
    text.split_once("\r\n\r\n").map(|(_, body)| body.to_owned()).unwrap_or_default()
}

/// Returns the status of a raw response.
pub fn status(message: &[u8]) -> u16 {
    let text = String::from_utf8_lossy(message);
    text.split(' ').nth(1).and_then(|status| status.parse().ok()).expect("the response has a status line")
}

/// A fake server that records the raw bytes of each request, and responds with the body that a function returns and the
/// call id of the request.
pub struct RecordingServer {
    requests: Arc<(Mutex<Vec<Vec<u8>>>, Condvar)>,
}

impl RecordingServer {
    /// Starts the server. `respond` returns the response body for a request line and a request body, or `None` for a 404.
    pub fn start(
        address: SocketAddr,
        respond: impl Fn(&str, &str) -> Option<String> + Send + Sync + 'static,
    ) -> RecordingServer {
        let listener = TcpListener::bind(address).expect("the address can be bound");
        let requests = Arc::<(Mutex<Vec<Vec<u8>>>, Condvar)>::default();
        let (recorded, respond) = (Arc::clone(&requests), Arc::new(respond));
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (recorded, respond) = (Arc::clone(&recorded), Arc::clone(&respond));
                thread::spawn(move || serve_connection(stream, &recorded, &*respond));
            }
        });
        RecordingServer { requests }
    }

    /// Returns the first recorded request with this request line whose body starts with this text, if there is one.
    pub fn find(&self, line: &str, body_prefix: &str) -> Option<Vec<u8>> {
        let requests = self.requests.0.lock().expect("no server thread panics");
        requests.iter().find(|request| matches_request(request, line, body_prefix)).cloned()
    }

    /// Waits for the first request with this request line whose body starts with this text, and returns it.
    pub fn wait_for(&self, line: &str, body_prefix: &str) -> Vec<u8> {
        let started = Instant::now();
        let (requests, arrived) = &*self.requests;
        let mut requests = requests.lock().expect("no server thread panics");
        loop {
            if let Some(found) = requests.iter().find(|request| matches_request(request, line, body_prefix)) {
                return found.clone();
            }
            let remaining = TIMEOUT.checked_sub(started.elapsed());
            let remaining = remaining.unwrap_or_else(|| {
                panic!("timed out waiting for the request {line} with a body {body_prefix}...")
            });
            requests = arrived.wait_timeout(requests, remaining).expect("no server thread panics").0;
        }
    }
}

fn matches_request(request: &[u8], line: &str, body_prefix: &str) -> bool {
    let text = String::from_utf8_lossy(request);
    text.starts_with(&format!("{line} HTTP/1.1\r\n")) && body(request).starts_with(body_prefix)
}

fn serve_connection(
    mut stream: TcpStream,
    (requests, arrived): &(Mutex<Vec<Vec<u8>>>, Condvar),
    respond: &dyn Fn(&str, &str) -> Option<String>,
) {
    while let Some(request) = read_message(&mut stream) {
        let text = String::from_utf8_lossy(&request).into_owned();
        requests.lock().expect("no server thread panics").push(request.clone());
        arrived.notify_all();
        let line = text.lines().next().unwrap_or_default().trim_end_matches(" HTTP/1.1");
        let (status, body) = match respond(line, &body(&request)) {
            Some(body) => ("200 OK", body),
            None => ("404 Not Found", "{}".to_owned()),
        };
        let call_id = text.lines().find(|line| line.starts_with(CALL_ID)).map(|line| format!("{line}\r\n"));
        let call_id = call_id.unwrap_or_default();
        let response = format!("HTTP/1.1 {status}\r\n{call_id}Content-Length: {}\r\n\r\n{body}", body.len());
        if stream.write_all(response.as_bytes()).is_err() {
            return;
        }
    }
}
