//! The simulated operators. They send each command to controllers until its outcome is known, and read configurations
//! back.

use crate::cluster::Cluster;
use crate::history::{AttemptResult, Command, CommandAttempt, CommandRecord, ConfigurationRead};
use crate::topology::operator_ip;
use rand::Rng;
use rand::rngs::SmallRng;
use serde_json::Value;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until, timeout};
use vanewharf_rpc::{RawResponse, RpcClient};
use vanewharf_runtime::environment::Environment;

/// How long an operator waits for one response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_REDIRECTIONS: usize = 2;
/// The maximum duration of a call, including all redirections.
pub(crate) const MAX_CALL_DURATION: Duration = RESPONSE_TIMEOUT.saturating_mul(MAX_REDIRECTIONS as u32 + 1);
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(50);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(600);
/// How long an operator retries an evacuation command in a run that is generated from a seed.
const EVACUATION_RETRY_TIME: Duration = Duration::from_secs(6);
const READ_PATH: &str = "/-/Configuration.Read";

/// Creates the environment of an operator's machine.
pub(crate) fn operator_environment(cluster: &Cluster, operator: u8, seed: u64) -> Environment {
    Environment::new(cluster.network.interface(operator_ip(operator)), None, seed)
}

/// Selects the controller to which an operator sends its next attempt: a random one of those that it has not tried
/// yet. Once it has tried all controllers, it begins again.
#[derive(Default)]
struct ControllerRotation {
    tried: BTreeSet<usize>,
}

impl ControllerRotation {
    fn next(&mut self, cluster: &Cluster, environment: &Environment) -> usize {
        let controllers = cluster.active_controllers.borrow();
        if controllers.iter().all(|controller| self.tried.contains(controller)) {
            self.tried.clear();
        }
        let others: Vec<usize> =
            controllers.iter().copied().filter(|controller| !self.tried.contains(controller)).collect();
        let controller = others[environment.random_below(others.len() as u64) as usize];
        self.tried.insert(controller);
        controller
    }
}

fn random_controller(cluster: &Cluster, environment: &Environment) -> usize {
    let controllers = cluster.active_controllers.borrow();
    controllers[environment.random_below(controllers.len() as u64) as usize]
}

/// Sends a request to a controller and follows redirections; `None` where no response comes in time.
async fn send_to_controller(
    cluster: &Cluster,
    environment: &Environment,
    controller: usize,
    method: &str,
    path: &str,
    body: &str,
) -> Option<RawResponse> {
    let mut to = cluster.controller_address(controller);
    for _ in 0..=MAX_REDIRECTIONS {
        let mut client = RpcClient::new(to, &environment.network);
        let response = timeout(RESPONSE_TIMEOUT, client.send(method, path, body, RESPONSE_TIMEOUT)).await;
        let response = response.ok()?.ok()?;
        if response.status != 307 {
            return Some(response);
        }
        to = redirection(&response.body)?;
    }
    None
}

/// The address to which a 307 response redirects. It is taken from the body, which repeats the `Location` header, as
/// the RPC client does not return that header.
fn redirection(body: &[u8]) -> Option<SocketAddr> {
    let body: Value = serde_json::from_slice(body).ok()?;
    body["location"].as_str()?.trim_start_matches("http://").split('/').next()?.parse().ok()
}

/// Reads the configuration in force from a random controller, and records the read.
pub(crate) async fn read_from_any_controller(
    cluster: &Cluster,
    environment: &Environment,
) -> Option<ConfigurationRead> {
    let controller = random_controller(cluster, environment);
    read_from_controller(cluster, environment, controller).await
}

/// Reads the configuration in force from this controller, following redirections, and records the read.
pub(crate) async fn read_from_controller(
    cluster: &Cluster,
    environment: &Environment,
    controller: usize,
) -> Option<ConfigurationRead> {
    let sent = Instant::now();
    let response = send_to_controller(cluster, environment, controller, "GET", READ_PATH, "").await?;
    if response.status != 200 {
        return None;
    }
    let text = String::from_utf8_lossy(&response.body).into_owned();
    let read = ConfigurationRead { sent, received: Instant::now(), text };
    cluster.ground_truth.history.borrow_mut().configuration_reads.push(read.clone());
    Some(read)
}

