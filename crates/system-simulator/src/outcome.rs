//! Finishes a run: reads the final state, runs the checker and computes the totals.

use crate::checker::{MAX_RECONNECT_TIME, Observation, Violation, check};
use crate::cluster::{Cluster, Machine, Program};
use crate::history::{FinalState, History, ReplicaVersion};
use crate::network::Traffic;
use crate::operators::{
    MAX_CALL_DURATION, operator_environment, read_from_any_controller, read_from_controller,
};
use crate::topology::ZONES;
use std::time::Duration;
use tokio::time::{Instant, sleep};
use vanewharf_config::configuration::Config;
use vanewharf_protocol::messages::{PullRequest, Register};
use vanewharf_rpc::{Publisher, RpcClient};
use vanewharf_runtime::environment::Environment;

/// The number of the operator that reads the final state.
const FINAL_OPERATOR: u8 = 9;
const CONFIGURATION_READ_ATTEMPTS: usize = 60;
/// Interval between the reads from every controller at the end of a run.
const FINAL_READ_INTERVAL: Duration = Duration::from_millis(250);
const CONFIGURATION_READ_RETRY_DELAY: Duration = Duration::from_millis(100);
const AGREEMENT_READ_ATTEMPTS: usize = 20;
const AGREEMENT_READ_RETRY_DELAY: Duration = Duration::from_millis(150);
/// The last part of a run, over which the final success ratio is computed. All faults have ended before it.
const FINAL_PERIOD: Duration = Duration::from_secs(4);

/// The outcome of a run.
#[derive(Clone, Debug, Default)]
pub struct RunOutcome {
    /// The run's seed.
    pub seed: u64,
    /// The rules that were violated.
    pub violations: Vec<Violation>,
    /// Faults and commands, one line each, which begins with the time.
    pub events: Vec<String>,
    /// Number of clients' requests.
    pub requests: usize,
    /// Requests that were answered with 200.
    pub served: usize,
    /// Requests that were answered with 429 or 503.
    pub rejected: usize,
    /// The fraction, from 0.0 to 1.0, of the requests within their quota in the last seconds that got the right
    /// response.
    pub final_success_ratio: f64,
    /// Number of operators' commands.
    pub commands: usize,
    /// Commands that were acknowledged.
    pub acknowledged: usize,
    /// How many operations each controller's disk has started.
    pub disk_operations: Vec<u64>,
    /// Average traffic sent by a proxy's machine.
    pub proxy_traffic: Traffic,
    /// Average traffic sent by a controller.
    pub controller_traffic: Traffic,
    /// Simulated duration in seconds, without the final reads.
    pub seconds: f64,
    /// Host CPU time per agent, in milliseconds.
    pub agent_cpu_ms: f64,
    /// Host CPU time per controller, in milliseconds.
    pub controller_cpu_ms: f64,
}

/// A run whose duration has passed; its final state is yet to be read.
pub(crate) struct CompletedRun<'a> {
    pub(crate) cluster: &'a Cluster,
    pub(crate) seed: u64,
    pub(crate) started: Instant,
    /// The run's duration, without the final reads.
    pub(crate) duration: Duration,
    pub(crate) events: Vec<String>,
    pub(crate) commands: usize,
}

impl CompletedRun<'_> {
    /// Reads the final state, runs the checker and computes the outcome. `tamper` modifies the history before the
    /// checker runs.
    pub(crate) async fn conclude(mut self, tamper: impl FnOnce(&mut History)) -> RunOutcome {
        self.read_final_states().await;
        tamper(&mut self.cluster.ground_truth.history.borrow_mut());
        let violations = self.check();
        self.events.sort();
        self.summarize(violations)
    }

    /// Reads from every controller for `MAX_RECONNECT_TIME` while operators continue. Then stops the operators and
    /// reads the final state, which no command changes any more.
    async fn read_final_states(&self) {
        let environment = operator_environment(self.cluster, FINAL_OPERATOR, self.seed);
        self.read_from_every_controller(&environment).await;
        self.cluster.stop_operators();
        sleep(MAX_CALL_DURATION).await;
        self.read_final_configuration(&environment).await;
        let evacuations = self.final_evacuations();
        let states = read_final_states(self.cluster, &environment).await;
        let mut history = self.cluster.ground_truth.history.borrow_mut();
        history.final_evacuations = evacuations;
        history.final_states = states;
    }

    fn check(&self) -> Vec<Violation> {
        check(&Observation {
            ground_truth: &self.cluster.ground_truth,
            faults: &self.cluster.faults.records(),
            controllers: self.cluster.parameters.controllers,
            controller_changes: &self.cluster.controller_changes.borrow(),
            started: self.started,
        })
    }

    async fn read_from_every_controller(&self, environment: &Environment) {
        let until = Instant::now() + MAX_RECONNECT_TIME;
        while Instant::now() < until {
            let controllers = self.cluster.active_controllers.borrow().clone();
            for controller in controllers {
                read_from_controller(self.cluster, environment, controller).await;
            }
            sleep(FINAL_READ_INTERVAL).await;
        }
    }

    async fn read_final_configuration(&self, environment: &Environment) {
        for _ in 0..CONFIGURATION_READ_ATTEMPTS {
            if let Some(read) = read_from_any_controller(self.cluster, environment).await {
                self.cluster.ground_truth.history.borrow_mut().final_configuration = Some(read);
                break;
            }
            sleep(CONFIGURATION_READ_RETRY_DELAY).await;
        }
    }

    /// The evacuated zones of the newest register that any proxy has.
    fn final_evacuations(&self) -> Option<std::collections::BTreeSet<String>> {
        let publishers = self.cluster.ground_truth.publishers.borrow();
        let registers = publishers.values().filter_map(|publisher| publisher.store().register.clone());
        registers.max_by_key(|register| register.revision).map(|register| register.evacuated.clone())
    }

    fn summarize(self, violations: Vec<Violation>) -> RunOutcome {
        let cluster = self.cluster;
        let history = cluster.ground_truth.history.borrow();
        let count_status =
            |status: u16| history.requests.values().filter(|request| request.status == Some(status)).count();
        let (controllers, proxies) = cluster.machines.split_at(cluster.parameters.controllers);
        let disks = controllers.iter().filter_map(|controller| controller.disk.as_ref());
        RunOutcome {
            seed: self.seed,
            violations,
            events: self.events,
            requests: history.requests.len(),
            served: count_status(200),
            rejected: count_status(429) + count_status(503),
            final_success_ratio: final_success_ratio(cluster, self.started + self.duration - FINAL_PERIOD),
            commands: self.commands,
            acknowledged: history.commands.iter().filter(|record| record.acknowledged.is_some()).count(),
            disk_operations: disks.map(|disk| disk.operations()).collect(),
            proxy_traffic: mean_traffic(cluster, proxies),
            controller_traffic: mean_traffic(cluster, controllers),
            seconds: self.duration.as_secs_f64(),
            agent_cpu_ms: mean_cpu_ms(cluster, Program::Agent, proxies.len()),
            controller_cpu_ms: mean_cpu_ms(cluster, Program::Controller, controllers.len()),
        }
    }
}

