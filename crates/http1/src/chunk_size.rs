//! The line before each chunk of a body (RFC 9112, section 7.1):
//!
//! ```text
//! chunk-size [ chunk-ext ] CRLF
//! chunk-size = 1*HEXDIG
//! chunk-ext  = *( BWS ";" BWS chunk-ext-name [ BWS "=" BWS chunk-ext-val ] )
//! ```
//!
//! The names of extensions are tokens, their values are tokens or quoted strings. Extensions are checked and ignored.

use crate::grammar::{is_blank, is_text_byte, is_token_byte};

/// A complete line.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct ChunkSizeLine {
    /// Length of the line in bytes, including its end.
    pub(crate) length: usize,
    /// The size of the chunk in bytes; [`u64::MAX`] if it exceeds that.
    pub(crate) size: u64,
}

/// The line cannot be the size of a chunk, whatever follows.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct InvalidChunkSize;

impl ChunkSizeLine {
    /// Parses the line at the start of `src`; returns `None` if it is not complete.
    pub(crate) fn parse(src: &[u8]) -> Result<Option<ChunkSizeLine>, InvalidChunkSize> {
        let (mut state, mut size) = (State::Start, 0u64);
        for (index, &byte) in src.iter().enumerate() {
            state = state.next(byte).ok_or(InvalidChunkSize)?;
            match state {
                State::Size => size = append_digit(size, byte),
                State::Complete => return Ok(Some(ChunkSizeLine { length: index + 1, size })),
                _ => {}
            }
        }
        Ok(None)
    }
}

fn append_digit(size: u64, digit: u8) -> u64 {
    let digit = char::from(digit).to_digit(16).unwrap_or_default();
    size.saturating_mul(16).saturating_add(digit.into())
}

/// What has been read of a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Nothing.
    Start,
    /// One or more digits of the size.
    Size,
    /// A blank, which only another extension may follow.
    BeforeExtension,
    /// The semicolon before the name of an extension.
    BeforeName,
    /// A part of the name.
    Name,
    /// A blank after the name.
    AfterName,
    /// The equals sign before the value.
    BeforeValue,
    /// A part of a value that is a token.
    TokenValue,
    /// A part of a value that is a quoted string.
    QuotedValue,
    /// The backslash before a byte of a quoted string.
    Escape,
    /// The closing quote.
    AfterQuotedValue,
    /// The carriage return.
    LineEnd,
    /// The whole line.
    Complete,
}

impl State {
    /// Returns the state after one more byte, or `None` if the byte is not allowed there.
    fn next(self, byte: u8) -> Option<State> {
        match self {
            State::Start => byte.is_ascii_hexdigit().then_some(State::Size),
            State::Size if byte.is_ascii_hexdigit() => Some(State::Size),
            State::Size | State::AfterQuotedValue => State::after_element(byte),
            State::BeforeExtension if byte == b'\r' => None,
            State::BeforeExtension => State::after_element(byte),
            State::BeforeName if is_blank(byte) => Some(State::BeforeName),
            State::BeforeName => is_token_byte(byte).then_some(State::Name),
            State::Name if is_token_byte(byte) => Some(State::Name),
            State::Name if is_blank(byte) => Some(State::AfterName),
            State::Name | State::AfterName if byte == b'=' => Some(State::BeforeValue),
            State::Name => State::after_element(byte),
            State::AfterName if is_blank(byte) => Some(State::AfterName),
            State::AfterName => (byte == b';').then_some(State::BeforeName),
            State::BeforeValue if is_blank(byte) => Some(State::BeforeValue),
            State::BeforeValue if byte == b'"' => Some(State::QuotedValue),
            State::BeforeValue => is_token_byte(byte).then_some(State::TokenValue),
            State::TokenValue if is_token_byte(byte) => Some(State::TokenValue),
            State::TokenValue => State::after_element(byte),
            State::QuotedValue if byte == b'"' => Some(State::AfterQuotedValue),
            State::QuotedValue if byte == b'\\' => Some(State::Escape),
            State::QuotedValue | State::Escape => is_text_byte(byte).then_some(State::QuotedValue),
            State::LineEnd => (byte == b'\n').then_some(State::Complete),
            State::Complete => None,
        }
    }

    /// Returns the state after a byte that follows the size or an extension.
    fn after_element(byte: u8) -> Option<State> {
        match byte {
            b'\r' => Some(State::LineEnd),
            b';' => Some(State::BeforeName),
            _ => is_blank(byte).then_some(State::BeforeExtension),
        }
    }
}
