//! Controllers that are cut off from the others, and the proxies near them: what a proxy that reaches the others receives,
//! and when, and how commands are answered by the controllers that are cut off. All time here is simulated.

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

const READY_TIME: Duration = Duration::from_secs(8);
const PARTITION_TIME: Duration = Duration::from_secs(20);
const BACKENDS: u8 = 60;

/// How controllers are separated from the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Separation {
    BothWays,
    /// What they send is lost.
    Outbound,
    /// What is sent to them is lost.
    Inbound,
    /// They are frozen.
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
    /// The separated controllers, by their distance from the leaseholder: 0 is the leaseholder.
    separated: &'static [usize],
    separation: Separation,
    seed: u64,
}

/// What was observed in a run.
#[derive(Debug, Default)]
struct Observed {
    /// From an acknowledgement until the last proxy had the configuration.
    configurations: Vec<Duration>,
    /// The same of evacuations, begun and finished.
    evacuations: Vec<Duration>,
    /// From when the platform's list showed a drain until the last proxy had it.
    drains: Vec<Duration>,
    /// How often separated controllers gave each answer to each call, later than a lease lasts after the separation.
    late_answers: BTreeMap<String, usize>,
    /// New configurations that such a controller acknowledged at any time.
    acknowledged: usize,
}

impl Observed {
    fn record_answer(&mut self, path: &str, status: Option<u16>, is_late: bool) {
        self.acknowledged += usize::from(status == Some(200) && path.ends_with("Replace"));
        if is_late {
            let answer = format!("{} {status:?}", path.split('/').nth(2).unwrap_or_default());
            *self.late_answers.entry(answer).or_default() += 1;
        }
    }
}

fn others(cluster: &Cluster, separated: &BTreeSet<usize>) -> BTreeSet<usize> {
    (0..cluster.parameters.controllers).filter(|controller| !separated.contains(controller)).collect()
}

fn all_proxies_have(cluster: &Cluster, has: impl Fn(&VersionStore) -> bool) -> bool {
    let publishers = cluster.ground_truth.publishers.borrow();
    publishers.len() == cluster.parameters.proxies
        && publishers.values().all(|publisher| has(&publisher.store()))
}

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

/// A cluster that serves.
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
        let answer = send(&operator, *address, Call::get(READ)).await;
        let holds_lease = answer.is_some_and(|answer| answer.status == 200);
        leaseholder = leaseholder.or(holds_lease.then_some(controller));
    }
    ReadyCluster { cluster, operator, leaseholder: leaseholder.expect("one holds the lease") }
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

/// Marks a backend as draining, or takes that back.
fn set_draining(cluster: &Cluster, id: &str, draining: bool) {
    let since = draining.then(Instant::now);
    let mut backends = cluster.ground_truth.backends.borrow_mut();
    backends.get_mut(id).expect("there is one").draining_since = since;
    drop(backends);
    cluster.ground_truth.publish_backends();
}

fn lists(store: &VersionStore, id: &str, draining: bool) -> bool {
    let list = store.backend_list.as_ref();
    list.is_some_and(|list| {
        list.backends.iter().any(|backend| backend.id == id && backend.draining == draining)
    })
}

/// Sends commands to a separated controller during the whole separation and records its answers.
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
        let is_late = separated_at.elapsed() > Duration::from_millis(1500);
        let status = send(&environment, controller, *call).await.map(|answer| answer.status);
        observed.borrow_mut().record_answer(call.path, status, is_late);
        sleep(Duration::from_millis(130)).await;
    }
}

/// Changes the configuration, an evacuation and a backend's state, and measures when all proxies have each.
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
    let received = wait_until(|| all_proxies_have(cluster, has_config)).await;
    observed.borrow_mut().configurations.push(received - acknowledged);

    let (begins, path) = match revision % 2 {
        0 => (true, "/-/Evacuation.Begin/east-b"),
        _ => (false, "/-/Evacuation.Finish/east-b"),
    };
    let acknowledged = send_until_acknowledged(operator, controllers, Call::post(path, "")).await;
    let has_evacuation = |store: &VersionStore| {
        store.register.as_ref().is_some_and(|register| register.evacuated.contains("east-b") == begins)
    };
    let received = wait_until(|| all_proxies_have(cluster, has_evacuation)).await;
    observed.borrow_mut().evacuations.push(received - acknowledged);

    let id = format!("i{revision}");
    set_draining(cluster, &id, true);
    let listed = Instant::now() + PLATFORM_LAG;
    let received = wait_until(|| all_proxies_have(cluster, |store| lists(store, &id, true))).await;
    observed.borrow_mut().drains.push(received - listed);
}

