//! Bad input on every port of a whole system: each gets a 4xx that names the fault, and nothing is changed by
//! it.

use serde_json::{Value, json};
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;
use vanewharf_protocol::endpoints;
use vanewharf_testkit::http::{self, Message, call};
use vanewharf_testkit::town::{OFFICES, Town, config};
use yare::parameterized;

/// Just these bytes on a connection of their own. None where the connection ends without an answer.
fn raw(to: SocketAddr, bytes: &[u8], ends: bool) -> Option<Message> {
    let mut stream = TcpStream::connect(to).expect("it listens");
    stream.set_read_timeout(Some(Duration::from_secs(8))).expect("a time");
    // One that is too large may be answered before all of it is written.
    let _ = stream.write_all(bytes);
    if ends {
        stream.shutdown(Shutdown::Write).expect("it is connected");
    }
    http::read(&mut stream).expect("no reset overtakes the answer")
}

fn request(method: &str, path: &str, fields: &str, body: &[u8]) -> Vec<u8> {
    let head = format!("{method} {path} HTTP/1.1\r\nHost: shop.example\r\n{fields}");
    let mut bytes = format!("{head}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Port {
    ControlPlane,
    DirectoryService,
    Internal,
    SorterBeside,
    SorterOwn,
    Frontend,
    Readiness,
}

impl Port {
    fn of(self, town: &Town) -> SocketAddr {
        let holder = (0..OFFICES).find(|no| {
            call(town.office(*no), "GET", "/-/Configuration.Read", &[], "")
                .is_ok_and(|read| read.status() == 200)
        });
        match self {
            Port::ControlPlane => town.office(holder.expect("one takes orders")),
            Port::DirectoryService => town.registry(holder.expect("one takes orders")),
            Port::Internal => town.inside(holder.expect("one takes orders")),
            Port::SorterBeside => town.sorter(0)[0],
            Port::SorterOwn => town.sorter(0)[1],
            Port::Frontend => town.door(0),
            Port::Readiness => town.readiness(0),
        }
    }

    /// A call that is taken there.
    fn known(self) -> (&'static str, &'static str) {
        match self {
            Port::ControlPlane | Port::DirectoryService => ("POST", "/-/Configuration.Replace"),
            Port::Internal | Port::SorterBeside | Port::SorterOwn => ("POST", endpoints::PULL),
            Port::Frontend => ("POST", "/write/x"),
            Port::Readiness => ("GET", "/-/readiness"),
        }
    }
}

/// A pull by a door that has nothing.
const PULL: &str = r#"{"have":{"register":0,"list":{"ballot":0,"no":0},"ledger":{"ballot":0,"no":0}},"wait_ms":0,
    "office":null,"lent":null,"reports":[]}"#;

/// What must be as it was: the register at each postmaster, the members, what each backend ran, and that the door
/// serves.
fn state(town: &Town) -> Value {
    let register = |no: usize| {
        let told = call(town.inside(no), "POST", endpoints::PULL, &[], PULL).expect("answered");
        let told: Value = serde_json::from_str(&told.body).expect("JSON");
        told["register"].clone()
    };
    let members =
        |no: usize| call(town.inside(no), "GET", endpoints::MEMBERSHIP, &[], "").expect("answered").body;
    let ran: Vec<_> = town.backends.iter().map(|backend| backend.ran().len()).collect();
    json!({"registers": (0..OFFICES).map(register).collect::<Vec<_>>(), "ran": ran,
        "members": (0..OFFICES).map(members).collect::<Vec<_>>()})
}

fn town() -> Town {
    let town = Town::start(1, |_| {});
    assert_eq!(town.order("POST", "/-/Configuration.Replace", &config(1, |_| {})).status(), 200);
    town.until_status(0, "/read/x", Some("key-a"), 200);
    town.until("all have the register", || {
        let state = state(&town);
        let all = state["registers"].as_array().expect("a list");
        all.iter().all(|register| *register == all[0] && !register["config"].is_null()).then_some(())
    });
    town
}

/// What was not refused with that status, in a text that names the fault.
#[derive(Default)]
struct Missed(Vec<String>);

impl Missed {
    fn refused(&mut self, to: SocketAddr, port: Port, bytes: &[u8], (status, named): (u16, &str)) {
        let what = String::from_utf8_lossy(&bytes[..bytes.len().min(160)]).into_owned();
        let answer = raw(to, bytes, false);
        let as_it_should = |answer: &Message| {
            answer.status() == status
                && answer.body.to_ascii_lowercase().contains(&named.to_ascii_lowercase())
        };
        if !answer.as_ref().is_some_and(as_it_should) {
            self.0.push(format!("{port:?}, {status} {named:?}: {answer:?} to {what}"));
        }
    }

    fn none(self) {
        assert!(self.0.is_empty(), "{:#?}", self.0);
    }
}

