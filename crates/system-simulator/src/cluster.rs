//! The machines of a simulated system and the real programs that run on them. Programs can be killed and frozen;
//! machines can lose power or their disk, be disconnected, removed and added.
//!
//! Machines are numbered from 0: first the initial controllers, then the proxies, then the spare controllers, which are
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

/// XORed into the run's seed so that clock rates are independent of other values drawn from it.
const CLOCK_SEED_SALT: u64 = 0xc10c;
/// Upper bound of a message's random delay in a cluster with erratic timing.
const ERRATIC_MAX_JITTER: Duration = Duration::from_millis(60);

/// Selects programs of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProgramSelection {
    /// All programs.
    All,
    /// Only this program.
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
    /// Both directions.
    Both,
    /// Only from the first group to the second.
    Outbound,
}

/// The addition or permanent removal of a controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ControllerChange {
    /// When the controller was added or removed.
    pub at: Instant,
    /// The machine's number.
    pub machine: usize,
    /// Whether it was added or removed.
    pub kind: ControllerChangeKind,
}

/// Whether a controller was added or removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControllerChangeKind {
    /// The machine was added with an empty disk.
    Added,
    /// The machine was removed together with its disk.
    Removed,
}

/// A simulated system.
pub struct Cluster {
    /// Size and load of the system.
    pub parameters: SimulationParameters,
    /// The state of the backends, and everything that was observed.
    pub ground_truth: Rc<GroundTruth>,
    /// The network between the machines.
    pub network: SimulatedNetwork,
    /// All machines by number, including spares and removed ones.
    pub machines: Vec<Machine>,
    /// The faults of the machines so far.
    pub faults: FaultLog,
    /// The operators' list of controllers. The seed nodes of a machine are its first entries.
    pub active_controllers: RefCell<Vec<usize>>,
    /// Changes of `active_controllers`, in the order in which they happened.
    pub controller_changes: RefCell<Vec<ControllerChange>>,
    /// Seed nodes of machines that do not use the first entries of `active_controllers`.
    seed_overrides: RefCell<BTreeMap<usize, Vec<usize>>>,
    initial_start: Cell<bool>,
    operators_have_stopped: Cell<bool>,
    seed: u64,
    cpu_times: CpuTimes,
}

impl Cluster {
    /// Creates a cluster without spares and without clock drift. No machine is started yet.
    pub fn new(parameters: SimulationParameters, seed: u64) -> Rc<Cluster> {
        Cluster::with_spares(parameters, seed, 0, 0.0)
    }

    /// Creates a cluster with spare controllers, whose monotonic clocks are fast or slow by at most the fraction
    /// `clock_drift`. No machine is started yet.
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

    /// Makes the durations of disk operations and the delays of messages vary so widely that they complete in any
    /// order.
    pub fn enable_erratic_delays(&self) {
        self.network.set_max_jitter(ERRATIC_MAX_JITTER);
        for (number, machine) in self.machines.iter().enumerate() {
            machine.disk.iter().for_each(|disk| disk.enable_random_latency(self.seed ^ number as u64));
        }
    }

    /// The address at which a controller serves operators.
    pub fn controller_address(&self, machine: usize) -> SocketAddr {
        SocketAddr::new(self.machines[machine].ip, CONTROL_PORT)
    }

    /// The address at which a controller serves the system's internal RPC.
    pub fn internal_address(&self, machine: usize) -> SocketAddr {
        SocketAddr::new(self.machines[machine].ip, INTERNAL_PORT)
    }

    /// Starts the cloud platform's API, the initial controllers and the proxies.
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

    /// Powers on a machine and starts those of its programs that are not running. Does nothing for a controller that is
    /// not in `active_controllers`.
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

    /// Kills programs of a machine and drops their connections and open files.
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

    /// Cuts a machine's power and kills its programs. `unsynced` says what its disk loses of the data that was not
    /// synced.
    pub fn lose_power(&self, number: usize, unsynced: UnsyncedData) {
        let machine = &self.machines[number];
        self.network.power_off(machine.ip);
        self.kill(number, ProgramSelection::All);
        machine.disk.iter().for_each(|disk| disk.lose_power(unsynced));
    }

    /// Deletes all data on a machine's disk.
    pub fn wipe_disk(&self, number: usize) {
        self.faults.record_disk_loss(number);
        self.machines[number].disk.iter().for_each(SimulatedDisk::wipe);
    }

    /// Cuts a machine's power and restores its disk to an earlier image.
    pub fn roll_back_disk(&self, number: usize, image: &DiskImage) {
        self.lose_power(number, UnsyncedData::Lost);
        self.machines[number].disk.iter().for_each(|disk| disk.roll_back(image));
    }

    /// Suspends a machine's programs, as SIGSTOP does.
    pub fn freeze(&self, number: usize) {
        self.faults.begin(FaultScope::Down(number));
        self.machines[number].processes.borrow().values().for_each(Process::freeze);
    }

    /// Resumes a machine's suspended programs.
    pub fn resume(&self, number: usize) {
        let processes = self.machines[number].processes.borrow();
        processes.values().for_each(Process::resume);
        // A machine whose programs were killed while they were suspended stays down.
        if !processes.is_empty() {
            self.faults.end(&FaultScope::Down(number));
        }
    }

    /// Cuts the links between two groups of machines.
    pub fn cut_links(&self, one: &BTreeSet<usize>, other: &BTreeSet<usize>, direction: CutDirection) {
        self.for_each_link(one, other, direction, |from, to| self.network.cut(from, to));
    }

    /// Undoes one cut of the links between two groups of machines.
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
            // Sending fails if the controller has already exited.
            let _ = shutdown.send(());
        }
    }

    /// Host CPU time that all processes of this program have used so far.
    pub fn cpu_time(&self, program: Program) -> Duration {
        self.cpu_times.of(program)
    }

    /// Stops operators from sending further commands; they may still read.
    pub fn stop_operators(&self) {
        self.operators_have_stopped.set(true);
    }

    /// Whether operators send no further commands.
    pub fn operators_have_stopped(&self) -> bool {
        self.operators_have_stopped.get()
    }

    /// The number of controllers that consider themselves leaseholder.
    pub fn leaseholder_count(&self) -> usize {
        self.machines.iter().filter(|machine| machine.holds_lease()).count()
    }

    /// The first controller that considers itself leaseholder.
    pub fn leaseholder(&self) -> Option<usize> {
        self.machines.iter().position(Machine::holds_lease)
    }

    /// Sets the seed nodes that a machine uses from its next start on.
    pub fn set_seed_nodes(&self, number: usize, seeds: Vec<usize>) {
        self.seed_overrides.borrow_mut().insert(number, seeds);
    }

    /// Removes a controller and its disk permanently.
    pub fn remove_controller(&self, number: usize) {
        self.lose_power(number, UnsyncedData::Lost);
        self.wipe_disk(number);
        self.active_controllers.borrow_mut().retain(|known| *known != number);
        self.record_controller_change(number, ControllerChangeKind::Removed);
    }

    /// Adds a spare controller and starts it with an empty disk.
    pub fn add_controller(&self, number: usize) {
        self.active_controllers.borrow_mut().push(number);
        self.record_controller_change(number, ControllerChangeKind::Added);
        self.start_machine(number);
    }

    fn record_controller_change(&self, machine: usize, kind: ControllerChangeKind) {
        self.controller_changes.borrow_mut().push(ControllerChange { at: Instant::now(), machine, kind });
    }

    /// Limits a machine's outgoing bandwidth; `None` lifts the limit.
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
