//! Tests of the gateway's start and shutdown, over loopback with stand-ins for clients and backends.

mod support;

use serde_json::Value;
use std::process::Command;
use std::time::Duration;
use support::*;

#[test]
fn answers_all_accepted_requests_on_sigterm() {
    let backend = Backend::new("a", vec![ok("", "before"), Reaction::Unresponsive, ok("", "after")]);
    let mut gateway = Gateway::start(&[&backend]);
    let (mut idle, mut busy) = (gateway.client(), gateway.client());
    assert_eq!(idle.request(&look_request()).status(), 200);
    busy.send(&request_text("POST", "book", "gold", 1500, "x"));
    backend.next_request();
    backend.next_request();
    gateway.signal("-TERM");
    gateway.wait_for_log("ending");
    let mut late = gateway.client();
    assert_eq!(
        late.request(&with_other_id(look_request())).body,
        b"after",
        "clients are accepted for a while after SIGTERM"
    );
    assert!(idle.is_closed_by_gateway());
    let answer = busy.read_answer();
    assert_eq!((answer.status(), answer.field("Connection")), (502, Some("close")));
    assert!(busy.is_closed_by_gateway());
    let counters = gateway.wait_for_log("counters");
    assert!(counters.contains("taken=3 ") && counters.contains(" voided=1 "), "{counters}");
    assert!(gateway.wait_for_exit().success());
}

#[test]
fn waits_longer_for_a_started_request_while_draining() {
    let backend = Backend::new("a", vec![ok("", "seen")]);
    let mut gateway = Gateway::start(&[&backend]);
    let request = book_request();
    let mut client = gateway.client();
    client.send(&request[..request.len() - 1]);
    let ((), took) = timed(|| {
        gateway.signal("-TERM");
        assert!(client.is_closed_by_gateway());
    });
    // 500 ms of accepting clients and twice 200 ms of waiting; a busy machine can only add to this.
    assert!(took >= Duration::from_millis(850), "{took:?}");
    assert!(gateway.wait_for_exit().success());
}

#[test]
fn answers_a_request_that_arrived_behind_a_rejected_one_while_draining() {
    let backend = Backend::new("a", vec![ok("", "behind")]);
    let mut gateway = Gateway::start(&[&backend]);
    let rejected = look_request().replace("X-Plan: gold", "X-Plan: silver");
    let (started, rest) = rejected.split_at(rejected.len() - 1);
    let (mut idle, mut client) = (gateway.client(), gateway.client());
    client.send(started);
    gateway.signal("-TERM");
    assert!(idle.is_closed_by_gateway(), "the gateway is draining");
    client.send(&format!("{rest}{}", with_other_id(look_request())));
    assert_eq!(client.read_answer().status(), 400);
    assert_eq!(client.read_answer().body, b"behind");
    assert!(client.is_closed_by_gateway());
    assert!(gateway.wait_for_exit().success());
}

/// The request would otherwise be answered at its own expiry, which may be after the process is killed.
#[test]
fn answers_open_requests_shortly_before_it_is_killed() {
    let backend = Backend::new("a", vec![Reaction::Unresponsive]);
    let change = |config: &mut Value| {
        config["operator"] = "kill_after_s = 1.5".into();
        config["settings"]["classes"][1]["hard_limit"] = 60_000.into();
    };
    let mut gateway = Gateway::with_config(&[&backend], 1024, 64, 1024, change);
    let mut client = gateway.client();
    client.send(&request_text("POST", "book", "gold", 50_000, "x"));
    backend.next_request();
    let (answer, took) = timed(|| {
        gateway.signal("-TERM");
        client.read_answer()
    });
    // 0.95 of the time until the kill; a busy machine can only add to this.
    assert!(took >= Duration::from_millis(1400), "{took:?}");
    assert_eq!(
        (answer.status(), answer.field("Connection")),
        (502, Some("close")),
        "a backend may have run it"
    );
    assert!(gateway.wait_for_exit().success());
}

#[test]
fn survives_a_closed_log_pipe() {
    let backend = Backend::new("a", vec![ok("", "seen")]);
    let mut gateway = Gateway::start(&[&backend]);
    gateway.close_log();
    for _ in 0..20 {
        gateway.signal("-USR1");
        assert_eq!(gateway.client().request(&look_request()).status(), 200);
    }
    gateway.signal("-TERM");
    assert!(gateway.wait_for_exit().success());
}

#[test]
fn reports_why_it_cannot_serve() {
    for (config, reason) in [
        (None, "ROUTER_CONFIG is not set"),
        (Some("{"), "cannot read"),
        (Some("{\"name\": \"n0\"}"), "missing field"),
    ] {
        let (mut command, path): (Command, _) = program(config, 64);
        let output = command.output().expect("the program runs");
        let log = String::from_utf8_lossy(&output.stderr);
        assert!(log.contains(reason) && !log.contains("panicked"), "{log}");
        assert_eq!(output.status.code(), Some(1));
        let _ = std::fs::remove_file(path);
    }
}
