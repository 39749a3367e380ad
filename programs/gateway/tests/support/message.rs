//! A simple reader of HTTP messages.

use std::io::BufRead;

/// A received message.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Message {
    pub start_line: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or_default()
    }

    /// Reads a message; returns `None` if the connection ends first.
    pub fn read(reader: &mut impl BufRead) -> Option<Message> {
        let mut line = || {
            let mut text = String::new();
            let read = reader.read_line(&mut text).ok()?;
            (read > 0).then(|| text.trim_end().to_owned())
        };
        let mut message = Message { start_line: line()?, ..Message::default() };
        loop {
            let text = line()?;
            let Some((name, value)) = text.split_once(": ") else {
                break;
            };
            message.fields.push((name.to_owned(), value.to_owned()));
        }
        let length = message.field("Content-Length").and_then(|text| text.parse().ok()).unwrap_or(0);
        message.body = vec![0; length];
        reader.read_exact(&mut message.body).ok()?;
        Some(message)
    }
}
