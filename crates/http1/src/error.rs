//! Errors of the decoders.

use std::io;
use thiserror::Error;

/// The reason why a message cannot be decoded. The messages are part of responses to clients, so they must not change.
#[derive(Debug, Error)]
pub enum ReadError {
    /// Reading from the connection failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The connection was closed in the middle of a message.
    #[error("the connection ended in mid-message")]
    UnexpectedEof,
    /// The head exceeds the maximum number of bytes or fields.
    #[error("the head is too large")]
    HeadTooLarge,
    /// The body exceeds the maximum number of bytes.
    #[error("the body is too large")]
    BodyTooLarge,
    /// There is not enough memory to read the message. No codec returns this; it is for users of the codecs.
    #[error("there is no room for the message now")]
    OutOfMemory,
    /// The message was not complete in time. No codec returns this; it is for users of the codecs.
    #[error("the message did not come whole in time")]
    TimedOut,
    /// The input is not an HTTP message, or is one that two parsers could interpret differently.
    #[error("{0}")]
    Malformed(&'static str),
}
