//! Simulates a schedule: operators send commands concurrently and may not receive their acknowledgements, readers read
//! the configuration during the whole run, and the faults of the schedule are injected.

mod faults;

use crate::clients::Clients;
use crate::cluster::Cluster;
use crate::configuration::{AccessKeys, ConfigurationVariant, create_backends, record_configuration};
use crate::fault::SHUTDOWN_GRACE;
use crate::history::{Command, History};
use crate::operators::{
    AcknowledgementLoss, CommandOutcome, operator_environment, read_from_any_controller, send_until_known,
};
use crate::outcome::{CompletedRun, RunOutcome};
use crate::run::{QUIET_PERIOD, TRAFFIC_START, block_on_simulation, record_dual_leases};
use crate::schedule::{
    CommandTemplate, FaultTrigger, MachineSelector, Schedule, ScheduledCommand, ScheduledFault,
};
use crate::topology::ZONES;
use faults::{ACKNOWLEDGEMENT_TIMEOUT, run_fault};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Mutex, Notify, Semaphore};
use tokio::time::{Instant, sleep, sleep_until};

/// Maximum number of commands in progress.
const MAX_COMMANDS_IN_PROGRESS: usize = 8;
/// How long commands other than configuration changes are retried: the time after which the checker stops waiting for
/// an acknowledgement.
const RETRY_TIME: Duration = Duration::from_secs(24);
/// Number of operators that send commands. The readers have the next operator numbers.
const OPERATORS: u8 = 5;
const READERS: u8 = 2;
const READ_INTERVAL: Duration = Duration::from_millis(350);
const READ_JITTER_MS: u64 = 100;
/// When the first reader begins, from the start of the run.
const FIRST_READ_S: f64 = 3.0;
/// When the first configuration is sent, from the start of the run.
const FIRST_COMMAND_S: f64 = 1.0;
/// Maximum number of commands that are listed in the events of a run.
const MAX_COMMAND_EVENTS: usize = 40;
/// Makes the random stream of the commands independent of other streams of the same seed.
const COMMAND_SEED_SALT: u64 = 0x0bde;
/// Makes the random stream of a repeated command independent of that of its first sending.
const REPETITION_SEED_SALT: u64 = 0xa6a1;
/// Multiplies the schedule's seed, so that the commands of different seeds have different streams.
const COMMAND_SEED_FACTOR: u64 = 0x9e37;

/// Simulates a schedule. The simulation is deterministic: the same schedule always has the same outcome.
pub fn simulate_schedule(schedule: &Schedule) -> RunOutcome {
    simulate_tampered_schedule(schedule, |_| {})
}

/// Simulates a schedule and modifies the observed history before the checker evaluates it. Tests use this to verify
/// that the checker detects violations.
pub fn simulate_tampered_schedule(schedule: &Schedule, tamper: impl FnOnce(&mut History)) -> RunOutcome {
    block_on_simulation(run(schedule, tamper))
}

async fn run(schedule: &Schedule, tamper: impl FnOnce(&mut History)) -> RunOutcome {
    let Schedule { parameters, seed, .. } = *schedule;
    let cluster = Cluster::with_spares(parameters, seed, schedule.spares, schedule.clock_drift);
    if schedule.erratic {
        cluster.enable_erratic_delays();
    }
    let started = Instant::now();
    create_backends(&cluster);
    cluster.start();

    let keys = AccessKeys::initial();
    let operators = Rc::new(Operators::new(&cluster, schedule.acknowledgement_loss));
    let commands = spawn_commands(schedule, &operators, keys.clone(), started);
    for fault in &schedule.faults {
        let notify = Rc::clone(&operators);
        tokio::task::spawn_local(run_fault(Rc::clone(&cluster), fault.clone(), started, notify));
    }
    let duration = last_event(schedule) + QUIET_PERIOD;
    let clients = Clients { cluster: Rc::clone(&cluster), seed, started, duration, hot_tenant: None, keys };
    tokio::task::spawn_local(clients.run());
    tokio::task::spawn_local(record_dual_leases(Rc::clone(&cluster)));
    for reader in 0..READERS {
        tokio::task::spawn_local(read_repeatedly(Rc::clone(&cluster), reader, seed, started));
    }
    sleep_until(started + duration).await;

    let events = describe_events(schedule);
    CompletedRun { cluster: &cluster, seed, started, duration, events, commands }.conclude(tamper).await
}

