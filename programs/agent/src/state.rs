//! The state shared by the agent's tasks.

use crate::reports::ReportStore;
use std::cell::RefCell;
use std::net::IpAddr;
use vanewharf_config::settings::Settings;
use vanewharf_discovery::PeerView;
use vanewharf_rpc::Publisher;
use vanewharf_runtime::environment::Environment;

/// The exclusive upper bound of random offsets into the list of peers. It is far above the size of a view, so that all
/// peers are chosen with nearly equal probability.
const MAX_RANDOM_OFFSET: u64 = 1 << 16;

/// The state of one agent.
pub(crate) struct AgentState {
    pub(crate) settings: Settings,
    pub(crate) environment: Environment,
    /// The store of the newest updates. It also answers the pulls that wait for newer ones.
    pub(crate) publisher: Publisher,
    pub(crate) peers: RefCell<PeerView>,
    pub(crate) reports: RefCell<ReportStore>,
}

impl AgentState {
    pub(crate) fn new(settings: Settings, environment: Environment) -> AgentState {
        let publisher = Publisher::new(environment.clock());
        let peers = RefCell::new(PeerView::new(settings.ip, &settings.region));
        AgentState { settings, environment, publisher, peers, reports: RefCell::default() }
    }

    /// Returns a random offset into the list of peers.
    pub(crate) fn random_offset(&self) -> usize {
        self.environment.random_below(MAX_RANDOM_OFFSET) as usize
    }

    /// Returns the known controllers, nearest first: those in this zone, in this region and elsewhere, each
    /// group in the order of their addresses. Seeds from the settings that are not in the fleet summary belong to the
    /// last group.
    pub(crate) fn controllers(&self) -> Vec<IpAddr> {
        let store = self.publisher.store();
        let entries = store.fleet_summary.iter().flat_map(|summary| &summary.controllers);
        let mut controllers: Vec<_> = entries.map(|entry| (self.distance(&entry.zone), entry.ip)).collect();
        for seed in &self.settings.seeds {
            if !controllers.iter().any(|(_, ip)| *ip == seed.ip()) {
                controllers.push((Distance::FARTHEST, seed.ip()));
            }
        }
        controllers.sort_unstable();
        controllers.into_iter().map(|(_, ip)| ip).collect()
    }

    fn distance(&self, zone: &str) -> Distance {
        let region = self.settings.zones.get(zone);
        Distance {
            is_other_zone: zone != self.settings.zone,
            is_other_region: region != Some(&self.settings.region),
        }
    }
}

/// The distance of a machine; a smaller value is nearer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Distance {
    is_other_zone: bool,
    is_other_region: bool,
}

impl Distance {
    const FARTHEST: Distance = Distance { is_other_zone: true, is_other_region: true };
}
