//! Measures what one process pays at sizes that no fleet here reaches: time, bytes on the wire and bytes in memory, of the
//! same code that the programs run.
//!
//! `cargo run --release -p vanewharf-system-simulator --example capacity [PART...]`, parts: config, list, ledger, hosts,
//! lenders, calls; all where none is named. The figures are in docs/CAPACITY.md.

mod backend_lists;
mod configurations;
mod fleet;
mod measure;
mod rpc;
mod summaries;
mod token_leases;

/// The parts by their names on the command line.
const PARTS: [(&str, fn()); 6] = [
    ("config", configurations::measure_all),
    ("list", backend_lists::measure_all),
    ("ledger", summaries::measure_summaries),
    ("hosts", summaries::measure_hosts),
    ("lenders", token_leases::measure_all),
    ("calls", rpc::measure_all),
];

fn main() {
    let wanted: Vec<String> = std::env::args().skip(1).collect();
    for (part, measure) in PARTS {
        if wanted.is_empty() || wanted.iter().any(|name| name == part) {
            measure();
        }
    }
}
