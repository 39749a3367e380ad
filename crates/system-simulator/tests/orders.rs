//! The operator's orders on the made-up core, without doors: many at once, sent again, late, and two under one number. Time is
//! the lab's: a sleep only says when in the history something is done, and takes none.

use serde_json::{Value, json};
use std::cell::Cell;
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::runtime::Builder;
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep, timeout};
use vanewharf_config::settings::Settings;
use vanewharf_protocol::endpoints;
use vanewharf_protocol::messages::{PullRequest, PullResponse};
use vanewharf_rpc::RpcClient;
use vanewharf_runtime::environment::{BoxFuture, Directory, Environment, Listener, Network, Stream};
use vanewharf_system_simulator::disk::{Disk, Health};
use vanewharf_system_simulator::net::{Place, SimulatedNetwork};
use vanewharf_system_simulator::town::ip;
use vanewharf_system_simulator::world::{Shape, World, operator};

const SHAPE: Shape = Shape { offices: 3, doors: 0, seconds: 0, rate: 0, troubles: 0 };
const ACKNOWLEDGE: Duration = Duration::from_secs(6);
/// As long as an operator waits for a door that says nothing.
const SILENCE: Duration = Duration::from_secs(1);
const REPLACE: &str = "/-/Configuration.Replace";

fn on_the_core<F: Future<Output = ()>>(seed: u64, history: impl FnOnce(Rc<World>) -> F) {
    vanewharf_runtime::log::disable();
    let runtime = Builder::new_current_thread().enable_time().start_paused(true).build().expect("a runtime");
    let set = LocalSet::new();
    runtime.block_on(set.run_until(async move {
        let world = World::new(SHAPE, seed);
        world.begin();
        assert_eq!(ordered(&world, 0, REPLACE, &config(1, "first"), ACKNOWLEDGE).await, Some(200));
        history(world).await;
    }));
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

/// One call at one postmaster, from one operator's machine.
async fn call(world: &World, no: u8, office: usize, path: &str, body: &str) -> Option<(u16, Vec<u8>)> {
    let method = if path.ends_with("Read") { "GET" } else { "POST" };
    let net = world.network.at(operator(no));
    let mut caller = RpcClient::new(world.office(office), &net);
    timeout(SILENCE, caller.send(method, path, body, SILENCE))
        .await
        .ok()?
        .ok()
        .map(|response| (response.status, response.body))
}

/// At one postmaster after the other until it is clear: the status, or none where that took too long.
async fn ordered(world: &World, no: u8, path: &str, body: &str, within: Duration) -> Option<u16> {
    let begun = Instant::now();
    let mut turn = usize::from(no);
    while begun.elapsed() < within {
        let status = call(world, no, turn % SHAPE.offices, path, body).await.map(|(status, _)| status);
        if let Some(clear) = status.filter(|status| matches!(status, 200 | 400..=499)) {
            return (begun.elapsed() < within).then_some(clear);
        }
        turn += 1;
        sleep(Duration::from_millis(50)).await;
    }
    None
}

/// The one that takes orders.
async fn holder(world: &World) -> usize {
    loop {
        for office in 0..SHAPE.offices {
            if call(world, 7, office, "/-/Configuration.Read", "")
                .await
                .is_some_and(|(status, _)| status == 200)
            {
                return office;
            }
        }
        sleep(Duration::from_millis(50)).await;
    }
}

async fn read_back(world: &World) -> Value {
    let holder = holder(world).await;
    let read = call(world, 7, holder, "/-/Configuration.Read", "").await.expect("answered");
    serde_json::from_slice(&read.1).expect("JSON")
}

async fn evacuated(world: &World) -> BTreeSet<String> {
    let inside = SocketAddr::new(world.machines[holder(world).await].ip, 7600);
    let pull = PullRequest {
        versions: Default::default(),
        wait_ms: 0,
        follower: None,
        token_leases: None,
        reports: Vec::new(),
    };
    let mut caller = RpcClient::new(inside, &world.network.at(operator(7)));
    let mail: PullResponse = caller.call(endpoints::PULL, &pull, SILENCE).await.expect("answered");
    mail.register.expect("a register").evacuated
}

/// Each in a task of its own, by an operator of its own; how many were acknowledged in time.
async fn at_once(world: &Rc<World>, orders: Vec<(String, String)>) -> usize {
    let calls = orders.into_iter().enumerate().map(|(no, (path, body))| {
        let world = Rc::clone(world);
        tokio::task::spawn_local(async move {
            ordered(&world, no as u8, &path, &body, ACKNOWLEDGE).await == Some(200)
        })
    });
    let mut acknowledged = 0;
    for call in calls.collect::<Vec<_>>() {
        acknowledged += usize::from(call.await.expect("no call ends by itself"));
    }
    acknowledged
}

fn zones(count: usize) -> Vec<(String, String)> {
    let zones = ["east-a", "west-a", "east-b", "west-b"];
    let zone = |no: usize| (format!("/-/Evacuation.Begin/{}", zones[no % zones.len()]), String::new());
    (0..count.min(zones.len())).map(zone).collect()
}

#[test]
fn eight_orders_at_once_with_one_disk_hanging_are_all_acknowledged() {
    for ill in 0..SHAPE.offices {
        on_the_core(ill as u64, |world| async move {
            world.machines[ill].disk.iter().for_each(|disk| disk.turn(Health::Hangs));
            let configs = (2..6).map(|revision| (REPLACE.to_owned(), config(revision, "first")));
            let orders: Vec<_> = zones(4).into_iter().chain(configs).collect();
            assert_eq!(at_once(&world, orders).await, 8, "with the disk of {ill}");
            assert_eq!(read_back(&world).await["revision"], "r5");
            assert_eq!(evacuated(&world).await.len(), 4);
        });
    }
}

#[test]
fn orders_that_wait_share_a_round_where_each_takes_a_quarter_of_a_second() {
    on_the_core(3, |world| async move {
        // Each write takes 0.24 s at two of three: one after the other they would take over 7 s.
        for ill in 0..2 {
            world.machines[ill].disk.iter().for_each(|disk| disk.turn(Health::Slow));
        }
        let before: u64 =
            world.machines.iter().flat_map(|machine| &machine.disk).map(|disk| disk.deeds()).sum();
        let begun = Instant::now();
        let orders = (2..32).map(|revision| (REPLACE.to_owned(), config(revision, "first"))).collect();
        assert_eq!(at_once(&world, orders).await, 30);
        let after: u64 =
            world.machines.iter().flat_map(|machine| &machine.disk).map(|disk| disk.deeds()).sum();
        println!("30 orders: {:?}, {} deeds of disks", begun.elapsed(), after - before);
        assert!(begun.elapsed() < Duration::from_millis(1500), "{:?}", begun.elapsed());
        assert_eq!(read_back(&world).await["revision"], "r31");
    });
}

#[test]
fn an_order_that_comes_late_after_its_caller_went_elsewhere_changes_nothing() {
    for seed in 0..12 {
        on_the_core(seed, |world| async move {
            let (begin, finish) = ("/-/Evacuation.Begin/east-a", "/-/Evacuation.Finish/east-a");
            assert_eq!(ordered(&world, 1, begin, "", ACKNOWLEDGE).await, Some(200));
            let holder = holder(&world).await;
            // A connection that is up, whose bytes are then held on their way.
            let (here, there) = (operator(0), world.machines[holder].ip);
            let mut caller = RpcClient::new(world.office(holder), &world.network.at(here));
            assert_eq!(
                caller.send("GET", "/-/Configuration.Read", "", SILENCE).await.expect("up").status,
                200
            );
            world.network.cut(here, there);
            assert!(caller.send("POST", finish, "", SILENCE).await.is_err(), "nothing can be heard");
            drop(caller);
            // Sent again by another way, and taken back after that.
            assert_eq!(ordered(&world, 1, finish, "", ACKNOWLEDGE).await, Some(200));
            assert_eq!(ordered(&world, 1, begin, "", ACKNOWLEDGE).await, Some(200));
            world.network.heal(here, there);
            sleep(Duration::from_secs(2)).await;
            assert!(
                evacuated(&world).await.contains("east-a"),
                "acknowledged, and ended by an order of before"
            );
        });
    }
}

#[test]
fn an_order_that_waits_and_whose_caller_goes_away_is_not_begun() {
    for seed in 0..12 {
        on_the_core(seed, |world| async move {
            let hang = |health| {
                (0..2).for_each(|no| world.machines[no].disk.iter().for_each(|disk| disk.turn(health)));
            };
            hang(Health::Hangs);
            let holder = holder(&world).await;
            let sent = |no: u8, zone: &str| {
                let (world, path) = (Rc::clone(&world), format!("/-/Evacuation.Begin/{zone}"));
                tokio::task::spawn_local(async move { call(&world, no, holder, &path, "").await })
            };
            let first = sent(1, "east-a");
            sleep(Duration::from_millis(50)).await;
            let second = sent(2, "west-a");
            sleep(Duration::from_millis(200)).await;
            second.abort();
            sleep(Duration::from_millis(200)).await;
            hang(Health::Well);
            assert_eq!(first.await.expect("no call ends by itself").map(|(status, _)| status), Some(200));
            sleep(Duration::from_secs(2)).await;
            assert_eq!(evacuated(&world).await, BTreeSet::from(["east-a".to_owned()]));
        });
    }
}

#[test]
fn what_was_taken_is_acknowledged_again_by_any_door_and_after_restarts_and_what_lost_is_not() {
    for seed in 0..12 {
        on_the_core(seed, |world| async move {
            // Two operators under one number, at two doors at once.
            let (one, other) = (config(4, "one"), config(4, "other"));
            let sent = |no: u8, body: &str| {
                let (world, body) = (Rc::clone(&world), body.to_owned());
                tokio::task::spawn_local(
                    async move { ordered(&world, no, REPLACE, &body, ACKNOWLEDGE).await },
                )
            };
            let (first, second) = (sent(0, &one), sent(1, &other));
            let outcomes = [first.await.expect("ends"), second.await.expect("ends")];
            let won = outcomes.iter().position(|outcome| *outcome == Some(200)).expect("one of them");
            assert_eq!(outcomes[1 - won], Some(409), "the other one has no confirmation");
            let (won, lost) = if won == 0 { (one, other) } else { (other, one) };
            let won_prefix: Value = serde_json::from_str(&won).expect("JSON");
            assert_eq!(read_back(&world).await, won_prefix);
            let again = async |when: &str| {
                for no in 0..SHAPE.offices {
                    assert_eq!(
                        ordered(&world, no as u8, REPLACE, &won, ACKNOWLEDGE).await,
                        Some(200),
                        "{when}"
                    );
                    assert_eq!(
                        ordered(&world, no as u8, REPLACE, &lost, ACKNOWLEDGE).await,
                        Some(409),
                        "{when}"
                    );
                }
            };
            let restarted = async || {
                (0..SHAPE.offices).for_each(|no| world.kill(no, |_| true));
                (0..SHAPE.offices).for_each(|no| world.boot(no));
                holder(&world).await;
            };
            again("at once").await;
            restarted().await;
            again("after all were restarted").await;
            for revision in 5..9 {
                let newer = config(revision, "newer");
                assert_eq!(ordered(&world, 2, REPLACE, &newer, ACKNOWLEDGE).await, Some(200));
            }
            again("after newer ones").await;
            // The holder goes: another one answers by what the majority kept.
            world.kill(holder(&world).await, |_| true);
            sleep(Duration::from_secs(2)).await;
            holder(&world).await;
            again("at another holder").await;
            assert_eq!(read_back(&world).await["revision"], "r8");
        });
    }
}

/// A network whose connections can fall silent, all that were made until then: what is sent on them goes nowhere. Those
/// that are made later are sound.
#[derive(Clone)]
struct Silencing {
    net: Rc<dyn Network>,
    silent_until: Rc<Cell<u64>>,
    dialled: Rc<Cell<u64>>,
}

impl Network for Silencing {
    fn connect(&self, to: SocketAddr) -> BoxFuture<'static, io::Result<Stream>> {
        let (dialling, silent_until) = (self.net.connect(to), Rc::clone(&self.silent_until));
        self.dialled.set(self.dialled.get() + 1);
        let no = self.dialled.get();
        Box::pin(async move { Ok(Box::new(Line { stream: dialling.await?, no, silent_until }) as Stream) })
    }

    fn listen(&self, at: SocketAddr) -> io::Result<Box<dyn Listener>> {
        self.net.listen(at)
    }

    fn unique_id(&self) -> u64 {
        self.net.unique_id()
    }
}

