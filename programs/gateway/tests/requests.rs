//! Tests of the gateway's answers to requests, over loopback with stand-ins for clients and backends.

mod support;

use std::sync::atomic::Ordering;
use std::time::Duration;
use support::*;

#[test]
fn forwards_request_and_reply_unchanged() {
    let fields = "X-Quota-Used: 12\r\nX-Units-Charged: 1\r\nContent-Type: text/plain\r\n";
    let backend = Backend::new("a", vec![ok(fields, "seen"), ok("", "booked")]);
    let gateway = Gateway::start(&[&backend]);
    let mut client = gateway.client();
    let answer = client.request(&look_request());
    assert_eq!((answer.status(), answer.body.as_slice()), (200, &b"seen"[..]));
    assert_eq!(answer.field("Content-Type"), Some("text/plain"));
    assert_eq!((answer.field("X-Quota-Used"), answer.field("X-Units-Charged")), (None, None));
    let forwarded = backend.next_request();
    assert_eq!(forwarded.start_line, "GET /look?key=00000000b4d65521 HTTP/1.1");
    assert_eq!(forwarded.field("X-Correlation-Id"), Some("9b1f03aa5c7e2d41"));
    let left: u32 = forwarded.field("X-Time-Left-Ms").and_then(|text| text.parse().ok()).expect("a number");
    assert!((2000..3000).contains(&left), "{left}");

    let answer = client.request(&book_request());
    assert_eq!((answer.status(), answer.body.as_slice()), (200, &b"booked"[..]));
    let forwarded = backend.next_request();
    assert_eq!(forwarded.start_line, "POST /book?key=00000000b4d65521 HTTP/1.1");
    assert_eq!(forwarded.body, b"two seats");
    assert_eq!(backend.connections.load(Ordering::SeqCst), 1, "the connection is reused");
}

#[test]
fn forwards_replies_of_any_framing_but_no_truncated_one() {
    let chunked =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nin p\r\n5;x=y\r\narts!\r\n0\r\n\r\n";
    let truncated = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf";
    let without_length = "HTTP/1.1 200 OK\r\n\r\nunknown length";
    let closing = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\nlast";
    let reply = |text: &str| Reaction::Reply(text.to_owned());
    let reply_and_close = |text: &str| Reaction::ReplyAndClose(text.to_owned());
    let backend = Backend::new(
        "a",
        vec![
            reply(chunked),
            reply(closing),
            reply_and_close(truncated),
            reply_and_close(without_length),
            ok("", "complete"),
        ],
    );
    let gateway = Gateway::start(&[&backend]);
    let mut client = gateway.client();
    assert_eq!(client.request(&book_request()).body, b"in parts!");
    assert_eq!(client.request(&book_request()).body, b"last");
    for _ in 0..2 {
        let answer = client.request(&book_request());
        assert_eq!(answer.status(), 502, "the request may have run: {answer:?}");
    }
    assert_eq!(client.request(&book_request()).body, b"complete");
    let requests = backend.seen.try_iter().filter(|seen| matches!(seen, Seen::Requested(_)));
    assert_eq!(requests.count(), 5, "no request is sent twice");
}

#[test]
fn declines_requests_beyond_the_quota_with_retry_after() {
    let backend = Backend::new("a", vec![ok("", "seen")]);
    let gateway = Gateway::start(&[&backend]);
    let mut client = gateway.client();
    let request = request_text("GET", "look", "basic", 3000, "");
    assert_eq!((client.request(&request).status(), client.request(&request).status()), (200, 200));
    let answer = client.request(&request);
    assert_eq!(answer.status(), 429);
    assert_eq!(answer.field("Retry-After"), Some("0.5000"));
    assert_eq!(
        client.request(&look_request()).status(),
        200,
        "the connection and other plans are not affected"
    );
}

