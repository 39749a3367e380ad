//! `vanewharf system`: a demonstration of a whole cluster on this machine's loopback, with fake backends.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use vanewharf_testkit::cluster::{CONTROLLERS, TestCluster};
use vanewharf_testkit::config::config;
use vanewharf_testkit::http::Message;
use vanewharf_testkit::platform::Lifecycle;

/// Sends requests for that long through a cluster that loses a machine and gets it back, and prints what happens.
pub(crate) fn run(seconds: u64) {
    let mut cluster = TestCluster::start(2, |_| {});
    print_step(
        "three postmasters, two doors with a carrier and a sorter each, four backends, a platform: started",
    );
    let answer = cluster.send_command("POST", "/-/Configuration.Replace", &config(1, |_| {}));
    print_step(&format!("operator: Configuration.Replace r1 -> {}", answer.status()));
    for proxy in 0..2 {
        cluster.wait_for_status(proxy, "/read/x", Some("key-a"), 200);
        print_step(&format!("door {proxy} at {} serves", cluster.frontend_address(proxy)));
    }
    let third = Duration::from_secs(seconds) / 3;
    send_requests(&cluster, third, "undisturbed");
    cluster.kill_machine(0);
    print_step("central-0 has lost its processes");
    send_requests(&cluster, third, "without it");
    let answer = cluster.send_command("POST", "/-/Configuration.Replace", &config(2, |_| {}));
    print_step(&format!(
        "operator: Configuration.Replace r2 -> {} by the two that are left",
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
    print_step(&format!("central-0 is back; the platform shows {} as draining", cluster.backends[0].id));
    send_requests(&cluster, third, "draining");
    let read = cluster.send_command("GET", "/-/Configuration.Read", "");
    print_step(&format!(
        "operator: Configuration.Read -> {} {}",
        read.status(),
        read.body.get(..17).unwrap_or_default()
    ));
    print_step(&format!("{CONTROLLERS} disks held the operator's register; all of it is deleted now"));
}

fn print_step(step: &str) {
    println!("{step}");
}

/// Sends requests to both proxies for a while and prints how they were answered.
fn send_requests(cluster: &TestCluster, span: Duration, when: &str) {
    let (started, mut answers) = (Instant::now(), BTreeMap::<String, u64>::new());
    while started.elapsed() < span {
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
    print_step(&format!("clients, {when}, {:.1} s: {}", span.as_secs_f64(), counts.join(", ")));
}
