//! HTTP/1.1 messages as frames: one codec for the side that clients connect to ([`ServerCodec`]), one for the side that
//! connects to servers ([`ClientCodec`]). A frame is a complete message; nothing here knows what it is about.
//!
//! The connection's one buffer is that of [`tokio_util::codec::Framed`]. A codec copies each frame out of it and advances
//! it, so that the buffer is never shared and is compacted in place.

#![forbid(unsafe_code)]

mod body;
mod codec;
mod encode;
mod error;
mod head;
mod message;
mod reader;

pub use codec::{ClientCodec, ServerCodec};
pub use encode::{ForwardedReply, ForwardedRequest, PlainReply};
pub use error::ReadError;
pub use message::{Message, Reply, Request, RequestLine, StatusLine};

#[cfg(test)]
mod tests;
