//! From bytes to messages. What two readers could take for two different messages is a fault.

use crate::message::{Message, Reply, Request, RequestLine, Span, StatusLine};
use bytes::{Buf, BytesMut};
use httparse::{Header, Status};
use std::fmt;
use std::io;
use std::mem::MaybeUninit;
use tokio_util::codec::Decoder;

const MOST_HEAD: usize = 64 * 1024;
const MOST_BODY: usize = 64 * 1024;
const MOST_FIELDS: usize = 64;
const MOST_INTERIM: usize = 16;
/// Room for most messages whole.
const USUAL: usize = 4 * 1024;
/// A chunk's size line with its extensions, or all of a trailer.
const MOST_ASIDE: usize = 4 * 1024;

#[derive(Debug)]
pub enum ReadError {
    Io(io::Error),
    /// The connection ended in mid-message.
    UnexpectedEof,
    HeadTooLarge,
    BodyTooLarge,
    /// Never of a codec: for a reader that is short of memory.
    OutOfMemory,
    /// Never of a codec: for a reader whose patience is over.
    TimedOut,
    Malformed(&'static str),
}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ReadError::Io(error) => error.fmt(f),
            ReadError::UnexpectedEof => f.write_str("the connection ended in mid-message"),
            ReadError::HeadTooLarge => f.write_str("the head is too large"),
            ReadError::BodyTooLarge => f.write_str("the body is too large"),
            ReadError::TimedOut => f.write_str("the message did not come whole in time"),
            ReadError::OutOfMemory => f.write_str("there is no room for the message now"),
            ReadError::Malformed(what) => f.write_str(what),
        }
    }
}

impl std::error::Error for ReadError {}

impl From<io::Error> for ReadError {
    fn from(error: io::Error) -> ReadError {
        ReadError::Io(error)
    }
}

/// What of a body is still to come.
#[derive(Debug)]
pub(crate) enum Left {
    Counted(usize),
    Size,
    Chunk(usize),
    ChunkEnd,
    Trailer(usize),
}

/// A whole head, and what it says of the rest.
pub(crate) struct Head<L> {
    line: L,
    length: usize,
    fields: Vec<(Span, Span)>,
    left: Left,
    last: bool,
}

pub(crate) trait FirstLine: Sized {
    /// Nothing where the head is not whole yet.
    fn parse(src: &BytesMut, most_body: usize) -> Result<Option<Head<Self>>, ReadError>;

    /// Another head follows in its place.
    fn interim(&self) -> bool;
}

/// One message under way.
pub(crate) struct Reader<L> {
    most_body: usize,
    /// How much of a head has been looked through, so that each byte of a slow one costs little.
    seen: usize,
    /// Heads that another followed in their place.
    interim: usize,
    begun: Option<(Message<L>, Left)>,
}

impl<L> Default for Reader<L> {
    fn default() -> Self {
        Reader { most_body: MOST_BODY, seen: 0, interim: 0, begun: None }
    }
}

/// What a head says of the body and the connection.
#[derive(Default)]
struct Framing {
    length: Option<usize>,
    chunked: bool,
    close: bool,
    hosts: usize,
}

impl Framing {
    fn of(headers: &[Header<'_>]) -> Result<Framing, ReadError> {
        let mut framing = Framing::default();
        for Header { name, value } in headers {
            if name.eq_ignore_ascii_case("content-length") {
                let digits = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
                let length = std::str::from_utf8(value).ok().and_then(|text| text.parse().ok());
                if !digits || framing.length.is_some() {
                    return Err(ReadError::Malformed("the length of the body is not one number"));
                }
                framing.length = Some(length.ok_or(ReadError::BodyTooLarge)?);
            } else if name.eq_ignore_ascii_case("transfer-encoding") {
                if framing.chunked || !value.eq_ignore_ascii_case(b"chunked") {
                    return Err(ReadError::Malformed("the transfer coding is not known"));
                }
                framing.chunked = true;
            } else if name.eq_ignore_ascii_case("connection") {
                let mut tokens = value.split(|&byte| byte == b',').map(<[u8]>::trim_ascii);
                framing.close |= tokens.any(|token| token.eq_ignore_ascii_case(b"close"));
            } else if name.eq_ignore_ascii_case("host") {
                framing.hosts += 1;
            }
        }
        if framing.chunked && framing.length.is_some() {
            return Err(ReadError::Malformed("the body has both a length and a transfer coding"));
        }
        if framing.hosts > 1 {
            return Err(ReadError::Malformed("there is more than one host"));
        }
        Ok(framing)
    }

    /// Version 0 is HTTP/1.0, whose connections end unless both sides say otherwise.
    fn last(&self, version: u8) -> bool {
        self.close || version == 0
    }
}

impl<L> Reader<L> {
    /// Whether a head may have ended since the last look; empty lines before it are dropped.
    fn may_end(&mut self, src: &mut BytesMut) -> bool {
        if src.is_empty() {
            // Compacts, so that the next message is not read in two for want of room at the end.
            src.reserve(USUAL);
        }
        let blank = src.iter().take_while(|byte| matches!(byte, b'\r' | b'\n')).count();
        src.advance(blank);
        self.seen = self.seen.saturating_sub(blank).min(src.len());
        let news = src[self.seen..].contains(&b'\n');
        self.seen = src.len();
        news
    }

