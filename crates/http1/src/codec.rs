//! The two codecs and their decoders. The encoders are in [`encode`](crate::encode).

use crate::error::ReadError;
use crate::message::{Reply, Request, RequestLine, StatusLine};
use crate::reader::MessageReader;
use bytes::BytesMut;
use tokio_util::codec::Decoder;

/// Decodes requests and encodes replies.
#[derive(Default)]
pub struct ServerCodec(MessageReader<RequestLine>);

/// Encodes requests and decodes replies.
#[derive(Default)]
pub struct ClientCodec(MessageReader<StatusLine>);

macro_rules! impl_decoder {
    ($codec:ident, $message:ident) => {
        impl $codec {
            /// Creates a codec that accepts bodies of up to `max_body` bytes.
            pub fn with_max_body(max_body: usize) -> $codec {
                $codec(MessageReader::with_max_body(max_body))
            }

            /// Returns the number of bytes of an incomplete message that were moved out of the connection's buffer.
            pub fn received_bytes(&self) -> usize {
                self.0.received_bytes()
            }

            /// Returns the memory that an incomplete message uses in addition to the connection's buffer.
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
