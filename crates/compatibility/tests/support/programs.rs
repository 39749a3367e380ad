//! The real programs, each on a thread and a runtime of its own.

// Each test program uses a part of this module.
#![allow(dead_code)]

use serde_json::{Value, json};
use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::thread::{self, JoinHandle};
use tokio::runtime::{Builder, LocalOptions};
use tokio::sync::oneshot;
use vanewharf_config::settings::Settings;
use vanewharf_runtime::environment::Environment;

/// A program, by what it does.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Program {
    DataPlane,
    Agent,
    ControlPlane,
}

/// A program on its thread.
pub struct Running {
    end: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Running {
    pub fn start(program: Program, settings: &Value) -> Running {
        let settings = Settings::parse(settings.to_string().as_bytes()).expect("settings that can be read");
        let (end, ended) = oneshot::channel();
        let thread = thread::spawn(move || {
            let runtime = Builder::new_current_thread().enable_all().build_local(LocalOptions::default());
            let outcome = runtime.expect("a runtime").block_on(async move {
                let environment = Environment::of_machine(settings.data_directory.clone())
                    .map_err(|error| error.to_string())?;
                match program {
                    Program::DataPlane => vanewharf_proxy::run(settings, environment, ended)
                        .await
                        .map_err(|error| error.to_string()),
                    Program::Agent => vanewharf_agent::run(settings, environment, ended)
                        .await
                        .map_err(|error| error.to_string()),
                    Program::ControlPlane => vanewharf_controller::run(settings, environment, ended)
                        .await
                        .map_err(|error| error.to_string()),
                }
            });
            outcome.expect("the program runs");
        });
        Running { end: Some(end), thread: Some(thread) }
    }

    /// Tells it to end, and waits until it has.
    pub fn stop(&mut self) {
        self.end.take();
        if let Some(thread) = self.thread.take() {
            thread.join().expect("the program ends well");
        }
    }
}

impl Drop for Running {
    /// The thread ends by itself soon after; nobody waits for it here.
    fn drop(&mut self) {
        self.end.take();
    }
}

/// A settings file for a program at that address.
pub fn settings(ip: IpAddr, seeds: &[SocketAddr]) -> Value {
    let at = |port: u16| SocketAddr::new(ip, port).to_string();
    json!({"node_name": "node-0", "ip_address": ip.to_string(), "zone": "east-a", "region": "east",
        "zones": {"east-a": "east", "west-a": "west"},
        "listen_addresses": {"control_plane": at(8200), "directory_service": at(8201), "frontend": at(8206),
            "readiness": at(8207)},
        "internal_ports": [7600, 7615],
        "seed_nodes": seeds.iter().map(SocketAddr::to_string).collect::<Vec<_>>(),
        "initial_start": true, "limits": {"memory_mb": 200, "file_descriptors": 1024},
        "limits_table": {"revocation_global": false, "revocation": "5000ms", "grace_period": "0.2s", "ttl_max": "5s",
            "rate_allowance": 20, "retry_ratio": 0.2, "retry_window": "10s", "retry_allowance": 50,
            "warmup_overshoot": 1.5, "warmup_allowance": 5}})
}

/// The same for a program with a disk.
pub fn with_data(mut settings: Value, data: &Path) -> Value {
    settings["data_directory"] = json!(data);
    settings
}
