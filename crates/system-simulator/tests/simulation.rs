//! Tests of the simulator: the outcome of a seed is deterministic, runs violate no rule, no acknowledged change is lost
//! if power fails before any operation of a controller's disk, and the checker detects corrupted histories.

use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;
use vanewharf_runtime::invariants::total_violations;
use vanewharf_system_simulator::checker::{Observation, Rule, check};
use vanewharf_system_simulator::configuration::TenantQuota;
use vanewharf_system_simulator::disk::UnsyncedData;
use vanewharf_system_simulator::ground_truth::GroundTruth;
use vanewharf_system_simulator::history::{
    ClientRequest, Command, CommandRecord, ConfigurationRead, Execution, FinalState, ReceivedRegister,
    ReplicaVersion,
};
use vanewharf_system_simulator::outcome::RunOutcome;
use vanewharf_system_simulator::parallel::for_each_parallel;
use vanewharf_system_simulator::run::{CrashExtent, CrashPoint, simulate, simulate_crash};
use vanewharf_system_simulator::topology::SimulationParameters;

const THREADS: usize = 8;
const PARAMETERS: SimulationParameters =
    SimulationParameters { controllers: 3, proxies: 4, seconds: 12, requests_per_second: 30, max_faults: 4 };
/// When the final configuration is read in the histories that are passed to the checker.
const END: Duration = Duration::from_secs(20);
/// Seeds of runs with a configuration change, a change that two operators race for, and an evacuation.
const CRASH_SEEDS: [u64; 2] = [28, 85];

fn assert_no_violation(outcome: &RunOutcome) {
    assert!(
        outcome.violations.is_empty(),
        "seed {}: {:#?}\n{:#?}",
        outcome.seed,
        outcome.violations,
        outcome.events
    );
    assert_eq!(total_violations(), 0, "invariant violations in seed {} or an earlier one", outcome.seed);
}

#[test]
fn a_seed_has_a_deterministic_outcome_and_violates_no_rule() {
    let seeds: Vec<u64> = (0..24).chain([46, 724]).collect();
    let mut totals_by_seed = BTreeMap::new();
    for_each_parallel(
        seeds.iter().chain([&3]).copied().collect(),
        THREADS,
        |seed| simulate(PARAMETERS, seed),
        |outcome| {
            assert_no_violation(&outcome);
            let totals = (
                outcome.requests,
                outcome.served,
                outcome.rejected,
                outcome.disk_operations.clone(),
                outcome.proxy_traffic.bytes,
                outcome.events.clone(),
            );
            let first = totals_by_seed.entry(outcome.seed).or_insert(totals.clone());
            assert_eq!(*first, totals, "two simulations of seed {} differ", outcome.seed);
        },
    );
    assert_eq!(totals_by_seed.len(), seeds.len());
}

/// The crashes that are simulated before an operation of a controller's disk.
fn crashes_before(controller: usize, operation: u64) -> [CrashPoint; 5] {
    let crash = |unsynced, extent, wiped| CrashPoint { controller, operation, unsynced, extent, wiped };
    let next = |distance| Some((controller + distance) % PARAMETERS.controllers);
    [
        crash(UnsyncedData::Lost, CrashExtent::AllControllers, None),
        crash(UnsyncedData::Kept, CrashExtent::AllControllers, next(1)),
        crash(UnsyncedData::Torn(operation), CrashExtent::AllControllers, next(2)),
        crash(UnsyncedData::Torn(operation + 1), CrashExtent::AllControllers, next(0)),
        crash(UnsyncedData::Torn(operation + 2), CrashExtent::OneController, None),
    ]
}