    fn begin(&mut self, src: &mut BytesMut, head: Head<L>) {
        let Head { line, length, fields, left, last } = head;
        let body = if let Left::Counted(length) = left { length } else { 0 };
        let mut text = Vec::with_capacity(length + body);
        text.extend_from_slice(&src[..length]);
        src.advance(length);
        self.interim = 0;
        self.begun = Some((Message { line, text, fields, body_at: length, last }, left));
    }

    /// The message, once its body is whole.
    fn finish(&mut self, src: &mut BytesMut) -> Result<Option<Message<L>>, ReadError> {
        let Some((message, left)) = &mut self.begun else {
            return Ok(None);
        };
        while fill(message, left, src, self.most_body)? {}
        if matches!(left, Left::Counted(0)) {
            return Ok(self.begun.take().map(|(message, _)| message));
        }
        Ok(None)
    }
}

impl<L: FirstLine> Reader<L> {
    fn next(&mut self, src: &mut BytesMut) -> Result<Option<Message<L>>, ReadError> {
        while self.begun.is_none() {
            if !self.may_end(src) {
                return if src.len() > MOST_HEAD { Err(ReadError::HeadTooLarge) } else { Ok(None) };
            }
            let Some(head) = L::parse(src, self.most_body)? else {
                return Ok(None);
            };
            self.seen = 0;
            if head.line.interim() {
                src.advance(head.length);
                self.interim += 1;
                if self.interim > MOST_INTERIM {
                    return Err(ReadError::Malformed("there is no end of interim answers"));
                }
            } else {
                self.begin(src, head);
            }
        }
        self.finish(src)
    }

