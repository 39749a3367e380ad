//! The program over loopback, with stand-ins of our own on its other sides.

mod stand_ins;

use stand_ins::*;
use std::process::Command;
use std::sync::atomic::Ordering;
use std::time::Duration;

#[test]
fn passes_txn_and_answer_on_unchanged() {
    let told = "X-Quota-Used: 12\r\nX-Units-Charged: 1\r\nContent-Type: text/plain\r\n";
    let backend = Backend::new("a", vec![ok(told, "seen"), ok("", "booked")]);
    let door = Door::start(&[&backend]);
    let mut client = door.client();
    let answer = client.ask(&look());
    assert_eq!((answer.status(), answer.body.as_slice()), (200, &b"seen"[..]));
    assert_eq!(answer.field("Content-Type"), Some("text/plain"));
    assert_eq!((answer.field("X-Quota-Used"), answer.field("X-Units-Charged")), (None, None));
    let asked = backend.asked();
    assert_eq!(asked.first, "GET /look?key=00000000b4d65521 HTTP/1.1");
    assert_eq!(asked.field("X-Correlation-Id"), Some("9b1f03aa5c7e2d41"));
    let left: u32 = asked.field("X-Time-Left-Ms").and_then(|text| text.parse().ok()).expect("a number");
    assert!((2000..3000).contains(&left), "{left}");

    let answer = client.ask(&book());
    assert_eq!((answer.status(), answer.body.as_slice()), (200, &b"booked"[..]));
    let asked = backend.asked();
    assert_eq!(asked.first, "POST /book?key=00000000b4d65521 HTTP/1.1");
    assert_eq!(asked.body, b"two seats");
    assert_eq!(backend.connections.load(Ordering::SeqCst), 1, "the connection is kept");
}

#[test]
fn answers_of_any_framing_pass_and_cut_ones_do_not() {
    let chunked =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nin p\r\n5;x=y\r\narts!\r\n0\r\n\r\n";
    let cut = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf";
    let endless = "HTTP/1.1 200 OK\r\n\r\nno end told";
    let closing = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\nlast";
    let say = |text: &str| Reaction::Say(text.to_owned());
    let close = |text: &str| Reaction::SayAndClose(text.to_owned());
    let backend =
        Backend::new("a", vec![say(chunked), say(closing), close(cut), close(endless), ok("", "well")]);
    let door = Door::start(&[&backend]);
    let mut client = door.client();
    assert_eq!(client.ask(&book()).body, b"in parts!");
    assert_eq!(client.ask(&book()).body, b"last");
    for _ in 0..2 {
        let answer = client.ask(&book());
        assert_eq!(answer.status(), 502, "may have run: {answer:?}");
    }
    assert_eq!(client.ask(&book()).body, b"well");
    let asked = backend.seen.try_iter().filter(|seen| matches!(seen, Seen::Asked(_)));
    assert_eq!(asked.count(), 5, "nothing is sent twice");
}

#[test]
fn beyond_the_quota_is_declined_with_advice() {
    let backend = Backend::new("a", vec![ok("", "seen")]);
    let door = Door::start(&[&backend]);
    let mut client = door.client();
    let request = txn("GET", "look", "basic", 3000, "");
    assert_eq!((client.ask(&request).status(), client.ask(&request).status()), (200, 200));
    let answer = client.ask(&request);
    assert_eq!(answer.status(), 429);
    assert_eq!(answer.field("Retry-After"), Some("0.5000"));
    assert_eq!(client.ask(&look()).status(), 200, "the connection and other plans go on");
}

