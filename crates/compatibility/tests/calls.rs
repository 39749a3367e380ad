//! RPCs between the processes of the system, as bytes: the method, path, headers and body of each request, and the
//! response.

mod support;

use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;
use support::assert_golden;
use support::programs::{Program, RunningProgram, settings, with_data_directory};
use support::wire::{RecordingServer, Subnet, body, request, send_raw, status, wait_until};
use tempfile::TempDir;
use tokio::runtime::{Builder, LocalOptions};
use vanewharf_http1::Request;
use vanewharf_rpc::{RpcClient, RpcResponse, serve_deduplicated};
use vanewharf_runtime::environment::Environment;

/// Host number of the program under test in its subnet.
const SELF: u8 = 1;
/// Host number of the fake servers.
const OTHER: u8 = 2;
/// Port on which a controller accepts RPCs.
const CONTROLLER_RPC_PORT: u16 = 7600;
/// Port on which an agent accepts RPCs of other agents.
const AGENT_PEER_PORT: u16 = 7601;
/// Port on which an agent accepts RPCs of the proxy on its machine.
const AGENT_PROXY_PORT: u16 = 7602;
/// Port on which a controller accepts requests of operators.
const CONTROL_PLANE_PORT: u16 = 8200;

/// The body of a pull request from a caller that has no state.
const EMPTY_PULL_REQUEST: &str = r#"{"have":{"register":0,"list":{"ballot":0,"no":0},"ledger":{"ballot":0,"no":0}},"wait_ms":0,"office":null,"lent":null,"reports":[]}"#;
const FIXED_CALL_ID: &str = "Call-Id: 1f-2a\r\n";

#[track_caller]
fn assert_call(name: &str, subnet: Subnet, message: &[u8]) {
    assert_golden(&format!("calls/{name}.http"), &subnet.normalise(message));
}

/// Asserts a message in which nothing varies between runs.
#[track_caller]
fn assert_exact(name: &str, message: &[u8]) {
    assert_golden(&format!("calls/{name}.http"), message);
}

/// Sends a request with these additional header lines, and returns the raw response.
fn call(to: SocketAddr, method: &str, path: &str, headers: &str, body: &str) -> Vec<u8> {
    send_raw(to, &request(method, path, headers, body)).expect("a response")
}

fn run_on_local_runtime<T>(future: impl Future<Output = T>) -> T {
    let runtime = Builder::new_current_thread().enable_all().build_local(LocalOptions::default());
    runtime.expect("a runtime can be built").block_on(future)
}

const RPC_TIMEOUT: Duration = Duration::from_secs(10);

#[test]
fn client() {
    let subnet = Subnet::reserve();
    let address = subnet.socket_address(OTHER, CONTROLLER_RPC_PORT);
    let recorder = RecordingServer::start(address, |_, _| Some("[]".to_owned()));
    run_on_local_runtime(async {
        let environment = Environment::of_machine(None).expect("an environment can be created");
        let mut client = RpcClient::new(address, &environment.network);
        client.call::<_, Vec<u8>>("/asked", &json!({"a": 1}), RPC_TIMEOUT).await.expect("a response");
        client.get::<Vec<u8>>("/fetched", RPC_TIMEOUT).await.expect("a response");
        client.send("GET", "/called", "", RPC_TIMEOUT).await.expect("a response");
    });
    assert_call("client_ask", subnet, &recorder.wait_for("POST /asked", ""));
    assert_call("client_fetch", subnet, &recorder.wait_for("GET /fetched", ""));
    assert_call("client_outside", subnet, &recorder.wait_for("GET /called", ""));
}