#[test]
fn nothing_acknowledged_is_lost_by_a_crash_before_any_disk_operation() {
    vanewharf_runtime::log::disable();
    let parameters =
        SimulationParameters { proxies: 1, seconds: 5, requests_per_second: 2, max_faults: 0, ..PARAMETERS };
    let mut crash_points = 0;
    for seed in CRASH_SEEDS {
        let undisturbed = simulate(parameters, seed);
        assert_no_violation(&undisturbed);
        assert!(undisturbed.acknowledged >= 5, "too few acknowledged changes: {undisturbed:?}");
        let operations = undisturbed.disk_operations.iter().enumerate();
        let crashes: Vec<CrashPoint> = operations
            .flat_map(|(controller, count)| {
                (0..*count).flat_map(move |operation| crashes_before(controller, operation))
            })
            .collect();
        crash_points += crashes.len();
        for_each_parallel(
            crashes,
            THREADS,
            |crash| (crash, simulate_crash(parameters, seed, crash)),
            |(crash, outcome)| {
                assert!(outcome.violations.is_empty(), "seed {seed} {crash:?}: {:#?}", outcome.violations);
            },
        );
    }
    assert!(crash_points >= 300, "only {crash_points} crash points");
    println!("{crash_points} crash points");
}

/// Modifies a history so that it violates one rule.
type Corruption = fn(&GroundTruth, Instant);

/// Corruptions that the checker must detect, each with the rule that it must report.
const CORRUPTIONS: [(Option<Rule>, Corruption); 19] = [
    (None, |_, _| {}),
    (Some(Rule::Configuration), |truth, _| {
        let read = truth.history.borrow().final_configuration.clone().expect("there is one");
        truth.history.borrow_mut().final_configuration = Some(ConfigurationRead { text: body(1), ..read });
    }),
    (Some(Rule::Configuration), |truth, at| add_register(truth, at, version(7, 2), 99)),
    (Some(Rule::Configuration), |truth, at| {
        add_register(truth, at, version(9, 2), 3);
        add_register(truth, at, version(8, 2), 4);
    }),
    (Some(Rule::Configuration), |truth, at| add_outdated_request(truth, at + after(9.0))),
    (Some(Rule::RevokedKey), |truth, at| add_execution(truth, at + after(9.0), "gone", 1, false)),
    (Some(Rule::Quota), |truth, at| {
        (0..60).for_each(|attempt| add_execution(truth, at, "key", attempt, false));
    }),
    (Some(Rule::DuplicateExecution), |truth, at| {
        (0..2).for_each(|_| add_execution(truth, at, "key", 5, true));
    }),
    (Some(Rule::SingleLease), |truth, at| truth.history.borrow_mut().dual_leases.push(at)),
    // Two bodies under one revision are acknowledged, of which one acknowledgement may be lost.
    (Some(Rule::Configuration), |truth, at| {
        let record = CommandRecord::new(other_replace(), at);
        add_command(truth, CommandRecord { acknowledged: Some(at), ..record });
    }),
    (Some(Rule::Configuration), |truth, at| {
        let record = CommandRecord::new(other_replace(), at);
        add_command(truth, CommandRecord { acknowledgement_lost: Some(at), ..record });
    }),
    // An acknowledged command is rejected when it is repeated.
    (Some(Rule::Acknowledgement), |truth, at| add_rejected(truth, at, replace(2))),
    // A rejected body is in force in place of the acknowledged one.
    (Some(Rule::Configuration), |truth, at| {
        add_rejected(truth, at, other_replace());
        add_read(truth, at, other_body());
    }),
    // A read returns an older configuration than one that was acknowledged, or read, before it began.
    (Some(Rule::StaleRead), |truth, at| add_read(truth, at, body(1))),
    (Some(Rule::StaleRead), |truth, at| {
        add_command(truth, CommandRecord::new(replace(3), at));
        add_read(truth, at, body(3));
        add_read(truth, at + after(1.0), body(2));
    }),
    (Some(Rule::Configuration), |truth, at| add_read(truth, at, body(9))),
    (Some(Rule::Agreement), |truth, _| add_final_state(truth, Some(version(6, 2)))),
    (Some(Rule::Agreement), |truth, _| add_final_state(truth, None)),
    (Some(Rule::Agreement), |truth, _| {
        truth.history.borrow_mut().final_states[0].version = Some(version(5, 1));
    }),
];