#[test]
fn a_once_only_txn_is_sent_again_only_if_it_never_ran() {
    let away = Backend::new("a", vec![turned_away(), Reaction::Close, ok("", "a")]);
    let door = Door::start(&[&away]);
    let mut client = door.client();
    assert_eq!(client.ask(&book()).status(), 503, "turned away: harmless to try again");
    assert_eq!(client.ask(&book()).status(), 502, "broken after the last byte: may have run");
    assert_eq!(client.ask(&book()).body, b"a");
    for _ in 0..3 {
        away.asked();
    }
    assert!(away.seen.try_recv().is_err(), "nothing is sent twice");

    let refusing = Backend::new("b", vec![]);
    let gone = std::net::TcpListener::bind("127.0.0.1:0").and_then(|free| free.local_addr());
    let refusing = Backend { address: gone.expect("a free port"), ..refusing };
    let door = Door::start(&[&refusing]);
    assert_eq!(door.client().ask(&book()).status(), 503, "no connection: never ran");

    let (away, well) = (Backend::new("a", vec![turned_away()]), Backend::new("b", vec![ok("", "b")]));
    let door = Door::start(&[&away, &well]);
    let mut client = door.client();
    let tried = (0..30).find(|_| {
        assert_eq!(client.ask(&book()).body, b"b");
        away.seen.try_recv().is_ok()
    });
    assert!(tried.is_some(), "none was turned away first");
}

#[test]
fn with_all_silent_the_answer_comes_by_expiry() {
    let backend = Backend::new("a", vec![Reaction::Silence]);
    let door = Door::start(&[&backend]);
    for (request, status) in
        [(txn("GET", "look", "gold", 300, ""), 503), (txn("POST", "book", "gold", 300, "x"), 502)]
    {
        let (answer, took) = timed(|| door.client().ask(&request));
        assert_eq!(answer.status(), status);
        assert!(took < Duration::from_millis(300 + 50), "{took:?}");
        backend.asked();
        assert_eq!(backend.next(), Seen::GivenUp);
    }
}

#[test]
fn what_comes_with_no_time_left_is_declined_unsent() {
    let backend = Backend::new("a", vec![ok("", "seen")]);
    let door = Door::start(&[&backend]);
    let mut client = door.client();
    for left in [0, 1, 5] {
        assert_eq!(client.ask(&txn("POST", "book", "gold", left, "x")).status(), 503);
    }
    assert_eq!(client.ask(&look()).status(), 200);
    assert_eq!(backend.asked().first, "GET /look?key=00000000b4d65521 HTTP/1.1");
}

#[test]
fn a_client_that_leaves_ends_its_submission() {
    let backend = Backend::new("a", vec![Reaction::Silence, ok("", "seen")]);
    let door = Door::start(&[&backend]);
    let mut client = door.client();
    client.send(&book());
    backend.asked();
    drop(client);
    assert_eq!(backend.next(), Seen::GivenUp);
    assert_eq!(door.client().ask(&look()).status(), 200);
    assert_eq!((door.counter("left"), door.counter("settled")), (1, 1));
}

#[test]
fn an_idle_connection_that_ended_is_not_used_again() {
    let closing = |body: &str| {
        Reaction::SayAndClose(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()))
    };
    let backend = Backend::new("a", vec![closing("one"), closing("two"), closing("three")]);
    let door = Door::start(&[&backend]);
    let mut client = door.client();
    for body in ["one", "two", "three"] {
        door.agent.call();
        let answer = client.ask(&book());
        assert_eq!(answer.body, body.as_bytes(), "{answer:?}");
        backend.asked();
        assert_eq!(backend.next(), Seen::Closed);
        // The door calls its agent again once it has heard of the backend's end, which came first.
        door.agent.lists.send(list(5, false, &[])).expect("the agent runs");
    }
    assert_eq!(backend.connections.load(Ordering::SeqCst), 3);
}

#[test]
fn requests_sent_ahead_are_answered_in_order_and_in_their_own_time() {
    let backend = Backend::new("a", vec![Reaction::Silence, Reaction::Silence, ok("", "third")]);
    let door = Door::start(&[&backend]);
    let mut client = door.client();
    let ((), took) = timed(|| {
        // The second is silent too, and its time runs while the first is out.
        client.send(&[txn("POST", "book", "gold", 300, "x"), txn("POST", "book", "gold", 500, "y")].concat());
        assert_eq!((client.answer().status(), client.answer().status()), (502, 502));
    });
    assert!(took < Duration::from_millis(500 + 50), "{took:?}");
    assert_eq!(client.ask(&book()).body, b"third");
}

