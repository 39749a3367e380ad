//! What the agent's tasks share.

use crate::reports::ReportStore;
use std::cell::RefCell;
use std::net::IpAddr;
use vanewharf_config::settings::Settings;
use vanewharf_discovery::PeerView;
use vanewharf_rpc::Publisher;
use vanewharf_runtime::environment::Environment;

/// Random numbers below this choose among peers: far more than a view holds, so that all are about as likely.
const MAX_RANDOM_OFFSET: u64 = 1 << 16;

/// The state of one agent.
pub(crate) struct AgentState {
    pub(crate) settings: Settings,
    pub(crate) environment: Environment,
    /// The newest updates, and who waits for newer ones.
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

    /// A random offset into a list of peers.
    pub(crate) fn random_offset(&self) -> usize {
        self.environment.random_below(MAX_RANDOM_OFFSET) as usize
    }

    /// The known controllers, nearest first: those of this zone, of this region, and others, each by address. The seeds
    /// of the settings that no fleet summary names come with the last.
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

/// How far a machine is; less is nearer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Distance {
    is_other_zone: bool,
    is_other_region: bool,
}

impl Distance {
    const FARTHEST: Distance = Distance { is_other_zone: true, is_other_region: true };
}
