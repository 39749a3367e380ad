//! Reads messages of either kind from a connection's buffer.

use crate::body::BodyState;
use crate::error::ReadError;
use crate::head::{FirstLine, Head, MAX_HEAD_BYTES};
use crate::message::Message;
use bytes::{Buf, BytesMut};

pub(crate) const DEFAULT_MAX_BODY: usize = 64 * 1024;
/// How many interim replies (status 1xx) may precede a reply.
pub(crate) const MAX_INTERIM: usize = 16;
/// Most messages are smaller.
const USUAL_MESSAGE_BYTES: usize = 4 * 1024;

/// A message whose head was read and whose body was not yet, or not completely.
struct PartialMessage<L> {
    message: Message<L>,
    body: BodyState,
}

/// The state of reading from one connection.
pub(crate) struct MessageReader<L> {
    max_body: usize,
    /// How much of an incomplete head was scanned, so that each byte of one that arrives slowly costs little.
    scanned: usize,
    /// Interim heads before the current one.
    interim: usize,
    partial: Option<PartialMessage<L>>,
}

impl<L> Default for MessageReader<L> {
    fn default() -> Self {
        MessageReader::with_max_body(DEFAULT_MAX_BODY)
    }
}

impl<L> MessageReader<L> {
    pub(crate) fn with_max_body(max_body: usize) -> MessageReader<L> {
        MessageReader { max_body, scanned: 0, interim: 0, partial: None }
    }

    /// How many bytes of an incomplete message have left the connection's buffer.
    pub(crate) fn received_bytes(&self) -> usize {
        self.partial.as_ref().map_or(0, |partial| partial.message.text.len())
    }

    /// The memory that an incomplete message takes.
    pub(crate) fn buffered_bytes(&self) -> usize {
        self.partial.as_ref().map_or(0, |partial| partial.message.memory_bytes())
    }

    /// Whether a head may have ended since the last scan; empty lines before it are dropped.
    fn head_may_have_ended(&mut self, src: &mut BytesMut) -> bool {
        if src.is_empty() {
            // Compacts, so that the next message is not read in two pieces for want of room at the end.
            src.reserve(USUAL_MESSAGE_BYTES);
        }
        let blank = src.iter().take_while(|byte| matches!(byte, b'\r' | b'\n')).count();
        src.advance(blank);
        self.scanned = self.scanned.saturating_sub(blank).min(src.len());
        let has_line_end = src[self.scanned..].contains(&b'\n');
        self.scanned = src.len();
        has_line_end
    }

    fn begin(&mut self, src: &mut BytesMut, head: Head<L>) {
        let Head { line, length, fields, body, closes_connection } = head;
        let mut text = Vec::with_capacity(length + body.known_length());
        text.extend_from_slice(&src[..length]);
        src.advance(length);
        self.interim = 0;
        let message = Message { line, text, fields, body_start: length, closes_connection };
        self.partial = Some(PartialMessage { message, body });
    }

    /// The message, once its body is complete.
    fn finish(&mut self, src: &mut BytesMut) -> Result<Option<Message<L>>, ReadError> {
        let Some(PartialMessage { message, body }) = &mut self.partial else {
            return Ok(None);
        };
        body.read(src, &mut message.text, message.body_start, self.max_body)?;
        if body.is_complete() {
            return Ok(self.partial.take().map(|partial| partial.message));
        }
        Ok(None)
    }
}

impl<L: FirstLine> MessageReader<L> {
    /// The next complete message, if `src` has it.
    pub(crate) fn read(&mut self, src: &mut BytesMut) -> Result<Option<Message<L>>, ReadError> {
        while self.partial.is_none() {
            if !self.head_may_have_ended(src) {
                return if src.len() > MAX_HEAD_BYTES { Err(ReadError::HeadTooLarge) } else { Ok(None) };
            }
            let Some(head) = L::parse(src, self.max_body)? else {
                return Ok(None);
            };
            self.scanned = 0;
            if head.line.is_interim() {
                src.advance(head.length);
                self.interim += 1;
                if self.interim > MAX_INTERIM {
                    return Err(ReadError::Malformed("there is no end of interim answers"));
                }
            } else {
                self.begin(src, head);
            }
        }
        self.finish(src)
    }

    /// As [`MessageReader::read`], where no more bytes will be received.
    pub(crate) fn read_at_eof(&mut self, src: &mut BytesMut) -> Result<Option<Message<L>>, ReadError> {
        let message = self.read(src)?;
        if message.is_none() && (self.partial.is_some() || !src.is_empty()) {
            return Err(ReadError::UnexpectedEof);
        }
        Ok(message)
    }
}
