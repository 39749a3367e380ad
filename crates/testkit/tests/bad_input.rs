//! Malformed input on every port of a cluster: each is rejected with a 4xx that names the fault and changes no state.

use serde_json::{Value, json};
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;
use vanewharf_protocol::endpoints;
use vanewharf_testkit::cluster::{CONTROLLERS, TestCluster};
use vanewharf_testkit::config::config;
use vanewharf_testkit::http::{self, Message, send_request};
use yare::parameterized;

/// Sends these bytes on a connection of their own; `None` where it is closed without a response.
fn send_raw(to: SocketAddr, bytes: &[u8], half_close: bool) -> Option<Message> {
    let mut stream = TcpStream::connect(to).expect("it listens");
    stream.set_read_timeout(Some(Duration::from_secs(8))).expect("a time");
    // A request that is too large may be answered before all of it is written.
    let _ = stream.write_all(bytes);
    if half_close {
        stream.shutdown(Shutdown::Write).expect("it is connected");
    }
    http::read_message(&mut stream).expect("no reset overtakes the answer")
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
        let leaseholder = (0..CONTROLLERS).find(|no| {
            send_request(cluster.controller_address(*no), "GET", "/-/Configuration.Read", &[], "")
                .is_ok_and(|read| read.status() == 200)
        });
        match self {
            Port::ControlPlane => cluster.controller_address(leaseholder.expect("one holds the lease")),
            Port::DirectoryService => cluster.directory_address(leaseholder.expect("one holds the lease")),
            Port::Internal => cluster.internal_address(leaseholder.expect("one holds the lease")),
            Port::AgentForPeers => cluster.agent_addresses(0)[0],
            Port::AgentForProxy => cluster.agent_addresses(0)[1],
            Port::Frontend => cluster.frontend_address(0),
            Port::Readiness => cluster.readiness_address(0),
        }
    }

    /// The method and path of a request that is valid there.
    fn valid_request(self) -> (&'static str, &'static str) {
        match self {
            Port::ControlPlane | Port::DirectoryService => ("POST", "/-/Configuration.Replace"),
            Port::Internal | Port::AgentForPeers | Port::AgentForProxy => ("POST", endpoints::PULL),
            Port::Frontend => ("POST", "/write/x"),
            Port::Readiness => ("GET", "/-/readiness"),
        }
    }
}

/// A pull by an agent that has no state yet.
const PULL: &str = r#"{"have":{"register":0,"list":{"ballot":0,"no":0},"ledger":{"ballot":0,"no":0}},"wait_ms":0,
    "office":null,"lent":null,"reports":[]}"#;

/// What malformed input must not change: each controller's register and membership, and what each backend executed.
fn state(cluster: &TestCluster) -> Value {
    let register = |no: usize| {
        let response =
            send_request(cluster.internal_address(no), "POST", endpoints::PULL, &[], PULL).expect("answered");
        let response: Value = serde_json::from_str(&response.body).expect("JSON");
        response["register"].clone()
    };
    let members = |no: usize| {
        send_request(cluster.internal_address(no), "GET", endpoints::MEMBERSHIP, &[], "")
            .expect("answered")
            .body
    };
    let executed: Vec<_> = cluster.backends.iter().map(|backend| backend.executed_requests().len()).collect();
    json!({"registers": (0..CONTROLLERS).map(register).collect::<Vec<_>>(), "ran": executed,
        "members": (0..CONTROLLERS).map(members).collect::<Vec<_>>()})
}

fn start_cluster() -> TestCluster {
    let cluster = TestCluster::start(1, |_| {});
    assert_eq!(cluster.send_command("POST", "/-/Configuration.Replace", &config(1, |_| {})).status(), 200);
    cluster.wait_for_status(0, "/read/x", Some("key-a"), 200);
    cluster.wait_until("all controllers have the register", || {
        let state = state(&cluster);
        let all = state["registers"].as_array().expect("a list");
        all.iter().all(|register| *register == all[0] && !register["config"].is_null()).then_some(())
    });
    cluster
}

/// Collects the requests that were not rejected as expected.
#[derive(Default)]
struct Failures(Vec<String>);

impl Failures {
    fn expect_rejection(&mut self, to: SocketAddr, port: Port, bytes: &[u8], (status, named): (u16, &str)) {
        let sent = String::from_utf8_lossy(&bytes[..bytes.len().min(160)]).into_owned();
        let answer = send_raw(to, bytes, false);
        let is_expected = |answer: &Message| {
            answer.status() == status
                && answer.body.to_ascii_lowercase().contains(&named.to_ascii_lowercase())
        };
        if !answer.as_ref().is_some_and(is_expected) {
            self.0.push(format!("{port:?}, {status} {named:?}: {answer:?} to {sent}"));
        }
    }

