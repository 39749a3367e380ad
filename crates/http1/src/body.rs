//! Incremental reading of a message body, either with a known length or chunked.

use crate::chunk_size::{ChunkSizeLine, InvalidChunkSize};
use crate::error::ReadError;
use crate::grammar::is_field_line;
use bytes::{Buf, BytesMut};

/// Maximum size of a chunk's size line with its extensions, and of a whole trailer section.
const MAX_CHUNK_OVERHEAD_BYTES: usize = 4 * 1024;
const CHUNK_END: &[u8] = b"\r\n";

/// The part of a body that is read next.
#[derive(Debug)]
pub(crate) enum BodyState {
    /// The rest of a body with a known length, in bytes.
    Sized(usize),
    /// The size line of a chunk.
    ChunkSize,
    /// The rest of a chunk, in bytes.
    Chunk(usize),
    /// The line break after a chunk.
    ChunkEnd,
    /// The trailer section, with the number of its bytes that were already read.
    Trailer(usize),
}

/// Whether a step of reading a body made progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    Advanced,
    /// The body is complete, or more input is needed.
    Stopped,
}

impl BodyState {
    pub(crate) const COMPLETE: BodyState = BodyState::Sized(0);

    pub(crate) fn is_complete(&self) -> bool {
        matches!(self, BodyState::Sized(0))
    }

    /// Returns the number of remaining bytes, as far as it is known; 0 for a chunked body.
    pub(crate) fn known_length(&self) -> usize {
        if let BodyState::Sized(length) = self { *length } else { 0 }
    }

    /// Moves the available part of the body from `src` to the end of `text`, in which the body starts at `body_start`.
    pub(crate) fn read(
        &mut self,
        src: &mut BytesMut,
        text: &mut Vec<u8>,
        body_start: usize,
        max_body: usize,
    ) -> Result<(), ReadError> {
        loop {
            let step = match self {
                BodyState::Sized(_) | BodyState::Chunk(_) => self.read_bytes(src, text),
                BodyState::ChunkSize => self.read_chunk_size(src, max_body - (text.len() - body_start))?,
                BodyState::ChunkEnd => self.read_chunk_end(src)?,
                BodyState::Trailer(_) => self.read_trailer_line(src)?,
            };
            if step == Step::Stopped {
                return Ok(());
            }
        }
    }

    fn read_bytes(&mut self, src: &mut BytesMut, text: &mut Vec<u8>) -> Step {
        let (BodyState::Sized(remaining) | BodyState::Chunk(remaining)) = self else {
            return Step::Stopped;
        };
        let available = src.len().min(*remaining);
        text.extend_from_slice(&src[..available]);
        src.advance(available);
        *remaining -= available;
        if let BodyState::Chunk(0) = self {
            *self = BodyState::ChunkEnd;
            return Step::Advanced;
        }
        Step::Stopped
    }

    fn read_chunk_size(&mut self, src: &mut BytesMut, max_size: usize) -> Result<Step, ReadError> {
        // The limit applies however much of the line arrives at once.
        let line = &src[..src.len().min(MAX_CHUNK_OVERHEAD_BYTES)];
        match ChunkSizeLine::parse(line) {
            Ok(Some(ChunkSizeLine { size, .. })) if size > max_size as u64 => Err(ReadError::BodyTooLarge),
            Ok(Some(ChunkSizeLine { length, size })) => {
                src.advance(length);
                *self = if size == 0 { BodyState::Trailer(0) } else { BodyState::Chunk(size as usize) };
                Ok(Step::Advanced)
            }
            Ok(None) if src.len() <= MAX_CHUNK_OVERHEAD_BYTES => Ok(Step::Stopped),
            Ok(None) | Err(InvalidChunkSize) => Err(ReadError::Malformed("a chunk's size cannot be read")),
        }
    }

    fn read_chunk_end(&mut self, src: &mut BytesMut) -> Result<Step, ReadError> {
        if src.len() < CHUNK_END.len() {
            return Ok(Step::Stopped);
        }
        if !src.starts_with(CHUNK_END) {
            return Err(ReadError::Malformed("a chunk does not end where it should"));
        }
        src.advance(CHUNK_END.len());
        *self = BodyState::ChunkSize;
        Ok(Step::Advanced)
    }

    /// Checks and discards one line of the trailer section; an empty line completes the body.
    fn read_trailer_line(&mut self, src: &mut BytesMut) -> Result<Step, ReadError> {
        let BodyState::Trailer(read) = self else {
            return Ok(Step::Stopped);
        };
        let line_end = src.iter().position(|&byte| byte == b'\n');
        if *read + line_end.unwrap_or(src.len()) > MAX_CHUNK_OVERHEAD_BYTES {
            return Err(ReadError::Malformed("the trailer is too large"));
        }
        let Some(line_end) = line_end else {
            return Ok(Step::Stopped);
        };
        // As in a head, a line may end without a carriage return.
        let line = src[..line_end].strip_suffix(b"\r").unwrap_or(&src[..line_end]);
        let is_last = line.is_empty();
        if !is_last && !is_field_line(line) {
            return Err(ReadError::Malformed("the trailer cannot be read"));
        }
        src.advance(line_end + 1);
        *read += line_end + 1;
        if is_last {
            *self = BodyState::COMPLETE;
            return Ok(Step::Stopped);
        }
        Ok(Step::Advanced)
    }
}
