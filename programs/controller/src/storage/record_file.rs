//! The content of a record's file: a header line, `<checksum> <write number> <body length>`, and the body.
//!
//! The checksum (CRC-32, eight hexadecimal digits) covers the write number as it is written and the body, so that a torn
//! or corrupt copy is recognized.

/// No disk lasts for as many writes: a higher number was never written.
const MAX_WRITE_NUMBER: u64 = u64::MAX / 2;

/// One intact copy of a record.
pub(super) struct RecordCopy<'a> {
    /// Of two copies the one with the higher number is the newer one.
    pub(super) write_number: u64,
    pub(super) body: &'a [u8],
}

/// Decodes a file, or returns `None` where it is torn or corrupt.
pub(super) fn read_copy(content: &[u8]) -> Option<RecordCopy<'_>> {
    let header_end = content.iter().position(|&byte| byte == b'\n')?;
    let header = std::str::from_utf8(&content[..header_end]).ok()?;
    let body = &content[header_end + 1..];
    let mut fields = header.split(' ');
    let checksum = u32::from_str_radix(fields.next()?, 16).ok()?;
    let write_number = fields.next()?;
    let body_length = fields.next()?;
    let is_intact = checksum == checksum_of(write_number, body) && body_length.parse() == Ok(body.len());
    if !is_intact {
        return None;
    }
    let write_number = write_number.parse().ok().filter(|number| *number <= MAX_WRITE_NUMBER)?;
    Some(RecordCopy { write_number, body })
}

/// Encodes a file.
pub(super) fn encode_copy(write_number: u64, body: &[u8]) -> Vec<u8> {
    let write_number = write_number.to_string();
    let checksum = checksum_of(&write_number, body);
    let header = format!("{checksum:08x} {write_number} {}\n", body.len());
    [header.as_bytes(), body].concat()
}

fn checksum_of(write_number: &str, body: &[u8]) -> u32 {
    let mut checksum = crc32fast::Hasher::new();
    checksum.update(write_number.as_bytes());
    checksum.update(body);
    checksum.finalize()
}
