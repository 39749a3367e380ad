//! Raw HTTP over loopback TCP: what a client writes, what a server answers, and how varying values are normalised.

// Each test program uses a part of this module.
#![allow(dead_code)]

use rand::Rng;
use std::io::{Read, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Longer than anything here takes.
const PATIENCE: Duration = Duration::from_secs(20);
/// Fields of messages whose numbers vary from run to run.
const VARYING_NUMBERS: [&str; 9] =
    ["life", "age_ms", "held_ms", "sure_ms", "ballot", "promised", "heard_ms", "cold_ms", "digest"];
const CALL_ID: &str = "Call-Id: ";
const CONTENT_LENGTH: &str = "Content-Length: ";

/// A part of the loopback network that no other test uses; all its addresses are equally long.
#[derive(Clone, Copy)]
pub struct Subnet([u8; 2]);

impl Subnet {
    pub fn draw() -> Subnet {
        let mut random = rand::rng();
        Subnet([random.random_range(100..250), random.random_range(100..250)])
    }

    pub fn ip(self, host: u8) -> IpAddr {
        IpAddr::from([127, self.0[0], self.0[1], host])
    }

    pub fn socket(self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip(host), port)
    }

    fn without_addresses(self, text: &str) -> String {
        text.replace(&format!("127.{}.{}.", self.0[0], self.0[1]), "127.N.N.")
    }

    /// The message with this subnet's addresses, call ids and the varying numbers of the body replaced by names.
    pub fn normalise(self, message: &[u8]) -> Vec<u8> {
        let text = std::str::from_utf8(message).expect("the message is text");
        let (head, body) = text.split_once("\r\n\r\n").expect("a head and a body");
        let (head, normal_body) = (self.without_addresses(head), self.without_addresses(body));
        let normal_body = VARYING_NUMBERS.iter().fold(normal_body, |body, key| without_numbers(&body, key));
        let same_body = normal_body == self.without_addresses(body);
        let lines = head.split("\r\n").map(|line| normal_line(line, body.len(), same_body));
        format!("{}\r\n\r\n{normal_body}", lines.collect::<Vec<_>>().join("\r\n")).into_bytes()
    }
}

/// The length is checked, and kept where the body is as it came; a call id is checked for its form.
fn normal_line(line: &str, body_length: usize, same_body: bool) -> String {
    if let Some(length) = line.strip_prefix(CONTENT_LENGTH) {
        assert_eq!(length, body_length.to_string(), "the length of the body");
        return if same_body { line.to_owned() } else { format!("{CONTENT_LENGTH}<length>") };
    }
    if let Some(id) = line.strip_prefix(CALL_ID) {
        let (life, number) = id.split_once('-').expect("a call id has two parts");
        for part in [life, number] {
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

/// Each `"key":123` becomes `"key":<number>`.
fn without_numbers(body: &str, key: &str) -> String {
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

/// Asks again until it is so.
pub fn until<T>(what: &str, mut attempt: impl FnMut() -> Option<T>) -> T {
    let begun = Instant::now();
    loop {
        if let Some(value) = attempt() {
            return value;
        }
        assert!(begun.elapsed() < PATIENCE, "not in time: {what}");
        thread::yield_now();
    }
}

/// One whole HTTP message with its raw bytes; none where the connection ends first.
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
    let mut body = vec![0; length.map_or(0, |length| length.parse().expect("a length"))];
    stream.read_exact(&mut body).ok()?;
    message.extend_from_slice(&body);
    Some(message)
}

/// Writes these bytes on a connection of their own and gives the raw answer.
pub fn raw_call(to: SocketAddr, request: &str) -> Option<Vec<u8>> {
    let mut stream = TcpStream::connect(to).ok()?;
    stream.set_read_timeout(Some(PATIENCE)).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    read_message(&mut stream)
}

/// A request as bytes, with further header lines that each end in `\r\n`.
pub fn request(method: &str, path: &str, fields: &str, body: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: shop.example\r\n{fields}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// The body of an HTTP message.
pub fn body(message: &[u8]) -> String {
    let text = String::from_utf8_lossy(message);
    text.split_once("\r\n\r\n").map(|(_, body)| body.to_owned()).unwrap_or_default()
}

/// The status of a raw answer.
pub fn status(message: &[u8]) -> u16 {
    let text = String::from_utf8_lossy(message);
    text.split(' ').nth(1).and_then(|status| status.parse().ok()).expect("a status line")
}

/// Stands in for a server: keeps the raw bytes of each request and answers by a script, under the request's id.
pub struct Recorder {
    requests: Arc<(Mutex<Vec<Vec<u8>>>, Condvar)>,
}

impl Recorder {
    /// `answer` gives the body for a request line and a body, or none for a 404.
    pub fn start(
        at: SocketAddr,
        answer: impl Fn(&str, &str) -> Option<String> + Send + Sync + 'static,
    ) -> Recorder {
        let listener = TcpListener::bind(at).expect("a loopback address of our own");
        let requests = Arc::<(Mutex<Vec<Vec<u8>>>, Condvar)>::default();
        let (kept, answer) = (Arc::clone(&requests), Arc::new(answer));
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (kept, answer) = (Arc::clone(&kept), Arc::clone(&answer));
                thread::spawn(move || attend(stream, &kept, &*answer));
            }
        });
        Recorder { requests }
    }

    /// The first request whose line and body fit, where it has come.
    pub fn find(&self, line: &str, body_begins: &str) -> Option<Vec<u8>> {
        let requests = self.requests.0.lock().expect("the recorder's threads do not fail");
        requests.iter().find(|request| fits(request, line, body_begins)).cloned()
    }

    /// The first request whose line and body fit, as soon as it has come.
    pub fn first(&self, line: &str, body_begins: &str) -> Vec<u8> {
        let begun = Instant::now();
        let (requests, arrived) = &*self.requests;
        let mut requests = requests.lock().expect("the recorder's threads do not fail");
        loop {
            if let Some(found) = requests.iter().find(|request| fits(request, line, body_begins)) {
                return found.clone();
            }
            let left = PATIENCE.checked_sub(begun.elapsed());
            let left = left.unwrap_or_else(|| panic!("not in time: {line} {body_begins}"));
            requests = arrived.wait_timeout(requests, left).expect("the recorder's threads do not fail").0;
        }
    }
}

fn fits(request: &[u8], line: &str, body_begins: &str) -> bool {
    let text = String::from_utf8_lossy(request);
    text.starts_with(&format!("{line} HTTP/1.1\r\n")) && body(request).starts_with(body_begins)
}

fn attend(
    mut stream: TcpStream,
    (requests, arrived): &(Mutex<Vec<Vec<u8>>>, Condvar),
    answer: &dyn Fn(&str, &str) -> Option<String>,
) {
    while let Some(request) = read_message(&mut stream) {
        let text = String::from_utf8_lossy(&request).into_owned();
        requests.lock().expect("the recorder's threads do not fail").push(request.clone());
        arrived.notify_all();
        let line = text.lines().next().unwrap_or_default().trim_end_matches(" HTTP/1.1");
        let (status, body) = match answer(line, &body(&request)) {
            Some(body) => ("200 OK", body),
            None => ("404 Not Found", "{}".to_owned()),
        };
        let id = text.lines().find(|line| line.starts_with(CALL_ID)).map(|line| format!("{line}\r\n"));
        let id = id.unwrap_or_default();
        let reply = format!("HTTP/1.1 {status}\r\n{id}Content-Length: {}\r\n\r\n{body}", body.len());
        if stream.write_all(reply.as_bytes()).is_err() {
            return;
        }
    }
}
