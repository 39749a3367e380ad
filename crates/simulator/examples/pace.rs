//! Benchmark of the simulator: simulated first tries per second of wall time for several numbers of gateways and backends,
//! and the wall time of a trace of one hour, which is run twice to compare the results. docs/lab.md lists results.
//!
//! Run it with `cargo run --release -p vanewharf-simulator --example pace`.

use std::time::Instant;
use vanewharf_simulator::arrivals::{arrivals_from_trace, generate_arrivals};
use vanewharf_simulator::experiment::Experiment;
use vanewharf_simulator::policy::BalancerPolicy;
use vanewharf_simulator::run::run_with_arrivals;
use vanewharf_simulator::simulation::Simulation;
use vanewharf_traces::Row;

fn experiment(gateways: usize, backends: usize, length_s: f64) -> Experiment {
    let text = format!(
        "name = \"pace\"\nlength_s = {length_s}\nmeter = {{period_s = 1, late_s = [0.3, 1.2]}}\n\
         counter = {{per_s = 2000, parts = 2, wait_ms = 50}}\n[fleet]\ndoors = {gateways}\nbackends = {backends}\n\
         [[product]]\nname = \"look\"\nshare = 0.7\nwork_ms = 60\nsla_ms = 800\nexpiry_ms = 3000\nrepeat = \"inquiry-like\"\n\
         [[product]]\nname = \"book\"\nshare = 0.3\nwork_ms = 150\nsla_ms = 1500\nexpiry_ms = 6000\nrepeat = \"once-only\"\n\
         units = 3\nvalue = 3\n[[plan]]\nname = \"basic\"\nshare = 1\nrate = 8\nburst = 20\nwidth = [0.1, 0.3]\n\
         [load]\nof_capacity = 0.5\n"
    );
    Experiment::parse(&text).expect("a valid experiment")
}

fn main() {
    println!("| gateways | backends | first tries | first tries per second of wall time | wall time in s |");
    for gateways in [10, 100, 300] {
        for backends in [200, 2_000] {
            // The duration makes the number of first tries similar for all sizes.
            let experiment = experiment(gateways, backends, if backends > 1_000 { 10.0 } else { 60.0 });
            let arrivals = generate_arrivals(&experiment, 1);
            let started_at = Instant::now();
            let record = Simulation::new(&experiment, &arrivals, 1, BalancerPolicy::default()).run();
            let wall_s = started_at.elapsed().as_secs_f64();
            let tries_per_s = record.first_tries as f64 / wall_s;
            println!("| {gateways} | {backends} | {} | {tries_per_s:.0} | {wall_s:.2} |", record.first_tries);
        }
    }
    let experiment = Experiment { length_s: 3_600.0, ..experiment(30, 40, 3_600.0) };
    let mut rows = Vec::new();
    for second in 0..3_600u32 {
        for index in 0..300u32 {
            let hash = second.wrapping_mul(2_654_435_761).wrapping_add(index.wrapping_mul(40_503));
            let product = if hash % 10 < 7 { "look" } else { "book" };
            rows.push(Row {
                time_s: f64::from(second) + f64::from(index) / 300.0,
                customer: format!("c{}", hash / 7 % 400),
                product: product.to_owned(),
                plan: "basic".to_owned(),
                units: if product == "look" { 1.0 } else { 3.0 },
            });
        }
    }
    let started_at = Instant::now();
    let outcomes =
        [0, 1].map(|_| run_with_arrivals(&experiment, &arrivals_from_trace(&experiment, &rows, 1), 1));
    let wall_s = started_at.elapsed().as_secs_f64() / 2.0;
    let [first, second] =
        outcomes.map(|outcome| (outcome.balancer.net_value, outcome.score, outcome.balancer.usage.attempts));
    println!(
        "trace of one hour with {} requests, three policies: {wall_s:.1} s; both runs equal: {}",
        rows.len(),
        first == second
    );
    println!("G {:.4}, score {:.3}", first.0, first.1);
}
