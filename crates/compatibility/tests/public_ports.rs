//! What callers from outside are answered, as bytes: the operator's port, the registry's, readiness and the clients' port.

mod support;

use std::net::SocketAddr;
use support::assert_golden;
use support::wire::{raw_call, request, status, until};
use vanewharf_testkit::cluster::{CONTROLLERS, TestCluster};
use vanewharf_testkit::config::config;

const REPLACE: &str = "/-/Configuration.Replace";
const READ: &str = "/-/Configuration.Read";
const KEY_A: &str = "X-Api-Key: key-a\r\nAttempt-Id: 1\r\nRemaining-Milliseconds: 2000\r\n";
const KEY_C: &str = "X-Api-Key: key-c\r\nAttempt-Id: 1\r\nRemaining-Milliseconds: 2000\r\n";
const RETRY_AFTER: &str = "Retry-After: ";

fn call(to: SocketAddr, method: &str, path: &str, fields: &str, body: &str) -> Vec<u8> {
    until("an answer", || raw_call(to, &request(method, path, fields, body)))
}

/// Asks again until the answer has that status.
fn until_status(to: SocketAddr, request_bytes: &str, wanted: u16) -> Vec<u8> {
    until(&format!("{wanted}"), || raw_call(to, request_bytes).filter(|answer| status(answer) == wanted))
}

/// The seconds to wait are checked for their form; the addresses of the machines begin alike.
#[track_caller]
fn assert_answer(name: &str, cluster: &TestCluster, answer: &[u8]) {
    let text = String::from_utf8(answer.to_vec()).expect("text");
    let machine = cluster.controller_address(0).ip().to_string();
    let subnet = machine.strip_suffix('1').expect("the first machine");
    let (head, body) = text.split_once("\r\n\r\n").expect("a head and a body");
    let normal_body = body.replace(subnet, "127.N.N.");
    let mut lines = Vec::new();
    for line in head.split("\r\n") {
        let length = format!("Content-Length: {}", body.len());
        if let Some(seconds) = line.strip_prefix(RETRY_AFTER) {
            assert!(seconds.parse::<f64>().is_ok_and(|seconds| seconds > 0.0), "{line}");
            lines.push(format!("{RETRY_AFTER}<seconds>"));
        } else if line == length && normal_body != body {
            lines.push("Content-Length: <length>".to_owned());
        } else {
            lines.push(line.replace(subnet, "127.N.N."));
        }
    }
    let normal = format!("{}\r\n\r\n{normal_body}", lines.join("\r\n"));
    assert_golden(&format!("public/{name}.http"), normal.as_bytes());
}

#[test]
fn public_ports() {
    let cluster = TestCluster::start(1, |_| {});
    let (readiness, door) = (cluster.readiness_address(0), cluster.frontend_address(0));
    let up = request("GET", "/-/readiness", "", "");
    assert_answer("readiness_down", &cluster, &until_status(readiness, &up, 503));
    assert_answer("readiness_unknown", &cluster, &call(readiness, "GET", "/unknown", "", ""));

    let first = config(1, |_| {});
    assert_eq!(cluster.send_command("POST", REPLACE, &first).status(), 200);
    let read = request("GET", READ, "", "");
    let holder = until("one takes orders", || {
        let holds = |no: &usize| {
            raw_call(cluster.controller_address(*no), &read).is_some_and(|answer| status(&answer) == 200)
        };
        (0..CONTROLLERS).find(holds)
    });
    let operator = cluster.controller_address(holder);
    let other = (holder + 1) % CONTROLLERS;
    let elsewhere = until_status(cluster.controller_address(other), &read, 307);
    let location = format!("http://{operator}{READ}");
    let elsewhere = String::from_utf8(elsewhere).expect("text").replace(&location, "<location>");
    let lengths = format!("Content-Length: {}", location.len() + r#"{"location":""}"#.len());
    let elsewhere = elsewhere.replace(&lengths, "Content-Length: <length>");
    assert_golden("public/operator_elsewhere.http", elsewhere.as_bytes());

    let order = |path: &str, body: &str| call(operator, "POST", path, "", body);
    assert_answer("operator_replaced_again", &cluster, &order(REPLACE, &first));
    let another = first.replace("\"tries\":2", "\"tries\":3");
    assert_answer("operator_conflict", &cluster, &order(REPLACE, &another));
    assert_answer("operator_invalid", &cluster, &order(REPLACE, &first.replace("\"r1\"", "\"1\"")));
    assert_answer("operator_no_json", &cluster, &order(REPLACE, "{"));
    assert_answer("operator_unknown_zone", &cluster, &order("/-/Evacuation.Begin/nowhere", ""));
    assert_answer("operator_evacuation", &cluster, &order("/-/Evacuation.Finish/west-a", ""));
    assert_answer("operator_bad_voter", &cluster, &order("/-/Voters.Replace/nowhere/10.0.0.2", ""));
    assert_answer("operator_unknown", &cluster, &order("/-/Unknown", ""));
    assert_answer("operator_no_call", &cluster, &order("/unknown", ""));
    assert_answer(
        "inside_unknown",
        &cluster,
        &call(cluster.internal_address(holder), "GET", "/unknown", "", ""),
    );
    assert_answer(
        "inside_membership",
        &cluster,
        &call(cluster.internal_address(holder), "GET", "/membership", "", ""),
    );

    until_status(door, &request("GET", "/read/x", KEY_A, ""), 200);
    assert_answer("readiness_up", &cluster, &until_status(readiness, &up, 200));
    let resolve = request("GET", "/-/resolution?name=shop.example&region=east", "", "");
    assert_answer(
        "registry_resolved",
        &cluster,
        &until_status(cluster.directory_address(holder), &resolve, 200),
    );
    let registry_unknown = call(cluster.directory_address(holder), "GET", "/-/unknown", "", "");
    assert_answer("registry_unknown", &cluster, &registry_unknown);

    assert_answer("client_no_route", &cluster, &call(door, "GET", "/nowhere", KEY_A, ""));
    assert_answer("client_no_key", &cluster, &call(door, "GET", "/read/x", "", ""));
    let bad_key = KEY_A.replace("key-a", "key-z");
    assert_answer("client_bad_key", &cluster, &call(door, "GET", "/read/x", &bad_key, ""));
    let no_id = KEY_A.replace("Attempt-Id: 1\r\n", "");
    assert_answer("client_no_id", &cluster, &call(door, "GET", "/read/x", &no_id, ""));
    let bad_time = KEY_A.replace("2000", "soon");
    assert_answer("client_bad_time", &cluster, &call(door, "GET", "/read/x", &bad_time, ""));
    let refused = until_status(door, &request("GET", "/read/x", KEY_C, ""), 429);
    assert_answer("client_over_quota", &cluster, &refused);
}
