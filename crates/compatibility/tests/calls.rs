//! Calls between the system's own processes, as bytes: paths, header fields and bodies that clients write, and what
//! servers answer.

mod support;

use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;
use support::assert_golden;
use support::programs::{Program, Running, settings, with_data};
use support::wire::{Recorder, Subnet, body, raw_call, request, status, until};
use tempfile::TempDir;
use tokio::runtime::{Builder, LocalOptions};
use vanewharf_http1::Request;
use vanewharf_rpc::{RpcClient, RpcResponse, serve_deduplicated};
use vanewharf_runtime::environment::Environment;

const SELF: u8 = 1;
const OTHER: u8 = 2;
/// Where a control plane, and an agent, listen for the system's own calls.
const CONTROL_INSIDE: u16 = 7600;
const AGENT_BESIDE: u16 = 7601;
const AGENT_OWN: u16 = 7602;
const CONTROL_OUTSIDE: u16 = 8200;

const NOTHING_KNOWN: &str = r#"{"have":{"register":0,"list":{"ballot":0,"no":0},"ledger":{"ballot":0,"no":0}},"wait_ms":0,"office":null,"lent":null,"reports":[]}"#;
const FIXED_CALL_ID: &str = "Call-Id: 1f-2a\r\n";

#[track_caller]
fn assert_call(name: &str, subnet: Subnet, message: &[u8]) {
    assert_golden(&format!("calls/{name}.http"), &subnet.normalise(message));
}

/// Nothing in the message varies.
#[track_caller]
fn assert_exact(name: &str, message: &[u8]) {
    assert_golden(&format!("calls/{name}.http"), message);
}

/// A call of the system's own, with an id of its own unless `fields` has one.
fn own_call(to: SocketAddr, method: &str, path: &str, fields: &str, body: &str) -> Vec<u8> {
    raw_call(to, &request(method, path, fields, body)).expect("an answer")
}

fn on_local_runtime<T>(work: impl Future<Output = T>) -> T {
    let runtime = Builder::new_current_thread().enable_all().build_local(LocalOptions::default());
    runtime.expect("a runtime").block_on(work)
}

const WITHIN: Duration = Duration::from_secs(10);

#[test]
fn client() {
    let subnet = Subnet::draw();
    let at = subnet.socket(OTHER, CONTROL_INSIDE);
    let recorder = Recorder::start(at, |_, _| Some("[]".to_owned()));
    on_local_runtime(async {
        let environment = Environment::of_machine(None).expect("a network");
        let mut caller = RpcClient::new(at, &environment.network);
        caller.call::<_, Vec<u8>>("/asked", &json!({"a": 1}), WITHIN).await.expect("an answer");
        caller.get::<Vec<u8>>("/fetched", WITHIN).await.expect("an answer");
        caller.send("GET", "/called", "", WITHIN).await.expect("an answer");
    });
    assert_call("client_ask", subnet, &recorder.first("POST /asked", ""));
    assert_call("client_fetch", subnet, &recorder.first("GET /fetched", ""));
    assert_call("client_outside", subnet, &recorder.first("GET /called", ""));
}

