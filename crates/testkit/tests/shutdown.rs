//! Graceful shutdown: every request that a program has read gets a response. A proxy also completes or rejects the
//! requests that it reads after the shutdown signal.

use std::io;
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};
use vanewharf_runtime::invariants::total_violations;
use vanewharf_testkit::backend::Behavior;
use vanewharf_testkit::cluster::{CONTROLLERS, TestCluster};
use vanewharf_testkit::config::config;
use vanewharf_testkit::http::{Message, read_message, send_request, write_message};

const GRACE_PERIOD: Duration = Duration::from_secs(2);
/// The proxy under test.
const PROXY: usize = 0;
/// Times after the signal at which requests are sent, as fractions of the grace period. The proxy accepts new
/// connections for longer than the last of them.
const SEND_TIMES: [f64; 5] = [0.05, 0.2, 0.35, 0.5, 0.65];
/// How long before the deadline of the client the proxy may give up a request: it reserves time for sending
/// the response.
const RESPONSE_MARGIN: Duration = Duration::from_millis(100);

fn send(
    cluster: &TestCluster,
    method: &str,
    path: &str,
    attempt: &str,
    remaining: Duration,
) -> io::Result<Message> {
    let remaining = remaining.as_millis().to_string();
    let headers = [
        ("Host", "shop.example"),
        ("Attempt-Id", attempt),
        ("Remaining-Milliseconds", remaining.as_str()),
        ("X-Api-Key", "key-a"),
    ];
    send_request(cluster.frontend_address(PROXY), method, path, &headers, "")
}

/// A request and its remaining time.
#[derive(Clone, Copy, Debug)]
struct Case {
    method: &'static str,
    path: &'static str,
    remaining: Duration,
}

const CASES: [Case; 4] = [
    Case { method: "POST", path: "/write/x", remaining: Duration::from_millis(500) },
    Case { method: "POST", path: "/write/x", remaining: Duration::from_millis(2000) },
    Case { method: "GET", path: "/read/x", remaining: Duration::from_millis(500) },
    Case { method: "GET", path: "/read/x", remaining: Duration::from_millis(2000) },
];

/// Sends a request `after` the signal, and checks its response.
fn send_after(cluster: &TestCluster, case: Case, signalled: Instant, after: Duration) {
    cluster.wait_until("the request is due", || (signalled.elapsed() >= after).then_some(()));
    let Case { method, path, remaining } = case;
    let attempt = format!("{method}-{}-{}", remaining.as_millis(), after.as_millis());
    let sent = Instant::now();
    let response = send(cluster, method, path, &attempt, remaining);
    let (took, executions) = (sent.elapsed(), cluster.count_executions(&attempt));
    let context = format!("{attempt}, executed {executions} times, after {took:?}: {response:?}");
    let Ok(response) = response else {
        panic!("no response: {context}");
    };
    if took + RESPONSE_MARGIN < remaining {
        assert_eq!((response.status(), executions), (503, 0), "rejected before the deadline: {context}");
        assert!(response.header("Retry-After").is_some(), "{context}");
    } else if method == "POST" {
        assert_eq!((response.status(), executions), (502, 1), "the request was executed: {context}");
    } else {
        assert!([502, 503].contains(&response.status()), "the backends never respond: {context}");
    }
    assert_eq!(response.header("Connection"), Some("close"), "{context}");
}

#[test]
fn a_request_read_after_the_signal_is_served_or_rejected_without_execution() {
    let mut cluster = TestCluster::start_serving();
    cluster.backends.iter().for_each(|backend| backend.set_behavior(Behavior::NeverResponds));
    cluster.shut_down_machine(CONTROLLERS + PROXY);
    let signalled = Instant::now();
    let cluster = &cluster;
    thread::scope(|scope| {
        for case in CASES {
            for fraction in SEND_TIMES {
                scope.spawn(move || send_after(cluster, case, signalled, GRACE_PERIOD.mul_f64(fraction)));
            }
        }
    });
    assert_exited_without_violations(cluster);
}

fn assert_exited_without_violations(cluster: &TestCluster) {
    cluster.wait_until("the programs of the machine have exited", || {
        cluster.has_exited(CONTROLLERS + PROXY).then_some(())
    });
    assert_eq!(total_violations(), 0, "invariant violations");
}

#[test]
fn a_request_in_flight_at_the_end_of_the_grace_period_gets_a_response() {
    let mut cluster = TestCluster::start_serving();
    cluster.backends.iter().for_each(|backend| backend.set_behavior(Behavior::NeverResponds));
    let frontend = cluster.frontend_address(PROXY);
    let client = thread::spawn(move || {
        let headers = [
            ("Host", "shop.example"),
            ("Attempt-Id", "long"),
            ("Remaining-Milliseconds", "2000"),
            ("X-Api-Key", "key-a"),
        ];
        send_request(frontend, "POST", "/write/x", &headers, "")
    });
    cluster.wait_until("the request reaches a backend", || {
        (cluster.count_executions("long") == 1).then_some(())
    });
    cluster.shut_down_machine(CONTROLLERS + PROXY);
    let response = client.join().expect("the client thread does not panic");
    let response = response.unwrap_or_else(|error| panic!("no response: {error}"));
    assert_eq!(response.status(), 502, "the request was executed: {response:?}");
    assert_exited_without_violations(&cluster);
}

fn holds_lease(cluster: &TestCluster, controller: usize) -> bool {
    let read = send_request(cluster.controller_address(controller), "GET", "/-/Configuration.Read", &[], "");
    read.is_ok_and(|response| response.status() == 200)
}

#[test]
fn a_command_in_flight_at_a_controller_that_shuts_down_gets_an_unknown_outcome() {
    let mut cluster = TestCluster::start(0, |_| {});
    assert_eq!(cluster.send_command("POST", "/-/Configuration.Replace", &config(1, |_| {})).status(), 200);
    let leaseholder = cluster.wait_until("a controller holds the lease", || {
        (0..CONTROLLERS).find(|controller| holds_lease(&cluster, *controller))
    });
    // Without the other controllers there is no majority to accept the command.
    let others: Vec<_> = (0..CONTROLLERS).filter(|controller| *controller != leaseholder).collect();
    others.into_iter().for_each(|other| cluster.kill_machine(other));
    let address = cluster.controller_address(leaseholder);
    let mut operator = TcpStream::connect(address).expect("the controller accepts connections");
    let host = address.to_string();
    write_message(
        &mut operator,
        "POST /-/Configuration.Replace HTTP/1.1",
        &[("Host", &host)],
        &config(2, |_| {}),
    )
    .expect("the command can be sent");
    assert!(
        holds_lease(&cluster, leaseholder),
        "the leaseholder has read the command and still holds the lease"
    );
    cluster.shut_down_machine(leaseholder);
    let response = read_message(&mut operator).expect("the connection is not reset");
    let response = response.expect("a response arrives before the connection closes");
    assert_eq!((response.status(), response.header("Connection")), (503, Some("close")), "{response:?}");
    cluster.wait_until("the controller has exited", || cluster.has_exited(leaseholder).then_some(()));
    assert_eq!(total_violations(), 0, "invariant violations");
}
