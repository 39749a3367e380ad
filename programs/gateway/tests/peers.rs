//! Doors that keep customers' quotas between them, over loopback: the program beside stand-ins for the other
//! doors, two programs together, and the starts that a mixed configuration must not make.

mod stand_ins;

use serde_json::{Value, json};
use stand_ins::*;
use std::net::{SocketAddr, UdpSocket};
use std::process::Command;
use std::time::Duration;
use vanewharf_policy::codec;
use vanewharf_policy::interface::{PeerMessage, QuotaDecision, QuotaRejection};

/// Another door: it hears what is sent to its number, and says what the test has it say.
struct Peer {
    socket: UdpSocket,
    number: u32,
}

impl Peer {
    fn new(number: u32) -> Peer {
        let socket = UdpSocket::bind("127.0.0.1:0").expect("a free port");
        socket.set_read_timeout(Some(LONG)).expect("a time-out");
        Peer { socket, number }
    }

    fn address(&self) -> SocketAddr {
        self.socket.local_addr().expect("its address")
    }

    fn says(&self, to: SocketAddr, word: &PeerMessage) {
        let datagram = [&self.number.to_be_bytes()[..], &codec::encode(word)].concat();
        self.socket.send_to(&datagram, to).expect("loopback takes it");
    }
}

fn free() -> SocketAddr {
    UdpSocket::bind("127.0.0.1:0").and_then(|free| free.local_addr()).expect("a free port")
}

/// The operator's file for door `me` of these.
fn operator(me: usize, doors: &[SocketAddr]) -> String {
    let quoted: Vec<_> = doors.iter().map(|door| format!("\"{door}\"")).collect();
    format!(
        "[settings]\nme = {me}\nallowed.peer_messages = true\nfamily_info.peer_in_per_s = 40\n\n\
         [peers]\nlisten = \"{}\"\ndoors = [{}]\n",
        doors[me],
        quoted.join(", ")
    )
}

/// A plan of 0.1 units a second and a burst of 2, all kept at two doors; the last is the program itself and in
/// no customer's set, so that it keeps nothing and must ask.
fn asking(backend: &Backend, peers: &[&Peer]) -> (Door, SocketAddr) {
    let own = free();
    let mut doors: Vec<_> = peers.iter().map(|peer| peer.address()).collect();
    doors.push(own);
    let change = |commission: &mut Value| {
        commission["settings"]["balancers"] = json!(doors.len());
        commission["operator"] = json!(operator(peers.len(), &doors));
    };
    (Door::shaped(&[backend], 1024, 64, 1024, change), own)
}

fn basic() -> String {
    txn("GET", "look", "basic", 3000, "").replace("spread=1,", "spread=2,")
}

#[test]
fn a_keepers_word_lets_a_txn_in_or_out() {
    let (first, second) = (Peer::new(0), Peer::new(1));
    let backend = Backend::new("a", vec![ok("", "seen")]);
    let (door, _) = asking(&backend, &[&first, &second]);
    let mut client = door.client();
    // Whichever of the two is asked first: both say the same.
    let both = |verdict: QuotaDecision| {
        for peer in [&first, &second] {
            peer.socket.set_nonblocking(true).expect("its own socket");
        }
        let mut heard = 0;
        let mut buffer = [0; 512];
        let begun = std::time::Instant::now();
        while heard < if verdict.is_ok() { 1 } else { 2 } {
            assert!(begun.elapsed() < LONG, "no ask came");
            for peer in [&first, &second] {
                if let Ok((length, from)) = peer.socket.recv_from(&mut buffer) {
                    let word = codec::decode(&buffer[4..length]).expect("a word");
                    if let PeerMessage::QuotaRequest { request: no, claim: want } = word {
                        assert_eq!(buffer[..4], 2u32.to_be_bytes(), "it says its own number");
                        assert_eq!((want.cost, want.subset_size, want.retry), (1.0, 2, false));
                        peer.says(
                            from,
                            &PeerMessage::QuotaResponse { request: no, claim: want, decision: verdict },
                        );
                        heard += 1;
                    }
                }
            }
            std::thread::yield_now();
        }
    };
    client.send(&basic());
    both(Ok(()));
    assert_eq!(client.answer().status(), 200);
    client.send(&basic());
    both(Err(QuotaRejection { retry_after: Some(vanewharf_policy::interface::Ticks(4_000)) }));
    let answer = client.answer();
    assert_eq!(answer.status(), 429);
    assert_eq!(answer.field("Retry-After"), Some("0.4000"), "the keeper's own advice");
    assert!(door.counter("peers_told") >= 3 && door.counter("peers_heard") == 3);
}

