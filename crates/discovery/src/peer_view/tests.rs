use super::*;
use std::collections::BTreeSet;

const START: Timestamp = Timestamp(1_000_000_000);

fn ip(no: usize) -> IpAddr {
    IpAddr::from([10, 0, (no / 250) as u8, (no % 250) as u8 + 1])
}

fn region(no: usize) -> &'static str {
    if no.is_multiple_of(2) { "r" } else { "s" }
}

/// Shuffles of so many doors, each of which first knows the one before it alone; every second each turns to one.
fn shuffled(doors: usize, seconds: u64, dead: usize) -> Vec<PeerView> {
    let mut views: Vec<_> = (0..doors).map(|no| PeerView::new(ip(no), region(no))).collect();
    for (no, view) in views.iter_mut().enumerate() {
        let before = (no + doors - 1) % doors;
        view.merge(
            &[PeerEntry { ip: ip(before), region: region(before).to_owned(), last_contact_ms: 0 }],
            START,
        );
    }
    let mut draw = 12345usize;
    for second in 1..=seconds {
        let now = START.after(Duration::from_secs(second));
        for no in 0..doors {
            draw = draw.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
            if no < dead && second > seconds / 2 {
                continue;
            }
            let Some(to) =
                views[no].contact_order(draw >> 33).get((draw >> 40) % views[no].len().max(1)).copied()
            else {
                continue;
            };
            let at = (0..doors).find(|at| ip(*at) == to).expect("one of them");
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

/// How many doors hang together with one, whichever of two knows the other: a shuffle tells both.
fn reached(views: &[PeerView], from: usize) -> usize {
    let (mut seen, mut next) = (BTreeSet::from([ip(from)]), vec![ip(from)]);
    while let Some(at) = next.pop() {
        for view in views {
            let tied = view.me == at || view.known.contains_key(&at);
            let ends = view.known.keys().chain(std::iter::once(&view.me)).filter(|_| view.me == at);
            let ends = ends.chain(std::iter::once(&view.me).filter(|_| tied));
            next.extend(ends.filter(|ip| seen.insert(**ip)));
        }
    }
    seen.len()
}

#[test]
fn small_views_hold_together_many_doors() {
    for doors in [2, 9, 92, 400] {
        let views = shuffled(doors, 40, 0);
        assert!(views.iter().all(|view| (1..=MOST).contains(&view.len())));
        assert_eq!(reached(&views, 0), doors, "of {doors}");
    }
}

#[test]
fn the_dead_are_forgotten_and_the_living_still_hold_together() {
    let (doors, dead) = (92, 30);
    let views = shuffled(doors, 120, dead);
    let dead_ips: BTreeSet<_> = (0..dead).map(ip).collect();
    for view in &views[dead..] {
        assert!(view.known.keys().all(|ip| !dead_ips.contains(ip)), "{view:?}");
    }
    assert_eq!(reached(&views[dead..], dead), doors - dead);
}

#[test]
fn a_view_keeps_its_own_region_and_some_of_the_others() {
    for view in shuffled(92, 40, 0) {
        let elsewhere = view.known.values().filter(|known| known.region != view.region).count();
        assert!(elsewhere <= ELSEWHERE && view.len() > elsewhere, "{view:?}");
    }
}
