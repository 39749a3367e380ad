//! Malformed input on every port of a cluster is rejected with a 4xx that names the fault, and changes no state.

use serde_json::{Value, json};
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;
use vanewharf_protocol::endpoints;
use vanewharf_testkit::cluster::{CONTROLLERS, TestCluster};
use vanewharf_testkit::config::config;
use vanewharf_testkit::http::{self, Message, send_request};
use yare::parameterized;

/// Sends these bytes on a new connection and reads the response. Returns `None` if the connection is closed without one.
fn send_raw(to: SocketAddr, bytes: &[u8], half_close: bool) -> Option<Message> {
    let mut stream = TcpStream::connect(to).expect("the port accepts connections");
    stream.set_read_timeout(Some(Duration::from_secs(8))).expect("the timeout is valid");
    // Ignores write errors: the server may respond to a request that is too large before all of it is written.
    let _ = stream.write_all(bytes);
    if half_close {
        stream.shutdown(Shutdown::Write).expect("the connection can be half-closed");
    }
    http::read_message(&mut stream).expect("the connection is not reset before the response is read")
}

fn request(method: &str, path: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: shop.example
{headers}"
    );
    let mut bytes = format!("{head}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Port {
    ControlPlane,
    DirectoryService,
    Internal,
    AgentForPeers,
    AgentForProxy,
    Frontend,
    Readiness,
}

impl Port {
    fn address(self, cluster: &TestCluster) -> SocketAddr {
        let leaseholder = (0..CONTROLLERS).find(|controller| {
            send_request(cluster.controller_address(*controller), "GET", "/-/Configuration.Read", &[], "")
                .is_ok_and(|read| read.status() == 200)
        });
        match self {
            Port::ControlPlane => {
                cluster.controller_address(leaseholder.expect("a controller holds the lease"))
            }
            Port::DirectoryService => {
                cluster.directory_address(leaseholder.expect("a controller holds the lease"))
            }
            Port::Internal => cluster.internal_address(leaseholder.expect("a controller holds the lease")),
            Port::AgentForPeers => cluster.agent_addresses(0)[0],
            Port::AgentForProxy => cluster.agent_addresses(0)[1],
            Port::Frontend => cluster.frontend_address(0),
            Port::Readiness => cluster.readiness_address(0),
        }
    }

    /// Returns the method and path of a valid request to the port.
    fn valid_request(self) -> (&'static str, &'static str) {
        match self {
            Port::ControlPlane | Port::DirectoryService => ("POST", "/-/Configuration.Replace"),
            Port::Internal | Port::AgentForPeers | Port::AgentForProxy => ("POST", endpoints::PULL),
            Port::Frontend => ("POST", "/write/x"),
            Port::Readiness => ("GET", "/-/readiness"),
        }
    }
}

/// The body of a pull request from an agent that has no state yet.
const PULL: &str = r#"{"have":{"register":0,"list":{"ballot":0,"no":0},"ledger":{"ballot":0,"no":0}},"wait_ms":0,
    "office":null,"lent":null,"reports":[]}"#;

/// Returns the state that malformed input must not change: the register and membership of each controller, and how many
/// requests each backend has executed.
fn state(cluster: &TestCluster) -> Value {
    let register = |controller: usize| {
        let response = send_request(cluster.internal_address(controller), "POST", endpoints::PULL, &[], PULL)
            .expect("a response");
        let response: Value = serde_json::from_str(&response.body).expect("the body is JSON");
        response["register"].clone()
    };
    let members = |controller: usize| {
        send_request(cluster.internal_address(controller), "GET", endpoints::MEMBERSHIP, &[], "")
            .expect("a response")
            .body
    };
    let executed: Vec<_> = cluster.backends.iter().map(|backend| backend.executed_requests().len()).collect();
    json!({"registers": (0..CONTROLLERS).map(register).collect::<Vec<_>>(), "executed": executed,
        "members": (0..CONTROLLERS).map(members).collect::<Vec<_>>()})
}

fn start_cluster() -> TestCluster {
    let cluster = TestCluster::start(1, |_| {});
    assert_eq!(cluster.send_command("POST", "/-/Configuration.Replace", &config(1, |_| {})).status(), 200);
    cluster.wait_for_status(0, "/read/x", Some("key-a"), 200);
    cluster.wait_until("all controllers have the same register", || {
        let state = state(&cluster);
        let all = state["registers"].as_array().expect("registers is an array");
        all.iter().all(|register| *register == all[0] && !register["config"].is_null()).then_some(())
    });
    cluster
}

/// Collects the requests that were not rejected as expected.
#[derive(Default)]
struct Failures(Vec<String>);

