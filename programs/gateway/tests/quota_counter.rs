//! Tests of the gateway with a shared quota counter, over loopback with a stand-in that answers, is always busy or is
//! unresponsive. Whatever the counter does, each request gets one final answer in time, and a request that must run at
//! most once reaches the backend at most once.

mod support;

use redis_protocol::resp2::decode::decode;
use redis_protocol::resp2::types::OwnedFrame;
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::Duration;
use support::*;

#[derive(Clone, Copy)]
enum CounterBehavior {
    Answers,
    Busy,
    Unresponsive,
}

struct CounterStandIn {
    address: SocketAddr,
    /// The calls that it received, as (key, amount).
    calls: Receiver<(String, f64)>,
}

impl CounterStandIn {
    fn new(behavior: CounterBehavior) -> CounterStandIn {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let (call_sender, calls) = channel();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let call_sender = call_sender.clone();
                thread::spawn(move || {
                    let (mut stream, mut totals, mut bytes) =
                        (stream, HashMap::<String, f64>::new(), Vec::new());
                    let mut buffer = [0; 4096];
                    while let Ok(read @ 1..) = stream.read(&mut buffer) {
                        bytes.extend_from_slice(&buffer[..read]);
                        while let Ok(Some((frame, used))) = decode(&bytes) {
                            bytes.drain(..used);
                            let OwnedFrame::Array(arguments) = frame else { return };
                            let argument = |index: usize| match arguments.get(index) {
                                Some(OwnedFrame::BulkString(text)) => {
                                    String::from_utf8_lossy(text).into_owned()
                                }
                                _ => String::new(),
                            };
                            assert_eq!(argument(0), "ADDGET");
                            let (key, amount) = (argument(1), argument(2).parse::<f64>().expect("a number"));
                            assert!(
                                argument(3).parse::<u64>().is_ok_and(|ttl_ms| (1..=60_000).contains(&ttl_ms))
                            );
                            let _ = call_sender.send((key.clone(), amount));
                            let reply = match behavior {
                                CounterBehavior::Answers => {
                                    let total = totals.entry(key).or_default();
                                    *total += amount;
                                    let text = total.to_string();
                                    format!("${}\r\n{text}\r\n", text.len())
                                }
                                CounterBehavior::Busy => "-BUSY\r\n".to_owned(),
                                CounterBehavior::Unresponsive => continue,
                            };
                            if stream.write_all(reply.as_bytes()).is_err() {
                                return;
                            }
                        }
                    }
                });
            }
        });
        CounterStandIn { address, calls }
    }
}

/// A request on a plan of 0.1 units per second and a burst of 2, so that the counter's window of 20 s holds 2 units.
/// The customer uses eight gateways, so that one gateway's quota share holds a quarter of a unit.
fn basic_request(product: &str) -> String {
    let method = if product == "look" { "GET" } else { "POST" };
    let text = request_text(method, product, "basic", 3000, if method == "GET" { "" } else { "x" });
    text.replace("spread=1,", "spread=8,")
}

#[test]
fn the_counter_enforces_the_quota() {
    let counter = CounterStandIn::new(CounterBehavior::Answers);
    let backend = Backend::new("a", vec![ok("", "seen")]);
    let gateway = Gateway::with_counter(&[&backend], counter.address);
    let mut client = gateway.client();
    assert_eq!(
        (client.request(&basic_request("look")).status(), client.request(&basic_request("look")).status()),
        (200, 200)
    );
    let answer = client.request(&basic_request("look"));
    assert_eq!(answer.status(), 429, "the window holds two units");
    assert!(answer.field("Retry-After").is_some());
    let calls: Vec<_> = counter.calls.try_iter().collect();
    assert_eq!(
        calls.len(),
        2,
        "the second reply showed that the window is full, so the third request needs no call: {calls:?}"
    );
    assert!(calls.iter().all(|(key, amount)| *key == calls[0].0 && *amount == 1.0), "{calls:?}");
    assert_eq!(gateway.counter("counter_totals"), 2);
    assert_eq!(client.request(&look_request()).status(), 200, "a plan with no rate needs no counter");
}

#[test]
fn a_busy_or_unresponsive_counter_delays_no_answer_beyond_its_timeout() {
    for behavior in [CounterBehavior::Busy, CounterBehavior::Unresponsive] {
        let counter = CounterStandIn::new(behavior);
        let backend = Backend::new("a", vec![ok("", "done")]);
        let gateway = Gateway::with_counter(&[&backend], counter.address);
        let mut client = gateway.client();
        let mut sent = 0;
        for _ in 0..6 {
            let (answer, took) = timed(|| client.request(&basic_request("book")));
            assert!([200, 429].contains(&answer.status()), "{answer:?}");
            sent += usize::from(answer.status() == 200);
            // The counter delays a request by its timeout of 80 ms at most.
            assert!(took < Duration::from_millis(80 + 250), "{took:?}");
        }
        for _ in 0..sent {
            backend.next_request();
        }
        assert!(backend.seen.recv_timeout(Duration::from_millis(200)).is_err(), "no request is sent twice");
        assert!(counter.calls.try_iter().count() >= 1, "the counter was called");
        let failed = gateway.counter("counter_not_added") + gateway.counter("counter_unknown");
        assert!(failed >= 1, "failed calls are counted");
    }
}
