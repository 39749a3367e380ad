//! Replies that RFC 9110 and RFC 9112 do not allow are refused, however they arrive; those that they allow are not.

use super::decode_all;
use crate::{ClientCodec, ServerCodec};

/// The sizes of the segments in which each reply is decoded: byte by byte, in small pieces, and at once.
const SEGMENT_SIZES: [usize; 3] = [1, 7, 10_000];

/// Asserts what is decoded of a reply, in each segmentation: the status codes and bodies, and the error that ends decoding.
fn assert_decoded(reply: &str, expected: &[(u16, &str)], error: Option<&str>) {
    for segment_size in SEGMENT_SIZES {
        let (replies, actual_error) = decode_all(reply.as_bytes(), segment_size, ClientCodec::default());
        let decoded: Vec<_> = replies.iter().map(|reply| (reply.status(), reply.body())).collect();
        let expected: Vec<_> = expected.iter().map(|(status, body)| (*status, body.as_bytes())).collect();
        let actual = (decoded, actual_error.as_deref());
        assert_eq!(actual, (expected, error), "{reply:?} in segments of {segment_size}");
    }
}

/// Asserts that the reply is refused for this reason, and that nothing is decoded.
fn assert_refused(reply: &str, reason: &str) {
    assert_decoded(reply, &[], Some(reason));
}

/// Asserts that the reply is decoded with this status and body.
fn assert_accepted(reply: &str, status: u16, body: &str) {
    assert_decoded(reply, &[(status, body)], None);
}

/// Asserts that the chunks are refused for this reason, as the body of a reply and as that of a request.
fn assert_chunks_are_refused(chunks: &str, reason: &str) {
    assert_refused(&format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}"), reason);
    let request = format!("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}");
    for segment_size in SEGMENT_SIZES {
        let (requests, error) = decode_all(request.as_bytes(), segment_size, ServerCodec::default());
        let actual = (requests.len(), error.as_deref());
        assert_eq!(actual, (0, Some(reason)), "{request:?} in segments of {segment_size}");
    }
}

/// A reply with this field line.
fn with_field(line: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nA: b\r\n{line}\r\nContent-Length: 2\r\n\r\nok")
}

#[test]
fn refuses_field_lines_that_are_none() {
    for line in [
        "Na me: v",
        "Name : v",
        "Name\t: v",
        " Name: v",
        "Na\u{1}me: v",
        "Na\u{0}me: v",
        "\u{7f}Name: v",
        "Na\rme: v",
        "Nam\u{e9}: v",
        "Na(me: v",
        ": v",
        "Name",
        "Name: a\u{1}b",
        "Name: a\u{0}b",
        "Name: a\u{7f}b",
        "Name: a\rb",
        "Name: a\r\n b",
    ] {
        assert_refused(&with_field(line), "the head cannot be read");
        let long = "abcdefgh-".repeat(8);
        let in_long_text = line.replacen('v', &long, 1).replacen('N', &format!("{long}N"), 1);
        assert_refused(&with_field(&in_long_text), "the head cannot be read");
    }
}

#[test]
fn refuses_status_codes_outside_100_to_599() {
    for status in (0..100).chain(600..1000) {
        let status_line = format!("HTTP/1.1 {status:03} X");
        for reply in [
            format!("{status_line}\r\nContent-Length: 2\r\n\r\nok"),
            format!("{status_line}\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"),
            format!("HTTP/1.1 100 Continue\r\n\r\n{status_line}\r\nContent-Length: 2\r\n\r\nok"),
        ] {
            assert_refused(&reply, "the status code is not valid");
        }
    }
    for status in ["", "2", "20", "2000", "2x0", "-20", "0x0"] {
        assert_refused(
            &format!("HTTP/1.1 {status} X\r\nContent-Length: 2\r\n\r\nok"),
            "the head cannot be read",
        );
    }
}

/// Lines that are not the size of a chunk of two bytes, without their end.
const MALFORMED_CHUNK_SIZES: [&str; 34] = [
    "",
    " ",
    ";x",
    "=2",
    " 2",
    "\t2",
    "2 ",
    "2\t",
    "2 2",
    "2 x",
    "g",
    "0x2",
    "+2",
    "-2",
    "2,",
    "2\r",
    "2\rx",
    "2\n\r",
    "2;",
    "2; ",
    "2;;x",
    "2;=y",
    "2;x=",
    "2;x y",
    "2;x=y z",
    "2;x=y=z",
    "2;x=(y)",
    "2;x=\u{e9}",
    "2;x\n",
    "2;x\u{1}",
    "2;x=\"y",
    "2;x=\"y\"z",
    "2;x=\"\u{1}\"",
    "2;x=\"\\\u{7f}\"",
];