fn seconds(at: f64) -> Duration {
    Duration::from_secs_f64(at)
}

/// The time from the start of the run at which the last command is sent or the last fault ends.
fn last_event(schedule: &Schedule) -> Duration {
    let end = |fault: &ScheduledFault| {
        let wait = match fault.trigger {
            FaultTrigger::NextAcknowledgement => ACKNOWLEDGEMENT_TIMEOUT.as_secs_f64(),
            FaultTrigger::Time => 0.0,
        };
        seconds(fault.at + fault.span + SHUTDOWN_GRACE.as_secs_f64() + wait)
    };
    let commands = schedule.commands.iter().map(|command| seconds(command.at));
    let times = commands.chain(schedule.faults.iter().map(end));
    let faults_until = TRAFFIC_START + Duration::from_secs(schedule.parameters.seconds);
    times.fold(faults_until, Duration::max)
}

/// Describes all faults and the first commands, a line each.
fn describe_events(schedule: &Schedule) -> Vec<String> {
    let faults = schedule.faults.iter().map(ToString::to_string);
    let commands = schedule.commands.iter().take(MAX_COMMAND_EVENTS);
    let commands = commands.map(|command| format!("{:6.2} s  {}", command.at, command.command));
    faults.chain(commands).collect()
}

/// Spawns a task for each command, ordered by the time at which it is sent; returns the number of commands.
fn spawn_commands(
    schedule: &Schedule,
    operators: &Rc<Operators>,
    mut keys: AccessKeys,
    started: Instant,
) -> usize {
    let mut rng = SmallRng::seed_from_u64(schedule.seed ^ COMMAND_SEED_SALT);
    let first = ScheduledCommand {
        at: FIRST_COMMAND_S,
        command: CommandTemplate::Replace { extra_routes: 0, revoke_key: false, bodies: 1 },
        repeat_after: None,
    };
    let mut scheduled: Vec<&ScheduledCommand> = std::iter::once(&first).chain(&schedule.commands).collect();
    scheduled.sort_by(|one, other| one.at.total_cmp(&other.at));
    let (mut revision, mut count) = (0, 0u64);
    for command in scheduled {
        for prepared in prepare(&operators.cluster, command, &mut revision, &mut keys, &mut rng) {
            count += 1;
            let seed = schedule.seed.wrapping_mul(COMMAND_SEED_FACTOR).wrapping_add(count);
            let (operators, repeat_after) = (Rc::clone(operators), command.repeat_after);
            let at = started + seconds(command.at);
            tokio::task::spawn_local(async move {
                sleep_until(at).await;
                operators.send(prepared, seed, repeat_after).await;
            });
        }
    }
    count as usize
}

/// A command whose machines may have to be resolved when it is sent.
enum PreparedCommand {
    Ready(Command),
    ReplaceVoter { outgoing: MachineSelector, incoming: MachineSelector },
}

/// Resolves a scheduled command: a configuration change gets the next revision and one command per body.
fn prepare(
    cluster: &Cluster,
    scheduled: &ScheduledCommand,
    revision: &mut u64,
    keys: &mut AccessKeys,
    rng: &mut SmallRng,
) -> Vec<PreparedCommand> {
    let command = match &scheduled.command {
        CommandTemplate::Replace { extra_routes, revoke_key, bodies } => {
            *revision += if *revision == 0 { 1 } else { rng.random_range(1..4) };
            if *revoke_key {
                keys.revoke_random(rng);
            }
            record_configuration(cluster, *revision, keys);
            let (revision, extra_routes) = (*revision, *extra_routes);
            let command = |body| {
                let variant = ConfigurationVariant { revision, keys, extra_routes, body };
                let body = variant.to_json();
                PreparedCommand::Ready(Command::ReplaceConfiguration { revision, body })
            };
            return (0..*bodies).map(command).collect();
        }
        CommandTemplate::BeginEvacuation(zone) => {
            PreparedCommand::Ready(Command::BeginEvacuation(zone.clone()))
        }
        CommandTemplate::FinishEvacuation(zone) => {
            PreparedCommand::Ready(Command::FinishEvacuation(zone.clone()))
        }
        CommandTemplate::ReplaceVoter { outgoing, incoming } => {
            PreparedCommand::ReplaceVoter { outgoing: *outgoing, incoming: *incoming }
        }
        CommandTemplate::Invalid => PreparedCommand::Ready(Command::Invalid { revision: 99 }),
    };
    vec![command]
}

