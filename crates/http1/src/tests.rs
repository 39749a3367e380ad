use crate::reader::{DEFAULT_MAX_BODY, MAX_INTERIM};
use crate::{ClientCodec, ReadError, ServerCodec};
use bytes::BytesMut;
use tokio_util::codec::Decoder;

/// All that comes out of the bytes, fed in parts of that size.
fn decode_all<D: Decoder<Error = ReadError>>(
    bytes: &[u8],
    part: usize,
    mut codec: D,
) -> (Vec<D::Item>, Option<String>) {
    let (mut src, mut items) = (BytesMut::new(), Vec::new());
    for part in bytes.chunks(part) {
        src.extend_from_slice(part);
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
fn reads_the_same_messages_in_any_segmentation() {
    let bytes = b"\r\nPOST /a?b=c HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n\r\nab\
        GET /d HTTP/1.0\r\nEmpty:\r\nTransfer-Encoding: chunked\r\n\r\n\
        2;x=y\r\nef\r\n1\r\ng\r\n0\r\nTail: t\r\n\r\nGET /h HTTP/1.1\r\nConnection: x, Close\r\n\r\n";
    for part in 1..bytes.len() {
        let (requests, error) = decode_all(bytes, part, ServerCodec::default());
        assert_eq!((requests.len(), error), (3, None), "in parts of {part}");
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
fn a_reply_is_complete_or_an_error() {
    let bytes = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 None\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    for part in 1..bytes.len() {
        let (replies, error) = decode_all(bytes, part, ClientCodec::default());
        let received: Vec<_> = replies.iter().map(|reply| (reply.status(), reply.body())).collect();
        assert_eq!((received, error), (vec![(204, &b""[..]), (200, &b"ok"[..])], None), "in parts of {part}");
    }
    let cut = Some("the connection ended in mid-message".to_owned());
    for length in (bytes.len() - 40..bytes.len()).filter(|&length| length != 46) {
        assert_eq!(decode_all(&bytes[..length], 7, ClientCodec::default()).1, cut, "cut at {length}");
    }
}

#[test]
fn limits_interim_replies() {
    let answer = |interim: usize| {
        ["HTTP/1.1 103 Early\r\nA: b\r\n\r\n".repeat(interim).as_str(), "HTTP/1.1 204 None\r\n\r\n"].concat()
    };
    let twice = answer(MAX_INTERIM).repeat(2);
    assert_eq!(decode_all(twice.as_bytes(), 1000, ClientCodec::default()).0.len(), 2);
    let endless = decode_all(answer(MAX_INTERIM + 1).as_bytes(), 1000, ClientCodec::default());
    assert_eq!((endless.0.len(), endless.1.is_some()), (0, true));
}

#[test]
fn rejects_oversized_input_before_buffering_it() {
    let endless = |start: &str, more: &str| [start, &more.repeat(4 * DEFAULT_MAX_BODY / more.len())].concat();
    let chunked = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    let cases = [
        (endless("GET / HTTP/1.1\r\nA: ", "a"), "the head is too large"),
        (endless("GET / HTTP/1.1\r\n", "A: b\r\n"), "the head is too large"),
        (endless("GET /", "a"), "the head is too large"),
        ("POST / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n".to_owned(), "the body is too large"),
        (format!("POST / HTTP/1.1\r\nContent-Length: {}\r\n\r\n", "9".repeat(30)), "the body is too large"),
        (endless(chunked, "5\r\nabcde\r\n"), "the body is too large"),
        (format!("{chunked}fffffffffffffff\r\n"), "the body is too large"),
        (endless(&format!("{chunked}1;"), "x"), "a chunk's size cannot be read"),
        (endless(&format!("{chunked}0\r\n"), "T: t\r\n"), "the trailer is too large"),
        (format!("{chunked}1\r\nabc\r\n"), "a chunk does not end where it should"),
    ];
    for (bytes, expected) in cases {
        for part in [1000, 1 << 20] {
            let (items, error) = decode_all(bytes.as_bytes(), part, ServerCodec::default());
            assert_eq!((items.len(), error.as_deref()), (0, Some(expected)), "{:.60}", bytes);
        }
    }
}