#[test]
fn bad_requests_get_a_stated_answer_and_the_door_goes_on() {
    let backend = Backend::new("a", vec![ok("", "seen")]);
    let door = Door::start(&[&backend]);
    let large = "x".repeat(70_000);
    let with = |field: &str| look().replacen("\r\n", &format!("\r\n{field}\r\n"), 1);
    let cases = [
        ("nonsense\r\n\r\n".to_owned(), 400),
        (with(&format!("X-Large: {large}")), 431),
        (with(&"X-Many: 1\r\n".repeat(70)), 431),
        (txn("POST", "book", "gold", 3000, &large), 413),
        (with("Content-Length: 3\r\nTransfer-Encoding: chunked"), 400),
        (with("Content-Length: 3\r\nContent-Length: 4"), 400),
        (with("Content-Length: +3"), 400),
        (with("Transfer-Encoding: gzip, chunked"), 400),
        (with("Host: another"), 400),
        (with("X-Correlation-Id: 1c7e2d419b1f03aa"), 400),
        (with("x-quota: units=1,spread=1,first=0"), 400),
        (look().replace("b4d65521", "b4d65521&key=00000000b4d65522"), 400),
        (with("X-Spaced : 1"), 400),
        (book().replace("Content-Length: 9", "Transfer-Encoding: chunked"), 400),
        (look().replace("X-Plan: gold", "X-Plan: silver"), 400),
        (look().replace("X-Plan: gold\r\n", ""), 400),
        (look().replace("/look", "/sell").replace("Class: look", "Class: sell"), 400),
        (look().replace("Class: look", "Class: book"), 400),
        (look().replace("key=00000000b4d65521", "key=me"), 400),
        (look().replace("key=00000000b4d65521", "key=\u{e9}000000b4d6552"), 400),
        (look().replace("units=1", "units=NaN"), 400),
        (look().replace("units=1", "units=-1"), 400),
        (look().replace("units=1", "units=0"), 400),
        (look().replace("units=1", "units=9"), 400),
        (look().replace("spread=1", "spread=0"), 400),
        (look().replace("spread=1", "spread=2"), 400),
        (look().replace("first=0", "first=1"), 400),
        (look().replace("first=0", "first=none"), 400),
        (look().replace("key=0000000", "key=0000002"), 400),
        (look().replace("Ms: 3000", "Ms: 3001"), 400),
        (look().replace("9b1f03aa5c7e2d41", &"9".repeat(65)), 400),
        (look().replace("Ms: 3000", "Ms: soon"), 400),
        (look().replace("X-Correlation-Id", "X-Other-Id"), 400),
        (look().replace("GET", "DELETE"), 405),
    ];
    for (request, status) in cases {
        let answer = door.client().ask(&request);
        assert_eq!(answer.status(), status, "{:.300}", request);
    }
    let mut client = door.client();
    assert_eq!(client.ask("GET /healthz HTTP/1.1\r\nHost: n0\r\n\r\n").status(), 200);
    assert_eq!(client.ask(&look()).status(), 200);
    backend.asked();
    assert!(backend.seen.try_recv().is_err(), "nothing bad is passed on");
}

#[test]
fn an_id_is_open_once_and_a_bad_request_costs_its_customer_nothing() {
    let backend = Backend::new("a", vec![Reaction::Silence, ok("", "seen")]);
    let door = Door::start(&[&backend]);
    let mut first = door.client();
    first.send(&txn("POST", "book", "gold", 300, "x"));
    backend.asked();
    assert_eq!(door.client().ask(&book()).status(), 409);
    assert_eq!(door.client().ask(&book().replace("9b1f03aa", "9B1F03AA")).status(), 409);
    assert_eq!(first.answer().status(), 502);
    assert_eq!(backend.next(), Seen::GivenUp);
    assert_eq!(door.client().ask(&book()).status(), 200, "free again");

    let mut client = door.client();
    let usual = txn("GET", "look", "basic", 3000, "").replace("b4d65521", "b4d65522");
    assert_eq!(client.ask(&usual.replace("units=1", "units=1000000")).status(), 400);
    assert_eq!(client.ask(&usual).status(), 200);
}

