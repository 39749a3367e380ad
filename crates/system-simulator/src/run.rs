//! Runs that are generated from a seed, which determines the operators' commands, the clients' requests and the
//! faults.
//!
//! The order in which random values are drawn determines each run: adding, removing or moving a draw changes the
//! outcome of every seed.

use crate::clients::{Clients, HotTenant};
use crate::cluster::Cluster;
use crate::configuration::{
    AccessKeys, ConfigurationVariant, TENANTS, create_backends, record_configuration,
};
use crate::disk::UnsyncedData;
use crate::fault_generator::{FaultAction, FaultGenerator};
use crate::history::Command;
use crate::operators::{TimedCommand, send_in_sequence};
use crate::outcome::{CompletedRun, RunOutcome};
use crate::topology::{SimulationParameters, ZONES};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::rc::Rc;
use std::time::Duration;
use tokio::runtime::Builder;
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep, sleep_until};

/// When clients begin to send. The system has to be ready by then.
pub const TRAFFIC_START: Duration = Duration::from_secs(8);
/// The time from the last fault or command to the end of a run.
pub(crate) const QUIET_PERIOD: Duration = Duration::from_secs(9);
const FIRST_COMMAND_AT: Duration = Duration::from_secs(1);
/// The duration of an evacuation, if it ends.
const EVACUATION_DURATION: Duration = Duration::from_secs(4);
const HOT_TENANT_DURATION: Duration = Duration::from_secs(6);
/// Interval at which the number of leaseholders is checked. Several leaseholders for a shorter time may go unnoticed.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// The time from a crash until the machines start again.
const CRASH_DOWNTIME: Duration = Duration::from_millis(700);
/// Number of operators in a run that is generated from a seed.
const OPERATORS: usize = 2;

/// A crash before a given operation of a controller's disk, which replaces the random faults of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashPoint {
    /// The controller whose disk is watched.
    pub controller: usize,
    /// The operation before which the crash happens, counted from 0.
    pub operation: u64,
    /// What happens to data that was not synced.
    pub unsynced: UnsyncedData,
    /// Which controllers lose power.
    pub extent: CrashExtent,
    /// A controller that also loses all data on its disk.
    pub wiped: Option<usize>,
}

/// Which controllers lose power in a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashExtent {
    /// All controllers.
    AllControllers,
    /// Only the controller whose disk is watched.
    OneController,
}

/// Simulates the run that is generated from a seed.
pub fn simulate(parameters: SimulationParameters, seed: u64) -> RunOutcome {
    block_on_simulation(run(parameters, seed, None))
}

/// Simulates the run that is generated from a seed, with this crash as its only fault.
pub fn simulate_crash(parameters: SimulationParameters, seed: u64, crash: CrashPoint) -> RunOutcome {
    block_on_simulation(run(parameters, seed, Some(crash)))
}

/// Runs a future on a runtime with simulated time, which advances only when all tasks are waiting.
pub(crate) fn block_on_simulation<T>(simulation: impl Future<Output = T>) -> T {
    let runtime = Builder::new_current_thread().enable_time().start_paused(true).build().expect("a runtime");
    runtime.block_on(LocalSet::new().run_until(simulation))
}

async fn run(parameters: SimulationParameters, seed: u64, crash: Option<CrashPoint>) -> RunOutcome {
    let cluster = Cluster::new(parameters, seed);
    let started = Instant::now();
    let mut rng = SmallRng::seed_from_u64(seed);
    create_backends(&cluster);
    if let Some(crash) = crash {
        let disk = &cluster.machines[crash.controller].disk;
        disk.iter().for_each(|disk| disk.set_breakpoint(crash.operation));
    }
    cluster.start();

    let keys = AccessKeys::initial();
    let commands = draw_commands(&cluster, &mut rng, keys.clone());
    let command_count = commands.iter().map(Vec::len).sum();
    for (operator, commands) in commands.into_iter().enumerate() {
        let operating = send_in_sequence(Rc::clone(&cluster), operator as u8, commands, started);
        tokio::task::spawn_local(operating);
    }

    let mut generator = FaultGenerator::new(&cluster, rng);
    if crash.is_none() {
        draw_faults(&mut generator, &parameters);
    }
    let hot_tenant = draw_hot_tenant(&mut generator, started);
    let FaultGenerator { mut actions, events, .. } = generator;
    actions.sort_by_key(|action| action.at);
    let last_fault_begins = faults_until(&parameters);
    let duration =
        actions.last().map_or(last_fault_begins, |last| last.at.max(last_fault_begins)) + QUIET_PERIOD;
    let clients = Clients { cluster: Rc::clone(&cluster), seed, started, duration, hot_tenant, keys };
    tokio::task::spawn_local(clients.run());
    tokio::task::spawn_local(record_dual_leases(Rc::clone(&cluster)));
    if let Some(crash) = crash {
        tokio::task::spawn_local(crash_at(Rc::clone(&cluster), crash));
    }
    execute_faults(&cluster, &actions, started).await;
    sleep_until(started + duration).await;

    let completed =
        CompletedRun { cluster: &cluster, seed, started, duration, events, commands: command_count };
    completed.conclude(|_| {}).await
}

