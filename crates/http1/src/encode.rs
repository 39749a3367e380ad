//! Encoders of messages. Hop-by-hop fields, and the fields that the `Connection` field of a message names, are not
//! forwarded.

use crate::codec::{ClientCodec, ServerCodec};
use crate::message::{Message, Reply, Request};
use bytes::BytesMut;
use std::io::{self, Write};
use tokio_util::codec::Encoder;

/// A received request to be forwarded, without its hop-by-hop fields and with the changes given here.
pub struct ForwardedRequest<'a> {
    /// The request that was received.
    pub request: &'a Request,
    /// Fields to set, replacing received fields of the same name.
    pub set_headers: &'a [(&'a str, &'a str)],
    /// Fields to remove.
    pub removed_headers: &'a [&'a str],
}

/// A received reply to be forwarded, without its hop-by-hop fields and without the fields removed here.
pub struct ForwardedReply<'a> {
    /// The reply that was received.
    pub reply: &'a Reply,
    /// Fields to remove.
    pub removed_headers: &'a [&'a str],
    /// Whether to close the connection after the reply.
    pub close: bool,
}

/// A reply that this process generates itself.
pub struct LocalReply<'a> {
    /// The status code.
    pub status: u16,
    /// Fields in addition to those that frame the body.
    pub fields: &'a [(&'a str, &'a str)],
    /// The body.
    pub body: &'a [u8],
    /// Whether to close the connection after the reply.
    pub close: bool,
}

/// Space reserved for the first line and the fields that frame the body.
const FRAMING_BYTES: usize = 128;

/// Fields that apply only to the connection on which they were received, in lower case.
const HOP_BY_HOP_FIELDS: [&str; 9] = [
    "connection",
    "content-length",
    "expect",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        307 => "Temporary Redirect",
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Other",
    }
}

fn put_field(dst: &mut BytesMut, name: &[u8], value: &[u8]) {
    for part in [name, b": ", value, b"\r\n"] {
        dst.extend_from_slice(part);
    }
}

/// Number of decimal digits of the largest 64-bit number.
const MAX_DIGITS: usize = 20;

fn put_number(dst: &mut BytesMut, number: usize) {
    let mut digits = [0; MAX_DIGITS];
    let mut rest = &mut digits[..];
    // Writing cannot fail, as the buffer holds the digits of any number.
    let _ = write!(rest, "{number}");
    let unused = rest.len();
    dst.extend_from_slice(&digits[..MAX_DIGITS - unused]);
}

/// Writes the end of the head and the body, preceded by `Content-Length` if `with_length` is set.
fn put_body(dst: &mut BytesMut, body: &[u8], with_length: bool) {
    if with_length {
        dst.extend_from_slice(b"Content-Length: ");
        put_number(dst, body.len());
        dst.extend_from_slice(b"\r\n");
    }
    dst.extend_from_slice(b"\r\n");
    dst.extend_from_slice(body);
}

/// Writes all fields except hop-by-hop fields and those in `removed`.
fn put_forwarded_fields<'a, L>(
    dst: &mut BytesMut,
    message: &Message<L>,
    removed: impl Iterator<Item = &'a str> + Clone,
) {
    let is_same_name = |name: &[u8], other: &str| name.eq_ignore_ascii_case(other.as_bytes());
    // The `Connection` field may name further hop-by-hop fields.
    let connection_values: Vec<_> = message
        .fields()
        .filter(|(name, _)| is_same_name(name, "connection"))
        .map(|(_, value)| value)
        .collect();
    let is_connection_option = |name: &[u8]| {
        let mut tokens = connection_values.iter().flat_map(|value| value.split(|&byte| byte == b','));
        tokens.any(|token| token.trim_ascii().eq_ignore_ascii_case(name))
    };
    for (name, value) in message.fields() {
        let is_removed =
            HOP_BY_HOP_FIELDS.iter().copied().chain(removed.clone()).any(|other| is_same_name(name, other));
        if !is_removed && !is_connection_option(name) {
            put_field(dst, name, value);
        }
    }
}

fn put_status(dst: &mut BytesMut, status: u16, close: bool) {
    dst.extend_from_slice(b"HTTP/1.1 ");
    put_number(dst, status.into());
    dst.extend_from_slice(b" ");
    dst.extend_from_slice(reason_phrase(status).as_bytes());
    dst.extend_from_slice(b"\r\n");
    if close {
        dst.extend_from_slice(b"Connection: close\r\n");
    }
}

impl Encoder<ForwardedRequest<'_>> for ClientCodec {
    type Error = io::Error;

    fn encode(&mut self, item: ForwardedRequest<'_>, dst: &mut BytesMut) -> io::Result<()> {
        let message = item.request;
        dst.reserve(message.text.len() + FRAMING_BYTES);
        dst.extend_from_slice(&message.text[message.line.method.range()]);
        dst.extend_from_slice(b" ");
        dst.extend_from_slice(&message.text[message.line.target.range()]);
        dst.extend_from_slice(b" HTTP/1.1\r\n");
        let set = item.set_headers.iter().map(|(name, _)| *name);
        put_forwarded_fields(dst, message, set.chain(item.removed_headers.iter().copied()));
        for (name, value) in item.set_headers {
            put_field(dst, name.as_bytes(), value.as_bytes());
        }
        put_body(dst, message.body(), !message.body().is_empty() || item.request.method() != "GET");
        Ok(())
    }
}

impl Encoder<ForwardedReply<'_>> for ServerCodec {
    type Error = io::Error;

    fn encode(&mut self, item: ForwardedReply<'_>, dst: &mut BytesMut) -> io::Result<()> {
        let message = item.reply;
        dst.reserve(message.text.len() + FRAMING_BYTES);
        put_status(dst, message.line.status, item.close);
        put_forwarded_fields(dst, message, item.removed_headers.iter().copied());
        put_body(dst, message.body(), true);
        Ok(())
    }
}

impl Encoder<LocalReply<'_>> for ServerCodec {
    type Error = io::Error;

    fn encode(&mut self, item: LocalReply<'_>, dst: &mut BytesMut) -> io::Result<()> {
        put_status(dst, item.status, item.close);
        for (name, value) in item.fields {
            put_field(dst, name.as_bytes(), value.as_bytes());
        }
        put_body(dst, item.body, true);
        Ok(())
    }
}
