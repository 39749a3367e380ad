//! Registry API: resolves a host to the addresses of the proxies that serve it.

use crate::state::ControllerState;
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use vanewharf_discovery::{home_regions_by_host, proxies_for_client};
use vanewharf_protocol::messages::{ProxyEntry, Revision};
use vanewharf_rpc::RpcResponse;

/// Maximum number of addresses in one answer.
const MAX_ADDRESSES: usize = 64;
/// Proxies in a fleet summary that is older than this are ignored. Its leaseholder has failed, and the proxies may have
/// failed with it; those that are still running have reported to this process by then.
const MAX_SUMMARY_AGE: Duration = Duration::from_millis(2200);
/// How long clients may cache an answer, unless the settings specify a shorter time.
const ANSWER_LIFETIME: Duration = Duration::from_millis(4000);

/// Maps each host to the regions in which all of its routes may be served.
type HomeRegions = BTreeMap<String, BTreeSet<String>>;

/// Caches the home regions of the newest configuration.
#[derive(Default)]
pub struct HomeRegionsCache {
    revision: Revision,
    home_regions: Rc<HomeRegions>,
}

/// Answers a query of the form `name=<host>&region=<region>`. Both parameters are optional.
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

/// Returns the first value of the parameter `name`, or an empty string.
fn query_value<'a>(query: &'a str, name: &str) -> &'a str {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(known, _)| *known == name).map_or("", |(_, value)| value)
}

/// Returns the addresses of suitable proxies, chosen from those that report to this process and those that only the fleet
/// summary contains.
fn proxy_addresses(state: &ControllerState, host: &str, region: &str) -> Vec<SocketAddr> {
    let now = state.publisher.now();
    let home_regions = home_regions(state);
    let store = state.publisher.store();
    // Clients are directed to the home regions only if most of the host's requests must be served there.
    let prefers_home_regions =
        store.fleet_summary.as_ref().is_some_and(|summary| summary.home_region_hosts.contains(host));
    let regions = home_regions.get(host).filter(|_| prefers_home_regions);
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
