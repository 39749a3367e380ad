//! The machines of a made-up system and the real programs on them, each in a cage of its own: it can be killed with all
//! that it has open, frozen, lose power, lose its disk or be cut off.

use super::disk::{Disk, Left};
use super::door::{Ask, Door};
use super::net::{Place, SimulatedNetwork};
use super::town::{Town, ip};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::task::LocalSet;
use tokio::time::Instant;
use vanewharf_config::settings::Settings;
use vanewharf_controller::RunningController;
use vanewharf_rpc::{RpcResponse, serve};
use vanewharf_runtime::environment::{Directory, Environment};

const CONTROL: u16 = 8200;
const REGISTRY: u16 = 8201;
const FRONTEND: u16 = 8206;
const READINESS: u16 = 8207;
const INTERNAL: u16 = 7600;
pub const ZONES: [(&str, &str); 4] =
    [("east-a", "east"), ("west-a", "west"), ("east-b", "east"), ("west-b", "west")];
/// The voters of the first start.
const SEEDS: usize = 3;
const SYNC: Duration = Duration::from_millis(2);

pub const CONTACT: Duration = Duration::from_millis(4000);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Program {
    Carrier,
    Sorter,
    Postmaster,
}

/// Processor time of this machine, not of the day: what each kind of program took so far.
type Spent = Rc<RefCell<BTreeMap<Program, Duration>>>;

struct Cage {
    set: Option<LocalSet>,
    program: Program,
    spent: Spent,
    frozen: bool,
    waker: Option<Waker>,
}

struct Caged(Rc<RefCell<Cage>>);

impl Future for Caged {
    type Output = ();

    fn poll(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        let mut cage = self.0.borrow_mut();
        cage.waker = Some(cx.waker().clone());
        if cage.frozen {
            return Poll::Pending;
        }
        let begun = std::time::Instant::now();
        let polled = match &mut cage.set {
            Some(set) => Pin::new(set).poll(cx),
            None => Poll::Ready(()),
        };
        *cage.spent.borrow_mut().entry(cage.program).or_default() += begun.elapsed();
        polled
    }
}

/// What happened to a machine or among the core, and for how long.
#[derive(Clone, Debug)]
pub struct Trouble {
    pub begun: Instant,
    pub ended: Option<Instant>,
    pub whom: Whom,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Whom {
    /// Its processes did not run, or not all of them.
    Down(usize),
    /// Its disk was in trouble, or it was cut off from some of the core.
    Ailing(usize),
    /// What it sends came slowly.
    Slowed(usize),
    /// These of the core were cut off from the rest of it.
    Parted(BTreeSet<usize>),
}

/// A core machine was removed for good, or a new one came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Move {
    pub at: Instant,
    pub no: usize,
    pub came: bool,
}

pub struct Machine {
    pub name: String,
    pub ip: IpAddr,
    pub zone: &'static str,
    pub disk: Option<Disk>,
    cages: RefCell<BTreeMap<Program, Rc<RefCell<Cage>>>>,
    starts: Cell<u64>,
    pub asks: Rc<RefCell<Option<mpsc::UnboundedSender<Ask>>>>,
    controller: Rc<RefCell<Option<Rc<RunningController>>>>,
    end: RefCell<Option<oneshot::Sender<()>>>,
    /// How fast its steady clock runs.
    rate: f64,
}

/// How large a system is, and how long a day.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Shape {
    pub offices: usize,
    pub doors: usize,
    pub seconds: u64,
    /// Requests a second over all doors, and how many troubles at most.
    pub rate: u64,
    pub troubles: u64,
}

pub struct World {
    pub shape: Shape,
    pub town: Rc<Town>,
    pub network: SimulatedNetwork,
    pub machines: Vec<Machine>,
    pub troubles: RefCell<Vec<Trouble>>,
    /// The core machines that the operator's list names now.
    pub control: RefCell<Vec<usize>>,
    pub moves: RefCell<Vec<Move>>,
    /// What machines are told as seeds, where that is not the first of the operator's list.
    seeds: RefCell<BTreeMap<usize, Vec<usize>>>,
    first: Cell<bool>,
    seed: u64,
    spent: Spent,
}

pub fn operator(no: u8) -> IpAddr {
    IpAddr::from([10, 9, 0, no + 1])
}

impl Machine {
    fn holds(&self) -> bool {
        self.controller.borrow().as_ref().is_some_and(|controller| controller.holds_lease())
    }
}

