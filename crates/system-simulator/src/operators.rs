//! The operators: they send commands to any controller until the outcome is known, and read configurations back.

use crate::cluster::Cluster;
use crate::history::{Command, CommandRecord};
use crate::topology::operator_ip;
use rand::Rng;
use rand::rngs::SmallRng;
use serde_json::Value;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until, timeout};
use vanewharf_rpc::{RawResponse, RpcClient};
use vanewharf_runtime::environment::Environment;

/// How long an operator waits for one response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_REDIRECTIONS: usize = 2;
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(50);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(600);
/// How long an operator of a run whose commands are drawn retries an evacuation.
const EVACUATION_RETRY_TIME: Duration = Duration::from_secs(6);
const READ_PATH: &str = "/-/Configuration.Read";

/// An operator's machine.
pub(crate) fn operator_environment(cluster: &Cluster, operator: u8, seed: u64) -> Environment {
    Environment::new(cluster.network.interface(operator_ip(operator)), None, seed)
}

/// Sends a request to a random active controller and follows redirections; `None` where no response comes in time.
pub(crate) async fn send_to_any_controller(
    cluster: &Cluster,
    environment: &Environment,
    method: &str,
    path: &str,
    body: &str,
) -> Option<RawResponse> {
    let controller = {
        let controllers = cluster.active_controllers.borrow();
        controllers[environment.random_below(controllers.len() as u64) as usize]
    };
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

/// Where a 307 sends its reader. The body says the same as the `Location` header, which the RPC client does not return.
fn redirection(body: &[u8]) -> Option<SocketAddr> {
    let body: Value = serde_json::from_slice(body).ok()?;
    body["location"].as_str()?.trim_start_matches("http://").split('/').next()?.parse().ok()
}

/// Reads the configuration in force from a random controller.
pub(crate) async fn read_configuration(cluster: &Cluster, environment: &Environment) -> Option<Vec<u8>> {
    let response = send_to_any_controller(cluster, environment, "GET", READ_PATH, "").await?;
    (response.status == 200).then_some(response.body)
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

/// Acknowledgements that are lost on their way to the operator.
pub(crate) struct AcknowledgementLoss<'a> {
    pub(crate) probability: f64,
    pub(crate) rng: &'a mut SmallRng,
}

/// What an operator knows of a command in the end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CommandOutcome {
    Acknowledged,
    Rejected,
    /// The operator has given up.
    Unknown,
}

/// Sends a command again and again until its outcome is known, and records it.
pub(crate) async fn send_until_known(
    cluster: &Cluster,
    environment: &Environment,
    command: &Command,
    retry_time: Option<Duration>,
    mut loss: Option<AcknowledgementLoss<'_>>,
) -> CommandOutcome {
    let (path, body) = (command.path(cluster), command.body());
    let sent = Instant::now();
    let index = {
        let mut history = cluster.ground_truth.history.borrow_mut();
        history.commands.push(CommandRecord::new(command.clone(), sent));
        history.commands.len() - 1
    };
    let mut delay = FIRST_RETRY_DELAY;
    loop {
        let response = send_to_any_controller(cluster, environment, "POST", &path, body).await;
        match response.map(|response| response.status) {
            Some(200) if loss.as_mut().is_some_and(|loss| loss.rng.random_bool(loss.probability)) => {
                let record = &mut cluster.ground_truth.history.borrow_mut().commands[index];
                record.acknowledgement_lost.get_or_insert_with(Instant::now);
            }
            Some(200) => {
                let record = &mut cluster.ground_truth.history.borrow_mut().commands[index];
                record.acknowledged = Some(Instant::now());
                return CommandOutcome::Acknowledged;
            }
            Some(status @ 400..500) if !matches!(status, 408 | 429) => {
                let record = &mut cluster.ground_truth.history.borrow_mut().commands[index];
                record.rejected = Some(status);
                return CommandOutcome::Rejected;
            }
            _ => {}
        }
        if retry_time.is_some_and(|retry_time| sent.elapsed() > retry_time) {
            return CommandOutcome::Unknown;
        }
        sleep(delay).await;
        delay = (delay * 3 / 2).min(MAX_RETRY_DELAY);
    }
}

/// A command of an operator who sends one after the other.
pub(crate) struct TimedCommand {
    /// From the start of the run.
    pub(crate) at: Duration,
    pub(crate) command: Command,
}

/// An operator who sends these commands one after the other, each until its outcome is known.
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
