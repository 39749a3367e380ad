//! How the program follows the list of backends, over loopback with stand-ins on its other sides.

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
    let give = |text: String| gateway.agent.lists.send(text).expect("the agent runs");
    give(list(5, false, &[old.entry("DRAINING"), new.entry("SERVING")]));
    assert_eq!(gateway.agent.next_call(), "GET /v1/servers?index=5&wait=2000 HTTP/1.1");
    assert_eq!(client.request(&look_request()).body, b"new");
    // Odd, broken off, silent: each time the whole list is read.
    for fault in ["{\"index\": \"six\"}", CLOSE, UNRESPONSIVE] {
        give(fault.to_owned());
        give(list(6, true, &[new.entry("SERVING")]));
        assert_eq!(gateway.agent.next_call(), "GET /v1/servers HTTP/1.1");
        assert_eq!(gateway.agent.next_call(), "GET /v1/servers?index=6&wait=2000 HTTP/1.1");
    }
    assert_eq!(client.request(&look_request()).body, b"new");
    give(list(9, true, &[]));
    assert_eq!(gateway.agent.next_call(), "GET /v1/servers?index=9&wait=2000 HTTP/1.1");
    assert_eq!(client.request(&look_request()).status(), 503, "an empty list leaves nobody to send to");
}

#[test]
fn backs_off_when_discovery_refuses_calls_and_resumes_from_the_known_version() {
    let (old, new) = (Backend::new("a", vec![ok("", "old")]), Backend::new("b", vec![ok("", "new")]));
    let gateway = Gateway::start(&[&old]);
    let mut client = gateway.client();
    assert_eq!(gateway.agent.next_call(), "GET /v1/servers?index=4&wait=2000 HTTP/1.1");
    let ((), took) = timed(|| {
        gateway.agent.lists.send(REFUSE.to_owned()).expect("the agent runs");
        assert_eq!(gateway.agent.next_call(), "GET /v1/servers?index=4&wait=2000 HTTP/1.1", "no whole list");
    });
    assert!(took >= Duration::from_millis(400), "asked again after {took:?}");
    assert_eq!(client.request(&look_request()).body, b"old", "the list it has stays in force");
    gateway
        .agent
        .lists
        .send(list(5, false, &[old.entry("DRAINING"), new.entry("SERVING")]))
        .expect("it runs");
    assert_eq!(gateway.agent.next_call(), "GET /v1/servers?index=5&wait=2000 HTTP/1.1");
    assert_eq!(client.request(&look_request()).body, b"new");
}

#[test]
fn switches_to_another_agent_on_reload() {
    let (old, new) =
        (Backend::new("a", vec![Reaction::Unresponsive]), Backend::new("b", vec![ok("", "new")]));
    let mut gateway = Gateway::start(&[&old]);
    let mut open = gateway.client();
    open.send(&txn("POST", "book", "gold", 1500, "x"));
    old.next_request();
    gateway.reload(None);
    gateway.wait_for_log("what was read before stays in force");
    assert_eq!(gateway.agent.next_call(), "GET /v1/servers?index=4&wait=2000 HTTP/1.1");
    let agent = Agent::new();
    gateway.reload(Some(agent.address));
    assert_eq!(agent.next_call(), "GET /v1/servers HTTP/1.1", "at once, though a call to the first is out");
    agent.lists.send(list(7, true, &[new.entry("SERVING")])).expect("the agent runs");
    assert_eq!(agent.next_call(), "GET /v1/servers?index=7&wait=2000 HTTP/1.1");
    assert_eq!(gateway.client().request(&with_other_id(look_request())).body, b"new");
    assert_eq!(open.read_answer().status(), 502, "what was open has its answer in its own time");
    assert_eq!((gateway.counter("reloads"), gateway.counter("reload_failures")), (1, 1));
}

#[test]
fn a_new_name_at_an_address_reuses_nothing_of_the_old() {
    let (first, other) =
        (Backend::new("a", vec![ok("", "seen")]), Backend::new("b", vec![Reaction::Unresponsive]));
    let gateway = Gateway::start(&[&first]);
    let mut client = gateway.client();
    assert_eq!(client.request(&look_request()).status(), 200);
    assert_eq!(gateway.agent.next_call(), "GET /v1/servers?index=4&wait=2000 HTTP/1.1");
    let give = |text: String| gateway.agent.lists.send(text).expect("the agent runs");
    let mut renamed = first.entry("SERVING");
    renamed["name"] = "c".into();
    give(list(5, false, &[renamed]));
    assert_eq!(gateway.agent.next_call(), "GET /v1/servers?index=5&wait=2000 HTTP/1.1");
    // Told late, the old name's end must not touch the new one.
    give(list(6, false, &[first.entry("DELETED"), other.entry("DRAINING")]));
    assert_eq!(gateway.agent.next_call(), "GET /v1/servers?index=6&wait=2000 HTTP/1.1");
    assert_eq!(client.request(&look_request()).status(), 200);
    assert_eq!(first.connections.load(Ordering::SeqCst), 2, "a connection to the old name is not kept");
}