/// The latest time at which a random fault may begin.
fn faults_until(parameters: &SimulationParameters) -> Duration {
    TRAFFIC_START + Duration::from_secs(parameters.seconds)
}

/// Draws the commands of each operator.
fn draw_commands(
    cluster: &Cluster,
    rng: &mut SmallRng,
    mut keys: AccessKeys,
) -> [Vec<TimedCommand>; OPERATORS] {
    let mut revision = 1;
    let replace = |revision: u64, keys: &AccessKeys| {
        record_configuration(cluster, revision, keys);
        let variant = ConfigurationVariant { revision, keys, extra_routes: 0, body: 0 };
        Command::ReplaceConfiguration { revision, body: variant.to_json() }
    };
    let first = TimedCommand { at: FIRST_COMMAND_AT, command: replace(1, &keys) };
    let mut commands = [vec![first], Vec::new()];
    let until = faults_until(&cluster.parameters).as_secs_f64();
    let changes = rng.random_range(1..5);
    let mut times: Vec<f64> =
        (0..changes).map(|_| rng.random_range(TRAFFIC_START.as_secs_f64()..until)).collect();
    times.sort_by(f64::total_cmp);
    for at in times.into_iter().map(Duration::from_secs_f64) {
        match rng.random_range(0..6) {
            0 => commands[0].extend(draw_evacuation(rng, at)),
            1 => commands[1].push(TimedCommand { at, command: Command::Invalid { revision: 99 } }),
            kind => {
                revision += rng.random_range(1..4);
                if kind == 2 {
                    keys.revoke_random(rng);
                }
                commands[0].push(TimedCommand { at, command: replace(revision, &keys) });
                if kind == 3 {
                    // The other operator replaces the configuration at the same time.
                    revision += 1;
                    commands[1].push(TimedCommand { at, command: replace(revision, &keys) });
                }
            }
        }
    }
    commands[0].sort_by_key(|command| command.at);
    commands
}

/// Draws an evacuation, which ends with a probability of 1/2.
fn draw_evacuation(rng: &mut SmallRng, at: Duration) -> Vec<TimedCommand> {
    let zone = ZONES[rng.random_range(0..ZONES.len())].0.to_owned();
    let mut commands = vec![TimedCommand { at, command: Command::BeginEvacuation(zone.clone()) }];
    if rng.random_bool(0.5) {
        let command = Command::FinishEvacuation(zone);
        commands.push(TimedCommand { at: at + EVACUATION_DURATION, command });
    }
    commands
}

fn draw_faults(generator: &mut FaultGenerator, parameters: &SimulationParameters) {
    if parameters.max_faults == 0 {
        return;
    }
    let until = faults_until(parameters).as_secs_f64();
    let count = generator.rng.random_range(1..=parameters.max_faults);
    for _ in 0..count {
        let at = generator.rng.random_range(TRAFFIC_START.as_secs_f64()..until);
        generator.draw_fault(at);
    }
}

fn draw_hot_tenant(generator: &mut FaultGenerator, started: Instant) -> Option<HotTenant> {
    if !generator.rng.random_bool(0.4) {
        return None;
    }
    let delay = Duration::from_secs_f64(generator.rng.random_range(1.0..6.0));
    let from = started + TRAFFIC_START + delay;
    let tenant = generator.rng.random_range(0..3);
    let at = from.duration_since(started).as_secs_f64();
    let (name, hot_s) = (TENANTS[tenant].name, HOT_TENANT_DURATION.as_secs());
    generator.events.push(format!("{at:5.2} s  tenant {name} is hot for {hot_s} s"));
    Some(HotTenant { tenant, from, until: from + HOT_TENANT_DURATION })
}

async fn execute_faults(cluster: &Cluster, actions: &[FaultAction], started: Instant) {
    for action in actions {
        sleep_until(started + action.at).await;
        action.execute(cluster);
    }
}

/// Records when more than one controller holds the lease.
pub(crate) async fn record_dual_leases(cluster: Rc<Cluster>) {
    loop {
        sleep(LEASE_CHECK_INTERVAL).await;
        if cluster.leaseholder_count() > 1 {
            cluster.ground_truth.history.borrow_mut().dual_leases.push(Instant::now());
        }
    }
}

async fn crash_at(cluster: Rc<Cluster>, crash: CrashPoint) {
    let Some(disk) = cluster.machines[crash.controller].disk.clone() else {
        return;
    };
    disk.breakpoint_reached.notified().await;
    let controllers = 0..cluster.parameters.controllers;
    for machine in controllers.clone() {
        if crash.extent == CrashExtent::AllControllers || machine == crash.controller {
            cluster.lose_power(machine, crash.unsynced);
        }
    }
    crash.wiped.into_iter().for_each(|machine| cluster.wipe_disk(machine));
    sleep(CRASH_DOWNTIME).await;
    controllers.for_each(|machine| cluster.start_machine(machine));
}
