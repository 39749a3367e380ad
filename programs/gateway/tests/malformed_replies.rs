//! Backends whose replies violate HTTP: no client receives such a reply, and its connection is not used again.

mod support;

use std::sync::atomic::Ordering;
use support::*;

/// Replies that are not valid, all with a body that must not reach a client.
const MALFORMED_REPLIES: [&str; 10] = [
    "HTTP/1.1 200 OK\r\nNa me: v\r\nContent-Length: 6\r\n\r\nforged",
    "HTTP/1.1 200 OK\r\nName : v\r\nContent-Length: 6\r\n\r\nforged",
    "HTTP/1.1 200 OK\r\nNa\u{1}me: v\r\nContent-Length: 6\r\n\r\nforged",
    "HTTP/1.1 000 X\r\nContent-Length: 6\r\n\r\nforged",
    "HTTP/1.1 700 X\r\nContent-Length: 6\r\n\r\nforged",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nforged\r\n\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nforged\r\n0\r\ngarbage\r\n\r\n",
    "\r\nHTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nforged",
    "HTTP/1.1 101 Switch\r\nUpgrade: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nforged",
    "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nforged\r\n0\r\n\r\n",
];

fn reply(text: &str) -> Reaction {
    Reaction::Reply(text.to_owned())
}

#[test]
fn a_malformed_reply_leaves_the_outcome_of_a_non_idempotent_request_unknown() {
    for malformed in MALFORMED_REPLIES {
        let backend = Backend::new("a", vec![reply(malformed), ok("", "well-formed")]);
        let gateway = Gateway::start(&[&backend]);
        let mut client = gateway.client();
        let answer = client.request(&book_request());
        assert_eq!((answer.status(), answer.body.as_slice()), (502, &b"the outcome is not known\n"[..]));
        assert_eq!(client.request(&book_request()).body, b"well-formed", "after {malformed:?}");
        let requests = backend.seen.try_iter().filter(|seen| matches!(seen, Seen::Requested(_)));
        assert_eq!(requests.count(), 2, "no request is sent twice: {malformed:?}");
        assert_eq!(backend.connections.load(Ordering::SeqCst), 2, "not used again: {malformed:?}");
    }
}

#[test]
fn an_idempotent_request_is_retried_after_a_malformed_reply() {
    for malformed in MALFORMED_REPLIES {
        let (broken, sound) =
            (Backend::new("a", vec![reply(malformed)]), Backend::new("b", vec![ok("", "sound")]));
        let gateway = Gateway::start(&[&broken, &sound]);
        let mut client = gateway.client();
        let retried = (0..30).any(|_| {
            let answer = client.request(&look_request());
            assert_eq!((answer.status(), answer.body.as_slice()), (200, &b"sound"[..]), "{malformed:?}");
            broken.seen.try_recv().is_ok()
        });
        assert!(retried, "no request reached the first backend: {malformed:?}");
    }
}

/// The body that a reply of status 204 announces may still come, and must not be taken for the reply to the next request.
#[test]
fn a_connection_ends_after_a_reply_without_content_that_announces_some() {
    let announcing = reply("HTTP/1.1 204 No Content\r\nContent-Length: 43\r\n\r\n");
    let backend = Backend::new("a", vec![announcing, ok("", "well-formed")]);
    let gateway = Gateway::start(&[&backend]);
    let mut client = gateway.client();
    client.request(&book_request());
    assert_eq!(client.request(&book_request()).body, b"well-formed");
    assert_eq!(backend.connections.load(Ordering::SeqCst), 2, "the connection is not used again");
}

#[test]
fn the_reason_why_a_reply_is_malformed_is_logged() {
    for (malformed, reason) in [
        ("HTTP/1.1 000 X\r\nContent-Length: 6\r\n\r\nforged", "the status code is not valid"),
        ("HTTP/1.1 200 OK\r\nNa me: v\r\nContent-Length: 6\r\n\r\nforged", "the head cannot be read"),
        ("HTTP/1.1 200 OK\r\nContent-Length: 60000000\r\n\r\n", "the body is too large"),
    ] {
        let backend = Backend::new("a", vec![reply(malformed)]);
        let gateway = Gateway::start(&[&backend]);
        assert_eq!(gateway.client().request(&book_request()).status(), 502);
        let line = gateway.wait_for_log("malformed reply of a backend");
        let address = backend.address.to_string();
        assert!(line.contains("WARN") && line.contains(reason) && line.contains(&address), "{line}");
        assert_eq!(gateway.counter("submissions_malformed"), 1);
    }
}
