//! How long a change of one route takes on real sockets, by the size of the configuration that it changes: three
//! postmasters and a door with its two programs, all on loopback and on real disks. `cargo run --release -p
//! vanewharf-testkit --example change [PART...]`, each a part of 48,000 routes and 240,000 tenants. Figures in
//! docs/CAPACITY.md.

use serde_json::json;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::time::Instant;
use vanewharf_testkit::town::{Town, config};

const ROUTES: f64 = 48_000.0;
const TENANTS: f64 = 240_000.0;

/// With a route that this revision alone has.
fn grown(revision: u64, part: f64) -> String {
    config(revision, |config| {
        let route = config["routes"]["r-read"].clone();
        let routes = config["routes"].as_object_mut().expect("a table");
        for no in 0..(ROUTES * part) as usize {
            let mut route = route.clone();
            route["hostname"] = json!(format!("host-{:04}.shop.example", no / 8));
            route["path_prefix"] = json!(format!("/part-{no}/"));
            routes.insert(format!("route-{no:05}"), route);
        }
        let mut fresh = route;
        fresh["path_prefix"] = json!(format!("/fresh-{revision}/"));
        routes.insert("r-fresh".to_owned(), fresh);
        let customers = config["customers"].as_object_mut().expect("a table");
        for no in 0..(TENANTS * part) as usize {
            let customer = json!({"access_keys": [format!("key-{no:028}")], "precedence": no % 3,
                "rate_per_s": 40 + no % 50, "burst_allowance": 60, "home_regions": []});
            customers.insert(format!("tenant-{no:06}"), customer);
        }
    })
}

/// Status and milliseconds of the order, until it is in force at the door, and of the slowest answer meanwhile.
fn change(town: &Town, revision: u64, body: &str) -> (u16, f64, f64, f64) {
    let began = Instant::now();
    let status = town.order("POST", "/-/Configuration.Replace", body).status();
    let acknowledged = began.elapsed().as_secs_f64() * 1e3;
    if status != 200 {
        return (status, acknowledged, f64::NAN, f64::NAN);
    }
    let (began, mut slowest) = (Instant::now(), 0.0f64);
    let path = format!("/fresh-{revision}/x");
    town.until("the change is in force", || {
        let asked = Instant::now();
        let answer = town.ask(0, "GET", &path, Some("key-a"));
        slowest = slowest.max(asked.elapsed().as_secs_f64() * 1e3);
        answer.ok().filter(|answer| answer.status() == 200)
    });
    (status, acknowledged, began.elapsed().as_secs_f64() * 1e3, slowest)
}

fn main() {
    let parts: Vec<f64> = std::env::args().skip(1).filter_map(|part| part.parse().ok()).collect();
    let parts = if parts.is_empty() { vec![0.02, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6] } else { parts };
    println!(
        "| part | text MB | the first: status, ms, in force ms | one route: status, ms, in force ms, slowest answer ms |"
    );
    println!("| --- | --- | --- | --- |");
    for part in parts {
        let (first, second) = (grown(2, part), grown(3, part));
        let megabytes = first.len() as f64 / 1e6;
        let mut said = vec![];
        let all = catch_unwind(AssertUnwindSafe(|| {
            let town = Town::start(1, |_| {});
            town.order("POST", "/-/Configuration.Replace", &config(1, |_| {}));
            town.until_status(0, "/read/x", Some("key-a"), 200);
            let (status, taken, force, _) = change(&town, 2, &first);
            said.push(format!("{status}, {taken:.0}, {force:.0}"));
            let (status, taken, force, slowest) = change(&town, 3, &second);
            said.push(format!("{status}, {taken:.0}, {force:.0}, {slowest:.0}"));
        }));
        if all.is_err() {
            said.push("not in 20 s".to_owned());
        }
        println!("| {part} | {megabytes:.1} | {} |", said.join(" | "));
    }
}
