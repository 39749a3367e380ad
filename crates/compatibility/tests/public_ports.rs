//! Responses of the public ports, as bytes: the ports for operators, the directory service, readiness probes and clients.

mod support;

use std::net::SocketAddr;
use support::assert_golden;
use support::wire::{request, send_raw, status, wait_until};
use vanewharf_testkit::cluster::{CONTROLLERS, TestCluster};
use vanewharf_testkit::config::config;

const REPLACE: &str = "/-/Configuration.Replace";
const READ: &str = "/-/Configuration.Read";
const HEADERS_KEY_A: &str = "X-Api-Key: key-a\r\nAttempt-Id: 1\r\nRemaining-Milliseconds: 2000\r\n";
const HEADERS_KEY_C: &str = "X-Api-Key: key-c\r\nAttempt-Id: 1\r\nRemaining-Milliseconds: 2000\r\n";
const RETRY_AFTER: &str = "Retry-After: ";

fn call(to: SocketAddr, method: &str, path: &str, headers: &str, body: &str) -> Vec<u8> {
    wait_until("the port responds", || send_raw(to, &request(method, path, headers, body)))
}

/// Sends the request again until the response has this status.
fn call_until_status(to: SocketAddr, request: &str, expected: u16) -> Vec<u8> {
    wait_until(&format!("the status is {expected}"), || {
        send_raw(to, request).filter(|response| status(response) == expected)
    })
}

/// Compares a response with its golden file after replacing what varies between runs: the addresses of the cluster and the
/// value of `Retry-After`, which must be a positive number.
#[track_caller]
fn assert_response(name: &str, cluster: &TestCluster, response: &[u8]) {
    let text = String::from_utf8(response.to_vec()).expect("the response is UTF-8");
    let first_address = cluster.controller_address(0).ip().to_string();
    let subnet = first_address.strip_suffix('1').expect("the first machine has host number 1");
    let (head, body) = text.split_once("\r\n\r\n").expect("the response has a head and a body");
    let normalised_body = body.replace(subnet, "127.N.N.");
    let mut lines = Vec::new();
    for line in head.split("\r\n") {
        let length = format!("Content-Length: {}", body.len());
        if let Some(seconds) = line.strip_prefix(RETRY_AFTER) {
            assert!(seconds.parse::<f64>().is_ok_and(|seconds| seconds > 0.0), "{line}");
            lines.push(format!("{RETRY_AFTER}<seconds>"));
        } else if line == length && normalised_body != body {
            lines.push("Content-Length: <length>".to_owned());
        } else {
            lines.push(line.replace(subnet, "127.N.N."));
        }
    }
    let normalised = format!("{}\r\n\r\n{normalised_body}", lines.join("\r\n"));
    assert_golden(&format!("public/{name}.http"), normalised.as_bytes());
}

#[test]
fn public_ports() {
    let cluster = TestCluster::start(1, |_| {});
    let (readiness, frontend) = (cluster.readiness_address(0), cluster.frontend_address(0));
    let probe = request("GET", "/-/readiness", "", "");
    assert_response("readiness_down", &cluster, &call_until_status(readiness, &probe, 503));
    assert_response("readiness_unknown", &cluster, &call(readiness, "GET", "/unknown", "", ""));

    let first = config(1, |_| {});
    assert_eq!(cluster.send_command("POST", REPLACE, &first).status(), 200);
    let read = request("GET", READ, "", "");
    let leaseholder = wait_until("a controller holds the lease", || {
        let holds_lease = |controller: &usize| {
            send_raw(cluster.controller_address(*controller), &read)
                .is_some_and(|response| status(&response) == 200)
        };
        (0..CONTROLLERS).find(holds_lease)
    });
    let operator = cluster.controller_address(leaseholder);
    let other = (leaseholder + 1) % CONTROLLERS;
    let redirection = call_until_status(cluster.controller_address(other), &read, 307);
    let location = format!("http://{operator}{READ}");
    let redirection =
        String::from_utf8(redirection).expect("the response is UTF-8").replace(&location, "<location>");
    let content_length = format!("Content-Length: {}", location.len() + r#"{"location":""}"#.len());
    let redirection = redirection.replace(&content_length, "Content-Length: <length>");
    assert_golden("public/operator_elsewhere.http", redirection.as_bytes());

    let command = |path: &str, body: &str| call(operator, "POST", path, "", body);
    assert_response("operator_replaced_again", &cluster, &command(REPLACE, &first));
    let conflicting = first.replace("\"tries\":2", "\"tries\":3");
    assert_response("operator_conflict", &cluster, &command(REPLACE, &conflicting));
    assert_response("operator_invalid", &cluster, &command(REPLACE, &first.replace("\"r1\"", "\"1\"")));
    assert_response("operator_no_json", &cluster, &command(REPLACE, "{"));
    assert_response("operator_unknown_zone", &cluster, &command("/-/Evacuation.Begin/nowhere", ""));
    assert_response("operator_evacuation", &cluster, &command("/-/Evacuation.Finish/west-a", ""));
    assert_response("operator_bad_voter", &cluster, &command("/-/Voters.Replace/nowhere/10.0.0.2", ""));
    assert_response("operator_unknown", &cluster, &command("/-/Unknown", ""));
    assert_response("operator_no_call", &cluster, &command("/unknown", ""));
    assert_response(
        "inside_unknown",
        &cluster,
        &call(cluster.internal_address(leaseholder), "GET", "/unknown", "", ""),
    );
    assert_response(
        "inside_membership",
        &cluster,
        &call(cluster.internal_address(leaseholder), "GET", "/membership", "", ""),
    );

    call_until_status(frontend, &request("GET", "/read/x", HEADERS_KEY_A, ""), 200);
    assert_response("readiness_up", &cluster, &call_until_status(readiness, &probe, 200));
    let resolve = request("GET", "/-/resolution?name=shop.example&region=east", "", "");
    assert_response(
        "registry_resolved",
        &cluster,
        &call_until_status(cluster.directory_address(leaseholder), &resolve, 200),
    );
    let registry_unknown = call(cluster.directory_address(leaseholder), "GET", "/-/unknown", "", "");
    assert_response("registry_unknown", &cluster, &registry_unknown);

    assert_response("client_no_route", &cluster, &call(frontend, "GET", "/nowhere", HEADERS_KEY_A, ""));
    assert_response("client_no_key", &cluster, &call(frontend, "GET", "/read/x", "", ""));
    let bad_key = HEADERS_KEY_A.replace("key-a", "key-z");
    assert_response("client_bad_key", &cluster, &call(frontend, "GET", "/read/x", &bad_key, ""));
    let no_id = HEADERS_KEY_A.replace("Attempt-Id: 1\r\n", "");
    assert_response("client_no_id", &cluster, &call(frontend, "GET", "/read/x", &no_id, ""));
    let bad_time = HEADERS_KEY_A.replace("2000", "soon");
    assert_response("client_bad_time", &cluster, &call(frontend, "GET", "/read/x", &bad_time, ""));
    let over_quota = call_until_status(frontend, &request("GET", "/read/x", HEADERS_KEY_C, ""), 429);
    assert_response("client_over_quota", &cluster, &over_quota);
}
