//! The simulated network: links with a delay by location, which can be cut or slowed, and machines without power.
//!
//! Bytes that a cut holds up arrive once it is healed. A machine without power sends nothing, not even the end of its
//! connections; its peers learn of that by a reset when it has power again.

mod connection;

use connection::{AcceptQueue, Channel, HostNetwork};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::time::Instant;
use vanewharf_runtime::environment::Network;

/// Jitter of each write, in microseconds.
const DEFAULT_MAX_JITTER_US: u64 = 400;
const LOOPBACK_DELAY: Duration = Duration::from_micros(50);
const SAME_ZONE_DELAY: Duration = Duration::from_micros(300);
const SAME_REGION_DELAY: Duration = Duration::from_micros(900);
const BETWEEN_REGIONS_DELAY: Duration = Duration::from_millis(20);
/// To or from a machine that has no location, such as an operator's.
const OUTSIDE_DELAY: Duration = Duration::from_millis(2);

/// Where a machine is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Location {
    /// Its zone.
    pub zone: String,
    /// The region of its zone.
    pub region: String,
}

/// What a machine has sent.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// Bytes, without headers of lower layers.
    pub bytes: u64,
    /// Writes to a connection.
    pub messages: u64,
}

/// How fast a machine's link sends.
struct LinkLimit {
    bytes_per_second: u64,
    /// When everything that was written so far has been sent.
    idle_at: Instant,
}

struct NetworkState {
    locations: BTreeMap<IpAddr, Location>,
    powered_off: BTreeSet<IpAddr>,
    link_limits: BTreeMap<IpAddr, LinkLimit>,
    /// How many cuts there are from one machine to another: the link is healed with the last of them.
    cuts: BTreeMap<(IpAddr, IpAddr), usize>,
    listeners: BTreeMap<SocketAddr, Rc<RefCell<AcceptQueue>>>,
    channels: Vec<Weak<RefCell<Channel>>>,
    /// By sending machine.
    traffic: BTreeMap<IpAddr, Traffic>,
    /// How many connections were attempted.
    connections: u64,
    /// How many unique ids were given out.
    unique_ids: u64,
    /// The most by which a write is late beyond its link's delay.
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
            connections: 0,
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

    /// One way, without jitter.
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

    /// When the last of this many bytes leaves the machine.
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

/// A pseudo-random number by seed and purpose, so that the order in which tasks run decides nothing.
fn hash_seed(seed: u64, number: u64) -> u64 {
    let mut mixed = seed ^ number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// The network of a cluster. Clones share it.
#[derive(Clone)]
pub struct SimulatedNetwork {
    state: Rc<RefCell<NetworkState>>,
    seed: u64,
}

impl SimulatedNetwork {
    /// A network without machines whose jitter is decided by the seed.
    pub fn new(seed: u64) -> SimulatedNetwork {
        SimulatedNetwork { state: Rc::default(), seed }
    }

    /// Sets a machine's location, which decides its delays.
    pub fn add_machine(&self, ip: IpAddr, location: Location) {
        self.state.borrow_mut().locations.insert(ip, location);
    }

    /// The network as a process on that machine sees it.
    pub fn interface(&self, ip: IpAddr) -> Rc<dyn Network> {
        Rc::new(HostNetwork { network: self.clone(), ip })
    }

    /// Sets by how much a write may be late beyond its link's delay. Messages of different connections overtake each other
    /// then.
    pub fn set_max_jitter(&self, most: Duration) {
        self.state.borrow_mut().max_jitter_us = (most.as_micros() as u64).max(1);
    }

    /// Cuts one direction; a link that is cut several times must be healed as often.
    pub fn cut(&self, from: IpAddr, to: IpAddr) {
        *self.state.borrow_mut().cuts.entry((from, to)).or_default() += 1;
    }

    /// Takes one cut of this direction back.
    pub fn heal(&self, from: IpAddr, to: IpAddr) {
        let mut state = self.state.borrow_mut();
        let remaining = state.cuts.get(&(from, to)).map_or(0, |cuts| cuts - 1);
        match remaining {
            0 => drop(state.cuts.remove(&(from, to))),
            remaining => drop(state.cuts.insert((from, to), remaining)),
        }
        state.wake_all_channels();
    }

    /// Limits what a machine sends to this many bytes per second; `None` lifts the limit.
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

    /// Whether bytes get from one machine to another now.
    pub fn is_open(&self, from: IpAddr, to: IpAddr) -> bool {
        self.state.borrow().is_open(from, to)
    }

    /// How long bytes take one way, without jitter.
    pub fn delay(&self, from: IpAddr, to: IpAddr) -> Duration {
        self.state.borrow().delay(from, to)
    }

    /// The machine loses power; its peers are not notified.
    pub fn power_off(&self, ip: IpAddr) {
        self.state.borrow_mut().powered_off.insert(ip);
    }

    /// The machine has power again; the connections that it had are reset.
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
