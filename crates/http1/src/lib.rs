//! HTTP/1.1 codecs: [`ServerCodec`] for connections that clients open, [`ClientCodec`] for connections to servers. Each
//! frame is a complete message; this crate does not interpret its meaning.
//!
//! The only buffer of a connection is that of [`tokio_util::codec::Framed`]. A codec copies each frame out of the
//! buffer and advances it, so the buffer is never shared and can be compacted in place.

#![forbid(unsafe_code)]

mod body;
mod chunk_size;
mod codec;
mod encode;
mod error;
mod grammar;
mod head;
mod message;
mod reader;

pub use codec::{ClientCodec, ServerCodec};
pub use encode::{ForwardedReply, ForwardedRequest, LocalReply};
pub use error::ReadError;
pub use message::{Message, Reply, Request, RequestLine, StatusLine};

#[cfg(test)]
mod tests;
