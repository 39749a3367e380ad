//! Complete messages, each of which owns its memory.

use std::ops::Range;

/// A range of a message's text. Offsets fit into 32 bits, because the sizes of head and body are bounded.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Span(u32, u32);

impl Span {
    /// Computes the position of `part` within `text`. An empty part may point elsewhere, because httparse returns a
    /// static slice for it.
    pub(crate) fn of(part: &[u8], text: &[u8]) -> Span {
        if part.is_empty() {
            return Span(0, 0);
        }
        let start = part.as_ptr() as usize - text.as_ptr() as usize;
        Span(start as u32, (start + part.len()) as u32)
    }

    pub(crate) fn range(self) -> Range<usize> {
        self.0 as usize..self.1 as usize
    }
}

/// The positions of a field's name and value.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Field {
    pub(crate) name: Span,
    pub(crate) value: Span,
}

/// The first line of a request.
#[derive(Debug, Default)]
pub struct RequestLine {
    pub(crate) method: Span,
    pub(crate) target: Span,
}

/// The first line of a reply.
#[derive(Debug)]
pub struct StatusLine {
    /// From 100 to 599.
    pub(crate) status: u16,
}

/// A message with a first line of type `L`, fields and a body.
#[derive(Debug)]
pub struct Message<L> {
    pub(crate) line: L,
    pub(crate) text: Vec<u8>,
    pub(crate) fields: Vec<Field>,
    pub(crate) body_start: usize,
    pub(crate) closes_connection: bool,
}

/// A request.
pub type Request = Message<RequestLine>;
/// A reply.
pub type Reply = Message<StatusLine>;

impl<L> Message<L> {
    /// Returns the names and values of all fields, in the order received.
    pub(crate) fn fields(&self) -> impl Iterator<Item = (&[u8], &[u8])> {
        self.fields.iter().map(|field| (&self.text[field.name.range()], &self.text[field.value.range()]))
    }

    /// Returns the value of the first field with this name, if the value is valid UTF-8.
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields().find(|(known, _)| known.eq_ignore_ascii_case(name.as_bytes()));
        found.and_then(|(_, value)| std::str::from_utf8(value).ok())
    }

    /// Returns whether there is any field with this name.
    pub fn has_field(&self, name: &str) -> bool {
        self.fields().any(|(known, _)| known.eq_ignore_ascii_case(name.as_bytes()))
    }

    /// Returns the value of the field with this name if there is exactly one. Of two fields, another parser might use
    /// the other one.
    pub fn unique_field(&self, name: &str) -> Option<&str> {
        let found = self.fields().filter(|(known, _)| known.eq_ignore_ascii_case(name.as_bytes()));
        if found.count() == 1 { self.field(name) } else { None }
    }

    /// Returns the body, which may be empty.
    pub fn body(&self) -> &[u8] {
        &self.text[self.body_start..]
    }

    /// Returns whether the connection ends after this message.
    pub fn closes_connection(&self) -> bool {
        self.closes_connection
    }

    /// Returns the memory used by the message's text.
    pub fn memory_bytes(&self) -> usize {
        self.text.capacity()
    }
}

impl Request {
    /// Creates a GET request with a `Host` field and no body.
    pub fn get(host: &str, target: &str) -> Request {
        let mut text = Vec::new();
        let mut append = |part: &str| {
            text.extend_from_slice(part.as_bytes());
            Span((text.len() - part.len()) as u32, text.len() as u32)
        };
        let line = RequestLine { method: append("GET"), target: append(target) };
        let fields = vec![Field { name: append("Host"), value: append(host) }];
        let body_start = text.len();
        Message { line, text, fields, body_start, closes_connection: false }
    }

    /// Returns the method; empty if it is not valid UTF-8.
    pub fn method(&self) -> &str {
        std::str::from_utf8(&self.text[self.line.method.range()]).unwrap_or_default()
    }

    /// Returns the path and query as received; empty if they are not valid UTF-8.
    pub fn target(&self) -> &str {
        std::str::from_utf8(&self.text[self.line.target.range()]).unwrap_or_default()
    }
}

impl Reply {
    /// Returns the status code, which is from 100 to 599.
    pub fn status(&self) -> u16 {
        self.line.status
    }
}