#[test]
fn the_checker_reports_each_corrupted_history() {
    for (rule, corrupt) in CORRUPTIONS {
        let started = Instant::now();
        let truth = GroundTruth::new("10.9.0.100:80".parse().expect("an address"));
        let at = started + after(6.0);
        add_correct_history(&truth, started);
        add_register(&truth, at, version(7, 2), 3);
        corrupt(&truth, at);
        let violations = check(&Observation {
            ground_truth: &truth,
            faults: &[],
            controllers: 3,
            controller_changes: &[],
            started,
        });
        assert_eq!(violations.first().map(|violation| violation.rule), rule, "{violations:?}");
    }
}

/// Adds a history without violations: two configurations are acknowledged, of which the second one revokes a key, and
/// the second one is read at the end.
fn add_correct_history(truth: &GroundTruth, started: Instant) {
    let mut history = truth.history.borrow_mut();
    for (revision, keys) in [(1, vec!["key", "gone"]), (2, vec!["key"])] {
        let record = CommandRecord::new(replace(revision), started);
        history.commands.push(CommandRecord { acknowledged: Some(started + after(1.0)), ..record });
        history.access_keys.insert(revision, keys.into_iter().map(str::to_owned).collect());
        let quota = TenantQuota { rate: 4.0, burst: 4.0 };
        history.quotas.insert(revision, [("ana".to_owned(), quota)].into());
    }
    let (sent, received) = (started + END, started + END + after(0.1));
    history.final_configuration = Some(ConfigurationRead { sent, received, text: body(2) });
    let version = Some(version(7, 2));
    history.final_states =
        vec![FinalState { controller: "central-0".to_owned(), requested_at: started + END, version }];
}

fn after(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn body(revision: u64) -> String {
    format!("{{\"revision\":\"r{revision}\"}}")
}

/// Another body under revision 2.
fn other_body() -> String {
    "{\"revision\":\"r2\",\"routes\":{}}".to_owned()
}

fn replace(revision: u64) -> Command {
    Command::ReplaceConfiguration { revision, body: body(revision) }
}

fn other_replace() -> Command {
    Command::ReplaceConfiguration { revision: 2, body: other_body() }
}

fn version(register: u64, configuration: u64) -> ReplicaVersion {
    ReplicaVersion { register, configuration }
}

fn add_command(truth: &GroundTruth, record: CommandRecord) {
    truth.history.borrow_mut().commands.push(record);
}

fn add_rejected(truth: &GroundTruth, at: Instant, command: Command) {
    add_command(truth, CommandRecord { rejected: Some(409), ..CommandRecord::new(command, at) });
}

fn add_read(truth: &GroundTruth, sent: Instant, text: String) {
    let read = ConfigurationRead { sent, received: sent + after(0.1), text };
    truth.history.borrow_mut().configuration_reads.push(read);
}

fn add_final_state(truth: &GroundTruth, version: Option<ReplicaVersion>) {
    let mut history = truth.history.borrow_mut();
    let requested_at = history.final_states[0].requested_at;
    history.final_states.push(FinalState { controller: "central-1".to_owned(), requested_at, version });
}

fn add_register(truth: &GroundTruth, at: Instant, version: ReplicaVersion, digest: u64) {
    truth.history.borrow_mut().received_registers.push(ReceivedRegister {
        proxy: 0,
        incarnation: 1,
        at,
        register: version.register,
        configuration: version.configuration,
        digest,
    });
}

/// Adds a request that is served by revision 1 long after revision 2 was acknowledged.
fn add_outdated_request(truth: &GroundTruth, sent: Instant) {
    let request =
        ClientRequest { sent, proxy: 0, revision: 1, attempt: 1, status: Some(200), latency: after(0.1) };
    truth.history.borrow_mut().requests.insert(1, request);
}

fn add_execution(truth: &GroundTruth, at: Instant, access_key: &str, attempt: u64, mutating: bool) {
    truth.history.borrow_mut().executions.push(Execution {
        at,
        sent: at,
        attempt,
        mutating,
        backend: "i".to_owned(),
        tenant: "ana".to_owned(),
        access_key: access_key.to_owned(),
        proxy: 0,
        revision: 2,
    });
}
