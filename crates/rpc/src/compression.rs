//! Compression of bodies between the system's own processes, as links between regions are narrow.

use crate::limits::MAX_BODY_BYTES;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use std::io::{Read, Write};

/// The name of the content encoding.
pub(crate) const ENCODING: &str = "deflate";
/// Shorter bodies are not compressed.
pub(crate) const MIN_COMPRESSED_BYTES: usize = 2048;
/// What JSON of the usual kind shrinks by at least.
const EXPECTED_RATIO: usize = 4;

/// None where compression fails.
pub(crate) fn compress(body: &[u8]) -> Option<Vec<u8>> {
    let output = Vec::with_capacity(body.len() / EXPECTED_RATIO);
    let mut encoder = DeflateEncoder::new(output, Compression::fast());
    encoder.write_all(body).ok()?;
    encoder.finish().ok()
}

/// None where the body is malformed or longer than [`MAX_BODY_BYTES`] when decompressed.
pub(crate) fn decompress(body: &[u8]) -> Option<Vec<u8>> {
    let mut output = Vec::new();
    let limit = MAX_BODY_BYTES as u64 + 1;
    DeflateDecoder::new(body).take(limit).read_to_end(&mut output).ok()?;
    (output.len() <= MAX_BODY_BYTES).then_some(output)
}

#[cfg(test)]
mod tests;
