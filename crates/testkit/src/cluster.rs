//! A test cluster: machines with one loopback address each, the programs that run on them, and the requests of clients
//! and operators.
//!
//! Machines are numbered with the controllers first, as `0..controllers`, and the proxies after them. A `machine`
//! argument is this number; a `proxy` or `controller` argument counts only machines of that kind, from 0.

use crate::backend::FakeBackend;
use crate::config::config;
use crate::http::{self, Message};
use crate::platform::{FakePlatform, Lifecycle};
use crate::process::{Process, Program};
use crate::settings::{
    CONTROL_PORT, DIRECTORY_PORT, FRONTEND_PORT, INTERNAL_PORT, MachineSettings, READINESS_PORT, ZONES,
    default_limits_table,
};
use crate::subnet::Subnet;
use rand::Rng;
use serde_json::Value;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::thread;
use std::time::{Duration, Instant};
use tempfile::TempDir;
use vanewharf_config::settings::Settings;

/// The default number of controllers in a cluster, and the number of seed nodes in every cluster.
pub const CONTROLLERS: usize = 3;

/// Exceeds the time that any condition in the tests takes to hold.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// Redirections that an operator follows before it tries the next controller.
const MAX_REDIRECTIONS: usize = 2;
const SERVICES: [&str; 2] = ["reads", "writes"];
/// Host number of the fake platform in the subnet of a cluster.
pub const PLATFORM_HOST: usize = 100;
const FIRST_BACKEND_HOST: usize = 110;

/// A machine and its programs. A program that is not running has no process.
struct Machine {
    name: String,
    ip: IpAddr,
    zone: &'static str,
    programs: Vec<(Program, Option<Process>)>,
}

/// A running cluster with its fake platform and backends. Dropping it kills all programs and deletes their disks.
pub struct TestCluster {
    machines: Vec<Machine>,
    /// The cloud platform that the controllers poll.
    pub platform: FakePlatform,
    /// One fake backend for each service in each zone.
    pub backends: Vec<FakeBackend>,
    disks: TempDir,
    subnet: Subnet,
    limits_table: Value,
    initial_start: bool,
    controllers: usize,
}

impl TestCluster {
    /// Starts three controllers and `proxies` proxies in two zones, and one backend for each of two services in each
    /// zone. `change` can modify the limits table of the settings.
    pub fn start(proxies: usize, change: impl FnOnce(&mut Value)) -> TestCluster {
        TestCluster::with_controllers(CONTROLLERS, proxies, change)
    }

    /// Starts a cluster with one proxy, and waits until that serves the read-only and the mutating route.
    ///
    /// # Panics
    ///
    /// If the configuration is refused, or a route is not served after 20 s.
    pub fn start_serving() -> TestCluster {
        let cluster = TestCluster::start(1, |_| {});
        let replaced = cluster.send_command("POST", "/-/Configuration.Replace", &config(1, |_| {}));
        assert_eq!(replaced.status(), 200, "the configuration is accepted");
        cluster.wait_for_status(0, "/read/x", Some("key-a"), 200);
        cluster.wait_until("the mutating route is served", || {
            let response = cluster.send_request_as(0, "POST", "/write/x", Some("key-a"), "first").ok()?;
            (response.status() == 200).then_some(())
        });
        cluster
    }

