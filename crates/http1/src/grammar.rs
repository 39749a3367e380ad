//! The bytes of which the elements of a message may consist (RFC 9110, section 5).

/// Whether the byte may be a part of a token, such as the name of a field.
pub(crate) fn is_token_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

/// Whether the byte may be a part of text, such as the value of a field: any but control bytes, of which only the tab is
/// allowed.
pub(crate) fn is_text_byte(byte: u8) -> bool {
    byte == b'\t' || !byte.is_ascii_control()
}

/// Whether the byte is one of the two kinds of whitespace within a line.
pub(crate) fn is_blank(byte: u8) -> bool {
    matches!(byte, b' ' | b'\t')
}
