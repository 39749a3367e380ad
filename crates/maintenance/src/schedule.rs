//! All contracts of a file, and what they allow together.

use crate::contract::{Contract, CoveredNodes};
use crate::windows::{WindowState, find_state};
use jiff::Timestamp;
use std::collections::BTreeMap;

/// A backend, by what a contract may name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackendNode<'a> {
    /// Name of the zone that it runs in.
    pub zone: &'a str,
    /// Name of the service that it serves.
    pub service: &'a str,
    /// Its id.
    pub id: &'a str,
}

impl CoveredNodes {
    /// Whether a backend is among them.
    pub fn contains(&self, node: BackendNode<'_>) -> bool {
        let matches = |names: &[String], name: &str| names.is_empty() || names.iter().any(|one| one == name);
        matches(&self.zones, node.zone)
            && matches(&self.services, node.service)
            && matches(&self.backends, node.id)
    }
}

/// All contracts, by name.
#[derive(Clone, Debug)]
pub struct MaintenanceSchedule {
    /// The contracts, by name.
    pub contracts: BTreeMap<String, Contract>,
}

impl MaintenanceSchedule {
    /// The contracts that cover a backend, with their names: each of them must allow that it is drained.
    pub fn contracts_covering<'a>(
        &'a self,
        node: BackendNode<'a>,
    ) -> impl Iterator<Item = (&'a str, &'a Contract)> {
        let covering = self.contracts.iter().filter(move |(_, contract)| contract.nodes.contains(node));
        covering.map(|(name, contract)| (name.as_str(), contract))
    }

    /// Whether a backend may be drained now: where all contracts that cover it allow it. Where none covers it, nobody has
    /// approved any window.
    pub fn window_state(&self, node: BackendNode<'_>, now: Timestamp) -> WindowState {
        let contracts: Vec<_> = self.contracts_covering(node).map(|(_, contract)| contract).collect();
        let Some((first, others)) = contracts.split_first() else {
            return WindowState::Closed { opens: None };
        };
        let common_windows = |horizon_days| {
            let windows = others.iter().map(|contract| contract.windows(now, horizon_days));
            windows.fold(first.windows(now, horizon_days), |common, other| common.intersection(&other))
        };
        find_state(common_windows, now)
    }
}
