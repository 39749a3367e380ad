//! The program under test and small stand-ins for all it talks to.
// Shared by several test files, each of which uses a part of it.
#![allow(dead_code)]

use serde_json::{Value, json};
use std::collections::VecDeque;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Longer than anything here takes; a test that waits so long has failed.
pub const LONG: Duration = Duration::from_secs(10);

/// One message as it came over a socket.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Message {
    pub first: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or_default()
    }

    /// Nothing where the connection ends first.
    pub fn read(from: &mut impl BufRead) -> Option<Message> {
        let mut line = || {
            let mut text = String::new();
            let read = from.read_line(&mut text).ok()?;
            (read > 0).then(|| text.trim_end().to_owned())
        };
        let mut message = Message { first: line()?, ..Message::default() };
        loop {
            let text = line()?;
            let Some((name, value)) = text.split_once(": ") else {
                break;
            };
            message.fields.push((name.to_owned(), value.to_owned()));
        }
        let length = message.field("Content-Length").and_then(|text| text.parse().ok()).unwrap_or(0);
        message.body = vec![0; length];
        from.read_exact(&mut message.body).ok()?;
        Some(message)
    }
}

pub fn ok(fields: &str, body: &str) -> Reaction {
    Reaction::Say(format!("HTTP/1.1 200 OK\r\n{fields}Content-Length: {}\r\n\r\n{body}", body.len()))
}

pub fn turned_away() -> Reaction {
    Reaction::Say("HTTP/1.1 503 Full\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n".to_owned())
}

/// What a backend does with a request.
#[derive(Clone, Debug)]
pub enum Reaction {
    Say(String),
    SayAndClose(String),
    Close,
    /// Says nothing, and tells once the door has closed the connection.
    Silence,
}

/// What a backend saw.
#[derive(Debug, PartialEq)]
pub enum Seen {
    Asked(Message),
    /// The door ended a connection on which a request was out.
    GivenUp,
    /// The backend ended one.
    Closed,
}

/// Plays its reactions in order; the last one again and again.
pub struct Backend {
    pub name: String,
    pub address: SocketAddr,
    pub seen: Receiver<Seen>,
    pub connections: Arc<AtomicU32>,
}

impl Backend {
    pub fn new(name: &str, reactions: Vec<Reaction>) -> Backend {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let (tell, seen) = channel();
        let connections = Arc::new(AtomicU32::new(0));
        let reactions = Arc::new(Mutex::new(VecDeque::from(reactions)));
        let counted = Arc::clone(&connections);
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                counted.fetch_add(1, Ordering::SeqCst);
                let (reactions, tell) = (Arc::clone(&reactions), tell.clone());
                thread::spawn(move || Backend::serve(stream, &reactions, &tell));
            }
        });
        Backend { name: name.to_owned(), address, seen, connections }
    }

    fn serve(stream: TcpStream, reactions: &Mutex<VecDeque<Reaction>>, tell: &Sender<Seen>) -> Option<()> {
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        let mut writer = stream;
        loop {
            let message = Message::read(&mut reader)?;
            // Before the reaction, so that a test that has the answer finds what led to it.
            tell.send(Seen::Asked(message)).ok()?;
            let reaction = {
                let mut reactions = reactions.lock().expect("no panic under the lock");
                if reactions.len() > 1 { reactions.pop_front() } else { reactions.front().cloned() }?
            };
            match reaction {
                Reaction::Say(text) => writer.write_all(text.as_bytes()).ok()?,
                Reaction::SayAndClose(text) => {
                    writer.write_all(text.as_bytes()).ok()?;
                    Backend::end(&writer)?;
                    return tell.send(Seen::Closed).ok();
                }
                Reaction::Close => return Backend::end(&writer),
                Reaction::Silence => {
                    let _ = reader.read_to_end(&mut Vec::new());
                    return tell.send(Seen::GivenUp).ok();
                }
            }
        }
    }

    /// Shut down, not dropped: another test's process may hold a copy until it has started.
    fn end(stream: &TcpStream) -> Option<()> {
        stream.shutdown(Shutdown::Both).ok()
    }

    pub fn entry(&self, status: &str) -> Value {
        json!({"name": self.name, "address": self.address.to_string(), "zone": "z", "type": "t", "group": 0,
            "status": status, "weight": 1.0, "since_ms": 0})
    }

    pub fn next(&self) -> Seen {
        self.seen.recv_timeout(LONG).expect("the backend sees something")
    }

    pub fn asked(&self) -> Message {
        match self.next() {
            Seen::Asked(message) => message,
            other => panic!("{other:?}"),
        }
    }
}

/// In a list's place: the agent closes its connection, or waits until the door does.
pub const CLOSE: &str = "close";
pub const SILENCE: &str = "silence";
pub const AWAY: &str = "away";

fn free_port() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|free| free.local_addr()).expect("a free port")
}

/// Answers each call with the next list it is given.
pub struct Agent {
    pub address: SocketAddr,
    pub lists: Sender<String>,
    pub calls: Receiver<String>,
}

