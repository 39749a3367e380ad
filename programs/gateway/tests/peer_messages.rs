//! Tests of gateways that share customers' quotas by messages, over loopback: one gateway with stand-ins for the
//! others, two gateways, and configurations that are refused.

mod support;

use serde_json::{Value, json};
use std::net::{SocketAddr, UdpSocket};
use std::process::Command;
use std::time::Duration;
use support::*;
use vanewharf_policy::codec;
use vanewharf_policy::interface::{PeerMessage, QuotaDecision, QuotaRejection};

/// A stand-in for another gateway.
struct Peer {
    socket: UdpSocket,
    number: u32,
}

impl Peer {
    fn new(number: u32) -> Peer {
        let socket = UdpSocket::bind("127.0.0.1:0").expect("a free port");
        socket.set_read_timeout(Some(TEST_TIMEOUT)).expect("a read timeout");
        Peer { socket, number }
    }

    fn address(&self) -> SocketAddr {
        self.socket.local_addr().expect("an address")
    }

    fn send(&self, to: SocketAddr, message: &PeerMessage) {
        let datagram = [&self.number.to_be_bytes()[..], &codec::encode(message)].concat();
        self.socket.send_to(&datagram, to).expect("the datagram is sent");
    }
}

fn free_address() -> SocketAddr {
    UdpSocket::bind("127.0.0.1:0").and_then(|free| free.local_addr()).expect("a free port")
}

/// The operator's file of the gateway with the number `own_number` among `gateways`.
fn operator_file(own_number: usize, gateways: &[SocketAddr]) -> String {
    let quoted: Vec<_> = gateways.iter().map(|gateway| format!("\"{gateway}\"")).collect();
    format!(
        "[settings]\nme = {own_number}\nallowed.peer_messages = true\nfamily_info.peer_in_per_s = 40\n\n\
         [peers]\nlisten = \"{}\"\ndoors = [{}]\n",
        gateways[own_number],
        quoted.join(", ")
    )
}

/// Starts a gateway whose number follows those of `peers`, and returns the address of its peer socket. The customer
/// of [`basic_request`] uses the first two gateways only, so with two peers this one owns none of the quota and must
/// ask them.
fn gateway_with_peers(backend: &Backend, peers: &[&Peer]) -> (Gateway, SocketAddr) {
    let own = free_address();
    let mut gateways: Vec<_> = peers.iter().map(|peer| peer.address()).collect();
    gateways.push(own);
    let change = |config: &mut Value| {
        config["settings"]["balancers"] = json!(gateways.len());
        config["operator"] = json!(operator_file(peers.len(), &gateways));
    };
    (Gateway::with_config(&[backend], 1024, 64, 1024, change), own)
}

/// A request on a plan of 0.1 units per second and a burst of 2, whose quota the first two gateways own.
fn basic_request() -> String {
    request_text("GET", "look", "basic", 3000, "").replace("spread=1,", "spread=2,")
}

#[test]
fn an_owners_response_admits_or_declines_a_request() {
    let (first, second) = (Peer::new(0), Peer::new(1));
    let backend = Backend::new("a", vec![ok("", "seen")]);
    let (gateway, _) = gateway_with_peers(&backend, &[&first, &second]);
    let mut client = gateway.client();
    // The gateway may ask either peer first, so both give the same response.
    let respond = |decision: QuotaDecision| {
        for peer in [&first, &second] {
            peer.socket.set_nonblocking(true).expect("a nonblocking socket");
        }
        let mut answered = 0;
        let mut buffer = [0; 512];
        let started = std::time::Instant::now();
        while answered < if decision.is_ok() { 1 } else { 2 } {
            assert!(started.elapsed() < TEST_TIMEOUT, "no quota request received");
            for peer in [&first, &second] {
                if let Ok((length, from)) = peer.socket.recv_from(&mut buffer) {
                    let message = codec::decode(&buffer[4..length]).expect("a message");
                    if let PeerMessage::QuotaRequest { request, claim } = message {
                        assert_eq!(buffer[..4], 2u32.to_be_bytes(), "the sender's number");
                        assert_eq!((claim.cost, claim.subset_size, claim.retry), (1.0, 2, false));
                        peer.send(from, &PeerMessage::QuotaResponse { request, claim, decision });
                        answered += 1;
                    }
                }
            }
            std::thread::yield_now();
        }
    };
    client.send(&basic_request());
    respond(Ok(()));
    assert_eq!(client.read_answer().status(), 200);
    client.send(&basic_request());
    respond(Err(QuotaRejection { retry_after: Some(vanewharf_policy::interface::Ticks(4_000)) }));
    let answer = client.read_answer();
    assert_eq!(answer.status(), 429);
    assert_eq!(answer.field("Retry-After"), Some("0.4000"), "the time from the owner's response");
    assert!(gateway.counter("peers_told") >= 3 && gateway.counter("peers_heard") == 3);
}

