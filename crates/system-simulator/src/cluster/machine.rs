//! A machine of a simulated cluster.

use super::process::{Process, Program};
use crate::disk::SimulatedDisk;
use crate::proxy::RequestInbox;
use crate::topology::{SimulationParameters, ZONES, controller_ip, proxy_ip};
use rand::Rng;
use rand::rngs::SmallRng;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use vanewharf_controller::RunningController;

const DISK_SYNC_TIME: Duration = Duration::from_millis(2);

/// A machine of the cluster.
pub struct Machine {
    /// Its node name.
    pub name: String,
    /// Its address.
    pub ip: IpAddr,
    /// Its zone.
    pub zone: &'static str,
    /// The disk of a controller; proxies have none.
    pub disk: Option<SimulatedDisk>,
    pub(super) processes: RefCell<BTreeMap<Program, Process>>,
    /// How many programs were started so far.
    pub(super) starts: Cell<u64>,
    /// The channel to the proxy for clients' requests, while a proxy runs.
    pub(crate) requests: RequestInbox,
    pub(super) controller: Rc<RefCell<Option<Rc<RunningController>>>>,
    /// Requests the shutdown of the controller.
    pub(super) shutdown: RefCell<Option<oneshot::Sender<()>>>,
    /// The rate of its monotonic clock, relative to true time.
    pub(super) clock_rate: f64,
}

impl Machine {
    pub(super) fn is_controller(&self) -> bool {
        self.disk.is_some()
    }

    pub(super) fn holds_lease(&self) -> bool {
        self.controller.borrow().as_ref().is_some_and(|controller| controller.holds_lease())
    }
}

/// Creates the machine with this number; none of its programs is started.
pub(super) fn new_machine(parameters: &SimulationParameters, number: usize, clock_rate: f64) -> Machine {
    let SimulationParameters { controllers, proxies, .. } = *parameters;
    let (name, ip, zone_index, disk) = if (controllers..controllers + proxies).contains(&number) {
        let proxy = number - controllers;
        (format!("frontend-{proxy}"), proxy_ip(proxy), proxy % ZONES.len(), None)
    } else {
        // The node numbers of spare controllers follow those of the initial controllers.
        let controller = if number < controllers { number } else { number - proxies };
        let disk = SimulatedDisk::new(DISK_SYNC_TIME);
        (format!("central-{controller}"), controller_ip(controller as u8), controller, Some(disk))
    };
    Machine {
        name,
        ip,
        zone: ZONES[zone_index % ZONES.len()].0,
        disk,
        processes: RefCell::default(),
        starts: Cell::new(0),
        requests: RequestInbox::default(),
        controller: Rc::default(),
        shutdown: RefCell::default(),
        clock_rate,
    }
}

/// Draws the rate of a clock: the minimum and the maximum with a probability of 1/4 each, otherwise uniformly between
/// them.
pub(super) fn draw_clock_rate(rng: &mut SmallRng, drift: f64) -> f64 {
    match rng.random_range(0..4) {
        0 => 1.0 - drift,
        1 => 1.0 + drift,
        _ => 1.0 + rng.random_range(-1.0..=1.0) * drift,
    }
}
