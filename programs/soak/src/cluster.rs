//! The processes of one run: controllers, and proxies with their agents, each machine on a loopback address of its own.

use crate::fault_plan::{Action, CONTROLLERS, MACHINES};
use crate::faulty_network::NetworkFaults;
use crate::history::{Kill, SharedHistory};
use crate::node::NodeProgram;
use crate::process::{NodeFiles, NodeProcess, complaints};
use rustix::process::Signal;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Instant;
use tempfile::TempDir;
use vanewharf_testkit::backend::{Behavior, FakeBackend};
use vanewharf_testkit::cluster::{PLATFORM_HOST, Subnet, start_backends};
use vanewharf_testkit::platform::{FakePlatform, Lifecycle};
use vanewharf_testkit::settings::{
    CONTROL_PORT, FRONTEND_PORT, MachineSettings, ZONES, default_limits_table,
};

struct Machine {
    name: String,
    ip: IpAddr,
    zone: &'static str,
    /// Whether its programs are started again when they end.
    is_up: bool,
    faults: NetworkFaults,
    programs: Vec<(NodeProgram, Option<NodeProcess>)>,
}

/// The cluster of one run. Dropping it kills all processes.
pub struct SoakCluster {
    executable: PathBuf,
    directory: TempDir,
    machines: Vec<Machine>,
    platform: FakePlatform,
    backends: Vec<FakeBackend>,
    history: SharedHistory,
    initial_start: bool,
}

impl SoakCluster {
    /// Starts all processes on empty disks.
    ///
    /// # Errors
    ///
    /// Where files cannot be written or processes cannot be started.
    pub fn start(executable: &Path, history: SharedHistory) -> io::Result<SoakCluster> {
        let subnet = Subnet::random();
        let backends = start_backends(subnet);
        let platform = FakePlatform::start(subnet.ip(PLATFORM_HOST));
        let available: Vec<_> = backends.iter().map(|backend| (backend, Lifecycle::Available)).collect();
        platform.set_instances(&available);
        let mut cluster = SoakCluster {
            executable: executable.to_owned(),
            directory: TempDir::new()?,
            machines: (0..MACHINES).map(|number| new_machine(number, subnet)).collect(),
            platform,
            backends,
            history,
            initial_start: true,
        };
        (0..MACHINES).try_for_each(|machine| cluster.start_machine(machine))?;
        cluster.initial_start = false;
        Ok(cluster)
    }

    /// The backends, which record what they run.
    pub fn backends(&self) -> &[FakeBackend] {
        &self.backends
    }

    /// Where the controllers listen for operators.
    pub fn controller_addresses(&self) -> Vec<SocketAddr> {
        self.machines[..CONTROLLERS].iter().map(|machine| SocketAddr::new(machine.ip, CONTROL_PORT)).collect()
    }

    /// The proxies' machines, and where they listen for clients.
    pub fn proxy_addresses(&self) -> Vec<(usize, SocketAddr)> {
        let proxies = self.machines.iter().enumerate().skip(CONTROLLERS);
        proxies.map(|(number, machine)| (number, SocketAddr::new(machine.ip, FRONTEND_PORT))).collect()
    }

    /// Carries out an action.
    ///
    /// # Errors
    ///
    /// Where files cannot be written or processes cannot be started.
    pub fn execute(&mut self, action: Action) -> io::Result<()> {
        match action {
            Action::Kill(machine) => self.kill_machine(machine),
            Action::Terminate(machine) => self.terminate_machine(machine),
            Action::Start(machine) => return self.start_machine(machine),
            Action::Pause(machine) => self.hold_up(machine, Signal::STOP),
            Action::Resume(machine) => self.hold_up(machine, Signal::CONT),
            Action::WipeDisk(controller) => return self.wipe_disk(controller),
            Action::Cut(machine, peer) => {
                let peer = self.machines[peer].ip;
                return self.change_faults(machine, |faults| faults.set_cut_off(peer, true));
            }
            Action::Heal(machine, peer) => {
                let peer = self.machines[peer].ip;
                return self.change_faults(machine, |faults| faults.set_cut_off(peer, false));
            }
            Action::LoseAnswers(machine, part) => {
                return self.change_faults(machine, |faults| faults.answer_loss = part);
            }
            Action::SetBackends(behavior) => self.set_backends(behavior),
        }
        Ok(())
    }

    /// Ends all faults, and starts what does not run.
    ///
    /// # Errors
    ///
    /// Where files cannot be written or processes cannot be started.
    pub fn heal(&mut self) -> io::Result<()> {
        self.set_backends(Behavior::Serves);
        for machine in 0..MACHINES {
            self.hold_up(machine, Signal::CONT);
            self.change_faults(machine, |faults| *faults = NetworkFaults::default())?;
            self.start_machine(machine)?;
        }
        Ok(())
    }

    /// Records processes that have ended without having been told to, or not in order, and starts them again.
    ///
    /// # Errors
    ///
    /// Where processes cannot be started.
    pub fn supervise(&mut self) -> io::Result<()> {
        for machine in 0..MACHINES {
            self.record_exits(machine);
            if self.machines[machine].is_up {
                self.start_machine(machine)?;
            }
        }
        Ok(())
    }

    /// Whether no process of a machine runs.
    pub fn has_exited(&mut self, machine: usize) -> bool {
        self.record_exits(machine);
        self.machines[machine].programs.iter().all(|(_, process)| process.is_none())
    }

