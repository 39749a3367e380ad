//! Format of a record's file: a header line, `<checksum> <write number> <body length>`, followed by the body.
//!
//! The checksum (CRC-32, eight hexadecimal digits) covers the decimal write number and the body, and detects torn and
//! corrupt copies.

/// Highest valid write number. No disk endures this many writes, so a file with a higher number is corrupt.
const MAX_WRITE_NUMBER: u64 = u64::MAX / 2;

/// One intact copy of a record.
pub(super) struct RecordCopy<'a> {
    /// The copy with the higher number is the newer one.
    pub(super) write_number: u64,
    pub(super) body: &'a [u8],
}

/// Decodes a file. Returns `None` if it is torn or corrupt.
pub(super) fn decode_copy(content: &[u8]) -> Option<RecordCopy<'_>> {
    let header_end = content.iter().position(|&byte| byte == b'\n')?;
    let header = std::str::from_utf8(&content[..header_end]).ok()?;
    let body = &content[header_end + 1..];
    let mut fields = header.split(' ');
    let checksum = u32::from_str_radix(fields.next()?, 16).ok()?;
    let write_number = fields.next()?;
    let body_length = fields.next()?;
    let is_intact = checksum == compute_checksum(write_number, body) && body_length.parse() == Ok(body.len());
    if !is_intact {
        return None;
    }
    let write_number = write_number.parse().ok().filter(|number| *number <= MAX_WRITE_NUMBER)?;
    Some(RecordCopy { write_number, body })
}

pub(super) fn encode_copy(write_number: u64, body: &[u8]) -> Vec<u8> {
    let write_number = write_number.to_string();
    let checksum = compute_checksum(&write_number, body);
    let header = format!("{checksum:08x} {write_number} {}\n", body.len());
    [header.as_bytes(), body].concat()
}

fn compute_checksum(write_number: &str, body: &[u8]) -> u32 {
    let mut checksum = crc32fast::Hasher::new();
    checksum.update(write_number.as_bytes());
    checksum.update(body);
    checksum.finalize()
}