/// What HTTP itself rules out, on each port.
#[parameterized(
    control_plane = { Port::ControlPlane },
    directory_service = { Port::DirectoryService },
    internal = { Port::Internal },
    sorter_beside = { Port::SorterBeside },
    sorter_own = { Port::SorterOwn },
    frontend = { Port::Frontend },
    readiness = { Port::Readiness },
)]
fn what_is_no_request_is_refused_on(port: Port) {
    let town = town();
    let (method, path) = port.known();
    let large = "x".repeat(70_000);
    let with = |fields: &str| request(method, path, fields, b"");
    let huge =
        format!("{method} {path} HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 99999999999\r\n\r\n");
    let chunks = format!("{method} {path} HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nso\r\n");
    let mut garbled = with("");
    garbled[1] = 0xff;
    let (to, mut missed, before) = (port.of(&town), Missed::default(), state(&town));
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
        missed.refused(to, port, &bytes, (status, named));
    }
    missed.none();
    // Cut off in the middle of a body: it is no request, and nobody waits for an answer.
    let mut cut = request(method, path, "", config(9, |_| {}).as_bytes());
    cut.truncate(cut.len() - 9);
    assert!(raw(to, &cut, true).is_none());
    assert_eq!(state(&town), before);
}

/// Where to, a call, and what it is told.
type Case = (Port, &'static str, &'static str, Vec<u8>, u16, &'static str);

/// What the program behind the port cannot take, though HTTP can.
#[test]
fn what_no_program_can_take_is_refused_by_name() {
    let town = town();
    let valid = config(9, |_| {});
    let spoilt = |change: fn(&mut Value)| config(9, change).into_bytes();
    let mut garbled = valid.clone().into_bytes();
    let at = valid.find("shop.example").expect("a host");
    garbled[at] = 0xff;
    let deep = [b"[".repeat(100_000), b"]".repeat(100_000)].concat();
    let lease = r#"{"Lease":{"ballot":99999999999999,"holder":"10.0.0.1:7600"}}"#;
    let changed = |text: &str, from: &str, to: &str| {
        assert!(text.contains(from), "{from}");
        text.replacen(from, to, 1).into_bytes()
    };
    let before = state(&town);
    let (mut missed, replace) = (Missed::default(), "/-/Configuration.Replace");
    let mut cases: Vec<Case> = Vec::new();
    for port in [Port::ControlPlane, Port::DirectoryService] {
        cases.extend([
            (port, "POST", replace, Vec::new(), 400, "whole JSON"),
            (port, "POST", replace, valid.as_bytes()[..valid.len() / 2].to_vec(), 400, "whole JSON"),
            (port, "POST", replace, [valid.as_bytes(), b"{}"].concat(), 400, "whole JSON"),
            (port, "POST", replace, garbled.clone(), 400, "whole JSON"),
            (port, "POST", replace, deep.clone(), 400, "not an object"),
            (port, "POST", replace, b"[1]".to_vec(), 400, "not an object"),
            (port, "POST", replace, spoilt(|it| it["revision"] = json!(9)), 400, "revision"),
            (port, "POST", replace, spoilt(|it| it["revision"] = json!("9")), 400, "revision"),
            (port, "POST", replace, spoilt(|it| it["routes"] = json!([])), 400, "routes"),
            (port, "POST", replace, spoilt(|it| it["limits"] = json!(null)), 400, "limits"),
            (
                port,
                "POST",
                replace,
                spoilt(|it| it["routes"]["r-read"]["route_kind"] = json!("any")),
                400,
                "route_kind",
            ),
            (port, "POST", replace, spoilt(|it| it["routes"]["r-read"]["tries"] = json!(-1)), 400, "tries"),
            (port, "POST", replace, spoilt(|it| it["routes"]["r-read"]["tries"] = json!(0)), 400, "tries"),
            (
                port,
                "POST",
                replace,
                spoilt(|it| it["routes"]["r-read"]["deadline"] = json!("0ms")),
                400,
                "deadline",
            ),
            (
                port,
                "POST",
                replace,
                spoilt(|it| it["customers"]["bor"]["access_keys"] = json!(["key-a"])),
                400,
                "key",
            ),
            (port, "GET", replace, Vec::new(), 404, "no such call"),
            (port, "PUT", replace, valid.clone().into_bytes(), 404, "no such call"),
            (port, "POST", "/-/Configuration.Read", Vec::new(), 404, "no such call"),
            (port, "POST", "/-/Configuration.Replace/more", valid.clone().into_bytes(), 404, "no such call"),
            (port, "POST", "/-/Evacuation.Begin", Vec::new(), 404, "no such call"),
            (port, "POST", "/-/Evacuation.Begin/", Vec::new(), 404, "not known"),
            (port, "POST", "/-/Evacuation.Begin/nowhere", Vec::new(), 404, "nowhere"),
            (port, "GET", "/-/Evacuation.Begin/east-a", Vec::new(), 404, "no such call"),
            (port, "POST", "/-/Voters.Replace/here/there", Vec::new(), 400, "here"),
            (port, "POST", "/-/Voters.Replace/10.0.0.1/10.0.0.2", Vec::new(), 409, "no voter"),
            (port, "GET", "/", Vec::new(), 404, "/-/"),
            (port, "POST", endpoints::VOTE, lease.as_bytes().to_vec(), 404, "/-/"),
        ]);
    }
    for (port, path, whole) in [
        (Port::Internal, endpoints::PULL, PULL),
        (Port::SorterBeside, endpoints::PULL, PULL),
        (Port::SorterOwn, endpoints::PULL, PULL),
        (Port::Internal, endpoints::VOTE, lease),
        (Port::Internal, endpoints::LEASE_TOKENS, r#"{"ana":1}"#),
        (Port::SorterBeside, endpoints::GOSSIP, r#"[{"ip":"10.0.0.1","region":"east","heard_ms":0}]"#),
    ] {
        cases.extend([
            (port, "POST", path, Vec::new(), 400, "eof"),
            (port, "POST", path, whole.as_bytes()[..whole.len() - 1].to_vec(), 400, "eof"),
            (port, "POST", path, [whole.as_bytes(), b"1"].concat(), 400, "trailing"),
            (port, "POST", path, b"true".to_vec(), 400, "expected"),
            (port, "POST", path, b"\"\xff\"".to_vec(), 400, "unicode"),
            (port, "POST", path, deep.clone(), 400, "expected"),
            (port, "PUT", path, whole.as_bytes().to_vec(), 404, "no such call"),
        ]);
    }
    cases.extend([
        (
            Port::Internal,
            "POST",
            endpoints::PULL,
            changed(PULL, "\"wait_ms\":0", "\"wait_ms\":-1"),
            400,
            "expected u64",
        ),
        (Port::Internal, "POST", endpoints::PULL, changed(PULL, "\"wait_ms\":0,", ""), 400, "wait_ms"),
        (Port::Internal, "POST", endpoints::PULL, changed(PULL, "[]", "[{}]"), 400, "missing field"),
        (Port::Internal, "POST", endpoints::VOTE, changed(lease, "Lease", "Seize"), 400, "unknown variant"),
        (
            Port::Internal,
            "POST",
            endpoints::VOTE,
            changed(lease, "10.0.0.1:7600", "somewhere"),
            400,
            "invalid",
        ),
        (Port::Internal, "POST", endpoints::LEASE_TOKENS, br#"{"ana":-1}"#.to_vec(), 400, "expected u32"),
        (Port::Internal, "POST", endpoints::HOLDS_LEASE, b"[7]".to_vec(), 400, "expected u64"),
        (Port::Internal, "POST", "/elsewhere", Vec::new(), 404, "no such call"),
        (Port::SorterBeside, "POST", "/elsewhere", Vec::new(), 404, "no such call"),
        (Port::SorterOwn, "POST", endpoints::GOSSIP, b"[]".to_vec(), 404, "no such call"),
        (Port::SorterBeside, "POST", endpoints::VOTE, lease.as_bytes().to_vec(), 404, "no such call"),
        (Port::Readiness, "POST", "/-/readiness", Vec::new(), 404, "no such call"),
        (Port::Readiness, "GET", "/", Vec::new(), 404, "no such call"),
    ]);
    for (port, method, path, body, status, named) in cases {
        missed.refused(port.of(&town), port, &request(method, path, "", &body), (status, named));
    }
    let id = "Call-Id: seven\r\n";
    for port in [Port::Internal, Port::SorterBeside, Port::SorterOwn] {
        let bytes = request("POST", endpoints::PULL, id, PULL.as_bytes());
        missed.refused(port.of(&town), port, &bytes, (400, "call's id"));
    }
    let fields = "Attempt-Id: 1\r\nX-Api-Key: key-a\r\nRemaining-Milliseconds: 900\r\n";
    for (method, path, fields, status, named) in [
        ("GET", "/none/x", fields.to_owned(), 404, "no such route"),
        ("GET", "/read/x", fields.replace("key-a", "key-z"), 401, "key is not known"),
        ("GET", "/read/x", fields.replace("X-Api-Key: key-a\r\n", ""), 401, "key is not known"),
        ("GET", "/read/x", format!("{fields}X-Api-Key: key-b\r\n"), 401, "key is not known"),
        ("GET", "/read/x", fields.replace("Attempt-Id: 1\r\n", ""), 400, "attempt-id"),
        ("GET", "/read/x", format!("{fields}Attempt-Id: 2\r\n"), 400, "attempt-id"),
        ("GET", "/read/x", fields.replace("Id: 1", &format!("Id: {}", "1".repeat(129))), 400, "attempt-id"),
        ("GET", "/read/x", fields.replace("900", "soon"), 400, "remaining-milliseconds"),
        ("GET", "/read/x", fields.replace("900", "-1"), 400, "remaining-milliseconds"),
        ("GET", "/read/x", fields.replace("900", "NaN"), 400, "remaining-milliseconds"),
    ] {
        missed.refused(town.door(0), Port::Frontend, &request(method, path, &fields, b""), (status, named));
    }
    missed.none();
    assert_eq!(state(&town), before);
    let read = town.order("GET", "/-/Configuration.Read", "");
    assert_eq!(read.body, config(1, |_| {}));
    assert_eq!(town.ask(0, "GET", "/read/x", Some("key-a")).expect("answered").status(), 200);
}