    /// The lines of all logs that say that a process did what it must never do.
    pub fn complaints(&self) -> Vec<String> {
        let programs = self.machines.iter().flat_map(|machine| {
            machine.programs.iter().map(move |(program, _)| (machine.name.as_str(), *program))
        });
        programs.flat_map(|(name, program)| complaints(&self.log_path(name, program))).collect()
    }

    /// Keeps the directory with all logs and disks, and returns its path.
    pub fn keep_directory(self) -> PathBuf {
        let SoakCluster { directory, machines, .. } = self;
        drop(machines);
        directory.keep()
    }

    fn start_machine(&mut self, number: usize) -> io::Result<()> {
        self.record_exits(number);
        self.write_settings(number)?;
        let name = self.machines[number].name.clone();
        for position in 0..self.machines[number].programs.len() {
            let (program, process) = &self.machines[number].programs[position];
            if process.is_none() {
                let process = NodeProcess::start(*program, &self.files_of(&name, *program))?;
                self.machines[number].programs[position].1 = Some(process);
            }
        }
        self.machines[number].is_up = true;
        Ok(())
    }

    fn files_of(&self, machine: &str, program: NodeProgram) -> NodeFiles {
        NodeFiles {
            executable: self.executable.clone(),
            settings: self.path(machine, "settings.json"),
            faults: self.path(machine, "faults"),
            log: self.log_path(machine, program),
        }
    }

    fn kill_machine(&mut self, number: usize) {
        self.record_exits(number);
        let machine = &mut self.machines[number];
        machine.is_up = false;
        // Dropped: killed and waited for.
        machine.programs.iter_mut().for_each(|(_, process)| *process = None);
        self.history.lock().kills.push(Kill { machine: number, at: Instant::now() });
    }

    fn terminate_machine(&mut self, number: usize) {
        self.record_exits(number);
        self.machines[number].is_up = false;
        let processes = self.machines[number].programs.iter_mut().filter_map(|(_, process)| process.as_mut());
        processes.for_each(NodeProcess::terminate);
    }

    fn hold_up(&self, number: usize, signal: Signal) {
        let processes = self.machines[number].programs.iter().filter_map(|(_, process)| process.as_ref());
        processes.for_each(|process| process.signal(signal));
    }

    fn wipe_disk(&mut self, controller: usize) -> io::Result<()> {
        self.kill_machine(controller);
        let disk = self.path(&self.machines[controller].name, "disk");
        if disk.exists() { std::fs::remove_dir_all(disk) } else { Ok(()) }
    }

    fn set_backends(&self, behavior: Behavior) {
        self.backends.iter().for_each(|backend| backend.set_behavior(behavior));
    }

    fn change_faults(&mut self, number: usize, change: impl FnOnce(&mut NetworkFaults)) -> io::Result<()> {
        change(&mut self.machines[number].faults);
        let Machine { name, faults, .. } = &self.machines[number];
        faults.write(&self.path(name, "faults"))
    }

    /// Forgets processes that have ended. One that was not told to end, or ended with a failure, is recorded.
    fn record_exits(&mut self, number: usize) {
        let Machine { name, programs, .. } = &mut self.machines[number];
        for (program, slot) in programs {
            let Some((process, status)) =
                slot.as_mut().and_then(|process| process.exit_status().map(|status| (process, status)))
            else {
                continue;
            };
            if let Err(unexpected) = process.check_exit(status) {
                let complaint = format!("{name}/{}: {unexpected}", program.name());
                self.history.lock().complaints.push(complaint);
            }
            *slot = None;
        }
    }

    fn write_settings(&self, number: usize) -> io::Result<()> {
        let Machine { name, ip, zone, faults, .. } = &self.machines[number];
        std::fs::create_dir_all(self.directory.path().join(name))?;
        let limits_table = default_limits_table();
        let settings = MachineSettings {
            name,
            ip: *ip,
            zone,
            data_directory: (number < CONTROLLERS).then(|| self.path(name, "disk")),
            seed_ips: self.machines[..CONTROLLERS].iter().map(|seed| seed.ip).collect(),
            initial_start: self.initial_start,
            limits_table: &limits_table,
            machine_losses: (CONTROLLERS - 1) / 2,
            platform: self.platform.address,
        };
        std::fs::write(self.path(name, "settings.json"), settings.to_text())?;
        faults.write(&self.path(name, "faults"))
    }

    fn path(&self, machine: &str, file: &str) -> PathBuf {
        self.directory.path().join(machine).join(file)
    }

    fn log_path(&self, machine: &str, program: NodeProgram) -> PathBuf {
        self.path(machine, &format!("{}.log", program.name()))
    }
}

fn new_machine(number: usize, subnet: Subnet) -> Machine {
    let is_controller = number < CONTROLLERS;
    let programs: &[NodeProgram] =
        if is_controller { &[NodeProgram::Controller] } else { &[NodeProgram::Agent, NodeProgram::Proxy] };
    let name = if is_controller {
        format!("central-{number}")
    } else {
        format!("frontend-{}", number - CONTROLLERS)
    };
    Machine {
        name,
        ip: subnet.ip(number + 1),
        zone: ZONES[number % ZONES.len()].0,
        is_up: true,
        faults: NetworkFaults::default(),
        programs: programs.iter().map(|program| (*program, None)).collect(),
    }
}
