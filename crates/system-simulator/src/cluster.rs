//! The machines of a simulated system and the real programs on them: they can be killed, frozen, lose power or their
//! disk, be cut off, be removed and be added.
//!
//! Machines are numbered: first the controllers of the first start, then the proxies, then spare controllers, which are
//! not started until they are added.

mod fault_log;
mod machine;
mod process;
mod settings;
mod start;

pub use fault_log::{FaultLog, FaultRecord, FaultScope};
pub use machine::Machine;
pub use process::Program;

use crate::disk::{DiskImage, SimulatedDisk, UnsyncedData};
use crate::ground_truth::GroundTruth;
use crate::network::SimulatedNetwork;
use crate::topology::{CONTROL_PORT, INTERNAL_PORT, SimulationParameters, location_of, platform_address};
use machine::{draw_clock_rate, new_machine};
use process::{CpuTimes, Process};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;
use vanewharf_rpc::{RpcResponse, serve};

/// Separates the draw of clock rates from other draws of the same seed.
const CLOCK_SEED_SALT: u64 = 0xc10c;
/// By how much a message may be late in an erratic system.
const ERRATIC_MAX_JITTER: Duration = Duration::from_millis(60);

/// Which of a machine's programs are meant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProgramSelection {
    /// All of them.
    All,
    /// Only this one.
    Only(Program),
}

impl ProgramSelection {
    fn includes(self, program: Program) -> bool {
        match self {
            ProgramSelection::All => true,
            ProgramSelection::Only(selected) => selected == program,
        }
    }
}

/// Which directions between two groups of machines are cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutDirection {
    /// Both.
    Both,
    /// Only from the first group to the second.
    Outbound,
}

/// A controller was removed for good, or a new one was added.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ControllerChange {
    /// When it happened.
    pub at: Instant,
    /// The machine's number.
    pub machine: usize,
    /// What happened.
    pub kind: ControllerChangeKind,
}

/// What happened to a controller's machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControllerChangeKind {
    /// It came with an empty disk.
    Added,
    /// It is gone with its disk.
    Removed,
}

/// A simulated system.
pub struct Cluster {
    /// Its size.
    pub parameters: SimulationParameters,
    /// The backends and everything that was observed.
    pub ground_truth: Rc<GroundTruth>,
    /// Connects the machines.
    pub network: SimulatedNetwork,
    /// All machines, also spares and those that were removed.
    pub machines: Vec<Machine>,
    /// What happened to machines.
    pub faults: FaultLog,
    /// The controllers of the operators' list, in its order.
    pub active_controllers: RefCell<Vec<usize>>,
    /// How that list has changed.
    pub controller_changes: RefCell<Vec<ControllerChange>>,
    /// Seed nodes of machines that do not get the first of the operators' list.
    seed_overrides: RefCell<BTreeMap<usize, Vec<usize>>>,
    initial_start: Cell<bool>,
    operators_have_stopped: Cell<bool>,
    seed: u64,
    cpu_times: CpuTimes,
}

impl Cluster {
    /// A cluster without spares whose clocks run true; nothing is started yet.
    pub fn new(parameters: SimulationParameters, seed: u64) -> Rc<Cluster> {
        Cluster::with_spares(parameters, seed, 0, 0.0)
    }

    /// A cluster with spare controllers, and monotonic clocks that are fast or slow by up to `clock_drift`, a part of 1.
    pub fn with_spares(
        parameters: SimulationParameters,
        seed: u64,
        spares: usize,
        clock_drift: f64,
    ) -> Rc<Cluster> {
        let mut rng = SmallRng::seed_from_u64(seed ^ CLOCK_SEED_SALT);
        let network = SimulatedNetwork::new(seed);
        let mut machines = Vec::new();
        for number in 0..parameters.controllers + parameters.proxies + spares {
            let machine = new_machine(&parameters, number, draw_clock_rate(&mut rng, clock_drift));
            network.add_machine(machine.ip, location_of(machine.zone));
            machines.push(machine);
        }
        Rc::new(Cluster {
            parameters,
            ground_truth: Rc::new(GroundTruth::new(platform_address())),
            network,
            machines,
            faults: FaultLog::default(),
            active_controllers: RefCell::new((0..parameters.controllers).collect()),
            controller_changes: RefCell::default(),
            seed_overrides: RefCell::default(),
            initial_start: Cell::new(true),
            operators_have_stopped: Cell::new(false),
            seed,
            cpu_times: CpuTimes::default(),
        })
    }

