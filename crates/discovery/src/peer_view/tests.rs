use super::*;
use std::collections::BTreeSet;

const START: Timestamp = Timestamp(1_000_000_000);

fn ip(no: usize) -> IpAddr {
    IpAddr::from([10, 0, (no / 250) as u8, (no % 250) as u8 + 1])
}

fn region(no: usize) -> &'static str {
    if no.is_multiple_of(2) { "r" } else { "s" }
}

/// The views of so many proxies after shuffles: each first knows only the one before it, and contacts one peer each second.
/// The first `dead` of them die in the middle.
fn shuffled_views(proxies: usize, seconds: u64, dead: usize) -> Vec<PeerView> {
    let mut views: Vec<_> = (0..proxies).map(|no| PeerView::new(ip(no), region(no))).collect();
    for (no, view) in views.iter_mut().enumerate() {
        let before = (no + proxies - 1) % proxies;
        view.merge(
            &[PeerEntry { ip: ip(before), region: region(before).to_owned(), last_contact_ms: 0 }],
            START,
        );
    }
    let mut draw = 12345usize;
    for second in 1..=seconds {
        let now = START.after(Duration::from_secs(second));
        for no in 0..proxies {
            draw = draw.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
            if no < dead && second > seconds / 2 {
                continue;
            }
            let Some(to) =
                views[no].contact_order(draw >> 33).get((draw >> 40) % views[no].len().max(1)).copied()
            else {
                continue;
            };
            let at = (0..proxies).find(|at| ip(*at) == to).expect("a known address");
            if at < dead && second > seconds / 2 {
                views[no].remove(to);
                continue;
            }
            let (mine, theirs) = (views[no].sample(draw >> 35, now), views[at].sample(draw >> 37, now));
            views[at].merge(&mine, now);
            views[no].merge(&theirs, now);
        }
    }
    views
}

/// How many proxies are connected with one, whichever of two knows the other: a shuffle informs both.
fn connected_with(views: &[PeerView], from: usize) -> usize {
    let (mut seen, mut next) = (BTreeSet::from([ip(from)]), vec![ip(from)]);
    while let Some(at) = next.pop() {
        for view in views {
            let knows = view.own_ip == at || view.peers.contains_key(&at);
            let ends = view.peers.keys().chain(std::iter::once(&view.own_ip)).filter(|_| view.own_ip == at);
            let ends = ends.chain(std::iter::once(&view.own_ip).filter(|_| knows));
            next.extend(ends.filter(|ip| seen.insert(**ip)));
        }
    }
    seen.len()
}

#[test]
fn small_views_connect_many_proxies() {
    for proxies in [2, 9, 92, 400] {
        let views = shuffled_views(proxies, 40, 0);
        assert!(views.iter().all(|view| (1..=MAX_PEERS).contains(&view.len())));
        assert_eq!(connected_with(&views, 0), proxies, "of {proxies}");
    }
}

#[test]
fn dead_peers_are_dropped_and_the_others_stay_connected() {
    let (proxies, dead) = (92, 30);
    let views = shuffled_views(proxies, 120, dead);
    let dead_ips: BTreeSet<_> = (0..dead).map(ip).collect();
    for view in &views[dead..] {
        assert!(view.peers.keys().all(|ip| !dead_ips.contains(ip)), "{view:?}");
    }
    assert_eq!(connected_with(&views[dead..], dead), proxies - dead);
}

#[test]
fn a_view_holds_its_own_region_and_some_of_the_others() {
    for view in shuffled_views(92, 40, 0) {
        let remote = view.peers.values().filter(|peer| peer.region != view.own_region).count();
        assert!(remote <= MAX_REMOTE_PEERS && view.len() > remote, "{view:?}");
    }
}