/// The fraction of the requests sent after that time that got the right response. Requests over their quota do not
/// count. The ratio is 1.0 if operators have evacuated all zones, as no request can succeed then.
fn final_success_ratio(cluster: &Cluster, after: Instant) -> f64 {
    let history = cluster.ground_truth.history.borrow();
    let evacuated = history.final_evacuations.as_ref();
    if evacuated.is_some_and(|zones| ZONES.iter().all(|(zone, _)| zones.contains(*zone))) {
        return 1.0;
    }
    let within_quota: Vec<_> = history
        .requests
        .values()
        .filter(|request| request.sent > after && request.status != Some(429))
        .collect();
    // 401 is the right response to a revoked key.
    let correct = within_quota.iter().filter(|request| matches!(request.status, Some(200 | 401))).count();
    correct as f64 / within_quota.len().max(1) as f64
}

fn mean_traffic(cluster: &Cluster, machines: &[Machine]) -> Traffic {
    let by_sender = cluster.network.traffic_by_sender();
    let count = machines.len().max(1) as u64;
    let sent = machines.iter().filter_map(|machine| by_sender.get(&machine.ip));
    let sum = sent.fold(Traffic::default(), |sum, one| Traffic {
        bytes: sum.bytes + one.bytes,
        messages: sum.messages + one.messages,
    });
    Traffic { bytes: sum.bytes / count, messages: sum.messages / count }
}

fn mean_cpu_ms(cluster: &Cluster, program: Program, machines: usize) -> f64 {
    cluster.cpu_time(program).as_secs_f64() * 1e3 / machines.max(1) as f64
}

/// Reads the state of each running controller. If the states differ, reads them again for a limited time, as commands
/// may still be in progress.
async fn read_final_states(cluster: &Cluster, environment: &Environment) -> Vec<FinalState> {
    let mut states: Vec<FinalState> = Vec::new();
    for _ in 0..AGREEMENT_READ_ATTEMPTS {
        states.clear();
        let controllers = cluster.active_controllers.borrow().clone();
        for machine in controllers.into_iter().filter(|machine| cluster.is_running(*machine)) {
            let requested_at = Instant::now();
            let version = pull_replica_version(cluster, environment, machine).await;
            states.push(FinalState {
                controller: cluster.machines[machine].name.clone(),
                requested_at,
                version,
            });
        }
        if states.iter().all(|state| state.version.is_some() && state.version == states[0].version) {
            break;
        }
        sleep(AGREEMENT_READ_RETRY_DELAY).await;
    }
    states
}

async fn pull_replica_version(
    cluster: &Cluster,
    environment: &Environment,
    machine: usize,
) -> Option<ReplicaVersion> {
    let publisher = Publisher::new(environment.clock());
    let mut client = RpcClient::new(cluster.internal_address(machine), &environment.network);
    let request = PullRequest {
        versions: publisher.store().versions(),
        wait_ms: 0,
        follower: None,
        token_leases: None,
        reports: Vec::new(),
    };
    let _ = publisher.pull(&mut client, &request).await;
    let register = publisher.store().register.clone()?;
    Some(ReplicaVersion { register: register.revision.0, configuration: configuration_revision(&register) })
}

fn configuration_revision(register: &Register) -> u64 {
    let config = register.config.as_ref().and_then(|config| Config::parse(config.get().as_bytes()).ok());
    config.map_or(0, |config| config.revision.0)
}