/// Responses of the RPC server: call ids, compression of long responses, and malformed requests.
#[test]
fn server() {
    let subnet = Subnet::reserve();
    let address = subnet.socket_address(SELF, CONTROLLER_RPC_PORT);
    std::thread::spawn(move || {
        run_on_local_runtime(async move {
            let environment = Environment::of_machine(None).expect("an environment can be created");
            let listener = environment.network.listen(address).expect("the address can be bound");
            let handler = |request: Request| async move {
                let long = request.target() == "/long";
                RpcResponse::json(&if long { "a".repeat(4000) } else { "b".to_owned() })
                    .compressed_for(&request)
            };
            serve_deduplicated(listener, handler).await;
        });
    });
    wait_until("the server listens", || send_raw(address, &request("GET", "/first", "", "")));
    let post = |path: &str, headers: &str| call(address, "POST", path, headers, "{}");
    assert_exact("server_without_id", &post("/x", ""));
    assert_exact("server_bad_id", &post("/x", "Call-Id: 1f\r\n"));
    assert_exact("server_new", &post("/x", "Call-Id: 1f-1\r\n"));
    assert_exact("server_repeated", &post("/x", "Call-Id: 1f-1\r\n"));
    assert_exact("server_lend_new", &post("/lend", "Call-Id: 1f-2\r\n"));
    assert_exact("server_lend_repeated", &post("/lend", "Call-Id: 1f-2\r\n"));
    assert_exact("server_long_plain", &post("/long", "Call-Id: 1f-3\r\n"));
    let compressed = post("/long", "Call-Id: 1f-4\r\nAccept-Encoding: deflate\r\n");
    assert_exact("server_long_packed", &compressed);
    let large_head = format!("X: {}\r\n", "x".repeat(100_000));
    assert_exact("server_head_too_large", &post("/x", &large_head));
    let large_body = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999\r\n\r\n";
    assert_exact("server_body_too_large", &send_raw(address, large_body).expect("a response"));
    assert_exact("server_no_http", &send_raw(address, "no http\r\n\r\n").expect("a response"));
}

