//! The two codecs, as decoders. What they encode is in `encode`.

use crate::error::ReadError;
use crate::message::{Reply, Request, RequestLine, StatusLine};
use crate::reader::MessageReader;
use bytes::BytesMut;
use tokio_util::codec::Decoder;

/// Reads requests and writes replies.
#[derive(Default)]
pub struct ServerCodec(MessageReader<RequestLine>);

/// Writes requests and reads replies.
#[derive(Default)]
pub struct ClientCodec(MessageReader<StatusLine>);

macro_rules! impl_decoder {
    ($codec:ident, $message:ident) => {
        impl $codec {
            /// A codec that reads bodies of up to `max_body` bytes.
            pub fn with_max_body(max_body: usize) -> $codec {
                $codec(MessageReader::with_max_body(max_body))
            }

            /// How many bytes of an incomplete message were received that are no longer in the connection's buffer.
            pub fn received_bytes(&self) -> usize {
                self.0.received_bytes()
            }

            /// The memory that an incomplete message takes, alongside the connection's buffer.
            pub fn buffered_bytes(&self) -> usize {
                self.0.buffered_bytes()
            }
        }

        impl Decoder for $codec {
            type Item = $message;
            type Error = ReadError;

            fn decode(&mut self, src: &mut BytesMut) -> Result<Option<$message>, ReadError> {
                self.0.read(src)
            }

            fn decode_eof(&mut self, src: &mut BytesMut) -> Result<Option<$message>, ReadError> {
                self.0.read_at_eof(src)
            }
        }
    };
}

impl_decoder!(ServerCodec, Request);
impl_decoder!(ClientCodec, Reply);
