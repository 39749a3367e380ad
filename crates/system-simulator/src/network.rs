//! The simulated network. The delay of a link depends on the locations of its machines. Links can be cut, the outgoing
//! bandwidth of machines can be limited, and machines can lose power.
//!
//! Bytes that are written while a link is cut arrive once the cut is healed. A machine without power sends nothing, not
//! even the end of its connections; its peers get a connection reset once it has power again.

mod connection;

use connection::{AcceptQueue, Channel, HostNetwork};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::time::Instant;
use vanewharf_runtime::environment::Network;

/// Default upper bound of the random delay added to each write.
const DEFAULT_MAX_JITTER_US: u64 = 400;
const LOOPBACK_DELAY: Duration = Duration::from_micros(50);
const SAME_ZONE_DELAY: Duration = Duration::from_micros(300);
const SAME_REGION_DELAY: Duration = Duration::from_micros(900);
const BETWEEN_REGIONS_DELAY: Duration = Duration::from_millis(20);
/// Delay to or from a machine that has no location, such as an operator's.
const OUTSIDE_DELAY: Duration = Duration::from_millis(2);

/// The location of a machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Location {
    /// Its zone.
    pub zone: String,
    /// The region of its zone.
    pub region: String,
}

/// The total of what a machine has sent.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// Payload bytes, without the headers of lower layers.
    pub bytes: u64,
    /// Number of writes to connections.
    pub messages: u64,
}

/// The limit of a machine's outgoing bandwidth.
struct LinkLimit {
    bytes_per_second: u64,
    /// When everything that was written so far has been sent.
    idle_at: Instant,
}

struct NetworkState {
    locations: BTreeMap<IpAddr, Location>,
    powered_off: BTreeSet<IpAddr>,
    link_limits: BTreeMap<IpAddr, LinkLimit>,
    /// Number of active cuts from one machine to another. The link is open again once all of them are healed.
    cuts: BTreeMap<(IpAddr, IpAddr), usize>,
    listeners: BTreeMap<SocketAddr, Rc<RefCell<AcceptQueue>>>,
    channels: Vec<Weak<RefCell<Channel>>>,
    /// Traffic by sending machine.
    traffic: BTreeMap<IpAddr, Traffic>,
    /// Number of connection attempts so far.
    connection_attempts: u64,
    /// Number of unique ids generated so far.
    unique_ids: u64,
    /// Upper bound of the random delay added to each write.
    max_jitter_us: u64,
}

impl Default for NetworkState {
    fn default() -> NetworkState {
        NetworkState {
            locations: BTreeMap::new(),
            powered_off: BTreeSet::new(),
            link_limits: BTreeMap::new(),
            cuts: BTreeMap::new(),
            listeners: BTreeMap::new(),
            channels: Vec::new(),
            traffic: BTreeMap::new(),
            connection_attempts: 0,
            unique_ids: 0,
            max_jitter_us: DEFAULT_MAX_JITTER_US,
        }
    }
}

impl NetworkState {
    fn is_open(&self, from: IpAddr, to: IpAddr) -> bool {
        !self.powered_off.contains(&to)
            && !self.powered_off.contains(&from)
            && !self.cuts.contains_key(&(from, to))
    }

    /// The one-way delay between two machines, without jitter.
    fn delay(&self, from: IpAddr, to: IpAddr) -> Duration {
        if from == to {
            return LOOPBACK_DELAY;
        }
        match self.locations.get(&from).zip(self.locations.get(&to)) {
            Some((one, other)) if one.zone == other.zone => SAME_ZONE_DELAY,
            Some((one, other)) if one.region == other.region => SAME_REGION_DELAY,
            Some(_) => BETWEEN_REGIONS_DELAY,
            None => OUTSIDE_DELAY,
        }
    }

    /// Queues bytes on the machine's outgoing link and returns when the last of them leaves it.
    fn transmit(&mut self, from: IpAddr, bytes: usize) -> Instant {
        let now = Instant::now();
        let Some(limit) = self.link_limits.get_mut(&from) else {
            return now;
        };
        let transmission = Duration::from_secs_f64(bytes as f64 / limit.bytes_per_second as f64);
        limit.idle_at = now.max(limit.idle_at) + transmission;
        limit.idle_at
    }

