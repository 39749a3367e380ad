//! Measures the cost of single processes at fleet sizes that are too large to run here: time, bytes on the wire and
//! bytes in memory of the code that the programs run.
//!
//! Run `cargo run --release -p vanewharf-system-simulator --example capacity [PART...]`. The parts are config, list,
//! ledger (fleet summaries), hosts, lenders (token leases) and calls; without an argument all of them are measured. The
//! figures are in docs/CAPACITY.md.

mod backend_lists;
mod configurations;
mod fleet;
mod measure;
mod rpc;
mod summaries;
mod token_leases;

/// The parts, by their command-line names.
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
