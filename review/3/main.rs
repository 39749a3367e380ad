//! Case 3: a backend runs a mutating request and answers it before it has read the long body; see claim.txt.
#[path = "../harness.rs"]
mod harness;

use harness::*;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const BODY_BYTES: usize = 60_000;
const REQUESTS: usize = 8;
/// The route's deadline and the client's patience.
const PATIENCE_MS: u64 = 2500;
/// How long after its early answer the backend reads on.
const READS_ON_AFTER: Duration = Duration::from_secs(4);

fn body_byte(number: usize) -> u8 {
    b'a' + (number % 23) as u8
}

struct Backend {
    id: String,
    record: Record,
    runs: Arc<Mutex<Vec<String>>>,
}

impl Backend {
    fn start(ip: &str, id: &str, record: &Record, runs: &Arc<Mutex<Vec<String>>>) -> Instance {
        let listener = TcpListener::bind(format!("{ip}:0")).expect("a backend's address is free");
        set_small_window(&listener);
        let address = listener.local_addr().unwrap();
        let backend = Arc::new(Backend { id: id.to_owned(), record: record.clone(), runs: Arc::clone(runs) });
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let backend = Arc::clone(&backend);
                thread::spawn(move || backend.serve(stream));
            }
        });
        Instance {
            id: id.to_owned(),
            service: "writes".to_owned(),
            address,
            zone: "lj-dvorana-a".to_owned(),
            lifecycle: "available",
        }
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        while let Ok(Some(head)) = read_head(&mut stream) {
            let attempt = head.header("Attempt-Id").unwrap_or("").to_owned();
            if head.header("Expected-Instance").is_some_and(|expected| expected != self.id) {
                return;
            }
            let length = head.length();
            // The body in order, checked as it arrives: the part read before the answer, and the rest.
            let before_answer = if trouble() { length.min(2000) } else { length };
            if !self.read_part(&mut stream, 0, before_answer) {
                return;
            }
            self.runs.lock().unwrap().push(attempt.clone());
            self.record.line(format!(
                "backend {} runs {attempt} ({} {}), has read {before_answer} of {length} bytes of the body",
                self.id,
                head.word(0),
                head.word(1)
            ));
            let headers = [("Attempt-Id", attempt.as_str()), ("Backend-Seal", "seal.1")];
            if write_message(&mut stream, "HTTP/1.1 200 OK", &headers, b"published").is_err() {
                return;
            }
            self.record.line(format!("backend {} has answered {attempt} with 200", self.id));
            if before_answer < length {
                thread::sleep(READS_ON_AFTER);
                let is_whole = self.read_part(&mut stream, before_answer, length - before_answer);
                self.record.line(format!("backend {} has read on after {attempt}, body whole: {is_whole}", self.id));
                if !is_whole {
                    return;
                }
            }
        }
    }

    fn read_part(&self, stream: &mut TcpStream, from: usize, bytes: usize) -> bool {
        let mut part = vec![0; bytes];
        stream.read_exact(&mut part).is_ok()
            && part.iter().enumerate().all(|(number, byte)| *byte == body_byte(from + number))
    }
}

/// Sends one try; returns the status, or 0 if the connection ended without an answer.
fn send(to: std::net::SocketAddr, attempt: &str) -> (u16, Option<String>) {
    let body: Vec<u8> = (0..BODY_BYTES).map(body_byte).collect();
    let patience = PATIENCE_MS.to_string();
    let headers = [
        ("Host", HOST),
        ("Attempt-Id", attempt),
        ("Remaining-Milliseconds", patience.as_str()),
        ("X-Api-Key", KEY),
    ];
    let patience = Duration::from_millis(PATIENCE_MS + 1000);
    match call(to, "POST /write/package HTTP/1.1", &headers, &body, patience) {
        Ok(answer) => (answer.status(), answer.header("Retry-After").map(str::to_owned)),
        Err(_) => (0, None),
    }
}

fn main() {
    let record = Record::create("review/3/record.txt");
    record.line(format!("TROUBLE={}", u8::from(trouble())));
    let runs = Arc::new(Mutex::new(Vec::new()));
    let deployment = Deployment::start(|ip| {
        (0..2).map(|number| Backend::start(&ip(110 + number), &format!("i-{number}"), &record, &runs)).collect()
    });
    let answer = deployment.order("POST", "/-/Configuration.Replace", &configuration(1));
    record.line(format!("operator: r1 answered {}", answer.status()));
    deployment.wait_until_ready();

    let mut clients = Vec::new();
    for number in 0..REQUESTS {
        let (to, record) = (deployment.frontend(number % 2), record.clone());
        clients.push(thread::spawn(move || {
            let attempt = format!("{:016x}", 0xa100 + number);
            let started = Instant::now();
            record.line(format!("client sends POST {attempt} with {BODY_BYTES} bytes to {to}"));
            let (status, retry_after) = send(to, &attempt);
            record.line(format!(
                "client got {status} for {attempt} after {} ms{}",
                started.elapsed().as_millis(),
                retry_after.map_or(String::new(), |wait| format!(", Retry-After: {wait}"))
            ));
            let _ = std::io::stdout().flush();
            (attempt, status)
        }));
        thread::sleep(Duration::from_millis(300));
    }
    let answers: Vec<_> = clients.into_iter().filter_map(|client| client.join().ok()).collect();
    let runs = runs.lock().unwrap().clone();
    if answers.len() != REQUESTS || runs.is_empty() {
        finish(deployment, &record, 2, "no request reached a backend: the case did not run");
    }
    let promises = [408, 421, 429, 503];
    let broken: Vec<_> =
        answers.iter().filter(|(attempt, status)| promises.contains(status) && runs.contains(attempt)).collect();
    let twice = answers.iter().filter(|(attempt, _)| runs.iter().filter(|run| *run == attempt).count() > 1).count();
    let served = answers.iter().filter(|(_, status)| *status == 200).count();
    let text = format!(
        "{} requests, {} runs, {served} answered 200, {} answered 503 (or 408, 421, 429) although they ran, {twice} ran twice",
        answers.len(),
        runs.len(),
        broken.len()
    );
    let held = broken.is_empty() && twice == 0;
    finish(deployment, &record, if held { 0 } else { 1 }, &text)
}