    /// From now on disk operations and messages take times that differ much, and complete in any order.
    pub fn make_erratic(&self) {
        self.network.set_max_jitter(ERRATIC_MAX_JITTER);
        for (number, machine) in self.machines.iter().enumerate() {
            machine.disk.iter().for_each(|disk| disk.enable_random_latency(self.seed ^ number as u64));
        }
    }

    /// Where a controller listens for operators.
    pub fn controller_address(&self, machine: usize) -> SocketAddr {
        SocketAddr::new(self.machines[machine].ip, CONTROL_PORT)
    }

    /// Where a controller listens for the system's own RPC.
    pub fn internal_address(&self, machine: usize) -> SocketAddr {
        SocketAddr::new(self.machines[machine].ip, INTERNAL_PORT)
    }

    /// The first start of all machines.
    pub fn start(&self) {
        self.serve_platform();
        let count = self.parameters.controllers + self.parameters.proxies;
        (0..count).for_each(|machine| self.start_machine(machine));
        self.initial_start.set(false);
    }

    fn serve_platform(&self) {
        let ground_truth = Rc::clone(&self.ground_truth);
        let address = ground_truth.platform_address;
        let listener = self.network.interface(address.ip()).listen(address).expect("a free address");
        tokio::task::spawn_local(serve(listener, move |request| {
            let instances =
                request.target().starts_with("/instances").then(|| ground_truth.listed_instances());
            async move {
                let not_found = RpcResponse::error(404, "no such call");
                instances.map_or(not_found, |instances| RpcResponse::json(&instances))
            }
        }));
    }

    /// Starts those of a machine's programs that do not run; does nothing where the operators' list does not have it.
    pub fn start_machine(&self, number: usize) {
        let machine = &self.machines[number];
        if machine.is_controller() && !self.active_controllers.borrow().contains(&number) {
            return;
        }
        self.network.power_on(machine.ip);
        let programs: &[Program] =
            if machine.is_controller() { &[Program::Controller] } else { &[Program::Agent, Program::Proxy] };
        for &program in programs {
            if !machine.processes.borrow().contains_key(&program) {
                self.start_program(number, program);
            }
        }
        self.faults.end(&FaultScope::Down(number));
    }

    /// Kills programs of a machine with everything that they have open.
    pub fn kill(&self, number: usize, selection: ProgramSelection) {
        self.faults.begin(FaultScope::Down(number));
        let machine = &self.machines[number];
        if selection.includes(Program::Controller) {
            machine.controller.borrow_mut().take();
        }
        if selection.includes(Program::Proxy) {
            machine.requests.borrow_mut().take();
            let proxy = number.wrapping_sub(self.parameters.controllers);
            self.ground_truth.publishers.borrow_mut().remove(&proxy);
        }
        let mut processes = machine.processes.borrow_mut();
        let killed: Vec<_> = processes.extract_if(.., |program, _| selection.includes(*program)).collect();
        killed.into_iter().for_each(|(_, process)| process.kill());
    }

    /// Cuts a machine's power: its programs are killed, and its disk loses what this says of what was not synced.
    pub fn lose_power(&self, number: usize, unsynced: UnsyncedData) {
        let machine = &self.machines[number];
        self.network.power_off(machine.ip);
        self.kill(number, ProgramSelection::All);
        machine.disk.iter().for_each(|disk| disk.lose_power(unsynced));
    }

    /// Deletes what is on a machine's disk.
    pub fn wipe_disk(&self, number: usize) {
        self.faults.record_disk_loss(number);
        self.machines[number].disk.iter().for_each(SimulatedDisk::wipe);
    }

    /// Cuts a machine's power, and its disk forgets what was written since an image.
    pub fn roll_back_disk(&self, number: usize, image: &DiskImage) {
        self.lose_power(number, UnsyncedData::Lost);
        self.machines[number].disk.iter().for_each(|disk| disk.roll_back(image));
    }

    /// Stops a machine's programs where they are, as SIGSTOP does.
    pub fn freeze(&self, number: usize) {
        self.faults.begin(FaultScope::Down(number));
        self.machines[number].processes.borrow().values().for_each(Process::freeze);
    }

