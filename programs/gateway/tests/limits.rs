//! How the program keeps to its limits of time, sockets and memory, over loopback with stand-ins on its other sides.

mod support;

use support::*;

#[test]
fn times_out_incomplete_requests_without_shedding_them() {
    let backend = Backend::new("a", vec![ok("", "seen")]);
    let gateway = Gateway::with_limits(&[&backend], 48, 64, 1024);
    let ((), took) = timed(|| {
        let (mut silent, mut slow) = (gateway.client(), gateway.client());
        slow.send("GET /look HTTP/1.1\r\nX-Never: ");
        let mut crowd: Vec<_> = (0..40).map(|_| gateway.client()).collect();
        assert!(silent.is_closed_by_gateway() && crowd[0].is_closed_by_gateway());
        assert_eq!(slow.read_answer().status(), 408);
        // Before the crowd leaves by itself: the last to come is not shed, so the gateway ends it for its silence.
        assert!(crowd[39].is_closed_by_gateway());
    });
    assert!((2000..3000).contains(&took.as_millis()), "{took:?}");
    let mut usual = gateway.client();
    assert_eq!(usual.request(&look_request()).status(), 200);
    let ((), took) = timed(|| {
        usual.send("GET /look");
        assert_eq!(usual.read_answer().status(), 408);
    });
    assert!(took.as_millis() >= 2000, "its time counts from its first byte: {took:?}");
    assert!(gateway.counter("clients_shed") > 0 && gateway.counter("clients_closed_idle") > 0);
}

#[test]
fn closes_idle_clients_when_sockets_are_short() {
    let backend = Backend::new("a", vec![ok("", "seen")]);
    let gateway = Gateway::with_limits(&[&backend], 48, 64, 1024);
    let mut idle: Vec<_> = (0..40).map(|_| gateway.client()).collect();
    assert_eq!(gateway.client().request(&look_request()).status(), 200);
    assert!(idle[0].is_closed_by_gateway(), "the first to come is the first to go");
    assert!(gateway.counter("sockets") <= 32, "a reserve is kept");
}

#[test]
fn closes_a_client_that_stays_idle_after_a_request() {
    let backend = Backend::new("a", vec![ok("", "seen")]);
    let gateway = Gateway::start(&[&backend]);
    let mut client = gateway.client();
    let ((), took) = timed(|| {
        assert_eq!(client.request(&look_request()).status(), 200);
        assert!(client.is_closed_by_gateway());
    });
    assert!((2000..6000).contains(&took.as_millis()), "{took:?}");
    assert_eq!(gateway.counter("clients_closed_idle"), 1);
}

#[test]
fn survives_fewer_descriptors_than_configured() {
    let backend = Backend::new("a", vec![ok("", "seen")]);
    let mut gateway = Gateway::with_limits(&[&backend], 1024, 64, 24);
    let clients: Vec<_> = (0..60).map(|_| gateway.client()).collect();
    assert_eq!(gateway.client().request(&look_request()).status(), 200);
    assert!(gateway.counter("accept_failed") > 0, "they did run out");
    drop(clients);
    assert_eq!(gateway.client().request(&look_request()).status(), 200);
    gateway.signal("-TERM");
    assert!(gateway.wait_for_exit().success());
}

#[test]
fn drops_incomplete_requests_when_memory_is_short() {
    let backend = Backend::new("a", vec![ok("", "seen")]);
    let gateway = Gateway::with_limits(&[&backend], 1024, 8, 1024);
    let begun = txn("POST", "book", "gold", 3000, &"x".repeat(65_536));
    let mut slow: Vec<_> = (0..100).map(|_| gateway.client()).collect();
    for client in &mut slow {
        // The gateway may have ended this one already.
        let _ = client.try_send(&begun[..begun.len() - 1]);
    }
    assert_eq!(gateway.client().request(&look_request()).status(), 200);
    let bytes = gateway.counter("bytes");
    assert!(bytes < 5 << 20, "half of the limit and one request more at most: {bytes}");
    assert!(gateway.counter("clients_shed") + gateway.counter("turned_back") > 0);
}

#[test]
fn frees_large_buffers_after_large_messages() {
    let body = "x".repeat(60_000);
    let backend = Backend::new("a", vec![ok("", &body)]);
    let gateway = Gateway::start(&[&backend]);
    let request = txn("POST", "book", "gold", 3000, &body);
    let mut clients: Vec<_> = (0..210).map(|_| gateway.client()).collect();
    let mut ask = |client: &mut Client| assert_eq!(client.request(&request).body.len(), body.len());
    clients[..10].iter_mut().for_each(&mut ask);
    let before = gateway.memory();
    clients[10..].iter_mut().for_each(&mut ask);
    let grown = gateway.memory().saturating_sub(before);
    assert!(grown < 200 * 30, "{grown} KiB more for 200 connections");
}