impl Failures {
    fn expect_rejection(
        &mut self,
        to: SocketAddr,
        port: Port,
        bytes: &[u8],
        (status, expected_text): (u16, &str),
    ) {
        let sent = String::from_utf8_lossy(&bytes[..bytes.len().min(160)]).into_owned();
        let response = send_raw(to, bytes, false);
        let is_expected = |response: &Message| {
            response.status() == status
                && response.body.to_ascii_lowercase().contains(&expected_text.to_ascii_lowercase())
        };
        if !response.as_ref().is_some_and(is_expected) {
            self.0.push(format!("{port:?}, {status} {expected_text:?}: {response:?} to {sent}"));
        }
    }

    fn assert_none(self) {
        assert!(self.0.is_empty(), "{:#?}", self.0);
    }
}

/// Requests that violate HTTP are rejected on each port.
#[parameterized(
    control_plane = { Port::ControlPlane },
    directory_service = { Port::DirectoryService },
    internal = { Port::Internal },
    agent_for_peers = { Port::AgentForPeers },
    agent_for_proxy = { Port::AgentForProxy },
    frontend = { Port::Frontend },
    readiness = { Port::Readiness },
)]
fn malformed_http_is_rejected_on(port: Port) {
    let cluster = start_cluster();
    let (method, path) = port.valid_request();
    let large_value = "x".repeat(70_000);
    let with_headers = |headers: &str| request(method, path, headers, b"");
    let huge_length =
        format!("{method} {path} HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 99999999999\r\n\r\n");
    let chunked = |chunks: &str| {
        let head = format!("{method} {path} HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n");
        (head + chunks).into_bytes()
    };
    let mut garbled = with_headers("");
    garbled[1] = 0xff;
    let (address, mut failures, before) = (port.address(&cluster), Failures::default(), state(&cluster));
    for (bytes, status, expected_text) in [
        (b"nonsense\r\n\r\n".to_vec(), 400, "head"),
        (garbled, 400, "head"),
        (with_headers(&format!("X-Large: {large_value}\r\n")), 431, "head is too large"),
        (with_headers(&"X-Many: 1\r\n".repeat(70)), 431, "head is too large"),
        (huge_length.into_bytes(), 413, "body is too large"),
        (request(method, path, "", &vec![b'x'; 25 << 20]), 413, "body is too large"),
        (with_headers("Content-Length: 3\r\n"), 400, "length"),
        (with_headers("Content-Length: +3\r\n"), 400, "length"),
        (with_headers("Transfer-Encoding: chunked\r\n"), 400, "transfer coding"),
        (with_headers("Transfer-Encoding: gzip\r\n"), 400, "transfer coding"),
        (with_headers("Host: another\r\n"), 400, "host"),
        (with_headers("X-Spaced : 1\r\n"), 400, "head"),
        (chunked("so\r\n"), 400, "chunk"),
        (chunked("1\r\n{\r\n\r\n\r\n"), 400, "chunk"),
        (chunked("1;\u{1}\r\n{\r\n0\r\n\r\n"), 400, "chunk"),
    ] {
        failures.expect_rejection(address, port, &bytes, (status, expected_text));
    }
    failures.assert_none();
    // A request that ends within its body gets no response.
    let mut truncated = request(method, path, "", config(9, |_| {}).as_bytes());
    truncated.truncate(truncated.len() - 9);
    assert!(send_raw(address, &truncated, true).is_none());
    assert_eq!(state(&cluster), before);
}

