//! Compression of the bodies of internal calls, as bandwidth between regions is limited.

use crate::limits::MAX_BODY_BYTES;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use std::io::{Read, Write};

/// The name of the content coding. Its body is raw DEFLATE data, without a zlib header.
pub(crate) const ENCODING: &str = "deflate";
/// The minimum size of a body that is compressed.
pub(crate) const MIN_COMPRESSED_BYTES: usize = 2048;
/// The minimum ratio by which typical JSON shrinks, used to allocate the output buffer.
const EXPECTED_COMPRESSION_RATIO: usize = 4;

/// Returns the compressed body, or `None` if compression fails.
pub(crate) fn compress(body: &[u8]) -> Option<Vec<u8>> {
    let output = Vec::with_capacity(body.len() / EXPECTED_COMPRESSION_RATIO);
    let mut encoder = DeflateEncoder::new(output, Compression::fast());
    encoder.write_all(body).ok()?;
    encoder.finish().ok()
}

/// Returns the decompressed body, or `None` if it is malformed or longer than [`MAX_BODY_BYTES`].
pub(crate) fn decompress(body: &[u8]) -> Option<Vec<u8>> {
    let mut output = Vec::new();
    let limit = MAX_BODY_BYTES as u64 + 1;
    DeflateDecoder::new(body).take(limit).read_to_end(&mut output).ok()?;
    (output.len() <= MAX_BODY_BYTES).then_some(output)
}

#[cfg(test)]
mod tests;
