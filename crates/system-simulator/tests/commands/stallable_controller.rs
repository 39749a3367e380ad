//! Starts controllers whose outbound connections can be stalled.

use crate::CONTROL_PORT;
use crate::stalling_network::StallingNetwork;
use serde_json::json;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use vanewharf_config::settings::Settings;
use vanewharf_controller::RunningController;
use vanewharf_runtime::environment::{Directory, Environment};
use vanewharf_system_simulator::disk::SimulatedDisk;
use vanewharf_system_simulator::network::{Location, SimulatedNetwork};
use vanewharf_system_simulator::topology::controller_ip;

fn controller_settings(number: u8) -> Settings {
    let ip = controller_ip(number);
    let seeds: Vec<_> =
        (0..3).map(|seed| SocketAddr::new(controller_ip(seed), CONTROL_PORT).to_string()).collect();
    let text = json!({"node_name": format!("central-{number}"), "ip_address": ip.to_string(), "zone": "east-a",
        "region": "east", "zones": {"east-a": "east", "west-a": "west"},
        "listen_addresses": {"control_plane": SocketAddr::new(ip, CONTROL_PORT).to_string()},
        "internal_ports": [7600, 7615], "seed_nodes": seeds,
        "initial_start": true, "limits": {"memory_mb": 200, "file_descriptors": 1024}, "data_directory": "/data",
        "limits_table": {"revocation_global": true, "revocation": "5000ms", "grace_period": "6s", "ttl_max": "5s",
            "rate_allowance": 20, "retry_ratio": 0.2, "retry_window": "10s", "retry_allowance": 56,
            "warmup_overshoot": 1.5, "warmup_allowance": 5},
        "fault_tolerance": {"machine_losses": 1, "zones": 1, "region_losses": 0}});
    Settings::parse(text.to_string().as_bytes()).expect("valid settings")
}

/// A controller on a network that can stall its outbound connections.
pub struct StallableController {
    pub controller: RunningController,
    pub network: StallingNetwork,
}

pub async fn start_stallable(network: &SimulatedNetwork, number: u8) -> StallableController {
    let ip = controller_ip(number);
    network.add_machine(ip, Location { zone: "east-a".to_owned(), region: "east".to_owned() });
    let network = StallingNetwork::new(network.interface(ip));
    let directory = Rc::new(SimulatedDisk::new(Duration::from_millis(2))) as Rc<dyn Directory>;
    let environment = Environment::new(Rc::new(network.clone()), Some(directory), number.into());
    let started = vanewharf_controller::start(controller_settings(number), environment).await;
    StallableController { controller: started.expect("it starts"), network }
}
