//! Resolution of a host for a client: the registry chooses proxies by the client's region and the host's home regions.

use std::collections::{BTreeMap, BTreeSet};
use vanewharf_config::configuration::Config;
use vanewharf_protocol::messages::ProxyEntry;

/// Chooses at most `max` proxies to return to a client, in the given order.
///
/// `home_regions` holds the home regions of the host; with `None`, every region counts as one. The first non-empty
/// group is returned:
///
/// 1. ready proxies in the client's region, if that is a home region;
/// 2. ready proxies in any home region;
/// 3. all ready proxies;
/// 4. all proxies, since one that last reported that it was not ready may be ready by now.
pub fn proxies_for_client<'a>(
    proxies: &[&'a ProxyEntry],
    region: &str,
    home_regions: Option<&BTreeSet<String>>,
    max: usize,
) -> Vec<&'a ProxyEntry> {
    let ready = || proxies.iter().copied().filter(|proxy| proxy.ready);
    let is_home = |region: &str| home_regions.is_none_or(|regions| regions.contains(region));
    let mut chosen: Vec<_> = ready().filter(|proxy| proxy.region == region && is_home(region)).collect();
    if chosen.is_empty() {
        chosen = ready().filter(|proxy| is_home(&proxy.region)).collect();
    }
    if chosen.is_empty() {
        chosen = ready().collect();
    }
    if chosen.is_empty() {
        chosen = proxies.to_vec();
    }
    chosen.truncate(max);
    chosen
}

/// Returns, for each host that has routes with home regions, the home regions that all of these routes have in common.
///
/// A host whose routes have no common home region is left out: its clients connect to their own region, and proxies
/// there forward the requests.
pub fn home_regions_by_host(config: &Config) -> BTreeMap<String, BTreeSet<String>> {
    let mut hosts: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
    for route in config.routes.values().filter(|route| !route.home_regions.is_empty()) {
        let route_regions: BTreeSet<_> = route.home_regions.iter().cloned().collect();
        let common = hosts.entry(route.hostname.clone()).or_insert_with(|| route_regions.clone());
        common.retain(|region| route_regions.contains(region));
    }
    hosts.retain(|_, common| !common.is_empty());
    hosts
}

#[cfg(test)]
mod tests;
