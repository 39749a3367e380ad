//! Backends whose answers violate HTTP: no client receives such an answer, and its connection is not used again.

use vanewharf_testkit::backend::{Behavior, FakeBackend};
use vanewharf_testkit::cluster::TestCluster;
use vanewharf_testkit::http::{Message, send_request};
use vanewharf_testkit::raw_answer::{Delivery, RawAnswer};
use yare::parameterized;

/// The text of an answer that is right but for what these parts bring in.
macro_rules! answer {
    ($start_line:literal, $rest:literal) => {
        concat!($start_line, "\r\nAttempt-Id: {attempt}\r\nBackend-Seal: s.1\r\n", $rest)
    };
}

/// The body of each answer in this file.
const BODY: &str = "from the backend";
/// Few enough that no backend is ejected as an outlier before the last round.
const ROUNDS: usize = 3;

/// Sends a request to a route that is read-only, or to one that is mutating.
fn send(cluster: &TestCluster, mutating: bool, attempt: &str) -> Message {
    let (method, path) = if mutating { ("POST", "/write/x") } else { ("GET", "/read/x") };
    let headers = [
        ("Host", "shop.example"),
        ("Attempt-Id", attempt),
        ("Remaining-Milliseconds", "1500"),
        ("X-Api-Key", "key-a"),
    ];
    send_request(cluster.frontend_address(0), method, path, &headers, "").expect("an answer")
}

fn answer_raw<'a>(
    backends: impl IntoIterator<Item = &'a FakeBackend>,
    text: &'static str,
    delivery: Delivery,
) {
    let behavior = Behavior::SendsRaw(RawAnswer { text, delivery });
    backends.into_iter().for_each(|backend| backend.set_behavior(behavior));
}

fn assert_no_connection_is_reused(cluster: &TestCluster) {
    let reused: Vec<_> = cluster.backends.iter().map(FakeBackend::requests_after_raw_answers).collect();
    assert!(reused.iter().all(|&count| count == 0), "requests after a malformed answer: {reused:?}");
}

/// Sends a request while all backends answer with something malformed, and returns whether any has executed it.
fn assert_no_answer_is_passed_on(cluster: &TestCluster, mutating: bool, attempt: &str) -> bool {
    let response = send(cluster, mutating, attempt);
    let executions = cluster.count_executions(attempt);
    let context = format!("{attempt}, executed {executions} times: {response:?}");
    assert!(!response.body.contains(BODY) && response.header("Backend-Seal").is_none(), "{context}");
    if mutating {
        let expected = if executions == 0 { 503 } else { 502 };
        assert_eq!(response.status(), expected, "{context}");
        assert!(executions <= 1, "executed more than once: {context}");
    } else {
        assert!([502, 503].contains(&response.status()), "{context}");
    }
    executions > 0
}

#[parameterized(
    blank_in_name = { answer!("HTTP/1.1 200 OK", "Na me: v\r\nContent-Length: 16\r\n\r\nfrom the backend") },
    blank_after_name = { answer!("HTTP/1.1 200 OK", "Name : v\r\nContent-Length: 16\r\n\r\nfrom the backend") },
    control_byte_in_name = { answer!("HTTP/1.1 200 OK", "Na\u{1}me: v\r\nContent-Length: 16\r\n\r\nfrom the backend") },
    blank_in_name_of_length = { answer!("HTTP/1.1 200 OK", "Content-Length : 16\r\n\r\nfrom the backend") },
    status_000 = { answer!("HTTP/1.1 000 X", "Content-Length: 16\r\n\r\nfrom the backend") },
    status_000_in_chunks = {
        answer!("HTTP/1.1 000 X", "Transfer-Encoding: chunked\r\n\r\n10\r\nfrom the backend\r\n0\r\n\r\n")
    },
    status_000_after_interim_answer = {
        answer!("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 X", "Content-Length: 16\r\n\r\nfrom the backend")
    },
    status_099 = { answer!("HTTP/1.1 099 X", "Content-Length: 16\r\n\r\nfrom the backend") },
    status_600 = { answer!("HTTP/1.1 600 X", "Content-Length: 16\r\n\r\nfrom the backend") },
    status_999_without_execution = {
        answer!("HTTP/1.1 999 X", "Not-Executed: 1\r\nContent-Length: 16\r\n\r\nfrom the backend")
    },
    cut_before_a_chunk = {
        answer!("HTTP/1.1 200 OK", "Transfer-Encoding: chunked\r\n\r\n10\r\nfrom the backend\r\n\r\n\r\n")
    },
    chunk_size_with_extension_only = {
        answer!("HTTP/1.1 200 OK", "Transfer-Encoding: chunked\r\n\r\n10\r\nfrom the backend\r\n;x\r\n\r\n")
    },
    control_byte_in_chunk_extension = {
        answer!("HTTP/1.1 200 OK", "Transfer-Encoding: chunked\r\n\r\n10;\u{1}\r\nfrom the backend\r\n0\r\n\r\n")
    },
    trailer_that_is_another_answer = {
        answer!("HTTP/1.1 200 OK", "Transfer-Encoding: chunked\r\n\r\n10\r\nfrom the backend\r\n0\r\n\
            HTTP/1.1 200 OK\r\n\r\n")
    },
    control_byte_in_trailer = {
        answer!("HTTP/1.1 200 OK", "Transfer-Encoding: chunked\r\n\r\n10\r\nfrom the backend\r\n0\r\n\
            Ta\u{1}il: t\r\n\r\n")
    },
    empty_line_before_status_line = { answer!("\r\nHTTP/1.1 200 OK", "Content-Length: 16\r\n\r\nfrom the backend") },
    line_feed_after_interim_answer = {
        answer!("HTTP/1.1 103 Early Hints\r\n\r\n\nHTTP/1.1 200 OK", "Content-Length: 16\r\n\r\nfrom the backend")
    },
    after_a_switch_of_protocols = {
        answer!("HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\nHTTP/1.1 200 OK",
            "Content-Length: 16\r\n\r\nfrom the backend")
    },
    in_chunks_of_http_1_0 = {
        answer!("HTTP/1.0 200 OK", "Transfer-Encoding: chunked\r\n\r\n10\r\nfrom the backend\r\n0\r\n\r\n")
    },
    with_two_lengths = {
        answer!("HTTP/1.1 200 OK", "Content-Length: 16\r\nContent-Length: 4\r\n\r\nfrom the backend")
    },
    with_length_and_transfer_coding = {
        answer!("HTTP/1.1 200 OK", "Content-Length: 16\r\nTransfer-Encoding: chunked\r\n\r\nfrom the backend")
    },
    with_two_attempt_ids = {
        answer!("HTTP/1.1 200 OK", "Attempt-Id: another\r\nContent-Length: 16\r\n\r\nfrom the backend")
    },
)]
fn a_malformed_answer_is_not_passed_on(text: &'static str) {
    let cluster = TestCluster::start_serving();
    for mutating in [true, false] {
        for delivery in [Delivery::Whole, Delivery::Bytewise] {
            answer_raw(&cluster.backends, text, delivery);
            let executed = (0..ROUNDS).filter(|round| {
                let attempt = format!("{mutating}-{delivery:?}-{round}");
                assert_no_answer_is_passed_on(&cluster, mutating, &attempt)
            });
            assert!(executed.count() > 0, "a request is executed, mutating {mutating}, {delivery:?}");
        }
    }
    assert_no_connection_is_reused(&cluster);
}

