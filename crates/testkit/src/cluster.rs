//! A test cluster: machines with a loopback address each, the programs on them, and what clients and operators do.
//!
//! Controllers are machines `0..controllers`; proxies follow them. Methods that take a `machine` count over both,
//! those that take a `proxy` or a `controller` count from the first of its kind.

use crate::backend::FakeBackend;
use crate::http::{self, Message};
use crate::platform::{FakePlatform, Lifecycle};
use crate::process::{Process, Program};
use crate::settings::{
    CONTROL_PORT, DIRECTORY_PORT, FRONTEND_PORT, INTERNAL_PORT, MachineSettings, READINESS_PORT, ZONES,
    default_limits_table,
};
use rand::Rng;
use serde_json::Value;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::thread;
use std::time::{Duration, Instant};
use tempfile::TempDir;
use vanewharf_config::settings::Settings;

/// How many controllers a cluster has unless a test asks for another number; also the number of seed nodes.
pub const CONTROLLERS: usize = 3;

/// Longer than any condition that a test waits for takes to hold.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// How many redirections an operator follows before it tries another controller.
const MAX_REDIRECTIONS: usize = 2;
const SERVICES: [&str; 2] = ["reads", "writes"];
/// The platform's host in a cluster's subnet.
pub const PLATFORM_HOST: usize = 100;
const FIRST_BACKEND_HOST: usize = 110;

/// A machine and its programs; a program without a process is not running.
struct Machine {
    name: String,
    ip: IpAddr,
    zone: &'static str,
    programs: Vec<(Program, Option<Process>)>,
}

/// A running cluster with its fakes. Dropping it kills all programs and deletes their disks.
pub struct TestCluster {
    machines: Vec<Machine>,
    /// The cloud platform that the controllers poll.
    pub platform: FakePlatform,
    /// One backend for each service in each zone.
    pub backends: Vec<FakeBackend>,
    disks: TempDir,
    subnet: Subnet,
    limits_table: Value,
    initial_start: bool,
    controllers: usize,
}

/// The random 127.x.y.0/24 of a cluster, so that clusters of parallel tests do not meet.
#[derive(Clone, Copy, Debug)]
pub struct Subnet([u8; 2]);

impl Subnet {
    /// One that is unlikely to be in use.
    pub fn random() -> Subnet {
        Subnet([rand::rng().random_range(1..250), rand::rng().random_range(1..250)])
    }

    /// The address of one of its hosts, of which there are 255.
    pub fn ip(self, host: usize) -> IpAddr {
        IpAddr::from([127, self.0[0], self.0[1], host as u8])
    }
}

impl TestCluster {
    /// Starts three controllers and this many proxies in two zones, and a backend of each of two services in each
    /// zone. `change` may alter the limits table of the settings.
    pub fn start(proxies: usize, change: impl FnOnce(&mut Value)) -> TestCluster {
        TestCluster::with_controllers(CONTROLLERS, proxies, change)
    }

    /// Like [`TestCluster::start`] with this many controllers, of which a minority may be lost at once.
    pub fn with_controllers(
        controllers: usize,
        proxies: usize,
        change: impl FnOnce(&mut Value),
    ) -> TestCluster {
        let subnet = Subnet::random();
        let machines = (0..controllers + proxies).map(|no| new_machine(no, controllers, subnet)).collect();
        let platform = FakePlatform::start(subnet.ip(PLATFORM_HOST));
        let backends = start_backends(subnet);
        let available: Vec<_> = backends.iter().map(|backend| (backend, Lifecycle::Available)).collect();
        platform.set_instances(&available);
        let mut limits_table = default_limits_table();
        change(&mut limits_table);
        let mut cluster = TestCluster {
            machines,
            platform,
            backends,
            disks: TempDir::new().expect("a temporary directory"),
            subnet,
            limits_table,
            initial_start: true,
            controllers,
        };
        (0..cluster.machines.len()).for_each(|machine| cluster.start_machine(machine));
        cluster.initial_start = false;
        cluster
    }

