//! Tests of the gateway's discovery, over loopback with stand-ins for clients, backends and the discovery agent.

mod support;

use std::sync::atomic::Ordering;
use std::time::Duration;
use support::*;

#[test]
fn follows_the_list_through_faults_of_the_agent() {
    let (old, new) = (Backend::new("a", vec![ok("", "old")]), Backend::new("b", vec![ok("", "new")]));
    let gateway = Gateway::start(&[&old]);
    let mut client = gateway.client();
    assert_eq!(gateway.agent.next_call(), "GET /v1/servers?index=4&wait=2000 HTTP/1.1");
    assert_eq!(client.request(&look_request()).body, b"old");
    let publish = |text: String| gateway.agent.lists.send(text).expect("the agent runs");
    publish(list(5, false, &[old.entry("DRAINING"), new.entry("SERVING")]));
    assert_eq!(gateway.agent.next_call(), "GET /v1/servers?index=5&wait=2000 HTTP/1.1");
    assert_eq!(client.request(&look_request()).body, b"new");
    // After an invalid list, a closed connection and a missing reply, the complete list is requested.
    for fault in ["{\"index\": \"six\"}", CLOSE, UNRESPONSIVE] {
        publish(fault.to_owned());
        publish(list(6, true, &[new.entry("SERVING")]));
        assert_eq!(gateway.agent.next_call(), "GET /v1/servers HTTP/1.1");
        assert_eq!(gateway.agent.next_call(), "GET /v1/servers?index=6&wait=2000 HTTP/1.1");
    }
    assert_eq!(client.request(&look_request()).body, b"new");
    publish(list(9, true, &[]));
    assert_eq!(gateway.agent.next_call(), "GET /v1/servers?index=9&wait=2000 HTTP/1.1");
    assert_eq!(client.request(&look_request()).status(), 503, "no backend is left");
}

/// The reply with status 000 names a backend that must not be used, and so does the second one of two replies to one call.
#[test]
fn takes_no_list_from_a_malformed_reply_or_from_one_that_no_call_asked_for() {
    let (listed, unlisted) =
        (Backend::new("a", vec![ok("", "listed")]), Backend::new("b", vec![ok("", "other")]));
    let gateway = Gateway::start(&[&listed]);
    let mut client = gateway.client();
    let publish = |text: String| gateway.agent.lists.send(text).expect("the agent runs");
    let raw = |status: &str, body: &str| {
        format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len())
    };
    let wrong = list(9, true, &[unlisted.entry("SERVING")]);
    assert_eq!(gateway.agent.next_call(), "GET /v1/servers?index=4&wait=2000 HTTP/1.1");
    publish(format!("{RAW}{}", raw("000 X", &wrong)));
    assert_eq!(gateway.agent.next_call(), "GET /v1/servers HTTP/1.1", "changes may have been missed");
    let line = gateway.wait_for_log("cannot get the backend list from the discovery agent");
    assert!(line.contains("malformed reply: the status code is not valid"), "{line}");
    let right = list(5, true, &[listed.entry("SERVING")]);
    publish(format!("{RAW}{}{}", raw("200 OK", &right), raw("200 OK", &wrong)));
    assert_eq!(gateway.agent.next_call(), "GET /v1/servers?index=5&wait=2000 HTTP/1.1");
    publish(list(6, false, &[]));
    assert_eq!(gateway.agent.next_call(), "GET /v1/servers?index=6&wait=2000 HTTP/1.1");
    assert_eq!(client.request(&look_request()).body, b"listed");
}

#[test]
fn backs_off_when_discovery_refuses_calls_and_resumes_from_the_known_version() {
    let (old, new) = (Backend::new("a", vec![ok("", "old")]), Backend::new("b", vec![ok("", "new")]));
    let gateway = Gateway::start(&[&old]);
    let mut client = gateway.client();
    assert_eq!(gateway.agent.next_call(), "GET /v1/servers?index=4&wait=2000 HTTP/1.1");
    let ((), took) = timed(|| {
        gateway.agent.lists.send(REFUSE.to_owned()).expect("the agent runs");
        assert_eq!(
            gateway.agent.next_call(),
            "GET /v1/servers?index=4&wait=2000 HTTP/1.1",
            "not the complete list"
        );
    });
    assert!(took >= Duration::from_millis(400), "called again after {took:?}");
    assert_eq!(client.request(&look_request()).body, b"old", "the current list stays in effect");
    gateway
        .agent
        .lists
        .send(list(5, false, &[old.entry("DRAINING"), new.entry("SERVING")]))
        .expect("the agent runs");
    assert_eq!(gateway.agent.next_call(), "GET /v1/servers?index=5&wait=2000 HTTP/1.1");
    assert_eq!(client.request(&look_request()).body, b"new");
}

#[test]
fn switches_to_another_agent_on_reload() {
    let (old, new) =
        (Backend::new("a", vec![Reaction::Unresponsive]), Backend::new("b", vec![ok("", "new")]));
    let mut gateway = Gateway::start(&[&old]);
    let mut open = gateway.client();
    open.send(&request_text("POST", "book", "gold", 1500, "x"));
    old.next_request();
    gateway.reload(None);
    gateway.wait_for_log(
        "cannot reload the platform's configuration file; the previous configuration stays in effect",
    );
    assert_eq!(gateway.agent.next_call(), "GET /v1/servers?index=4&wait=2000 HTTP/1.1");
    let agent = Agent::new();
    gateway.reload(Some(agent.address));
    assert_eq!(
        agent.next_call(),
        "GET /v1/servers HTTP/1.1",
        "at once, although a call to the first agent is pending"
    );
    agent.lists.send(list(7, true, &[new.entry("SERVING")])).expect("the agent runs");
    assert_eq!(agent.next_call(), "GET /v1/servers?index=7&wait=2000 HTTP/1.1");
    assert_eq!(gateway.client().request(&with_other_id(look_request())).body, b"new");
    assert_eq!(open.read_answer().status(), 502, "the open request is answered by its own expiry");
    assert_eq!((gateway.counter("reloads"), gateway.counter("reload_failures")), (1, 1));
}

#[test]
fn a_new_backend_at_the_same_address_gets_new_connections() {
    let (first, other) =
        (Backend::new("a", vec![ok("", "seen")]), Backend::new("b", vec![Reaction::Unresponsive]));
    let gateway = Gateway::start(&[&first]);
    let mut client = gateway.client();
    assert_eq!(client.request(&look_request()).status(), 200);
    assert_eq!(gateway.agent.next_call(), "GET /v1/servers?index=4&wait=2000 HTTP/1.1");
    let publish = |text: String| gateway.agent.lists.send(text).expect("the agent runs");
    let mut renamed = first.entry("SERVING");
    renamed["name"] = "c".into();
    publish(list(5, false, &[renamed]));
    assert_eq!(gateway.agent.next_call(), "GET /v1/servers?index=5&wait=2000 HTTP/1.1");
    // The late removal of the old name must not affect the new one.
    publish(list(6, false, &[first.entry("DELETED"), other.entry("DRAINING")]));
    assert_eq!(gateway.agent.next_call(), "GET /v1/servers?index=6&wait=2000 HTTP/1.1");
    assert_eq!(client.request(&look_request()).status(), 200);
    assert_eq!(
        first.connections.load(Ordering::SeqCst),
        2,
        "the connection to the old backend is not reused"
    );
}
