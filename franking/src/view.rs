//! A partial view of the other doors: a few of them, told on and shuffled between neighbours, so that no door knows or
//! counts all. A door that no postmaster reaches hears through one of these.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::IpAddr;
use std::time::Duration;
use vanewharf_mailroom::clock::At;
use vanewharf_mailroom::words::Neighbour;

/// How many doors a view holds, and how many of them may be of other regions.
pub const MOST: usize = 8;
const ELSEWHERE: usize = 3;
/// How many are told in one shuffle, beside the door itself.
const TOLD: usize = 4;
/// A door that nobody has heard of for so long is gone.
const GONE: Duration = Duration::from_secs(30);

#[derive(Clone, Debug)]
struct Known {
    region: String,
    heard: At,
}

#[derive(Clone, Debug)]
pub struct View {
    me: IpAddr,
    region: String,
    known: BTreeMap<IpAddr, Known>,
}

impl View {
    pub fn of(me: IpAddr, region: &str) -> View {
        View { me, region: region.to_owned(), known: BTreeMap::new() }
    }

    pub fn len(&self) -> usize {
        self.known.len()
    }

    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// What others told: the newest word of each door counts. Where there are too many, one that chance picks goes: were
    /// it the one longest unheard, doors would know the same few, and fall apart.
    pub fn merge(&mut self, told: &[Neighbour], now: At) {
        for neighbour in told.iter().filter(|neighbour| neighbour.ip != self.me) {
            let heard = now.before(Duration::from_millis(neighbour.heard_ms));
            let region = neighbour.region.clone();
            let known = self.known.entry(neighbour.ip).or_insert_with(|| Known { region, heard });
            known.heard = known.heard.max(heard);
        }
        self.known.retain(|_, known| now.since(known.heard) < GONE);
        let elsewhere = |view: &View, known: &Known| known.region != view.region;
        while self.known.values().filter(|known| elsewhere(self, known)).count() > ELSEWHERE {
            self.drop_one(now, |view, known| elsewhere(view, known));
        }
        while self.known.len() > MOST {
            self.drop_one(now, |_, _| true);
        }
    }

    fn drop_one(&mut self, now: At, of: impl Fn(&View, &Known) -> bool) {
        let lot = |ip: &IpAddr| {
            let mut hasher = DefaultHasher::new();
            (self.me, ip, now.0).hash(&mut hasher);
            hasher.finish()
        };
        let among = self.known.iter().filter(|(_, known)| of(self, known));
        let picked = among.min_by_key(|(ip, _)| lot(ip)).map(|(ip, _)| *ip);
        picked.into_iter().for_each(|ip| drop(self.known.remove(&ip)));
    }

    /// One that did not answer.
    pub fn lost(&mut self, ip: IpAddr) {
        self.known.remove(&ip);
    }

    /// Some of the view, from one drawn on, and this door itself: what is told in a shuffle.
    pub fn told(&self, draw: usize, now: At) -> Vec<Neighbour> {
        let me = Neighbour { ip: self.me, region: self.region.clone(), heard_ms: 0 };
        let some =
            self.known.iter().cycle().skip(draw % self.known.len().max(1)).take(TOLD.min(self.known.len()));
        let some = some.map(|(ip, known)| Neighbour {
            ip: *ip,
            region: known.region.clone(),
            heard_ms: now.since(known.heard).as_millis() as u64,
        });
        some.chain(std::iter::once(me)).collect()
    }

    /// The doors to turn to, from one drawn on: those of this door's region first.
    pub fn order(&self, draw: usize) -> Vec<IpAddr> {
        let mut all: Vec<_> = self.known.iter().collect();
        let turn = draw % all.len().max(1);
        all.rotate_left(turn);
        all.sort_by_key(|(_, known)| known.region != self.region);
        all.into_iter().map(|(ip, _)| *ip).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::collections::BTreeSet;

    const START: At = At(1_000_000_000);

    fn ip(no: usize) -> IpAddr {
        IpAddr::from([10, 0, (no / 250) as u8, (no % 250) as u8 + 1])
    }

    fn region(no: usize) -> &'static str {
        if no.is_multiple_of(2) { "r" } else { "s" }
    }

    /// Shuffles of so many doors, each of which first knows the one before it alone; every second each turns to one.
    fn shuffled(doors: usize, seconds: u64, dead: usize) -> Vec<View> {
        let mut views: Vec<_> = (0..doors).map(|no| View::of(ip(no), region(no))).collect();
        for (no, view) in views.iter_mut().enumerate() {
            let before = (no + doors - 1) % doors;
            view.merge(
                &[Neighbour { ip: ip(before), region: region(before).to_owned(), heard_ms: 0 }],
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
                    views[no].order(draw >> 33).get((draw >> 40) % views[no].len().max(1)).copied()
                else {
                    continue;
                };
                let at = (0..doors).find(|at| ip(*at) == to).expect("one of them");
                if at < dead && second > seconds / 2 {
                    views[no].lost(to);
                    continue;
                }
                let (mine, theirs) = (views[no].told(draw >> 35, now), views[at].told(draw >> 37, now));
                views[at].merge(&mine, now);
                views[no].merge(&theirs, now);
            }
        }
        views
    }

    /// How many doors hang together with one, whichever of two knows the other: a shuffle tells both.
    fn reached(views: &[View], from: usize) -> usize {
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
}