impl Agent {
    pub fn new() -> Agent {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let (lists, given) = channel::<String>();
        let (tell, calls) = channel();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                Agent::serve(&stream, &given, &tell);
            }
        });
        Agent { address, lists, calls }
    }

    fn serve(mut stream: &TcpStream, given: &Receiver<String>, tell: &Sender<String>) -> Option<()> {
        let mut reader = BufReader::new(stream);
        loop {
            let message = Message::read(&mut reader)?;
            tell.send(message.first).ok()?;
            let body = given.recv().ok()?;
            match body.as_str() {
                CLOSE => return None,
                SILENCE => return reader.read_to_end(&mut Vec::new()).ok().map(drop),
                _ => {}
            }
            let status = if body == AWAY { "503 Service Unavailable" } else { "200 OK" };
            let head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n", body.len());
            stream.write_all((head + &body).as_bytes()).ok()?;
        }
    }

    pub fn call(&self) -> String {
        self.calls.recv_timeout(LONG).expect("discovery is called")
    }
}

pub fn list(index: u64, whole: bool, endpoints: &[Value]) -> String {
    json!({"index": index, "snapshot": whole, "endpoints": endpoints}).to_string()
}

/// The program; what it says is kept for when it ends.
pub struct Door {
    child: Child,
    pub address: SocketAddr,
    pub agent: Agent,
    said: Receiver<String>,
    path: PathBuf,
    pub commission: Value,
}

static DOORS: AtomicU32 = AtomicU32::new(0);

/// It may hold so many descriptors, whatever it is told.
pub fn program(commission: Option<&str>, descriptors: usize) -> (Command, PathBuf) {
    let number = DOORS.fetch_add(1, Ordering::SeqCst);
    let path = std::env::temp_dir().join(format!("vanewharf-gateway-{}-{number}.json", std::process::id()));
    let mut command = Command::new("sh");
    let limited = format!("ulimit -n {descriptors}; exec {}", env!("CARGO_BIN_EXE_vanewharf-gateway"));
    command
        .args(["-c", &limited])
        .env_remove("ROUTER_CONFIG")
        .env_remove("VANEWHARF_OPERATOR")
        .stdout(Stdio::null())
        .stderr(Stdio::piped());
    if let Some(text) = commission {
        std::fs::write(&path, text).expect("a file of our own");
        command.env("ROUTER_CONFIG", &path);
    }
    (command, path)
}

impl Door {
    /// `look` may run again, `book` must not; the plan `basic` lets two units through at once.
    pub fn start(backends: &[&Backend]) -> Door {
        Door::with(backends, 1024, 64, 1024)
    }

    /// With the shared quota counter allowed, at `counter`, 80 ms for a call, and eight doors.
    pub fn counting(backends: &[&Backend], counter: SocketAddr) -> Door {
        let change = |commission: &mut Value| {
            commission["counter"] = json!(counter.to_string());
            commission["settings"]["balancers"] = json!(8);
            commission["settings"]["family_info"] =
                json!({"most_units": 8, "shared_counter": true, "count_wait": 80.0});
        };
        Door::shaped(backends, 1024, 64, 1024, change)
    }

    pub fn with(backends: &[&Backend], sockets: usize, memory_mb: usize, descriptors: usize) -> Door {
        Door::shaped(backends, sockets, memory_mb, descriptors, |_| {})
    }

    pub fn shaped(
        backends: &[&Backend],
        sockets: usize,
        memory_mb: usize,
        descriptors: usize,
        change: impl FnOnce(&mut Value),
    ) -> Door {
        let agent = Agent::new();
        let mut free = free_port();
        let known: Vec<_> = backends.iter().map(|backend| backend.entry("SERVING")).collect();
        let plan = |name: &str, rate: f64| json!({"name": name, "rate": rate, "store_size": 2.0, "value_factor": 1.0, "excess_cost": 1.0});
        let mut commission = json!({
            "name": "n0", "listen": free.to_string(), "discovery": agent.address.to_string(), "seed": "8c1f",
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "counter": "127.0.0.1:1",
            "known": {"index": 4, "snapshot": true, "endpoints": known},
            "settings": {
                "balancers": 1,
                "allowed": {"cancel": true, "second_copies": true, "retry_after": true, "max_retry_after": 500.0,
                    "most_tries": 3, "conn_idle": 15000.0, "dial_timeout": 250.0},
                "classes": [{"name": "look", "aim": 400.0, "gain": 1.0, "idempotency": "retryable", "hard_limit": 3000},
                    {"name": "book", "aim": 400.0, "gain": 1.0, "idempotency": "fragile", "hard_limit": 3000}],
                "family_info": {"most_units": 8},
                "tiers_of_service": [plan("basic", 0.1), plan("gold", 0.0)],
                "rules": {"cold_from": 0.2, "ramp_time": 1000.0}
            }
        });
        change(&mut commission);
        // Beside the platform's settings, not among them: the operator's file.
        let operator = commission.as_object_mut().and_then(|fields| fields.remove("operator"));
        // The port was free a moment ago; where another process has taken it since, the program says so and ends.
        for _ in 0..5 {
            let (mut command, path) = program(Some(&commission.to_string()), descriptors);
            if let Some(Value::String(text)) = &operator {
                let file = path.with_extension("toml");
                std::fs::write(&file, text).expect("a file of our own");
                command.env("VANEWHARF_OPERATOR", &file);
            }
            let mut child = command.spawn().expect("the program starts");
            let (tell, said) = channel();
            let lines = BufReader::new(child.stderr.take().expect("its log")).lines();
            thread::spawn(move || lines.map_while(Result::ok).try_for_each(|line| tell.send(line)));
            if said.iter().any(|line| line.contains("serving")) {
                return Door { child, address: free, agent, said, path, commission };
            }
            child.wait().expect("it has ended");
            free = free_port();
            commission["listen"] = json!(free.to_string());
        }
        panic!("no port stays free");
    }

