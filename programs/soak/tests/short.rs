//! A short soak: a few seeds with overlapping faults.

use std::path::PathBuf;
use std::thread;
use std::time::Duration;
use vanewharf_soak::run::{SoakOptions, run};

const SEEDS: [u64; 3] = [1, 2, 3];
const LENGTH: Duration = Duration::from_secs(5);

#[test]
fn a_few_seeds_run_without_violations() {
    let options = SoakOptions {
        executable: PathBuf::from(env!("CARGO_BIN_EXE_vanewharf-soak")),
        length: LENGTH,
        keep_failed: false,
    };
    let options = &options;
    thread::scope(|scope| {
        for seed in SEEDS {
            scope.spawn(move || {
                let outcome = run(seed, options).unwrap_or_else(|error| panic!("seed {seed}: {error}"));
                assert!(outcome.violations.is_empty(), "{outcome:#?}");
                assert!(outcome.served > 0 && outcome.acknowledged > 1, "{outcome:?}");
            });
        }
    });
}