/// The newest configuration is read by way of every controller soon after the separation.
async fn assert_all_read(ready: &ReadyCluster, case: Case, revision: u64) {
    let newest = format!("\"r{revision}\"");
    for controller in 0..case.controllers {
        let read = async {
            // One that has just been cut off may say for a moment that it knows no leaseholder.
            loop {
                let address = ready.cluster.controller_address(controller);
                let text = read_configuration(&ready.operator, address).await;
                if text.contains("revision") {
                    return text;
                }
                sleep(Duration::from_millis(50)).await;
            }
        };
        let text = timeout(RESPONSE_TIMEOUT, read).await.expect("a clear answer in time");
        assert!(text.contains(&newest), "{case:?}: {text:?} at {controller}, not {newest}");
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
    // The proxies are in touch from then on, as they reach the others.
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
    // What was sent to the separated controllers meanwhile arrives only now.
    sleep_until(separated_at + PARTITION_TIME + MAX_RECONNECT_TIME).await;
    assert_all_read(&ready, case, revision).await;
    observed.take()
}

/// Far within the 3 s that are promised, of which the hop to the proxy and the proxy's own work take little.
const PROPAGATION_TIME: Duration = Duration::from_millis(800);
/// The platform is polled every 0.6 s besides.
const DRAIN_PROPAGATION_TIME: Duration = Duration::from_millis(1600);
/// After that, a drain is not waited for any longer.
const LONGEST_DRAIN: Duration = Duration::from_secs(10);

#[test]
fn proxies_near_separated_controllers_follow_the_others_in_time() {
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
            assert!(worst(&observed.configurations) < PROPAGATION_TIME, "{case:?}: {observed:?}");
            assert!(worst(&observed.evacuations) < PROPAGATION_TIME, "{case:?}: {observed:?}");
            assert!(worst(&observed.drains) < DRAIN_PROPAGATION_TIME, "{case:?}: {observed:?}");
            assert_eq!(observed.acknowledged, 0, "{case:?}: {observed:?}");
            let unexpected =
                |answer: &&String| !["307", "503", "None"].iter().any(|expected| answer.contains(expected));
            assert_eq!(observed.late_answers.keys().find(unexpected), None, "{case:?}: {observed:?}");
        },
    );
}

/// The leaseholder that is cut off is the only one to see a change of the platform's list, and sends it to the proxies near
/// it; by the time that another one holds the lease the change is undone, so that the new leaseholder's list is as it was
/// before.
#[test]
fn a_list_that_only_a_former_leaseholder_had_is_replaced_by_the_next_ones() {
    vanewharf_runtime::log::disable();
    simulate(async {
        let ReadyCluster { cluster, leaseholder, .. } = start_cluster(3, 8, 5).await;
        let separated = [leaseholder].into();
        set_draining(&cluster, "i7", true);
        sleep(PLATFORM_LAG - Duration::from_millis(10)).await;
        Separation::BothWays.begin(&cluster, &separated);
        let any_proxy_has_drain = || {
            let publishers = cluster.ground_truth.publishers.borrow();
            publishers.values().any(|publisher| lists(&publisher.store(), "i7", true))
        };
        let separated_at = Instant::now();
        wait_until(any_proxy_has_drain).await;
        assert!(separated_at.elapsed() < Duration::from_millis(1200), "{:?}", separated_at.elapsed());
        // By then it does not consider itself the leaseholder any more.
        wait_until(|| cluster.leaseholder_count() == 0).await;
        set_draining(&cluster, "i7", false);
        let listed = Instant::now() + PLATFORM_LAG;
        sleep_until(separated_at + PARTITION_TIME).await;
        assert!(all_proxies_have(&cluster, |store| lists(store, "i7", false)), "{:?}", listed.elapsed());
    });
}

/// A controller that wins the lease may have a pull at another one still under way, whose answer then holds what the new
/// leaseholder has itself published meanwhile, as a change of what it had before.
#[test]
fn a_new_leaseholder_publishes_every_drain_while_an_older_pull_of_its_own_is_answered() {
    const RUNS: u64 = 80;
    vanewharf_runtime::log::disable();
    let drains_after_election = |seed: u64| async move {
        let ReadyCluster { cluster, leaseholder, .. } = start_cluster(3, 2, seed).await;
        // At another moment of the followers' pulls in each run.
        sleep(Duration::from_millis(600 + 5 * seed)).await;
        cluster.lose_power(leaseholder, UnsyncedData::Lost);
        // The list is published anew at the election; one that came with it would hide that later ones do not.
        sleep(Duration::from_secs(3)).await;
        let mut drains = Vec::new();
        for id in ["i7", "i8"] {
            set_draining(&cluster, id, true);
            let listed = Instant::now() + PLATFORM_LAG;
            let received = wait_until(|| all_proxies_have(&cluster, |store| lists(store, id, true)));
            drains.push(timeout(LONGEST_DRAIN, received).await.map_or(LONGEST_DRAIN, |at| at - listed));
        }
        drains
    };
    for_each_parallel(
        (0..RUNS).collect(),
        4,
        |seed| (seed, simulate(drains_after_election(seed))),
        |(seed, drains)| {
            let is_in_time = |drain: &Duration| *drain < DRAIN_PROPAGATION_TIME;
            assert!(drains.iter().all(is_in_time), "seed {seed}: {drains:?}");
        },
    );
}

/// A follower that was cut off for a while tried in vain to get the lease; once it is healed it votes for the leaseholder
/// again, and its disk has what the others' have.
#[parameterized(
    one_of_three = { 3, &[1] },
    one_of_five = { 5, &[2] },
    two_of_five_together = { 5, &[1, 2] },
)]
fn separated_voters_vote_again_and_have_the_state_of_the_others(controllers: usize, distances: &[usize]) {
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
            // As one that is no member: it leaves no trace that counts.
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

/// One voter has lost its disk and asks to be recovered, which another has to record on a disk that hangs: the lease needs
/// no disk, so it is renewed all the time, and proxies go on receiving the list.
#[test]
fn a_disk_that_hangs_while_another_voter_recovers_costs_no_lease() {
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
            assert_eq!(cluster.leaseholder_count(), 1, "{:?} after", started.elapsed());
            sleep(Duration::from_millis(50)).await;
        }
        set_condition(DiskCondition::Healthy);
        sleep(MAX_RECONNECT_TIME).await;
        assert_eq!(cluster.leaseholder_count(), 1);
    });
}