impl World {
    pub fn new(shape: Shape, seed: u64) -> Rc<World> {
        World::with(shape, seed, 0, 0.0)
    }

    /// With spare core machines, which come after the doors and are not started yet, and steady clocks that are fast or
    /// slow by up to a part.
    pub fn with(shape: Shape, seed: u64, spares: usize, drift: f64) -> Rc<World> {
        let mut chance = SmallRng::seed_from_u64(seed ^ 0xc10c);
        let network = SimulatedNetwork::new(seed);
        let platform = SocketAddr::new(IpAddr::from([10, 9, 0, 100]), 80);
        let mut machines = Vec::new();
        for no in 0..shape.offices + shape.doors + spares {
            let spare = no >= shape.offices + shape.doors;
            let office = no < shape.offices || spare;
            let place = if spare { no - shape.doors } else { no };
            let (zone, region) = ZONES[if office { place } else { no - shape.offices } % ZONES.len()];
            let (name, ip) = if office {
                (format!("central-{place}"), ip(place as u8 + 1))
            } else {
                let door = no - shape.offices;
                (
                    format!("frontend-{door}"),
                    IpAddr::from([10, 1, (door / 250) as u8, (door % 250) as u8 + 1]),
                )
            };
            network.stand(ip, Place { zone: zone.to_owned(), region: region.to_owned() });
            machines.push(Machine {
                name,
                ip,
                zone,
                disk: office.then(|| Disk::new(SYNC)),
                cages: RefCell::default(),
                starts: Cell::new(0),
                asks: Rc::default(),
                controller: Rc::default(),
                end: RefCell::default(),
                rate: match chance.random_range(0..4) {
                    0 => 1.0 - drift,
                    1 => 1.0 + drift,
                    _ => 1.0 + chance.random_range(-1.0..=1.0) * drift,
                },
            });
        }
        let town = Rc::new(Town::new(platform));
        Rc::new(World {
            shape,
            town,
            network,
            machines,
            troubles: RefCell::default(),
            control: RefCell::new((0..shape.offices).collect()),
            moves: RefCell::default(),
            seeds: RefCell::default(),
            first: Cell::new(true),
            seed,
            spent: Rc::default(),
        })
    }

    pub fn office(&self, no: usize) -> SocketAddr {
        SocketAddr::new(self.machines[no].ip, CONTROL)
    }

    /// Where a postmaster hears the system's own calls.
    pub fn inside(&self, no: usize) -> SocketAddr {
        SocketAddr::new(self.machines[no].ip, INTERNAL)
    }

    /// The first start of all.
    pub fn begin(&self) {
        self.serve_list();
        (0..self.shape.offices + self.shape.doors).for_each(|no| self.boot(no));
        self.first.set(false);
    }

    fn serve_list(&self) {
        let town = Rc::clone(&self.town);
        let ear = self.network.at(town.platform.ip()).listen(town.platform);
        let ear = ear.expect("nothing else listens there");
        tokio::task::spawn_local(serve(ear, move |request| {
            let page = (request.target().starts_with("/instances")).then(|| town.page());
            async move { page.map_or(RpcResponse::error(404, "no such call"), |page| RpcResponse::json(&page)) }
        }));
    }

    fn settings(&self, no: usize) -> Settings {
        let machine = &self.machines[no];
        let zones: serde_json::Map<_, _> =
            ZONES.iter().map(|(zone, region)| (zone.to_string(), json!(region))).collect();
        let at = |port: u16| SocketAddr::new(machine.ip, port).to_string();
        let office = machine.disk.is_some();
        let listen = if office {
            json!({"control_plane": at(CONTROL), "directory_service": at(REGISTRY)})
        } else {
            json!({"frontend": at(FRONTEND), "readiness": at(READINESS)})
        };
        // As the operator's list had them when the file was written.
        let seeds = self.seeds.borrow().get(&no).cloned();
        let seeds = seeds.unwrap_or_else(|| self.control.borrow().iter().copied().take(SEEDS).collect());
        let seeds: Vec<_> = seeds.into_iter().map(|no| self.office(no).to_string()).collect();
        let text = json!({"node_name": machine.name, "ip_address": machine.ip.to_string(), "zone": machine.zone,
            "region": zones[machine.zone], "zones": zones, "listen_addresses": listen,
            "internal_ports": [INTERNAL, 7615], "seed_nodes": seeds, "initial_start": self.first.get(),
            "limits": {"memory_mb": 200, "file_descriptors": 1024},
            "data_directory": office.then_some("/data"),
            "limits_table": {"revocation_global": true, "revocation": "5000ms", "grace_period": "6s", "ttl_max": "5s",
                "rate_allowance": 20, "retry_ratio": 0.2, "retry_window": "10s", "retry_allowance": 56,
                "warmup_overshoot": 1.5, "warmup_allowance": 5},
            "fault_tolerance": {"machine_losses": (self.shape.offices - 1) / 2, "zones": 1, "region_losses": 0},
            "cloud_api": {"address": self.town.platform.to_string(), "rate_per_s": 44.0, "allowed_lag": "800ms"}});
        Settings::parse(text.to_string().as_bytes()).expect("settings that can be read")
    }