    /// Lets frozen programs go on.
    pub fn resume(&self, number: usize) {
        let processes = self.machines[number].processes.borrow();
        processes.values().for_each(Process::resume);
        // One that was killed meanwhile stays down.
        if !processes.is_empty() {
            self.faults.end(&FaultScope::Down(number));
        }
    }

    /// Cuts the links between two groups of machines.
    pub fn cut_links(&self, one: &BTreeSet<usize>, other: &BTreeSet<usize>, direction: CutDirection) {
        self.for_each_link(one, other, direction, |from, to| self.network.cut(from, to));
    }

    /// Heals the links between two groups of machines, once for each time that they were cut.
    pub fn heal_links(&self, one: &BTreeSet<usize>, other: &BTreeSet<usize>, direction: CutDirection) {
        self.for_each_link(one, other, direction, |from, to| self.network.heal(from, to));
    }

    fn for_each_link(
        &self,
        one: &BTreeSet<usize>,
        other: &BTreeSet<usize>,
        direction: CutDirection,
        mut change: impl FnMut(IpAddr, IpAddr),
    ) {
        for &a in one {
            for &b in other.iter().filter(|b| **b != a) {
                let (a, b) = (self.machines[a].ip, self.machines[b].ip);
                change(a, b);
                if direction == CutDirection::Both {
                    change(b, a);
                }
            }
        }
    }

    /// Asks a controller to shut down, as SIGTERM does.
    pub fn request_shutdown(&self, number: usize) {
        self.faults.begin(FaultScope::Down(number));
        if let Some(shutdown) = self.machines[number].shutdown.borrow_mut().take() {
            // A controller that has ended does not listen any more.
            let _ = shutdown.send(());
        }
    }

    /// CPU time of the machine that simulates that this kind of program took so far.
    pub fn cpu_time(&self, program: Program) -> Duration {
        self.cpu_times.of(program)
    }

    /// Operators begin no call any more, but for reads.
    pub fn stop_operators(&self) {
        self.operators_have_stopped.set(true);
    }

    /// Whether operators begin no call any more.
    pub fn operators_have_stopped(&self) -> bool {
        self.operators_have_stopped.get()
    }

    /// How many controllers hold the lease, by their own account.
    pub fn leaseholder_count(&self) -> usize {
        self.machines.iter().filter(|machine| machine.holds_lease()).count()
    }

    /// The first controller that holds the lease, by its own account.
    pub fn leaseholder(&self) -> Option<usize> {
        self.machines.iter().position(Machine::holds_lease)
    }

    /// Sets the seed nodes of a machine from its next start on.
    pub fn set_seed_nodes(&self, number: usize, seeds: Vec<usize>) {
        self.seed_overrides.borrow_mut().insert(number, seeds);
    }

    /// Removes a controller for good, with its disk.
    pub fn remove_controller(&self, number: usize) {
        self.lose_power(number, UnsyncedData::Lost);
        self.wipe_disk(number);
        self.active_controllers.borrow_mut().retain(|known| *known != number);
        self.record_controller_change(number, ControllerChangeKind::Removed);
    }

    /// Adds a spare controller, which starts with an empty disk.
    pub fn add_controller(&self, number: usize) {
        self.active_controllers.borrow_mut().push(number);
        self.record_controller_change(number, ControllerChangeKind::Added);
        self.start_machine(number);
    }

    fn record_controller_change(&self, machine: usize, kind: ControllerChangeKind) {
        self.controller_changes.borrow_mut().push(ControllerChange { at: Instant::now(), machine, kind });
    }

    /// Slows a machine's link to this many bytes per second; `None` ends that.
    pub fn limit_bandwidth(&self, number: usize, bytes_per_second: Option<u64>) {
        match bytes_per_second {
            Some(_) => self.faults.begin(FaultScope::SlowLink(number)),
            None => self.faults.end(&FaultScope::SlowLink(number)),
        }
        self.network.limit_bandwidth(self.machines[number].ip, bytes_per_second);
    }

    /// Whether a machine has processes and none of them is frozen.
    pub fn is_running(&self, number: usize) -> bool {
        let processes = self.machines[number].processes.borrow();
        !processes.is_empty() && !processes.values().any(Process::is_frozen)
    }
}
