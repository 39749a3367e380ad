//! Runs the real programs, each on its own thread and runtime.

// No test target uses all of this module.
#![allow(dead_code)]

use serde_json::{Value, json};
use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::thread::{self, JoinHandle};
use tokio::runtime::{Builder, LocalOptions};
use tokio::sync::oneshot;
use vanewharf_config::settings::Settings;
use vanewharf_runtime::environment::Environment;

/// A program of the system.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Program {
    Proxy,
    Agent,
    Controller,
}

/// A program that runs on its own thread. Dropping it asks the program to shut down.
pub struct RunningProgram {
    shutdown: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl RunningProgram {
    pub fn start(program: Program, settings: &Value) -> RunningProgram {
        let settings = Settings::parse(settings.to_string().as_bytes()).expect("the settings are valid");
        let (shutdown, signalled) = oneshot::channel();
        let thread = thread::spawn(move || {
            let runtime = Builder::new_current_thread().enable_all().build_local(LocalOptions::default());
            let outcome = runtime.expect("a runtime can be built").block_on(async move {
                let environment = Environment::of_machine(settings.data_directory.clone())
                    .map_err(|error| error.to_string())?;
                match program {
                    Program::Proxy => vanewharf_proxy::run(settings, environment, signalled)
                        .await
                        .map_err(|error| error.to_string()),
                    Program::Agent => vanewharf_agent::run(settings, environment, signalled)
                        .await
                        .map_err(|error| error.to_string()),
                    Program::Controller => vanewharf_controller::run(settings, environment, signalled)
                        .await
                        .map_err(|error| error.to_string()),
                }
            });
            outcome.expect("the program exits without an error");
        });
        RunningProgram { shutdown: Some(shutdown), thread: Some(thread) }
    }

    /// Asks the program to shut down and waits until it has exited.
    pub fn stop(&mut self) {
        self.shutdown.take();
        if let Some(thread) = self.thread.take() {
            thread.join().expect("the thread of the program does not panic");
        }
    }
}

impl Drop for RunningProgram {
    /// Does not wait for the thread, which ends soon after the shutdown signal.
    fn drop(&mut self) {
        self.shutdown.take();
    }
}

/// Returns a settings file for a program at this address.
pub fn settings(ip: IpAddr, seeds: &[SocketAddr]) -> Value {
    let address = |port: u16| SocketAddr::new(ip, port).to_string();
    json!({"node_name": "node-0", "ip_address": ip.to_string(), "zone": "east-a", "region": "east",
        "zones": {"east-a": "east", "west-a": "west"},
        "listen_addresses": {"control_plane": address(8200), "directory_service": address(8201), "frontend": address(8206),
            "readiness": address(8207)},
        "internal_ports": [7600, 7615],
        "seed_nodes": seeds.iter().map(SocketAddr::to_string).collect::<Vec<_>>(),
        "initial_start": true, "limits": {"memory_mb": 200, "file_descriptors": 1024},
        "limits_table": {"revocation_global": false, "revocation": "5000ms", "grace_period": "0.2s", "ttl_max": "5s",
            "rate_allowance": 20, "retry_ratio": 0.2, "retry_window": "10s", "retry_allowance": 50,
            "warmup_overshoot": 1.5, "warmup_allowance": 5}})
}

/// Adds a data directory to a settings file.
pub fn with_data_directory(mut settings: Value, directory: &Path) -> Value {
    settings["data_directory"] = json!(directory);
    settings
}