    /// Starts what does not run on a machine.
    pub fn boot(&self, no: usize) {
        let machine = &self.machines[no];
        // One that is not there yet, or was removed.
        if machine.disk.is_some() && !self.control.borrow().contains(&no) {
            return;
        }
        self.network.lit(machine.ip);
        let programs: &[Program] = if machine.disk.is_some() {
            &[Program::Postmaster]
        } else {
            &[Program::Sorter, Program::Carrier]
        };
        for &program in programs {
            if !machine.cages.borrow().contains_key(&program) {
                self.start(no, program);
            }
        }
        self.over(&Whom::Down(no));
    }

    fn start(&self, no: usize, program: Program) {
        let machine = &self.machines[no];
        machine.starts.set(machine.starts.get() + 1);
        let folder = machine.disk.clone().map(|disk| Rc::new(disk) as Rc<dyn Directory>);
        let mixed =
            self.seed.wrapping_mul(0x9e37_79b9).wrapping_add((no as u64) << 16 | machine.starts.get());
        let premises =
            Environment::new(self.network.at(machine.ip), folder, mixed).with_clock_rate(machine.rate);
        let (settings, set) = (self.settings(no), LocalSet::new());
        let (town, name) = (Rc::clone(&self.town), machine.name.clone());
        let said = move |ended: Result<(), String>| {
            let why = ended.err().unwrap_or_else(|| "it ended by itself".to_owned());
            town.history.borrow_mut().ended.push(format!("{name} {program:?}: {why}"));
        };
        match program {
            Program::Postmaster => {
                let controller = Rc::clone(&machine.controller);
                let (tell, end) = oneshot::channel();
                *machine.end.borrow_mut() = Some(tell);
                set.spawn_local(async move {
                    match vanewharf_controller::start(settings, premises).await {
                        Ok(started) => {
                            let started = Rc::new(started);
                            *controller.borrow_mut() = Some(Rc::clone(&started));
                            if end.await.is_ok() {
                                started.shut_down().await;
                            }
                            std::future::pending::<()>().await;
                        }
                        Err(error) => said(Err(error.to_string())),
                    }
                });
            }
            Program::Sorter => {
                set.spawn_local(async move {
                    let (keep, end) = oneshot::channel();
                    let ended = vanewharf_agent::run(settings, premises, end).await;
                    said(ended.map_err(|error| error.to_string()));
                    drop(keep);
                });
            }
            Program::Carrier => {
                let (door, town) = (no - self.shape.offices, Rc::clone(&self.town));
                let (network, asks) = (self.network.clone(), Rc::clone(&machine.asks));
                set.spawn_local(async move {
                    said(Door::run((door, town, network), settings, premises, asks).await);
                });
            }
        }
        let cage = Rc::new(RefCell::new(Cage {
            set: Some(set),
            program,
            spent: Rc::clone(&self.spent),
            frozen: false,
            waker: None,
        }));
        machine.cages.borrow_mut().insert(program, Rc::clone(&cage));
        tokio::task::spawn_local(Caged(cage));
    }

    /// These of a machine's processes, at once.
    pub fn kill(&self, no: usize, which: impl Fn(Program) -> bool) {
        self.befalls(Whom::Down(no));
        let machine = &self.machines[no];
        if which(Program::Postmaster) {
            machine.controller.borrow_mut().take();
        }
        if which(Program::Carrier) {
            machine.asks.borrow_mut().take();
            let door = no.wrapping_sub(self.shape.offices);
            self.town.feeds.borrow_mut().remove(&door);
        }
        let mut cages = machine.cages.borrow_mut();
        let gone: Vec<_> = cages.extract_if(.., |program, _| which(*program)).collect();
        for (_, cage) in gone {
            let set = cage.borrow_mut().set.take();
            drop(set);
            let waker = cage.borrow_mut().waker.take();
            waker.into_iter().for_each(Waker::wake);
        }
    }