    /// Starts a cluster like [`TestCluster::start`], but with `controllers` controllers. The settings tolerate the loss
    /// of any minority of them.
    pub fn with_controllers(
        controllers: usize,
        proxies: usize,
        change: impl FnOnce(&mut Value),
    ) -> TestCluster {
        let subnet = Subnet::reserve();
        let machines =
            (0..controllers + proxies).map(|number| new_machine(number, controllers, subnet)).collect();
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
            disks: TempDir::new().expect("a temporary directory can be created"),
            subnet,
            limits_table,
            initial_start: true,
            controllers,
        };
        (0..cluster.machines.len()).for_each(|machine| cluster.start_machine(machine));
        cluster.initial_start = false;
        cluster
    }

    /// Starts the programs of a machine that are not running.
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

    /// Asks all programs of a machine to shut down gracefully, as SIGTERM does. [`TestCluster::start_machine`] does not
    /// start them again until the machine has been killed.
    pub fn shut_down_machine(&mut self, machine: usize) {
        let processes =
            self.machines[machine].programs.iter_mut().filter_map(|(_, process)| process.as_mut());
        processes.for_each(Process::shut_down);
    }

    /// Returns whether all programs of a machine have exited since they were started.
    pub fn has_exited(&self, machine: usize) -> bool {
        let mut processes =
            self.machines[machine].programs.iter().filter_map(|(_, process)| process.as_ref());
        processes.all(Process::has_exited)
    }

    /// Kills only the agent of a proxy, so that the proxy receives no updates.
    pub fn kill_agent(&mut self, proxy: usize) {
        let programs = &mut self.machines[self.controllers + proxy].programs;
        programs
            .iter_mut()
            .filter(|(program, _)| *program == Program::Agent)
            .for_each(|(_, process)| *process = None);
    }

    /// Deletes the data directory of a controller.
    ///
    /// # Panics
    ///
    /// If the directory cannot be deleted.
    pub fn wipe_disk(&self, controller: usize) {
        std::fs::remove_dir_all(self.disk(controller)).expect("the data directory can be deleted");
    }

    /// Returns the address on which a machine accepts RPCs from other machines.
    pub fn internal_address(&self, machine: usize) -> SocketAddr {
        SocketAddr::new(self.machines[machine].ip, INTERNAL_PORT)
    }

    /// Returns the two addresses on which the agent of a proxy accepts RPCs: from other agents, and from the proxy on
    /// its machine.
    pub fn agent_addresses(&self, proxy: usize) -> [SocketAddr; 2] {
        let ip = self.machines[self.controllers + proxy].ip;
        [INTERNAL_PORT + 1, INTERNAL_PORT + 2].map(|port| SocketAddr::new(ip, port))
    }

    /// Returns the address on which a controller accepts requests of operators.
    pub fn controller_address(&self, controller: usize) -> SocketAddr {
        SocketAddr::new(self.machines[controller].ip, CONTROL_PORT)
    }

    /// Returns the address on which a proxy accepts requests of clients.
    pub fn frontend_address(&self, proxy: usize) -> SocketAddr {
        SocketAddr::new(self.machines[self.controllers + proxy].ip, FRONTEND_PORT)
    }

    /// Returns the address on which a proxy answers readiness probes.
    pub fn readiness_address(&self, proxy: usize) -> SocketAddr {
        SocketAddr::new(self.machines[self.controllers + proxy].ip, READINESS_PORT)
    }

    /// Returns the address of the directory service of a controller.
    pub fn directory_address(&self, controller: usize) -> SocketAddr {
        SocketAddr::new(self.machines[controller].ip, DIRECTORY_PORT)
    }

    /// Sends the request of an operator to each controller in turn, following redirections, until one of them returns
    /// a definite outcome. After a 5xx or a missing response it tries the next controller.
    ///
    /// # Panics
    ///
    /// If there is no definite outcome after 20 s.
    pub fn send_command(&self, method: &str, path: &str, body: &str) -> Message {
        self.wait_until("a controller responds to the command", || {
            (0..self.controllers).find_map(|controller| {
                let to = self.controller_address(controller);
                follow_redirections(to, method, path, body)
                    .ok()
                    .filter(|response| response.status() < 500 && response.status() != 307)
            })
        })
    }

    /// Sends the request of a client to a proxy, with a random `Attempt-Id`.
    ///
    /// # Errors
    ///
    /// If the request cannot be sent or receives no response.
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

    /// Sends the request of a client to a proxy, with `attempt` as its `Attempt-Id`.
    ///
    /// # Errors
    ///
    /// If the request cannot be sent or receives no response.
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
    /// If it has returned none after 20 s. The message contains `description` and the subnet of the cluster.
    pub fn wait_until<T>(&self, description: &str, mut condition: impl FnMut() -> Option<T>) -> T {
        let started = Instant::now();
        loop {
            if let Some(value) = condition() {
                return value;
            }
            let subnet = self.subnet.numbers();
            assert!(
                started.elapsed() < WAIT_TIMEOUT,
                "timed out waiting until {description} (subnet 127.{}.{})",
                subnet[0],
                subnet[1]
            );
            thread::yield_now();
        }
    }

    /// Sends GET requests to a proxy until a response has this status.
    ///
    /// # Panics
    ///
    /// If no response has it after 20 s.
    pub fn wait_for_status(
        &self,
        proxy: usize,
        path: &str,
        access_key: Option<&str>,
        status: u16,
    ) -> Message {
        self.wait_until(&format!("GET {path} returns {status}"), || {
            self.send_request(proxy, "GET", path, access_key)
                .ok()
                .filter(|response| response.status() == status)
        })
    }

    /// Returns how often the backends together have executed the request with this `Attempt-Id`.
    pub fn count_executions(&self, attempt: &str) -> usize {
        self.backends.iter().map(|backend| backend.count_executions(attempt)).sum()
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

fn new_machine(number: usize, controllers: usize, subnet: Subnet) -> Machine {
    let is_controller = number < controllers;
    let name = if is_controller {
        format!("central-{number}")
    } else {
        format!("frontend-{}", number - controllers)
    };
    let programs: &[Program] =
        if is_controller { &[Program::Controller] } else { &[Program::Agent, Program::Proxy] };
    Machine {
        name,
        ip: subnet.ip(number + 1),
        zone: ZONES[number % ZONES.len()].0,
        programs: programs.iter().map(|program| (*program, None)).collect(),
    }
}

/// Starts one fake backend for each of two services in each zone.
pub fn start_backends(subnet: Subnet) -> Vec<FakeBackend> {
    let services_by_zone =
        SERVICES.iter().flat_map(|service| ZONES.iter().map(move |(zone, _)| (service, zone)));
    services_by_zone
        .enumerate()
        .map(|(number, (service, zone))| {
            let id = format!("i-{service}-{zone}");
            FakeBackend::start(subnet.ip(FIRST_BACKEND_HOST + number), &id, service, zone)
        })
        .collect()
}

/// Sends a command to a controller, and again to the controllers that 307 responses name.
fn follow_redirections(to: SocketAddr, method: &str, path: &str, body: &str) -> io::Result<Message> {
    let mut response = http::send_request(to, method, path, &[], body);
    for _ in 0..MAX_REDIRECTIONS {
        let redirected = response.as_ref().ok().filter(|response| response.status() == 307);
        let Some(location) = redirected.and_then(|response| response.header("Location")) else {
            break;
        };
        let authority = location.trim_start_matches("http://").split('/').next().unwrap_or_default();
        let to = authority.parse().expect("the Location header has an address and a port");
        response = http::send_request(to, method, path, &[], body);
    }
    response
}
