//! Tests of operator commands to simulated controllers without proxies: concurrent, repeated, delayed and conflicting
//! ones. Time is simulated: a sleep only sets the point of the run at which a step is executed, and takes no real time.

mod inherited_register;
mod stallable_controller;
mod stalling_network;

use serde_json::{Value, json};
use stallable_controller::start_stallable;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::runtime::Builder;
use tokio::task::{JoinHandle, LocalSet};
use tokio::time::{Instant, sleep, timeout};
use vanewharf_protocol::endpoints;
use vanewharf_protocol::messages::{PullRequest, PullResponse};
use vanewharf_rpc::{RawResponse, RpcClient};
use vanewharf_system_simulator::cluster::{Cluster, ProgramSelection};
use vanewharf_system_simulator::disk::{DiskCondition, SimulatedDisk};
use vanewharf_system_simulator::network::SimulatedNetwork;
use vanewharf_system_simulator::topology::{SimulationParameters, controller_ip, operator_ip};

const PARAMETERS: SimulationParameters =
    SimulationParameters { controllers: 3, proxies: 0, seconds: 0, requests_per_second: 0, max_faults: 0 };
const ACKNOWLEDGEMENT_TIME: Duration = Duration::from_secs(6);
/// How long an operator waits for the response of a controller.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
const REPLACE: &str = "/-/Configuration.Replace";
const READ: &str = "/-/Configuration.Read";
/// The number of the operator that reads.
const READER: u8 = 7;
const CONTROL_PORT: u16 = 8200;

/// Runs a test on a cluster of three controllers, once the first configuration is acknowledged.
fn with_cluster<F: Future<Output = ()>>(seed: u64, test: impl FnOnce(Rc<Cluster>) -> F) {
    with_cluster_of(PARAMETERS.controllers, seed, test);
}

/// Like `with_cluster`, with this number of controllers, three of which are voters.
fn with_cluster_of<F: Future<Output = ()>>(
    controllers: usize,
    seed: u64,
    test: impl FnOnce(Rc<Cluster>) -> F,
) {
    simulate(async move {
        let cluster = Cluster::new(SimulationParameters { controllers, ..PARAMETERS }, seed);
        cluster.start();
        let first = config(1, "first");
        let status = send_until_known(&cluster, 0, REPLACE, &first, ACKNOWLEDGEMENT_TIME).await;
        assert_eq!(status, Some(200));
        test(cluster).await;
    });
}

fn simulate(run: impl Future<Output = ()>) {
    vanewharf_runtime::log::disable();
    let runtime = Builder::new_current_thread().enable_time().start_paused(true).build().expect("a runtime");
    runtime.block_on(LocalSet::new().run_until(run));
}

fn config(revision: u64, prefix: &str) -> String {
    let route = json!({"hostname": "shop.example", "path_prefix": format!("/{prefix}/"), "route_kind": "read_only",
        "deadline": "2000ms", "target": "500ms", "precedence": 1, "service": "reads", "tries": 2, "public": true,
        "home_regions": []});
    json!({"revision": format!("r{revision}"), "routes": {"r-read": route},
        "services": {"reads": {"health_path": "/health", "connection_limit": 100}},
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 1048576, "header_deadline": "3000ms",
            "idle_timeout": "15000ms"}})
    .to_string()
}

/// Sends one request of an operator to a controller; `None` where no response arrives in time.
async fn send(
    cluster: &Cluster,
    operator: u8,
    controller: usize,
    path: &str,
    body: &str,
) -> Option<RawResponse> {
    let method = if path.ends_with("Read") { "GET" } else { "POST" };
    let network = cluster.network.interface(operator_ip(operator));
    let mut client = RpcClient::new(cluster.controller_address(controller), &network);
    timeout(RESPONSE_TIMEOUT, client.send(method, path, body, RESPONSE_TIMEOUT)).await.ok()?.ok()
}

/// Sends a command to the controllers in turn until its outcome is known. Returns its status, or `None` if that takes
/// longer than `within`.
async fn send_until_known(
    cluster: &Cluster,
    operator: u8,
    path: &str,
    body: &str,
    within: Duration,
) -> Option<u16> {
    let started = Instant::now();
    let mut attempt = usize::from(operator);
    while started.elapsed() < within {
        let controller = attempt % PARAMETERS.controllers;
        let status = send(cluster, operator, controller, path, body).await.map(|response| response.status);
        if let Some(known) = status.filter(|status| matches!(status, 200 | 400..=499)) {
            return (started.elapsed() < within).then_some(known);
        }
        attempt += 1;
        sleep(Duration::from_millis(50)).await;
    }
    None
}