impl Command {
    fn path(&self, cluster: &Cluster) -> String {
        match self {
            Command::ReplaceConfiguration { .. } | Command::Invalid { .. } => {
                "/-/Configuration.Replace".to_owned()
            }
            Command::BeginEvacuation(zone) => format!("/-/Evacuation.Begin/{zone}"),
            Command::FinishEvacuation(zone) => format!("/-/Evacuation.Finish/{zone}"),
            Command::ReplaceVoter { outgoing, incoming } => {
                let ip = |machine: usize| cluster.machines[machine].ip;
                format!("/-/Voters.Replace/{}/{}", ip(*outgoing), ip(*incoming))
            }
        }
    }

    fn body(&self) -> &str {
        match self {
            Command::ReplaceConfiguration { body, .. } => body,
            Command::Invalid { .. } => "{\"revision\":\"r99\"}",
            _ => "",
        }
    }
}

/// Makes acknowledgements get lost on their way to the operator.
pub(crate) struct AcknowledgementLoss<'a> {
    pub(crate) probability: f64,
    pub(crate) rng: &'a mut SmallRng,
}

/// What an operator knows about a command after the last attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CommandOutcome {
    Acknowledged,
    Rejected,
    /// The operator has given up.
    Unknown,
}

/// Sends a command until its outcome is known, the retry time is over or operators stop, and records all attempts.
pub(crate) async fn send_until_known(
    cluster: &Cluster,
    environment: &Environment,
    command: &Command,
    retry_time: Option<Duration>,
    mut loss: Option<AcknowledgementLoss<'_>>,
) -> CommandOutcome {
    if cluster.operators_have_stopped() {
        return CommandOutcome::Unknown;
    }
    let (path, body) = (command.path(cluster), command.body());
    let sent = Instant::now();
    let index = {
        let mut history = cluster.ground_truth.history.borrow_mut();
        history.commands.push(CommandRecord::new(command.clone(), sent));
        history.commands.len() - 1
    };
    let mut delay = FIRST_RETRY_DELAY;
    let mut rotation = ControllerRotation::default();
    loop {
        let controller = rotation.next(cluster, environment);
        let attempt_sent = Instant::now();
        let response = send_to_controller(cluster, environment, controller, "POST", &path, body).await;
        let result = attempt_result(response.map(|response| response.status), loss.as_mut());
        let attempt = CommandAttempt { sent: attempt_sent, ended: Instant::now(), controller, result };
        if let Some(outcome) = cluster.ground_truth.history.borrow_mut().commands[index].record(attempt) {
            return outcome;
        }
        let has_given_up = retry_time.is_some_and(|retry_time| sent.elapsed() > retry_time);
        if has_given_up || cluster.operators_have_stopped() {
            return CommandOutcome::Unknown;
        }
        sleep(delay).await;
        delay = (delay * 3 / 2).min(MAX_RETRY_DELAY);
    }
}

fn attempt_result(status: Option<u16>, loss: Option<&mut AcknowledgementLoss<'_>>) -> AttemptResult {
    match status {
        Some(200) if loss.is_some_and(|loss| loss.rng.random_bool(loss.probability)) => {
            AttemptResult::AcknowledgementLost
        }
        Some(status) => AttemptResult::Answered(status),
        None => AttemptResult::Unanswered,
    }
}

impl CommandRecord {
    /// Records an attempt and returns the command's outcome, if it is known now.
    fn record(&mut self, attempt: CommandAttempt) -> Option<CommandOutcome> {
        self.attempts.push(attempt);
        match attempt.result {
            AttemptResult::Answered(200) => {
                self.acknowledged = Some(attempt.ended);
                Some(CommandOutcome::Acknowledged)
            }
            AttemptResult::Answered(status @ 400..500) if !matches!(status, 408 | 429) => {
                self.rejected = Some(status);
                Some(CommandOutcome::Rejected)
            }
            AttemptResult::AcknowledgementLost => {
                self.acknowledgement_lost.get_or_insert(attempt.ended);
                None
            }
            AttemptResult::Answered(_) | AttemptResult::Unanswered => None,
        }
    }
}

/// A command of an operator that sends its commands one after the other.
pub(crate) struct TimedCommand {
    /// The earliest time at which it is sent, from the start of the run.
    pub(crate) at: Duration,
    pub(crate) command: Command,
}

/// Sends the commands of an operator one after the other, each until its outcome is known.
pub(crate) async fn send_in_sequence(
    cluster: Rc<Cluster>,
    operator: u8,
    commands: Vec<TimedCommand>,
    started: Instant,
) {
    let environment = operator_environment(&cluster, operator, u64::from(operator) + 1);
    for TimedCommand { at, command } in commands {
        sleep_until(started + at).await;
        let retry_time = command.zone().map(|_| EVACUATION_RETRY_TIME);
        send_until_known(&cluster, &environment, &command, retry_time, None).await;
    }
}