#[test]
fn unresponsive_owners_delay_no_answer_beyond_their_timeout() {
    let (first, second) = (Peer::new(0), Peer::new(1));
    let backend = Backend::new("a", vec![ok("", "seen")]);
    let (gateway, _) = gateway_with_peers(&backend, &[&first, &second]);
    let mut client = gateway.client();
    for _ in 0..4 {
        let (answer, took) = timed(|| client.request(&basic_request()));
        assert!([200, 429].contains(&answer.status()), "{answer:?}");
        // Each of the two owners delays a request by a tenth of the product's SLA time of 400 ms at most.
        assert!(took < Duration::from_millis(2 * 40 + 250), "{took:?}");
    }
    assert_eq!(client.request(&look_request()).status(), 200, "a plan without a rate limit asks no owner");
}

#[test]
fn drops_and_counts_datagrams_that_are_malformed_or_from_unlisted_senders() {
    let (first, second) = (Peer::new(0), Peer::new(1));
    let backend = Backend::new("a", vec![ok("", "seen")]);
    let (gateway, own) = gateway_with_peers(&backend, &[&first, &second]);
    let unlisted = Peer::new(0);
    let message = PeerMessage::QuotaExhausted { customer: vanewharf_policy::interface::CustomerId(9) };
    let encoded = codec::encode(&message);
    unlisted.send(own, &message);
    Peer { socket: first.socket.try_clone().expect("a copy of the socket"), number: 1 }.send(own, &message);
    Peer { socket: first.socket.try_clone().expect("a copy of the socket"), number: 77 }.send(own, &message);
    let malformed = [
        Vec::new(),
        vec![0, 0],
        0u32.to_be_bytes().to_vec(),
        [&0u32.to_be_bytes()[..], &encoded[..encoded.len() - 1]].concat(),
        [&0u32.to_be_bytes()[..], &encoded, &[0]].concat(),
        [&0u32.to_be_bytes()[..], &[0xff; 40]].concat(),
        [&0u32.to_be_bytes()[..], &encoded, &[0; 2_000]].concat(),
    ];
    for datagram in &malformed {
        first.socket.send_to(datagram, own).expect("the datagram is sent");
    }
    // Datagrams arrive in the order of sending, so once this one is counted all others are.
    first.send(own, &message);
    while gateway.counter("peers_heard") < 1 {}
    assert_eq!(gateway.counter("peers_heard"), 1);
    assert_eq!(gateway.counter("peers_dropped"), 3 + malformed.len() as u64);
    let mut client = gateway.client();
    assert_eq!(client.request(&look_request()).status(), 200, "the gateway still serves requests");
}

#[test]
fn two_gateways_share_one_quota() {
    let backend = Backend::new("a", vec![ok("", "seen")]);
    let gateways = [free_address(), free_address()];
    let gateway = |own_number: usize| {
        let change = |config: &mut Value| {
            config["settings"]["balancers"] = json!(2);
            config["operator"] = json!(operator_file(own_number, &gateways));
        };
        Gateway::with_config(&[&backend], 1024, 64, 1024, change)
    };
    let both = [gateway(0), gateway(1)];
    let mut admitted = 0;
    for number in 0..12 {
        let answer = both[number % 2].client().request(&basic_request());
        assert!([200, 429].contains(&answer.status()), "{answer:?}");
        admitted += usize::from(answer.status() == 200);
    }
    assert!(
        (2..=3).contains(&admitted),
        "{admitted} requests admitted of a burst of two units, at either gateway"
    );
    assert!(both.iter().all(|gateway| gateway.counter("peers_told") >= 1));
    // A request on a plan without a rate limit is decided by the gateway alone.
    let sent_before = both[0].counter("peers_told");
    assert_eq!(both[0].client().request(&look_request()).status(), 200);
    assert_eq!(both[0].counter("peers_told"), sent_before);
}

