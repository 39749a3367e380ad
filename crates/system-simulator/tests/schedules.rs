//! Tests of schedules: those in days/ and generated stress schedules violate no rule, the simulation is deterministic,
//! and errors in a schedule file name the invalid key.

use std::path::{Path, PathBuf};
use vanewharf_system_simulator::checker::Rule;
use vanewharf_system_simulator::outcome::RunOutcome;
use vanewharf_system_simulator::parallel::{for_each_parallel, simulate_hard_seeds, simulate_schedules};
use vanewharf_system_simulator::schedule::Schedule;
use vanewharf_system_simulator::schedule::stress::generate_schedule;
use vanewharf_system_simulator::scheduled_run::simulate_schedule;
use vanewharf_system_simulator::topology::SimulationParameters;

const THREADS: usize = 8;

fn schedule_files() -> Vec<PathBuf> {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("days");
    let entries = std::fs::read_dir(directory).expect("the directory exists");
    let mut files: Vec<_> = entries.map(|entry| entry.expect("a file").path()).collect();
    files.sort();
    files
}

/// The name of each file begins with the number of the problem, 1 to 5, that the schedule covers.
#[test]
fn schedules_from_files_violate_no_rule() {
    let schedules: Vec<_> =
        schedule_files().iter().map(|file| Schedule::read(file).expect("a valid schedule")).collect();
    let problems: Vec<_> =
        schedules.iter().map(|schedule| schedule.name.split('-').next().unwrap_or("").to_owned()).collect();
    for problem in ["1", "2", "3", "4", "5"] {
        assert!(
            problems.iter().any(|covered| covered == problem),
            "no schedule covers problem {problem}, only {problems:?}"
        );
    }
    let mut violations = Vec::new();
    simulate_schedules(schedules, THREADS, |name, outcome| {
        assert!(
            outcome.acknowledged > 10,
            "{name}: only {} commands were acknowledged",
            outcome.acknowledged
        );
        if !outcome.violations.is_empty() {
            violations.push(format!("{name}: {:#?}", outcome.violations.iter().take(5).collect::<Vec<_>>()));
        }
    });
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}

#[test]
fn stress_schedules_of_three_four_and_five_controllers_violate_no_rule() {
    for controllers in [3, 4, 5] {
        let parameters = SimulationParameters {
            controllers,
            proxies: 3,
            seconds: 20,
            requests_per_second: 10,
            max_faults: 6,
        };
        simulate_hard_seeds(parameters, 1, 12, THREADS, |outcome| {
            assert!(
                outcome.violations.is_empty(),
                "{controllers} controllers, seed {}: {:#?}\n{:#?}",
                outcome.seed,
                outcome.violations,
                outcome.events
            );
        });
    }
}

fn assert_no_rule_is_violated(controllers: usize, seed: u64) {
    let parameters =
        SimulationParameters { controllers, proxies: 3, seconds: 20, requests_per_second: 5, max_faults: 6 };
    let outcome = simulate_schedule(&generate_schedule(parameters, seed));
    assert!(outcome.violations.is_empty(), "{:#?}", outcome.violations);
}

/// Guards against replacing a healthy voter while another voter has failed. The cluster could then not tolerate the
/// next loss, although no more machines are lost at the same time than it must tolerate.
#[test]
fn replacing_a_healthy_voter_beside_a_failed_one_keeps_the_fault_tolerance() {
    assert_no_rule_is_violated(3, 803_248);
}

/// Guards against replacing a healthy voter by a machine that has just been removed permanently, which the leaseholder
/// has not detected yet.
#[test]
fn replacing_a_voter_by_a_machine_just_removed_keeps_the_fault_tolerance() {
    assert_no_rule_is_violated(4, 803_138);
}

/// Guards against a late replacement of a removed voter: a voter is removed permanently, its replacement has been
/// added, and all machines lose power. The new leaseholder then restarts its waiting time for the removed voter, and
/// the next disk is lost before the replacement has become a voter.
#[test]
fn a_voter_that_went_before_a_loss_of_all_power_is_replaced_before_the_next_loss() {
    assert_no_rule_is_violated(3, 801_283);
}

#[test]
fn a_schedule_has_the_same_outcome_in_every_run() {
    let parameters = SimulationParameters {
        controllers: 3,
        proxies: 3,
        seconds: 15,
        requests_per_second: 20,
        max_faults: 5,
    };
    let mut outcomes = Vec::new();
    for_each_parallel(
        vec![7, 7],
        2,
        |seed| simulate_schedule(&generate_schedule(parameters, seed)),
        |outcome| outcomes.push(outcome),
    );
    let totals = |outcome: &RunOutcome| {
        (
            outcome.requests,
            outcome.served,
            outcome.rejected,
            outcome.disk_operations.clone(),
            outcome.proxy_traffic.bytes,
            outcome.controller_traffic.bytes,
            outcome.acknowledged,
        )
    };
    assert_eq!(totals(&outcomes[0]), totals(&outcomes[1]));
}

