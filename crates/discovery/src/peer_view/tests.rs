use super::*;
use std::collections::BTreeSet;

const START: Timestamp = Timestamp(1_000_000_000);

fn ip(index: usize) -> IpAddr {
    IpAddr::from([10, 0, (index / 250) as u8, (index % 250) as u8 + 1])
}

fn region(index: usize) -> &'static str {
    if index.is_multiple_of(2) { "r" } else { "s" }
}

/// Simulates shuffles and returns the resulting views. Each proxy initially knows only its predecessor and contacts one
/// peer per second. The first `failed` proxies stop halfway through.
fn shuffled_views(proxies: usize, seconds: u64, failed: usize) -> Vec<PeerView> {
    let mut views: Vec<_> = (0..proxies).map(|index| PeerView::new(ip(index), region(index))).collect();
    for (index, view) in views.iter_mut().enumerate() {
        let predecessor = (index + proxies - 1) % proxies;
        let region = region(predecessor).to_owned();
        view.merge(&[PeerEntry { ip: ip(predecessor), region, last_contact_ms: 0 }], START);
    }
    let mut random = 12345usize;
    for second in 1..=seconds {
        let now = START.after(Duration::from_secs(second));
        for index in 0..proxies {
            random = random.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
            if index < failed && second > seconds / 2 {
                continue;
            }
            let peers = views[index].contact_order(random >> 33);
            let Some(peer_ip) = peers.get((random >> 40) % views[index].len().max(1)).copied() else {
                continue;
            };
            let peer = (0..proxies).find(|other| ip(*other) == peer_ip).expect("a known address");
            if peer < failed && second > seconds / 2 {
                views[index].remove(peer_ip);
                continue;
            }
            let sent = views[index].sample(random >> 35, now);
            let received = views[peer].sample(random >> 37, now);
            views[peer].merge(&sent, now);
            views[index].merge(&received, now);
        }
    }
    views
}

/// Counts the proxies connected with the one at `start`. Links count in both directions, because a shuffle informs both
/// sides.
fn connected_with(views: &[PeerView], start: usize) -> usize {
    let (mut visited, mut pending) = (BTreeSet::from([ip(start)]), vec![ip(start)]);
    while let Some(current) = pending.pop() {
        for view in views {
            let is_linked = view.own_ip == current || view.peers.contains_key(&current);
            let own_links =
                view.peers.keys().chain(std::iter::once(&view.own_ip)).filter(|_| view.own_ip == current);
            let links = own_links.chain(std::iter::once(&view.own_ip).filter(|_| is_linked));
            pending.extend(links.filter(|ip| visited.insert(**ip)));
        }
    }
    visited.len()
}

#[test]
fn small_views_connect_many_proxies() {
    for proxies in [2, 9, 92, 400] {
        let views = shuffled_views(proxies, 40, 0);
        assert!(views.iter().all(|view| (1..=MAX_PEERS).contains(&view.len())));
        assert_eq!(connected_with(&views, 0), proxies, "with {proxies} proxies");
    }
}

#[test]
fn failed_peers_are_dropped_and_the_others_stay_connected() {
    let (proxies, failed) = (92, 30);
    let views = shuffled_views(proxies, 120, failed);
    let failed_ips: BTreeSet<_> = (0..failed).map(ip).collect();
    for view in &views[failed..] {
        assert!(view.peers.keys().all(|ip| !failed_ips.contains(ip)), "{view:?}");
    }
    assert_eq!(connected_with(&views[failed..], failed), proxies - failed);
}

#[test]
fn a_view_holds_local_peers_and_a_limited_number_of_remote_ones() {
    for view in shuffled_views(92, 40, 0) {
        let remote = view.peers.values().filter(|peer| peer.region != view.own_region).count();
        assert!(remote <= MAX_REMOTE_PEERS && view.len() > remote, "{view:?}");
    }
}