    fn last(&mut self, src: &mut BytesMut) -> Result<Option<Message<L>>, ReadError> {
        let message = self.next(src)?;
        if message.is_none() && (self.begun.is_some() || !src.is_empty()) {
            return Err(ReadError::UnexpectedEof);
        }
        Ok(message)
    }
}

/// One step of a body; false when it is whole or needs more bytes.
fn fill<L>(
    message: &mut Message<L>,
    left: &mut Left,
    src: &mut BytesMut,
    most_body: usize,
) -> Result<bool, ReadError> {
    match left {
        Left::Counted(length) | Left::Chunk(length) => {
            let come = src.len().min(*length);
            message.text.extend_from_slice(&src[..come]);
            src.advance(come);
            *length -= come;
            if let Left::Chunk(0) = left {
                *left = Left::ChunkEnd;
                return Ok(true);
            }
            Ok(false)
        }
        Left::Size => match httparse::parse_chunk_size(src) {
            Ok(Status::Complete((taken, size))) => {
                let room = (most_body - (message.text.len() - message.body_at)) as u64;
                if size > room {
                    return Err(ReadError::BodyTooLarge);
                }
                src.advance(taken);
                *left = if size == 0 { Left::Trailer(0) } else { Left::Chunk(size as usize) };
                Ok(true)
            }
            Ok(Status::Partial) if src.len() <= MOST_ASIDE => Ok(false),
            _ => Err(ReadError::Malformed("a chunk's size cannot be read")),
        },
        Left::ChunkEnd => {
            if src.len() < 2 {
                return Ok(false);
            }
            if &src[..2] != b"\r\n" {
                return Err(ReadError::Malformed("a chunk does not end where it should"));
            }
            src.advance(2);
            *left = Left::Size;
            Ok(true)
        }
        Left::Trailer(taken) => {
            let end = src.iter().position(|&byte| byte == b'\n');
            if *taken + end.unwrap_or(src.len()) > MOST_ASIDE {
                return Err(ReadError::Malformed("the trailer is too large"));
            }
            let Some(end) = end else {
                return Ok(false);
            };
            let blank = src[..end].iter().all(|&byte| byte == b'\r');
            src.advance(end + 1);
            *taken += end + 1;
            if blank {
                *left = Left::Counted(0);
            }
            Ok(!blank)
        }
    }
}

fn spans(headers: &[Header<'_>], whole: &[u8]) -> Vec<(Span, Span)> {
    let span = |header: &Header<'_>| (Span::of(header.name.as_bytes(), whole), Span::of(header.value, whole));
    headers.iter().map(span).collect()
}

/// The head's length where it is whole; a fault where it is none or too much of one.
fn whole(parsed: httparse::Result<usize>, src: &BytesMut) -> Result<Option<usize>, ReadError> {
    match parsed {
        Ok(Status::Complete(head)) if head <= MOST_HEAD => Ok(Some(head)),
        Ok(Status::Partial) if src.len() <= MOST_HEAD => Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => Err(ReadError::HeadTooLarge),
        Err(_) => Err(ReadError::Malformed("the head cannot be read")),
    }
}

fn bounded(length: usize, most_body: usize) -> Result<Left, ReadError> {
    if length > most_body { Err(ReadError::BodyTooLarge) } else { Ok(Left::Counted(length)) }
}

impl FirstLine for RequestLine {
    fn parse(src: &BytesMut, most_body: usize) -> Result<Option<Head<RequestLine>>, ReadError> {
        let mut headers = [const { MaybeUninit::uninit() }; MOST_FIELDS];
        let mut parsed = httparse::Request::new(&mut []);
        let Some(length) = whole(parsed.parse_with_uninit_headers(src, &mut headers), src)? else {
            return Ok(None);
        };
        let span = |part: Option<&str>| Span::of(part.unwrap_or_default().as_bytes(), src);
        let line = RequestLine { method: span(parsed.method), target: span(parsed.path) };
        let framing = Framing::of(parsed.headers)?;
        let last = framing.last(parsed.version.unwrap_or_default());
        let left =
            if framing.chunked { Left::Size } else { bounded(framing.length.unwrap_or(0), most_body)? };
        Ok(Some(Head { line, length, fields: spans(parsed.headers, src), left, last }))
    }

    fn interim(&self) -> bool {
        false
    }
}

impl FirstLine for StatusLine {
    fn parse(src: &BytesMut, most_body: usize) -> Result<Option<Head<StatusLine>>, ReadError> {
        let mut headers = [const { MaybeUninit::uninit() }; MOST_FIELDS];
        let mut parsed = httparse::Response::new(&mut []);
        let parser = httparse::ParserConfig::default();
        let result = parser.parse_response_with_uninit_headers(&mut parsed, src, &mut headers);
        let Some(length) = whole(result, src)? else {
            return Ok(None);
        };
        let line = StatusLine { status: parsed.code.unwrap_or_default() };
        let framing = Framing::of(parsed.headers)?;
        let last = framing.last(parsed.version.unwrap_or_default());
        let left = match framing.length {
            _ if line.interim() || matches!(line.status, 204 | 304) => Left::Counted(0),
            _ if framing.chunked => Left::Size,
            Some(length) => bounded(length, most_body)?,
            // A body that ends with its connection cannot be told from one that was cut short.
            None => return Err(ReadError::Malformed("the body's end is not told")),
        };
        Ok(Some(Head { line, length, fields: spans(parsed.headers, src), left, last }))
    }

    fn interim(&self) -> bool {
        (100..200).contains(&self.status)
    }
}

/// Reads requests and writes answers.
#[derive(Default)]
pub struct ServerCodec(Reader<RequestLine>);

/// Writes requests and reads replies.
#[derive(Default)]
pub struct ClientCodec(Reader<StatusLine>);

macro_rules! decodes {
    ($codec:ident, $message:ident) => {
        impl $codec {
            /// For bodies of up to so many bytes.
            pub fn with_max_body(most_body: usize) -> $codec {
                $codec(Reader { most_body, ..Reader::default() })
            }

            /// How much of a message that is not whole yet has come.
            pub fn received_bytes(&self) -> usize {
                self.0.begun.as_ref().map_or(0, |(message, _)| message.text.len())
            }

            /// Bytes of a message that is not whole yet, beside those in the connection's buffer.
            pub fn buffered_bytes(&self) -> usize {
                self.0.begun.as_ref().map_or(0, |(message, _)| message.memory_bytes())
            }
        }

        impl Decoder for $codec {
            type Item = $message;
            type Error = ReadError;

            fn decode(&mut self, src: &mut BytesMut) -> Result<Option<$message>, ReadError> {
                self.0.next(src)
            }

            fn decode_eof(&mut self, src: &mut BytesMut) -> Result<Option<$message>, ReadError> {
                self.0.last(src)
            }
        }
    };
}

decodes!(ServerCodec, Request);
decodes!(ClientCodec, Reply);

#[cfg(test)]
mod tests {
    use super::*;

    /// All that comes out of the bytes, fed in parts of that size.
    fn fed<D: Decoder<Error = ReadError>>(
        bytes: &[u8],
        part: usize,
        mut codec: D,
    ) -> (Vec<D::Item>, Option<String>) {
        let (mut src, mut items) = (BytesMut::new(), Vec::new());
        for part in bytes.chunks(part) {
            src.extend_from_slice(part);
            loop {
                match codec.decode(&mut src) {
                    Ok(Some(item)) => items.push(item),
                    Ok(None) => break,
                    Err(fault) => return (items, Some(fault.to_string())),
                }
            }
        }
        let fault = codec.decode_eof(&mut src).err().map(|fault| fault.to_string());
        (items, fault)
    }

    #[test]
    fn messages_are_the_same_however_they_are_cut() {
        let bytes = b"\r\nPOST /a?b=c HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n\r\nab\
            GET /d HTTP/1.0\r\nEmpty:\r\nTransfer-Encoding: chunked\r\n\r\n\
            2;x=y\r\nef\r\n1\r\ng\r\n0\r\nTail: t\r\n\r\nGET /h HTTP/1.1\r\nConnection: x, Close\r\n\r\n";
        for part in 1..bytes.len() {
            let (requests, fault) = fed(bytes, part, ServerCodec::default());
            assert_eq!((requests.len(), fault), (3, None), "in parts of {part}");
            let [first, second, third] = &requests[..] else { unreachable!() };
            assert_eq!((first.method(), first.target(), first.body()), ("POST", "/a?b=c", &b"\r\nab"[..]));
            assert_eq!(
                (second.target(), second.field("empty"), second.body()),
                ("/d", Some(""), &b"efg"[..])
            );
            assert_eq!(
                [first.closes_connection(), second.closes_connection(), third.closes_connection()],
                [false, true, true]
            );
        }
    }

    #[test]
    fn replies_are_whole_or_a_fault() {
        let bytes = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 None\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        for part in 1..bytes.len() {
            let (replies, fault) = fed(bytes, part, ClientCodec::default());
            let told: Vec<_> = replies.iter().map(|reply| (reply.status(), reply.body())).collect();
            assert_eq!((told, fault), (vec![(204, &b""[..]), (200, &b"ok"[..])], None), "in parts of {part}");
        }
        let cut = Some("the connection ended in mid-message".to_owned());
        for length in (bytes.len() - 40..bytes.len()).filter(|&length| length != 46) {
            assert_eq!(fed(&bytes[..length], 7, ClientCodec::default()).1, cut, "cut at {length}");
        }
    }

    #[test]
    fn interim_answers_come_to_an_end() {
        let answer = |interim: usize| {
            ["HTTP/1.1 103 Early\r\nA: b\r\n\r\n".repeat(interim).as_str(), "HTTP/1.1 204 None\r\n\r\n"]
                .concat()
        };
        let twice = answer(MOST_INTERIM).repeat(2);
        assert_eq!(fed(twice.as_bytes(), 1000, ClientCodec::default()).0.len(), 2);
        let endless = fed(answer(MOST_INTERIM + 1).as_bytes(), 1000, ClientCodec::default());
        assert_eq!((endless.0.len(), endless.1.is_some()), (0, true));
    }

    #[test]
    fn what_is_too_large_is_a_fault_before_it_is_held() {
        let endless = |start: &str, more: &str| [start, &more.repeat(4 * MOST_BODY / more.len())].concat();
        let chunked = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
        let cases = [
            (endless("GET / HTTP/1.1\r\nA: ", "a"), "the head is too large"),
            (endless("GET / HTTP/1.1\r\n", "A: b\r\n"), "the head is too large"),
            (endless("GET /", "a"), "the head is too large"),
            ("POST / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n".to_owned(), "the body is too large"),
            (
                format!("POST / HTTP/1.1\r\nContent-Length: {}\r\n\r\n", "9".repeat(30)),
                "the body is too large",
            ),
            (endless(chunked, "5\r\nabcde\r\n"), "the body is too large"),
            (format!("{chunked}fffffffffffffff\r\n"), "the body is too large"),
            (endless(&format!("{chunked}1;"), "x"), "a chunk's size cannot be read"),
            (endless(&format!("{chunked}0\r\n"), "T: t\r\n"), "the trailer is too large"),
            (format!("{chunked}1\r\nabc\r\n"), "a chunk does not end where it should"),
        ];
        for (bytes, wanted) in cases {
            for part in [1000, 1 << 20] {
                let (items, fault) = fed(bytes.as_bytes(), part, ServerCodec::default());
                assert_eq!((items.len(), fault.as_deref()), (0, Some(wanted)), "{:.60}", bytes);
            }
        }
    }
}