    /// Waits for a line of the log.
    pub fn says(&self, words: &str) -> String {
        loop {
            let line = self.said.recv_timeout(LONG).unwrap_or_else(|_| panic!("'{words}' is not said"));
            if line.contains(words) {
                return line;
            }
        }
    }

    /// One of the counters, printed on request.
    pub fn counter(&self, name: &str) -> u64 {
        self.signal("-USR1");
        let line = self.says("counters");
        let count =
            line.split(' ').find_map(|count| count.strip_prefix(name)?.strip_prefix('=')?.parse().ok());
        count.unwrap_or_else(|| panic!("{name} is not counted: {line}"))
    }

    /// Replaces the file and says so; with nothing, by one that cannot be read.
    pub fn reload(&mut self, discovery: Option<SocketAddr>) {
        let text = discovery.map_or("{".to_owned(), |address| {
            self.commission["discovery"] = json!(address.to_string());
            self.commission.to_string()
        });
        std::fs::write(&self.path, text).expect("a file of our own");
        self.signal("-HUP");
    }

    /// Nobody takes the log from the next line on.
    pub fn deafen(&mut self) {
        self.said = channel().1;
    }

    /// Memory in use, in KiB.
    pub fn memory(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).expect("it runs");
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).expect("a size");
        line.trim().trim_end_matches(" kB").parse().expect("a number")
    }

    pub fn signal(&self, name: &str) {
        let done = Command::new("kill").args([name, &self.child.id().to_string()]).status();
        assert!(done.expect("kill runs").success());
    }

    pub fn ended(&mut self) -> ExitStatus {
        self.child.wait().expect("it is our own child")
    }

    pub fn client(&self) -> Client {
        let stream = TcpStream::connect(self.address).expect("the door accepts");
        stream.set_read_timeout(Some(LONG)).expect("a time-out");
        Client { reader: BufReader::new(stream) }
    }
}

impl Drop for Door {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.path);
        let _ = std::fs::remove_file(self.path.with_extension("toml"));
    }
}

pub struct Client {
    reader: BufReader<TcpStream>,
}

/// A txn of one unit, for a customer of one door.
pub fn txn(method: &str, product: &str, plan: &str, left_ms: u32, body: &str) -> String {
    let length = if method == "GET" { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    format!(
        "{method} /{product}?key=00000000b4d65521 HTTP/1.1\r\nHost: backend.local\r\n\
         X-Correlation-Id: 9b1f03aa5c7e2d41\r\nX-Service-Class: {product}\r\nX-Plan: {plan}\r\n\
         X-Time-Left-Ms: {left_ms}\r\n{length}X-Quota: units=1,spread=1,first=0\r\n\r\n{body}"
    )
}

pub fn look() -> String {
    txn("GET", "look", "gold", 3000, "")
}

pub fn book() -> String {
    txn("POST", "book", "gold", 3000, "two seats")
}

/// Under another id, for while the first is open.
pub fn other(txn: String) -> String {
    txn.replace("9b1f03aa5c7e2d41", "1c7e2d419b1f03aa")
}

impl Client {
    pub fn send(&mut self, text: &str) {
        self.try_send(text).expect("the door reads");
    }

    pub fn try_send(&mut self, text: &str) -> std::io::Result<()> {
        self.reader.get_mut().write_all(text.as_bytes())
    }

    pub fn answer(&mut self) -> Message {
        Message::read(&mut self.reader).expect("the door answers")
    }

    pub fn ask(&mut self, text: &str) -> Message {
        self.send(text);
        self.answer()
    }

    /// Whether the door ends the connection with nothing more said.
    pub fn ends(&mut self) -> bool {
        matches!(self.reader.read(&mut [0]), Ok(0))
    }
}

pub fn timed<T>(work: impl FnOnce() -> T) -> (T, Duration) {
    let begun = Instant::now();
    let result = work();
    (result, begun.elapsed())
}