#[test]
fn what_never_comes_whole_is_ended_in_time_and_what_began_is_not_shed() {
    let backend = Backend::new("a", vec![ok("", "seen")]);
    let door = Door::with(&[&backend], 48, 64, 1024);
    let ((), took) = timed(|| {
        let (mut silent, mut slow) = (door.client(), door.client());
        slow.send("GET /look HTTP/1.1\r\nX-Never: ");
        let mut crowd: Vec<_> = (0..40).map(|_| door.client()).collect();
        assert!(silent.ends() && crowd[0].ends());
        assert_eq!(slow.answer().status(), 408);
        // Before the crowd leaves by itself: the last to come is not shed, so the door ends it for its silence.
        assert!(crowd[39].ends());
    });
    assert!((2000..3000).contains(&took.as_millis()), "{took:?}");
    let mut usual = door.client();
    assert_eq!(usual.ask(&look()).status(), 200);
    let ((), took) = timed(|| {
        usual.send("GET /look");
        assert_eq!(usual.answer().status(), 408);
    });
    assert!(took.as_millis() >= 2000, "its time counts from its first byte: {took:?}");
    assert!(door.counter("clients_shed") > 0 && door.counter("clients_closed_idle") > 0);
}

#[test]
fn follows_the_list_through_faults_of_its_agent() {
    let (old, new) = (Backend::new("a", vec![ok("", "old")]), Backend::new("b", vec![ok("", "new")]));
    let door = Door::start(&[&old]);
    let mut client = door.client();
    assert_eq!(door.agent.call(), "GET /v1/servers?index=4&wait=2000 HTTP/1.1");
    assert_eq!(client.ask(&look()).body, b"old");
    let give = |text: String| door.agent.lists.send(text).expect("the agent runs");
    give(list(5, false, &[old.entry("DRAINING"), new.entry("SERVING")]));
    assert_eq!(door.agent.call(), "GET /v1/servers?index=5&wait=2000 HTTP/1.1");
    assert_eq!(client.ask(&look()).body, b"new");
    // Odd, broken off, silent: each time the whole list is read.
    for fault in ["{\"index\": \"six\"}", CLOSE, SILENCE] {
        give(fault.to_owned());
        give(list(6, true, &[new.entry("SERVING")]));
        assert_eq!(door.agent.call(), "GET /v1/servers HTTP/1.1");
        assert_eq!(door.agent.call(), "GET /v1/servers?index=6&wait=2000 HTTP/1.1");
    }
    assert_eq!(client.ask(&look()).body, b"new");
    give(list(9, true, &[]));
    assert_eq!(door.agent.call(), "GET /v1/servers?index=9&wait=2000 HTTP/1.1");
    assert_eq!(client.ask(&look()).status(), 503, "an empty list leaves nobody to send to");
}

#[test]
fn a_discovery_that_turns_calls_away_is_left_in_peace_and_the_watch_goes_on_from_what_is_known() {
    let (old, new) = (Backend::new("a", vec![ok("", "old")]), Backend::new("b", vec![ok("", "new")]));
    let door = Door::start(&[&old]);
    let mut client = door.client();
    assert_eq!(door.agent.call(), "GET /v1/servers?index=4&wait=2000 HTTP/1.1");
    let ((), took) = timed(|| {
        door.agent.lists.send(AWAY.to_owned()).expect("the agent runs");
        assert_eq!(door.agent.call(), "GET /v1/servers?index=4&wait=2000 HTTP/1.1", "no whole list");
    });
    assert!(took >= Duration::from_millis(400), "asked again after {took:?}");
    assert_eq!(client.ask(&look()).body, b"old", "the list it has stays in force");
    door.agent.lists.send(list(5, false, &[old.entry("DRAINING"), new.entry("SERVING")])).expect("it runs");
    assert_eq!(door.agent.call(), "GET /v1/servers?index=5&wait=2000 HTTP/1.1");
    assert_eq!(client.ask(&look()).body, b"new");
}