    /// With whatever its disk has not synced.
    pub fn lose_power(&self, no: usize, left: Left) {
        self.network.dark(self.machines[no].ip);
        self.kill(no, |_| true);
        self.machines[no].disk.iter().for_each(|disk| disk.lose_power(left));
    }

    pub fn freeze(&self, no: usize, frozen: bool) {
        if frozen {
            self.befalls(Whom::Down(no));
        } else {
            self.over(&Whom::Down(no));
        }
        for cage in self.machines[no].cages.borrow().values() {
            let waker = {
                let mut cage = cage.borrow_mut();
                cage.frozen = frozen;
                cage.waker.clone()
            };
            waker.into_iter().filter(|_| !frozen).for_each(Waker::wake);
        }
    }

    /// Cuts some machines off from some others, or heals that; one way only the first are not heard.
    pub fn part(&self, (one, other): (&BTreeSet<usize>, &BTreeSet<usize>), one_way: bool, cut: bool) {
        for &a in one {
            for &b in other.iter().filter(|b| **b != a) {
                let (a, b) = (self.machines[a].ip, self.machines[b].ip);
                let ways = [(a, b), (b, a)];
                for (from, to) in ways.into_iter().take(if one_way { 1 } else { 2 }) {
                    if cut { self.network.cut(from, to) } else { self.network.heal(from, to) }
                }
            }
        }
    }

    /// A postmaster is told to end, as on a planned day.
    pub fn term(&self, no: usize) {
        self.befalls(Whom::Down(no));
        let told = self.machines[no].end.borrow_mut().take();
        if let Some(told) = told {
            // One that has ended is told nothing.
            let _ = told.send(());
        }
    }

    pub fn befalls(&self, whom: Whom) {
        let mut troubles = self.troubles.borrow_mut();
        // Of two cuts of the same machines each has its own end.
        let cut = matches!(whom, Whom::Parted(_));
        if cut || !troubles.iter().any(|trouble| trouble.whom == whom && trouble.ended.is_none()) {
            troubles.push(Trouble { begun: Instant::now(), ended: None, whom });
        }
    }

    pub fn over(&self, whom: &Whom) {
        let now = Instant::now();
        let mut troubles = self.troubles.borrow_mut();
        let open = troubles.iter_mut().filter(|trouble| trouble.whom == *whom && trouble.ended.is_none());
        let ended = if let Whom::Parted(_) = whom { 1 } else { usize::MAX };
        open.take(ended).for_each(|trouble| trouble.ended = Some(now));
    }

    /// Processor time that a kind of program took on this machine.
    pub fn spent(&self, program: Program) -> Duration {
        self.spent.borrow().get(&program).copied().unwrap_or_default()
    }

    pub fn holders(&self) -> usize {
        self.machines.iter().filter(|machine| machine.holds()).count()
    }

    /// Who takes orders now.
    pub fn holder(&self) -> Option<usize> {
        self.machines.iter().position(Machine::holds)
    }

    /// What a machine is told as seeds at its next start.
    pub fn reseed(&self, no: usize, seeds: Vec<usize>) {
        self.seeds.borrow_mut().insert(no, seeds);
    }

    /// A core machine is gone for good, with its disk.
    pub fn remove(&self, no: usize) {
        self.lose_power(no, Left::Nothing);
        self.machines[no].disk.iter().for_each(|disk| disk.wipe());
        self.control.borrow_mut().retain(|known| *known != no);
        self.moves.borrow_mut().push(Move { at: Instant::now(), no, came: false });
    }

    /// A core machine comes, with an empty disk at an address of its own.
    pub fn come(&self, no: usize) {
        self.control.borrow_mut().push(no);
        self.moves.borrow_mut().push(Move { at: Instant::now(), no, came: true });
        self.boot(no);
    }

    pub fn slow(&self, no: usize, rate: Option<u64>) {
        match rate {
            Some(_) => self.befalls(Whom::Slowed(no)),
            None => self.over(&Whom::Slowed(no)),
        }
        self.network.narrow(self.machines[no].ip, rate);
    }

    /// Whether a machine's programs run.
    pub fn runs(&self, no: usize) -> bool {
        let cages = self.machines[no].cages.borrow();
        !cages.is_empty() && cages.values().all(|cage| !cage.borrow().frozen)
    }
}