/// The operators of a scheduled run.
struct Operators {
    cluster: Rc<Cluster>,
    in_progress: Semaphore,
    /// Serializes the commands for each zone.
    zone_locks: BTreeMap<&'static str, Mutex<()>>,
    /// Probability with which an acknowledgement is lost.
    acknowledgement_loss: f64,
    /// Notified of each acknowledgement that an operator receives.
    acknowledged: Notify,
}

impl Operators {
    fn new(cluster: &Rc<Cluster>, acknowledgement_loss: f64) -> Operators {
        Operators {
            cluster: Rc::clone(cluster),
            in_progress: Semaphore::new(MAX_COMMANDS_IN_PROGRESS),
            zone_locks: ZONES.iter().map(|(zone, _)| (*zone, Mutex::default())).collect(),
            acknowledgement_loss,
            acknowledged: Notify::new(),
        }
    }

    /// Sends a command until its outcome is known; sends it again `repeat_after` seconds after an acknowledgement.
    async fn send(&self, command: PreparedCommand, seed: u64, repeat_after: Option<f64>) {
        let command = match command {
            PreparedCommand::Ready(command) => command,
            PreparedCommand::ReplaceVoter { outgoing, incoming } => Command::ReplaceVoter {
                outgoing: select_machine(&self.cluster, outgoing),
                incoming: select_machine(&self.cluster, incoming),
            },
        };
        let _zone_guard = match command.zone().and_then(|zone| self.zone_locks.get(zone)) {
            Some(zone) => Some(zone.lock().await),
            None => None,
        };
        let mut rng = SmallRng::seed_from_u64(seed);
        let outcome = self.send_once(&command, seed, &mut rng).await;
        if let Some(delay) = repeat_after.filter(|_| outcome == CommandOutcome::Acknowledged) {
            sleep(seconds(delay)).await;
            self.send_once(&command, seed ^ REPETITION_SEED_SALT, &mut rng).await;
        }
    }

    async fn send_once(&self, command: &Command, seed: u64, rng: &mut SmallRng) -> CommandOutcome {
        let _permit = self.in_progress.acquire().await;
        let operator = (seed % u64::from(OPERATORS)) as u8;
        let environment = operator_environment(&self.cluster, operator, seed);
        let is_configuration =
            matches!(command, Command::ReplaceConfiguration { .. } | Command::Invalid { .. });
        let retry_time = (!is_configuration).then_some(RETRY_TIME);
        let loss = AcknowledgementLoss { probability: self.acknowledgement_loss, rng };
        let outcome = send_until_known(&self.cluster, &environment, command, retry_time, Some(loss)).await;
        if outcome == CommandOutcome::Acknowledged {
            self.acknowledged.notify_waiters();
        }
        outcome
    }
}

/// Reads the configuration at regular intervals during the whole run.
async fn read_repeatedly(cluster: Rc<Cluster>, reader: u8, seed: u64, started: Instant) {
    sleep_until(started + seconds(FIRST_READ_S + f64::from(reader) / f64::from(OPERATORS))).await;
    let environment = operator_environment(&cluster, OPERATORS + reader, seed ^ u64::from(reader) << 40);
    loop {
        read_from_any_controller(&cluster, &environment).await;
        sleep(READ_INTERVAL + Duration::from_millis(environment.random_below(READ_JITTER_MS))).await;
    }
}

/// Returns the number of the machine that the selector matches at this time. Without a leaseholder or a follower this
/// is the first active controller.
fn select_machine(cluster: &Cluster, selector: MachineSelector) -> usize {
    let controllers = cluster.active_controllers.borrow();
    let leaseholder = cluster.leaseholder().filter(|leaseholder| controllers.contains(leaseholder));
    match selector {
        MachineSelector::Number(number) => number,
        MachineSelector::Leaseholder => leaseholder.unwrap_or(controllers[0]),
        MachineSelector::Follower => {
            let follower = controllers.iter().copied().find(|number| Some(*number) != leaseholder);
            follower.unwrap_or(controllers[0])
        }
    }
}
