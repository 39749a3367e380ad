//! Generates the settings file of each machine of a test cluster.

use serde_json::{Map, Value, json};
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use vanewharf_config::settings::Settings;

/// Port on which a controller accepts requests of operators.
pub const CONTROL_PORT: u16 = 8200;
/// Port of the directory service of a controller.
pub const DIRECTORY_PORT: u16 = 8201;
/// Port on which a proxy accepts requests of clients.
pub const FRONTEND_PORT: u16 = 8206;
/// Port on which a proxy answers readiness probes.
pub const READINESS_PORT: u16 = 8207;
/// First port of the range for RPCs between machines.
pub const INTERNAL_PORT: u16 = 7600;
const LAST_INTERNAL_PORT: u16 = 7615;

/// The zones of a test cluster, each with its region.
pub const ZONES: [(&str, &str); 2] = [("east-a", "east"), ("west-a", "west")];

/// The inputs from which the settings of a machine are generated.
pub struct MachineSettings<'a> {
    /// The name of the machine.
    pub name: &'a str,
    /// The address of the machine.
    pub ip: IpAddr,
    /// One of [`ZONES`].
    pub zone: &'a str,
    /// The data directory: set for controllers, `None` for proxies.
    pub data_directory: Option<PathBuf>,
    /// The addresses of the controllers that are seed nodes.
    pub seed_ips: Vec<IpAddr>,
    /// Whether the cluster is being started for the first time.
    pub initial_start: bool,
    /// The limits table; see [`default_limits_table`].
    pub limits_table: &'a Value,
    /// The number of controllers whose simultaneous loss must be tolerated.
    pub machine_losses: usize,
    /// The address of the API of the cloud platform.
    pub platform: SocketAddr,
}

impl MachineSettings<'_> {
    /// Returns the settings as a program parses them from its file.
    ///
    /// # Panics
    ///
    /// If the limits table is not valid.
    pub fn parse(&self) -> Settings {
        Settings::parse(self.to_text().as_bytes()).expect("the settings are valid")
    }

    /// Returns the text of the settings file.
    pub fn to_text(&self) -> String {
        let zones: Map<_, _> = ZONES.iter().map(|(zone, region)| (zone.to_string(), json!(region))).collect();
        let seed_nodes: Vec<_> =
            self.seed_ips.iter().map(|ip| SocketAddr::new(*ip, CONTROL_PORT).to_string()).collect();
        let data_directory = self.data_directory.as_ref().map(|path| path.to_string_lossy().into_owned());
        json!({"node_name": self.name, "ip_address": self.ip.to_string(), "zone": self.zone,
            "region": zones[self.zone], "zones": zones, "listen_addresses": self.listen_addresses(),
            "internal_ports": [INTERNAL_PORT, LAST_INTERNAL_PORT], "seed_nodes": seed_nodes,
            "initial_start": self.initial_start, "limits": {"memory_mb": 200, "file_descriptors": 1024},
            "data_directory": data_directory,
            "limits_table": self.limits_table,
            "fault_tolerance": {"machine_losses": self.machine_losses, "zones": 0, "region_losses": 0},
            "cloud_api": {"address": self.platform.to_string(), "rate_per_s": 20.0, "allowed_lag": "500ms"},
            // Unknown fields must be ignored.
            "a_field_of_tomorrow": 1})
        .to_string()
    }

    fn listen_addresses(&self) -> Value {
        let address = |port: u16| SocketAddr::new(self.ip, port).to_string();
        if self.data_directory.is_some() {
            json!({"control_plane": address(CONTROL_PORT), "directory_service": address(DIRECTORY_PORT)})
        } else {
            json!({"frontend": address(FRONTEND_PORT), "readiness": address(READINESS_PORT)})
        }
    }
}

/// Returns the limits table that the settings contain unless a test changes it.
pub fn default_limits_table() -> Value {
    json!({"revocation_global": false, "revocation": "5000ms", "grace_period": "2s",
        "ttl_max": "5s", "rate_allowance": 20, "retry_ratio": 0.2, "retry_window": "10s", "retry_allowance": 50,
        "warmup_overshoot": 1.5, "warmup_allowance": 5})
}