#[test]
fn silent_keepers_leave_every_txn_one_answer_soon() {
    let (first, second) = (Peer::new(0), Peer::new(1));
    let backend = Backend::new("a", vec![ok("", "seen")]);
    let (door, _) = asking(&backend, &[&first, &second]);
    let mut client = door.client();
    for _ in 0..4 {
        let (answer, took) = timed(|| client.ask(&basic()));
        assert!([200, 429].contains(&answer.status()), "{answer:?}");
        // A tenth of the SLA time of 400 ms for each of the two, and no more, is what a txn may lose to them.
        assert!(took < Duration::from_millis(2 * 40 + 250), "{took:?}");
    }
    assert_eq!(client.ask(&look()).status(), 200, "a plan with no rate asks nobody");
}

#[test]
fn what_is_no_word_of_a_listed_door_is_dropped_and_counted() {
    let (first, second) = (Peer::new(0), Peer::new(1));
    let backend = Backend::new("a", vec![ok("", "seen")]);
    let (door, own) = asking(&backend, &[&first, &second]);
    let stranger = Peer::new(0);
    let word = PeerMessage::QuotaExhausted { customer: vanewharf_policy::interface::CustomerId(9) };
    let letter = codec::encode(&word);
    stranger.says(own, &word);
    Peer { socket: first.socket.try_clone().expect("a copy"), number: 1 }.says(own, &word);
    Peer { socket: first.socket.try_clone().expect("a copy"), number: 77 }.says(own, &word);
    let odd = [
        Vec::new(),
        vec![0, 0],
        0u32.to_be_bytes().to_vec(),
        [&0u32.to_be_bytes()[..], &letter[..letter.len() - 1]].concat(),
        [&0u32.to_be_bytes()[..], &letter, &[0]].concat(),
        [&0u32.to_be_bytes()[..], &[0xff; 40]].concat(),
        [&0u32.to_be_bytes()[..], &letter, &[0; 2_000]].concat(),
    ];
    for datagram in &odd {
        first.socket.send_to(datagram, own).expect("loopback takes it");
    }
    // In the order of sending, so when this one is heard all others were.
    first.says(own, &word);
    while door.counter("peers_heard") < 1 {}
    assert_eq!(door.counter("peers_heard"), 1);
    assert_eq!(door.counter("peers_dropped"), 3 + odd.len() as u64);
    let mut client = door.client();
    assert_eq!(client.ask(&look()).status(), 200, "and it serves on");
}

#[test]
fn two_doors_together_let_in_one_quota() {
    let backend = Backend::new("a", vec![ok("", "seen")]);
    let doors = [free(), free()];
    let door = |me: usize| {
        let change = |commission: &mut Value| {
            commission["settings"]["balancers"] = json!(2);
            commission["operator"] = json!(operator(me, &doors));
        };
        Door::shaped(&[&backend], 1024, 64, 1024, change)
    };
    let both = [door(0), door(1)];
    let mut let_in = 0;
    for no in 0..12 {
        let answer = both[no % 2].client().ask(&basic());
        assert!([200, 429].contains(&answer.status()), "{answer:?}");
        let_in += usize::from(answer.status() == 200);
    }
    assert!((2..=3).contains(&let_in), "{let_in} of a burst of two units, whichever door they came to");
    assert!(both.iter().all(|door| door.counter("peers_told") >= 1));
    // A plan whose store a slice does hold is decided at the door itself, as ever.
    let told = both[0].counter("peers_told");
    assert_eq!(both[0].client().ask(&look()).status(), 200);
    assert_eq!(both[0].counter("peers_told"), told);
}

/// What the program says when it ends by itself, and that it failed.
fn refused(operator: &str, settings: impl FnOnce(&mut Value)) -> String {
    let mut commission = json!({
        "name": "n0", "listen": free().to_string(), "discovery": "127.0.0.1:1", "seed": "8c1f",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 1024},
        "known": {"index": 4, "snapshot": true, "endpoints": []},
        "settings": {
            "balancers": 2,
            "classes": [{"name": "look", "aim": 400.0, "gain": 1.0, "idempotency": "retryable", "hard_limit": 3000}],
            "family_info": {"most_units": 8},
            "tiers_of_service": [{"name": "basic", "rate": 1.0, "store_size": 2.0}]
        }
    });
    settings(&mut commission["settings"]);
    let (_, path) = program(Some(&commission.to_string()), 1024);
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
fn a_start_that_mixes_the_shapes_is_refused_naming_the_key() {
    let doors = [free(), free()];
    let good = operator(0, &doors);
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
        (refused(&operator(0, &[doors[0], doors[0]]), none), "peers.doors"),
        (refused(&operator(0, &[doors[0], doors[1], free()]), none), "peers.doors"),
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
fn the_log_is_json_where_asked_for() {
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
