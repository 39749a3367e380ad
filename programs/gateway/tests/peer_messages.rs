//! Gateways that share customers' quotas through messages, over loopback: the program with stand-ins for the other
//! gateways, two programs together, and the configurations that are refused.

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
        socket.set_read_timeout(Some(TEST_TIMEOUT)).expect("a time-out");
        Peer { socket, number }
    }

    fn address(&self) -> SocketAddr {
        self.socket.local_addr().expect("its address")
    }

    fn send(&self, to: SocketAddr, message: &PeerMessage) {
        let datagram = [&self.number.to_be_bytes()[..], &codec::encode(message)].concat();
        self.socket.send_to(&datagram, to).expect("loopback takes it");
    }
}

fn free_address() -> SocketAddr {
    UdpSocket::bind("127.0.0.1:0").and_then(|free| free.local_addr()).expect("a free port")
}

/// The operator's file for the gateway `own_number` of these.
fn operator_file(own_number: usize, gateways: &[SocketAddr]) -> String {
    let quoted: Vec<_> = gateways.iter().map(|gateway| format!("\"{gateway}\"")).collect();
    format!(
        "[settings]\nme = {own_number}\nallowed.peer_messages = true\nfamily_info.peer_in_per_s = 40\n\n\
         [peers]\nlisten = \"{}\"\ndoors = [{}]\n",
        gateways[own_number],
        quoted.join(", ")
    )
}

/// A plan of 0.1 units a second and a burst of 2, owned by two gateways. The last gateway is the program itself: it is in
/// no customer's subset, so that it owns nothing and must send requests.
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

fn basic_request() -> String {
    txn("GET", "look", "basic", 3000, "").replace("spread=1,", "spread=2,")
}