#[test]
fn refuses_chunks_whose_size_is_not_one() {
    for size in MALFORMED_CHUNK_SIZES {
        // The parts of a cut body must not look like a complete one, and an invalid line not like the last chunk.
        for chunks in [format!("{size}\r\nok\r\n0\r\n\r\n"), format!("2\r\nok\r\n{size}\r\n\r\n\r\n")] {
            assert_chunks_are_refused(&chunks, "a chunk's size cannot be read");
        }
    }
    assert_chunks_are_refused("2\nok\r\n0\r\n\r\n", "a chunk's size cannot be read");
}

/// Empty lines may precede a request, but not a reply: they may be the rest of an earlier one.
#[test]
fn refuses_replies_that_do_not_begin_with_their_status_line() {
    let reply = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    for before in ["\r\n", "\n", "\r", "\r\n\r\n", " ", "\t", "\u{0}", "ok"] {
        assert_refused(&format!("{before}{reply}"), "the head cannot be read");
        let interim = "HTTP/1.1 100 Continue\r\n\r\n";
        assert_refused(&format!("{interim}{before}{reply}"), "the head cannot be read");
    }
    assert_refused("\r", "the head cannot be read");
}

/// No request asks for another protocol, so no server may switch to one, and what follows is not HTTP/1.1.
#[test]
fn refuses_a_switch_of_protocols() {
    let switch = "HTTP/1.1 101 Switching Protocols\r\nUpgrade: h2c\r\nConnection: upgrade\r\n\r\n";
    assert_refused(switch, "the answer switches to another protocol");
    let reply = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    assert_refused(&format!("{switch}{reply}"), "the answer switches to another protocol");
    assert_refused(
        &format!("HTTP/1.1 100 Continue\r\n\r\n{switch}{reply}"),
        "the answer switches to another protocol",
    );
}

/// HTTP/1.0 has no transfer codings, so the framing of such a reply is faulty (RFC 9112, section 6.1).
#[test]
fn refuses_a_transfer_coding_of_http_1_0() {
    let reply = "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n";
    assert_refused(reply, "an HTTP/1.0 answer has a transfer coding");
    let interim = "HTTP/1.1 100 Continue\r\n\r\n";
    assert_refused(&format!("{interim}{reply}"), "an HTTP/1.0 answer has a transfer coding");
    assert_accepted("HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok", 200, "ok");
}

#[test]
fn refuses_bodies_whose_length_is_not_one() {
    let reply = |fields: &str| format!("HTTP/1.1 200 OK\r\n{fields}\r\n\r\nok");
    for value in ["", "+2", "-2", "0x2", "2 2", "2,3", "2, 2", "two", "2;x"] {
        let length = format!("Content-Length: {value}");
        assert_refused(&reply(&length), "the length of the body is not one number");
    }
    assert_refused(&reply("Content-Length: 2\u{b}"), "the head cannot be read");
    for (fields, reason) in [
        ("Content-Length: 2\r\nContent-Length: 3", "the length of the body is not one number"),
        (
            "Content-Length: 2\r\nTransfer-Encoding: chunked",
            "the body has both a length and a transfer coding",
        ),
        (
            "Transfer-Encoding: chunked\r\nContent-Length: 2",
            "the body has both a length and a transfer coding",
        ),
        ("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked", "the transfer coding is not known"),
        ("Transfer-Encoding: gzip", "the transfer coding is not known"),
        ("Transfer-Encoding: chunked, gzip", "the transfer coding is not known"),
        ("Transfer-Encoding: chunked;x=y", "the transfer coding is not known"),
        ("Transfer-Encoding:", "the transfer coding is not known"),
    ] {
        assert_refused(&reply(fields), reason);
    }
}

#[test]
fn refuses_trailers_that_are_not_fields() {
    for line in [
        "garbage",
        "Na me: v",
        "Name : v",
        " Name: v",
        "Name: v\r\n folded",
        ": v",
        "Na\u{1}me: v",
        "Nam\u{e9}: v",
        "Name: a\u{0}b",
        "Name: a\u{7f}b",
        "Name: a\rb",
        "Name: a\r",
        "\r",
        "\rName: v",
        "HTTP/1.1 200 OK",
    ] {
        let chunks = format!("2\r\nok\r\n0\r\nTail: t\r\n{line}\r\n\r\n");
        assert_chunks_are_refused(&chunks, "the trailer cannot be read");
    }
}