struct Line {
    stream: Stream,
    no: u64,
    silent_until: Rc<Cell<u64>>,
}

impl Line {
    fn silent(&self) -> bool {
        self.no <= self.silent_until.get()
    }
}

impl AsyncRead for Line {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        // Whoever reads gives up by itself.
        if self.silent() { Poll::Pending } else { Pin::new(&mut self.stream).poll_read(cx, buf) }
    }
}

impl AsyncWrite for Line {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        if self.silent() {
            Poll::Ready(Ok(buf.len()))
        } else {
            Pin::new(&mut self.stream).poll_write(cx, buf)
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

fn settings(no: u8) -> Settings {
    let at = |port: u16| SocketAddr::new(ip(no + 1), port).to_string();
    let seeds: Vec<_> = (1..4).map(|host| SocketAddr::new(ip(host), 8200).to_string()).collect();
    let text = json!({"node_name": format!("central-{no}"), "ip_address": ip(no + 1).to_string(), "zone": "east-a",
        "region": "east", "zones": {"east-a": "east", "west-a": "west"},
        "listen_addresses": {"control_plane": at(8200)}, "internal_ports": [7600, 7615], "seed_nodes": seeds,
        "initial_start": true, "limits": {"memory_mb": 200, "file_descriptors": 1024}, "data_directory": "/data",
        "limits_table": {"revocation_global": true, "revocation": "5000ms", "grace_period": "6s", "ttl_max": "5s",
            "rate_allowance": 20, "retry_ratio": 0.2, "retry_window": "10s", "retry_allowance": 56,
            "warmup_overshoot": 1.5, "warmup_allowance": 5},
        "fault_tolerance": {"machine_losses": 1, "zones": 1, "region_losses": 0}});
    Settings::parse(text.to_string().as_bytes()).expect("settings that can be read")
}

#[test]
fn a_round_that_is_held_up_does_not_hold_up_the_next_one_which_makes_both_certain() {
    vanewharf_runtime::log::disable();
    let runtime = Builder::new_current_thread().enable_time().start_paused(true).build().expect("a runtime");
    runtime.block_on(LocalSet::new().run_until(async {
        let network = SimulatedNetwork::new(8);
        let mut controllers = Vec::new();
        for no in 0..3 {
            let place = Place { zone: "east-a".to_owned(), region: "east".to_owned() };
            network.stand(ip(no + 1), place);
            let net = Silencing {
                net: network.at(ip(no + 1)),
                silent_until: Rc::default(),
                dialled: Rc::default(),
            };
            let folder = Rc::new(Disk::new(Duration::from_millis(2))) as Rc<dyn Directory>;
            let premises = Environment::new(Rc::new(net.clone()), Some(folder), no.into());
            let controller = vanewharf_controller::start(settings(no), premises).await.expect("it starts");
            controllers.push((controller, net));
        }
        let order = |no: usize, zone: &'static str| {
            let net = network.at(operator(no as u8));
            let to = SocketAddr::new(ip(no as u8 + 1), 8200);
            async move {
                let (begun, path) = (Instant::now(), format!("/-/Evacuation.Begin/{zone}"));
                let answer = RpcClient::new(to, &net).send("POST", &path, "", ACKNOWLEDGE).await;
                (answer.ok().map(|response| response.status), begun.elapsed())
            }
        };
        let holder = loop {
            match controllers.iter().position(|(controller, _)| controller.holds_lease()) {
                Some(holder) => break holder,
                None => sleep(Duration::from_millis(20)).await,
            }
        };
        let (_, net) = &controllers[holder];
        // In the middle between two renewals of the lease.
        sleep(Duration::from_millis(200)).await;
        net.silent_until.set(net.dialled.get());
        let first = tokio::task::spawn_local(order(holder, "east-a"));
        sleep(Duration::from_millis(50)).await;
        let second = tokio::task::spawn_local(order(holder, "west-a"));
        let (first, second) = (first.await.expect("ends"), second.await.expect("ends"));
        println!("the first {first:?}, the second {second:?}");
        assert_eq!((first.0, second.0), (Some(200), Some(200)));
        // A try on a connection that has fallen silent lasts 2.5 s.
        assert!(first.1.max(second.1) < Duration::from_secs(1), "{first:?} {second:?}");
    }));
}
