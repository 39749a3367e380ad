//! Measures how long a change of one route takes to be acknowledged and applied, for configurations of different sizes.
//! The cluster has three controllers and one proxy with its agent, on loopback sockets and real disks.
//!
//! `cargo run --release -p vanewharf-testkit --example change_latency [FRACTION...]`, where each FRACTION is a fraction of
//! 48,000 routes and 240,000 tenants. The results are in docs/CAPACITY.md.

use serde_json::json;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::time::{Duration, Instant};
use vanewharf_testkit::cluster::TestCluster;
use vanewharf_testkit::config::config;

const ROUTES: f64 = 48_000.0;
const TENANTS: f64 = 240_000.0;
const DEFAULT_FRACTIONS: [f64; 8] = [0.02, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6];

/// Returns a configuration with this fraction of all routes and tenants, and one route that only this revision has.
fn large_config(revision: u64, fraction: f64) -> String {
    config(revision, |config| {
        let template = config["routes"]["r-read"].clone();
        let routes = config["routes"].as_object_mut().expect("routes is an object");
        for number in 0..(ROUTES * fraction) as usize {
            let mut route = template.clone();
            route["hostname"] = json!(format!("host-{:04}.shop.example", number / 8));
            route["path_prefix"] = json!(format!("/part-{number}/"));
            routes.insert(format!("route-{number:05}"), route);
        }
        let mut new_route = template;
        new_route["path_prefix"] = json!(format!("/fresh-{revision}/"));
        routes.insert("r-fresh".to_owned(), new_route);
        let customers = config["customers"].as_object_mut().expect("customers is an object");
        for number in 0..(TENANTS * fraction) as usize {
            let customer = json!({"access_keys": [format!("key-{number:028}")], "precedence": number % 3,
                "rate_per_s": 40 + number % 50, "burst_allowance": 60, "home_regions": []});
            customers.insert(format!("tenant-{number:06}"), customer);
        }
    })
}

/// The durations of one change. `in_force` and `slowest_response` are `None` if the change was not accepted.
struct ChangeTiming {
    status: u16,
    acknowledged: Duration,
    in_force: Option<Duration>,
    slowest_response: Option<Duration>,
}

fn milliseconds(time: Option<Duration>) -> f64 {
    time.map_or(f64::NAN, |time| time.as_secs_f64() * 1e3)
}

/// Sends a change, and waits until the proxy serves the new route if the change was accepted.
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

/// Prints one row of the table: the times for installing a large configuration, and for changing one route of it.
fn measure_fraction(fraction: f64) {
    let (first, second) = (large_config(2, fraction), large_config(3, fraction));
    let megabytes = first.len() as f64 / 1e6;
    let mut columns = vec![];
    let result = catch_unwind(AssertUnwindSafe(|| {
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
    if result.is_err() {
        columns.push("timed out after 20 s".to_owned());
    }
    println!("| {fraction} | {megabytes:.1} | {} |", columns.join(" | "));
}

fn main() {
    let fractions: Vec<f64> = std::env::args().skip(1).filter_map(|argument| argument.parse().ok()).collect();
    let fractions = if fractions.is_empty() { DEFAULT_FRACTIONS.to_vec() } else { fractions };
    println!(
        "| fraction | text MB | first configuration: status, ms, in force ms | one route: status, ms, in force ms, slowest response ms |"
    );
    println!("| --- | --- | --- | --- |");
    fractions.into_iter().for_each(measure_fraction);
}
