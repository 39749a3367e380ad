//! Parsing of a message head: the first line, the fields, and how these frame the body and the connection.

use crate::body::BodyState;
use crate::error::ReadError;
use crate::message::{Field, RequestLine, Span, StatusLine};
use bytes::BytesMut;
use httparse::{Header, Status};
use std::mem::MaybeUninit;
use std::ops::RangeInclusive;

/// Maximum size of a head, with the empty line after it.
pub(crate) const MAX_HEAD_BYTES: usize = 64 * 1024;
const MAX_FIELDS: usize = 64;
/// The parser's number of version 1.0; that of version 1.1 is 1.
const HTTP_1_0: u8 = 0;
/// The status codes that exist (RFC 9110, section 15). The parser accepts any three digits.
const STATUS_CODES: RangeInclusive<u16> = 100..=599;
/// The status after which the connection carries another protocol. No request is sent with an `Upgrade` field, so no
/// server may reply with it (RFC 9110, section 7.8).
const SWITCHING_PROTOCOLS: u16 = 101;
const NO_CONTENT: u16 = 204;
/// Its fields may state the length of the body that a request without a condition would have had.
const NOT_MODIFIED: u16 = 304;

/// The head does not follow the grammar.
pub(crate) const UNREADABLE_HEAD: ReadError = ReadError::Malformed("the head cannot be read");

/// A complete head, with the framing of the rest of the message.
pub(crate) struct Head<L> {
    pub(crate) line: L,
    /// Length of the head in bytes, including the empty line after it.
    pub(crate) length: usize,
    pub(crate) fields: Vec<Field>,
    pub(crate) body: BodyState,
    /// Whether the connection ends after the message.
    pub(crate) closes_connection: bool,
}

/// The first line of a request or reply, which determines how the head is parsed.
pub(crate) trait FirstLine: Sized {
    /// Whether empty lines before the head are skipped.
    const SKIPS_EMPTY_LINES: bool;

    /// Parses a head; returns `None` if it is not complete yet.
    fn parse(src: &BytesMut, max_body: usize) -> Result<Option<Head<Self>>, ReadError>;

    /// Returns whether this is an interim reply, which is followed by another head.
    fn is_interim(&self) -> bool;
}

/// The framing of the body and the connection, as given by the fields.
#[derive(Default)]
struct Framing {
    length: Option<usize>,
    chunked: bool,
    close: bool,
    host_count: usize,
}

impl Framing {
    fn parse(headers: &[Header<'_>]) -> Result<Framing, ReadError> {
        let mut framing = Framing::default();
        for header in headers {
            framing.apply(header)?;
        }
        if framing.chunked && framing.length.is_some() {
            return Err(ReadError::Malformed("the body has both a length and a transfer coding"));
        }
        if framing.host_count > 1 {
            return Err(ReadError::Malformed("there is more than one host"));
        }
        Ok(framing)
    }

    fn apply(&mut self, Header { name, value }: &Header<'_>) -> Result<(), ReadError> {
        if name.eq_ignore_ascii_case("content-length") {
            let is_number = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
            let length = std::str::from_utf8(value).ok().and_then(|text| text.parse().ok());
            if !is_number || self.length.is_some() {
                return Err(ReadError::Malformed("the length of the body is not one number"));
            }
            // A value of digits only that cannot be parsed exceeds the range of the type.
            self.length = Some(length.ok_or(ReadError::BodyTooLarge)?);
        } else if name.eq_ignore_ascii_case("transfer-encoding") {
            if self.chunked || !value.eq_ignore_ascii_case(b"chunked") {
                return Err(ReadError::Malformed("the transfer coding is not known"));
            }
            self.chunked = true;
        } else if name.eq_ignore_ascii_case("connection") {
            let mut tokens = value.split(|&byte| byte == b',').map(<[u8]>::trim_ascii);
            self.close |= tokens.any(|token| token.eq_ignore_ascii_case(b"close"));
        } else if name.eq_ignore_ascii_case("host") {
            self.host_count += 1;
        }
        Ok(())
    }

    fn announces_content(&self) -> bool {
        self.chunked || self.length.is_some_and(|length| length > 0)
    }

    /// Returns whether the connection ends after the message. In HTTP/1.0, connections are not persistent by default.
    fn closes_connection(&self, version: u8) -> bool {
        self.close || version == HTTP_1_0
    }
}

impl FirstLine for RequestLine {
    const SKIPS_EMPTY_LINES: bool = true;

