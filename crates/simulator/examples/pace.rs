//! How fast the simulator is: simulated requests a second of wall time by doors and backends, and an hour's trace.
//! `cargo run --release -p vanewharf-simulator --example pace`; figures in docs/lab.md.

use std::time::Instant;
use vanewharf_simulator::arrivals::{generated, traced};
use vanewharf_simulator::experiment::Experiment;
use vanewharf_simulator::policy::BalancerPolicy;
use vanewharf_simulator::run::run_with;
use vanewharf_simulator::simulation::Simulation;
use vanewharf_traces::Row;

fn experiment(doors: usize, backends: usize, length_s: f64) -> Experiment {
    let text = format!(
        "name = \"pace\"\nlength_s = {length_s}\nmeter = {{period_s = 1, late_s = [0.3, 1.2]}}\n\
         counter = {{per_s = 2000, parts = 2, wait_ms = 50}}\n[fleet]\ndoors = {doors}\nbackends = {backends}\n\
         [[product]]\nname = \"look\"\nshare = 0.7\nwork_ms = 60\nsla_ms = 800\nexpiry_ms = 3000\nrepeat = \"inquiry-like\"\n\
         [[product]]\nname = \"book\"\nshare = 0.3\nwork_ms = 150\nsla_ms = 1500\nexpiry_ms = 6000\nrepeat = \"once-only\"\n\
         units = 3\nvalue = 3\n[[plan]]\nname = \"basic\"\nshare = 1\nrate = 8\nburst = 20\nwidth = [0.1, 0.3]\n\
         [load]\nof_capacity = 0.5\n"
    );
    Experiment::parse(&text).expect("a good experiment")
}

fn main() {
    println!("| doors | backends | first tries | tries a second of wall time | wall s |");
    for doors in [10, 100, 300] {
        for backends in [200, 2_000] {
            // About as many tries for each size.
            let experiment = experiment(doors, backends, if backends > 1_000 { 10.0 } else { 60.0 });
            let arrivals = generated(&experiment, 1);
            let began = Instant::now();
            let record = Simulation::new(&experiment, &arrivals, 1, BalancerPolicy::default()).run();
            let wall = began.elapsed().as_secs_f64();
            let pace = record.first_tries as f64 / wall;
            println!("| {doors} | {backends} | {} | {pace:.0} | {wall:.2} |", record.first_tries);
        }
    }
    let experiment = Experiment { length_s: 3_600.0, ..experiment(30, 40, 3_600.0) };
    let mut rows = Vec::new();
    for second in 0..3_600u32 {
        for no in 0..300u32 {
            let chance = second.wrapping_mul(2_654_435_761).wrapping_add(no.wrapping_mul(40_503));
            let product = if chance % 10 < 7 { "look" } else { "book" };
            rows.push(Row {
                time_s: f64::from(second) + f64::from(no) / 300.0,
                customer: format!("c{}", chance / 7 % 400),
                product: product.to_owned(),
                plan: "basic".to_owned(),
                units: if product == "look" { 1.0 } else { 3.0 },
            });
        }
    }
    let began = Instant::now();
    let figures = [0, 1].map(|_| run_with(&experiment, &traced(&experiment, &rows, 1), 1));
    let wall = began.elapsed().as_secs_f64() / 2.0;
    let [one, other] =
        figures.map(|outcome| (outcome.balancer.g, outcome.score, outcome.balancer.usage.attempts));
    println!("an hour of {} txns, three policies: {wall:.1} s; twice the same: {}", rows.len(), one == other);
    println!("G {:.4}, score {:.3}", one.0, one.1);
}
