//! HTTP/1.1 as frames: one codec for the side that clients connect to, one for the side that
//! connects out. A frame is a whole message; nothing here knows what it is about.
//!
//! The connection's one buffer is `Framed`'s. A codec copies a frame out of it and advances it, so
//! that the buffer is never shared and is compacted in place.

mod message;
mod read;
mod write;

pub use message::{Reply, Request};
pub use read::{ClientCodec, ReadError, ServerCodec};
pub use write::{ForwardedReply, ForwardedRequest, PlainReply};