    fn wake_all_channels(&mut self) {
        self.channels.retain(|channel| channel.upgrade().is_some());
        for channel in self.channels.iter().filter_map(Weak::upgrade) {
            channel.borrow_mut().wake();
        }
    }
}

/// Returns a pseudo-random number that depends on the arguments only, and so not on the order in which tasks run.
fn hash_seed(seed: u64, number: u64) -> u64 {
    let mut mixed = seed ^ number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// The network of a cluster. Clones share its state.
#[derive(Clone)]
pub struct SimulatedNetwork {
    state: Rc<RefCell<NetworkState>>,
    seed: u64,
}

impl SimulatedNetwork {
    /// Creates a network without machines. The seed determines its jitter.
    pub fn new(seed: u64) -> SimulatedNetwork {
        SimulatedNetwork { state: Rc::default(), seed }
    }

    /// Sets a machine's location, which determines the delays of its links.
    pub fn add_machine(&self, ip: IpAddr, location: Location) {
        self.state.borrow_mut().locations.insert(ip, location);
    }

    /// The network interface of the processes on a machine.
    pub fn interface(&self, ip: IpAddr) -> Rc<dyn Network> {
        Rc::new(HostNetwork { network: self.clone(), ip })
    }

    /// Sets the upper bound of the random delay added to each write. It can reorder messages of different connections.
    pub fn set_max_jitter(&self, max_jitter: Duration) {
        self.state.borrow_mut().max_jitter_us = (max_jitter.as_micros() as u64).max(1);
    }

    /// Cuts one direction of a link. Each cut must be healed separately.
    pub fn cut(&self, from: IpAddr, to: IpAddr) {
        *self.state.borrow_mut().cuts.entry((from, to)).or_default() += 1;
    }

    /// Undoes one cut of one direction of a link.
    pub fn heal(&self, from: IpAddr, to: IpAddr) {
        let mut state = self.state.borrow_mut();
        let remaining = state.cuts.get(&(from, to)).map_or(0, |cuts| cuts - 1);
        match remaining {
            0 => drop(state.cuts.remove(&(from, to))),
            remaining => drop(state.cuts.insert((from, to), remaining)),
        }
        state.wake_all_channels();
    }

    /// Limits a machine's outgoing bandwidth; `None` lifts the limit.
    pub fn limit_bandwidth(&self, ip: IpAddr, bytes_per_second: Option<u64>) {
        let mut state = self.state.borrow_mut();
        match bytes_per_second {
            Some(rate) => {
                let limit = LinkLimit { bytes_per_second: rate.max(1), idle_at: Instant::now() };
                state.link_limits.insert(ip, limit);
            }
            None => drop(state.link_limits.remove(&ip)),
        }
    }

    /// Whether bytes are currently delivered from one machine to another.
    pub fn is_open(&self, from: IpAddr, to: IpAddr) -> bool {
        self.state.borrow().is_open(from, to)
    }

    /// The one-way delay from one machine to another, without jitter.
    pub fn delay(&self, from: IpAddr, to: IpAddr) -> Duration {
        self.state.borrow().delay(from, to)
    }

    /// Cuts a machine's power. Its peers are not notified.
    pub fn power_off(&self, ip: IpAddr) {
        self.state.borrow_mut().powered_off.insert(ip);
    }

    /// Restores a machine's power and resets the connections that it had.
    pub fn power_on(&self, ip: IpAddr) {
        let mut state = self.state.borrow_mut();
        if state.powered_off.remove(&ip) {
            for channel in state.channels.iter().filter_map(Weak::upgrade) {
                let mut channel = channel.borrow_mut();
                channel.reset |= channel.from == ip || channel.to == ip;
            }
            state.wake_all_channels();
        }
    }

    /// What each machine has sent so far.
    pub fn traffic_by_sender(&self) -> BTreeMap<IpAddr, Traffic> {
        self.state.borrow().traffic.clone()
    }
}
