//! `system try`: a demonstration cluster on loopback, with fake backends and a fake cloud platform.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use vanewharf_testkit::cluster::{CONTROLLERS, TestCluster};
use vanewharf_testkit::config::config;
use vanewharf_testkit::http::Message;
use vanewharf_testkit::platform::Lifecycle;

/// Sends requests through a cluster for a number of seconds: first undisturbed, then with one machine down, then with
/// that machine restarted and a backend draining. Prints each step and the responses.
pub(crate) fn run(seconds: u64) {
    let mut cluster = TestCluster::start(2, |_| {});
    print_step(
        "started three controllers, two machines with a proxy and an agent each, four backends, and a platform API",
    );
    let answer = cluster.send_command("POST", "/-/Configuration.Replace", &config(1, |_| {}));
    print_step(&format!("operator: Configuration.Replace r1 -> {}", answer.status()));
    for proxy in 0..2 {
        cluster.wait_for_status(proxy, "/read/x", Some("key-a"), 200);
        print_step(&format!("proxy {proxy} at {} serves requests", cluster.frontend_address(proxy)));
    }
    let phase_length = Duration::from_secs(seconds) / 3;
    send_requests(&cluster, phase_length, "undisturbed");
    cluster.kill_machine(0);
    print_step("killed all processes on central-0");
    send_requests(&cluster, phase_length, "without central-0");
    let answer = cluster.send_command("POST", "/-/Configuration.Replace", &config(2, |_| {}));
    print_step(&format!(
        "operator: Configuration.Replace r2 -> {} from the two remaining controllers",
        answer.status()
    ));
    cluster.start_machine(0);
    let instances: Vec<_> = cluster
        .backends
        .iter()
        .enumerate()
        .map(|(no, backend)| (backend, if no == 0 { Lifecycle::Draining } else { Lifecycle::Available }))
        .collect();
    cluster.platform.set_instances(&instances);
    print_step(&format!("restarted central-0; the platform reports {} as draining", cluster.backends[0].id));
    send_requests(&cluster, phase_length, "draining");
    let read = cluster.send_command("GET", "/-/Configuration.Read", "");
    print_step(&format!(
        "operator: Configuration.Read -> {} {}",
        read.status(),
        read.body.get(..17).unwrap_or_default()
    ));
    print_step(&format!(
        "stopping the cluster and deleting the data directories of its {CONTROLLERS} controllers"
    ));
}

fn print_step(step: &str) {
    println!("{step}");
}

/// Sends requests to both proxies for the given time and prints the number of responses of each kind.
fn send_requests(cluster: &TestCluster, duration: Duration, phase: &str) {
    let (started, mut answers) = (Instant::now(), BTreeMap::<String, u64>::new());
    while started.elapsed() < duration {
        for (proxy, (method, path, key)) in
            [("GET", "/read/x", "key-a"), ("POST", "/write/x", "key-a"), ("GET", "/read/x", "key-c")]
                .iter()
                .enumerate()
        {
            let answer = cluster.send_request(proxy % 2, method, path, Some(key));
            let name = |answer: Message| match answer.status() {
                200 => format!("200 from {}", answer.body),
                status => status.to_string(),
            };
            *answers.entry(answer.map_or("none".to_owned(), name)).or_default() += 1;
        }
    }
    let counts: Vec<_> = answers.iter().map(|(answer, count)| format!("{count} x {answer}")).collect();
    print_step(&format!("clients, {phase}, {:.1} s: {}", duration.as_secs_f64(), counts.join(", ")));
}