/// A request that must be rejected: port, method, path, body, expected status, and a text that the response body must
/// contain.
type Case = (Port, &'static str, &'static str, Vec<u8>, u16, &'static str);

const REPLACE: &str = "/-/Configuration.Replace";
const LEASE_VOTE: &str = r#"{"Lease":{"ballot":99999999999999,"holder":"10.0.0.1:7600"}}"#;

/// Returns JSON nested more deeply than a recursive parser can handle.
fn deeply_nested() -> Vec<u8> {
    [b"[".repeat(100_000), b"]".repeat(100_000)].concat()
}

fn replaced_once(text: &str, from: &str, to: &str) -> Vec<u8> {
    assert!(text.contains(from), "{from}");
    text.replacen(from, to, 1).into_bytes()
}

/// Returns configurations that the ports for operators must reject, each with a text that the response must contain.
fn invalid_configurations() -> Vec<(Vec<u8>, &'static str)> {
    let valid = config(9, |_| {}).into_bytes();
    let mut not_utf8 = valid.clone();
    let host_position = config(9, |_| {}).find("shop.example").expect("the configuration has the hostname");
    not_utf8[host_position] = 0xff;
    let invalid = |change: fn(&mut Value)| config(9, change).into_bytes();
    vec![
        (Vec::new(), "whole JSON"),
        (valid[..valid.len() / 2].to_vec(), "whole JSON"),
        ([valid.as_slice(), b"{}"].concat(), "whole JSON"),
        (not_utf8, "whole JSON"),
        (deeply_nested(), "not an object"),
        (b"[1]".to_vec(), "not an object"),
        (invalid(|config| config["revision"] = json!(9)), "revision"),
        (invalid(|config| config["revision"] = json!("9")), "revision"),
        (invalid(|config| config["routes"] = json!([])), "routes"),
        (invalid(|config| config["limits"] = json!(null)), "limits"),
        (invalid(|config| config["routes"]["r-read"]["route_kind"] = json!("any")), "route_kind"),
        (invalid(|config| config["routes"]["r-read"]["tries"] = json!(-1)), "tries"),
        (invalid(|config| config["routes"]["r-read"]["tries"] = json!(0)), "tries"),
        (invalid(|config| config["routes"]["r-read"]["deadline"] = json!("0ms")), "deadline"),
        (invalid(|config| config["customers"]["bor"]["access_keys"] = json!(["key-a"])), "key"),
    ]
}

fn operator_cases(port: Port) -> Vec<Case> {
    let valid = config(9, |_| {}).into_bytes();
    let mut cases: Vec<Case> = invalid_configurations()
        .into_iter()
        .map(|(body, expected_text)| (port, "POST", REPLACE, body, 400, expected_text))
        .collect();
    cases.extend([
        (port, "GET", REPLACE, Vec::new(), 404, "no such call"),
        (port, "PUT", REPLACE, valid.clone(), 404, "no such call"),
        (port, "POST", "/-/Configuration.Read", Vec::new(), 404, "no such call"),
        (port, "POST", "/-/Configuration.Replace/more", valid, 404, "no such call"),
        (port, "POST", "/-/Evacuation.Begin", Vec::new(), 404, "no such call"),
        (port, "POST", "/-/Evacuation.Begin/", Vec::new(), 404, "not known"),
        (port, "POST", "/-/Evacuation.Begin/nowhere", Vec::new(), 404, "nowhere"),
        (port, "GET", "/-/Evacuation.Begin/east-a", Vec::new(), 404, "no such call"),
        (port, "POST", "/-/Voters.Replace/here/there", Vec::new(), 400, "here"),
        (port, "POST", "/-/Voters.Replace/10.0.0.1/10.0.0.2", Vec::new(), 409, "no voter"),
        (port, "GET", "/", Vec::new(), 404, "/-/"),
        (port, "POST", endpoints::VOTE, LEASE_VOTE.as_bytes().to_vec(), 404, "/-/"),
    ]);
    cases
}

/// Returns malformed variants of a valid RPC.
fn malformed_rpc_cases(port: Port, path: &'static str, valid: &str) -> Vec<Case> {
    let valid = valid.as_bytes();
    vec![
        (port, "POST", path, Vec::new(), 400, "eof"),
        (port, "POST", path, valid[..valid.len() - 1].to_vec(), 400, "eof"),
        (port, "POST", path, [valid, b"1"].concat(), 400, "trailing"),
        (port, "POST", path, b"true".to_vec(), 400, "expected"),
        (port, "POST", path, b"\"\xff\"".to_vec(), 400, "unicode"),
        (port, "POST", path, deeply_nested(), 400, "expected"),
        (port, "PUT", path, valid.to_vec(), 404, "no such call"),
    ]
}

fn rpc_cases() -> Vec<Case> {
    use Port::{AgentForPeers, AgentForProxy, Internal, Readiness};
    use endpoints::{GOSSIP, HOLDS_LEASE, LEASE_TOKENS, PULL as PULL_PATH, VOTE};
    let mut cases: Vec<Case> = [
        (Internal, PULL_PATH, PULL),
        (AgentForPeers, PULL_PATH, PULL),
        (AgentForProxy, PULL_PATH, PULL),
        (Internal, VOTE, LEASE_VOTE),
        (Internal, LEASE_TOKENS, r#"{"ana":1}"#),
        (AgentForPeers, GOSSIP, r#"[{"ip":"10.0.0.1","region":"east","heard_ms":0}]"#),
    ]
    .into_iter()
    .flat_map(|(port, path, valid)| malformed_rpc_cases(port, path, valid))
    .collect();
    let negative_wait = replaced_once(PULL, "\"wait_ms\":0", "\"wait_ms\":-1");
    let no_wait = replaced_once(PULL, "\"wait_ms\":0,", "");
    let empty_report = replaced_once(PULL, "[]", "[{}]");
    let unknown_vote = replaced_once(LEASE_VOTE, "Lease", "Seize");
    let invalid_holder = replaced_once(LEASE_VOTE, "10.0.0.1:7600", "somewhere");
    cases.extend([
        (Internal, "POST", PULL_PATH, negative_wait, 400, "expected u64"),
        (Internal, "POST", PULL_PATH, no_wait, 400, "wait_ms"),
        (Internal, "POST", PULL_PATH, empty_report, 400, "missing field"),
        (Internal, "POST", VOTE, unknown_vote, 400, "unknown variant"),
        (Internal, "POST", VOTE, invalid_holder, 400, "invalid"),
        (Internal, "POST", LEASE_TOKENS, br#"{"ana":-1}"#.to_vec(), 400, "expected u32"),
        (Internal, "POST", HOLDS_LEASE, b"[7]".to_vec(), 400, "expected u64"),
        (Internal, "POST", "/elsewhere", Vec::new(), 404, "no such call"),
        (AgentForPeers, "POST", "/elsewhere", Vec::new(), 404, "no such call"),
        (AgentForProxy, "POST", GOSSIP, b"[]".to_vec(), 404, "no such call"),
        (AgentForPeers, "POST", VOTE, LEASE_VOTE.as_bytes().to_vec(), 404, "no such call"),
        (Readiness, "POST", "/-/readiness", Vec::new(), 404, "no such call"),
        (Readiness, "GET", "/", Vec::new(), 404, "no such call"),
    ]);
    cases
}

/// Returns invalid requests of clients: path, headers, expected status, and a text that the response body must contain.
fn client_cases() -> Vec<(&'static str, String, u16, &'static str)> {
    let headers = "Attempt-Id: 1\r\nX-Api-Key: key-a\r\nRemaining-Milliseconds: 900\r\n";
    let long_id = format!("Id: {}", "1".repeat(129));
    vec![
        ("/none/x", headers.to_owned(), 404, "no such route"),
        ("/read/x", headers.replace("key-a", "key-z"), 401, "key is not known"),
        ("/read/x", headers.replace("X-Api-Key: key-a\r\n", ""), 401, "key is not known"),
        ("/read/x", format!("{headers}X-Api-Key: key-b\r\n"), 401, "key is not known"),
        ("/read/x", headers.replace("Attempt-Id: 1\r\n", ""), 400, "attempt-id"),
        ("/read/x", format!("{headers}Attempt-Id: 2\r\n"), 400, "attempt-id"),
        ("/read/x", headers.replace("Id: 1", &long_id), 400, "attempt-id"),
        ("/read/x", headers.replace("900", "soon"), 400, "remaining-milliseconds"),
        ("/read/x", headers.replace("900", "-1"), 400, "remaining-milliseconds"),
        ("/read/x", headers.replace("900", "NaN"), 400, "remaining-milliseconds"),
    ]
}

/// Requests that are valid HTTP but invalid for the program that receives them are rejected.
#[test]
fn invalid_requests_are_rejected_with_the_fault_named() {
    let cluster = start_cluster();
    let (mut failures, before) = (Failures::default(), state(&cluster));
    let operator_ports = [Port::ControlPlane, Port::DirectoryService];
    let cases = operator_ports.into_iter().flat_map(operator_cases).chain(rpc_cases());
    for (port, method, path, body, status, expected_text) in cases {
        let bytes = request(method, path, "", &body);
        failures.expect_rejection(port.address(&cluster), port, &bytes, (status, expected_text));
    }
    for port in [Port::Internal, Port::AgentForPeers, Port::AgentForProxy] {
        let bytes = request("POST", endpoints::PULL, "Call-Id: seven\r\n", PULL.as_bytes());
        failures.expect_rejection(port.address(&cluster), port, &bytes, (400, "call's id"));
    }
    for (path, headers, status, expected_text) in client_cases() {
        let bytes = request("GET", path, &headers, b"");
        failures.expect_rejection(
            cluster.frontend_address(0),
            Port::Frontend,
            &bytes,
            (status, expected_text),
        );
    }
    failures.assert_none();
    assert_eq!(state(&cluster), before);
    let read = cluster.send_command("GET", "/-/Configuration.Read", "");
    assert_eq!(read.body, config(1, |_| {}));
    assert_eq!(cluster.send_request(0, "GET", "/read/x", Some("key-a")).expect("a response").status(), 200);
}
