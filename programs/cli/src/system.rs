//! `vanewharf system`: a demonstration of a whole cluster on this machine's loopback, with fake backends.

use clap::Subcommand;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use vanewharf_testkit::cluster::{CONTROLLERS, TestCluster};
use vanewharf_testkit::config::config;
use vanewharf_testkit::http::Message;
use vanewharf_testkit::platform::Lifecycle;

#[derive(Subcommand)]
pub enum System {
    /// Start three postmasters and two doors on loopback, send requests through them, kill the lease holder's machine
    /// under way, drain a backend, and print what clients and operator got.
    Try {
        /// How long requests are sent, in seconds.
        #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u64).range(3..=600))]
        seconds: u64,
    },
}

impl System {
    pub fn run(self) {
        let System::Try { seconds } = self;
        let mut cluster = TestCluster::start(2, |_| {});
        say(
            "three postmasters, two doors with a carrier and a sorter each, four backends, a platform: started",
        );
        let answer = cluster.send_command("POST", "/-/Configuration.Replace", &config(1, |_| {}));
        say(&format!("operator: Configuration.Replace r1 -> {}", answer.status()));
        for door in 0..2 {
            cluster.wait_for_status(door, "/read/x", Some("key-a"), 200);
            say(&format!("door {door} at {} serves", cluster.frontend_address(door)));
        }
        let third = Duration::from_secs(seconds) / 3;
        send_requests(&cluster, third, "undisturbed");
        cluster.kill_machine(0);
        say("central-0 has lost its processes");
        send_requests(&cluster, third, "without it");
        let answer = cluster.send_command("POST", "/-/Configuration.Replace", &config(2, |_| {}));
        say(&format!("operator: Configuration.Replace r2 -> {} by the two that are left", answer.status()));
        cluster.start_machine(0);
        let instances: Vec<_> = cluster
            .backends
            .iter()
            .enumerate()
            .map(|(no, backend)| (backend, if no == 0 { Lifecycle::Draining } else { Lifecycle::Available }))
            .collect();
        cluster.platform.set_instances(&instances);
        say(&format!("central-0 is back; the platform shows {} as draining", cluster.backends[0].id));
        send_requests(&cluster, third, "draining");
        let read = cluster.send_command("GET", "/-/Configuration.Read", "");
        say(&format!(
            "operator: Configuration.Read -> {} {}",
            read.status(),
            read.body.get(..17).unwrap_or_default()
        ));
        say(&format!("{CONTROLLERS} disks held the operator's register; all of it is deleted now"));
    }
}

fn say(what: &str) {
    println!("{what}");
}

/// Sends requests to both proxies for a while and prints how they were answered.
fn send_requests(cluster: &TestCluster, span: Duration, when: &str) {
    let (begun, mut answers) = (Instant::now(), BTreeMap::<String, u64>::new());
    while begun.elapsed() < span {
        for (door, (method, path, key)) in
            [("GET", "/read/x", "key-a"), ("POST", "/write/x", "key-a"), ("GET", "/read/x", "key-c")]
                .iter()
                .enumerate()
        {
            let answer = cluster.send_request(door % 2, method, path, Some(key));
            let name = |answer: Message| match answer.status() {
                200 => format!("200 from {}", answer.body),
                status => status.to_string(),
            };
            *answers.entry(answer.map_or("none".to_owned(), name)).or_default() += 1;
        }
    }
    let told: Vec<_> = answers.iter().map(|(answer, count)| format!("{count} x {answer}")).collect();
    say(&format!("clients, {when}, {:.1} s: {}", span.as_secs_f64(), told.join(", ")));
}
