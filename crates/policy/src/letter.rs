//! How a word between doors is written: one form for the bench's wire and for sockets.

use crate::interface::Word;

/// What the wire takes at most; no word comes near it.
pub const MOST_BYTES: usize = 256;

/// The first byte tells the form, so that doors of different builds drop what they cannot read.
const FORM: u8 = 1;

pub fn write(word: &Word) -> Vec<u8> {
    postcard::to_extend(word, vec![FORM]).expect("a word is plain data")
}

/// None for what is no word in this form, to its last byte.
pub fn read(letter: &[u8]) -> Option<Word> {
    let (&FORM, word) = letter.split_first()? else {
        return None;
    };
    match postcard::take_from_bytes(word) {
        Ok((word, [])) => Some(word),
        _ => None,
    }
}
