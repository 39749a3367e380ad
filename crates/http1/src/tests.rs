mod replies;

use crate::reader::{DEFAULT_MAX_BODY_BYTES, MAX_INTERIM_REPLIES};
use crate::{ClientCodec, ReadError, ServerCodec};
use bytes::BytesMut;
use tokio_util::codec::Decoder;

/// Decodes the input in segments of the given size. Returns all messages, and the error that ended decoding.
fn decode_all<D: Decoder<Error = ReadError>>(
    bytes: &[u8],
    segment_size: usize,
    mut codec: D,
) -> (Vec<D::Item>, Option<String>) {
    let (mut src, mut items) = (BytesMut::new(), Vec::new());
    for segment in bytes.chunks(segment_size) {
        src.extend_from_slice(segment);
        loop {
            match codec.decode(&mut src) {
                Ok(Some(item)) => items.push(item),
                Ok(None) => break,
                Err(error) => return (items, Some(error.to_string())),
            }
        }
    }
    let error = codec.decode_eof(&mut src).err().map(|error| error.to_string());
    (items, error)
}

#[test]
fn decodes_the_same_messages_in_any_segmentation() {
    let bytes = b"\r\nPOST /a?b=c HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n\r\nab\
        GET /d HTTP/1.0\r\nEmpty:\r\nTransfer-Encoding: chunked\r\n\r\n\
        2;x=y\r\nef\r\n1\r\ng\r\n0\r\nTail: t\r\n\r\nGET /h HTTP/1.1\r\nConnection: x, Close\r\n\r\n";
    for segment_size in 1..bytes.len() {
        let (requests, error) = decode_all(bytes, segment_size, ServerCodec::default());
        assert_eq!((requests.len(), error), (3, None), "in segments of {segment_size}");
        let [first, second, third] = &requests[..] else { unreachable!() };
        assert_eq!((first.method(), first.target(), first.body()), ("POST", "/a?b=c", &b"\r\nab"[..]));
        assert_eq!((second.target(), second.field("empty"), second.body()), ("/d", Some(""), &b"efg"[..]));
        assert_eq!(
            [first.closes_connection(), second.closes_connection(), third.closes_connection()],
            [false, true, true]
        );
    }
}

#[test]
fn a_truncated_reply_is_an_error() {
    let bytes = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 None\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    for segment_size in 1..bytes.len() {
        let (replies, error) = decode_all(bytes, segment_size, ClientCodec::default());
        let received: Vec<_> = replies.iter().map(|reply| (reply.status(), reply.body())).collect();
        let expected = vec![(204, &b""[..]), (200, &b"ok"[..])];
        assert_eq!((received, error), (expected, None), "in segments of {segment_size}");
    }
    let truncated = Some("the connection ended in mid-message".to_owned());
    // The first 46 bytes end with the reply of status 204, which is complete.
    for length in (bytes.len() - 40..bytes.len()).filter(|&length| length != 46) {
        assert_eq!(
            decode_all(&bytes[..length], 7, ClientCodec::default()).1,
            truncated,
            "truncated to {length}"
        );
    }
}

#[test]
fn limits_interim_replies() {
    let reply_after = |interim_replies: usize| {
        let interim = "HTTP/1.1 103 Early\r\nA: b\r\n\r\n".repeat(interim_replies);
        [interim.as_str(), "HTTP/1.1 204 None\r\n\r\n"].concat()
    };
    let two_replies = reply_after(MAX_INTERIM_REPLIES).repeat(2);
    assert_eq!(decode_all(two_replies.as_bytes(), 1000, ClientCodec::default()).0.len(), 2);
    let (replies, error) =
        decode_all(reply_after(MAX_INTERIM_REPLIES + 1).as_bytes(), 1000, ClientCodec::default());
    assert_eq!((replies.len(), error.is_some()), (0, true));
}

#[test]
fn rejects_oversized_input_before_buffering_it() {
    let oversized = |start: &str, repeated: &str| {
        [start, &repeated.repeat(4 * DEFAULT_MAX_BODY_BYTES / repeated.len())].concat()
    };
    let chunked = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    let cases = [
        (oversized("GET / HTTP/1.1\r\nA: ", "a"), "the head is too large"),
        (oversized("GET / HTTP/1.1\r\n", "A: b\r\n"), "the head is too large"),
        (oversized("GET /", "a"), "the head is too large"),
        ("POST / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n".to_owned(), "the body is too large"),
        (format!("POST / HTTP/1.1\r\nContent-Length: {}\r\n\r\n", "9".repeat(30)), "the body is too large"),
        (oversized(chunked, "5\r\nabcde\r\n"), "the body is too large"),
        (format!("{chunked}fffffffffffffff\r\n"), "the body is too large"),
        (format!("{chunked}10000000000000005\r\nabcde\r\n0\r\n\r\n"), "the body is too large"),
        (oversized(&format!("{chunked}1;"), "x"), "a chunk's size cannot be read"),
        (oversized(&format!("{chunked}0\r\n"), "T: t\r\n"), "the trailer is too large"),
        (format!("{chunked}1\r\nabc\r\n"), "a chunk does not end where it should"),
    ];
    for (bytes, expected) in cases {
        for segment_size in [1000, 1 << 20] {
            let (items, error) = decode_all(bytes.as_bytes(), segment_size, ServerCodec::default());
            assert_eq!((items.len(), error.as_deref()), (0, Some(expected)), "{:.60}", bytes);
        }
    }
}
