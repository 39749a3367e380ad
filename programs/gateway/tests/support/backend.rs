//! A stand-in for a backend, with reactions to requests from the test.

use super::{Message, TEST_TIMEOUT};
use serde_json::{Value, json};
use socket2::SockRef;
use std::collections::VecDeque;
use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;

const SMALL_WINDOW_BYTES: usize = 2048;
const ETHERNET_SEGMENT_BYTES: u32 = 1460;

pub fn ok(fields: &str, body: &str) -> Reaction {
    Reaction::Reply(format!("HTTP/1.1 200 OK\r\n{fields}Content-Length: {}\r\n\r\n{body}", body.len()))
}

pub fn rejected() -> Reaction {
    Reaction::Reply("HTTP/1.1 503 Full\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n".to_owned())
}

/// A backend's reaction to a request.
#[derive(Clone, Debug)]
pub enum Reaction {
    /// Writes this reply and keeps the connection open.
    Reply(String),
    /// Writes this reply and closes the connection.
    ReplyAndClose(String),
    /// Closes the connection.
    Close,
    /// Writes nothing, and reports [`Seen::Abandoned`] once the gateway closes the connection.
    Unresponsive,
}

/// An event that a backend observed.
#[derive(Debug, PartialEq)]
pub enum Seen {
    /// It received a request.
    Requested(Message),
    /// The gateway closed a connection with a request in flight.
    Abandoned,
    /// The backend closed a connection after its reply.
    Closed,
}

/// A backend that performs its reactions in order and repeats the last one.
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
        let (events, seen) = channel();
        let connections = Arc::new(AtomicU32::new(0));
        let reactions = Arc::new(Mutex::new(VecDeque::from(reactions)));
        let counted = Arc::clone(&connections);
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                counted.fetch_add(1, Ordering::SeqCst);
                let (reactions, events) = (Arc::clone(&reactions), events.clone());
                thread::spawn(move || Backend::serve(stream, &reactions, &events));
            }
        });
        Backend { name: name.to_owned(), address, seen, connections }
    }

    /// A backend whose connections are handled by `serve`. It accepts only a small part of a large request until it reads.
    pub fn with_small_window(name: &str, serve: impl Fn(TcpStream) + Send + Sync + 'static) -> Backend {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        // Accepted connections inherit both. Loopback's own segments would be larger than the window.
        SockRef::from(&listener).set_recv_buffer_size(SMALL_WINDOW_BYTES).expect("a buffer size");
        SockRef::from(&listener).set_tcp_mss(ETHERNET_SEGMENT_BYTES).expect("a segment size");
        let connections = Arc::new(AtomicU32::new(0));
        let counted = Arc::clone(&connections);
        let serve = Arc::new(serve);
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                counted.fetch_add(1, Ordering::SeqCst);
                let serve = Arc::clone(&serve);
                thread::spawn(move || serve(stream));
            }
        });
        Backend { name: name.to_owned(), address, seen: channel().1, connections }
    }

    fn serve(stream: TcpStream, reactions: &Mutex<VecDeque<Reaction>>, events: &Sender<Seen>) -> Option<()> {
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        let mut writer = stream;
        loop {
            let message = Message::read(&mut reader)?;
            // Reported before the reaction, so that a test that has the answer finds its request here.
            events.send(Seen::Requested(message)).ok()?;
            let reaction = {
                let mut reactions = reactions.lock().expect("the lock is not poisoned");
                if reactions.len() > 1 { reactions.pop_front() } else { reactions.front().cloned() }?
            };
            match reaction {
                Reaction::Reply(text) => writer.write_all(text.as_bytes()).ok()?,
                Reaction::ReplyAndClose(text) => {
                    writer.write_all(text.as_bytes()).ok()?;
                    Backend::shut_down(&writer)?;
                    return events.send(Seen::Closed).ok();
                }
                Reaction::Close => return Backend::shut_down(&writer),
                Reaction::Unresponsive => {
                    let _ = reader.read_to_end(&mut Vec::new());
                    return events.send(Seen::Abandoned).ok();
                }
            }
        }
    }

    /// Shuts the connection down. Dropping it is not enough: a process that another test is starting may hold a copy of
    /// the descriptor until it executes its program.
    fn shut_down(stream: &TcpStream) -> Option<()> {
        stream.shutdown(Shutdown::Both).ok()
    }

    pub fn entry(&self, status: &str) -> Value {
        json!({"name": self.name, "address": self.address.to_string(), "zone": "z", "type": "t", "group": 0,
            "status": status, "weight": 1.0, "since_ms": 0})
    }

    pub fn next_seen(&self) -> Seen {
        self.seen.recv_timeout(TEST_TIMEOUT).expect("an event at the backend")
    }

    pub fn next_request(&self) -> Message {
        match self.next_seen() {
            Seen::Requested(message) => message,
            other => panic!("expected a request: {other:?}"),
        }
    }
}