    /// Starts those of a machine's programs that are not running.
    pub fn start_machine(&mut self, machine: usize) {
        let settings = self.settings(machine);
        for (program, process) in &mut self.machines[machine].programs {
            process.get_or_insert_with(|| Process::start(*program, settings.clone()));
        }
    }

    /// Kills all programs of a machine.
    pub fn kill_machine(&mut self, machine: usize) {
        self.machines[machine].programs.iter_mut().for_each(|(_, process)| *process = None);
    }

    /// Asks all programs of a machine to shut down in order, as SIGTERM would. They stay the machine's until it is killed.
    pub fn shut_down_machine(&mut self, machine: usize) {
        let processes =
            self.machines[machine].programs.iter_mut().filter_map(|(_, process)| process.as_mut());
        processes.for_each(Process::shut_down);
    }

    /// Whether all programs of a machine have ended by themselves.
    pub fn has_exited(&self, machine: usize) -> bool {
        let mut processes =
            self.machines[machine].programs.iter().filter_map(|(_, process)| process.as_ref());
        processes.all(Process::has_exited)
    }

    /// Kills only the agent, so that the proxy on the same machine gets no updates.
    pub fn kill_agent(&mut self, proxy: usize) {
        let programs = &mut self.machines[self.controllers + proxy].programs;
        programs
            .iter_mut()
            .filter(|(program, _)| *program == Program::Agent)
            .for_each(|(_, process)| *process = None);
    }

    /// Deletes a controller's disk.
    ///
    /// # Panics
    ///
    /// Where it has none.
    pub fn wipe_disk(&self, controller: usize) {
        std::fs::remove_dir_all(self.disk(controller)).expect("the controller has a disk");
    }

    /// Where a machine listens for the system's own RPC.
    pub fn internal_address(&self, machine: usize) -> SocketAddr {
        SocketAddr::new(self.machines[machine].ip, INTERNAL_PORT)
    }

    /// Where a proxy's agent listens for other agents, and for the proxy on its machine.
    pub fn agent_addresses(&self, proxy: usize) -> [SocketAddr; 2] {
        let ip = self.machines[self.controllers + proxy].ip;
        [INTERNAL_PORT + 1, INTERNAL_PORT + 2].map(|port| SocketAddr::new(ip, port))
    }

    /// Where a controller listens for operators.
    pub fn controller_address(&self, controller: usize) -> SocketAddr {
        SocketAddr::new(self.machines[controller].ip, CONTROL_PORT)
    }

    /// Where a proxy listens for clients.
    pub fn frontend_address(&self, proxy: usize) -> SocketAddr {
        SocketAddr::new(self.machines[self.controllers + proxy].ip, FRONTEND_PORT)
    }

    /// Where a proxy answers readiness probes.
    pub fn readiness_address(&self, proxy: usize) -> SocketAddr {
        SocketAddr::new(self.machines[self.controllers + proxy].ip, READINESS_PORT)
    }

    /// Where a controller's directory service listens.
    pub fn directory_address(&self, controller: usize) -> SocketAddr {
        SocketAddr::new(self.machines[controller].ip, DIRECTORY_PORT)
    }

    /// Sends an operator's command: to each controller in turn, following redirections, and again after a 5xx or no
    /// response, until the outcome is known.
    ///
    /// # Panics
    ///
    /// Where it is not known after 20 s.
    pub fn send_command(&self, method: &str, path: &str, body: &str) -> Message {
        self.wait_until("an order is answered", || {
            (0..self.controllers).find_map(|controller| {
                let to = self.controller_address(controller);
                follow_redirections(to, method, path, body)
                    .ok()
                    .filter(|response| response.status() < 500 && response.status() != 307)
            })
        })
    }

    /// Sends a client's request with a random `Attempt-Id` to a proxy.
    ///
    /// # Errors
    ///
    /// Where no response comes back.
    pub fn send_request(
        &self,
        proxy: usize,
        method: &str,
        path: &str,
        access_key: Option<&str>,
    ) -> io::Result<Message> {
        let attempt = format!("{:016x}", rand::rng().random::<u64>());
        self.send_request_as(proxy, method, path, access_key, &attempt)
    }