/// Waits until a controller holds the lease, and returns its number.
async fn leaseholder(cluster: &Cluster) -> usize {
    loop {
        for controller in 0..PARAMETERS.controllers {
            let response = send(cluster, READER, controller, READ, "").await;
            if response.is_some_and(|response| response.status == 200) {
                return controller;
            }
        }
        sleep(Duration::from_millis(50)).await;
    }
}

async fn read_configuration(cluster: &Cluster) -> Value {
    let leaseholder = leaseholder(cluster).await;
    let response = send(cluster, READER, leaseholder, READ, "").await.expect("answered");
    serde_json::from_slice(&response.body).expect("JSON")
}

async fn evacuated_zones(cluster: &Cluster) -> BTreeSet<String> {
    let address = cluster.internal_address(leaseholder(cluster).await);
    let request = PullRequest {
        versions: Default::default(),
        wait_ms: 0,
        follower: None,
        token_leases: None,
        reports: Vec::new(),
    };
    let mut client = RpcClient::new(address, &cluster.network.interface(operator_ip(READER)));
    let response: PullResponse =
        client.call(endpoints::PULL, &request, RESPONSE_TIMEOUT).await.expect("answered");
    response.register.expect("a register").evacuated
}

/// A command as an operator sends it.
struct Command {
    path: String,
    body: String,
}

impl Command {
    fn begin_evacuation(zone: &str) -> Command {
        Command { path: format!("/-/Evacuation.Begin/{zone}"), body: String::new() }
    }

    fn replace(revision: u64) -> Command {
        Command { path: REPLACE.to_owned(), body: config(revision, "first") }
    }
}

/// Sends commands concurrently, each from an operator of its own; returns how many were acknowledged in time.
async fn send_concurrently(cluster: &Rc<Cluster>, commands: Vec<Command>) -> usize {
    let tasks = commands.into_iter().enumerate().map(|(operator, command)| {
        let cluster = Rc::clone(cluster);
        tokio::task::spawn_local(async move {
            let Command { path, body } = command;
            send_until_known(&cluster, operator as u8, &path, &body, ACKNOWLEDGEMENT_TIME).await
        })
    });
    let mut acknowledged = 0;
    for task in tasks.collect::<Vec<_>>() {
        let status = task.await.expect("no task panics");
        acknowledged += usize::from(status == Some(200));
    }
    acknowledged
}

fn set_disk_condition(cluster: &Cluster, controller: usize, condition: DiskCondition) {
    cluster.machines[controller].disk.iter().for_each(|disk| disk.set_condition(condition));
}

fn disk_operations(cluster: &Cluster) -> u64 {
    let disks = cluster.machines.iter().flat_map(|machine| &machine.disk);
    disks.map(SimulatedDisk::operations).sum()
}

#[test]
fn eight_concurrent_commands_are_acknowledged_while_a_disk_hangs() {
    for hung in 0..PARAMETERS.controllers {
        with_cluster(hung as u64, |cluster| async move {
            set_disk_condition(&cluster, hung, DiskCondition::Hung);
            let zones = ["east-a", "west-a", "east-b", "west-b"];
            let evacuations = zones.into_iter().map(Command::begin_evacuation);
            let commands = evacuations.chain((2..6).map(Command::replace)).collect();
            assert_eq!(
                send_concurrently(&cluster, commands).await,
                8,
                "while the disk of controller {hung} hangs"
            );
            assert_eq!(read_configuration(&cluster).await["revision"], "r5");
            assert_eq!(evacuated_zones(&cluster).await.len(), 4);
        });
    }
}

#[test]
fn waiting_commands_share_an_accept_round_if_writes_are_slow() {
    with_cluster(3, |cluster| async move {
        // A write takes 0.24 s at two of three controllers, so 30 accept rounds in sequence would take over 7 s.
        for controller in 0..2 {
            set_disk_condition(&cluster, controller, DiskCondition::Slow);
        }
        let before = disk_operations(&cluster);
        let started = Instant::now();
        let commands = (2..32).map(Command::replace).collect();
        assert_eq!(send_concurrently(&cluster, commands).await, 30);
        let operations = disk_operations(&cluster) - before;
        println!("30 commands: {:?}, {operations} disk operations", started.elapsed());
        assert!(started.elapsed() < Duration::from_millis(1500), "{:?}", started.elapsed());
        assert_eq!(read_configuration(&cluster).await["revision"], "r31");
    });
}

