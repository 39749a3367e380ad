//! Why a message cannot be read.

use std::io;
use thiserror::Error;

/// Why a message cannot be read. The texts are what clients are answered.
#[derive(Debug, Error)]
pub enum ReadError {
    /// The connection failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The connection ended inside a message.
    #[error("the connection ended in mid-message")]
    UnexpectedEof,
    /// The head has too many bytes or fields.
    #[error("the head is too large")]
    HeadTooLarge,
    /// The body has too many bytes.
    #[error("the body is too large")]
    BodyTooLarge,
    /// The reader is short of memory. No codec returns this; it is for the codecs' users.
    #[error("there is no room for the message now")]
    OutOfMemory,
    /// The message was not complete in time. No codec returns this; it is for the codecs' users.
    #[error("the message did not come whole in time")]
    TimedOut,
    /// The bytes are no HTTP message, or one that two readers could understand differently.
    #[error("{0}")]
    Malformed(&'static str),
}