    fn assert_none(self) {
        assert!(self.0.is_empty(), "{:#?}", self.0);
    }
}

/// What HTTP itself forbids, on each port.
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
    let large = "x".repeat(70_000);
    let with = |fields: &str| request(method, path, fields, b"");
    let huge =
        format!("{method} {path} HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 99999999999\r\n\r\n");
    let chunks = format!("{method} {path} HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nso\r\n");
    let mut garbled = with("");
    garbled[1] = 0xff;
    let (to, mut failures, before) = (port.address(&cluster), Failures::default(), state(&cluster));
    for (bytes, status, named) in [
        (b"nonsense\r\n\r\n".to_vec(), 400, "head"),
        (garbled, 400, "head"),
        (with(&format!("X-Large: {large}\r\n")), 431, "head is too large"),
        (with(&"X-Many: 1\r\n".repeat(70)), 431, "head is too large"),
        (huge.into_bytes(), 413, "body is too large"),
        (request(method, path, "", &vec![b'x'; 25 << 20]), 413, "body is too large"),
        (with("Content-Length: 3\r\n"), 400, "length"),
        (with("Content-Length: +3\r\n"), 400, "length"),
        (with("Transfer-Encoding: chunked\r\n"), 400, "transfer coding"),
        (with("Transfer-Encoding: gzip\r\n"), 400, "transfer coding"),
        (with("Host: another\r\n"), 400, "host"),
        (with("X-Spaced : 1\r\n"), 400, "head"),
        (chunks.into_bytes(), 400, "chunk"),
    ] {
        failures.expect_rejection(to, port, &bytes, (status, named));
    }
    failures.assert_none();
    // Closed within the body: not a request, and not answered.
    let mut cut = request(method, path, "", config(9, |_| {}).as_bytes());
    cut.truncate(cut.len() - 9);
    assert!(send_raw(to, &cut, true).is_none());
    assert_eq!(state(&cluster), before);
}

/// A request that must be rejected: its port, method, path and body, the expected status, and a part of the text that
/// must come with it.
type Case = (Port, &'static str, &'static str, Vec<u8>, u16, &'static str);

const REPLACE: &str = "/-/Configuration.Replace";
const LEASE_VOTE: &str = r#"{"Lease":{"ballot":99999999999999,"holder":"10.0.0.1:7600"}}"#;

/// JSON nested deeper than a parser may recurse.
fn deeply_nested() -> Vec<u8> {
    [b"[".repeat(100_000), b"]".repeat(100_000)].concat()
}

fn replaced_once(text: &str, from: &str, to: &str) -> Vec<u8> {
    assert!(text.contains(from), "{from}");
    text.replacen(from, to, 1).into_bytes()
}

/// Configurations that the operators' ports must reject.
fn invalid_configurations() -> Vec<(Vec<u8>, &'static str)> {
    let valid = config(9, |_| {}).into_bytes();
    let mut not_utf8 = valid.clone();
    let host = config(9, |_| {}).find("shop.example").expect("a host");
    not_utf8[host] = 0xff;
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
        .map(|(body, named)| (port, "POST", REPLACE, body, 400, named))
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

/// Malformed versions of a valid RPC.
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

/// Clients' requests: path, headers, expected status, and a part of the expected text.
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

/// Valid HTTP that the program behind the port cannot accept.
#[test]
fn invalid_requests_are_rejected_with_the_fault_named() {
    let cluster = start_cluster();
    let (mut failures, before) = (Failures::default(), state(&cluster));
    let operator_ports = [Port::ControlPlane, Port::DirectoryService];
    let cases = operator_ports.into_iter().flat_map(operator_cases).chain(rpc_cases());
    for (port, method, path, body, status, named) in cases {
        let bytes = request(method, path, "", &body);
        failures.expect_rejection(port.address(&cluster), port, &bytes, (status, named));
    }
    for port in [Port::Internal, Port::AgentForPeers, Port::AgentForProxy] {
        let bytes = request("POST", endpoints::PULL, "Call-Id: seven\r\n", PULL.as_bytes());
        failures.expect_rejection(port.address(&cluster), port, &bytes, (400, "call's id"));
    }
    for (path, headers, status, named) in client_cases() {
        let bytes = request("GET", path, &headers, b"");
        failures.expect_rejection(cluster.frontend_address(0), Port::Frontend, &bytes, (status, named));
    }
    failures.assert_none();
    assert_eq!(state(&cluster), before);
    let read = cluster.send_command("GET", "/-/Configuration.Read", "");
    assert_eq!(read.body, config(1, |_| {}));
    assert_eq!(cluster.send_request(0, "GET", "/read/x", Some("key-a")).expect("answered").status(), 200);
}