/// The log of `--check` with this operator file and with changed platform settings, after `VALID ` if the check passed.
fn check_log(operator: &str, change: impl FnOnce(&mut Value)) -> String {
    let mut config = json!({
        "name": "n0", "listen": free_address().to_string(), "discovery": "127.0.0.1:1", "seed": "8c1f",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 1024},
        "known": {"index": 4, "snapshot": true, "endpoints": []},
        "settings": {
            "balancers": 2,
            "classes": [{"name": "look", "aim": 400.0, "gain": 1.0, "idempotency": "retryable", "hard_limit": 3000}],
            "family_info": {"most_units": 8},
            "tiers_of_service": [{"name": "basic", "rate": 1.0, "store_size": 2.0}]
        }
    });
    change(&mut config["settings"]);
    let (_, path) = program(Some(&config.to_string()), 1024);
    let file = path.with_extension("toml");
    std::fs::write(&file, operator).expect("a temporary file");
    let mut command = Command::new(env!("CARGO_BIN_EXE_vanewharf-gateway"));
    let output = command
        .args(["--check", "--operator"])
        .arg(&file)
        .env("ROUTER_CONFIG", &path)
        .output()
        .expect("the program runs");
    let _ = (std::fs::remove_file(&path), std::fs::remove_file(&file));
    let log = String::from_utf8_lossy(&output.stderr).into_owned();
    format!("{}{log}", if output.status.success() { "VALID " } else { "" })
}

#[test]
fn refuses_invalid_and_contradictory_settings() {
    let gateways = [free_address(), free_address()];
    let valid = operator_file(0, &gateways);
    assert!(check_log(&valid, |_| {}).starts_with("VALID "), "{}", check_log(&valid, |_| {}));
    assert!(check_log("", |_| {}).starts_with("VALID "));
    let example = include_str!("../../../deploy/door.toml");
    let with_three_gateways = |settings: &mut Value| settings["balancers"] = json!(3);
    assert!(
        check_log(example, with_three_gateways).starts_with("VALID "),
        "{}",
        check_log(example, with_three_gateways)
    );
    let unchanged = |_: &mut Value| {};
    let mut cases = vec![
        (
            check_log(&valid.replace("peer_messages = true", "peer_messages = false"), unchanged),
            "allowed.peer_messages",
        ),
        (check_log(valid.split("[peers]").next().unwrap_or_default(), unchanged), "peers.doors"),
        (check_log(&valid.replace("me = 0", "me = 1"), unchanged), "peers.listen"),
        (check_log(&valid.replace("me = 0", "me = 7"), unchanged), "me"),
        (check_log(&valid.replace("me = 0", "me = -1"), unchanged), "me"),
        (
            check_log(&valid.replace("peer_in_per_s = 40", "peer_in_per_s = \"many\""), unchanged),
            "family_info.peer_in_per_s",
        ),
        (
            check_log(&valid.replace("peer_in_per_s = 40", "peer_in_per_s = -40"), unchanged),
            "family_info.peer_in_per_s",
        ),
        (check_log(&valid.replace("listen", "hear"), unchanged), "hear"),
        (check_log(&valid.replace("[peers]", "[peer]"), unchanged), "peer"),
        (check_log(&operator_file(0, &[gateways[0], gateways[0]]), unchanged), "peers.doors"),
        (check_log(&operator_file(0, &[gateways[0], gateways[1], free_address()]), unchanged), "peers.doors"),
    ];
    let counter = |settings: &mut Value| {
        settings["family_info"]["shared_counter"] = json!(true);
        settings["family_info"]["count_wait"] = json!(80.0);
    };
    cases.push((check_log(&valid, counter), "family_info.shared_counter"));
    cases.push((
        check_log(&valid, |settings| settings["family_info"]["trued_up"] = json!(true)),
        "family_info.trued_up",
    ));
    cases.push((check_log(&valid, |settings| settings["balancers"] = json!(3)), "peers.doors"));
    // The two files must not contradict each other.
    cases.push((check_log(&valid, |settings| settings["me"] = json!(1)), "me"));
    cases.push((check_log("", |settings| settings["classes"][0]["aim"] = json!(-1)), "classes.0.aim"));
    for (log, key) in cases {
        assert!(!log.starts_with("VALID "), "{key}: {log}");
        assert!(log.contains(key), "{key}: {log}");
        assert_eq!(log.trim_end().lines().count(), 1, "{key}: {log}");
    }
}

#[test]
fn logs_json_on_request() {
    let (_, path) = program(Some("{"), 1024);
    let output = Command::new(env!("CARGO_BIN_EXE_vanewharf-gateway"))
        .args(["--log-format", "json"])
        .env("ROUTER_CONFIG", &path)
        .output()
        .expect("the program runs");
    let _ = std::fs::remove_file(&path);
    let log = String::from_utf8_lossy(&output.stderr).into_owned();
    let line: Value = serde_json::from_str(log.trim()).expect("one line of JSON");
    assert!(
        line["fields"]["message"].as_str().is_some_and(|message| message.contains("cannot serve")),
        "{line}"
    );
}
