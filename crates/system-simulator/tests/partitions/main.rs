//! Tests of partitions of controllers: which data the proxies that reach the other controllers receive, and when, and
//! how the separated controllers respond to commands. Time is simulated.

mod client;

use client::{
    Call, READ, REPLACE, RESPONSE_TIMEOUT, config, read_configuration, send, send_until_acknowledged,
};
use serde_json::Value;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::runtime::Builder;
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep, sleep_until, timeout};
use vanewharf_protocol::endpoints;
use vanewharf_protocol::version_store::VersionStore;
use vanewharf_rpc::RpcClient;
use vanewharf_runtime::environment::Environment;
use vanewharf_system_simulator::checker::MAX_RECONNECT_TIME;
use vanewharf_system_simulator::cluster::{Cluster, CutDirection};
use vanewharf_system_simulator::disk::{DiskCondition, UnsyncedData};
use vanewharf_system_simulator::ground_truth::{PLATFORM_LAG, SimulatedBackend};
use vanewharf_system_simulator::network::Location;
use vanewharf_system_simulator::parallel::for_each_parallel;
use vanewharf_system_simulator::topology::{SimulationParameters, ZONES, backend_address, operator_ip};
use yare::parameterized;

/// How long a cluster runs before its tests begin.
const READY_TIME: Duration = Duration::from_secs(8);
/// Same as `LEASE_DURATION` of vanewharf-consensus.
const LEASE_DURATION: Duration = Duration::from_millis(1500);
const PARTITION_TIME: Duration = Duration::from_secs(20);
const BACKENDS: u8 = 60;

/// How controllers are separated from the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Separation {
    BothWays,
    /// Messages from them are lost.
    Outbound,
    /// Messages to them are lost.
    Inbound,
    /// Their programs are frozen.
    Frozen,
}

impl Separation {
    fn begin(self, cluster: &Cluster, separated: &BTreeSet<usize>) {
        let others = others(cluster, separated);
        match self {
            Separation::BothWays => cluster.cut_links(separated, &others, CutDirection::Both),
            Separation::Outbound => cluster.cut_links(separated, &others, CutDirection::Outbound),
            Separation::Inbound => cluster.cut_links(&others, separated, CutDirection::Outbound),
            Separation::Frozen => separated.iter().for_each(|controller| cluster.freeze(*controller)),
        }
    }