#[test]
fn asks_another_agent_once_its_file_names_one() {
    let (old, new) = (Backend::new("a", vec![Reaction::Silence]), Backend::new("b", vec![ok("", "new")]));
    let mut door = Door::start(&[&old]);
    let mut open = door.client();
    open.send(&txn("POST", "book", "gold", 1500, "x"));
    old.asked();
    door.reload(None);
    door.says("what was read before stays in force");
    assert_eq!(door.agent.call(), "GET /v1/servers?index=4&wait=2000 HTTP/1.1");
    let agent = Agent::new();
    door.reload(Some(agent.address));
    assert_eq!(agent.call(), "GET /v1/servers HTTP/1.1", "at once, though a call to the first is out");
    agent.lists.send(list(7, true, &[new.entry("SERVING")])).expect("the agent runs");
    assert_eq!(agent.call(), "GET /v1/servers?index=7&wait=2000 HTTP/1.1");
    assert_eq!(door.client().ask(&other(look())).body, b"new");
    assert_eq!(open.answer().status(), 502, "what was open has its answer in its own time");
    assert_eq!((door.counter("reloads"), door.counter("reload_failures")), (1, 1));
}

#[test]
fn a_new_name_at_an_address_inherits_nothing_of_the_old() {
    let (first, other) =
        (Backend::new("a", vec![ok("", "seen")]), Backend::new("b", vec![Reaction::Silence]));
    let door = Door::start(&[&first]);
    let mut client = door.client();
    assert_eq!(client.ask(&look()).status(), 200);
    assert_eq!(door.agent.call(), "GET /v1/servers?index=4&wait=2000 HTTP/1.1");
    let give = |text: String| door.agent.lists.send(text).expect("the agent runs");
    let mut renamed = first.entry("SERVING");
    renamed["name"] = "c".into();
    give(list(5, false, &[renamed]));
    assert_eq!(door.agent.call(), "GET /v1/servers?index=5&wait=2000 HTTP/1.1");
    // Told late, the old name's end must not touch the new one.
    give(list(6, false, &[first.entry("DELETED"), other.entry("DRAINING")]));
    assert_eq!(door.agent.call(), "GET /v1/servers?index=6&wait=2000 HTTP/1.1");
    assert_eq!(client.ask(&look()).status(), 200);
    assert_eq!(first.connections.load(Ordering::SeqCst), 2, "a connection to the old name is not kept");
}

#[test]
fn ends_when_told_with_all_it_took_answered() {
    let backend = Backend::new("a", vec![ok("", "before"), Reaction::Silence, ok("", "after")]);
    let mut door = Door::start(&[&backend]);
    let (mut idle, mut busy) = (door.client(), door.client());
    assert_eq!(idle.ask(&look()).status(), 200);
    busy.send(&txn("POST", "book", "gold", 1500, "x"));
    backend.asked();
    backend.asked();
    door.signal("-TERM");
    door.says("ending");
    let mut late = door.client();
    assert_eq!(late.ask(&other(look())).body, b"after", "clients still come for a while");
    assert!(idle.ends());
    let answer = busy.answer();
    assert_eq!((answer.status(), answer.field("Connection")), (502, Some("close")));
    assert!(busy.ends());
    let counters = door.says("counters");
    assert!(counters.contains("taken=3 ") && counters.contains(" voided=1 "), "{counters}");
    assert!(door.ended().success());
}

#[test]
fn at_the_end_a_request_that_has_begun_gets_longer_than_none() {
    let backend = Backend::new("a", vec![ok("", "seen")]);
    let mut door = Door::start(&[&backend]);
    let begun = book();
    let mut client = door.client();
    client.send(&begun[..begun.len() - 1]);
    let ((), took) = timed(|| {
        door.signal("-TERM");
        assert!(client.ends());
    });
    // Half a second of accepting and twice 200 ms; being late here can only add to it.
    assert!(took >= Duration::from_millis(850), "{took:?}");
    assert!(door.ended().success());
}

