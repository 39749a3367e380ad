//! The cluster of one run: processes for controllers, and for proxies with their agents. Each machine has its own loopback
//! address.

use crate::fault_plan::{Action, CONTROLLERS, MACHINES};
use crate::faulty_network::NetworkFaults;
use crate::files;
use crate::history::{Kill, SharedHistory};
use crate::node::NodeProgram;
use crate::process::{NodeFiles, NodeProcess, logged_violations};
use rustix::process::Signal;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Instant;
use tempfile::TempDir;
use vanewharf_testkit::backend::{Behavior, FakeBackend};
use vanewharf_testkit::cluster::{PLATFORM_HOST, start_backends};
use vanewharf_testkit::platform::{FakePlatform, Lifecycle};
use vanewharf_testkit::settings::{
    CONTROL_PORT, FRONTEND_PORT, MachineSettings, ZONES, default_limits_table,
};
use vanewharf_testkit::subnet::Subnet;

struct Machine {
    name: String,
    ip: IpAddr,
    zone: &'static str,
    /// Whether programs of the machine are restarted when they exit.
    is_up: bool,
    faults: NetworkFaults,
    programs: Vec<(NodeProgram, Option<NodeProcess>)>,
}

/// The cluster of one run. Dropping it kills all processes and deletes their files.
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
    /// Starts all processes with empty data directories.
    ///
    /// # Errors
    ///
    /// If a file cannot be written or a process cannot be started.
    pub fn start(executable: &Path, history: SharedHistory) -> io::Result<SoakCluster> {
        let subnet = Subnet::reserve();
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

    /// Returns the backends, which record the requests that they execute.
    pub fn backends(&self) -> &[FakeBackend] {
        &self.backends
    }

    /// Returns the addresses on which the controllers accept requests of operators.
    pub fn controller_addresses(&self) -> Vec<SocketAddr> {
        self.machines[..CONTROLLERS].iter().map(|machine| SocketAddr::new(machine.ip, CONTROL_PORT)).collect()
    }

    /// Returns the machine number of each proxy and the address on which it accepts requests of clients.
    pub fn proxy_addresses(&self) -> Vec<(usize, SocketAddr)> {
        let proxies = self.machines.iter().enumerate().skip(CONTROLLERS);
        proxies.map(|(number, machine)| (number, SocketAddr::new(machine.ip, FRONTEND_PORT))).collect()
    }

    /// Executes an action.
    ///
    /// # Errors
    ///
    /// If a file cannot be written or deleted, or a process cannot be started.
    pub fn execute(&mut self, action: Action) -> io::Result<()> {
        match action {
            Action::Kill(machine) => self.kill_machine(machine),
            Action::Terminate(machine) => self.terminate_machine(machine),
            Action::Start(machine) => return self.start_machine(machine),
            Action::Pause(machine) => self.signal_machine(machine, Signal::STOP),
            Action::Resume(machine) => self.signal_machine(machine, Signal::CONT),
            Action::WipeDisk(controller) => return self.wipe_disk(controller),
            Action::Partition(machine, peer) => {
                let peer = self.machines[peer].ip;
                return self.change_faults(machine, |faults| faults.set_partitioned(peer, true));
            }
            Action::Heal(machine, peer) => {
                let peer = self.machines[peer].ip;
                return self.change_faults(machine, |faults| faults.set_partitioned(peer, false));
            }
            Action::LoseResponses(machine, rate) => {
                return self.change_faults(machine, |faults| faults.response_loss_rate = rate);
            }
            Action::SetBackends(behavior) => self.set_backends(behavior),
        }
        Ok(())
    }

    /// Ends all faults and starts all programs that are not running.
    ///
    /// # Errors
    ///
    /// If a file cannot be written or a process cannot be started.
    pub fn end_all_faults(&mut self) -> io::Result<()> {
        self.set_backends(Behavior::Serves);
        for machine in 0..MACHINES {
            self.signal_machine(machine, Signal::CONT);
            self.change_faults(machine, |faults| *faults = NetworkFaults::default())?;
            self.start_machine(machine)?;
        }
        Ok(())
    }

    /// Records unexpected exits of processes, and restarts the programs of all machines that are up.
    ///
    /// # Errors
    ///
    /// If a file cannot be written or a process cannot be started.
    pub fn supervise(&mut self) -> io::Result<()> {
        for machine in 0..MACHINES {
            self.record_exits(machine);
            if self.machines[machine].is_up {
                self.start_machine(machine)?;
            }
        }
        Ok(())
    }

    /// Returns whether all processes of a machine have exited. Records unexpected exits.
    pub fn has_exited(&mut self, machine: usize) -> bool {
        self.record_exits(machine);
        self.machines[machine].programs.iter().all(|(_, process)| process.is_none())
    }

    /// Returns the lines of all logs that report a violation.
    pub fn logged_violations(&self) -> Vec<String> {
        let programs = self.machines.iter().flat_map(|machine| {
            machine.programs.iter().map(move |(program, _)| (machine.name.as_str(), *program))
        });
        programs.flat_map(|(name, program)| logged_violations(&self.log_path(name, program))).collect()
    }

    /// Kills all processes, but keeps the directory with their logs and data. Returns its path.
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
                let process = NodeProcess::start(*program, &self.node_files(&name, *program))?;
                self.machines[number].programs[position].1 = Some(process);
            }
        }
        self.machines[number].is_up = true;
        Ok(())
    }

    fn node_files(&self, machine: &str, program: NodeProgram) -> NodeFiles {
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
        // Dropping a process kills it and waits until it has exited.
        machine.programs.iter_mut().for_each(|(_, process)| *process = None);
        self.history.lock().kills.push(Kill { machine: number, at: Instant::now() });
    }

    fn terminate_machine(&mut self, number: usize) {
        self.record_exits(number);
        self.machines[number].is_up = false;
        let processes = self.machines[number].programs.iter_mut().filter_map(|(_, process)| process.as_mut());
        processes.for_each(NodeProcess::terminate);
    }

    fn signal_machine(&self, number: usize, signal: Signal) {
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

    /// Removes processes that have exited. Records exits that were not requested or not graceful.
    fn record_exits(&mut self, number: usize) {
        let Machine { name, programs, .. } = &mut self.machines[number];
        for (program, slot) in programs {
            let Some((process, status)) =
                slot.as_mut().and_then(|process| process.exit_status().map(|status| (process, status)))
            else {
                continue;
            };
            if let Err(unexpected) = process.check_exit(status) {
                let violation = format!("{name}/{}: {unexpected}", program.name());
                self.history.lock().process_violations.push(violation);
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
        // A program may be reading its settings at this moment.
        files::replace(&self.path(name, "settings.json"), &settings.to_text())?;
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
