//! The registry: tells clients the addresses of the proxies that serve a host.

use crate::state::ControllerState;
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use vanewharf_discovery::{home_regions_by_host, proxies_for_client};
use vanewharf_protocol::messages::{ProxyEntry, Revision};
use vanewharf_rpc::RpcResponse;

/// The most proxies that one answer names.
const MAX_ADDRESSES: usize = 64;
/// The leaseholder that made an older fleet summary is gone, and so may be the proxies that it names. Those that are still
/// there have reported to this process by then.
const MAX_SUMMARY_AGE: Duration = Duration::from_millis(2200);
/// For how long clients may use an answer, unless the settings allow less.
const ANSWER_LIFETIME: Duration = Duration::from_millis(4000);

/// For each host, the regions in which all of its routes may be served.
type HomeRegions = BTreeMap<String, BTreeSet<String>>;

/// The home regions by the newest configuration.
#[derive(Default)]
pub struct HomeRegionsCache {
    revision: Revision,
    home_regions: Rc<HomeRegions>,
}

/// Answers a query of the form `name=<host>&region=<region>`; both may be missing.
pub fn resolve(state: &ControllerState, query: &str) -> RpcResponse {
    let host = query_value(query, "name").to_ascii_lowercase();
    let region = query_value(query, "region");
    let addresses = proxy_addresses(state, &host, region);
    if addresses.is_empty() {
        return RpcResponse::error(503, "no doors are known yet");
    }
    let lifetime = ANSWER_LIFETIME.min(state.settings.limits_table.ttl_max);
    RpcResponse::json(&json!({ "addresses": addresses, "lifetime": format!("{}ms", lifetime.as_millis()) }))
}

/// The first value of that name, or nothing.
fn query_value<'a>(query: &'a str, name: &str) -> &'a str {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(known, _)| *known == name).map_or("", |(_, value)| value)
}

/// Of the proxies that this process has reports of, and those that only the fleet summary names.
fn proxy_addresses(state: &ControllerState, host: &str, region: &str) -> Vec<SocketAddr> {
    let now = state.publisher.now();
    let home_regions = home_regions(state);
    let store = state.publisher.store();
    // Clients are sent to home regions only where most of the host's requests have to go there.
    let goes_home =
        store.fleet_summary.as_ref().is_some_and(|summary| summary.home_region_hosts.contains(host));
    let regions = home_regions.get(host).filter(|_| goes_home);
    let aggregator = state.aggregator.borrow();
    let reported: Vec<&ProxyEntry> = aggregator.live_proxies(now).collect();
    let is_reported = |proxy: &ProxyEntry| reported.iter().any(|known| known.name == proxy.name);
    let summary =
        store.fleet_summary.as_ref().filter(|_| now.since(store.fleet_summary_received_at) < MAX_SUMMARY_AGE);
    let summarized = summary.iter().flat_map(|summary| &summary.proxies);
    let unreported = summarized.filter(|proxy| !is_reported(proxy));
    let proxies: Vec<&ProxyEntry> = reported.iter().copied().chain(unreported).collect();
    let chosen = proxies_for_client(&proxies, region, regions, MAX_ADDRESSES);
    chosen.iter().map(|proxy| proxy.address).collect()
}

fn home_regions(state: &ControllerState) -> Rc<HomeRegions> {
    let mut cache = state.home_regions.borrow_mut();
    let register = state.publisher.store().register.clone();
    if let Some(register) = register.filter(|register| register.revision != cache.revision) {
        let home_regions = state.replica.config().as_deref().map(home_regions_by_host).unwrap_or_default();
        *cache = HomeRegionsCache { revision: register.revision, home_regions: Rc::new(home_regions) };
    }
    Rc::clone(&cache.home_regions)
}