/// Vote requests that a controller sends to the other voter, from its first candidacy until it releases the lease.
#[test]
fn vote_requests() {
    let subnet = Subnet::reserve();
    let (own, other) =
        (subnet.socket_address(SELF, CONTROLLER_RPC_PORT), subnet.socket_address(OTHER, CONTROLLER_RPC_PORT));
    let register = format!(
        r#"{{"ballot":0,"no":0,"config":null,"evacuated":[],"membership":{{"epoch":1,"voters":["{own}","{other}"]}}}}"#
    );
    let recorder = RecordingServer::start(other, move |line, body| {
        let vote = match (line, body.split('"').nth(1)) {
            ("POST /vote", Some("PreVote")) => r#"{"Willing":{"promised":0}}"#.to_owned(),
            ("POST /vote", Some("Lease")) => format!(r#"{{"Granted":{{"register":{register}}}}}"#),
            ("POST /vote", _) => r#""Accepted""#.to_owned(),
            _ => return None,
        };
        Some(format!(r#"{{"incarnation":0,"vote":{vote}}}"#))
    });
    let disk = TempDir::new().expect("a temporary directory can be created");
    let settings = with_data_directory(settings(subnet.ip(SELF), &[own, other]), disk.path());
    let mut controller = RunningProgram::start(Program::Controller, &settings);
    let vote_request = |variant: &str| recorder.wait_for("POST /vote", &format!(r#"{{"{variant}""#));
    assert_call("vote_pre_vote", subnet, &vote_request("PreVote"));
    assert_call("vote_lease", subnet, &vote_request("Lease"));
    assert_call("vote_renew", subnet, &vote_request("Renew"));
    let command = request("POST", "/-/Evacuation.Begin/east-a", "", "");
    wait_until("the command is acknowledged", || {
        send_raw(subnet.socket_address(SELF, CONTROL_PLANE_PORT), &command)
            .filter(|response| status(response) == 200)
    });
    assert_call("vote_accept", subnet, &vote_request("Accept"));
    controller.stop();
    assert_call("vote_release", subnet, &vote_request("Release"));
}

/// The pull request of a controller that does not hold the lease.
#[test]
fn pull_by_controller() {
    let subnet = Subnet::reserve();
    let (own, other) =
        (subnet.socket_address(SELF, CONTROLLER_RPC_PORT), subnet.socket_address(OTHER, CONTROLLER_RPC_PORT));
    let recorder = RecordingServer::start(other, |_, _| None);
    let disk = TempDir::new().expect("a temporary directory can be created");
    let settings = with_data_directory(settings(subnet.ip(SELF), &[own, other]), disk.path());
    let _controller = RunningProgram::start(Program::Controller, &settings);
    assert_call("pull_control_plane", subnet, &recorder.wait_for("POST /pull", ""));
}

/// The request of a controller with an empty disk that recovers its promises from the other voter.
#[test]
fn recovery() {
    let subnet = Subnet::reserve();
    let (own, other) =
        (subnet.socket_address(SELF, CONTROLLER_RPC_PORT), subnet.socket_address(OTHER, CONTROLLER_RPC_PORT));
    let recorder = RecordingServer::start(other, |_, _| None);
    let disk = TempDir::new().expect("a temporary directory can be created");
    let mut settings = with_data_directory(settings(subnet.ip(SELF), &[own, other]), disk.path());
    settings["initial_start"] = json!(false);
    let _controller = RunningProgram::start(Program::Controller, &settings);
    let recover_request =
        String::from_utf8(recorder.wait_for("POST /vote", r#"{"Recover""#)).expect("the request is UTF-8");
    let (before, incarnation) =
        recover_request.split_once(r#""incarnation":"#).expect("the request has an incarnation");
    assert!(incarnation.trim_end_matches('}').parse::<u64>().is_ok(), "{recover_request}");
    // The incarnation is random, and the Content-Length depends on its number of digits.
    let line = before
        .lines()
        .find(|line| line.starts_with("Content-Length: "))
        .expect("the request has a Content-Length");
    let before = before.replace(line, "Content-Length: 0");
    let head = before.split("\r\n\r\n").next().expect("the request has a head");
    let head =
        String::from_utf8(subnet.normalise(format!("{head}\r\n\r\n").as_bytes())).expect("the head is UTF-8");
    let body_start =
        before.split("\r\n\r\n").nth(1).expect("the request has a body").replace(&own.to_string(), "<own>");
    let normalised = format!("{head}{body_start}\"incarnation\":<number>}}}}");
    assert_golden("calls/vote_recover.http", normalised.as_bytes());
}

/// A restarted controller asks the node to which it had granted a lease whether that node still holds it.
#[test]
fn lease_check_after_restart() {
    let subnet = Subnet::reserve();
    let (own, other) =
        (subnet.socket_address(SELF, CONTROLLER_RPC_PORT), subnet.socket_address(OTHER, CONTROLLER_RPC_PORT));
    let recorder = RecordingServer::start(other, |_, _| None);
    let disk = TempDir::new().expect("a temporary directory can be created");
    let settings = with_data_directory(settings(subnet.ip(SELF), &[own, other]), disk.path());
    let mut controller = RunningProgram::start(Program::Controller, &settings);
    let lease_request = format!(r#"{{"Lease":{{"ballot":1024,"holder":"{other}"}}}}"#);
    wait_until("a lease is granted", || {
        let response = send_raw(own, &request("POST", "/vote", "", &lease_request))?;
        body(&response).contains("Granted").then_some(())
    });
    controller.stop();
    let _controller = RunningProgram::start(Program::Controller, &settings);
    assert_call("holds", subnet, &recorder.wait_for("POST /holds", ""));
}

/// The requests that an agent sends to a controller and to another agent, and its responses.
#[test]
fn agent() {
    let subnet = Subnet::reserve();
    let own = subnet.socket_address(SELF, AGENT_PEER_PORT);
    let controller = RecordingServer::start(subnet.socket_address(OTHER, CONTROLLER_RPC_PORT), |_, _| None);
    let peer = RecordingServer::start(subnet.socket_address(OTHER, AGENT_PEER_PORT), |_, _| None);
    let seeds = [subnet.socket_address(OTHER, CONTROLLER_RPC_PORT)];
    let _agent_without_peers = RunningProgram::start(Program::Agent, &settings(subnet.ip(3), &seeds));
    let _agent = RunningProgram::start(Program::Agent, &settings(subnet.ip(SELF), &seeds));
    let peers = format!(r#"[{{"ip":"{}","region":"east","heard_ms":0}}]"#, subnet.ip(OTHER));
    let gossip_response = wait_until("the agent listens", || {
        send_raw(own, &request("POST", "/shuffle", "Call-Id: 1f-1\r\n", &peers))
    });
    assert_call("answer_shuffle", subnet, &gossip_response);
    let unknown = call(own, "POST", "/unknown", "Call-Id: 1f-2\r\n", "");
    assert_call("answer_agent_unknown", subnet, &unknown);
    let unreadable = call(own, "POST", "/shuffle", "Call-Id: 1f-3\r\n", "{}");
    assert_call("answer_shuffle_unreadable", subnet, &unreadable);
    let pulled = call(own, "POST", "/pull", "Call-Id: 1f-4\r\n", EMPTY_PULL_REQUEST);
    assert_call("answer_agent_pull", subnet, &pulled);
    let proxy_port = subnet.socket_address(SELF, AGENT_PROXY_PORT);
    let pulled = call(proxy_port, "POST", "/pull", FIXED_CALL_ID, EMPTY_PULL_REQUEST);
    assert_call("answer_agent_pull_own", subnet, &pulled);
    assert_call("pull_agent", subnet, &controller.wait_for("POST /pull", ""));
    assert_call("neighbours", subnet, &controller.wait_for("GET /neighbours", ""));
    assert_call("shuffle", subnet, &peer.wait_for("POST /shuffle", ""));
}

const MINIMAL_CONFIGURATION: &str = r#"{"revision":"r1","routes":{},"services":{},"limits":{"max_header_bytes":1024,"max_body_bytes":1024,"header_deadline":"1s","idle_timeout":"1s"},"customers":{}}"#;

/// The responses of a controller to each RPC, and its request to the cloud platform.
#[test]
fn controller() {
    let subnet = Subnet::reserve();
    let own = subnet.socket_address(SELF, CONTROLLER_RPC_PORT);
    let disk = TempDir::new().expect("a temporary directory can be created");
    let platform = RecordingServer::start(subnet.socket_address(OTHER, 80), |_, _| None);
    let mut settings = with_data_directory(settings(subnet.ip(SELF), &[own]), disk.path());
    let platform_address = subnet.socket_address(OTHER, 80).to_string();
    settings["cloud_api"] = json!({"address": platform_address, "rate_per_s": 20.0, "allowed_lag": "500ms"});
    let _controller = RunningProgram::start(Program::Controller, &settings);
    let try_call = |method: &str, path: &str, body: &str| send_raw(own, &request(method, path, "", body));
    let command = request("POST", "/-/Evacuation.Begin/east-a", "", "");
    wait_until("the command is acknowledged", || {
        let response = send_raw(subnet.socket_address(SELF, CONTROL_PLANE_PORT), &command);
        response.filter(|response| status(response) == 200)
    });
    let register = wait_until("the controller serves the register and attests its age", || {
        let response = try_call("POST", "/pull", EMPTY_PULL_REQUEST)?;
        let text = body(&response);
        (text.contains(r#""register":{"#) && !text.contains(r#""sure_ms":null"#)).then_some(response)
    });
    assert_call("answer_pull", subnet, &register);
    let response_to =
        |method: &str, path: &str, body: &str| try_call(method, path, body).expect("a response");
    let pre_vote = r#"{"PreVote":{"holder":"10.0.0.1:7600"}}"#;
    assert_call("platform_instances", subnet, &platform.wait_for("GET /instances", ""));
    assert_call("answer_vote", subnet, &response_to("POST", "/vote", pre_vote));
    assert_call("answer_vote_unreadable", subnet, &response_to("POST", "/vote", "{}"));
    assert_call("answer_lend_unconfigured", subnet, &response_to("POST", "/lend", r#"{"nobody":5}"#));
    assert_call("answer_holds", subnet, &response_to("POST", "/holds", "1"));
    assert_call("answer_neighbours", subnet, &response_to("GET", "/neighbours", ""));
    assert_call("answer_membership", subnet, &response_to("GET", "/membership", ""));
    assert_call("answer_unknown", subnet, &response_to("GET", "/pull", ""));
    assert_call("answer_pull_unreadable", subnet, &response_to("POST", "/pull", "{}"));
    let configuration = request("POST", "/-/Configuration.Replace", "", MINIMAL_CONFIGURATION);
    let response =
        send_raw(subnet.socket_address(SELF, CONTROL_PLANE_PORT), &configuration).expect("a response");
    assert_eq!(status(&response), 200, "{response:?}");
    assert_call("answer_lend", subnet, &response_to("POST", "/lend", r#"{"nobody":5}"#));
}

/// The pull request that a proxy sends to its agent.
#[test]
fn proxy() {
    let subnet = Subnet::reserve();
    let agent = RecordingServer::start(subnet.socket_address(SELF, AGENT_PROXY_PORT), |_, _| None);
    let _proxy = RunningProgram::start(Program::Proxy, &settings(subnet.ip(SELF), &[]));
    assert_call("pull_data_plane", subnet, &agent.wait_for("POST /pull", ""));
}