    fn end(self, cluster: &Cluster, separated: &BTreeSet<usize>) {
        let others = others(cluster, separated);
        match self {
            Separation::BothWays => cluster.heal_links(separated, &others, CutDirection::Both),
            Separation::Outbound => cluster.heal_links(separated, &others, CutDirection::Outbound),
            Separation::Inbound => cluster.heal_links(&others, separated, CutDirection::Outbound),
            Separation::Frozen => separated.iter().for_each(|controller| cluster.resume(*controller)),
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Case {
    controllers: usize,
    proxies: usize,
    /// The separated controllers, by the distance of their numbers from the leaseholder's; 0 is the leaseholder.
    separated: &'static [usize],
    separation: Separation,
    seed: u64,
}

/// The observations of a run.
#[derive(Debug, Default)]
struct Observed {
    /// Times from the acknowledgement of a configuration until the last proxy received it.
    configurations: Vec<Duration>,
    /// Times from the acknowledgement of the begin or end of an evacuation until the last proxy received it.
    evacuations: Vec<Duration>,
    /// Times from when the platform's list showed that a backend drains until the last proxy received that.
    drains: Vec<Duration>,
    /// Counts of each response of a separated controller to each call, after a lease granted before the separation has
    /// expired.
    late_responses: BTreeMap<String, usize>,
    /// Configurations that separated controllers acknowledged, at any time.
    acknowledged: usize,
}

impl Observed {
    fn record_response(&mut self, path: &str, status: Option<u16>, is_late: bool) {
        self.acknowledged += usize::from(status == Some(200) && path.ends_with("Replace"));
        if is_late {
            let response = format!("{} {status:?}", path.split('/').nth(2).unwrap_or_default());
            *self.late_responses.entry(response).or_default() += 1;
        }
    }
}

fn others(cluster: &Cluster, separated: &BTreeSet<usize>) -> BTreeSet<usize> {
    (0..cluster.parameters.controllers).filter(|controller| !separated.contains(controller)).collect()
}

/// Whether the stores of all proxies match.
fn all_proxies_match(cluster: &Cluster, matches: impl Fn(&VersionStore) -> bool) -> bool {
    let publishers = cluster.ground_truth.publishers.borrow();
    publishers.len() == cluster.parameters.proxies
        && publishers.values().all(|publisher| matches(&publisher.store()))
}

/// Waits until the condition is true; returns the time.
async fn wait_until(condition: impl Fn() -> bool) -> Instant {
    while !condition() {
        sleep(Duration::from_millis(5)).await;
    }
    Instant::now()
}

fn simulate<T>(run: impl Future<Output = T>) -> T {
    let runtime = Builder::new_current_thread().enable_time().start_paused(true).build().expect("a runtime");
    runtime.block_on(LocalSet::new().run_until(run))
}

/// A running cluster whose first configuration is in force.
struct ReadyCluster {
    cluster: Rc<Cluster>,
    operator: Environment,
    leaseholder: usize,
}

async fn start_cluster(controllers: usize, proxies: usize, seed: u64) -> ReadyCluster {
    let parameters =
        SimulationParameters { controllers, proxies, seconds: 0, requests_per_second: 1, max_faults: 0 };
    let cluster = Cluster::new(parameters, seed);
    add_backends(&cluster);
    let started = Instant::now();
    cluster.start();
    let operator = Environment::new(cluster.network.interface(operator_ip(0)), None, seed);
    let addresses: Vec<_> =
        (0..controllers).map(|controller| cluster.controller_address(controller)).collect();
    sleep_until(started + Duration::from_secs(1)).await;
    send_until_acknowledged(&operator, &addresses, Call::post(REPLACE, &config(1))).await;
    sleep_until(started + READY_TIME).await;
    let mut leaseholder = None;
    for (controller, address) in addresses.iter().enumerate() {
        let response = send(&operator, *address, Call::get(READ)).await;
        let holds_lease = response.is_some_and(|response| response.status == 200);
        leaseholder = leaseholder.or(holds_lease.then_some(controller));
    }
    ReadyCluster { cluster, operator, leaseholder: leaseholder.expect("a controller holds the lease") }
}

fn add_backends(cluster: &Cluster) {
    for number in 0..BACKENDS {
        let (zone, region) = ZONES[usize::from(number) % ZONES.len()];
        let backend = SimulatedBackend::new("reads", zone, backend_address(number + 1));
        let location = Location { zone: zone.to_owned(), region: region.to_owned() };
        cluster.network.add_machine(backend.address.ip(), location);
        cluster.ground_truth.backends.borrow_mut().insert(format!("i{number}"), backend);
    }
    cluster.ground_truth.publish_backends();
}

/// Marks a backend as draining or not draining.
fn set_draining(cluster: &Cluster, id: &str, draining: bool) {
    let since = draining.then(Instant::now);
    let mut backends = cluster.ground_truth.backends.borrow_mut();
    backends.get_mut(id).expect("there is one").draining_since = since;
    drop(backends);
    cluster.ground_truth.publish_backends();
}

/// Whether a proxy's backend list has a backend in this state.
fn lists_backend(store: &VersionStore, id: &str, draining: bool) -> bool {
    let list = store.backend_list.as_ref();
    list.is_some_and(|list| {
        list.backends.iter().any(|backend| backend.id == id && backend.draining == draining)
    })
}

/// Sends commands to a separated controller during the whole separation and records its responses.
async fn send_to_separated(
    environment: Environment,
    controller: SocketAddr,
    observed: Rc<RefCell<Observed>>,
    separated_at: Instant,
) {
    let newest = config(9_000);
    let calls = [
        Call::post(REPLACE, &newest),
        Call::get(READ),
        Call::post("/-/Evacuation.Begin/west-b", ""),
        Call::post("/-/Evacuation.Finish/west-b", ""),
    ];
    for call in calls.iter().cycle().skip(1) {
        if separated_at.elapsed() >= PARTITION_TIME {
            return;
        }
        let is_late = separated_at.elapsed() > LEASE_DURATION;
        let status = send(&environment, controller, *call).await.map(|response| response.status);
        observed.borrow_mut().record_response(call.path, status, is_late);
        sleep(Duration::from_millis(130)).await;
    }
}

/// Changes the configuration, an evacuation and a backend's state, and measures until all proxies have received each.
async fn measure_propagation(
    ready: &ReadyCluster,
    controllers: &[SocketAddr],
    revision: u64,
    observed: &RefCell<Observed>,
) {
    let ReadyCluster { cluster, operator, .. } = ready;
    let config = config(revision);
    let acknowledged = send_until_acknowledged(operator, controllers, Call::post(REPLACE, &config)).await;
    let text = format!("\"r{revision}\"");
    let has_config = |store: &VersionStore| {
        let register = store.register.as_ref().and_then(|register| register.config.as_ref());
        register.is_some_and(|config| config.get().contains(&text))
    };
    let received = wait_until(|| all_proxies_match(cluster, has_config)).await;
    observed.borrow_mut().configurations.push(received - acknowledged);

    let (begins, path) = match revision % 2 {
        0 => (true, "/-/Evacuation.Begin/east-b"),
        _ => (false, "/-/Evacuation.Finish/east-b"),
    };
    let acknowledged = send_until_acknowledged(operator, controllers, Call::post(path, "")).await;
    let has_evacuation = |store: &VersionStore| {
        store.register.as_ref().is_some_and(|register| register.evacuated.contains("east-b") == begins)
    };
    let received = wait_until(|| all_proxies_match(cluster, has_evacuation)).await;
    observed.borrow_mut().evacuations.push(received - acknowledged);

    let id = format!("i{revision}");
    set_draining(cluster, &id, true);
    let listed = Instant::now() + PLATFORM_LAG;
    let received = wait_until(|| all_proxies_match(cluster, |store| lists_backend(store, &id, true))).await;
    observed.borrow_mut().drains.push(received - listed);
}

/// Asserts that every controller returns, or redirects to, the newest configuration soon after the separation.
async fn assert_newest_is_read(ready: &ReadyCluster, case: Case, revision: u64) {
    let newest = format!("\"r{revision}\"");
    for controller in 0..case.controllers {
        let read = async {
            // A controller that has just been separated may respond for a moment that it knows no leaseholder.
            loop {
                let address = ready.cluster.controller_address(controller);
                let text = read_configuration(&ready.operator, address).await;
                if text.contains("revision") {
                    return text;
                }
                sleep(Duration::from_millis(50)).await;
            }
        };
        let text =
            timeout(RESPONSE_TIMEOUT, read).await.expect("a configuration within the response timeout");
        assert!(text.contains(&newest), "{case:?}: controller {controller} returned {text:?}, not {newest}");
    }
}

async fn run(case: Case) -> Observed {
    let ready = start_cluster(case.controllers, case.proxies, case.seed).await;
    let cluster = &ready.cluster;
    let separated: BTreeSet<usize> =
        case.separated.iter().map(|distance| (ready.leaseholder + distance) % case.controllers).collect();
    case.separation.begin(cluster, &separated);
    let separated_at = Instant::now();
    let observed = Rc::new(RefCell::new(Observed::default()));
    for controller in &separated {
        let operator = Environment::new(cluster.network.interface(operator_ip(1)), None, case.seed + 7);
        let controller = cluster.controller_address(*controller);
        let sending = send_to_separated(operator, controller, Rc::clone(&observed), separated_at);
        tokio::task::spawn_local(sending);
    }
    // From this time on the system must serve the proxies, which reach the other controllers.
    sleep_until(separated_at + MAX_RECONNECT_TIME).await;
    let reachable: Vec<_> = others(cluster, &separated)
        .into_iter()
        .map(|controller| cluster.controller_address(controller))
        .collect();
    let mut revision = 1;
    while separated_at.elapsed() < PARTITION_TIME - Duration::from_secs(3) {
        revision += 1;
        measure_propagation(&ready, &reachable, revision, &observed).await;
    }
    sleep_until(separated_at + PARTITION_TIME).await;
    case.separation.end(cluster, &separated);
    // Messages that were held up by the separation arrive only now.
    sleep_until(separated_at + PARTITION_TIME + MAX_RECONNECT_TIME).await;
    assert_newest_is_read(&ready, case, revision).await;
    observed.take()
}

/// Far below the 3 s that the system promises, of which the transfer to the proxy and the proxy's own work take little.
const MAX_PROPAGATION_TIME: Duration = Duration::from_millis(800);
/// Longer than `MAX_PROPAGATION_TIME`, as the platform is polled only every 0.6 s.
const MAX_DRAIN_PROPAGATION_TIME: Duration = Duration::from_millis(1600);
/// How long a test waits until the proxies have received a drain.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(10);

#[test]
fn proxies_receive_changes_in_time_while_controllers_are_separated() {
    vanewharf_runtime::log::disable();
    let mut cases = Vec::new();
    for separation in [Separation::BothWays, Separation::Outbound, Separation::Inbound, Separation::Frozen] {
        for (controllers, separated) in [(3, &[1][..]), (3, &[0]), (5, &[1, 2]), (5, &[0, 3]), (5, &[3, 4])] {
            cases.push(Case { controllers, proxies: 8, separated, separation, seed: 5 });
        }
    }
    for_each_parallel(
        cases,
        4,
        |case| (case, simulate(run(case))),
        |(case, observed)| {
            println!("{case:?}: {observed:?}");
            let worst = |times: &[Duration]| times.iter().max().copied().expect("some");
            assert!(observed.configurations.len() >= 5, "{case:?}: {observed:?}");
            assert!(worst(&observed.configurations) < MAX_PROPAGATION_TIME, "{case:?}: {observed:?}");
            assert!(worst(&observed.evacuations) < MAX_PROPAGATION_TIME, "{case:?}: {observed:?}");
            assert!(worst(&observed.drains) < MAX_DRAIN_PROPAGATION_TIME, "{case:?}: {observed:?}");
            assert_eq!(observed.acknowledged, 0, "{case:?}: {observed:?}");
            let unexpected = |response: &&String| {
                !["307", "503", "None"].iter().any(|expected| response.contains(expected))
            };
            assert_eq!(observed.late_responses.keys().find(unexpected), None, "{case:?}: {observed:?}");
        },
    );
}

/// Guards against proxies that keep a list of a former leaseholder: the separated leaseholder is the only controller
/// that reads a change of the platform's list, and sends it to the proxies. When another controller gets the lease, the
/// change has been reverted, so that the new leaseholder's list is the same as before the change.
#[test]
fn a_list_that_only_the_former_leaseholder_had_is_replaced() {
    vanewharf_runtime::log::disable();
    simulate(async {
        let ReadyCluster { cluster, leaseholder, .. } = start_cluster(3, 8, 5).await;
        let separated = [leaseholder].into();
        set_draining(&cluster, "i7", true);
        sleep(PLATFORM_LAG - Duration::from_millis(10)).await;
        Separation::BothWays.begin(&cluster, &separated);
        let any_proxy_has_drain = || {
            let publishers = cluster.ground_truth.publishers.borrow();
            publishers.values().any(|publisher| lists_backend(&publisher.store(), "i7", true))
        };
        let separated_at = Instant::now();
        wait_until(any_proxy_has_drain).await;
        assert!(separated_at.elapsed() < Duration::from_millis(1200), "{:?}", separated_at.elapsed());
        // Its lease has expired then.
        wait_until(|| cluster.leaseholder_count() == 0).await;
        set_draining(&cluster, "i7", false);
        let listed = Instant::now() + PLATFORM_LAG;
        sleep_until(separated_at + PARTITION_TIME).await;
        assert!(
            all_proxies_match(&cluster, |store| lists_backend(store, "i7", false)),
            "{:?}",
            listed.elapsed()
        );
    });
}

/// Guards against a new leaseholder that applies the response to an earlier pull of its own: when a controller gets the
/// lease, a pull from another one may be in progress, whose response contains the new leaseholder's own list as a
/// change of the list that it had before.
#[test]
fn a_new_leaseholder_publishes_every_drain_despite_an_older_pull_in_progress() {
    const RUNS: u64 = 80;
    vanewharf_runtime::log::disable();
    let drains_after_election = |seed: u64| async move {
        let ReadyCluster { cluster, leaseholder, .. } = start_cluster(3, 2, seed).await;
        // Each run continues at another phase of the followers' pulls.
        sleep(Duration::from_millis(600 + 5 * seed)).await;
        cluster.lose_power(leaseholder, UnsyncedData::Lost);
        // The list is published again at the election. A drain that is published with it would hide that later ones are
        // not published.
        sleep(Duration::from_secs(3)).await;
        let mut drains = Vec::new();
        for id in ["i7", "i8"] {
            set_draining(&cluster, id, true);
            let listed = Instant::now() + PLATFORM_LAG;
            let received = wait_until(|| all_proxies_match(&cluster, |store| lists_backend(store, id, true)));
            drains.push(timeout(DRAIN_TIMEOUT, received).await.map_or(DRAIN_TIMEOUT, |at| at - listed));
        }
        drains
    };
    for_each_parallel(
        (0..RUNS).collect(),
        4,
        |seed| (seed, simulate(drains_after_election(seed))),
        |(seed, drains)| {
            let is_in_time = |drain: &Duration| *drain < MAX_DRAIN_PROPAGATION_TIME;
            assert!(drains.iter().all(is_in_time), "seed {seed}: {drains:?}");
        },
    );
}

/// A voter that was partitioned has tried to get the lease without success. After the partition has healed it must vote
/// for the leaseholder again, and its disk must have the same state as those of the others.
#[parameterized(
    one_of_three = { 3, &[1] },
    one_of_five = { 5, &[2] },
    two_of_five_together = { 5, &[1, 2] },
)]
fn partitioned_voters_vote_again_and_have_the_state_of_the_others(controllers: usize, distances: &[usize]) {
    vanewharf_runtime::log::disable();
    simulate(async {
        let ReadyCluster { cluster, operator, leaseholder } = start_cluster(controllers, 2, 5).await;
        let separated: BTreeSet<_> =
            distances.iter().map(|distance| (leaseholder + distance) % controllers).collect();
        Separation::BothWays.begin(&cluster, &separated);
        sleep(PARTITION_TIME).await;
        let reachable: Vec<_> = others(&cluster, &separated)
            .into_iter()
            .map(|controller| cluster.controller_address(controller))
            .collect();
        send_until_acknowledged(&operator, &reachable, Call::post(REPLACE, &config(2))).await;
        Separation::BothWays.end(&cluster, &separated);
        sleep(MAX_RECONNECT_TIME).await;
        let mut states = BTreeMap::new();
        for controller in 0..controllers {
            let mut client = RpcClient::new(cluster.internal_address(controller), &operator.network);
            // The request names an address that is not a member, so it does not affect the state of the members.
            let recover = r#"{"Recover":{"member":"10.9.9.9:1","incarnation":0}}"#;
            let response =
                client.send("POST", endpoints::VOTE, recover, RESPONSE_TIMEOUT).await.expect("answered");
            let response: Value = serde_json::from_slice(&response.body).expect("JSON");
            let known = &response["vote"]["Known"];
            let state = (known["promised"].to_string(), known["register"]["no"].to_string());
            states.insert(controller, state);
        }
        let first = &states[&0];
        assert!(states.values().all(|state| state == first), "{states:?}");
    });
}

/// A voter that lost its disk requests its recovery, which another voter has to record on a disk that hangs. Renewing
/// the lease needs no disk, so there must be exactly one leaseholder all the time; otherwise proxies would stop
/// receiving the backend list.
#[test]
fn a_hung_disk_while_another_voter_recovers_does_not_interrupt_the_lease() {
    vanewharf_runtime::log::disable();
    simulate(async {
        let ReadyCluster { cluster, leaseholder, .. } = start_cluster(3, 2, 11).await;
        let (wiped, hung) = ((leaseholder + 1) % 3, (leaseholder + 2) % 3);
        let set_condition = |condition| {
            cluster.machines[hung].disk.iter().for_each(|disk| disk.set_condition(condition));
        };
        set_condition(DiskCondition::Hung);
        cluster.lose_power(wiped, UnsyncedData::Lost);
        cluster.wipe_disk(wiped);
        cluster.start_machine(wiped);
        let started = Instant::now();
        while started.elapsed() < Duration::from_secs(8) {
            assert_eq!(
                cluster.leaseholder_count(),
                1,
                "leaseholders {:?} after the restart",
                started.elapsed()
            );
            sleep(Duration::from_millis(50)).await;
        }
        set_condition(DiskCondition::Healthy);
        sleep(MAX_RECONNECT_TIME).await;
        assert_eq!(cluster.leaseholder_count(), 1);
    });
}
