//! Whole messages, each in a piece of memory of its own.

use std::ops::Range;

/// A place in a message's text. Offsets fit, as head and body are bounded.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Span(u32, u32);

impl Span {
    /// httparse gives an empty value as a slice from elsewhere.
    pub fn of(part: &[u8], whole: &[u8]) -> Span {
        if part.is_empty() {
            return Span(0, 0);
        }
        let start = part.as_ptr() as usize - whole.as_ptr() as usize;
        Span(start as u32, (start + part.len()) as u32)
    }

    pub fn range(self) -> Range<usize> {
        self.0 as usize..self.1 as usize
    }
}

#[derive(Debug, Default)]
pub struct RequestLine {
    pub(crate) method: Span,
    pub(crate) target: Span,
}

#[derive(Debug, Default)]
pub struct StatusLine {
    pub(crate) status: u16,
}

/// A first line, its fields and its body.
#[derive(Debug, Default)]
pub struct Message<L> {
    pub(crate) line: L,
    pub(crate) text: Vec<u8>,
    pub(crate) fields: Vec<(Span, Span)>,
    pub(crate) body_at: usize,
    pub(crate) last: bool,
}

pub type Request = Message<RequestLine>;
pub type Reply = Message<StatusLine>;

impl<L> Message<L> {
    pub(crate) fn fields(&self) -> impl Iterator<Item = (&[u8], &[u8])> {
        self.fields.iter().map(|(name, value)| (&self.text[name.range()], &self.text[value.range()]))
    }

    /// The first field of that name, if it is text.
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields().find(|(known, _)| known.eq_ignore_ascii_case(name.as_bytes()));
        found.and_then(|(_, value)| std::str::from_utf8(value).ok())
    }

    /// The field of that name where there is just one: of two, another reader may take the other.
    pub fn unique_field(&self, name: &str) -> Option<&str> {
        let found = self.fields().filter(|(known, _)| known.eq_ignore_ascii_case(name.as_bytes()));
        if found.count() == 1 { self.field(name) } else { None }
    }

    pub fn body(&self) -> &[u8] {
        &self.text[self.body_at..]
    }

    /// The connection carries nothing after it.
    pub fn closes_connection(&self) -> bool {
        self.last
    }

    pub fn memory_bytes(&self) -> usize {
        self.text.capacity()
    }
}

impl Request {
    pub fn get(host: &str, target: &str) -> Request {
        let mut text = Vec::new();
        let mut place = |part: &str| {
            text.extend_from_slice(part.as_bytes());
            Span((text.len() - part.len()) as u32, text.len() as u32)
        };
        let line = RequestLine { method: place("GET"), target: place(target) };
        let fields = vec![(place("Host"), place(host))];
        let body_at = text.len();
        Message { line, text, fields, body_at, last: false }
    }

    pub fn method(&self) -> &str {
        std::str::from_utf8(&self.text[self.line.method.range()]).unwrap_or_default()
    }

    /// Path and query, as they came.
    pub fn target(&self) -> &str {
        std::str::from_utf8(&self.text[self.line.target.range()]).unwrap_or_default()
    }
}

impl Reply {
    pub fn status(&self) -> u16 {
        self.line.status
    }
}