/// The rules on call ids, long answers and requests that cannot be read.
#[test]
fn server() {
    let subnet = Subnet::draw();
    let at = subnet.socket(SELF, CONTROL_INSIDE);
    std::thread::spawn(move || {
        on_local_runtime(async move {
            let environment = Environment::of_machine(None).expect("a network");
            let listener = environment.network.listen(at).expect("an address of our own");
            let handler = |request: Request| async move {
                let long = request.target() == "/long";
                RpcResponse::json(&if long { "a".repeat(4000) } else { "b".to_owned() })
                    .compressed_for(&request)
            };
            serve_deduplicated(listener, handler).await;
        });
    });
    until("the server listens", || raw_call(at, &request("GET", "/first", "", "")));
    let call = |path: &str, fields: &str| own_call(at, "POST", path, fields, "{}");
    assert_exact("server_without_id", &call("/x", ""));
    assert_exact("server_bad_id", &call("/x", "Call-Id: 1f\r\n"));
    assert_exact("server_new", &call("/x", "Call-Id: 1f-1\r\n"));
    assert_exact("server_repeated", &call("/x", "Call-Id: 1f-1\r\n"));
    assert_exact("server_lend_new", &call("/lend", "Call-Id: 1f-2\r\n"));
    assert_exact("server_lend_repeated", &call("/lend", "Call-Id: 1f-2\r\n"));
    assert_exact("server_long_plain", &call("/long", "Call-Id: 1f-3\r\n"));
    let packed = call("/long", "Call-Id: 1f-4\r\nAccept-Encoding: deflate\r\n");
    assert_exact("server_long_packed", &packed);
    let large_head = format!("X: {}\r\n", "x".repeat(100_000));
    assert_exact("server_head_too_large", &call("/x", &large_head));
    let large_body = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999\r\n\r\n";
    assert_exact("server_body_too_large", &raw_call(at, large_body).expect("an answer"));
    assert_exact("server_no_http", &raw_call(at, "no http\r\n\r\n").expect("an answer"));
}

