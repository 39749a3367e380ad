//! The body of a message, sized or chunked, as it is read piece by piece.

use crate::error::ReadError;
use bytes::{Buf, BytesMut};
use httparse::Status;

/// A chunk's size line with its extensions, or all of a trailer.
const MAX_CHUNK_OVERHEAD: usize = 4 * 1024;
const CHUNK_END: &[u8] = b"\r\n";

/// What of a body is still to be read.
#[derive(Debug)]
pub(crate) enum BodyState {
    /// So many bytes.
    Sized(usize),
    /// A chunk's size line.
    ChunkSize,
    /// So many bytes of a chunk.
    Chunk(usize),
    /// The line end after a chunk.
    ChunkEnd,
    /// The trailer, of which so many bytes were read.
    Trailer(usize),
}

/// Whether a step of reading a body made progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    Advanced,
    /// The body is complete, or more bytes are needed.
    Stopped,
}

impl BodyState {
    pub(crate) const COMPLETE: BodyState = BodyState::Sized(0);

    pub(crate) fn is_complete(&self) -> bool {
        matches!(self, BodyState::Sized(0))
    }

    /// How many bytes are known to be still to be read.
    pub(crate) fn known_length(&self) -> usize {
        if let BodyState::Sized(length) = self { *length } else { 0 }
    }

    /// Moves what `src` has of the body to the end of `text`, where the body starts at `body_start`.
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
        let (BodyState::Sized(missing) | BodyState::Chunk(missing)) = self else {
            return Step::Stopped;
        };
        let available = src.len().min(*missing);
        text.extend_from_slice(&src[..available]);
        src.advance(available);
        *missing -= available;
        if let BodyState::Chunk(0) = self {
            *self = BodyState::ChunkEnd;
            return Step::Advanced;
        }
        Step::Stopped
    }

    fn read_chunk_size(&mut self, src: &mut BytesMut, max_size: usize) -> Result<Step, ReadError> {
        match httparse::parse_chunk_size(src) {
            Ok(Status::Complete((line_length, size))) => {
                if size > max_size as u64 {
                    return Err(ReadError::BodyTooLarge);
                }
                src.advance(line_length);
                *self = if size == 0 { BodyState::Trailer(0) } else { BodyState::Chunk(size as usize) };
                Ok(Step::Advanced)
            }
            Ok(Status::Partial) if src.len() <= MAX_CHUNK_OVERHEAD => Ok(Step::Stopped),
            _ => Err(ReadError::Malformed("a chunk's size cannot be read")),
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

    /// Drops one line of the trailer; the body is complete with an empty one.
    fn read_trailer_line(&mut self, src: &mut BytesMut) -> Result<Step, ReadError> {
        let BodyState::Trailer(read) = self else {
            return Ok(Step::Stopped);
        };
        let line_end = src.iter().position(|&byte| byte == b'\n');
        if *read + line_end.unwrap_or(src.len()) > MAX_CHUNK_OVERHEAD {
            return Err(ReadError::Malformed("the trailer is too large"));
        }
        let Some(line_end) = line_end else {
            return Ok(Step::Stopped);
        };
        let is_empty = src[..line_end].iter().all(|&byte| byte == b'\r');
        src.advance(line_end + 1);
        *read += line_end + 1;
        if is_empty {
            *self = BodyState::COMPLETE;
            return Ok(Step::Stopped);
        }
        Ok(Step::Advanced)
    }
}
