//! How a message between gateways is written: one form for the users' simulator's wire and for sockets. After one byte
//! that names the form comes the postcard form of [`PeerMessage`], which is positional: fields and variants have no names
//! in it, so their order is part of the form.

use crate::interface::PeerMessage;

/// What the wire takes at most; no message comes near it.
pub const MAX_BYTES: usize = 256;

/// The first byte tells the form, so that gateways of different builds drop what they cannot read.
const FORM: u8 = 1;

/// Writes a message.
pub fn encode(message: &PeerMessage) -> Vec<u8> {
    postcard::to_extend(message, vec![FORM]).expect("a message is plain data, which always serializes")
}

/// Reads a message; none where the bytes are not one in this form, to the last byte.
pub fn decode(bytes: &[u8]) -> Option<PeerMessage> {
    let (&FORM, message) = bytes.split_first()? else {
        return None;
    };
    match postcard::take_from_bytes(message) {
        Ok((message, [])) => Some(message),
        _ => None,
    }
}
