//! From messages to bytes.

use crate::message::{Message, Reply, Request};
use crate::read::{ClientCodec, ServerCodec};
use bytes::BytesMut;
use std::io::{self, Write};
use tokio_util::codec::Encoder;

/// A request as it came, but for what belongs to one connection and the fields set anew.
pub struct ForwardedRequest<'a> {
    pub request: &'a Request,
    pub set_headers: &'a [(&'a str, &'a str)],
    pub removed_headers: &'a [&'a str],
}

/// A reply's status and body as they came, but for what belongs to one connection and the fields
/// held back.
pub struct ForwardedReply<'a> {
    pub reply: &'a Reply,
    pub removed_headers: &'a [&'a str],
    pub close: bool,
}

/// An answer of our own.
pub struct PlainReply<'a> {
    pub status: u16,
    pub fields: &'a [(&'a str, &'a str)],
    pub body: &'a [u8],
    pub close: bool,
}

const OF_ONE_CONNECTION: [&str; 9] = [
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

fn reason(status: u16) -> &'static str {
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

fn put_number(dst: &mut BytesMut, number: usize) {
    let mut digits = [0; 20];
    let mut rest = &mut digits[..];
    // Twenty digits hold any number.
    let _ = write!(rest, "{number}");
    let free = rest.len();
    dst.extend_from_slice(&digits[..20 - free]);
}

fn put_body(dst: &mut BytesMut, body: &[u8], told: bool) {
    if told {
        dst.extend_from_slice(b"Content-Length: ");
        put_number(dst, body.len());
        dst.extend_from_slice(b"\r\n");
    }
    dst.extend_from_slice(b"\r\n");
    dst.extend_from_slice(body);
}

/// All fields that outlive the connection, without the named ones.
fn put_lasting<'a, L>(
    dst: &mut BytesMut,
    message: &Message<L>,
    without: impl Iterator<Item = &'a str> + Clone,
) {
    let is = |name: &[u8], other: &str| name.eq_ignore_ascii_case(other.as_bytes());
    // A peer may tie further fields to its connection by naming them there.
    let ties: Vec<_> =
        message.fields().filter(|(name, _)| is(name, "connection")).map(|(_, value)| value).collect();
    let tied = |name: &[u8]| {
        let mut tokens = ties.iter().flat_map(|value| value.split(|&byte| byte == b','));
        tokens.any(|token| token.trim_ascii().eq_ignore_ascii_case(name))
    };
    for (name, value) in message.fields() {
        let held = OF_ONE_CONNECTION.iter().copied().chain(without.clone()).any(|other| is(name, other));
        if !held && !tied(name) {
            put_field(dst, name, value);
        }
    }
}

fn put_status(dst: &mut BytesMut, status: u16, last: bool) {
    dst.extend_from_slice(b"HTTP/1.1 ");
    put_number(dst, status.into());
    dst.extend_from_slice(b" ");
    dst.extend_from_slice(reason(status).as_bytes());
    dst.extend_from_slice(b"\r\n");
    if last {
        dst.extend_from_slice(b"Connection: close\r\n");
    }
}

impl Encoder<ForwardedRequest<'_>> for ClientCodec {
    type Error = io::Error;

    fn encode(&mut self, item: ForwardedRequest<'_>, dst: &mut BytesMut) -> io::Result<()> {
        let message = item.request;
        dst.reserve(message.text.len() + 128);
        dst.extend_from_slice(&message.text[message.line.method.range()]);
        dst.extend_from_slice(b" ");
        dst.extend_from_slice(&message.text[message.line.target.range()]);
        dst.extend_from_slice(b" HTTP/1.1\r\n");
        let without = item.removed_headers.iter().copied();
        put_lasting(dst, message, item.set_headers.iter().map(|(name, _)| *name).chain(without));
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
        dst.reserve(message.text.len() + 128);
        put_status(dst, message.line.status, item.close);
        put_lasting(dst, message, item.removed_headers.iter().copied());
        put_body(dst, message.body(), true);
        Ok(())
    }
}

impl Encoder<PlainReply<'_>> for ServerCodec {
    type Error = io::Error;

    fn encode(&mut self, item: PlainReply<'_>, dst: &mut BytesMut) -> io::Result<()> {
        put_status(dst, item.status, item.close);
        for (name, value) in item.fields {
            put_field(dst, name.as_bytes(), value.as_bytes());
        }
        put_body(dst, item.body, true);
        Ok(())
    }
}
