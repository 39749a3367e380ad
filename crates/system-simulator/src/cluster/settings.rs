//! The settings of each machine of a simulated cluster.

use super::Cluster;
use crate::topology::{
    CONTROL_PORT, DIRECTORY_PORT, FRONTEND_PORT, INTERNAL_PORT, LAST_INTERNAL_PORT, READINESS_PORT, ZONES,
};
use serde_json::{Map, Value, json};
use std::net::{IpAddr, SocketAddr};
use vanewharf_config::settings::Settings;

/// The number of seed nodes in a machine's settings. At the initial start, these are also the voters.
const SEED_NODE_COUNT: usize = 3;

impl Cluster {
    /// The settings that a machine's programs would read if they started now.
    pub(super) fn settings(&self, number: usize) -> Settings {
        let machine = &self.machines[number];
        let zones: Map<_, _> = ZONES.iter().map(|(zone, region)| (zone.to_string(), json!(region))).collect();
        let text = json!({"node_name": machine.name, "ip_address": machine.ip.to_string(), "zone": machine.zone,
            "region": zones[machine.zone], "zones": zones,
            "listen_addresses": listen_addresses(machine.ip, machine.is_controller()),
            "internal_ports": [INTERNAL_PORT, LAST_INTERNAL_PORT], "seed_nodes": self.seed_nodes(number),
            "initial_start": self.initial_start.get(),
            "limits": {"memory_mb": 200, "file_descriptors": 1024},
            "data_directory": machine.is_controller().then_some("/data"),
            "limits_table": {"revocation_global": true, "revocation": "5000ms", "grace_period": "6s", "ttl_max": "5s",
                "rate_allowance": 20, "retry_ratio": 0.2, "retry_window": "10s", "retry_allowance": 56,
                "warmup_overshoot": 1.5, "warmup_allowance": 5},
            "fault_tolerance": {"machine_losses": self.parameters.tolerated_losses(), "zones": 1, "region_losses": 0},
            "cloud_api": {"address": self.ground_truth.platform_address.to_string(), "rate_per_s": 44.0,
                "allowed_lag": "800ms"}});
        Settings::parse(text.to_string().as_bytes()).expect("valid settings")
    }

    /// The first current entries of `active_controllers`, unless other seed nodes were set for the machine.
    fn seed_nodes(&self, number: usize) -> Vec<String> {
        let override_seeds = self.seed_overrides.borrow().get(&number).cloned();
        let seeds = override_seeds.unwrap_or_else(|| {
            self.active_controllers.borrow().iter().copied().take(SEED_NODE_COUNT).collect()
        });
        seeds.into_iter().map(|seed| self.controller_address(seed).to_string()).collect()
    }
}

fn listen_addresses(ip: IpAddr, is_controller: bool) -> Value {
    let address = |port: u16| SocketAddr::new(ip, port).to_string();
    if is_controller {
        json!({"control_plane": address(CONTROL_PORT), "directory_service": address(DIRECTORY_PORT)})
    } else {
        json!({"frontend": address(FRONTEND_PORT), "readiness": address(READINESS_PORT)})
    }
}