/// The answer of one backend is malformed, that of the other one is not.
#[test]
fn a_repeatable_request_is_retried_at_another_backend_after_a_malformed_answer() {
    let cluster = TestCluster::start_serving();
    assert_eq!(send(&cluster, false, "first").status(), 200);
    let mut preferred = cluster.backends.iter().filter(|backend| backend.count_executions("first") > 0);
    let broken = preferred.next().expect("a backend that was chosen");
    let malformed = answer!("HTTP/1.1 000 X", "Content-Length: 16\r\n\r\nfrom the backend");
    answer_raw([broken], malformed, Delivery::Whole);
    let mut sent = 0;
    cluster.wait_until("a request is answered with 000 at first", || {
        sent += 1;
        let attempt = format!("read-{sent}");
        let response = send(&cluster, false, &attempt);
        assert_eq!((response.status(), response.header("Attempt-Id")), (200, Some(attempt.as_str())));
        (broken.count_executions(&attempt) > 0).then_some(())
    });
    assert_no_connection_is_reused(&cluster);
}

/// The body may still come, and must not be taken for the answer to the next request.
#[test]
fn a_connection_is_not_used_again_after_an_answer_without_content_that_announces_some() {
    let cluster = TestCluster::start_serving();
    let announcing = answer!("HTTP/1.1 204 No Content", "Content-Length: 16\r\n\r\n");
    answer_raw(&cluster.backends, announcing, Delivery::Whole);
    for round in 0..ROUNDS {
        assert_eq!(send(&cluster, true, &format!("write-{round}")).status(), 204);
    }
    assert_no_connection_is_reused(&cluster);
}

#[parameterized(
    without_reason = { answer!("HTTP/1.1 200 ", "Content-Length: 16\r\n\r\nfrom the backend") },
    of_http_1_0 = { answer!("HTTP/1.0 200 OK", "Content-Length: 16\r\n\r\nfrom the backend") },
    after_interim_answers = {
        answer!("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK",
            "Content-Length: 16\r\n\r\nfrom the backend")
    },
    in_chunks = {
        answer!("HTTP/1.1 200 OK", "Transfer-Encoding: chunked\r\n\r\n4 ;a=\"b;c\"\r\nfrom\r\n0C\r\n the backend\r\n\
            0\r\nTail: t\r\n\r\n")
    },
    with_other_line_ends = {
        "HTTP/1.1 200 OK\nAttempt-Id: {attempt}\nBackend-Seal: s.1\nContent-Length: 16\n\nfrom the backend"
    },
)]
fn an_unusual_answer_that_is_allowed_is_passed_on(text: &'static str) {
    let cluster = TestCluster::start_serving();
    for mutating in [true, false] {
        for delivery in [Delivery::Whole, Delivery::Bytewise] {
            answer_raw(&cluster.backends, text, delivery);
            for round in 0..ROUNDS {
                let attempt = format!("{mutating}-{delivery:?}-{round}");
                let response = send(&cluster, mutating, &attempt);
                let received = (response.status(), response.body.as_str(), response.header("Attempt-Id"));
                assert_eq!(received, (200, BODY, Some(attempt.as_str())), "{response:?}");
            }
        }
    }
}