/// What a control plane asks of the other voters, from its first candidacy to its end.
#[test]
fn votes_asked_for() {
    let subnet = Subnet::draw();
    let (own, other) = (subnet.socket(SELF, CONTROL_INSIDE), subnet.socket(OTHER, CONTROL_INSIDE));
    let register = format!(
        r#"{{"ballot":0,"no":0,"config":null,"evacuated":[],"membership":{{"epoch":1,"voters":["{own}","{other}"]}}}}"#
    );
    let recorder = Recorder::start(other, move |line, body| {
        let vote = match (line, body.split('"').nth(1)) {
            ("POST /vote", Some("PreVote")) => r#"{"Willing":{"promised":0}}"#.to_owned(),
            ("POST /vote", Some("Lease")) => format!(r#"{{"Granted":{{"register":{register}}}}}"#),
            ("POST /vote", _) => r#""Accepted""#.to_owned(),
            _ => return None,
        };
        Some(format!(r#"{{"incarnation":0,"vote":{vote}}}"#))
    });
    let disk = TempDir::new().expect("a directory");
    let file = with_data(settings(subnet.ip(SELF), &[own, other]), disk.path());
    let mut control_plane = Running::start(Program::ControlPlane, &file);
    let vote = |variant: &str| recorder.first("POST /vote", &format!(r#"{{"{variant}""#));
    assert_call("vote_pre_vote", subnet, &vote("PreVote"));
    assert_call("vote_lease", subnet, &vote("Lease"));
    assert_call("vote_renew", subnet, &vote("Renew"));
    let order = request("POST", "/-/Evacuation.Begin/east-a", "", "");
    until("an order is taken", || {
        raw_call(subnet.socket(SELF, CONTROL_OUTSIDE), &order).filter(|answer| status(answer) == 200)
    });
    assert_call("vote_accept", subnet, &vote("Accept"));
    control_plane.stop();
    assert_call("vote_release", subnet, &vote("Release"));
}

/// What one that holds no lease asks: it follows the leaseholder that it learns of.
#[test]
fn leaseholder_followed() {
    let subnet = Subnet::draw();
    let (own, other) = (subnet.socket(SELF, CONTROL_INSIDE), subnet.socket(OTHER, CONTROL_INSIDE));
    let recorder = Recorder::start(other, |_, _| None);
    let disk = TempDir::new().expect("a directory");
    let file = with_data(settings(subnet.ip(SELF), &[own, other]), disk.path());
    let _control_plane = Running::start(Program::ControlPlane, &file);
    assert_call("pull_control_plane", subnet, &recorder.first("POST /pull", ""));
}

/// One whose disk is empty asks what it has promised.
#[test]
fn recovery() {
    let subnet = Subnet::draw();
    let (own, other) = (subnet.socket(SELF, CONTROL_INSIDE), subnet.socket(OTHER, CONTROL_INSIDE));
    let recorder = Recorder::start(other, |_, _| None);
    let disk = TempDir::new().expect("a directory");
    let mut file = with_data(settings(subnet.ip(SELF), &[own, other]), disk.path());
    file["initial_start"] = json!(false);
    let _control_plane = Running::start(Program::ControlPlane, &file);
    let asked = String::from_utf8(recorder.first("POST /vote", r#"{"Recover""#)).expect("text");
    let (before, incarnation) = asked.split_once(r#""incarnation":"#).expect("an incarnation");
    assert!(incarnation.trim_end_matches('}').parse::<u64>().is_ok(), "{asked}");
    // The incarnation is drawn, and the length goes with its digits.
    let line = before.lines().find(|line| line.starts_with("Content-Length: ")).expect("a length");
    let before = before.replace(line, "Content-Length: 0");
    let head = before.split("\r\n\r\n").next().expect("a head");
    let head = String::from_utf8(subnet.normalise(format!("{head}\r\n\r\n").as_bytes())).expect("text");
    let asked_body = before.split("\r\n\r\n").nth(1).expect("a body").replace(&own.to_string(), "<own>");
    let normal = format!("{head}{asked_body}\"incarnation\":<number>}}}}");
    assert_golden("calls/vote_recover.http", normal.as_bytes());
}

/// One that comes back asks whom it promised a ballot to.
#[test]
fn promise_asked_after() {
    let subnet = Subnet::draw();
    let (own, other) = (subnet.socket(SELF, CONTROL_INSIDE), subnet.socket(OTHER, CONTROL_INSIDE));
    let recorder = Recorder::start(other, |_, _| None);
    let disk = TempDir::new().expect("a directory");
    let file = with_data(settings(subnet.ip(SELF), &[own, other]), disk.path());
    let mut control_plane = Running::start(Program::ControlPlane, &file);
    let ask = format!(r#"{{"Lease":{{"ballot":1024,"holder":"{other}"}}}}"#);
    until("a lease is granted", || {
        let answer = raw_call(own, &request("POST", "/vote", "", &ask))?;
        body(&answer).contains("Granted").then_some(())
    });
    control_plane.stop();
    let _control_plane = Running::start(Program::ControlPlane, &file);
    assert_call("holds", subnet, &recorder.first("POST /holds", ""));
}

/// What an agent asks of a control plane and of its neighbours.
#[test]
fn agent() {
    let subnet = Subnet::draw();
    let own = subnet.socket(SELF, AGENT_BESIDE);
    let control_plane = Recorder::start(subnet.socket(OTHER, CONTROL_INSIDE), |_, _| None);
    let neighbour = Recorder::start(subnet.socket(OTHER, AGENT_BESIDE), |_, _| None);
    let seeds = [subnet.socket(OTHER, CONTROL_INSIDE)];
    let _lonely = Running::start(Program::Agent, &settings(subnet.ip(3), &seeds));
    let _agent = Running::start(Program::Agent, &settings(subnet.ip(SELF), &seeds));
    let peers = format!(r#"[{{"ip":"{}","region":"east","heard_ms":0}}]"#, subnet.ip(OTHER));
    let shuffled = until("the agent listens", || {
        raw_call(own, &request("POST", "/shuffle", "Call-Id: 1f-1\r\n", &peers))
    });
    assert_call("answer_shuffle", subnet, &shuffled);
    let unknown = own_call(own, "POST", "/unknown", "Call-Id: 1f-2\r\n", "");
    assert_call("answer_agent_unknown", subnet, &unknown);
    let unreadable = own_call(own, "POST", "/shuffle", "Call-Id: 1f-3\r\n", "{}");
    assert_call("answer_shuffle_unreadable", subnet, &unreadable);
    let pulled = own_call(own, "POST", "/pull", "Call-Id: 1f-4\r\n", NOTHING_KNOWN);
    assert_call("answer_agent_pull", subnet, &pulled);
    let by_data_plane = subnet.socket(SELF, AGENT_OWN);
    let pulled = own_call(by_data_plane, "POST", "/pull", FIXED_CALL_ID, NOTHING_KNOWN);
    assert_call("answer_agent_pull_own", subnet, &pulled);
    assert_call("pull_agent", subnet, &control_plane.first("POST /pull", ""));
    assert_call("neighbours", subnet, &control_plane.first("GET /neighbours", ""));
    assert_call("shuffle", subnet, &neighbour.first("POST /shuffle", ""));
}

const SMALLEST_CONFIGURATION: &str = r#"{"revision":"r1","routes":{},"services":{},"limits":{"max_header_bytes":1024,"max_body_bytes":1024,"header_deadline":"1s","idle_timeout":"1s"},"customers":{}}"#;

/// What a control plane answers to each call.
#[test]
fn control_plane() {
    let subnet = Subnet::draw();
    let own = subnet.socket(SELF, CONTROL_INSIDE);
    let disk = TempDir::new().expect("a directory");
    let platform = Recorder::start(subnet.socket(OTHER, 80), |_, _| None);
    let mut file = with_data(settings(subnet.ip(SELF), &[own]), disk.path());
    let platform_address = subnet.socket(OTHER, 80).to_string();
    file["cloud_api"] = json!({"address": platform_address, "rate_per_s": 20.0, "allowed_lag": "500ms"});
    let _control_plane = Running::start(Program::ControlPlane, &file);
    let call = |method: &str, path: &str, body: &str| raw_call(own, &request(method, path, "", body));
    let order = request("POST", "/-/Evacuation.Begin/east-a", "", "");
    until("an order is taken", || {
        let answer = raw_call(subnet.socket(SELF, CONTROL_OUTSIDE), &order);
        answer.filter(|answer| status(answer) == 200)
    });
    let register = until("the register is served and known to be the newest", || {
        let mail = call("POST", "/pull", NOTHING_KNOWN)?;
        let text = body(&mail);
        (text.contains(r#""register":{"#) && !text.contains(r#""sure_ms":null"#)).then_some(mail)
    });
    assert_call("answer_pull", subnet, &register);
    let answered = |method: &str, path: &str, body: &str| call(method, path, body).expect("an answer");
    let granted = r#"{"PreVote":{"holder":"10.0.0.1:7600"}}"#;
    assert_call("platform_instances", subnet, &platform.first("GET /instances", ""));
    assert_call("answer_vote", subnet, &answered("POST", "/vote", granted));
    assert_call("answer_vote_unreadable", subnet, &answered("POST", "/vote", "{}"));
    assert_call("answer_lend_unconfigured", subnet, &answered("POST", "/lend", r#"{"nobody":5}"#));
    assert_call("answer_holds", subnet, &answered("POST", "/holds", "1"));
    assert_call("answer_neighbours", subnet, &answered("GET", "/neighbours", ""));
    assert_call("answer_membership", subnet, &answered("GET", "/membership", ""));
    assert_call("answer_unknown", subnet, &answered("GET", "/pull", ""));
    assert_call("answer_pull_unreadable", subnet, &answered("POST", "/pull", "{}"));
    let configuration = request("POST", "/-/Configuration.Replace", "", SMALLEST_CONFIGURATION);
    let taken = raw_call(subnet.socket(SELF, CONTROL_OUTSIDE), &configuration).expect("an answer");
    assert_eq!(status(&taken), 200, "{taken:?}");
    assert_call("answer_lend", subnet, &answered("POST", "/lend", r#"{"nobody":5}"#));
}

/// What a data plane asks of its agent.
#[test]
fn data_plane() {
    let subnet = Subnet::draw();
    let agent = Recorder::start(subnet.socket(SELF, AGENT_OWN), |_, _| None);
    let _data_plane = Running::start(Program::DataPlane, &settings(subnet.ip(SELF), &[]));
    assert_call("pull_data_plane", subnet, &agent.first("POST /pull", ""));
}
