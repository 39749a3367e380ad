//! Answers of a fake backend that are given byte for byte, so that they can violate HTTP.

use std::io::{self, Write};
use std::net::TcpStream;

/// Stands for the `Attempt-Id` of the answered request in [`RawAnswer::text`].
const ATTEMPT_PLACEHOLDER: &str = "{attempt}";

/// How the bytes of an answer are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// All bytes at once.
    Whole,
    /// Each byte in a segment of its own.
    Bytewise,
}

/// The bytes of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RawAnswer {
    /// What is written, in which `{attempt}` stands for the `Attempt-Id` of the request.
    pub text: &'static str,
    /// How it is written.
    pub delivery: Delivery,
}

impl RawAnswer {
    /// Writes the answer to the request with this `Attempt-Id`.
    ///
    /// # Errors
    ///
    /// If writing fails.
    pub(crate) fn write(self, stream: &mut TcpStream, attempt: &str) -> io::Result<()> {
        let text = self.text.replace(ATTEMPT_PLACEHOLDER, attempt);
        match self.delivery {
            Delivery::Whole => stream.write_all(text.as_bytes()),
            Delivery::Bytewise => {
                stream.set_nodelay(true)?;
                text.as_bytes().chunks(1).try_for_each(|byte| stream.write_all(byte))
            }
        }
    }
}