    fn parse(src: &BytesMut, max_body: usize) -> Result<Option<Head<RequestLine>>, ReadError> {
        let mut headers = [const { MaybeUninit::uninit() }; MAX_FIELDS];
        let mut parsed = httparse::Request::new(&mut []);
        let result = parsed.parse_with_uninit_headers(src, &mut headers);
        let Some(length) = head_length(result, src)? else {
            return Ok(None);
        };
        let span = |part: Option<&str>| Span::of(part.unwrap_or_default().as_bytes(), src);
        let line = RequestLine { method: span(parsed.method), target: span(parsed.path) };
        let framing = Framing::parse(parsed.headers)?;
        let closes_connection = framing.closes_connection(parsed.version.unwrap_or_default());
        let body = if framing.chunked {
            BodyState::ChunkSize
        } else {
            sized_body(framing.length.unwrap_or(0), max_body)?
        };
        Ok(Some(Head { line, length, fields: fields(parsed.headers, src), body, closes_connection }))
    }

    fn is_interim(&self) -> bool {
        false
    }
}

impl FirstLine for StatusLine {
    /// RFC 9112, section 2.2, allows them before requests only. The parser would skip them here as well.
    const SKIPS_EMPTY_LINES: bool = false;

    fn parse(src: &BytesMut, max_body: usize) -> Result<Option<Head<StatusLine>>, ReadError> {
        let mut headers = [const { MaybeUninit::uninit() }; MAX_FIELDS];
        let mut parsed = httparse::Response::new(&mut []);
        let parser = httparse::ParserConfig::default();
        let result = parser.parse_response_with_uninit_headers(&mut parsed, src, &mut headers);
        let Some(length) = head_length(result, src)? else {
            return Ok(None);
        };
        let line = StatusLine { status: checked_status(parsed.code)? };
        let version = parsed.version.unwrap_or_default();
        let framing = Framing::parse(parsed.headers)?;
        if framing.chunked && version == HTTP_1_0 {
            return Err(ReadError::Malformed("an HTTP/1.0 answer has a transfer coding"));
        }
        // A body that such a reply announces all the same may still come, and would be taken for the next reply.
        let announces_content = line.status == NO_CONTENT && framing.announces_content();
        let closes_connection = framing.closes_connection(version) || announces_content;
        let body = match framing.length {
            _ if line.is_interim() || matches!(line.status, NO_CONTENT | NOT_MODIFIED) => BodyState::COMPLETE,
            _ if framing.chunked => BodyState::ChunkSize,
            Some(length) => sized_body(length, max_body)?,
            // A body delimited by the end of the connection cannot be distinguished from a truncated one.
            None => return Err(ReadError::Malformed("the body's end is not told")),
        };
        Ok(Some(Head { line, length, fields: fields(parsed.headers, src), body, closes_connection }))
    }

    fn is_interim(&self) -> bool {
        (100..200).contains(&self.status)
    }
}

/// Returns the status code, or an error if it does not exist or cannot answer any request.
fn checked_status(code: Option<u16>) -> Result<u16, ReadError> {
    match code {
        Some(SWITCHING_PROTOCOLS) => Err(ReadError::Malformed("the answer switches to another protocol")),
        Some(code) if STATUS_CODES.contains(&code) => Ok(code),
        _ => Err(ReadError::Malformed("the status code is not valid")),
    }
}

/// Returns the length of the head if it is complete, or an error if it is malformed or too large.
fn head_length(parsed: httparse::Result<usize>, src: &BytesMut) -> Result<Option<usize>, ReadError> {
    match parsed {
        Ok(Status::Complete(length)) if length <= MAX_HEAD_BYTES => Ok(Some(length)),
        Ok(Status::Partial) if src.len() <= MAX_HEAD_BYTES => Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => Err(ReadError::HeadTooLarge),
        Err(_) => Err(UNREADABLE_HEAD),
    }
}

fn sized_body(length: usize, max_body: usize) -> Result<BodyState, ReadError> {
    if length > max_body { Err(ReadError::BodyTooLarge) } else { Ok(BodyState::Sized(length)) }
}

fn fields(headers: &[Header<'_>], src: &[u8]) -> Vec<Field> {
    let field = |header: &Header<'_>| Field {
        name: Span::of(header.name.as_bytes(), src),
        value: Span::of(header.value, src),
    };
    headers.iter().map(field).collect()
}