#[test]
fn retries_a_non_idempotent_request_only_if_it_never_ran() {
    let rejecting = Backend::new("a", vec![rejected(), Reaction::Close, ok("", "a")]);
    let gateway = Gateway::start(&[&rejecting]);
    let mut client = gateway.client();
    assert_eq!(client.request(&book_request()).status(), 503, "rejected by the backend, so it has not run");
    assert_eq!(
        client.request(&book_request()).status(),
        502,
        "the connection was lost after the last byte, so it may have run"
    );
    assert_eq!(client.request(&book_request()).body, b"a");
    for _ in 0..3 {
        rejecting.next_request();
    }
    assert!(rejecting.seen.try_recv().is_err(), "no request is sent twice");

    let unreachable = Backend::new("b", vec![]);
    let closed_port = std::net::TcpListener::bind("127.0.0.1:0").and_then(|free| free.local_addr());
    let unreachable = Backend { address: closed_port.expect("a free port"), ..unreachable };
    let gateway = Gateway::start(&[&unreachable]);
    assert_eq!(gateway.client().request(&book_request()).status(), 503, "no connection, so it has not run");

    let (rejecting, accepting) = (Backend::new("a", vec![rejected()]), Backend::new("b", vec![ok("", "b")]));
    let gateway = Gateway::start(&[&rejecting, &accepting]);
    let mut client = gateway.client();
    let retried = (0..30).find(|_| {
        assert_eq!(client.request(&book_request()).body, b"b");
        rejecting.seen.try_recv().is_ok()
    });
    assert!(retried.is_some(), "no request was rejected by the first backend and retried");
}

#[test]
fn answers_by_expiry_when_all_backends_are_unresponsive() {
    let backend = Backend::new("a", vec![Reaction::Unresponsive]);
    let gateway = Gateway::start(&[&backend]);
    for (request, status) in [
        (request_text("GET", "look", "gold", 300, ""), 503),
        (request_text("POST", "book", "gold", 300, "x"), 502),
    ] {
        let (answer, took) = timed(|| gateway.client().request(&request));
        assert_eq!(answer.status(), status);
        assert!(took < Duration::from_millis(300 + 50), "{took:?}");
        backend.next_request();
        assert_eq!(backend.next_seen(), Seen::Abandoned);
    }
}

#[test]
fn declines_a_request_without_time_left_and_does_not_forward_it() {
    let backend = Backend::new("a", vec![ok("", "seen")]);
    let gateway = Gateway::start(&[&backend]);
    let mut client = gateway.client();
    for left in [0, 1, 5] {
        assert_eq!(client.request(&request_text("POST", "book", "gold", left, "x")).status(), 503);
    }
    assert_eq!(client.request(&look_request()).status(), 200);
    assert_eq!(backend.next_request().start_line, "GET /look?key=00000000b4d65521 HTTP/1.1");
}

#[test]
fn a_disconnecting_client_cancels_its_attempt() {
    let backend = Backend::new("a", vec![Reaction::Unresponsive, ok("", "seen")]);
    let gateway = Gateway::start(&[&backend]);
    let mut client = gateway.client();
    client.send(&book_request());
    backend.next_request();
    drop(client);
    assert_eq!(backend.next_seen(), Seen::Abandoned);
    assert_eq!(gateway.client().request(&look_request()).status(), 200);
    assert_eq!((gateway.counter("left"), gateway.counter("settled")), (1, 1));
}

#[test]
fn does_not_reuse_a_closed_backend_connection() {
    let closing = |body: &str| {
        Reaction::ReplyAndClose(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()))
    };
    let backend = Backend::new("a", vec![closing("one"), closing("two"), closing("three")]);
    let gateway = Gateway::start(&[&backend]);
    let mut client = gateway.client();
    for body in ["one", "two", "three"] {
        gateway.agent.next_call();
        let answer = client.request(&book_request());
        assert_eq!(answer.body, body.as_bytes(), "{answer:?}");
        backend.next_request();
        assert_eq!(backend.next_seen(), Seen::Closed);
        // The backend closed its connection before this list is sent. When the gateway calls the agent again, it has
        // processed the close.
        gateway.agent.lists.send(list(5, false, &[])).expect("the agent runs");
    }
    assert_eq!(backend.connections.load(Ordering::SeqCst), 3);
}

#[test]
fn answers_pipelined_requests_in_order_and_each_in_its_own_time() {
    let backend = Backend::new("a", vec![Reaction::Unresponsive, Reaction::Unresponsive, ok("", "third")]);
    let gateway = Gateway::start(&[&backend]);
    let mut client = gateway.client();
    let ((), took) = timed(|| {
        // The second request gets no reply either; its time runs while the first is in flight.
        client.send(
            &[request_text("POST", "book", "gold", 300, "x"), request_text("POST", "book", "gold", 500, "y")]
                .concat(),
        );
        assert_eq!((client.read_answer().status(), client.read_answer().status()), (502, 502));
    });
    assert!(took < Duration::from_millis(500 + 50), "{took:?}");
    assert_eq!(client.request(&book_request()).body, b"third");
}

