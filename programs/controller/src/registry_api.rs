//! The registry.

use crate::state::ControllerState;
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;
use vanewharf_discovery::{home_regions_by_host, proxies_for_client};
use vanewharf_rpc::RpcResponse;

/// The most doors that one answer names.
const MOST_NAMED: usize = 64;
/// A ledger that is older was made by a holder that is gone.
const CURRENT: Duration = Duration::from_millis(2200);
/// How long clients hold on to an answer.
const LIFETIME: Duration = Duration::from_millis(4000);

pub type Homes = BTreeMap<String, BTreeSet<String>>;

pub fn resolution(state: &ControllerState, query: &str) -> RpcResponse {
    let field = |name: &str| {
        query.split('&').filter_map(|pair| pair.split_once('=')).find(|(known, _)| *known == name)
    };
    let region = field("region").map_or("", |(_, region)| region);
    let store = state.feed.store();
    let host = field("name").map_or("", |(_, host)| host).to_ascii_lowercase();
    let hosts = state.homes();
    let homed = store.fleet_summary.as_ref().is_some_and(|ledger| ledger.homed_hosts.contains(&host));
    let homes = hosts.get(&host).filter(|_| homed);
    let now = state.feed.now();
    let sums = state.sums.borrow();
    // A ledger that is old names doors that are gone; whoever is still there has come to this process by then.
    let current =
        store.fleet_summary.as_ref().filter(|_| now.since(store.fleet_summary_received_at) < CURRENT);
    let heard: Vec<_> = sums.live_proxies(now).collect();
    let told = current.iter().flat_map(|ledger| &ledger.proxies);
    let unheard = told.filter(|door| !heard.iter().any(|known| known.name == door.name));
    let doors: Vec<_> = heard.iter().copied().chain(unheard).collect();
    let addresses: Vec<_> =
        proxies_for_client(&doors, region, homes, MOST_NAMED).iter().map(|door| door.address).collect();
    if addresses.is_empty() {
        return RpcResponse::with_status(503, "no doors are known yet");
    }
    let lifetime = LIFETIME.min(state.settings.limits_table.ttl_max);
    RpcResponse::json(&json!({ "addresses": addresses, "lifetime": format!("{}ms", lifetime.as_millis()) }))
}

impl ControllerState {
    /// Where each host's clients are to go, by the register in hand.
    pub fn homes(&self) -> Rc<Homes> {
        let register = self.feed.store().register.clone();
        if let Some(register) = register.filter(|register| register.revision != self.hosts.borrow().0) {
            let hosts = self.replica.config().as_deref().map(home_regions_by_host).unwrap_or_default();
            *self.hosts.borrow_mut() = (register.revision, Rc::new(hosts));
        }
        Rc::clone(&self.hosts.borrow().1)
    }
}
