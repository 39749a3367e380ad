//! A client of the gateway, and the text of its requests.

use super::{Message, TEST_TIMEOUT};
use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};

/// One connection to the gateway.
pub struct Client {
    reader: BufReader<TcpStream>,
}

/// The text of a request that costs one unit, from a customer that uses one gateway only.
pub fn request_text(method: &str, product: &str, plan: &str, left_ms: u32, body: &str) -> String {
    let length = if method == "GET" { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    format!(
        "{method} /{product}?key=00000000b4d65521 HTTP/1.1\r\nHost: backend.local\r\n\
         X-Correlation-Id: 9b1f03aa5c7e2d41\r\nX-Service-Class: {product}\r\nX-Plan: {plan}\r\n\
         X-Time-Left-Ms: {left_ms}\r\n{length}X-Quota: units=1,spread=1,first=0\r\n\r\n{body}"
    )
}

pub fn look_request() -> String {
    request_text("GET", "look", "gold", 3000, "")
}

pub fn book_request() -> String {
    request_text("POST", "book", "gold", 3000, "two seats")
}

/// The same request with another id, which may be sent while the first is in flight.
pub fn with_other_id(request: String) -> String {
    request.replace("9b1f03aa5c7e2d41", "1c7e2d419b1f03aa")
}

impl Client {
    pub fn connect(address: SocketAddr) -> Client {
        let stream = TcpStream::connect(address).expect("the gateway accepts the connection");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a read timeout");
        Client { reader: BufReader::new(stream) }
    }

    pub fn send(&mut self, text: &str) {
        self.try_send(text).expect("the gateway reads the request");
    }

    pub fn try_send(&mut self, text: &str) -> std::io::Result<()> {
        self.reader.get_mut().write_all(text.as_bytes())
    }

    pub fn read_answer(&mut self) -> Message {
        Message::read(&mut self.reader).expect("the gateway answers")
    }

    pub fn request(&mut self, text: &str) -> Message {
        self.send(text);
        self.read_answer()
    }

    /// Whether the gateway closes the connection without writing anything more.
    pub fn is_closed_by_gateway(&mut self) -> bool {
        let read = loop {
            match self.reader.read(&mut [0]) {
                // A read with a timeout fails with EINTR if the process is stopped and continued, whatever the state
                // of the connection.
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                read => break read,
            }
        };
        let closed = matches!(read, Ok(0));
        if !closed {
            eprintln!("the connection was not closed: {read:?}");
        }
        closed
    }
}
