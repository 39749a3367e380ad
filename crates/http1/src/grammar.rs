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

/// Whether the line, without its end, is a field: `field-name ":" OWS field-value OWS`.
pub(crate) fn is_field_line(line: &[u8]) -> bool {
    let Some(colon) = line.iter().position(|&byte| byte == b':') else {
        return false;
    };
    let (name, value) = line.split_at(colon);
    !name.is_empty() && name.iter().copied().all(is_token_byte) && value.iter().copied().all(is_text_byte)
}