    /// Sends a client's request with this `Attempt-Id` to a proxy.
    ///
    /// # Errors
    ///
    /// Where no response comes back.
    pub fn send_request_as(
        &self,
        proxy: usize,
        method: &str,
        path: &str,
        access_key: Option<&str>,
        attempt: &str,
    ) -> io::Result<Message> {
        let mut headers =
            vec![("Host", "shop.example"), ("Attempt-Id", attempt), ("Remaining-Milliseconds", "2000")];
        headers.extend(access_key.map(|key| ("X-Api-Key", key)));
        http::send_request(self.frontend_address(proxy), method, path, &headers, "")
    }

    /// Calls `condition` until it returns a value.
    ///
    /// # Panics
    ///
    /// Where it has returned none after 20 s; `description` says what was waited for.
    pub fn wait_until<T>(&self, description: &str, mut condition: impl FnMut() -> Option<T>) -> T {
        let started = Instant::now();
        loop {
            if let Some(value) = condition() {
                return value;
            }
            let subnet = self.subnet.0;
            assert!(
                started.elapsed() < WAIT_TIMEOUT,
                "not in time: {description} (127.{}.{})",
                subnet[0],
                subnet[1]
            );
            thread::yield_now();
        }
    }

    /// Sends GET requests to a proxy until one is answered with that status.
    ///
    /// # Panics
    ///
    /// Where none is after 20 s.
    pub fn wait_for_status(
        &self,
        proxy: usize,
        path: &str,
        access_key: Option<&str>,
        status: u16,
    ) -> Message {
        self.wait_until(&format!("{path} is answered {status}"), || {
            self.send_request(proxy, "GET", path, access_key)
                .ok()
                .filter(|response| response.status() == status)
        })
    }

    fn settings(&self, machine: usize) -> Settings {
        let is_controller = machine < self.controllers;
        let Machine { name, ip, zone, .. } = &self.machines[machine];
        let settings = MachineSettings {
            name,
            ip: *ip,
            zone,
            data_directory: is_controller.then(|| self.disk(machine)),
            seed_ips: self.machines[..CONTROLLERS].iter().map(|seed| seed.ip).collect(),
            initial_start: self.initial_start,
            limits_table: &self.limits_table,
            machine_losses: (self.controllers - 1) / 2,
            platform: self.platform.address,
        };
        settings.parse()
    }

    fn disk(&self, controller: usize) -> PathBuf {
        self.disks.path().join(&self.machines[controller].name)
    }
}

fn new_machine(no: usize, controllers: usize, subnet: Subnet) -> Machine {
    let is_controller = no < controllers;
    let name = if is_controller { format!("central-{no}") } else { format!("frontend-{}", no - controllers) };
    let programs: &[Program] =
        if is_controller { &[Program::Controller] } else { &[Program::Agent, Program::Proxy] };
    Machine {
        name,
        ip: subnet.ip(no + 1),
        zone: ZONES[no % ZONES.len()].0,
        programs: programs.iter().map(|program| (*program, None)).collect(),
    }
}

/// Starts a backend of each of two services in each zone.
pub fn start_backends(subnet: Subnet) -> Vec<FakeBackend> {
    let services_by_zone =
        SERVICES.iter().flat_map(|service| ZONES.iter().map(move |(zone, _)| (service, zone)));
    services_by_zone
        .enumerate()
        .map(|(no, (service, zone))| {
            let id = format!("i-{service}-{zone}");
            FakeBackend::start(subnet.ip(FIRST_BACKEND_HOST + no), &id, service, zone)
        })
        .collect()
}

/// Sends a command, and again to where a 307 names another controller.
fn follow_redirections(to: SocketAddr, method: &str, path: &str, body: &str) -> io::Result<Message> {
    let mut response = http::send_request(to, method, path, &[], body);
    for _ in 0..MAX_REDIRECTIONS {
        let redirected = response.as_ref().ok().filter(|response| response.status() == 307);
        let Some(location) = redirected.and_then(|response| response.header("Location")) else {
            break;
        };
        let authority = location.trim_start_matches("http://").split('/').next().unwrap_or_default();
        let to = authority.parse().expect("a Location with an address and a port");
        response = http::send_request(to, method, path, &[], body);
    }
    response
}
