//! The gateway's process and its configuration files.

use super::{Agent, Backend, Client, TEST_TIMEOUT};
use serde_json::{Value, json};
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::thread;

fn free_port() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|free| free.local_addr()).expect("a free port")
}

/// A running gateway; dropping it kills the process and removes its files.
pub struct Gateway {
    child: Child,
    pub address: SocketAddr,
    pub agent: Agent,
    log: Receiver<String>,
    path: PathBuf,
    pub config: Value,
}

static GATEWAYS: AtomicU32 = AtomicU32::new(0);

/// A command that runs the program with this limit on file descriptors, and the path of its configuration file.
pub fn program(config: Option<&str>, descriptors: usize) -> (Command, PathBuf) {
    let number = GATEWAYS.fetch_add(1, Ordering::SeqCst);
    let path = std::env::temp_dir().join(format!("vanewharf-gateway-{}-{number}.json", std::process::id()));
    let mut command = Command::new("sh");
    let limited = format!("ulimit -n {descriptors}; exec {}", env!("CARGO_BIN_EXE_vanewharf-gateway"));
    command
        .args(["-c", &limited])
        .env_remove("ROUTER_CONFIG")
        .env_remove("VANEWHARF_OPERATOR")
        .stdout(Stdio::null())
        .stderr(Stdio::piped());
    if let Some(text) = config {
        std::fs::write(&path, text).expect("a temporary file");
        command.env("ROUTER_CONFIG", &path);
    }
    (command, path)
}

impl Gateway {
    /// Requests for `look` may run more than once, those for `book` must not. The plan `basic` has a burst of two
    /// units.
    pub fn start(backends: &[&Backend]) -> Gateway {
        Gateway::with_limits(backends, 1024, 64, 1024)
    }

    /// A gateway of a fleet of eight, with the shared quota counter at `counter` and a timeout of 80 ms for its calls.
    pub fn with_counter(backends: &[&Backend], counter: SocketAddr) -> Gateway {
        let change = |config: &mut Value| {
            config["counter"] = json!(counter.to_string());
            config["settings"]["balancers"] = json!(8);
            config["settings"]["family_info"] =
                json!({"most_units": 8, "shared_counter": true, "count_wait": 80.0});
        };
        Gateway::with_config(backends, 1024, 64, 1024, change)
    }

    pub fn with_limits(
        backends: &[&Backend],
        sockets: usize,
        memory_mb: usize,
        descriptors: usize,
    ) -> Gateway {
        Gateway::with_config(backends, sockets, memory_mb, descriptors, |_| {})
    }

    pub fn with_config(
        backends: &[&Backend],
        sockets: usize,
        memory_mb: usize,
        descriptors: usize,
        change: impl FnOnce(&mut Value),
    ) -> Gateway {
        let agent = Agent::new();
        let mut free = free_port();
        let known: Vec<_> = backends.iter().map(|backend| backend.entry("SERVING")).collect();
        let plan = |name: &str, rate: f64| json!({"name": name, "rate": rate, "store_size": 2.0, "value_factor": 1.0, "excess_cost": 1.0});
        let mut config = json!({
            "name": "n0", "listen": free.to_string(), "discovery": agent.address.to_string(), "seed": "8c1f",
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "counter": "127.0.0.1:1",
            "known": {"index": 4, "snapshot": true, "endpoints": known},
            "settings": {
                "balancers": 1,
                "allowed": {"cancel": true, "second_copies": true, "retry_after": true, "max_retry_after": 500.0,
                    "most_tries": 3, "conn_idle": 15000.0, "dial_timeout": 250.0},
                "classes": [{"name": "look", "aim": 400.0, "gain": 1.0, "idempotency": "retryable", "hard_limit": 3000},
                    {"name": "book", "aim": 400.0, "gain": 1.0, "idempotency": "fragile", "hard_limit": 3000}],
                "family_info": {"most_units": 8},
                "tiers_of_service": [plan("basic", 0.1), plan("gold", 0.0)],
                "rules": {"cold_from": 0.2, "ramp_time": 1000.0}
            }
        });
        change(&mut config);
        // The operator's file is separate from the platform's.
        let operator = config.as_object_mut().and_then(|fields| fields.remove("operator"));
        // Another process may have taken the port in the meantime; the program then logs this and exits.
        for _ in 0..5 {
            let (mut command, path) = program(Some(&config.to_string()), descriptors);
            if let Some(Value::String(text)) = &operator {
                let file = path.with_extension("toml");
                std::fs::write(&file, text).expect("a temporary file");
                command.env("VANEWHARF_OPERATOR", &file);
            }
            let mut child = command.spawn().expect("the program starts");
            let (lines_sender, log) = channel();
            let lines = BufReader::new(child.stderr.take().expect("standard error")).lines();
            thread::spawn(move || lines.map_while(Result::ok).try_for_each(|line| lines_sender.send(line)));
            if log.iter().any(|line| line.contains("serving")) {
                return Gateway { child, address: free, agent, log, path, config };
            }
            child.wait().expect("the process has exited");
            free = free_port();
            config["listen"] = json!(free.to_string());
        }
        panic!("no free port in five attempts");
    }

    /// Waits for a log line that contains `text`.
    pub fn wait_for_log(&self, text: &str) -> String {
        loop {
            let line =
                self.log.recv_timeout(TEST_TIMEOUT).unwrap_or_else(|_| panic!("'{text}' is not logged"));
            if line.contains(text) {
                return line;
            }
        }
    }

    /// The value of a counter, which the gateway logs on SIGUSR1.
    pub fn counter(&self, name: &str) -> u64 {
        self.signal("-USR1");
        let line = self.wait_for_log("counters");
        let count =
            line.split(' ').find_map(|count| count.strip_prefix(name)?.strip_prefix('=')?.parse().ok());
        count.unwrap_or_else(|| panic!("{name} is not counted: {line}"))
    }

    /// Replaces the platform's file and sends SIGHUP. Without an address, the new file is invalid.
    pub fn reload(&mut self, discovery: Option<SocketAddr>) {
        let text = discovery.map_or("{".to_owned(), |address| {
            self.config["discovery"] = json!(address.to_string());
            self.config.to_string()
        });
        std::fs::write(&self.path, text).expect("a temporary file");
        self.signal("-HUP");
    }

    /// Closes the log's pipe once the gateway has written another line.
    pub fn close_log(&mut self) {
        self.log = channel().1;
    }

    /// The process's resident memory in KiB.
    pub fn memory_kib(&self) -> u64 {
        let status =
            std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).expect("the process runs");
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).expect("a VmRSS line");
        line.trim().trim_end_matches(" kB").parse().expect("a number")
    }

    pub fn signal(&self, name: &str) {
        let status = Command::new("kill").args([name, &self.child.id().to_string()]).status();
        assert!(status.expect("kill runs").success());
    }

    pub fn wait_for_exit(&mut self) -> ExitStatus {
        self.child.wait().expect("a child process")
    }

    pub fn client(&self) -> Client {
        Client::connect(self.address)
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.path);
        let _ = std::fs::remove_file(self.path.with_extension("toml"));
    }
}
