//! Messages as the stand-ins read and write them: one at a time, blocking, in time.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

const WITHIN: Duration = Duration::from_secs(6);

#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line's words.
    pub line: Vec<String>,
    pub fields: Vec<(String, String)>,
    pub body: String,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.line.get(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.line.get(1).map_or("", String::as_str)
    }
}

/// The next message; none where the other side has ended the connection.
pub fn read(stream: &mut TcpStream) -> io::Result<Option<Message>> {
    let (mut head, mut byte) = (Vec::new(), [0; 1]);
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte)? == 0 {
            return Ok(None);
        }
        head.push(byte[0]);
    }
    let text = String::from_utf8_lossy(&head).into_owned();
    let mut lines = text.lines();
    let line = lines.next().unwrap_or_default().split(' ').map(str::to_owned).collect();
    let field = |line: &str| line.split_once(": ").map(|(name, value)| (name.to_owned(), value.to_owned()));
    let fields: Vec<_> = lines.filter_map(field).collect();
    let mut message = Message { line, fields, body: String::new() };
    let length = message.field("Content-Length").and_then(|length| length.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body)?;
    message.body = String::from_utf8_lossy(&body).into_owned();
    Ok(Some(message))
}

pub fn write(stream: &mut TcpStream, line: &str, fields: &[(&str, &str)], body: &str) -> io::Result<()> {
    let mut text = format!("{line}\r\n");
    for (name, value) in fields {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n{body}", body.len()));
    stream.write_all(text.as_bytes())
}

/// One call on a connection of its own.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    fields: &[(&str, &str)],
    body: &str,
) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_millis(500))?;
    stream.set_read_timeout(Some(WITHIN))?;
    let host = fields.iter().any(|(name, _)| *name == "Host");
    let own = to.to_string();
    let mut all: Vec<_> = if host { Vec::new() } else { vec![("Host", own.as_str())] };
    all.extend_from_slice(fields);
    write(&mut stream, &format!("{method} {path} HTTP/1.1"), &all, body)?;
    read(&mut stream)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}