/// A voter replacement needs a majority of the new voters, of which two have a disk that hangs. A majority of the old
/// voters has working disks, so configuration changes must not wait for the replacement.
#[test]
fn a_voter_replacement_that_cannot_be_accepted_delays_no_command_beyond_its_time() {
    for seed in 0..6 {
        with_cluster_of(4, seed, |cluster| async move {
            // A controller has to be in sync to become a voter.
            sleep(Duration::from_secs(3)).await;
            let leaseholder = leaseholder(&cluster).await;
            let others: Vec<usize> = (0..3).filter(|controller| *controller != leaseholder).collect();
            let (outgoing, staying, incoming) = (others[0], others[1], 3);
            for controller in [staying, incoming] {
                set_disk_condition(&cluster, controller, DiskCondition::Hung);
            }
            let ip = |controller: usize| cluster.machines[controller].ip;
            let path = format!("/-/Voters.Replace/{}/{}", ip(outgoing), ip(incoming));
            let change = send(&cluster, 1, leaseholder, &path, "").await;
            assert!(
                change.is_none(),
                "the replacement cannot be acknowledged, but was answered: {:?}",
                change.map(|change| change.status)
            );
            let started = Instant::now();
            assert_eq!(send_concurrently(&cluster, vec![Command::replace(2)]).await, 1);
            println!("acknowledged {:?} after the operator gave up the voter replacement", started.elapsed());
            assert!(started.elapsed() < Duration::from_secs(3), "{:?}", started.elapsed());
            for controller in [staying, incoming] {
                set_disk_condition(&cluster, controller, DiskCondition::Healthy);
            }
            assert_eq!(read_configuration(&cluster).await["revision"], "r2");
        });
    }
}

#[test]
fn a_delayed_command_whose_sender_has_succeeded_elsewhere_changes_nothing() {
    for seed in 0..12 {
        with_cluster(seed, |cluster| async move {
            let (begin, finish) = ("/-/Evacuation.Begin/east-a", "/-/Evacuation.Finish/east-a");
            let send_elsewhere =
                async |path: &str| send_until_known(&cluster, 1, path, "", ACKNOWLEDGEMENT_TIME).await;
            assert_eq!(send_elsewhere(begin).await, Some(200));
            let leaseholder = leaseholder(&cluster).await;
            // The first request opens a connection; the second one on it is then held up by the network.
            let (operator, controller) = (operator_ip(0), cluster.machines[leaseholder].ip);
            let network = cluster.network.interface(operator);
            let mut client = RpcClient::new(cluster.controller_address(leaseholder), &network);
            let response = client.send("GET", READ, "", RESPONSE_TIMEOUT).await.expect("connected");
            assert_eq!(response.status, 200);
            cluster.network.cut(operator, controller);
            let response = client.send("POST", finish, "", RESPONSE_TIMEOUT).await;
            assert!(response.is_err(), "the link is cut, but a response arrived");
            drop(client);
            // Another operator sends the same command successfully and then reverts it.
            assert_eq!(send_elsewhere(finish).await, Some(200));
            assert_eq!(send_elsewhere(begin).await, Some(200));
            cluster.network.heal(operator, controller);
            sleep(Duration::from_secs(2)).await;
            assert!(
                evacuated_zones(&cluster).await.contains("east-a"),
                "the delayed command ended an evacuation that was acknowledged later"
            );
        });
    }
}

#[test]
fn a_waiting_command_whose_sender_goes_away_is_not_executed() {
    for seed in 0..12 {
        with_cluster(seed, |cluster| async move {
            let set_condition = |condition| (0..2).for_each(|no| set_disk_condition(&cluster, no, condition));
            set_condition(DiskCondition::Hung);
            let leaseholder = leaseholder(&cluster).await;
            let evacuate = |operator: u8, zone: &str| {
                let (cluster, path) = (Rc::clone(&cluster), format!("/-/Evacuation.Begin/{zone}"));
                tokio::task::spawn_local(
                    async move { send(&cluster, operator, leaseholder, &path, "").await },
                )
            };
            let first = evacuate(1, "east-a");
            sleep(Duration::from_millis(50)).await;
            let second = evacuate(2, "west-a");
            sleep(Duration::from_millis(200)).await;
            second.abort();
            sleep(Duration::from_millis(200)).await;
            set_condition(DiskCondition::Healthy);
            let status = first.await.expect("no task panics").map(|response| response.status);
            assert_eq!(status, Some(200));
            sleep(Duration::from_secs(2)).await;
            assert_eq!(evacuated_zones(&cluster).await, BTreeSet::from(["east-a".to_owned()]));
        });
    }
}

/// Two bodies that were sent under the same revision, one of which was acknowledged.
struct Conflict {
    acknowledged: String,
    rejected: String,
}

