//! A minimal HTTP/1.1 implementation for the fakes and the tests: blocking, one message at a time, with a read timeout.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const READ_TIMEOUT: Duration = Duration::from_secs(6);

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The words of the request line or status line, split at spaces.
    pub start_line: Vec<String>,
    /// Header names and values as received, in order.
    pub headers: Vec<(String, String)>,
    /// The body. Invalid UTF-8 is replaced.
    pub body: String,
}

impl Message {
    /// Returns the value of the first header with this name, compared case-insensitively.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the status of a response, or 0 if the message has none.
    pub fn status(&self) -> u16 {
        self.start_line.get(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// Returns the value of `Content-Length`, or 0 if there is none.
    pub fn content_length(&self) -> usize {
        self.header("Content-Length").and_then(|length| length.parse().ok()).unwrap_or(0)
    }

    /// Returns the path of a request.
    pub fn path(&self) -> &str {
        self.start_line.get(1).map_or("", String::as_str)
    }
}

/// Reads the next message. Returns `None` if the peer closes the connection before the head is complete.
///
/// # Errors
///
/// If reading fails or times out, or the connection ends within the body.
pub fn read_message(stream: &mut TcpStream) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(stream)? else {
        return Ok(None);
    };
    read_body(stream, &mut message)?;
    Ok(Some(message))
}

/// Reads the head of the next message and nothing of its body. Returns `None` if the peer closes the connection before the
/// head is complete.
///
/// # Errors
///
/// If reading fails or times out.
pub fn read_head(stream: &mut TcpStream) -> io::Result<Option<Message>> {
    let (mut head, mut byte) = (Vec::new(), [0; 1]);
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte)? == 0 {
            return Ok(None);
        }
        head.push(byte[0]);
    }
    Ok(Some(parse_head(&String::from_utf8_lossy(&head))))
}

/// Reads the body that belongs to the head of `message`.
///
/// # Errors
///
/// If reading fails or times out, or the connection ends within the body.
pub fn read_body(stream: &mut TcpStream, message: &mut Message) -> io::Result<()> {
    let mut body = vec![0; message.content_length()];
    stream.read_exact(&mut body)?;
    message.body = String::from_utf8_lossy(&body).into_owned();
    Ok(())
}

fn parse_head(head: &str) -> Message {
    let mut lines = head.lines();
    let start_line = lines.next().unwrap_or_default().split(' ').map(str::to_owned).collect();
    let header = |line: &str| line.split_once(": ").map(|(name, value)| (name.to_owned(), value.to_owned()));
    Message { start_line, headers: lines.filter_map(header).collect(), body: String::new() }
}

/// Writes one message and adds its `Content-Length` header.
///
/// # Errors
///
/// If writing fails.
pub fn write_message(
    stream: &mut TcpStream,
    start_line: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> io::Result<()> {
    let mut text = format!("{start_line}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n{body}", body.len()));
    stream.write_all(text.as_bytes())
}

/// Sends one request on a new connection and reads the response. Adds a `Host` header if `headers` has none.
///
/// # Errors
///
/// If the connection is not established within 0.5 s, the peer closes it without a response, or no data arrives for
/// 6 s.
pub fn send_request(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&to, CONNECT_TIMEOUT)?;
    stream.set_read_timeout(Some(READ_TIMEOUT))?;
    let address = to.to_string();
    let has_host = headers.iter().any(|(name, _)| *name == "Host");
    let mut all_headers = if has_host { Vec::new() } else { vec![("Host", address.as_str())] };
    all_headers.extend_from_slice(headers);
    write_message(&mut stream, &format!("{method} {path} HTTP/1.1"), &all_headers, body)?;
    read_message(&mut stream)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}