#[test]
fn an_owners_response_admits_or_declines_a_request() {
    let (first, second) = (Peer::new(0), Peer::new(1));
    let backend = Backend::new("a", vec![ok("", "seen")]);
    let (gateway, _) = gateway_with_peers(&backend, &[&first, &second]);
    let mut client = gateway.client();
    // Whichever of the two is asked first: both say the same.
    let both = |decision: QuotaDecision| {
        for peer in [&first, &second] {
            peer.socket.set_nonblocking(true).expect("its own socket");
        }
        let mut answered = 0;
        let mut buffer = [0; 512];
        let begun = std::time::Instant::now();
        while answered < if decision.is_ok() { 1 } else { 2 } {
            assert!(begun.elapsed() < TEST_TIMEOUT, "no request came");
            for peer in [&first, &second] {
                if let Ok((length, from)) = peer.socket.recv_from(&mut buffer) {
                    let message = codec::decode(&buffer[4..length]).expect("a message");
                    if let PeerMessage::QuotaRequest { request, claim } = message {
                        assert_eq!(buffer[..4], 2u32.to_be_bytes(), "it states its own number");
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
    both(Ok(()));
    assert_eq!(client.read_answer().status(), 200);
    client.send(&basic_request());
    both(Err(QuotaRejection { retry_after: Some(vanewharf_policy::interface::Ticks(4_000)) }));
    let answer = client.read_answer();
    assert_eq!(answer.status(), 429);
    assert_eq!(answer.field("Retry-After"), Some("0.4000"), "the owner's own advice");
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
        // A tenth of the SLA time of 400 ms for each of the two, and no more, is what a txn may lose to them.
        assert!(took < Duration::from_millis(2 * 40 + 250), "{took:?}");
    }
    assert_eq!(client.request(&look_request()).status(), 200, "a plan with no rate needs no owner");
}

#[test]
fn drops_and_counts_datagrams_of_no_listed_gateway() {
    let (first, second) = (Peer::new(0), Peer::new(1));
    let backend = Backend::new("a", vec![ok("", "seen")]);
    let (gateway, own) = gateway_with_peers(&backend, &[&first, &second]);
    let unlisted = Peer::new(0);
    let message = PeerMessage::QuotaExhausted { customer: vanewharf_policy::interface::CustomerId(9) };
    let encoded = codec::encode(&message);
    unlisted.send(own, &message);
    Peer { socket: first.socket.try_clone().expect("a copy"), number: 1 }.send(own, &message);
    Peer { socket: first.socket.try_clone().expect("a copy"), number: 77 }.send(own, &message);
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
        first.socket.send_to(datagram, own).expect("loopback takes it");
    }
    // In the order of sending, so when this one is answered all others were.
    first.send(own, &message);
    while gateway.counter("peers_heard") < 1 {}
    assert_eq!(gateway.counter("peers_heard"), 1);
    assert_eq!(gateway.counter("peers_dropped"), 3 + malformed.len() as u64);
    let mut client = gateway.client();
    assert_eq!(client.request(&look_request()).status(), 200, "and it serves on");
}

#[test]
fn two_gateways_share_one_quota() {
    let backend = Backend::new("a", vec![ok("", "seen")]);
    let gateways = [free_address(), free_address()];
    let gateway = |me: usize| {
        let change = |config: &mut Value| {
            config["settings"]["balancers"] = json!(2);
            config["operator"] = json!(operator_file(me, &gateways));
        };
        Gateway::with_config(&[&backend], 1024, 64, 1024, change)
    };
    let both = [gateway(0), gateway(1)];
    let mut admitted = 0;
    for no in 0..12 {
        let answer = both[no % 2].client().request(&basic_request());
        assert!([200, 429].contains(&answer.status()), "{answer:?}");
        admitted += usize::from(answer.status() == 200);
    }
    assert!(
        (2..=3).contains(&admitted),
        "{admitted} of a burst of two units, whichever gateway they came to"
    );
    assert!(both.iter().all(|gateway| gateway.counter("peers_told") >= 1));
    // A plan whose store a slice does hold is decided at the gateway itself, as ever.
    let sent_before = both[0].counter("peers_told");
    assert_eq!(both[0].client().request(&look_request()).status(), 200);
    assert_eq!(both[0].counter("peers_told"), sent_before);
}

/// What the program says when it ends by itself, and that it failed.
fn refused(operator: &str, settings: impl FnOnce(&mut Value)) -> String {
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
    settings(&mut config["settings"]);
    let (_, path) = program(Some(&config.to_string()), 1024);
    let file = path.with_extension("toml");
    std::fs::write(&file, operator).expect("a file of our own");
    let mut direct = Command::new(env!("CARGO_BIN_EXE_vanewharf-gateway"));
    let output = direct
        .args(["--check", "--operator"])
        .arg(&file)
        .env("ROUTER_CONFIG", &path)
        .output()
        .expect("the program runs");
    let _ = (std::fs::remove_file(&path), std::fs::remove_file(&file));
    let said = String::from_utf8_lossy(&output.stderr).into_owned();
    format!("{}{said}", if output.status.success() { "STARTS " } else { "" })
}

#[test]
fn refuses_a_configuration_that_mixes_the_shapes() {
    let gateways = [free_address(), free_address()];
    let good = operator_file(0, &gateways);
    assert!(refused(&good, |_| {}).starts_with("STARTS "), "{}", refused(&good, |_| {}));
    assert!(refused("", |_| {}).starts_with("STARTS "));
    let shown = include_str!("../../../deploy/door.toml");
    let three = |settings: &mut Value| settings["balancers"] = json!(3);
    assert!(refused(shown, three).starts_with("STARTS "), "{}", refused(shown, three));
    let none = |_: &mut Value| {};
    let mut cases = vec![
        (
            refused(&good.replace("peer_messages = true", "peer_messages = false"), none),
            "allowed.peer_messages",
        ),
        (refused(good.split("[peers]").next().unwrap_or_default(), none), "peers.doors"),
        (refused(&good.replace("me = 0", "me = 1"), none), "peers.listen"),
        (refused(&good.replace("me = 0", "me = 7"), none), "me"),
        (refused(&good.replace("me = 0", "me = -1"), none), "me"),
        (
            refused(&good.replace("peer_in_per_s = 40", "peer_in_per_s = \"many\""), none),
            "family_info.peer_in_per_s",
        ),
        (
            refused(&good.replace("peer_in_per_s = 40", "peer_in_per_s = -40"), none),
            "family_info.peer_in_per_s",
        ),
        (refused(&good.replace("listen", "hear"), none), "hear"),
        (refused(&good.replace("[peers]", "[peer]"), none), "peer"),
        (refused(&operator_file(0, &[gateways[0], gateways[0]]), none), "peers.doors"),
        (refused(&operator_file(0, &[gateways[0], gateways[1], free_address()]), none), "peers.doors"),
    ];
    let counter = |settings: &mut Value| {
        settings["family_info"]["shared_counter"] = json!(true);
        settings["family_info"]["count_wait"] = json!(80.0);
    };
    cases.push((refused(&good, counter), "family_info.shared_counter"));
    cases.push((
        refused(&good, |settings| settings["family_info"]["trued_up"] = json!(true)),
        "family_info.trued_up",
    ));
    cases.push((refused(&good, |settings| settings["balancers"] = json!(3)), "peers.doors"));
    // The two files may not say different things either.
    cases.push((refused(&good, |settings| settings["me"] = json!(1)), "me"));
    cases.push((refused("", |settings| settings["classes"][0]["aim"] = json!(-1)), "classes.0.aim"));
    for (said, key) in cases {
        assert!(!said.starts_with("STARTS "), "{key}: {said}");
        assert!(said.contains(key), "{key}: {said}");
        assert_eq!(said.trim_end().lines().count(), 1, "{key}: {said}");
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
    let said = String::from_utf8_lossy(&output.stderr).into_owned();
    let line: Value = serde_json::from_str(said.trim()).expect("one line of JSON");
    assert!(line["fields"]["message"].as_str().is_some_and(|said| said.contains("cannot serve")), "{line}");
}
