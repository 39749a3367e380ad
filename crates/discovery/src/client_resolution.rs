//! The registry's answer: the proxies to which a client is sent, by its region and by the home regions of the host it
//! asks for.

use std::collections::{BTreeMap, BTreeSet};
use vanewharf_config::configuration::Config;
use vanewharf_protocol::messages::ProxyEntry;

/// The proxies that a client is sent to, at most `max`, in the order given.
///
/// Ready proxies in the client's region, where that is a home region of its host (`home_regions`; none: any region is);
/// else ready ones in any home region; else any that are ready; else all, since a proxy that last reported itself not
/// ready may be by now.
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

/// For each host with routes that have home regions, the regions in which all of its routes may be served.
///
/// A host whose routes have no region in common is left out: its clients go to their own region, and proxies forward.
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
