//! Incremental reading of requests or replies from a connection's buffer.

use crate::body::BodyState;
use crate::error::ReadError;
use crate::head::{FirstLine, Head, MAX_HEAD_BYTES, UNREADABLE_HEAD};
use crate::message::Message;
use bytes::{Buf, BytesMut};

/// Maximum size of a body, unless the codec is created with another one.
pub(crate) const DEFAULT_MAX_BODY_BYTES: usize = 64 * 1024;
/// Maximum number of interim replies (status 1xx) that may precede a reply.
pub(crate) const MAX_INTERIM_REPLIES: usize = 16;
/// Space reserved in an empty buffer. Most messages are smaller.
const RESERVED_BUFFER_BYTES: usize = 4 * 1024;

/// A message with a complete head and an incomplete body.
struct PartialMessage<L> {
    message: Message<L>,
    body: BodyState,
}

/// The state of reading from one connection.
pub(crate) struct MessageReader<L> {
    max_body: usize,
    /// Number of bytes of an incomplete head that were already scanned for a line end, so that a head that arrives in
    /// small pieces is not scanned repeatedly.
    scanned: usize,
    /// Number of interim replies before the current head.
    interim_replies: usize,
    partial: Option<PartialMessage<L>>,
}

impl<L> Default for MessageReader<L> {
    fn default() -> Self {
        MessageReader::with_max_body(DEFAULT_MAX_BODY_BYTES)
    }
}

impl<L> MessageReader<L> {
    pub(crate) fn with_max_body(max_body: usize) -> MessageReader<L> {
        MessageReader { max_body, scanned: 0, interim_replies: 0, partial: None }
    }

    /// Returns the number of bytes of an incomplete message that were moved out of the connection's buffer.
    pub(crate) fn received_bytes(&self) -> usize {
        self.partial.as_ref().map_or(0, |partial| partial.message.text.len())
    }

    /// Returns the memory that an incomplete message uses.
    pub(crate) fn buffered_bytes(&self) -> usize {
        self.partial.as_ref().map_or(0, |partial| partial.message.memory_bytes())
    }

    /// Starts a message with a complete head, which is moved out of `src`.
    fn begin(&mut self, src: &mut BytesMut, head: Head<L>) {
        let Head { line, length, fields, body, closes_connection } = head;
        let mut text = Vec::with_capacity(length + body.known_length());
        text.extend_from_slice(&src[..length]);
        src.advance(length);
        self.interim_replies = 0;
        let message = Message { line, text, fields, body_start: length, closes_connection };
        self.partial = Some(PartialMessage { message, body });
    }

    /// Reads more of the current message's body, and returns the message if it is complete.
    fn continue_body(&mut self, src: &mut BytesMut) -> Result<Option<Message<L>>, ReadError> {
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
    /// Returns whether the new input contains a line end, so that the head may be complete. Discards empty lines
    /// before the head, or fails if there must be none.
    fn head_may_have_ended(&mut self, src: &mut BytesMut) -> Result<bool, ReadError> {
        if src.is_empty() {
            // This compacts the buffer, so that the next message is not read in two pieces for lack of space at the
            // end.
            src.reserve(RESERVED_BUFFER_BYTES);
        }
        let empty_lines = src.iter().take_while(|byte| matches!(byte, b'\r' | b'\n')).count();
        if empty_lines > 0 && !L::SKIPS_EMPTY_LINES {
            return Err(UNREADABLE_HEAD);
        }
        src.advance(empty_lines);
        self.scanned = self.scanned.saturating_sub(empty_lines).min(src.len());
        let has_line_end = src[self.scanned..].contains(&b'\n');
        self.scanned = src.len();
        Ok(has_line_end)
    }

    /// Reads the next complete message, if `src` contains the rest of it.
    pub(crate) fn read(&mut self, src: &mut BytesMut) -> Result<Option<Message<L>>, ReadError> {
        while self.partial.is_none() {
            if !self.head_may_have_ended(src)? {
                return if src.len() > MAX_HEAD_BYTES { Err(ReadError::HeadTooLarge) } else { Ok(None) };
            }
            let Some(head) = L::parse(src, self.max_body)? else {
                return Ok(None);
            };
            self.scanned = 0;
            if head.line.is_interim() {
                src.advance(head.length);
                self.interim_replies += 1;
                if self.interim_replies > MAX_INTERIM_REPLIES {
                    return Err(ReadError::Malformed("there is no end of interim answers"));
                }
            } else {
                self.begin(src, head);
            }
        }
        self.continue_body(src)
    }

    /// Like [`MessageReader::read`], but fails on an incomplete message because no more input will arrive.
    pub(crate) fn read_at_eof(&mut self, src: &mut BytesMut) -> Result<Option<Message<L>>, ReadError> {
        let message = self.read(src)?;
        if message.is_none() && (self.partial.is_some() || !src.is_empty()) {
            return Err(ReadError::UnexpectedEof);
        }
        Ok(message)
    }
}