const VALID: &str = "about = \"a day\"\npostmasters = 3\ndoors = 2\nseconds = 5\nseed = 1\n";

/// Invalid lines and tables, each with a part of the error message.
const INVALID: [(&str, &str); 16] = [
    ("speed = 3", "unknown field `speed`"),
    ("drift = 2.0", "drift: 2 is out of range, expected 0 to 0.5"),
    ("answers_lost = 1.0", "answers_lost: 1 is out of range, expected 0 to 0.9"),
    ("[[order]]\nat = 9.0\nkind = \"reply\"", "order 1: kind: unknown command reply"),
    ("[[order]]\nat = 0.0\nkind = \"replace\"", "order 1: at: 0 is out of range"),
    ("[[order]]\nat = 9.0\nkind = \"evacuate\"", "order 1: zone: required for evacuate"),
    ("[[order]]\nat = 9.0\nkind = \"evacuate\"\nzone = \"moon\"", "order 1: zone: unknown zone moon"),
    ("[[order]]\nat = 9.0\nkind = \"voters\"\nout = \"holder\"", "order 1: into: required for voters"),
    ("[[order]]\nat = 9.0\nkind = \"replace\"\nbodies = 9", "order 1: bodies: 9 is out of range"),
    ("[[trouble]]\nat = 9.0\nkind = \"kill\"", "missing field `for`"),
    ("[[trouble]]\nat = 9.0\nfor = 1.0\nkind = \"kill\"", "trouble 1: whom: required for kill"),
    ("[[trouble]]\nat = 9.0\nfor = 1.0\nkind = \"rain\"", "trouble 1: kind: unknown fault rain"),
    (
        "[[trouble]]\nat = 9.0\nfor = 1.0\nkind = \"kill\"\nwhom = [\"central-3\"]",
        "trouble 1: whom: central-3 is not a controller",
    ),
    (
        "[[trouble]]\nat = 9.0\nfor = 1.0\nkind = \"door-cut\"\ndoors = [2]",
        "trouble 1: doors: no proxy has number 2",
    ),
    (
        "[[trouble]]\nat = 9.0\nfor = 1.0\nkind = \"narrow\"\nwhom = [\"holder\"]",
        "trouble 1: bytes_per_s: required for narrow",
    ),
    (
        "[[trouble]]\nat = 9.0\nfor = 1.0\nkind = \"gone\"\nwhom = [\"holder\"]\nnew = \"central-1\"",
        "new: not a spare controller",
    ),
];

#[test]
fn errors_in_a_schedule_name_the_invalid_key() {
    assert!(Schedule::parse("valid", VALID).is_ok());
    for (invalid, message) in INVALID {
        let error = Schedule::parse("invalid", &format!("{VALID}{invalid}\n")).expect_err(invalid);
        assert!(error.to_string().contains(message), "{invalid}: {error}");
    }
    let error = Schedule::read(Path::new("no/such.toml")).expect_err("no file");
    assert!(error.to_string().starts_with("no/such.toml: "), "{error}");
}

/// Counts the runs, out of 40, in which two controllers hold the lease at the same time. The leaseholder is partitioned
/// repeatedly, and the clock rate of each machine deviates by up to `drift`, for about half of the machines by
/// exactly that.
fn runs_with_dual_leases(drift: f64) -> usize {
    const RUNS: u64 = 40;
    let partitions: String = (0..8)
        .map(|index| {
            let at = 9 + index * 5;
            format!("[[trouble]]\nat = {at}.0\nfor = 3.0\nkind = \"cut\"\nwhom = [\"holder\"]\n")
        })
        .collect();
    let schedule = Schedule::parse("clocks", &format!("{VALID}drift = {drift}\n{partitions}"));
    let schedule = schedule.expect("a valid schedule");
    let (mut with_dual_leases, mut runs) = (0, 0);
    for_each_parallel(
        (0..RUNS).collect(),
        THREADS,
        |seed| simulate_schedule(&Schedule { seed, ..schedule.clone() }),
        |outcome| {
            runs += 1;
            let dual = outcome.violations.iter().any(|violation| violation.rule == Rule::SingleLease);
            with_dual_leases += usize::from(dual);
        },
    );
    assert_eq!(runs, RUNS);
    with_dual_leases
}

/// The lease lasts 1.5 s, of which 0.25 s are a safety margin. This tolerates clock rates that deviate by up to one
/// eleventh: a leaseholder's clock that is slow by that much and voters' clocks that are fast by it. With a far larger
/// deviation two controllers hold the lease.
#[test]
fn the_lease_tolerates_a_clock_drift_of_a_twentieth_but_not_of_a_third() {
    assert_eq!(runs_with_dual_leases(0.05), 0);
    assert_eq!(runs_with_dual_leases(0.09), 0);
    assert!(runs_with_dual_leases(0.33) > 0, "no run with two leaseholders despite a clock drift of 0.33");
}