/// A backend that sends a part of a malformed line and then nothing must not be waited for.
#[test]
fn refuses_a_malformed_chunk_size_before_its_line_ends() {
    for size in ["so", "2 x", "2;x=\"\u{1}", "\n"] {
        let reply = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{size}");
        assert_refused(&reply, "a chunk's size cannot be read");
    }
}

#[test]
fn accepts_status_lines_and_fields_that_are_allowed() {
    for status_line in [
        "HTTP/1.1 200 OK",
        "HTTP/1.0 200 OK",
        "HTTP/1.1 200 ",
        "HTTP/1.1 200",
        "HTTP/1.1 200 Caf\u{e9}\tau lait !\"#$%&'()*+,-./:;<=>?@[\\]^_`{|}~",
    ] {
        assert_accepted(&format!("{status_line}\r\nContent-Length: 2\r\n\r\nok"), 200, "ok");
    }
    for line in [
        "!#$%&'*+-.^_`|~09azAZ: v",
        "Name:v",
        "Name:",
        "Name: \t ",
        "Name:\tv\t ",
        "Name: a\tb \u{e9} \"(),/:;<=>?@[\\]{}\"",
        "Transfer-Codings: chunked",
    ] {
        assert_accepted(&with_field(line), 200, "ok");
    }
    assert_accepted("HTTP/1.1 200 OK\nName: v\nContent-Length: 002\n\nok", 200, "ok");
    assert_accepted("HTTP/1.1 200 OK\r\nTRANSFER-encoding: Chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", 200, "ok");
}

#[test]
fn accepts_all_status_codes_that_are_allowed() {
    for status in 200..600 {
        let body = if [204, 304].contains(&status) { "" } else { "ok" };
        let reply = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        assert_accepted(&reply, status, body);
    }
    for interim in (100..200).filter(|&interim| interim != 101) {
        let reply =
            format!("HTTP/1.1 {interim} X\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        assert_accepted(&reply, 200, "ok");
    }
    // The length is that of the body that a request without a condition would have had.
    assert_accepted("HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n", 304, "");
}

#[test]
fn accepts_chunked_bodies_that_are_allowed() {
    for chunks in [
        "2\r\nok\r\n0\r\n\r\n",
        "1\r\no\r\n1\r\nk\r\n000\r\n\r\n",
        "00000000000000000002\r\nok\r\n0\r\n\r\n",
        "2;x\r\nok\r\n0;x=y;z\r\n\r\n",
        "2 ; x\t=\ty ;z\r\nok\r\n0\r\n\r\n",
        "2;x=\"\"\r\nok\r\n0\r\n\r\n",
        "2;x=\"a;b=c \\\" \\\\ \u{e9}\";y=z\r\nok\r\n0\r\n\r\n",
        "2\r\nok\r\n0\r\nTail: t\r\nOther:\t u \r\n\r\n",
        "2\r\nok\r\n0\r\nTail: t\n\n",
        "2\r\nok\r\n0\r\nTail:\r\n!#$%&'*+-.^_`|~09azAZ: a\tb \u{e9} \"(),/:;<=>?@[\\]{}\"\r\n\r\n",
    ] {
        let reply = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}");
        assert_accepted(&reply, 200, "ok");
    }
    let eleven = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nB\r\nhello world\r\n0\r\n\r\n";
    assert_accepted(eleven, 200, "hello world");
    assert_accepted(&eleven.replace("\nB", "\nb"), 200, "hello world");
}

/// A reply of status 204 ends with its head whatever its fields say, and the body that they announce may still come.
#[test]
fn the_connection_ends_after_a_reply_without_content_that_announces_some() {
    for (head, closes) in [
        ("204 No Content\r\nContent-Length: 2", true),
        ("204 No Content\r\nTransfer-Encoding: chunked", true),
        ("204 No Content\r\nContent-Length: 0", false),
        ("204 No Content\r\nA: b", false),
        // The length is that of the body that a request without a condition would have had.
        ("304 Not Modified\r\nContent-Length: 2", false),
        ("304 Not Modified\r\nTransfer-Encoding: chunked", false),
    ] {
        let reply = format!("HTTP/1.1 {head}\r\n\r\n");
        let (replies, error) = decode_all(reply.as_bytes(), reply.len(), ClientCodec::default());
        let decoded: Vec<_> = replies.iter().map(|reply| (reply.body(), reply.closes_connection())).collect();
        assert_eq!((decoded, error), (vec![(&b""[..], closes)], None), "{head}");
    }
}
