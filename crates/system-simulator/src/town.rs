//! What is true in a made-up system, whatever its programs believe: the backends, and all that was seen of requests,
//! orders and words. The judge goes by this alone.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use tokio::time::Instant;
use vanewharf_rpc::Publisher;

/// How far the platform's list is behind.
pub const LAG: Duration = Duration::from_millis(500);
/// After it was shown as draining a backend goes on serving for this long.
pub const SERVES_ON: Duration = Duration::from_millis(3500);

#[derive(Clone, Debug)]
pub struct Backend {
    pub service: &'static str,
    pub zone: String,
    pub address: SocketAddr,
    pub draining: Option<Instant>,
    pub gone: Option<Instant>,
    pub cold_until: Option<Instant>,
    pub cold_from: Option<Instant>,
}

/// One request that a backend ran, at one door.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    pub sent: Instant,
    pub attempt: u64,
    pub once_only: bool,
    pub backend: String,
    pub tenant: String,
    pub key: String,
    pub door: usize,
    pub revision: u64,
}

/// One request as its client saw it.
#[derive(Clone, Debug)]
pub struct Asked {
    pub sent: Instant,
    pub door: usize,
    pub revision: u64,
    pub attempt: u64,
    /// None where it was never answered.
    pub status: Option<u16>,
    pub took: Duration,
}

#[derive(Clone, Debug, PartialEq)]
pub enum What {
    Replace { revision: u64, body: String },
    Evacuate { zone: String, begin: bool },
    Invalid { revision: u64 },
    Voters { out: usize, into: usize },
}

/// What an operator read back.
#[derive(Clone, Debug, PartialEq)]
pub struct ReadBack {
    pub sent: Instant,
    pub came: Instant,
    pub text: String,
}

/// What a postmaster had at the end of the day; nothing where it did not say.
#[derive(Clone, Debug, PartialEq)]
pub struct AtEnd {
    pub name: String,
    pub had: Option<(u64, u64)>,
}

#[derive(Clone, Debug)]
pub struct Order {
    pub what: What,
    pub sent: Instant,
    pub acked: Option<Instant>,
    /// An acknowledgement was lost on its way to the operator, and the order was sent again.
    pub taken: Option<Instant>,
    pub refused: Option<u16>,
}

/// A register as a door took it up.
#[derive(Clone, Debug, PartialEq)]
pub struct Heard {
    pub door: usize,
    pub life: u64,
    pub at: Instant,
    pub no: u64,
    pub revision: u64,
    pub body: u64,
}

#[derive(Default)]
pub struct History {
    pub runs: Vec<Run>,
    pub asked: BTreeMap<u64, Asked>,
    pub orders: Vec<Order>,
    pub heard: Vec<Heard>,
    /// What the programs' own invariants or ends said.
    pub ended: Vec<String>,
    /// Times at which more than one process took orders.
    pub two_holders: Vec<Instant>,
    /// Each tenant's quota by configuration.
    pub quotas: BTreeMap<u64, BTreeMap<String, (f64, f64)>>,
    /// Which keys a configuration had.
    pub keys: BTreeMap<u64, BTreeSet<String>>,
    /// What the operator read back at the end.
    pub read_back: Option<String>,
    pub evacuated: Option<BTreeSet<String>>,
    /// Those in the midst of the day.
    pub read_backs: Vec<ReadBack>,
    /// Number of the register and revision at each postmaster that ran.
    pub at_end: Vec<AtEnd>,
}

pub struct Town {
    pub backends: RefCell<BTreeMap<String, Backend>>,
    /// What the list showed, from when on.
    shown: RefCell<Vec<(Instant, BTreeMap<String, Backend>)>>,
    pub history: RefCell<History>,
    /// The feed of each door's carrier, while it runs.
    pub feeds: RefCell<BTreeMap<usize, Publisher>>,
    pub platform: SocketAddr,
}

impl Town {
    pub fn new(platform: SocketAddr) -> Town {
        Town {
            backends: RefCell::default(),
            shown: RefCell::default(),
            history: RefCell::default(),
            feeds: RefCell::default(),
            platform,
        }
    }

    /// The list shows it as it is now, once its lag is over.
    pub fn show(&self) {
        self.shown.borrow_mut().push((Instant::now(), self.backends.borrow().clone()));
    }

    /// The platform's page of the list, as of a little while ago.
    pub fn page(&self) -> serde_json::Value {
        let now = Instant::now();
        let shown = self.shown.borrow();
        let last = shown.iter().rev().find(|(at, _)| now.duration_since(*at) >= LAG).or(shown.first());
        let entry = |(id, backend): (&String, &Backend)| {
            let left =
                backend.cold_until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now));
            serde_json::json!({"identifier": id, "service": backend.service, "address": backend.address.to_string(),
                "zone": backend.zone, "revision": "v1", "capacity": 6, "warmup_left": format!("{}ms", left.as_millis()),
                "lifecycle": if backend.draining.is_some() { "draining" } else { "available" }})
        };
        let listed = last.iter().flat_map(|(_, backends)| backends).filter(|(_, one)| one.gone.is_none());
        serde_json::json!({"instances": {"all": listed.map(entry).collect::<Vec<_>>()}, "next_token": null})
    }

    /// When a backend's draining was first shown.
    pub fn shown_draining(&self, id: &str) -> Option<Instant> {
        self.backends.borrow().get(id).and_then(|backend| backend.draining).map(|at| at + LAG)
    }
}

pub fn ip(host: u8) -> IpAddr {
    IpAddr::from([10, 0, 0, host])
}
