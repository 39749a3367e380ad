//! The size, zones, addresses and ports of a simulated system.

use crate::network::Location;
use std::net::{IpAddr, SocketAddr};

pub(crate) const CONTROL_PORT: u16 = 8200;
pub(crate) const DIRECTORY_PORT: u16 = 8201;
pub(crate) const FRONTEND_PORT: u16 = 8206;
pub(crate) const READINESS_PORT: u16 = 8207;
/// The first port of the range for the system's internal RPC.
pub const INTERNAL_PORT: u16 = 7600;
pub(crate) const LAST_INTERNAL_PORT: u16 = 7615;
const BACKEND_PORT: u16 = 80;

/// All zones, each with its region.
pub const ZONES: [(&str, &str); 4] =
    [("east-a", "east"), ("west-a", "west"), ("east-b", "east"), ("west-b", "west")];

/// The size of a system, and the length and load of a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SimulationParameters {
    /// Number of controllers that are started at the beginning.
    pub controllers: usize,
    /// Number of machines that run an agent and a proxy.
    pub proxies: usize,
    /// Length in seconds of the period in which faults may begin. It follows
    /// [`TRAFFIC_START`](crate::run::TRAFFIC_START).
    pub seconds: u64,
    /// Clients' requests per second over all proxies.
    pub requests_per_second: u64,
    /// Maximum number of faults in a run that is generated from a seed.
    pub max_faults: u64,
}

impl SimulationParameters {
    /// How many controllers may be lost with their disks at once.
    pub(crate) fn tolerated_losses(&self) -> usize {
        (self.controllers - 1) / 2
    }
}

/// The address of a controller, by its number.
pub fn controller_ip(number: u8) -> IpAddr {
    IpAddr::from([10, 0, 0, number + 1])
}

/// The address of a proxy's machine, by its number.
pub(crate) fn proxy_ip(number: usize) -> IpAddr {
    const PER_SUBNET: usize = 250;
    IpAddr::from([10, 1, (number / PER_SUBNET) as u8, (number % PER_SUBNET) as u8 + 1])
}

/// Where a backend listens, by its number from 1.
pub fn backend_address(number: u8) -> SocketAddr {
    SocketAddr::new(IpAddr::from([10, 8, 0, number]), BACKEND_PORT)
}

/// The address of an operator's machine, by its number.
pub fn operator_ip(number: u8) -> IpAddr {
    IpAddr::from([10, 9, 0, number + 1])
}

/// Where the cloud platform's API listens.
pub(crate) fn platform_address() -> SocketAddr {
    SocketAddr::new(IpAddr::from([10, 9, 0, 100]), 80)
}

/// The location of a machine in that zone.
pub(crate) fn location_of(zone: &str) -> Location {
    let region = ZONES.iter().find(|(known, _)| *known == zone).map_or("", |(_, region)| region);
    Location { zone: zone.to_owned(), region: region.to_owned() }
}
