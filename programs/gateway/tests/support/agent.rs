//! A stand-in for the discovery agent, with lists from the test.

use super::{Message, TEST_TIMEOUT};
use serde_json::{Value, json};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;

/// Sent in place of a list, these make the agent close the connection, send nothing until the gateway closes it, or
/// refuse the call.
pub const CLOSE: &str = "close";
pub const UNRESPONSIVE: &str = "unresponsive";
pub const REFUSE: &str = "refuse";
/// Sent before a reply, this makes the agent write it byte for byte.
pub const RAW: &str = "raw:";

/// A discovery agent that answers each call with the next list from the test.
pub struct Agent {
    pub address: SocketAddr,
    pub lists: Sender<String>,
    pub calls: Receiver<String>,
}

impl Agent {
    pub fn new() -> Agent {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let (lists, received_lists) = channel::<String>();
        let (call_sender, calls) = channel();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                Agent::serve(&stream, &received_lists, &call_sender);
            }
        });
        Agent { address, lists, calls }
    }

    fn serve(
        mut stream: &TcpStream,
        received_lists: &Receiver<String>,
        call_sender: &Sender<String>,
    ) -> Option<()> {
        let mut reader = BufReader::new(stream);
        loop {
            let message = Message::read(&mut reader)?;
            call_sender.send(message.start_line).ok()?;
            let body = received_lists.recv().ok()?;
            match body.as_str() {
                CLOSE => return None,
                UNRESPONSIVE => return reader.read_to_end(&mut Vec::new()).ok().map(drop),
                _ => {}
            }
            if let Some(raw) = body.strip_prefix(RAW) {
                stream.write_all(raw.as_bytes()).ok()?;
                continue;
            }
            let status = if body == REFUSE { "503 Service Unavailable" } else { "200 OK" };
            let head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n", body.len());
            stream.write_all((head + &body).as_bytes()).ok()?;
        }
    }

    pub fn next_call(&self) -> String {
        self.calls.recv_timeout(TEST_TIMEOUT).expect("a call to the discovery agent")
    }
}

pub fn list(index: u64, snapshot: bool, endpoints: &[Value]) -> String {
    json!({"index": index, "snapshot": snapshot, "endpoints": endpoints}).to_string()
}
