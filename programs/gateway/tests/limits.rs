//! Tests of the gateway's limits on time, sockets and memory, over loopback with stand-ins for clients and backends.

mod support;

use support::*;

#[test]
fn times_out_incomplete_requests_without_shedding_them() {
    let backend = Backend::new("a", vec![ok("", "seen")]);
    let gateway = Gateway::with_limits(&[&backend], 48, 64, 1024);
    let ((), took) = timed(|| {
        let (mut silent, mut slow) = (gateway.client(), gateway.client());
        slow.send("GET /look HTTP/1.1\r\nX-Never: ");
        let mut idle: Vec<_> = (0..40).map(|_| gateway.client()).collect();
        assert!(silent.is_closed_by_gateway() && idle[0].is_closed_by_gateway());
        assert_eq!(slow.read_answer().status(), 408);
        // While the other clients stay connected, the last one is not shed, so the gateway closes it after its timeout.
        assert!(idle[39].is_closed_by_gateway());
    });
    assert!((2000..3000).contains(&took.as_millis()), "{took:?}");
    let mut client = gateway.client();
    assert_eq!(client.request(&look_request()).status(), 200);
    let ((), took) = timed(|| {
        client.send("GET /look");
        assert_eq!(client.read_answer().status(), 408);
    });
    assert!(took.as_millis() >= 2000, "the timeout starts at the first byte: {took:?}");
    assert!(gateway.counter("clients_shed") > 0 && gateway.counter("clients_closed_idle") > 0);
}

#[test]
fn closes_idle_clients_when_sockets_are_short() {
    let backend = Backend::new("a", vec![ok("", "seen")]);
    let gateway = Gateway::with_limits(&[&backend], 48, 64, 1024);
    let mut idle: Vec<_> = (0..40).map(|_| gateway.client()).collect();
    assert_eq!(gateway.client().request(&look_request()).status(), 200);
    assert!(idle[0].is_closed_by_gateway(), "the client that has been idle longest is closed first");
    assert!(gateway.counter("sockets") <= 32, "a reserve of sockets is kept");
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
    assert!(gateway.counter("accept_failed") > 0, "the descriptors ran out");
    drop(clients);
    assert_eq!(gateway.client().request(&look_request()).status(), 200);
    gateway.signal("-TERM");
    assert!(gateway.wait_for_exit().success());
}

#[test]
fn drops_incomplete_requests_when_memory_is_short() {
    let backend = Backend::new("a", vec![ok("", "seen")]);
    let gateway = Gateway::with_limits(&[&backend], 1024, 8, 1024);
    let request = request_text("POST", "book", "gold", 3000, &"x".repeat(65_536));
    let mut slow: Vec<_> = (0..100).map(|_| gateway.client()).collect();
    for client in &mut slow {
        // The gateway may have closed this connection already.
        let _ = client.try_send(&request[..request.len() - 1]);
    }
    assert_eq!(gateway.client().request(&look_request()).status(), 200);
    let bytes = gateway.counter("bytes");
    assert!(bytes < 5 << 20, "at most half of the limit and one request more: {bytes}");
    assert!(gateway.counter("clients_shed") + gateway.counter("turned_back") > 0);
}

#[test]
fn frees_large_buffers_after_large_messages() {
    let body = "x".repeat(60_000);
    let backend = Backend::new("a", vec![ok("", &body)]);
    let gateway = Gateway::start(&[&backend]);
    let request = request_text("POST", "book", "gold", 3000, &body);
    let mut clients: Vec<_> = (0..210).map(|_| gateway.client()).collect();
    let mut send_request = |client: &mut Client| assert_eq!(client.request(&request).body.len(), body.len());
    clients[..10].iter_mut().for_each(&mut send_request);
    let before = gateway.memory_kib();
    clients[10..].iter_mut().for_each(&mut send_request);
    let growth = gateway.memory_kib().saturating_sub(before);
    assert!(growth < 200 * 30, "{growth} KiB more for 200 connections");
}
