//! Measures how long a change of one route takes on real sockets, by the size of the configuration that it changes:
//! three controllers and a proxy with its agent, all on loopback and on real disks.
//!
//! `cargo run --release -p vanewharf-testkit --example change_latency [PART...]`, each a part of 48,000 routes and
//! 240,000 tenants. The figures are in docs/CAPACITY.md.

use serde_json::json;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::time::{Duration, Instant};
use vanewharf_testkit::cluster::TestCluster;
use vanewharf_testkit::config::config;

const ROUTES: f64 = 48_000.0;
const TENANTS: f64 = 240_000.0;
const DEFAULT_PARTS: [f64; 8] = [0.02, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6];

/// A configuration with this part of all routes and tenants, and one route that only this revision has.
fn large_config(revision: u64, part: f64) -> String {
    config(revision, |config| {
        let template = config["routes"]["r-read"].clone();
        let routes = config["routes"].as_object_mut().expect("a table");
        for no in 0..(ROUTES * part) as usize {
            let mut route = template.clone();
            route["hostname"] = json!(format!("host-{:04}.shop.example", no / 8));
            route["path_prefix"] = json!(format!("/part-{no}/"));
            routes.insert(format!("route-{no:05}"), route);
        }
        let mut new_route = template;
        new_route["path_prefix"] = json!(format!("/fresh-{revision}/"));
        routes.insert("r-fresh".to_owned(), new_route);
        let customers = config["customers"].as_object_mut().expect("a table");
        for no in 0..(TENANTS * part) as usize {
            let customer = json!({"access_keys": [format!("key-{no:028}")], "precedence": no % 3,
                "rate_per_s": 40 + no % 50, "burst_allowance": 60, "home_regions": []});
            customers.insert(format!("tenant-{no:06}"), customer);
        }
    })
}

/// What one change took; the last two are unknown where it was not accepted.
struct ChangeTiming {
    status: u16,
    acknowledged: Duration,
    in_force: Option<Duration>,
    slowest_response: Option<Duration>,
}

fn milliseconds(time: Option<Duration>) -> f64 {
    time.map_or(f64::NAN, |time| time.as_secs_f64() * 1e3)
}

/// Sends a change and waits until the proxy serves its new route.
fn measure_change(cluster: &TestCluster, revision: u64, body: &str) -> ChangeTiming {
    let started = Instant::now();
    let status = cluster.send_command("POST", "/-/Configuration.Replace", body).status();
    let acknowledged = started.elapsed();
    if status != 200 {
        return ChangeTiming { status, acknowledged, in_force: None, slowest_response: None };
    }
    let (started, mut slowest) = (Instant::now(), Duration::ZERO);
    let path = format!("/fresh-{revision}/x");
    cluster.wait_until("the change is in force", || {
        let sent = Instant::now();
        let response = cluster.send_request(0, "GET", &path, Some("key-a"));
        slowest = slowest.max(sent.elapsed());
        response.ok().filter(|response| response.status() == 200)
    });
    ChangeTiming { status, acknowledged, in_force: Some(started.elapsed()), slowest_response: Some(slowest) }
}

/// Prints one row of the table: a first large configuration, and a change of one route of it.
fn measure_part(part: f64) {
    let (first, second) = (large_config(2, part), large_config(3, part));
    let megabytes = first.len() as f64 / 1e6;
    let mut columns = vec![];
    let completed = catch_unwind(AssertUnwindSafe(|| {
        let cluster = TestCluster::start(1, |_| {});
        cluster.send_command("POST", "/-/Configuration.Replace", &config(1, |_| {}));
        cluster.wait_for_status(0, "/read/x", Some("key-a"), 200);
        let change = measure_change(&cluster, 2, &first);
        let (acknowledged, in_force) =
            (milliseconds(Some(change.acknowledged)), milliseconds(change.in_force));
        columns.push(format!("{}, {acknowledged:.0}, {in_force:.0}", change.status));
        let change = measure_change(&cluster, 3, &second);
        let (acknowledged, in_force) =
            (milliseconds(Some(change.acknowledged)), milliseconds(change.in_force));
        let slowest = milliseconds(change.slowest_response);
        columns.push(format!("{}, {acknowledged:.0}, {in_force:.0}, {slowest:.0}", change.status));
    }));
    if completed.is_err() {
        columns.push("not in 20 s".to_owned());
    }
    println!("| {part} | {megabytes:.1} | {} |", columns.join(" | "));
}

fn main() {
    let parts: Vec<f64> = std::env::args().skip(1).filter_map(|part| part.parse().ok()).collect();
    let parts = if parts.is_empty() { DEFAULT_PARTS.to_vec() } else { parts };
    println!(
        "| part | text MB | the first: status, ms, in force ms | one route: status, ms, in force ms, slowest answer ms |"
    );
    println!("| --- | --- | --- | --- |");
    parts.into_iter().for_each(measure_part);
}