#[test]
fn rejects_invalid_requests_and_serves_further_ones() {
    let backend = Backend::new("a", vec![ok("", "seen")]);
    let gateway = Gateway::start(&[&backend]);
    let large = "x".repeat(70_000);
    let with = |field: &str| look_request().replacen("\r\n", &format!("\r\n{field}\r\n"), 1);
    let cases = [
        ("nonsense\r\n\r\n".to_owned(), 400),
        (with(&format!("X-Large: {large}")), 431),
        (with(&"X-Many: 1\r\n".repeat(70)), 431),
        (request_text("POST", "book", "gold", 3000, &large), 413),
        (with("Content-Length: 3\r\nTransfer-Encoding: chunked"), 400),
        (with("Content-Length: 3\r\nContent-Length: 4"), 400),
        (with("Content-Length: +3"), 400),
        (with("Transfer-Encoding: gzip, chunked"), 400),
        (with("Host: another"), 400),
        (with("X-Correlation-Id: 1c7e2d419b1f03aa"), 400),
        (with("x-quota: units=1,spread=1,first=0"), 400),
        (look_request().replace("b4d65521", "b4d65521&key=00000000b4d65522"), 400),
        (with("X-Spaced : 1"), 400),
        (book_request().replace("Content-Length: 9", "Transfer-Encoding: chunked"), 400),
        (look_request().replace("X-Plan: gold", "X-Plan: silver"), 400),
        (look_request().replace("X-Plan: gold\r\n", ""), 400),
        (look_request().replace("/look", "/sell").replace("Class: look", "Class: sell"), 400),
        (look_request().replace("Class: look", "Class: book"), 400),
        (look_request().replace("key=00000000b4d65521", "key=me"), 400),
        (look_request().replace("key=00000000b4d65521", "key=\u{e9}000000b4d6552"), 400),
        (look_request().replace("units=1", "units=NaN"), 400),
        (look_request().replace("units=1", "units=-1"), 400),
        (look_request().replace("units=1", "units=0"), 400),
        (look_request().replace("units=1", "units=9"), 400),
        (look_request().replace("spread=1", "spread=0"), 400),
        (look_request().replace("spread=1", "spread=2"), 400),
        (look_request().replace("first=0", "first=1"), 400),
        (look_request().replace("first=0", "first=none"), 400),
        (look_request().replace("key=0000000", "key=0000002"), 400),
        (look_request().replace("Ms: 3000", "Ms: 3001"), 400),
        (look_request().replace("9b1f03aa5c7e2d41", &"9".repeat(65)), 400),
        (look_request().replace("Ms: 3000", "Ms: soon"), 400),
        (look_request().replace("X-Correlation-Id", "X-Other-Id"), 400),
        (look_request().replace("GET", "DELETE"), 405),
    ];
    for (request, status) in cases {
        let answer = gateway.client().request(&request);
        assert_eq!(answer.status(), status, "{:.300}", request);
    }
    let mut client = gateway.client();
    assert_eq!(client.request("GET /healthz HTTP/1.1\r\nHost: n0\r\n\r\n").status(), 200);
    assert_eq!(client.request(&look_request()).status(), 200);
    backend.next_request();
    assert!(backend.seen.try_recv().is_err(), "no invalid request is forwarded");
}

#[test]
fn rejects_an_id_in_use_and_charges_nothing_for_an_invalid_request() {
    let backend = Backend::new("a", vec![Reaction::Unresponsive, ok("", "seen")]);
    let gateway = Gateway::start(&[&backend]);
    let mut first = gateway.client();
    first.send(&request_text("POST", "book", "gold", 300, "x"));
    backend.next_request();
    assert_eq!(gateway.client().request(&book_request()).status(), 409);
    assert_eq!(gateway.client().request(&book_request().replace("9b1f03aa", "9B1F03AA")).status(), 409);
    assert_eq!(first.read_answer().status(), 502);
    assert_eq!(backend.next_seen(), Seen::Abandoned);
    assert_eq!(gateway.client().request(&book_request()).status(), 200, "the id is free again");

    let mut client = gateway.client();
    let valid = request_text("GET", "look", "basic", 3000, "").replace("b4d65521", "b4d65522");
    assert_eq!(client.request(&valid.replace("units=1", "units=1000000")).status(), 400);
    assert_eq!(client.request(&valid).status(), 200);
}
