//! The encoding of messages between gateways, used on sockets and by the adapter of the external simulator. A byte with
//! the format version is followed by the [`PeerMessage`] in postcard encoding. That encoding is positional: it has no
//! names of fields and variants, so their order is part of the format.

use crate::interface::PeerMessage;

/// The most bytes that a receiver accepts as one message; every message is far smaller.
pub const MAX_BYTES: usize = 256;

/// The first byte of a message. Gateways of different builds drop messages with another version, which they cannot decode.
const FORMAT_VERSION: u8 = 1;

/// Encodes a message.
pub fn encode(message: &PeerMessage) -> Vec<u8> {
    postcard::to_extend(message, vec![FORMAT_VERSION]).expect("plain data always serializes")
}

/// Decodes a message. Returns `None` unless all bytes together are one message of this format version.
pub fn decode(bytes: &[u8]) -> Option<PeerMessage> {
    let (&FORMAT_VERSION, message) = bytes.split_first()? else {
        return None;
    };
    match postcard::take_from_bytes(message) {
        Ok((message, [])) => Some(message),
        _ => None,
    }
}