#[test]
fn idle_clients_give_way_when_sockets_are_short() {
    let backend = Backend::new("a", vec![ok("", "seen")]);
    let door = Door::with(&[&backend], 48, 64, 1024);
    let mut idle: Vec<_> = (0..40).map(|_| door.client()).collect();
    assert_eq!(door.client().ask(&look()).status(), 200);
    assert!(idle[0].ends(), "the first to come is the first to go");
    assert!(door.counter("sockets") <= 32, "a reserve is kept");
}

#[test]
fn a_client_that_asked_once_and_stays_is_closed() {
    let backend = Backend::new("a", vec![ok("", "seen")]);
    let door = Door::start(&[&backend]);
    let mut client = door.client();
    let ((), took) = timed(|| {
        assert_eq!(client.ask(&look()).status(), 200);
        assert!(client.ends());
    });
    assert!((2000..6000).contains(&took.as_millis()), "{took:?}");
    assert_eq!(door.counter("clients_closed_idle"), 1);
}

#[test]
fn fewer_descriptors_than_told_end_nothing() {
    let backend = Backend::new("a", vec![ok("", "seen")]);
    let mut door = Door::with(&[&backend], 1024, 64, 24);
    let clients: Vec<_> = (0..60).map(|_| door.client()).collect();
    assert_eq!(door.client().ask(&look()).status(), 200);
    assert!(door.counter("accept_failed") > 0, "they did run out");
    drop(clients);
    assert_eq!(door.client().ask(&look()).status(), 200);
    door.signal("-TERM");
    assert!(door.ended().success());
}

#[test]
fn unfinished_requests_give_way_when_memory_is_short() {
    let backend = Backend::new("a", vec![ok("", "seen")]);
    let door = Door::with(&[&backend], 1024, 8, 1024);
    let begun = txn("POST", "book", "gold", 3000, &"x".repeat(65_536));
    let mut slow: Vec<_> = (0..100).map(|_| door.client()).collect();
    for client in &mut slow {
        // The door may have ended this one already.
        let _ = client.try_send(&begun[..begun.len() - 1]);
    }
    assert_eq!(door.client().ask(&look()).status(), 200);
    let bytes = door.counter("bytes");
    assert!(bytes < 5 << 20, "half of the limit and one request more at most: {bytes}");
    assert!(door.counter("clients_shed") + door.counter("turned_back") > 0);
}

#[test]
fn large_messages_leave_no_large_buffers() {
    let body = "x".repeat(60_000);
    let backend = Backend::new("a", vec![ok("", &body)]);
    let door = Door::start(&[&backend]);
    let request = txn("POST", "book", "gold", 3000, &body);
    let mut clients: Vec<_> = (0..210).map(|_| door.client()).collect();
    let mut ask = |client: &mut Client| assert_eq!(client.ask(&request).body.len(), body.len());
    clients[..10].iter_mut().for_each(&mut ask);
    let before = door.memory();
    clients[10..].iter_mut().for_each(&mut ask);
    let grown = door.memory().saturating_sub(before);
    assert!(grown < 200 * 30, "{grown} KiB more for 200 connections");
}

#[test]
fn goes_on_when_nobody_takes_its_log() {
    let backend = Backend::new("a", vec![ok("", "seen")]);
    let mut door = Door::start(&[&backend]);
    door.deafen();
    for _ in 0..20 {
        door.signal("-USR1");
        assert_eq!(door.client().ask(&look()).status(), 200);
    }
    door.signal("-TERM");
    assert!(door.ended().success());
}

#[test]
fn says_why_it_cannot_serve() {
    for (commission, reason) in [
        (None, "ROUTER_CONFIG is not set"),
        (Some("{"), "cannot read"),
        (Some("{\"name\": \"n0\"}"), "missing field"),
    ] {
        let (mut command, path): (Command, _) = program(commission, 64);
        let output = command.output().expect("the program runs");
        let said = String::from_utf8_lossy(&output.stderr);
        assert!(said.contains(reason) && !said.contains("panicked"), "{said}");
        assert_eq!(output.status.code(), Some(1));
        let _ = std::fs::remove_file(path);
    }
}
