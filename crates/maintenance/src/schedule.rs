//! The contracts of a file, and the combined window state of a backend.

use crate::contract::{Contract, CoveredNodes};
use crate::windows::{WindowState, find_state};
use jiff::Timestamp;
use std::collections::BTreeMap;

/// The properties of a backend that contracts select by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackendNode<'a> {
    /// Name of the zone in which it runs.
    pub zone: &'a str,
    /// Name of the service to which it belongs.
    pub service: &'a str,
    /// Id of the backend.
    pub id: &'a str,
}

impl CoveredNodes {
    /// Returns whether a backend is covered.
    pub fn contains(&self, node: BackendNode<'_>) -> bool {
        let matches =
            |names: &[String], name: &str| names.is_empty() || names.iter().any(|covered| covered == name);
        matches(&self.zones, node.zone)
            && matches(&self.services, node.service)
            && matches(&self.backends, node.id)
    }
}

/// All contracts of an operator's file.
#[derive(Clone, Debug)]
pub struct MaintenanceSchedule {
    /// The contracts, by name.
    pub contracts: BTreeMap<String, Contract>,
}

impl MaintenanceSchedule {
    /// Returns the contracts that cover a backend, with their names. All of them must allow a drain of the backend.
    pub fn contracts_covering<'a>(
        &'a self,
        node: BackendNode<'a>,
    ) -> impl Iterator<Item = (&'a str, &'a Contract)> {
        let covering = self.contracts.iter().filter(move |(_, contract)| contract.nodes.contains(node));
        covering.map(|(name, contract)| (name.as_str(), contract))
    }

    /// Returns whether a backend may be drained now, and when that changes. All contracts that cover the backend must
    /// allow it. A backend that no contract covers has no approved window and is never open.
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