/// Two operators concurrently send different bodies under the same revision to two controllers.
async fn race(cluster: &Rc<Cluster>) -> Conflict {
    let (one, other) = (config(4, "one"), config(4, "other"));
    let replace = |operator: u8, body: &str| -> JoinHandle<Option<u16>> {
        let (cluster, body) = (Rc::clone(cluster), body.to_owned());
        tokio::task::spawn_local(async move {
            send_until_known(&cluster, operator, REPLACE, &body, ACKNOWLEDGEMENT_TIME).await
        })
    };
    let (first, second) = (replace(0, &one), replace(1, &other));
    let statuses = [first.await.expect("ends"), second.await.expect("ends")];
    let winner =
        statuses.iter().position(|status| *status == Some(200)).expect("one of the bodies is acknowledged");
    assert_eq!(statuses[1 - winner], Some(409), "the other body is rejected");
    let (acknowledged, rejected) = if winner == 0 { (one, other) } else { (other, one) };
    Conflict { acknowledged, rejected }
}

impl Conflict {
    /// Sends both bodies again to each controller and asserts that the responses are the same as before.
    async fn assert_same_responses(&self, cluster: &Cluster, when: &str) {
        for operator in 0..PARAMETERS.controllers as u8 {
            let send = async |body: &str| {
                send_until_known(cluster, operator, REPLACE, body, ACKNOWLEDGEMENT_TIME).await
            };
            assert_eq!(send(&self.acknowledged).await, Some(200), "{when}");
            assert_eq!(send(&self.rejected).await, Some(409), "{when}");
        }
    }
}

async fn restart_all(cluster: &Cluster) {
    let controllers = 0..PARAMETERS.controllers;
    controllers.clone().for_each(|controller| cluster.kill(controller, ProgramSelection::All));
    controllers.for_each(|controller| cluster.start_machine(controller));
    leaseholder(cluster).await;
}

#[test]
fn a_repeated_command_gets_the_same_response_from_any_controller_and_after_restarts() {
    for seed in 0..12 {
        with_cluster(seed, |cluster| async move {
            let conflict = race(&cluster).await;
            let acknowledged: Value = serde_json::from_str(&conflict.acknowledged).expect("JSON");
            assert_eq!(read_configuration(&cluster).await, acknowledged);
            conflict.assert_same_responses(&cluster, "after the race").await;
            restart_all(&cluster).await;
            conflict.assert_same_responses(&cluster, "after a restart of all controllers").await;
            for revision in 5..9 {
                let newer = config(revision, "newer");
                let status = send_until_known(&cluster, 2, REPLACE, &newer, ACKNOWLEDGEMENT_TIME).await;
                assert_eq!(status, Some(200));
            }
            conflict.assert_same_responses(&cluster, "after newer configurations").await;
            // After the leaseholder has failed, the next one responds from what a majority has persisted.
            cluster.kill(leaseholder(&cluster).await, ProgramSelection::All);
            sleep(Duration::from_secs(2)).await;
            leaseholder(&cluster).await;
            conflict.assert_same_responses(&cluster, "from another leaseholder").await;
            assert_eq!(read_configuration(&cluster).await["revision"], "r8");
        });
    }
}

#[test]
fn a_stalled_accept_round_does_not_delay_the_next_one_which_completes_both() {
    simulate(async {
        let network = SimulatedNetwork::new(8);
        let mut controllers = Vec::new();
        for number in 0..3 {
            controllers.push(start_stallable(&network, number).await);
        }
        let evacuate = |controller: usize, zone: &'static str| {
            let network = network.interface(operator_ip(controller as u8));
            let to = SocketAddr::new(controller_ip(controller as u8), CONTROL_PORT);
            async move {
                let (started, path) = (Instant::now(), format!("/-/Evacuation.Begin/{zone}"));
                let mut client = RpcClient::new(to, &network);
                let response = client.send("POST", &path, "", ACKNOWLEDGEMENT_TIME).await;
                (response.ok().map(|response| response.status), started.elapsed())
            }
        };
        let leaseholder = loop {
            match controllers.iter().position(|stallable| stallable.controller.holds_lease()) {
                Some(leaseholder) => break leaseholder,
                None => sleep(Duration::from_millis(20)).await,
            }
        };
        // Wait until halfway between two renewals of the lease.
        sleep(Duration::from_millis(200)).await;
        controllers[leaseholder].network.stall_open_connections();
        let first = tokio::task::spawn_local(evacuate(leaseholder, "east-a"));
        sleep(Duration::from_millis(50)).await;
        let second = tokio::task::spawn_local(evacuate(leaseholder, "west-a"));
        let (first, second) = (first.await.expect("ends"), second.await.expect("ends"));
        println!("first command: {first:?}, second command: {second:?}");
        assert_eq!((first.0, second.0), (Some(200), Some(200)));
        // A call on a stalled connection times out only after 2.5 s.
        assert!(first.1.max(second.1) < Duration::from_secs(1), "{first:?} {second:?}");
    });
}
